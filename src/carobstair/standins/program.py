"""Command line and serving loop shared by the stand-in programs."""

from __future__ import annotations

import asyncio
import signal
from collections.abc import Callable
from dataclasses import dataclass
from typing import TypeVar

import cyclopts

from carobstair.net.http import HttpServer

__all__ = ["StandInSettings", "run_stand_in", "serve_until_signal"]


@cyclopts.Parameter(name="*")
@dataclass(frozen=True)
class StandInSettings:
    """Address on which a stand-in listens."""

    port: int
    host: str = "127.0.0.1"


_Settings = TypeVar("_Settings", bound=StandInSettings)


def run_stand_in(
    make_app: Callable[[_Settings], object], settings_type: type[_Settings]
) -> None:
    """Parse the arguments and serve until SIGTERM or SIGINT."""

    def program(settings) -> None:
        app = make_app(settings)
        asyncio.run(serve_until_signal(HttpServer(app, settings.host, settings.port)))

    program.__annotations__ = {"settings": settings_type, "return": None}
    cyclopts.run(program)


async def serve_until_signal(server: HttpServer) -> None:
    """Serve until SIGTERM or SIGINT."""
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, server.stop)
    await server.serve()
