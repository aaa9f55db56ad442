"""HTTP client for calls of the router's own, on the connections used for upstreams.

It has the same limits on heads, trailers and bodies. A general client library would
take a third of the processor time of a start.
"""

from __future__ import annotations

import asyncio
import time
from collections import deque
from dataclasses import dataclass, field

from carobstair.edge.upstream_connection import (
    ConnectionBroken,
    ResponseHead,
    UpstreamConnection,
    connect,
)

__all__ = ["HttpClient", "HttpResponse"]

MAX_BODY_BYTES = 8 * 1024 * 1024
# Used if the server sends no keep-alive timeout.
DEFAULT_KEEP_ALIVE_S = 10.0
# Idle connections are closed this long before the server would close them.
IDLE_MARGIN_S = 0.5


@dataclass(frozen=True, slots=True)
class HttpResponse:
    """Head and whole body of a response."""

    head: ResponseHead
    body: bytes


@dataclass(slots=True)
class HttpClient:
    """Sends requests to one server and keeps its idle connections.

    Parameters
    ----------
    address : str
        HOST:PORT of the server.
    """

    address: str
    _idle: deque[UpstreamConnection] = field(default_factory=deque)

    def close(self) -> None:
        """Close the idle connections."""
        while self._idle:
            self._idle.pop().abort()

    async def request(
        self,
        method: str,
        target: str,
        headers: dict[str, str],
        body: bytes = b"",
        timeout_s: float = 1.0,
        repeat: bool = False,
    ) -> HttpResponse:
        """Send a request and return the response.

        Parameters
        ----------
        repeat : bool
            Whether to send the request again if a kept connection turns out to be
            closed. The first one may have been executed.

        Raises
        ------
        ConnectionBroken
            If there is no whole response. The request may have been executed.
        TimeoutError
        """
        lines = [f"{method} {target} HTTP/1.1", f"Host: {self.address}"]
        lines += [f"{name}: {value}" for name, value in headers.items()]
        if body or method not in ("GET", "DELETE"):
            lines.append(f"Content-Length: {len(body)}")
        head = ("\r\n".join(lines) + "\r\n\r\n").encode()
        async with asyncio.timeout(timeout_s):
            connection = self._take_idle()
            if connection is not None:
                try:
                    return await self._exchange(connection, method, head, body)
                except ConnectionBroken:
                    # The server may have closed it while the request was sent.
                    if not repeat:
                        raise
            host, _, port = self.address.rpartition(":")
            connection = await connect(host, int(port))
            return await self._exchange(connection, method, head, body)

    def _take_idle(self) -> UpstreamConnection | None:
        now_s = time.monotonic()
        while self._idle:
            connection = self._idle.pop()
            limit_s = connection.idle_timeout_s
            if limit_s is None:
                limit_s = DEFAULT_KEEP_ALIVE_S
            age_s = now_s - connection.idle_since_s
            if connection.usable and age_s < limit_s - IDLE_MARGIN_S:
                return connection
            connection.abort()
        return None

    async def _exchange(
        self, connection: UpstreamConnection, method: str, head: bytes, body: bytes
    ) -> HttpResponse:
        complete = False
        try:
            connection.send(method, head, body)
            response = await connection.read_head()
            parts, size = [], 0
            while (part := await connection.read_body()) is not None:
                parts.append(part)
                size += len(part)
                if size > MAX_BODY_BYTES:
                    raise ConnectionBroken("the response is too large")
            complete = True
            return HttpResponse(response, b"".join(parts))
        finally:
            connection.mark_idle(time.monotonic())
            if complete and connection.usable and connection.idle_timeout_s != 0.0:
                self._idle.append(connection)
            else:
                connection.abort()
