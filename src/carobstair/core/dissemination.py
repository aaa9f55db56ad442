"""Queue of the membership updates that still have to be disseminated."""

from __future__ import annotations

import math

__all__ = ["DisseminationQueue"]


class DisseminationQueue:
    """Counts how often the update about each process still has to be sent.

    Sending it three times the binary logarithm of the fleet size lets an update
    reach all processes with high probability, as in epidemic dissemination.
    """

    def __init__(self) -> None:
        self._sends_left: dict[str, int] = {}

    def add(self, name: str, fleet_size: int) -> None:
        """Schedule an update about a process for a fleet of this size."""
        self._sends_left[name] = 3 * math.ceil(math.log2(fleet_size + 2))

    def discard(self, name: str) -> None:
        """Remove the update about a process."""
        self._sends_left.pop(name, None)

    def take(self, limit: int, skip: str) -> list[str]:
        """Return the names with the most sends left, and count one send of each."""
        names = sorted(self._sends_left, key=self._sends_left.__getitem__, reverse=True)
        chosen = [name for name in names if name != skip][:limit]
        for name in chosen:
            self._sends_left[name] -= 1
            if self._sends_left[name] <= 0:
                del self._sends_left[name]
        return chosen
