"""Shares of each upstream's capacity, fixed by the fleet epoch.

The part of each upstream's limit that a member holds depends on the epoch alone. The
parts add up to the limit whatever each member's view of the live processes is, so
the request path needs neither an election nor a store call.
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

# With few members, every member holds a share of every upstream, so an isolated
# router can serve on its own. With more, four holders per upstream keep the number
# of messages per node constant.
FULL_SHARING_MAX_MEMBERS = 8
HOLDERS_PER_UPSTREAM = 4

MemberId = tuple[str, int]
"""Instance and incarnation of a process."""


def rendezvous_rank(key: str, names: Iterable[str]) -> list[str]:
    """Return names in descending order of their rendezvous hash with a key."""

    def rank(name: str) -> int:
        return xxhash.xxh3_64_intdigest(f"{key}\0{name}".encode())

    return sorted(names, key=rank, reverse=True)


def first_sequence(incarnation: int) -> int:
    """Return the start of a process's sequence, above all former incarnations."""
    return incarnation << 20


def split_limit(limit: int, rank: int, holders: int) -> int:
    """Return the part of a limit that belongs to the holder with a rank."""
    if not 0 <= rank < holders:
        return 0
    return limit // holders + (1 if rank < limit % holders else 0)


@dataclass(frozen=True, slots=True)
class SlotShare:
    """Capacity that one process may use on one upstream.

    Attributes
    ----------
    quick_slots : int
        Part of `request_slots` that is reserved for quick requests.
    """

    request_slots: int = 0
    kv_tokens: int = 0
    quick_slots: int = 0

    def minimum(self, other: SlotShare) -> SlotShare:
        """Return the element-wise minimum of two shares."""
        return SlotShare(
            min(self.request_slots, other.request_slots),
            min(self.kv_tokens, other.kv_tokens),
            min(self.quick_slots, other.quick_slots),
        )

    def minus(self, other: SlotShare) -> SlotShare:
        """Return the element-wise difference of two shares, clamped at 0."""
        return SlotShare(
            max(0, self.request_slots - other.request_slots),
            max(0, self.kv_tokens - other.kv_tokens),
            max(0, self.quick_slots - other.quick_slots),
        )

    def plus(self, other: SlotShare) -> SlotShare:
        """Return the element-wise sum of two shares."""
        return SlotShare(
            self.request_slots + other.request_slots,
            self.kv_tokens + other.kv_tokens,
            self.quick_slots + other.quick_slots,
        )


