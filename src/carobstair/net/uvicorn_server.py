"""A uvicorn server as a part of a process, and the options of its sockets."""

from __future__ import annotations

import contextlib
import socket
from collections.abc import Iterator

import uvicorn

from carobstair.net.keepalive import set_keepalive

__all__ = ["ACCEPTS_PER_TURN", "UvicornServer", "enable_dead_connection_detection"]

# Connections accepted in one turn of the event loop, before their limit is checked.
ACCEPTS_PER_TURN = 32
KEEPALIVE_IDLE_S = 10
KEEPALIVE_INTERVAL_S = 5
KEEPALIVE_PROBES = 3


def enable_dead_connection_detection(
    listener: socket.socket, user_timeout_s: float
) -> None:
    """Have the kernel close accepted connections whose peer is unreachable."""
    set_keepalive(
        listener,
        KEEPALIVE_IDLE_S,
        KEEPALIVE_INTERVAL_S,
        KEEPALIVE_PROBES,
        int(user_timeout_s * 1000),
    )


class UvicornServer(uvicorn.Server):
    """A uvicorn server that installs no signal handlers.

    Parameters
    ----------
    config : uvicorn.Config
        Its backlog is the number of connections that are accepted in one turn.
    backlog : int
        Number of connections that wait to be accepted.
    """

    def __init__(self, config: uvicorn.Config, backlog: int):
        super().__init__(config)
        self._backlog = backlog

    async def startup(self, sockets: list[socket.socket] | None = None) -> None:
        """Start to accept connections."""
        await super().startup(sockets)
        for listener in sockets or ():
            listener.listen(self._backlog)

    @contextlib.contextmanager
    def capture_signals(self) -> Iterator[None]:
        """Leave the signal handlers as they are."""
        yield
