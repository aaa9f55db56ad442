"""One account of the memory that a process holds for others, by kind.

`MemoryLedger` knows what is held and the bound of each kind, a `Holding` is what one
owner has taken and gives back once, and `RoomQueue` gives out room in the order of
arrival. Nothing here waits or does I/O: amounts and events are explicit.
"""

from carobstair.core.memory_ledger.ledger import Holding, MemoryKind, MemoryLedger
from carobstair.core.memory_ledger.room_queue import Claim, ClaimState, RoomQueue

__all__ = [
    "Claim",
    "ClaimState",
    "Holding",
    "MemoryKind",
    "MemoryLedger",
    "RoomQueue",
]
