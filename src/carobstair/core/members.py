"""Records of other processes, and settings of the failure detector."""

from __future__ import annotations

import math
from dataclasses import dataclass
from enum import IntEnum

from carobstair.core.messages import Heartbeat, MemberUpdate, PeerAddress

__all__ = [
    "Member",
    "MemberStatus",
    "MembershipSettings",
    "PendingProbe",
    "RelayedProbe",
]


class MemberStatus(IntEnum):
    """Status of a process; at equal refutation the higher value wins."""

    ALIVE = 0
    LEAVING = 1
    SUSPECT = 2
    DEAD = 3
    LEFT = 4


@dataclass(frozen=True, slots=True)
class MembershipSettings:
    """Settings of the failure detector.

    Attributes
    ----------
    suspicion_s : float
        Time to refute a suspicion in a fleet of up to ten processes; grows with the
        logarithm of the fleet size, as the dissemination time of updates does.
    dead_probe_every_s : float
        Mean interval between probes of dead processes and seeds, which let the
        sides of a partition find each other again.
    forget_s : float
        Time after which a dead process is removed from the view.
    """

    probe_every_s: float = 0.5
    probe_timeout_s: float = 0.2
    indirect_probes: int = 3
    suspicion_s: float = 2.0
    dead_probe_every_s: float = 2.0
    sync_every_s: float = 30.0
    forget_s: float = 600.0
    max_updates: int = 8


@dataclass(slots=True)
class Member:
    """View of another process, with the time of its last change."""

    address: PeerAddress
    refutation: int
    status: MemberStatus
    changed_s: float
    heartbeat: Heartbeat | None = None
    last_heard_s: float = -math.inf

    def update(self) -> MemberUpdate:
        """Return this view as an update for other processes."""
        return MemberUpdate(self.address, self.refutation, int(self.status))

    def rank(self) -> tuple[int, int, int]:
        """Return the precedence of this view; a higher one replaces a lower one."""
        return (self.address.incarnation, self.refutation, int(self.status))


@dataclass(slots=True)
class PendingProbe:
    """An unanswered probe."""

    instance: str
    sent_s: float
    indirect: bool = False


@dataclass(frozen=True, slots=True)
class RelayedProbe:
    """A probe sent on behalf of another process."""

    requester: str
    number: int
    sent_s: float
