"""Roll-out orders, and when an object in the store is a new order."""

from __future__ import annotations

from dataclasses import dataclass
from enum import IntEnum, StrEnum

from carobstair.core.store_stamp import Stamp

__all__ = [
    "MAX_DURATION_S",
    "MIN_DURATION_S",
    "OrderState",
    "Phase",
    "RolloutOrder",
    "RolloutState",
]

# Shorter orders end before evidence can be exchanged; longer ones are mistakes.
MIN_DURATION_S = 1.0
MAX_DURATION_S = 86_400.0


class RolloutState(StrEnum):
    """State of an order as written to its status."""

    RUNNING = "running"
    COMPLETED = "completed"
    ROLLED_BACK = "rolled_back"


class Phase(IntEnum):
    """Phase of exposure; routers adopt the greatest that they learn of."""

    WAITING = 0
    PROBE = 1
    CANARY = 2
    GOOD = 3
    FIRST_STEP = 4
    SECOND_STEP = 5
    FULL = 6
    BAD = 7


@dataclass(frozen=True, slots=True)
class RolloutOrder:
    """An order to move a service to upstreams of a version.

    Attributes
    ----------
    stamp : Stamp
        Last change of the object.
    """

    service: str
    target: str
    duration_s: float
    stamp: Stamp

    def asks_the_same(self, other: RolloutOrder) -> bool:
        """Return whether another order has the same content."""
        return (self.service, self.target, self.duration_s) == (
            other.service,
            other.target,
            other.duration_s,
        )


@dataclass(slots=True)
class OrderState:
    """An order as one router knows it.

    Attributes
    ----------
    started : Stamp
        Change with which the order began. Writes to the status change the object's
        stamp, but not this.
    began_s : float
        Monotonic time at which the order began, as far as known.
    is_witnessed : bool
        Whether this router saw the order appear; one that has started meanwhile
        adopts time and stamp from the others.
    stated, final : RolloutState or None
        Status that the store shows, and the last verdict that it has shown. They
        differ if it was restored from a copy.
    verdict : RolloutState
        Running until the status or a collector's decision says otherwise.
    share : float
        Share of the requests for the new version, as last decided at `decided_s`.
    write_after_s : float or None
        Monotonic time from which this router writes the verdict.
    settled_s : float
        Monotonic time until which a decision to complete is not taken back.
    forget_s : float or None
        When the order is forgotten, because a restored store lacks it.
    skipped : str
        Why the order is not followed; empty if it is.
    """

    order: RolloutOrder
    started: Stamp
    began_s: float
    is_witnessed: bool
    stated: RolloutState | None = None
    final: RolloutState | None = None
    verdict: RolloutState = RolloutState.RUNNING
    phase: Phase = Phase.WAITING
    share: float = 0.0
    decided_s: float = float("-inf")
    write_after_s: float | None = None
    settled_s: float = float("-inf")
    forget_s: float | None = None
    skipped: str = ""
    # Upstreams that were replaced when the order was completed, with their start
    # times, and until when they are hidden.
    replaced: frozenset[tuple[str, int]] | None = None
    replaced_until_s: float = float("inf")

    def age_s(self, now_s: float) -> float:
        """Return the time since the order began."""
        return now_s - self.began_s

    @property
    def is_final(self) -> bool:
        """Whether the store has shown a verdict."""
        return self.final is not None

    def is_restarted_by(self, order: RolloutOrder, stated: RolloutState | None) -> bool:
        """Return whether a newer object is an order of its own.

        A status write changes the stamp and the status. A change of neither content
        nor status, or back from a verdict, is the same order given again, unless the
        store was restored from a copy.
        """
        if not self.order.asks_the_same(order):
            return True
        if order.stamp.era != self.order.stamp.era:
            return False
        if self.is_final:
            return stated in (None, RolloutState.RUNNING, self.stated)
        return stated == self.stated
