"""Splits a server-sent event stream so that another upstream can resume it."""

from __future__ import annotations

import re
from dataclasses import dataclass

__all__ = ["EventSplitter"]

EVENT_END = re.compile(rb"\r\n\r\n|\n\n")
EVENT_ID = re.compile(rb"^id: ?([^\r\n]*)", re.MULTILINE)


@dataclass(slots=True)
class EventSplitter:
    """Extracts complete events and records the id of the last one.

    Parameters
    ----------
    last_id : str or None
        Id of the event after which the stream starts.
    """

    last_id: str | None = None
    _partial: bytes = b""

    def feed(self, data: bytes) -> bytes:
        """Return the events that `data` completes; keep an incomplete one."""
        data = self._partial + data
        end = 0
        for match in EVENT_END.finditer(data):
            end = match.end()
        self._partial = data[end:]
        events = data[:end]
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
        self._partial = b""
