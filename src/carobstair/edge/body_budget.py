"""Bounds the memory that the bodies of requests take in a process.

Intended for uploads that are each within the limit on bodies and together are more
than the memory. Callers wait until there is room: the connection isn't read from
meanwhile. When more wait than fit, further ones are refused at once.
"""

from __future__ import annotations

import asyncio

from carobstair.core.memory_ledger import (
    ClaimState,
    MemoryKind,
    MemoryLedger,
    RoomQueue,
)

__all__ = ["SMALL_BODY_BYTES", "BodyBudget", "BudgetExceeded"]

# Smaller bodies are bounded by the number of open requests and don't wait.
SMALL_BODY_BYTES = 64 * 1024


class BudgetExceeded(Exception):
    """More bodies wait for memory than will fit."""


class BodyBudget:
    """Memory for large bodies, given out in the order of arrival.

    Parameters
    ----------
    ledger : MemoryLedger
    """

    def __init__(self, ledger: MemoryLedger):
        self._ledger = ledger
        self._queue = RoomQueue(ledger, MemoryKind.BODIES)

    @property
    def limit_bytes(self) -> int:
        """Most that bodies may hold."""
        return self._ledger.bound_bytes(MemoryKind.BODIES)

    @property
    def held_bytes(self) -> int:
        """What bodies hold."""
        return self._ledger.held_bytes(MemoryKind.BODIES)

    @property
    def waiting_bytes(self) -> int:
        """What bodies wait for."""
        return self._queue.waiting_bytes

    async def acquire(self, size_bytes: int) -> int:
        """Wait until there is room for a body; return what to release.

        Raises
        ------
        BudgetExceeded
        """
        if size_bytes <= SMALL_BODY_BYTES:
            return 0
        claim = self._queue.claim(size_bytes)
        if claim is None:
            raise BudgetExceeded(f"{self.held_bytes} bytes are held")
        if claim.state is ClaimState.WAITING:
            admitted = asyncio.Event()
            claim.on_held = admitted.set
            try:
                await admitted.wait()
            except asyncio.CancelledError:
                # It may have been admitted in this turn of the event loop.
                claim.end()
                raise
        return claim.size_bytes

    def release(self, size_bytes: int) -> None:
        """Return what `acquire` has returned."""
        self._queue.release(size_bytes)
