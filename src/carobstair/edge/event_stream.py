"""Boundaries of events in server-sent event streams.

A stream that ends within an event was broken off, whatever the framing of its
response says. Lines end with LF, CRLF or CR, and a blank line ends an event.
"""

from __future__ import annotations

import re
from dataclasses import dataclass, field

__all__ = ["EventBoundary", "EventSplitter", "EventTooLarge"]

EVENT_ID = re.compile(rb"(?:\A|[\r\n])id: ?([^\r\n]*)")
# The end of an event, with blank lines after it. A CR after an LF may be half of a
# CRLF, so it ends a line only if another byte follows.
EVENT_END = re.compile(rb"(?:\A[\r\n]|\n\r?\n|\r\r|\n\r(?=[^\n]))[\r\n]*")
AT_EVENT_END = re.compile(EVENT_END.pattern + rb"\Z")
LONGEST_END_BYTES = 4
# Events of a model engine hold a few tokens.
MAX_EVENT_BYTES = 256 * 1024


class EventTooLarge(ValueError):
    """An event has more bytes than the splitter keeps."""


@dataclass(slots=True)
class EventBoundary:
    """Tells whether a stream that is relayed as it arrives stops between events."""

    _tail: bytes = b""

    def feed(self, data: bytes) -> bytes:
        """Return the next bytes of the stream, all of which may be relayed."""
        self._tail = (self._tail + data[-LONGEST_END_BYTES:])[-LONGEST_END_BYTES:]
        return data

    @property
    def at_boundary(self) -> bool:
        """Whether the data received so far ends at an event boundary."""
        return not self._tail or AT_EVENT_END.search(self._tail) is not None


@dataclass(slots=True)
class EventSplitter:
    """Extracts complete events and records the id of the last one.

    Parameters
    ----------
    last_id : str or None
        Id of the event after which the stream starts.
    """

    last_id: str | None = None
    _partial: bytearray = field(default_factory=bytearray)

    def feed(self, data: bytes) -> bytes:
        """Return the events that `data` completes; keep an incomplete one.

        Raises
        ------
        EventTooLarge
        """
        partial = self._partial
        if not partial and data.endswith(b"\n\n"):
            # Whole events, as nearly all parts are.
            self._note_id(data)
            return data
        # The end may span two parts; what was searched before is not searched again.
        start = max(0, len(partial) - LONGEST_END_BYTES + 1)
        partial += data
        end = 0
        for match in EVENT_END.finditer(partial, start):
            end = match.end()
        events = bytes(partial[:end])
        del partial[:end]
        if len(partial) > MAX_EVENT_BYTES:
            raise EventTooLarge(f"an event has more than {MAX_EVENT_BYTES} bytes")
        self._note_id(events)
        return events

    def _note_id(self, events: bytes) -> None:
        ids = EVENT_ID.findall(events)
        if ids:
            self.last_id = ids[-1].decode("latin-1")

    @property
    def at_boundary(self) -> bool:
        """Whether the data received so far ends at an event boundary."""
        return not self._partial

    def discard_partial(self) -> None:
        """Discard the incomplete event that a broken stream left."""
        self._partial.clear()
