"""Program ``carobstair-router``: one router process."""

from __future__ import annotations

import asyncio
import sys
from pathlib import Path

import cyclopts

from carobstair.logs import configure_logging
from carobstair.net.router import Router
from carobstair.settings import (
    RouterSettings,
    SettingsError,
    effective_settings,
    load_settings,
)

__all__ = ["main"]

EXIT_SETTINGS = 2

app = cyclopts.App(name="carobstair-router", help="Run one router of the fleet.")


@app.default
def run(*, settings: Path, check_settings: bool = False, log_level: str = "info"):
    """Run a router until SIGTERM.

    Parameters
    ----------
    settings : Path
        INI file.
    check_settings : bool
        Print the settings in effect, secrets hidden, and end.
    log_level : str
        One of debug, info, warning, error.
    """
    try:
        loaded = load_settings(settings, RouterSettings)
    except SettingsError as error:
        print(error, file=sys.stderr)
        sys.exit(EXIT_SETTINGS)
    if check_settings:
        print(effective_settings(loaded))
        return
    configure_logging(log_level)
    asyncio.run(_serve(loaded))


async def _serve(settings: RouterSettings) -> None:
    await Router(settings).run()


def main() -> None:
    """Run the program."""
    app()


if __name__ == "__main__":
    main()
