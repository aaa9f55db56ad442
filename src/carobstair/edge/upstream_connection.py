"""HTTP/1.1 connections to upstreams, one request at a time.

Unlike a general HTTP client, it distinguishes the cases that decide whether a
request may be sent again: connect failed, nothing written, response truncated,
response without a length ended by a clean close, and data that belongs to no
request.
"""

from __future__ import annotations

import asyncio
import re
import select
from collections import deque
from dataclasses import dataclass, field

import httptools

from carobstair.core.framing import (
    Framing,
    FramingError,
    check_status,
    response_framing,
)
from carobstair.edge.metadata import Headers
from carobstair.net.bounded_reads import BoundedReads
from carobstair.net.keepalive import set_keepalive

__all__ = [
    "ConnectionBroken",
    "ConnectionLate",
    "ConnectionRefused",
    "ResponseHead",
    "UpstreamConnection",
    "connect",
]

CONNECT_TIMEOUT_S = 0.6
# A timer that fires later shows that the event loop is late.
LATE_TIMER_S = 0.1
# TCP_USER_TIMEOUT. Retransmission after two consecutive lost packets takes about
# 0.7 s; a dead connection must be detected within the two seconds after which
# callers abandon a stream.
UNACKED_TIMEOUT_MS = 1500
KEEPALIVE_IDLE_S = 1
KEEPALIVE_INTERVAL_S = 1
KEEPALIVE_PROBES = 2
# Buffer for response data that the caller has not read yet. With 256 KiB and reads of
# the same size, 450 streams that were not read took 100 MB.
MAX_BUFFERED_BYTES = 64 * 1024
# Parts of a body are joined up to this size. Of the body of a request, the transport
# copies no more than this at a time and what its buffer holds.
MAX_JOINED_BYTES = 64 * 1024
MAX_UNSENT_BYTES = 64 * 1024
# Bytes received without a part of a body: heads, informational responses, trailers
# and chunk extensions. Receiving more closes the connection.
MAX_OVERHEAD_BYTES = 64 * 1024
KEEP_ALIVE_TIMEOUT = re.compile(rb"timeout=(\d+)")
POLL_INPUT = select.POLLIN | getattr(select, "POLLRDHUP", 0)


class ConnectionBroken(ConnectionError):
    """A connection failed or closed, or received data that is not a valid response."""


class ConnectionRefused(ConnectionBroken):
    """Nothing listens at the upstream's address."""


class ConnectionLate(ConnectionBroken):
    """A connect timed out while this process was late, which shows nothing."""


@dataclass(slots=True)
class ResponseHead:
    """Status and headers of a response."""

    status: int
    headers: Headers = field(default_factory=list)
    framing: Framing = Framing.NONE

    def get(self, name: bytes) -> bytes | None:
        """Return the first value of a header; `name` is in lower case."""
        for header, value in self.headers:
            if header == name:
                return value
        return None


_BODY_END = object()


