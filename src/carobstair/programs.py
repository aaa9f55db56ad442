"""Entry points of the programs that serve, which handle signals before they import."""

from carobstair.process_signals import hold_reloads

__all__ = ["router"]


def router() -> None:
    """Run ``carobstair-router``."""
    hold_reloads()
    from carobstair.cli.router import main

    main()
