"""A request that is handed to a peer, between its caller and a link."""

from __future__ import annotations

import asyncio
import socket
import struct
from enum import StrEnum
from typing import Protocol

from carobstair.core.handoff import AnswerError, AnswerFraming, HandoffPeer
from carobstair.edge.handoff_links import HandoffLink

__all__ = ["HandedOffRequest", "HandoffCaller", "HandoffOutcome"]

# Closing with this option drops what is not sent and tells the other side so.
RESET = struct.pack("ii", 1, 0)
CLOSE_LINE = b"connection: close\r\n"
# Status of a request that was not run; with the end of the connection, the peer takes
# no further ones.
PEER_CLOSED = 503


class HandoffOutcome(StrEnum):
    """How a hand-off ended.

    `NOT_SENT` and `RETURNED` requests are served by this router: the peer got nothing,
    or has refused the request as it takes no more. `UNKNOWN` and `OVERDUE` ones may
    have run, and their callers are told so; of `BROKEN` ones the caller got a part.
    """

    ANSWERED = "answered"
    REFUSED = "refused"
    BROKEN = "broken"
    UNKNOWN = "unknown"
    OVERDUE = "overdue"
    CALLER_LEFT = "caller-left"
    NOT_SENT = "not-sent"
    RETURNED = "returned"


class HandoffCaller(Protocol):
    """What a handed-off request asks of its caller's connection."""

    transport: asyncio.Transport

    def note_held(self) -> None:
        """Update the memory that the connection takes."""

    def is_gone(self) -> bool:
        """Return whether the caller has closed its connection, read or not."""

    def end_handoff(self, closes: bool) -> None:
        """Go on after the whole answer."""

    def serve_here(self, data: bytes, arrived_s: float) -> None:
        """Serve a request that was not sent."""


class Owner(Protocol):
    """What a handed-off request asks of the driver."""

    def connect(self, request: HandedOffRequest) -> None:
        """Open a link for a request."""

    def note_begun(self, request: HandedOffRequest) -> None:
        """Record that the answer has begun."""

    def note_end(
        self, request: HandedOffRequest, outcome: HandoffOutcome, detail: str = ""
    ) -> None:
        """Record the end of a request; each request ends once."""

    def closes_connections(self) -> bool:
        """Return whether answers should close their callers' connections."""

    def answer_without_peer(self, outcome: HandoffOutcome, detail: str) -> bytes:
        """Return the answer to a request that was sent and got none."""


