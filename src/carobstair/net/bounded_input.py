"""Reads a connection in bounded pieces, and one request at a time.

uvicorn parses all that it has received, and queues the requests that it finds. Here
the parser is given no byte after the end of a request until the answer to it is
complete and its caller reads it. What arrives meanwhile is held up to a bound; then
the connection is not read any more. Bodies share the time of each turn of the event
loop: while none is left, what was received of a body is held in the same way.
"""

from __future__ import annotations

import asyncio
import re

from uvicorn.protocols.http.httptools_impl import HttpToolsProtocol

from carobstair.core.chunked_body import ChunkedBody
from carobstair.net.connection_limits import Closed, ConnectionLimits, Phase

__all__ = ["BoundedInputProtocol"]

# Input of one connection that waits for the answer to an earlier request.
MAX_PENDING_BYTES = 16 * 1024
# Line ends between two requests, which a server has to skip. Sound clients send one.
MAX_EMPTY_LINE_BYTES = 1_024
LINE_ENDS = b"\r\n"
# Ends a request head, or the trailers of a body in chunks.
EMPTY_LINE = re.compile(rb"\n\r?\n")
# Objects that a header takes in memory, apart from its bytes.
HEADER_OBJECT_BYTES = 200
# Time for the rest of a body that nobody reads, as its request is answered.
UNFINISHED_BODY_S = 15.0


