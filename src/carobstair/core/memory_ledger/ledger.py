"""The account itself: what is held of each kind, and the bounds."""

from __future__ import annotations

from collections.abc import Callable, Mapping
from enum import StrEnum

__all__ = ["Holding", "MemoryKind", "MemoryLedger"]


class MemoryKind(StrEnum):
    """What memory is held for.

    `SMALL_BODIES` are those that are read without waiting for room. `CALLERS` and
    `HANDOFFS` are unread input and unread answers of the connections of callers and of
    peers that hand over requests. `UNSENT` is what transports towards upstreams have
    not sent.
    """

    BODIES = "bodies"
    SMALL_BODIES = "small-bodies"
    ANSWERS = "answers"
    CALLERS = "callers"
    HANDOFFS = "handoffs"
    UNSENT = "unsent"


class MemoryLedger:
    """Bytes held by kind.

    A kind is either taken and given back here, or has an account of its own that is
    read whenever the ledger is. Each kind has its own bound, so that none can keep
    another from its room.

    Parameters
    ----------
    bounds_bytes : mapping of MemoryKind to int
        A kind without a bound has no room.
    """

    __slots__ = (
        "_accounts",
        "_bounds_bytes",
        "_held_bytes",
        "_taken_bytes",
        "limit_bytes",
    )

    def __init__(self, bounds_bytes: Mapping[MemoryKind, int]):
        self._bounds_bytes = {kind: bounds_bytes.get(kind, 0) for kind in MemoryKind}
        self._held_bytes = dict.fromkeys(MemoryKind, 0)
        # Sum of the kinds without an account.
        self._taken_bytes = 0
        self._accounts: dict[MemoryKind, Callable[[], int]] = {}
        self.limit_bytes = sum(self._bounds_bytes.values())

    def attach(self, kind: MemoryKind, account: Callable[[], int]) -> None:
        """Read a kind from an account of its own from now on."""
        self._accounts[kind] = account

    def bound_bytes(self, kind: MemoryKind) -> int:
        """Return the bound of a kind."""
        return self._bounds_bytes[kind]

    def held_bytes(self, kind: MemoryKind) -> int:
        """Return what is held of a kind."""
        account = self._accounts.get(kind)
        return self._held_bytes[kind] if account is None else account()

    @property
    def total_bytes(self) -> int:
        """What is held of all kinds."""
        total_bytes = self._taken_bytes
        for account in self._accounts.values():
            total_bytes += account()
        return total_bytes

    @property
    def is_full(self) -> bool:
        """Whether more is held than all bounds allow together."""
        return self.total_bytes > self.limit_bytes

    def has_room(self, kind: MemoryKind, size_bytes: int) -> bool:
        """Return whether a kind stays within its bound with so much more."""
        return self.held_bytes(kind) + size_bytes <= self._bounds_bytes[kind]

    def take(self, kind: MemoryKind, size_bytes: int) -> None:
        """Count memory as held, whether there is room for it or not.

        Raises
        ------
        ValueError
            If the kind has an account of its own, or the size is negative.
        """
        if kind in self._accounts or size_bytes < 0:
            raise ValueError(f"{size_bytes} bytes can't be taken for {kind}")
        self._held_bytes[kind] += size_bytes
        self._taken_bytes += size_bytes

    def give_back(self, kind: MemoryKind, size_bytes: int) -> None:
        """Count memory as free again.

        Raises
        ------
        ValueError
            If less is held.
        """
        if not 0 <= size_bytes <= self._held_bytes[kind]:
            held_bytes = self._held_bytes[kind]
            raise ValueError(f"{size_bytes} of {held_bytes} bytes given back of {kind}")
        self._held_bytes[kind] -= size_bytes
        self._taken_bytes -= size_bytes

    def hold(self, kind: MemoryKind) -> Holding:
        """Return a new holding, which is empty."""
        return Holding(self, kind)


class Holding:
    """Memory of one owner, which may grow and is given back once.

    Attributes
    ----------
    size_bytes : int
    """

    __slots__ = ("_kind", "_ledger", "size_bytes")

    def __init__(self, ledger: MemoryLedger, kind: MemoryKind):
        self._ledger = ledger
        self._kind = kind
        self.size_bytes = 0

    def grow(self, size_bytes: int, unasked_bytes: int = 0) -> bool:
        """Take more if there is room; return whether it was taken.

        Parameters
        ----------
        unasked_bytes : int
            Size up to which a holding grows without room too.
        """
        ledger = self._ledger
        if self.size_bytes + size_bytes > unasked_bytes and (
            not ledger.has_room(self._kind, size_bytes) or ledger.is_full
        ):
            return False
        ledger.take(self._kind, size_bytes)
        self.size_bytes += size_bytes
        return True

    def shrink(self, size_bytes: int) -> None:
        """Give a part back."""
        self._ledger.give_back(self._kind, size_bytes)
        self.size_bytes -= size_bytes

    def release(self) -> None:
        """Give everything back; further calls have no effect."""
        size_bytes, self.size_bytes = self.size_bytes, 0
        self._ledger.give_back(self._kind, size_bytes)