class HandedOffRequest:
    """Sends a request to a peer once, and passes the answer on as bytes.

    Parameters
    ----------
    owner : Owner
    caller : HandoffCaller
    peer : HandoffPeer
    data : bytes
        The whole request.
    arrived_s, deadline_s : float
        Monotonic times.
    """

    __slots__ = (
        "_active",
        "_answer",
        "_begun",
        "_caller",
        "_closes",
        "_data",
        "_ended",
        "_held",
        "_link",
        "_owner",
        "_paused",
        "_sent",
        "arrived_s",
        "deadline_s",
        "peer",
    )

    def __init__(
        self,
        owner: Owner,
        caller: HandoffCaller,
        peer: HandoffPeer,
        data: bytes,
        arrived_s: float,
        deadline_s: float,
    ):
        self._owner = owner
        self._caller = caller
        self.peer = peer
        self._data = data
        self.arrived_s = arrived_s
        self.deadline_s = deadline_s
        self._answer = AnswerFraming()
        self._begun = False
        self._closes = False
        self._held = b""
        self._link: HandoffLink | None = None
        self._paused = False
        self._active = False
        self._sent = False
        self._ended = False

    @property
    def buffered_bytes(self) -> int:
        """Bytes held for the request: its own and an unfinished head of the answer."""
        unsent_bytes = len(self._data)
        if self._link is not None:
            unsent_bytes += self._link.transport.get_write_buffer_size()
        return unsent_bytes + len(self._held)

    @property
    def answer_began(self) -> bool:
        """Whether the head of the answer has arrived."""
        return self._begun

    def take_progress(self) -> bool:
        """Return whether the answer went on since the last call, or may not yet."""
        active, self._active = self._active, False
        return active or self._paused

    def send(self, link: HandoffLink) -> None:
        """Send the request; from here on its outcome is unknown until the answer."""
        self._link, link.user = link, self
        self._sent = True
        link.transport.write(self._data)

    def connect(self) -> None:
        """Have a link opened, and do not read from the caller meanwhile."""
        self._caller.transport.pause_reading()
        self._owner.connect(self)

    # The link

    def on_connected(self, link: HandoffLink) -> None:
        """Send the request, unless its caller has left meanwhile."""
        if self._ended or self._caller.is_gone():
            link.release()
            if not self._ended:
                self.abort(HandoffOutcome.CALLER_LEFT)
            return
        self._caller.transport.resume_reading()
        self.send(link)
        self._caller.note_held()

    def on_not_connected(self, reason: str) -> None:
        """Have the request served here: nothing of it was sent."""
        if not self._ended:
            self._serve_here(HandoffOutcome.NOT_SENT, reason)

    def _serve_here(self, outcome: HandoffOutcome, reason: str) -> None:
        self._end(outcome, reason)
        data, self._data = self._data, b""
        self._caller.serve_here(data, self.arrived_s)

    def on_data(self, data: bytes) -> None:
        """Pass on a part of the answer, and the end of it."""
        self._active = True
        try:
            end = self._answer.feed(data)
        except AnswerError as error:
            self.break_off(str(error))
            return
        write = self._caller.transport.write
        if self._begun:
            if end < 0:
                write(data)
                return
        elif not self._answer.status:
            self._held += data
            self._caller.note_held()
            return
        elif self._answer.status == PEER_CLOSED and self._answer.closes:
            self._take_back()
            return
        else:
            self._begun = True
            self._owner.note_begun(self)
            self._data = b""
            held, self._held = self._held, b""
            if end >= 0:
                end += len(held)
            data = held + data
            self._closes = self._answer.closes
            if not self._closes and self._owner.closes_connections():
                self._closes = True
                line_end = data.index(b"\n") + 1
                data = data[:line_end] + CLOSE_LINE + data[line_end:]
                if end >= 0:
                    end += len(CLOSE_LINE)
            if end < 0:
                write(data)
                return
        self._finish(data, end)

    def _take_back(self) -> None:
        """Serve a request here that its peer has refused, as it stops or is full."""
        link, self._link = self._link, None
        link.abort()
        self._held = b""
        self._serve_here(HandoffOutcome.RETURNED, "the peer takes no requests")

    def _finish(self, data: bytes, end: int) -> None:
        link, self._link = self._link, None
        is_stray = end < len(data)
        # A connection that closes after its answer carries no further request.
        if is_stray or self._answer.closes:
            link.abort()
        else:
            link.release()
        refused = self._answer.status >= 400
        self._end(HandoffOutcome.REFUSED if refused else HandoffOutcome.ANSWERED)
        self._caller.transport.write(data[:end] if is_stray else data)
        self._caller.end_handoff(self._closes)

    def on_lost(self, reason: str) -> None:
        """Go on without the peer: what it did with the request is unknown."""
        self._link = None
        self.break_off(reason)

    def break_off(self, reason: str) -> None:
        """End a request whose peer is not waited for any longer."""
        began = self._begun
        self.abort(HandoffOutcome.BROKEN if began else HandoffOutcome.UNKNOWN, reason)

    # The caller

    def abort(self, outcome: HandoffOutcome, detail: str = "") -> None:
        """End the request and its link.

        The caller gets an answer if none has begun, and otherwise sees that it breaks.
        """
        if self._ended:
            return
        if not self._sent and outcome is not HandoffOutcome.CALLER_LEFT:
            self._serve_here(HandoffOutcome.NOT_SENT, detail)
            return
        self._end(outcome, detail)
        if self._link is not None:
            link, self._link = self._link, None
            link.abort()
        if self._begun:
            self._break_answer()
        elif outcome is HandoffOutcome.CALLER_LEFT:
            # A reset would drop what the caller has not read of an earlier answer.
            self._caller.transport.close()
        else:
            closes = self._owner.closes_connections()
            answer = self._owner.answer_without_peer(outcome, detail)
            self._caller.transport.write(answer)
            self._caller.end_handoff(closes)

    def _break_answer(self) -> None:
        transport = self._caller.transport
        if not transport.is_closing():
            # A regular end could complete an answer that is delimited by it.
            sock = transport.get_extra_info("socket")
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET)
        transport.abort()

    def pause(self) -> None:
        """Read nothing from the link while the caller does not read."""
        self._paused = True
        if self._link is not None:
            self._link.transport.pause_reading()

    def resume(self) -> None:
        """Read from the link again."""
        self._paused, self._active = False, True
        if self._link is not None:
            self._link.transport.resume_reading()

    def _end(self, outcome: HandoffOutcome, detail: str = "") -> None:
        self._ended = True
        self._owner.note_end(self, outcome, detail)