class BoundedInputProtocol(HttpToolsProtocol, asyncio.BufferedProtocol):
    """HTTP/1.1 protocol whose input is bounded from the first byte."""

    def __init__(self, config, *args, **kwargs):
        super().__init__(config, *args, **kwargs)
        self._limits: ConnectionLimits = config.connection_limits
        self.address = ""
        # Whether the parser is within a request, and within its head.
        self._in_request = False
        self._in_head = False
        self._head_bytes = 0
        # Rest of a body with a length; None if its end is known by an empty line.
        self._body_left: int | None = None
        self._chunks: ChunkedBody | None = None
        self._last_bytes = b""
        self._empty_line_bytes = 0
        self._pending = b""
        self._is_paused = False
        # Whether a part of a body waits for its turn, and whether it has its turn.
        self._waits_for_turn = False
        self._has_turn = False
        # Time that the parser has spent on the body.
        self._body_s = 0.0
        self._body_timer: asyncio.TimerHandle | None = None

    def connection_made(self, transport) -> None:
        """Register the connection, or refuse it if there are too many."""
        super().connection_made(transport)
        self.address = self.client[0] if self.client else ""
        if not self._limits.add(self):
            self.evict(Closed.NO_ROOM)

    def connection_lost(self, exc: Exception | None) -> None:
        """Forget the connection."""
        self._limits.remove(self)
        self._pending = b""
        self._stop_body_timer()
        # uvicorn does so only after a regular end.
        self._unset_keepalive_if_required()
        super().connection_lost(exc)

    def get_buffer(self, sizehint: int) -> memoryview:
        """Return the buffer into which the transport reads."""
        return self._limits.read_buffer()

    def buffer_updated(self, nbytes: int) -> None:
        """Take what the transport has read."""
        self._take(bytes(self._limits.read_buffer()[:nbytes]))

    def _take(self, data: bytes) -> None:
        if self._pending or self._must_wait():
            self._hold(data)
            return
        if not self._in_request:
            data = self._skip_empty_lines(data)
        if data:
            self.data_received(data)

    def data_received(self, data: bytes) -> None:
        """Parse received bytes up to the end of a request, and hold the rest."""
        while data and self.parser is not None and not self.transport.is_closing():
            if not self._in_request:
                if self._must_wait():
                    self._hold(data)
                    return
                data = self._skip_empty_lines(data)
                if not data:
                    return
            if not self._in_request or self._in_head:
                data = self._parse_piece(data)
                continue
            turns = self._limits.turns
            if not self._has_turn and not turns.has_time:
                self._wait_for_turn(data)
                return
            began_s = turns.clock()
            data = self._parse_piece(data)
            spent_s = turns.clock() - began_s
            self._body_s += spent_s
            turns.spend(spent_s)

    def _parse_piece(self, data: bytes) -> bytes:
        """Parse the first piece of the data, and return the rest."""
        piece, size = self._next_piece(data)
        self._last_bytes = (self._last_bytes[-1:] + piece[-2:])[-2:]
        if not self.accept_piece(piece):
            return b""
        super().data_received(piece)
        self._note_input()
        return data[size:]

    def _wait_for_turn(self, data: bytes) -> None:
        self._waits_for_turn = True
        self._hold(data)
        self._pause()
        self._limits.turns.wait(self, self._body_s)

    def take_turn(self) -> None:
        """Read a part of a body that has waited, and go on to receive."""
        self._waits_for_turn = False
        if self.transport.is_closing():
            return
        data, self._pending = self._pending, b""
        self._limits.hold(self, 0)
        self._has_turn = True
        try:
            self.data_received(data)
        finally:
            self._has_turn = False
        if len(self._pending) < MAX_PENDING_BYTES:
            self._unpause()

    def accept_piece(self, piece: bytes) -> bool:
        """Return whether a piece is within the limits; it is refused otherwise."""
        raise NotImplementedError

    def _next_piece(self, data: bytes) -> tuple[bytes, int]:
        """Return what is parsed next, and how much of the data that is."""
        if self._chunks is not None and not self._chunks.is_ended:
            return self._chunks.take(data)
        size = self._piece_bytes(data)
        return data[:size], size

    def _piece_bytes(self, data: bytes) -> int:
        """Return the size of the first piece, which ends with a head or a request."""
        if self._body_left:
            return min(self._body_left, len(data))
        # The empty line may have begun in the piece before.
        if self._in_request and self._last_bytes[-1:] == b"\n":
            begin = re.match(rb"\r?\n", data)
            if begin is not None:
                return begin.end()
        if self._in_request and self._last_bytes == b"\n\r" and data[:1] == b"\n":
            return 1
        found = EMPTY_LINE.search(data)
        return len(data) if found is None else found.end()

    def _must_wait(self) -> bool:
        """Return whether an earlier request is not answered, or the answer unread."""
        if self._in_request:
            return False
        # A request that was refused unread has no cycle, but its answer waits too.
        is_answered = self.cycle is None or self.cycle.response_complete
        return self.flow.write_paused or not is_answered

    def _hold(self, data: bytes) -> None:
        self._pending += data
        self._limits.hold(self, len(self._pending))
        if len(self._pending) >= MAX_PENDING_BYTES or self._limits.is_tight:
            self._pause()

    def _pause(self) -> None:
        # Again if uvicorn has resumed reading for the body of the request.
        if not self.transport.is_closing():
            self._is_paused = True
            self.transport.pause_reading()
            self._limits.note_paused(self, True)

    def _resume(self) -> None:
        """Take what was held, once an answer is complete and read."""
        if self.transport.is_closing() or self._must_wait() or self._waits_for_turn:
            return
        data, self._pending = self._pending, b""
        self._limits.hold(self, 0)
        self._unpause()
        if data:
            self._take(data)

    def _unpause(self) -> None:
        if not self._is_paused or self.transport.is_closing():
            return
        self._is_paused = False
        self._limits.note_paused(self, False)
        # Else the request goes on to receive when it has read its body so far.
        if not self.flow.read_paused:
            self.transport.resume_reading()

    def _skip_empty_lines(self, data: bytes) -> bytes:
        rest = data.lstrip(LINE_ENDS)
        self._empty_line_bytes += len(data) - len(rest)
        if self._empty_line_bytes > MAX_EMPTY_LINE_BYTES:
            self.refuse_empty_lines()
            return b""
        return rest

    def refuse_empty_lines(self) -> None:
        """Refuse a connection that sends line ends only."""
        raise NotImplementedError

    def _note_input(self) -> None:
        """Update the memory that an unfinished head takes."""
        if not self._in_head:
            return
        self._limits.set_phase(self, Phase.HEAD)
        objects_bytes = HEADER_OBJECT_BYTES * len(self.headers)
        self._limits.hold(self, 2 * self._head_bytes + objects_bytes)

    def on_message_begin(self) -> None:
        """Begin a request."""
        self._in_request = self._in_head = True
        self._body_s = 0.0
        self._empty_line_bytes = 0
        self._body_left = self._chunks = None
        super().on_message_begin()

    def on_headers_complete(self) -> None:
        """Begin the body of a request."""
        self._in_head = False
        self._head_bytes = 0
        self._limits.hold(self, 0)
        for name, value in self.headers:
            if name == b"content-length":
                self._body_left = int(value)
            elif name == b"transfer-encoding":
                self._chunks = ChunkedBody()
        super().on_headers_complete()
        self._limits.set_phase(self, Phase.REQUEST)

    def on_body(self, body: bytes) -> None:
        """Pass on a part of the body."""
        if self._body_left is not None:
            self._body_left -= len(body)
        super().on_body(body)

    def on_message_complete(self) -> None:
        """End a request."""
        self._in_request = False
        self._body_left = self._chunks = None
        self._stop_body_timer()
        super().on_message_complete()
        if self.cycle.response_complete:
            # Input stopped the timer, and uvicorn sets it after an answer only.
            self._start_idle_timer()
            self._note_idle()

    def on_response_complete(self) -> None:
        """Go on with what was received meanwhile."""
        super().on_response_complete()
        if self.transport.is_closing():
            return
        if self._in_request:
            # Its rest is not read by anyone, and may be given up.
            self._limits.set_phase(self, Phase.HEAD)
            self._body_timer = self.loop.call_later(
                UNFINISHED_BODY_S, self._on_unfinished_body
            )
            return
        self._note_idle()
        if self._pending or self._is_paused:
            self.loop.call_soon(self._resume)

    def _note_idle(self) -> None:
        # An answer that waits for its caller still takes memory.
        if not self.flow.write_paused:
            self._limits.set_phase(self, Phase.IDLE)

    def pause_writing(self) -> None:
        """Note that the caller is behind with reading."""
        super().pause_writing()
        self._limits.note_unread(self, True)

    def resume_writing(self) -> None:
        """Note that the caller reads."""
        super().resume_writing()
        self._limits.note_unread(self, False)
        if not self._in_request and self.cycle and self.cycle.response_complete:
            self._limits.set_phase(self, Phase.IDLE)
        if self._pending or self._is_paused:
            self.loop.call_soon(self._resume)

    def _start_idle_timer(self) -> None:
        raise NotImplementedError

    def evict(self, kind: Closed) -> None:
        """Close the connection for others."""
        raise NotImplementedError

    def _on_unfinished_body(self) -> None:
        self._body_timer = None
        self._limits.count(Closed.UNFINISHED_BODY)
        self.transport.close()

    def _stop_body_timer(self) -> None:
        if self._body_timer is not None:
            self._body_timer.cancel()
            self._body_timer = None
