"""Holds responses to callers with HTTP/1.0 until they are complete."""

from __future__ import annotations

from collections.abc import Awaitable, Callable

__all__ = ["WithLength"]

MAX_HELD_BYTES = 4 * 1024 * 1024


class WithLength:
    """ASGI wrapper that sends a response with its length, once it is complete.

    Callers with HTTP/1.0 know no chunks, and would take a response that breaks off
    with its connection as whole.
    """

    def __init__(self, app):
        self._app = app

    async def __call__(self, scope, receive, send) -> None:
        """Handle one request."""
        held = _HeldResponse(send, scope["method"])
        await self._app(scope, receive, held)


class _HeldResponse:
    def __init__(self, send: Callable[[dict], Awaitable[None]], method: str):
        self._send = send
        self._method = method
        self._start: dict | None = None
        self._body = bytearray()

    async def __call__(self, message: dict) -> None:
        if message["type"] == "http.response.start":
            names = {name.lower() for name, _ in message["headers"]}
            if self._method == "HEAD" or b"content-length" in names:
                await self._send(message)
            else:
                self._start = message
            return
        if self._start is None:
            await self._send(message)
            return
        self._body += message.get("body", b"")
        if len(self._body) > MAX_HELD_BYTES:
            raise HeldResponseTooLarge(f"more than {MAX_HELD_BYTES} bytes")
        if not message.get("more_body", False):
            length = (b"content-length", b"%d" % len(self._body))
            start, self._start = self._start, None
            await self._send(start | {"headers": [*start["headers"], length]})
            await self._send(message | {"body": bytes(self._body)})


class HeldResponseTooLarge(Exception):
    """A response that must be held until it is complete takes too much memory."""
