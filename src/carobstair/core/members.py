"""What a process believes of the others, and the settings of its detector."""

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
    """What is believed of a process; a higher one wins at equal refutation."""

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
        Time to refute a suspicion in a fleet of up to ten; grows with the
        logarithm of the size, as the spread of news does.
    dead_probe_every_s : float
        How often a process believed dead is probed, so that the sides of a
        partition find each other again.
    forget_s : float
        Age at which a dead process is forgotten.
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
    """What is known of a process, with the time of its last change."""

    address: PeerAddress
    refutation: int
    status: MemberStatus
    changed_s: float
    heartbeat: Heartbeat | None = None
    heard_s: float = -math.inf

    def update(self) -> MemberUpdate:
        """Return this as news for others."""
        return MemberUpdate(self.address, self.refutation, int(self.status))

    def rank(self) -> tuple[int, int, int]:
        """Return the order in which news replace each other."""
        return (self.address.incarnation, self.refutation, int(self.status))


@dataclass(slots=True)
class PendingProbe:
    """A probe that has no answer yet."""

    instance: str
    sent_s: float
    indirect: bool = False


@dataclass(frozen=True, slots=True)
class RelayedProbe:
    """A probe made for another process."""

    asker: str
    number: int
    sent_s: float
