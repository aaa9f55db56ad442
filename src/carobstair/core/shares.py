"""Shares of each upstream's capacity, fixed by the fleet epoch.

Every member of an epoch holds a part of each upstream's limit that follows from
the epoch alone. The parts add up to the limit whatever a member believes about
who is alive, so no election and no store call stands on the request path.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass
from functools import lru_cache

import xxhash

from carobstair.core.messages import PeerAddress, ShareTransfer

__all__ = [
    "Epoch",
    "MemberId",
    "ShareTable",
    "SlotShare",
    "first_sequence",
    "rendezvous_rank",
    "split_limit",
]

# With few members everybody holds a part of everything, so that a cut-off router
# can serve on its own. With many, four holders keep the messages per node flat.
ALL_HOLD_UP_TO_MEMBERS = 8
HOLDERS = 4

MemberId = tuple[str, int]
"""Instance and incarnation of a process."""


def rendezvous_rank(key: str, names: Iterable[str]) -> list[str]:
    """Return names in the order of their rendezvous hash with a key."""

    def rank(name: str) -> int:
        return xxhash.xxh3_64_intdigest(f"{key}\0{name}".encode())

    return sorted(names, key=rank, reverse=True)


def first_sequence(incarnation: int) -> int:
    """Return where a process starts to count, above all former incarnations."""
    return incarnation << 20


def split_limit(limit: int, rank: int, holders: int) -> int:
    """Return the part of a limit that the holder of a rank has."""
    if not 0 <= rank < holders:
        return 0
    return limit // holders + (1 if rank < limit % holders else 0)


@dataclass(frozen=True, slots=True)
class SlotShare:
    """What one process may have in use on one upstream.

    Attributes
    ----------
    quick_slots : int
        Part of `request_slots` that long requests leave free.
    """

    request_slots: int = 0
    kv_tokens: int = 0
    quick_slots: int = 0

    def least(self, other: SlotShare) -> SlotShare:
        """Return the lower of two shares, number by number."""
        return SlotShare(
            min(self.request_slots, other.request_slots),
            min(self.kv_tokens, other.kv_tokens),
            min(self.quick_slots, other.quick_slots),
        )

    def less(self, other: SlotShare) -> SlotShare:
        """Return what is left of a share, number by number, and never below 0."""
        return SlotShare(
            max(0, self.request_slots - other.request_slots),
            max(0, self.kv_tokens - other.kv_tokens),
            max(0, self.quick_slots - other.quick_slots),
        )

    def plus(self, other: SlotShare) -> SlotShare:
        """Return the sum of two shares, number by number."""
        return SlotShare(
            self.request_slots + other.request_slots,
            self.kv_tokens + other.kv_tokens,
            self.quick_slots + other.quick_slots,
        )


@dataclass(frozen=True)
class Epoch:
    """A numbered membership that the object API holds.

    Attributes
    ----------
    departed : tuple of (str, int)
        Former members whose grants may still run; their shares stay closed
        until these have lapsed.
    """

    number: int
    members: tuple[PeerAddress, ...] = ()
    departed: tuple[MemberId, ...] = ()

    def member_ids(self) -> frozenset[MemberId]:
        """Return (instance, incarnation) of every member."""
        return frozenset((m.instance, m.incarnation) for m in self.members)

    def holders(self, upstream: str) -> list[MemberId]:
        """Return the members that hold shares of an upstream, by rank."""
        return _holders(self, upstream)

    def share(
        self,
        owner: MemberId,
        upstream: str,
        max_requests: int,
        max_kv_tokens: int,
        quick_fraction: float,
    ) -> SlotShare:
        """Return what a member holds of an upstream's limits."""
        holders = self.holders(upstream)
        if owner not in holders:
            return SlotShare()
        rank, count = holders.index(owner), len(holders)
        reserve = int(max_requests * quick_fraction)
        return SlotShare(
            split_limit(max_requests, rank, count),
            split_limit(max_kv_tokens, rank, count),
            split_limit(reserve, rank, count),
        )


@lru_cache(maxsize=8192)
def _holders(epoch: Epoch, upstream: str) -> list[MemberId]:
    by_name = {m.instance: (m.instance, m.incarnation) for m in epoch.members}
    count = len(by_name) if len(by_name) <= ALL_HOLD_UP_TO_MEMBERS else HOLDERS
    return [by_name[name] for name in rendezvous_rank(upstream, by_name)[:count]]


