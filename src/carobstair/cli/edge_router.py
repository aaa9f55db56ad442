"""Starts the edge router on the users' platform without an argument parser.

After a power failure the platform restarts all processes of the fleet at once while
callers wait. Importing an argument parser and the settings models of the other
programs would take a quarter of the start-up time.
"""

from __future__ import annotations

import asyncio
import sys

from carobstair.core.router_load import LoopUtilisation
from carobstair.edge.measured_selector import measured_loop
from carobstair.edge.router import EdgeRouter
from carobstair.edge.settings import EdgeSettings
from carobstair.logs import LineWriter, configure_logging
from carobstair.platform.adapter import platform_parts
from carobstair.platform.boot import BOOT_VARIABLE, boot_path, load_boot_settings
from carobstair.settings_error import SettingsError

__all__ = ["load", "main", "serve"]

PROGRAM = "carobstair-router"


def load() -> EdgeSettings:
    """Return the settings from the file that the platform names.

    Raises
    ------
    SettingsError
        If the platform names no file, or the file is missing or invalid.
    """
    path = boot_path()
    if path is None:
        raise SettingsError(f"--settings or {BOOT_VARIABLE} is required.")
    return load_boot_settings(path)


def serve(settings: EdgeSettings, log_level: str = "info") -> None:
    """Run a router until SIGTERM."""
    stream = LineWriter(sys.stdout.fileno())
    configure_logging(log_level, settings.zone, stream)

    utilisation = LoopUtilisation()

    async def run_router() -> None:
        parts = platform_parts(settings, boot_path())
        await EdgeRouter(settings, parts, utilisation).run()

    with asyncio.Runner(loop_factory=lambda: measured_loop(utilisation)) as runner:
        runner.run(run_router())


def main() -> None:
    """Run a router with the platform's settings, or exit with a one-line error."""
    try:
        settings = load()
    except SettingsError as error:
        print(f"{PROGRAM}: {error}", file=sys.stderr)
        sys.exit(2)
    serve(settings)


if __name__ == "__main__":
    main()
