"""Program ``carobstair-router``: one router process."""

from __future__ import annotations

import asyncio
from pathlib import Path
from typing import Literal

from carobstair.cli.program import make_app, read_settings, run
from carobstair.logs import configure_logging
from carobstair.net.router import Router
from carobstair.settings import RouterSettings

__all__ = ["main"]

app = make_app("carobstair-router", "Run one router of the fleet.")


@app.default
def serve(
    *,
    settings: Path,
    check_settings: bool = False,
    log_level: Literal["debug", "info", "warning", "error"] = "info",
) -> None:
    """Run a router until SIGTERM.

    Parameters
    ----------
    settings : Path
        INI file.
    check_settings : bool
        Print the settings in effect, secrets hidden, and end.
    log_level : str
        Least level of the events that are logged.
    """
    loaded = read_settings(settings, RouterSettings, check_settings)
    configure_logging(log_level, zone=loaded.instance.zone)
    asyncio.run(_serve(loaded))


async def _serve(settings: RouterSettings) -> None:
    await Router(settings).run()


def main() -> None:
    """Run the program."""
    run(app)


if __name__ == "__main__":
    main()
