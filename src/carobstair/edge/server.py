"""HTTP servers of the edge router on uvicorn."""

from __future__ import annotations

import contextlib
import select
import socket
from collections.abc import Callable, Iterator

import uvicorn

from carobstair.net.http import BoundedHttpProtocol

__all__ = ["CALLER_CLOSED", "CallerServer", "PageServer"]

# Key in the ASGI scope of a function that returns whether the caller has closed its
# connection, also if the event loop has not read that yet.
CALLER_CLOSED = "carobstair.caller_closed"
# Not known on all systems.
POLL_CLOSED = getattr(select, "POLLRDHUP", 0)

BACKLOG = 1024
# Used until a configuration is in force.
DEFAULT_IDLE_TIMEOUT_S = 75.0


class CallerProtocol(BoundedHttpProtocol):
    """Closes connections that have been idle for the configured timeout.

    The timeout is read at the start of each idle period, so that a change also
    applies to open connections.
    """

    def connection_made(self, transport) -> None:
        """Start the idle timer before the first request arrives."""
        super().connection_made(transport)
        self.timeout_keep_alive_task = self.loop.call_later(
            self.config.timeout_keep_alive, self.timeout_keep_alive_handler
        )

    def on_headers_complete(self) -> None:
        """Pass the request on, with what tells whether its caller has left."""
        self.scope[CALLER_CLOSED] = self._is_closed_by_caller
        super().on_headers_complete()

    def _is_closed_by_caller(self) -> bool:
        if self.transport.is_closing():
            return True
        if not POLL_CLOSED:
            return False
        poll = select.poll()
        poll.register(self.transport.get_extra_info("socket"), POLL_CLOSED)
        return bool(poll.poll(0))

    def on_response_complete(self) -> None:
        """Start the idle timer with the current timeout."""
        self.timeout_keep_alive = self.config.timeout_keep_alive
        super().on_response_complete()


class _Server(uvicorn.Server):
    @contextlib.contextmanager
    def capture_signals(self) -> Iterator[None]:
        yield


class CallerServer:
    """Serves an ASGI application to callers.

    Parameters
    ----------
    app : ASGI application
    host : str
    port : int
    """

    def __init__(self, app, host: str, port: int):
        self._config = uvicorn.Config(
            app,
            # uvicorn's detection takes a bound method for an ASGI 2 application.
            interface="asgi3",
            proxy_headers=False,
            loop="none",
            http=CallerProtocol,
            lifespan="off",
            log_config=None,
            access_log=False,
            timeout_keep_alive=DEFAULT_IDLE_TIMEOUT_S,
            server_header=False,
            date_header=False,
        )
        self._server = _Server(self._config)
        self._socket = socket.create_server((host, port), backlog=BACKLOG)
        self.port = self._socket.getsockname()[1]

    @property
    def idle_timeout_s(self) -> float:
        """Time after which an idle connection is closed."""
        return self._config.timeout_keep_alive

    @idle_timeout_s.setter
    def idle_timeout_s(self, timeout_s: float) -> None:
        self._config.timeout_keep_alive = timeout_s

    @property
    def connections(self) -> int:
        """Number of open connections."""
        return len(self._server.server_state.connections)

    @property
    def is_idle(self) -> bool:
        """Whether the kernel has taken all that was written to callers."""
        return not any(
            protocol.transport.get_write_buffer_size()
            for protocol in self._server.server_state.connections
        )

    async def serve(self) -> None:
        """Serve until cancelled."""
        await self._server.serve(sockets=[self._socket])


class PageServer(CallerServer):
    """Serves one page on every path and generates it for each request.

    Parameters
    ----------
    page : callable
        Returns the status and the body.
    host : str
    port : int
    """

    def __init__(self, page: Callable[[], tuple[int, bytes]], host: str, port: int):
        self._page = page
        super().__init__(self._respond, host, port)

    async def _respond(self, scope, receive, send) -> None:
        if scope["type"] != "http":
            return
        status, body = self._page()
        headers = [
            (b"content-type", b"text/plain; charset=utf-8"),
            (b"content-length", b"%d" % len(body)),
        ]
        start = {"type": "http.response.start", "status": status}
        await send(start | {"headers": headers})
        await send({"type": "http.response.body", "body": body})