@dataclass(frozen=True)
class Epoch:
    """A numbered membership list stored in the object API.

    Attributes
    ----------
    departed : tuple of (str, int)
        Former members whose grants may still be active; their shares stay unused
        until these grants have expired.
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
        """Return a member's share of an upstream's limits."""
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
    count = (
        len(by_name)
        if len(by_name) <= FULL_SHARING_MAX_MEMBERS
        else HOLDERS_PER_UPSTREAM
    )
    return [by_name[name] for name in rendezvous_rank(upstream, by_name)[:count]]


class ShareTable:
    """The shares of one process across epoch changes.

    A process uses the minimum of its shares under the settled epoch and all later
    epochs that it knows. The newest epoch is settled once every other process that
    it names has acknowledged exactly this epoch, or has departed and its grants
    have expired. An acknowledgement of another number does not count, because its
    sender may use more than its share under this epoch.

    Parameters
    ----------
    owner : tuple of (str, int)
        Instance and incarnation of the process.
    grant_expiry_s : float
        Time after which all grants of a departed process are certain to have
        expired.
    """

    def __init__(self, owner: MemberId, grant_expiry_s: float):
        self._owner = owner
        self._grant_expiry_s = grant_expiry_s
        self._settled = Epoch(0)
        self._pending: list[Epoch] = []
        self._acked: set[MemberId] = set()
        self._departed_at_s: dict[MemberId, float] = {}
        self._received: dict[tuple[int, MemberId], ShareTransfer] = {}
        self._has_given_away = False
        # Increases whenever a share may have changed, to invalidate cached shares.
        self.version = 0

    @property
    def epoch(self) -> Epoch:
        """The newest known epoch."""
        return self._pending[-1] if self._pending else self._settled

    @property
    def in_transition(self) -> bool:
        """Whether the newest epoch is not settled yet."""
        return bool(self._pending)

    def all_holders(self, upstream: str) -> list[MemberId]:
        """Return the holders of an upstream under the settled or any later epoch."""
        epochs = (self._settled, *self._pending)
        found = {m: None for epoch in epochs for m in epoch.holders(upstream)}
        return list(found)

    def learn(self, epoch: Epoch, now_s: float) -> bool:
        """Apply an epoch and return whether it was newer than the known ones."""
        if epoch.number <= self.epoch.number:
            return False
        self._pending.append(epoch)
        self.version += 1
        self._acked = set()
        for member in epoch.departed:
            self._departed_at_s.setdefault(member, now_s)
        for member in epoch.member_ids():
            # A process that was removed and added again must acknowledge again.
            self._departed_at_s.pop(member, None)
        self.settle(now_s)
        return True

    def acknowledge(self, member: MemberId, number: int, now_s: float) -> None:
        """Record that a member's grants fit its shares under an epoch."""
        if self._pending and number == self.epoch.number:
            self._acked.add(member)
            self.settle(now_s)

    def settle(self, now_s: float) -> None:
        """Settle the newest epoch if no process can be exceeding its share under it."""
        if not self._pending or any(self.unsettled_members(now_s)):
            return
        self._settled = self._pending[-1]
        self._pending = []
        self.version += 1
        number = self._settled.number
        self._received = {k: t for k, t in self._received.items() if k[0] >= number}
        retained = self._settled.member_ids() | set(self._settled.departed)
        self._departed_at_s = {
            m: at_s for m, at_s in self._departed_at_s.items() if m in retained
        }

    def other_processes(self) -> frozenset[MemberId]:
        """Return the other processes that the newest epoch names.

        The grants of a former member that it no longer names had expired before
        the epoch was written.
        """
        named = self.epoch.member_ids() | set(self.epoch.departed)
        return frozenset(named - {self._owner})

    def unsettled_members(self, now_s: float) -> list[MemberId]:
        """Return the members that keep the newest epoch from being settled."""
        return sorted(
            member
            for member in self.other_processes()
            if not self._is_settled(member, now_s)
        )

    def give_away(self) -> None:
        """Stop using this process's own shares; capacity in use may finish."""
        self._has_given_away = True
        self.version += 1

    def receive(self, transfer: ShareTransfer) -> bool:
        """Accept the shares that a leaving member transfers.

        Returns
        -------
        bool
            False if the transfer is for another epoch or out of date.
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
        """Return the capacity that this process may currently use on an upstream."""
        limits = (upstream, max_requests, max_kv_tokens, quick_fraction)
        share = self._share_in(self._settled, limits)
        for epoch in self._pending:
            share = share.minimum(self._share_in(epoch, limits))
        return share

    def target_share(
        self,
        upstream: str,
        max_requests: int,
        max_kv_tokens: int,
        quick_fraction: float,
    ) -> SlotShare:
        """Return the share under the newest epoch alone."""
        limits = (upstream, max_requests, max_kv_tokens, quick_fraction)
        return self._share_in(self.epoch, limits)

    def _is_settled(self, member: MemberId, now_s: float) -> bool:
        if member in self._acked:
            return True
        departed_at_s = self._departed_at_s.get(member)
        return (
            departed_at_s is not None and now_s >= departed_at_s + self._grant_expiry_s
        )

    def _share_in(self, epoch: Epoch, limits: tuple[str, int, int, float]) -> SlotShare:
        share = SlotShare()
        if not self._has_given_away:
            share = epoch.share(self._owner, *limits)
        for (number, member), transfer in self._received.items():
            if number == epoch.number:
                given = epoch.share(member, *limits)
                share = share.plus(given.minus(_retained_share(transfer, limits[0])))
        return share


def _retained_share(transfer: ShareTransfer, upstream: str) -> SlotShare:
    for entry in transfer.in_use:
        if entry.upstream == upstream:
            slots = entry.request_slots
            return SlotShare(slots, entry.kv_tokens, slots)
    return SlotShare()
