"""Splits a server-sent event stream so that another upstream can resume it."""

from __future__ import annotations

import re
from dataclasses import dataclass, field

__all__ = ["EventSplitter", "EventTooLarge"]

EVENT_ID = re.compile(rb"^id: ?([^\r\n]*)", re.MULTILINE)
SEPARATORS = (b"\r\n\r\n", b"\n\n")
LONGEST_SEPARATOR_BYTES = 4
# Events of a model engine hold a few tokens.
MAX_EVENT_BYTES = 256 * 1024


class EventTooLarge(ValueError):
    """An event has more bytes than the splitter keeps."""


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
        # A separator may span two parts; what was searched before is not searched
        # again.
        start = max(0, len(partial) - LONGEST_SEPARATOR_BYTES + 1)
        partial += data
        ends = [
            at + len(separator)
            for separator in SEPARATORS
            if (at := partial.rfind(separator, start)) >= 0
        ]
        end = max(ends, default=0)
        events = bytes(partial[:end])
        del partial[:end]
        if len(partial) > MAX_EVENT_BYTES:
            raise EventTooLarge(f"an event has more than {MAX_EVENT_BYTES} bytes")
        ids = EVENT_ID.findall(events)
        if ids:
            self.last_id = ids[-1].decode("latin-1")
        return events

    @property
    def at_boundary(self) -> bool:
        """Whether the data received so far ends at an event boundary."""
        return not self._partial

    def discard_partial(self) -> None:
        """Discard the incomplete event that a broken stream left."""
        self._partial.clear()