class ShareTable:
    """The shares of one process through changes of the epoch.

    A process uses the least of its shares under all epochs that it knows and
    that are not settled. The newest epoch is settled once every other member of
    these epochs has acknowledged exactly this epoch, or has departed and its
    grants have lapsed. An acknowledgement of another number does not count,
    because its sender may use more than its share under this epoch.

    Parameters
    ----------
    owner : tuple of (str, int)
        Instance and incarnation of the process.
    lapse_s : float
        Time after which grants of a departed process have surely lapsed.
    """

    def __init__(self, owner: MemberId, lapse_s: float):
        self._owner = owner
        self._lapse_s = lapse_s
        self._settled = Epoch(0)
        self._pending: list[Epoch] = []
        self._acked: set[MemberId] = set()
        self._departed_at_s: dict[MemberId, float] = {}
        self._received: dict[tuple[int, MemberId], ShareTransfer] = {}
        self._gives_away = False
        # Grows whenever a share may have changed, for those who cache shares.
        self.version = 0

    @property
    def epoch(self) -> Epoch:
        """The newest epoch known."""
        return self._pending[-1] if self._pending else self._settled

    @property
    def in_transition(self) -> bool:
        """Whether the newest epoch is not settled yet."""
        return bool(self._pending)

    def all_holders(self, upstream: str) -> list[MemberId]:
        """Return who may use a share of an upstream under any unsettled epoch."""
        epochs = (self._settled, *self._pending)
        found = {m: None for epoch in epochs for m in epoch.holders(upstream)}
        return list(found)

    def learn(self, epoch: Epoch, now_s: float) -> bool:
        """Take in an epoch and return whether it was news."""
        if epoch.number <= self.epoch.number:
            return False
        self._pending.append(epoch)
        self.version += 1
        self._acked = set()
        for member in epoch.departed:
            self._departed_at_s.setdefault(member, now_s)
        for member in epoch.member_ids():
            # It was taken out and has come back as the same process, so its own
            # acknowledgement is needed again.
            self._departed_at_s.pop(member, None)
        self.settle(now_s)
        return True

    def acknowledge(self, member: MemberId, number: int, now_s: float) -> None:
        """Record that a member's grants fit its shares under an epoch."""
        if self._pending and number == self.epoch.number:
            self._acked.add(member)
            self.settle(now_s)

    def settle(self, now_s: float) -> None:
        """Go over to the newest epoch if nobody can be using more than it allows."""
        if not self._pending or any(self.unsettled_members(now_s)):
            return
        self._settled = self._pending[-1]
        self._pending = []
        self.version += 1
        number = self._settled.number
        self._received = {k: t for k, t in self._received.items() if k[0] >= number}
        named = self._settled.member_ids() | set(self._settled.departed)
        self._departed_at_s = {
            m: at_s for m, at_s in self._departed_at_s.items() if m in named
        }

    def concerned_members(self) -> frozenset[MemberId]:
        """Return the other processes that the newest epoch names.

        A former member that it does not name any more is gone, and its grants
        had lapsed before the epoch was written.
        """
        named = self.epoch.member_ids() | set(self.epoch.departed)
        return frozenset(named - {self._owner})

    def unsettled_members(self, now_s: float) -> list[MemberId]:
        """Return the members whose acknowledgement is missing."""
        return sorted(
            member
            for member in self.concerned_members()
            if not self._is_safe(member, now_s)
        )

    def give_away(self) -> None:
        """Stop using the own shares for good; what is in use may finish."""
        self._gives_away = True
        self.version += 1

    def receive(self, transfer: ShareTransfer) -> bool:
        """Take over the shares that a leaving member gives away.

        Returns
        -------
        bool
            False if the transfer belongs to another epoch or is not news.
        """
        epoch = self.epoch
        member = (transfer.owner, transfer.owner_incarnation)
        is_member = self._owner in epoch.member_ids()
        if transfer.epoch != epoch.number or not is_member or member == self._owner:
            return False
        known = self._received.get((epoch.number, member))
        if known is not None and known.sequence >= transfer.sequence:
            return False
        self._received[epoch.number, member] = transfer
        self.version += 1
        return True

    def share(
        self,
        upstream: str,
        max_requests: int,
        max_kv_tokens: int,
        quick_fraction: float,
    ) -> SlotShare:
        """Return what this process may have in use on an upstream now."""
        limits = (upstream, max_requests, max_kv_tokens, quick_fraction)
        least = self._held(self._settled, limits)
        for epoch in self._pending:
            least = least.least(self._held(epoch, limits))
        return least

    def target_share(
        self,
        upstream: str,
        max_requests: int,
        max_kv_tokens: int,
        quick_fraction: float,
    ) -> SlotShare:
        """Return the share under the newest epoch alone."""
        limits = (upstream, max_requests, max_kv_tokens, quick_fraction)
        return self._held(self.epoch, limits)

    def _is_safe(self, member: MemberId, now_s: float) -> bool:
        if member in self._acked:
            return True
        departed_at_s = self._departed_at_s.get(member)
        return departed_at_s is not None and now_s >= departed_at_s + self._lapse_s

    def _held(self, epoch: Epoch, limits: tuple[str, int, int, float]) -> SlotShare:
        share = SlotShare()
        if not self._gives_away:
            share = epoch.share(self._owner, *limits)
        for (number, member), transfer in self._received.items():
            if number == epoch.number:
                given = epoch.share(member, *limits)
                share = share.plus(given.less(_still_used(transfer, limits[0])))
        return share


def _still_used(transfer: ShareTransfer, upstream: str) -> SlotShare:
    for entry in transfer.in_use:
        if entry.upstream == upstream:
            slots = entry.request_slots
            return SlotShare(slots, entry.kv_tokens, slots)
    return SlotShare()
