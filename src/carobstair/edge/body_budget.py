"""Bounds the memory that the bodies of requests take in a process.

Intended for uploads that are each within the limit on bodies and together are more
than the memory. Callers wait until there is room: the connection isn't read from
meanwhile. When more wait than fit, further ones are refused at once.
"""

from __future__ import annotations

import asyncio
from collections import deque
from dataclasses import dataclass, field

__all__ = ["SMALL_BODY_BYTES", "BodyBudget", "BudgetExceeded"]

# Smaller bodies are bounded by the number of open requests and don't wait.
SMALL_BODY_BYTES = 64 * 1024


class BudgetExceeded(Exception):
    """More bodies wait for memory than will fit."""


@dataclass(slots=True)
class BodyBudget:
    """Memory for large bodies, given out in the order of arrival.

    Parameters
    ----------
    limit_bytes : int
    """

    limit_bytes: int
    held_bytes: int = 0
    _waiting_bytes: int = 0
    _waiting: deque[tuple[int, asyncio.Future]] = field(default_factory=deque)

    async def acquire(self, size_bytes: int) -> int:
        """Wait until there is room for a body; return what to release.

        Raises
        ------
        BudgetExceeded
        """
        if size_bytes <= SMALL_BODY_BYTES:
            return 0
        size_bytes = min(size_bytes, self.limit_bytes)
        if not self._waiting and self._fits(size_bytes):
            self.held_bytes += size_bytes
            return size_bytes
        if self._waiting_bytes + size_bytes > self.limit_bytes:
            raise BudgetExceeded(f"{self.held_bytes} bytes are held")
        future = asyncio.get_running_loop().create_future()
        entry = size_bytes, future
        self._waiting.append(entry)
        self._waiting_bytes += size_bytes
        try:
            await future
        except asyncio.CancelledError:
            if future.done() and not future.cancelled():
                self.release(size_bytes)
            else:
                self._waiting.remove(entry)
                self._waiting_bytes -= size_bytes
                self._admit()
            raise
        return size_bytes

    def release(self, size_bytes: int) -> None:
        """Return what `acquire` has returned."""
        self.held_bytes -= size_bytes
        self._admit()

    def _admit(self) -> None:
        while self._waiting and self._fits(self._waiting[0][0]):
            size_bytes, future = self._waiting.popleft()
            self._waiting_bytes -= size_bytes
            self.held_bytes += size_bytes
            future.set_result(None)

    def _fits(self, size_bytes: int) -> bool:
        return self.held_bytes + size_bytes <= self.limit_bytes
