"""HTTP/1.1 connections to upstreams, one request at a time.

Unlike a general HTTP client it tells apart what decides whether a request may be
sent again: no connection, nothing written, an answer that broke off, an answer
that ended cleanly without a length, and bytes that belong to no request.
"""

from __future__ import annotations

import asyncio
import re
import socket
from collections import deque
from dataclasses import dataclass, field

import httptools

from carobstair.edge.terms import Headers

__all__ = ["AnswerHead", "ConnectionBroken", "UpstreamConnection", "connect"]

CONNECT_TIMEOUT_S = 0.6
# Unacknowledged bytes break a connection after this time. Two lost packets in a
# row take about 0.7 s to be sent again; a silent connection must not cost more
# than the two seconds after which callers give up a stream.
SILENCE_TIMEOUT_MS = 1500
KEEPALIVE_IDLE_S = 1
KEEPALIVE_INTERVAL_S = 1
KEEPALIVE_PROBES = 2
# Answers wait in memory while the caller does not read.
MAX_BUFFERED_BYTES = 256 * 1024
IDLE_TIMEOUT = re.compile(rb"timeout=(\d+)")


class ConnectionBroken(ConnectionError):
    """A connection ended or carried bytes that are no answer."""


@dataclass(slots=True)
class AnswerHead:
    """Status and headers of an answer."""

    status: int
    headers: Headers = field(default_factory=list)

    def get(self, name: bytes) -> bytes | None:
        """Return the first value of a header, by its name in lower case."""
        for known, value in self.headers:
            if known == name:
                return value
        return None


_END = object()