class UpstreamConnection(BoundedReads):
    """One connection to an upstream, with one request in progress at a time."""

    def __init__(self):
        self._transport: asyncio.Transport | None = None
        self._parser = httptools.HttpResponseParser(self)
        self._received: deque = deque()
        self._buffered = 0
        self._waiter: asyncio.Future | None = None
        self._error: Exception | None = None
        self._response_expected = 0
        self._head: ResponseHead | None = None
        self._in_message = False
        self._head_complete = False
        self._in_chunks = False
        self._overhead_bytes = 0
        self._method = "GET"
        self._paused = False
        # The rest of a request's body, and whether the transport takes more of it.
        self._unsent = memoryview(b"")
        self._may_write = True
        self._not_reusable = False
        self.request_count = 0
        self.idle_timeout_s: float | None = None
        self.idle_since_s = 0.0

    # asyncio.Protocol

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the transport and set TCP keep-alive and timeout options."""
        self._transport = transport
        transport.set_write_buffer_limits(MAX_UNSENT_BYTES)
        sock = transport.get_extra_info("socket")
        set_keepalive(
            sock,
            KEEPALIVE_IDLE_S,
            KEEPALIVE_INTERVAL_S,
            KEEPALIVE_PROBES,
            UNACKED_TIMEOUT_MS,
        )

    def data_received(self, data: bytes) -> None:
        """Parse response data."""
        if not self._response_expected and not self._in_message:
            # Data after a complete response belongs to no request.
            self._fail(ConnectionBroken("unexpected bytes"))
            return
        self._overhead_bytes += len(data)
        try:
            self._parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade) as error:
            self._fail(ConnectionBroken(f"not an answer: {error!r}"))
        if self._overhead_bytes > MAX_OVERHEAD_BYTES:
            self._fail(ConnectionBroken("a head or trailer without end"))

    def eof_received(self) -> bool:
        """Complete a response that is delimited by the end of the connection."""
        whole = (
            self._in_message
            and self._head_complete
            and self._head.framing is Framing.CONNECTION_END
        )
        if whole:
            self._not_reusable = True
            self._end_response()
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        """Raise an error in a pending read."""
        self._fail(ConnectionBroken(str(exc) if exc else "closed by the upstream"))

    def pause_writing(self) -> None:
        """Keep the rest of a body until the transport has room for it."""
        self._may_write = False

    def resume_writing(self) -> None:
        """Write more of a body."""
        self._may_write = True
        self._write_body()

    # httptools callbacks

    def on_message_begin(self) -> None:
        """Start a response."""
        if not self._response_expected:
            self._not_reusable = True
        self._in_message = True
        self._head_complete = False
        self._in_chunks = False
        self._head = ResponseHead(0)

    def on_header(self, name: bytes, value: bytes) -> None:
        """Add a header to the response head; trailers are dropped."""
        if not self._head_complete:
            self._head.headers.append((name.lower(), value))

    def on_headers_complete(self) -> None:
        """Queue the head of a response, unless it is informational (1xx)."""
        self._head.status = self._parser.get_status_code()
        self._head_complete = True
        if self._not_reusable:
            return
        try:
            check_status(self._head.status)
        except FramingError as error:
            self._fail(ConnectionBroken(str(error)))
            return
        if self._head.status < 200:
            return
        self._overhead_bytes = 0
        self._enqueue(self._head)
        try:
            framing = response_framing(
                self._method, self._head.status, self._head.headers
            )
        except FramingError as error:
            # The head still says whether the request ran.
            self._fail(ConnectionBroken(str(error)))
            return
        self._head.framing = framing
        # The parser doesn't know of HEAD and still expects a body.
        to_head = self._method == "HEAD"
        at_connection_end = framing is Framing.CONNECTION_END
        if to_head or at_connection_end or not self._parser.should_keep_alive():
            # The response is still read, but the connection is not reused.
            self.idle_timeout_s = 0.0
        else:
            self._read_keep_alive_timeout()
        if to_head:
            self._end_response()

    def on_chunk_header(self) -> None:
        """Start a chunk of the body."""
        self._in_chunks = True

    def on_body(self, data: bytes) -> None:
        """Queue a part of the body."""
        self._overhead_bytes = 0
        if not self._response_expected or not self._in_message or self._error:
            return
        if self._in_chunks != (self._head.framing is Framing.CHUNKED):
            self._fail(ConnectionBroken("the parser reads another framing"))
            return
        self._enqueue(data)

    def on_message_complete(self) -> None:
        """Queue the end of a response, unless it is informational (1xx)."""
        if not self._response_expected or self._head.status < 200:
            return
        if self._error is None and self._in_message:
            self._end_response()

    # Requests and responses

    @property
    def usable(self) -> bool:
        """Whether a request may be sent on this connection now."""
        return (
            not self._not_reusable
            and self._error is None
            and not self._response_expected
            and not self._in_message
            and not self._received
            and not self._unsent
            and not self._transport.is_closing()
        )

    def has_input(self) -> bool:
        """Return whether an idle connection has ended or received bytes, read or not.

        A late event loop knows of neither.
        """
        poll = select.poll()
        poll.register(self._transport.get_extra_info("socket"), POLL_INPUT)
        return bool(poll.poll(0))

    def send(self, method: str, head: bytes, body: bytes) -> None:
        """Write a complete request.

        Parameters
        ----------
        method : str
            Method that the head names.
        head : bytes
            Request line and headers, with the empty line.
        body : bytes
        """
        self._method = method
        self._received.clear()
        self._buffered = 0
        self._overhead_bytes = 0
        self._response_expected = 1
        self.request_count += 1
        if len(body) <= MAX_JOINED_BYTES:
            self._transport.write(head + body)
        else:
            # The caller of this holds the body; the transport would copy all of it.
            self._transport.write(head)
            self._unsent = memoryview(body)
            self._write_body()

    async def read_head(self) -> ResponseHead:
        """Return the head of the next response.

        Raises
        ------
        ConnectionBroken
        """
        while True:
            await self._wait_for_data()
            item = self._take()
            if isinstance(item, ResponseHead):
                return item

    async def read_body(self) -> bytes | None:
        """Return what has arrived of the body, or None at its end.

        Chunks that have arrived by then are joined: relaying each of them would cost
        most where the event loop is late already.

        Raises
        ------
        ConnectionBroken
            If the response was truncated.
        """
        received = self._received
        if not received:
            await self._wait_for_data()
        item = self._take()
        if item is _BODY_END:
            return None
        if not received or not isinstance(received[0], bytes):
            return item
        parts, size = [item], len(item)
        while received and isinstance(received[0], bytes) and size < MAX_JOINED_BYTES:
            parts.append(self._take())
            size += len(parts[-1])
        return b"".join(parts)

    async def pause(self, pause_s: float) -> None:
        """Read nothing for a time, so that what arrives meanwhile is read at once."""
        if self._paused or self._transport.is_closing():
            return
        self._transport.pause_reading()
        try:
            await asyncio.sleep(pause_s)
        finally:
            if not self._transport.is_closing():
                self._transport.resume_reading()

    @property
    def unsent_bytes(self) -> int:
        """What the transport holds of a request, as the kernel has not taken it."""
        return self._transport.get_write_buffer_size()

    @property
    def is_sending(self) -> bool:
        """Whether the transport has still to be given a part of a request."""
        return bool(self._unsent)

    @property
    def body_ended(self) -> bool:
        """Whether the rest of the body is its end, which `read_body` returns next."""
        return bool(self._received) and self._received[0] is _BODY_END

    def mark_idle(self, now_s: float) -> None:
        """Mark the connection idle after a complete response."""
        self._response_expected = 0
        self.idle_since_s = now_s

    def abort(self) -> None:
        """Abort the connection and any request in progress on it."""
        self._not_reusable = True
        self._unsent = memoryview(b"")
        if self._transport is not None:
            self._transport.abort()

    # Internals

    def _write_body(self) -> None:
        while self._unsent and self._may_write and not self._transport.is_closing():
            part = self._unsent[:MAX_JOINED_BYTES]
            self._unsent = self._unsent[MAX_JOINED_BYTES:]
            self._transport.write(part)

    def _end_response(self) -> None:
        self._in_message = False
        self._overhead_bytes = 0
        self._enqueue(_BODY_END)

    def _read_keep_alive_timeout(self) -> None:
        match = KEEP_ALIVE_TIMEOUT.search(self._head.get(b"keep-alive") or b"")
        if match:
            self.idle_timeout_s = float(match.group(1))

    def _enqueue(self, item) -> None:
        self._received.append(item)
        if isinstance(item, bytes):
            self._buffered += len(item)
            if self._buffered > MAX_BUFFERED_BYTES and not self._paused:
                self._paused = True
                self._transport.pause_reading()
        self._wake()

    async def _wait_for_data(self) -> None:
        while not self._received:
            if self._error is not None:
                raise self._error
            self._waiter = asyncio.get_running_loop().create_future()
            try:
                await self._waiter
            finally:
                self._waiter = None

    def _take(self):
        item = self._received.popleft()
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
        self._not_reusable = True
        self._unsent = memoryview(b"")
        if self._transport is not None and not self._transport.is_closing():
            self._transport.abort()
        self._wake()

    def _wake(self) -> None:
        if self._waiter is not None and not self._waiter.done():
            self._waiter.set_result(None)


async def connect(host: str, port: int) -> UpstreamConnection:
    """Open a connection.

    Raises
    ------
    ConnectionLate
        If this process was too late to see whether the connection came about.
    ConnectionBroken
        If the connection could not be established; nothing was sent.
    """
    loop = asyncio.get_running_loop()
    opening = loop.create_task(loop.create_connection(UpstreamConnection, host, port))
    due_s = loop.time() + CONNECT_TIMEOUT_S
    late_s = 0.0
    try:
        await asyncio.wait({opening}, timeout=CONNECT_TIMEOUT_S)
        late_s = loop.time() - due_s
        if not opening.done() and late_s > LATE_TIMER_S:
            # Connections that were ready before the timer are handled after it.
            await asyncio.wait({opening}, timeout=LATE_TIMER_S)
        if opening.done():
            return opening.result()[1]
    except ConnectionRefusedError as error:
        raise ConnectionRefused(str(error)) from error
    except (OSError, ValueError, OverflowError) as error:
        # An address that can't be used raises one of the last two.
        raise ConnectionBroken(str(error)) from error
    except asyncio.CancelledError:
        opening.add_done_callback(_abort_opened)
        raise
    finally:
        opening.cancel()
    if late_s > LATE_TIMER_S:
        raise ConnectionLate(f"connect timed out, {late_s:.3f} s behind")
    raise ConnectionBroken("connect timed out")


def _abort_opened(opening: asyncio.Task) -> None:
    """Close a connection that came about although nobody waits for it."""
    if not opening.cancelled() and opening.exception() is None:
        opening.result()[1].abort()
