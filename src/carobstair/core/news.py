"""Queue of the processes that there is news about."""

from __future__ import annotations

import math

__all__ = ["NewsQueue"]


class NewsQueue:
    """Counts how often news about each process still has to be passed on.

    Three times the logarithm of the fleet's size lets news reach all with high
    probability, as in an epidemic.
    """

    def __init__(self) -> None:
        self._left: dict[str, int] = {}

    def add(self, name: str, size: int) -> None:
        """Take in news about a process of a fleet of this size."""
        self._left[name] = 3 * math.ceil(math.log2(size + 2))

    def discard(self, name: str) -> None:
        """Drop the news about a process."""
        self._left.pop(name, None)

    def take(self, limit: int, skip: str) -> list[str]:
        """Return the names with the least spread news and count them as sent."""
        names = sorted(self._left, key=self._left.__getitem__, reverse=True)
        chosen = [name for name in names if name != skip][:limit]
        for name in chosen:
            self._left[name] -= 1
            if self._left[name] <= 0:
                del self._left[name]
        return chosen
