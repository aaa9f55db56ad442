"""Program ``carobstair-router``: one router process."""

from __future__ import annotations

import asyncio
import sys
from pathlib import Path
from typing import Literal

from carobstair.cli.program import EXIT_USAGE, fail, make_app, read_settings, run
from carobstair.logs import LineWriter, configure_logging
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
        INI file. Without it, the file that the users' platform provides.
    check_settings : bool
        Print the settings in effect, secrets hidden, and end.
    log_level : str
        Least level of the events that are logged.
    """
    if settings is None:
        _serve_platform(check_settings, log_level)
        return
    # Either router is imported only where it runs: each costs memory and time.
    from carobstair.net.router import Router

    loaded = read_settings(settings, RouterSettings, check_settings)
    configure_logging(log_level, zone=loaded.instance.zone)

    async def run_router() -> None:
        await Router(loaded).run()

    asyncio.run(run_router())


def _serve_platform(check_settings: bool, log_level: str) -> None:
    from carobstair.edge.router import EdgeRouter
    from carobstair.platform.adapter import platform_parts
    from carobstair.platform.boot import BOOT_VARIABLE, boot_path, load_boot_settings

    path = boot_path()
    if path is None:
        fail(f"carobstair-router: --settings or {BOOT_VARIABLE} is needed.", EXIT_USAGE)
    try:
        loaded = load_boot_settings(path)
    except SettingsError as error:
        fail(f"carobstair-router: {error}", EXIT_USAGE)
    if check_settings:
        print(loaded.model_dump_json(indent=2))
        return
    stream = LineWriter(sys.stdout.fileno())
    configure_logging(log_level, loaded.zone, stream)

    async def run_router() -> None:
        await EdgeRouter(loaded, platform_parts(loaded, path)).run()

    asyncio.run(run_router())


def main() -> None:
    """Run the program."""
    run(app)


if __name__ == "__main__":
    main()