class UpstreamConnection(asyncio.Protocol):
    """One connection; `usable` tells whether another request may follow."""

    def __init__(self):
        self._transport: asyncio.Transport | None = None
        self._parser = httptools.HttpResponseParser(self)
        self._items: deque = deque()
        self._buffered = 0
        self._waiter: asyncio.Future | None = None
        self._error: Exception | None = None
        self._expected = 0
        self._head: AnswerHead | None = None
        self._in_message = False
        self._until_eof = False
        self._paused = False
        self._poisoned = False
        self.requests = 0
        self.idle_limit_s: float | None = None
        self.idle_since_s = 0.0

    # asyncio.Protocol

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Take over the transport."""
        self._transport = transport
        sock = transport.get_extra_info("socket")
        for name, value in (
            ("TCP_KEEPIDLE", KEEPALIVE_IDLE_S),
            ("TCP_KEEPINTVL", KEEPALIVE_INTERVAL_S),
            ("TCP_KEEPCNT", KEEPALIVE_PROBES),
            ("TCP_USER_TIMEOUT", SILENCE_TIMEOUT_MS),
        ):
            option = getattr(socket, name, None)
            if option is not None:
                sock.setsockopt(socket.IPPROTO_TCP, option, value)
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)

    def data_received(self, data: bytes) -> None:
        """Parse bytes of an answer."""
        if not self._expected and not self._in_message:
            # Bytes after a whole answer belong to no request.
            self._fail(ConnectionBroken("unexpected bytes"))
            return
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserError as error:
            self._fail(ConnectionBroken(f"not an answer: {error}"))

    def eof_received(self) -> bool:
        """End an answer that has no length."""
        if self._in_message and self._until_eof:
            self._in_message = False
            self._poisoned = True
            self._put(_END)
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        """Fail whoever waits for an answer."""
        self._fail(ConnectionBroken(str(exc) if exc else "closed by the upstream"))

    # httptools callbacks

    def on_message_begin(self) -> None:
        """Start an answer."""
        if not self._expected:
            self._poisoned = True
        self._in_message = True
        self._head = AnswerHead(0)

    def on_header(self, name: bytes, value: bytes) -> None:
        """Collect a header."""
        self._head.headers.append((name.lower(), value))

    def on_headers_complete(self) -> None:
        """Queue the head of an answer."""
        self._head.status = self._parser.get_status_code()
        if self._poisoned or self._head.status < 200:
            return
        framed = self._head.get(b"content-length") is not None
        chunked = (self._head.get(b"transfer-encoding") or b"").lower() == b"chunked"
        bodiless = self._head.status in (204, 304)
        self._until_eof = not (framed or chunked or bodiless)
        if not self._parser.should_keep_alive() or self._until_eof:
            # The answer itself is still read; no request follows it.
            self.idle_limit_s = 0.0
        else:
            self._note_idle_limit()
        self._put(self._head)

    def on_body(self, data: bytes) -> None:
        """Queue a part of the body."""
        if self._expected:
            self._put(data)

    def on_message_complete(self) -> None:
        """End an answer."""
        if not self._expected or self._head.status < 200:
            return
        self._in_message = False
        self._put(_END)

    # For the caller

    @property
    def usable(self) -> bool:
        """Whether a request may be sent now."""
        return (
            not self._poisoned
            and self._error is None
            and not self._expected
            and not self._in_message
            and not self._items
            and not self._transport.is_closing()
        )

    def send(self, head: bytes, body: bytes) -> None:
        """Write a whole request."""
        self._items.clear()
        self._buffered = 0
        self._expected = 1
        self.requests += 1
        self._transport.write(head + body if body else head)

    async def read_head(self) -> AnswerHead:
        """Return the head of the next answer.

        Raises
        ------
        ConnectionBroken
        """
        while True:
            item = await self._take()
            if isinstance(item, AnswerHead):
                return item

    async def read_body(self) -> bytes | None:
        """Return the next part of the body, or None at its end.

        Raises
        ------
        ConnectionBroken
            If the answer broke off before its end.
        """
        item = await self._take()
        return None if item is _END else item

    def finish(self, now_s: float) -> None:
        """Make the connection free for another request after a whole answer."""
        self._expected = 0
        self.idle_since_s = now_s

    def close(self) -> None:
        """Drop the connection at once, with whatever runs on it."""
        self._poisoned = True
        if self._transport is not None:
            self._transport.abort()

    # Inner parts

    def _note_idle_limit(self) -> None:
        match = IDLE_TIMEOUT.search(self._head.get(b"keep-alive") or b"")
        if match:
            self.idle_limit_s = float(match.group(1))

    def _put(self, item) -> None:
        self._items.append(item)
        if isinstance(item, bytes):
            self._buffered += len(item)
            if self._buffered > MAX_BUFFERED_BYTES and not self._paused:
                self._paused = True
                self._transport.pause_reading()
        self._wake()

    async def _take(self):
        while not self._items:
            if self._error is not None:
                raise self._error
            self._waiter = asyncio.get_running_loop().create_future()
            try:
                await self._waiter
            finally:
                self._waiter = None
        item = self._items.popleft()
        if isinstance(item, bytes):
            self._buffered -= len(item)
            if self._paused and self._buffered < MAX_BUFFERED_BYTES // 2:
                self._paused = False
                if not self._transport.is_closing():
                    self._transport.resume_reading()
        return item

    def _fail(self, error: Exception) -> None:
        if self._error is None:
            self._error = error
        self._poisoned = True
        if self._transport is not None and not self._transport.is_closing():
            self._transport.abort()
        self._wake()

    def _wake(self) -> None:
        if self._waiter is not None and not self._waiter.done():
            self._waiter.set_result(None)


async def connect(host: str, port: int) -> UpstreamConnection:
    """Return a new connection.

    Raises
    ------
    ConnectionBroken
        If none came about; nothing was sent.
    """
    loop = asyncio.get_running_loop()
    try:
        async with asyncio.timeout(CONNECT_TIMEOUT_S):
            _, connection = await loop.create_connection(UpstreamConnection, host, port)
    except (OSError, TimeoutError) as error:
        raise ConnectionBroken(str(error) or "connect timed out") from error
    return connection
