"""HTTP server plumbing: falcon on uvicorn, with callers that go away noticed."""

from __future__ import annotations

import asyncio
import contextlib
import socket
from collections.abc import Iterator

import uvicorn

__all__ = ["DisconnectGuard", "HttpServer"]


class DisconnectGuard:
    """ASGI wrapper that cancels the handling of a request whose caller left.

    Falcon reads from the connection only while it reads the body, so a caller
    that leaves while its request waits would go unnoticed.
    """

    # Two messages in hand keep a fast sender from filling memory.
    MAX_BUFFERED_MESSAGES = 2

    def __init__(self, app):
        self._app = app

    async def __call__(self, scope, receive, send) -> None:
        """Handle one ASGI connection."""
        if scope["type"] != "http":
            await self._app(scope, receive, send)
            return
        messages: asyncio.Queue = asyncio.Queue(self.MAX_BUFFERED_MESSAGES)
        handler = asyncio.create_task(self._app(scope, messages.get, send))
        pump = asyncio.create_task(self._pump(receive, messages))
        try:
            await asyncio.wait({handler, pump}, return_when=asyncio.FIRST_COMPLETED)
            if not handler.done():
                handler.cancel()
            with contextlib.suppress(asyncio.CancelledError):
                await handler
        finally:
            pump.cancel()
            handler.cancel()

    async def _pump(self, receive, messages: asyncio.Queue) -> None:
        while True:
            message = await receive()
            if message["type"] == "http.disconnect":
                return
            await messages.put(message)


class HttpServer:
    """A uvicorn server that leaves signals to the program."""

    def __init__(self, app, host: str, port: int):
        config = uvicorn.Config(
            DisconnectGuard(app),
            loop="none",
            http="httptools",
            lifespan="off",
            log_config=None,
            access_log=False,
            timeout_keep_alive=75,
            timeout_graceful_shutdown=2,
            server_header=False,
        )
        self._server = _Server(config)
        self._socket = socket.create_server((host, port), backlog=512)
        self.port = self._socket.getsockname()[1]

    async def serve(self) -> None:
        """Serve until `stop` is called."""
        await self._server.serve(sockets=[self._socket])

    def stop(self) -> None:
        """End `serve` after open requests have ended."""
        self._server.should_exit = True


class _Server(uvicorn.Server):
    @contextlib.contextmanager
    def capture_signals(self) -> Iterator[None]:
        yield
