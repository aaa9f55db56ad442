"""Cuts a stream of events at their ends, so that it can go on elsewhere."""

from __future__ import annotations

import re
from dataclasses import dataclass

__all__ = ["EventCutter"]

EVENT_END = re.compile(rb"\r\n\r\n|\n\n")
EVENT_ID = re.compile(rb"^id: ?([^\r\n]*)", re.MULTILINE)


@dataclass(slots=True)
class EventCutter:
    """Passes on whole events and remembers the id of the last one.

    Parameters
    ----------
    last_id : str or None
        Id after which the stream begins.
    """

    last_id: str | None = None
    _rest: bytes = b""

    def feed(self, data: bytes) -> bytes:
        """Return the whole events that are in, without those already passed on."""
        data = self._rest + data
        end = 0
        for match in EVENT_END.finditer(data):
            end = match.end()
        self._rest = data[end:]
        whole = data[:end]
        ids = EVENT_ID.findall(whole)
        if ids:
            self.last_id = ids[-1].decode("latin-1")
        return whole

    @property
    def complete(self) -> bool:
        """Whether the stream stands at the end of an event."""
        return not self._rest

    def restart(self) -> None:
        """Drop the part of an event that a broken stream left."""
        self._rest = b""
