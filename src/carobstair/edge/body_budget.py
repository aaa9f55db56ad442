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


@dataclass(slots=True, eq=False)
class _Waiter:
    """A body that waits, and whether its bytes are held or no longer waited for."""

    size_bytes: int
    future: asyncio.Future
    is_admitted: bool = False
    has_left: bool = False


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
    _waiting: deque[_Waiter] = field(default_factory=deque)

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
        waiter = _Waiter(size_bytes, asyncio.get_running_loop().create_future())
        self._waiting.append(waiter)
        self._waiting_bytes += size_bytes
        try:
            await waiter.future
        except asyncio.CancelledError:
            if waiter.is_admitted:
                self.release(size_bytes)
            elif not waiter.has_left:
                self._waiting.remove(waiter)
                self._leave(waiter)
                self._admit()
            raise
        return size_bytes

    def release(self, size_bytes: int) -> None:
        """Return what `acquire` has returned."""
        self.held_bytes -= size_bytes
        self._admit()

    def _admit(self) -> None:
        while self._waiting:
            waiter = self._waiting[0]
            if waiter.future.done():
                # Cancelled in this turn of the event loop; its task has yet to run.
                self._leave(self._waiting.popleft())
                continue
            if not self._fits(waiter.size_bytes):
                return
            self._leave(self._waiting.popleft())
            waiter.is_admitted = True
            self.held_bytes += waiter.size_bytes
            waiter.future.set_result(None)

    def _leave(self, waiter: _Waiter) -> None:
        waiter.has_left = True
        self._waiting_bytes -= waiter.size_bytes

    def _fits(self, size_bytes: int) -> bool:
        return self.held_bytes + size_bytes <= self.limit_bytes
