"""Connection of a caller whose request may be handed to a peer."""

from __future__ import annotations

import select

from carobstair.edge.handoff_request import HandedOffRequest, HandoffOutcome
from carobstair.net.connection_limits import Phase
from carobstair.net.http import BoundedHttpProtocol

__all__ = ["HandoffCallerProtocol"]

# Not known on all systems.
POLL_CLOSED = getattr(select, "POLLRDHUP", 0)


class HandoffCallerProtocol(BoundedHttpProtocol):
    """Holds what its caller sends while a peer serves the request before.

    The parser never sees a request that is handed off, so none is read until the end
    of the answer.
    """

    _handed_off: HandedOffRequest | None = None
    # Polls the socket for the end of the caller's side.
    _poll: select.poll | None = None

    def _hand_off(self, data: bytes) -> bool:
        """Hand a new request to a peer; return whether that was done."""
        handoff = self.config.handoff
        request = handoff.offer(self, data)
        if request is None:
            return False
        self._unset_keepalive_if_required()
        self._empty_line_bytes = 0
        self._limits.set_phase(self, Phase.REQUEST)
        self._handed_off = request
        handoff.begin(request)
        self.note_held()
        return True

    def note_held(self) -> None:
        """Update the memory that the connection takes."""
        held_bytes = len(self._pending)
        if self._handed_off is not None:
            held_bytes += self._handed_off.buffered_bytes
        self._limits.hold(self, held_bytes)

    def is_gone(self) -> bool:
        """Return whether the caller has closed its connection, read or not."""
        return self.transport.is_closing() or self._has_left()

    def _has_left(self) -> bool:
        """Return whether the caller has closed its side, while the socket is open."""
        if not POLL_CLOSED:
            return False
        if self._poll is None:
            self._poll = select.poll()
            self._poll.register(self.transport.get_extra_info("socket"), POLL_CLOSED)
        return bool(self._poll.poll(0))

    def serve_here(self, data: bytes, arrived_s: float) -> None:
        """Serve or shed a request that was not sent to a peer."""
        self._handed_off = None
        if self.transport.is_closing():
            return
        self._limits.hold(self, 0)
        self._limits.set_phase(self, Phase.IDLE)
        self.transport.resume_reading()
        self.receive_new(data, arrived_s)

    def receive_new(self, data: bytes, arrived_s: float) -> None:
        """Take a new request that arrived earlier."""
        raise NotImplementedError

    def end_handoff(self, closes: bool) -> None:
        """Go on with what was received meanwhile, or close the connection."""
        self._handed_off = None
        if self.transport.is_closing():
            return
        self.note_held()
        if closes:
            self.transport.close()
            return
        self._note_idle()
        self.timeout_keep_alive = self.config.timeout_keep_alive
        self._start_idle_timer()
        if self._pending or self._is_paused:
            self.loop.call_soon(self._resume)

    def _must_wait(self) -> bool:
        return self._handed_off is not None or super()._must_wait()

    def _hold(self, data: bytes) -> None:
        super()._hold(data)
        self.note_held()

    def pause_writing(self) -> None:
        """Stop reading from the peer while the caller does not read."""
        super().pause_writing()
        if self._handed_off is not None:
            self._handed_off.pause()

    def resume_writing(self) -> None:
        """Read from the peer again."""
        super().resume_writing()
        if self._handed_off is not None:
            # An earlier request of the connection has ended; this one has not.
            self._limits.set_phase(self, Phase.REQUEST)
            self._handed_off.resume()
        elif self.cycle is None and not self._in_request:
            self._note_idle()

    def eof_received(self) -> None:
        """End the request of a caller that leaves, even if it has data to read."""
        self._end_of_caller()

    def connection_lost(self, exc: Exception | None) -> None:
        """End the request of a caller that has left."""
        super().connection_lost(exc)
        self._end_of_caller()

    def _end_of_caller(self) -> None:
        if self._handed_off is not None:
            self._handed_off.abort(HandoffOutcome.CALLER_LEFT)
