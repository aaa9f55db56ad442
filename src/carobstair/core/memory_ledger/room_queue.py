"""Gives out the room of one kind of memory in the order of arrival."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable
from enum import StrEnum

from carobstair.core.memory_ledger.ledger import MemoryKind, MemoryLedger

__all__ = ["Claim", "ClaimState", "RoomQueue"]


class ClaimState(StrEnum):
    """Whether a claim has its memory."""

    WAITING = "waiting"
    HELD = "held"
    ENDED = "ended"


class Claim:
    """Memory that one owner waits for or holds.

    Attributes
    ----------
    size_bytes : int
    state : ClaimState
    on_held : callable
        Called when a claim that waited holds its memory.
    """

    __slots__ = ("_queue", "on_held", "size_bytes", "state")

    def __init__(self, queue: RoomQueue, size_bytes: int):
        self._queue = queue
        self.size_bytes = size_bytes
        self.state = ClaimState.WAITING
        self.on_held: Callable[[], None] = lambda: None

    def end(self) -> None:
        """Stop waiting or give the memory back; further calls have no effect."""
        self._queue.end(self)


class RoomQueue:
    """Claims on one kind of memory.

    Parameters
    ----------
    ledger : MemoryLedger
    kind : MemoryKind
    """

    def __init__(self, ledger: MemoryLedger, kind: MemoryKind):
        self.ledger = ledger
        self.kind = kind
        self.waiting_bytes = 0
        self._waiting: deque[Claim] = deque()

    def claim(self, size_bytes: int) -> Claim | None:
        """Return a claim that holds or waits; None if more wait than will fit.

        A claim beyond the bound of the kind is for all of it.
        """
        bound_bytes = self.ledger.bound_bytes(self.kind)
        claim = Claim(self, min(size_bytes, bound_bytes))
        if not self._waiting and self._fits(claim):
            self._give(claim)
            return claim
        if self.waiting_bytes + claim.size_bytes > bound_bytes:
            return None
        self._waiting.append(claim)
        self.waiting_bytes += claim.size_bytes
        return claim

    def end(self, claim: Claim) -> None:
        """End a claim of this queue, in whatever state it is."""
        state, claim.state = claim.state, ClaimState.ENDED
        if state is ClaimState.WAITING:
            self._waiting.remove(claim)
            self.waiting_bytes -= claim.size_bytes
        elif state is ClaimState.HELD:
            self.ledger.give_back(self.kind, claim.size_bytes)
        self._admit()

    def release(self, size_bytes: int) -> None:
        """Give back the memory of a claim that is not ended itself."""
        self.ledger.give_back(self.kind, size_bytes)
        self._admit()

    def _admit(self) -> None:
        while self._waiting and self._fits(self._waiting[0]):
            claim = self._waiting.popleft()
            self.waiting_bytes -= claim.size_bytes
            self._give(claim)
            claim.on_held()

    def _give(self, claim: Claim) -> None:
        claim.state = ClaimState.HELD
        self.ledger.take(self.kind, claim.size_bytes)

    def _fits(self, claim: Claim) -> bool:
        return self.ledger.has_room(self.kind, claim.size_bytes)
