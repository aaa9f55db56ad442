"""Program ``carobstair-router``: runs one router process."""

from __future__ import annotations

import asyncio
from pathlib import Path
from typing import Literal

from carobstair.cli.program import EXIT_USAGE, fail, make_app, read_settings, run
from carobstair.logs import configure_logging
from carobstair.settings import RouterSettings, SettingsError

__all__ = ["main"]

app = make_app("carobstair-router", "Run one router of the fleet.")


@app.default
def serve(
    *,
    settings: Path | None = None,
    check_settings: bool = False,
    log_level: Literal["debug", "info", "warning", "error"] = "info",
) -> None:
    """Run a router until SIGTERM.

    Parameters
    ----------
    settings : Path, optional
        INI file; defaults to the file that the users' platform provides.
    check_settings : bool
        Print the effective settings with secrets hidden, and exit.
    log_level : str
        Minimum level of logged events.
    """
    if settings is None:
        _serve_platform(check_settings, log_level)
        return
    # Imported here because the two routers share this program and each import costs
    # memory and start-up time.
    from carobstair.net.router import Router

    loaded = read_settings(settings, RouterSettings, check_settings)
    configure_logging(log_level, zone=loaded.instance.zone)

    async def run_router() -> None:
        await Router(loaded).run()

    asyncio.run(run_router())


def _serve_platform(check_settings: bool, log_level: str) -> None:
    from carobstair.cli import edge_router

    try:
        loaded = edge_router.load()
    except SettingsError as error:
        fail(f"{edge_router.PROGRAM}: {error}", EXIT_USAGE)
    if check_settings:
        print(loaded.model_dump_json(indent=2))
        return
    edge_router.serve(loaded, log_level)


def main() -> None:
    """Run the program."""
    run(app)


if __name__ == "__main__":
    main()
