"""Maintains the fleet epoch: which processes join, and when members are removed.

One process at a time, chosen by rendezvous hash over the live processes, reads and
writes the epoch object. Two concurrent writers are harmless, because each write is
conditional on the version read.
"""

from __future__ import annotations

import math
import random
from collections.abc import Callable, Mapping
from dataclasses import dataclass

from carobstair.core.effects import Effect, Warn
from carobstair.core.members import Member, MemberStatus
from carobstair.core.messages import PeerAddress
from carobstair.core.shares import Epoch, MemberId
from carobstair.core.store_calls import (
    InstanceEntry,
    StoreAnswer,
    StoreCalls,
    StoreOutcome,
)
from carobstair.core.tickets import StateCodec

__all__ = ["EPOCH_OBJECT", "EpochManager", "EpochSettings"]

EPOCH_OBJECT = "fleet-epoch"


@dataclass(frozen=True, slots=True)
class EpochSettings:
    """Settings of the epoch writer.

    Attributes
    ----------
    batch_s : float
        How long a change is held back to be combined with others, so that a third
        of the fleet can join or leave in few epochs.
    grant_expiry_s : float
        Time after which all grants of a departed process are certain to have
        expired.
    list_lag_s : float
        Maximum lag of the platform's instance list.
    """

    read_every_s: float = 2.0
    batch_s: float = 1.0
    grant_expiry_s: float = 11.0
    list_lag_s: float = 60.0
    retry_max_s: float = 5.0


@dataclass(frozen=True, slots=True)
class _StoredEpoch:
    """The epoch object as last read or written; `version` is None if none exists."""

    epoch: Epoch
    version: int | None


class EpochManager:
    """Reads and writes the epoch object while this process is the writer.

    Parameters
    ----------
    own : PeerAddress
    settings : EpochSettings
    codec : StateCodec
    calls : StoreCalls
    generator : random.Random
    known : callable
        Returns the newest epoch known to this process.
    learn : callable
        Applies an epoch and returns the effects.
    on_instances : callable
        Called with each instance list read.
    """

    def __init__(
        self,
        own: PeerAddress,
        settings: EpochSettings,
        codec: StateCodec,
        calls: StoreCalls,
        generator: random.Random,
        known: Callable[[], Epoch],
        learn: Callable[[Epoch, float], list[Effect]],
        on_instances: Callable[[tuple[InstanceEntry, ...], float], list[Effect]],
    ):
        self._own = own
        self._settings = settings
        self._codec = codec
        self._calls = calls
        self._random = generator
        self._known = known
        self._learn = learn
        self._on_instances = on_instances
        self._members: Mapping[str, Member] = {}
        self._own_joins = True
        self._stored: _StoredEpoch | None = None
        self._call_pending = False
        self._failures = 0
        self._next_read_s = 0.0
        self._next_list_s = 0.0
        self._change_pending_since_s = math.inf
        self._ever_listed: set[str] = set()
        self._latest_list: frozenset[str] | None = None
        self._in_epoch_since_s: dict[MemberId, float] = {}
        self._departed_since_s: dict[MemberId, float] = {}

    def record_epoch(self, epoch: Epoch, now_s: float) -> None:
        """Record when each member and departed process was first seen in an epoch."""
        ids = epoch.member_ids()
        self._in_epoch_since_s = {
            m: self._in_epoch_since_s.get(m, now_s) for m in sorted(ids)
        }
        self._departed_since_s = {
            m: self._departed_since_s.get(m, now_s) for m in epoch.departed
        }

    def tick(
        self,
        now_s: float,
        writes: bool,
        members: Mapping[str, Member],
        own_joins: bool,
    ) -> list[Effect]:
        """Run the periodic work that is due.

        Parameters
        ----------
        writes : bool
            Whether this process is the writer.
        members : Mapping of str to Member
            The membership view.
        own_joins : bool
            Whether this process should be a member itself.
        """
        if not writes:
            self._stored = None
            self._change_pending_since_s = math.inf
            self._next_read_s = min(self._next_read_s, now_s)
            return []
        self._members, self._own_joins = members, own_joins
        effects: list[Effect] = []
        if now_s >= self._next_list_s:
            self._next_list_s = now_s + self._settings.read_every_s
            effects.append(self._calls.instances(self._on_list))
        if self._call_pending:
            return effects
        if now_s >= self._next_read_s or self._stored is None:
            return effects + self._read(now_s)
        return effects + self._propose(now_s)

    # Reading

    def _read(self, now_s: float) -> list[Effect]:
        if now_s < self._next_read_s:
            return []
        self._call_pending = True
        self._next_read_s = now_s + self._settings.read_every_s
        return [self._calls.get(EPOCH_OBJECT, self._on_read)]

    def _on_read(self, answer: StoreAnswer, now_s: float) -> list[Effect]:
        self._call_pending = False
        if answer.outcome is StoreOutcome.MISSING:
            self._failures = 0
            self._stored = _StoredEpoch(Epoch(0), None)
            return []
        if not answer.ok:
            self._back_off(now_s)
            return []
        self._failures = 0
        try:
            epoch = self._codec.decode_epoch(answer.objects[0].value)
        except ValueError as error:
            self._stored = None
            return [Warn("epoch_unreadable", str(error))]
        self._stored = _StoredEpoch(epoch, answer.objects[0].version)
        return self._learn(epoch, now_s)

    def _on_list(self, answer: StoreAnswer, now_s: float) -> list[Effect]:
        if not answer.ok:
            return []
        self._latest_list = frozenset(entry.name for entry in answer.instances)
        self._ever_listed |= self._latest_list
        return self._on_instances(answer.instances, now_s)

    def _back_off(self, now_s: float) -> None:
        self._failures += 1
        max_delay_s = min(
            self._settings.retry_max_s, 0.2 * 2 ** min(self._failures, 10)
        )
        self._next_read_s = now_s + max_delay_s * (0.5 + self._random.random() / 2)

    # Writing

    def _propose(self, now_s: float) -> list[Effect]:
        # A store that returns an older epoch must not roll the fleet back.
        base = max(self._stored.epoch, self._known(), key=lambda epoch: epoch.number)
        epoch = self._next_epoch(base, now_s)
        if epoch is None:
            self._change_pending_since_s = math.inf
            return []
        self._change_pending_since_s = min(self._change_pending_since_s, now_s)
        if now_s < self._change_pending_since_s + self._settings.batch_s:
            return []
        self._change_pending_since_s = math.inf
        self._call_pending = True
        data, version = self._codec.encode_epoch(epoch), self._stored.version
        self._stored = None

        def on_written(answer: StoreAnswer, at_s: float) -> list[Effect]:
            return self._on_written(epoch, answer, at_s)

        return [self._calls.write(EPOCH_OBJECT, data, version, on_written)]

    def _on_written(
        self, epoch: Epoch, answer: StoreAnswer, now_s: float
    ) -> list[Effect]:
        self._call_pending = False
        if answer.ok:
            self._stored = _StoredEpoch(epoch, answer.version)
            return self._learn(epoch, now_s)
        # The object's current content is unknown until the next read.
        if answer.outcome is StoreOutcome.CONFLICT:
            self._next_read_s = now_s
        else:
            self._back_off(now_s)
        return []

    def _next_epoch(self, base: Epoch, now_s: float) -> Epoch | None:
        """Return the next epoch, or None if the membership is unchanged."""
        kept, departing = [], []
        for member in base.members:
            (departing if self._is_gone(member, now_s) else kept).append(member)
        joining = self._joining(kept)
        if not departing and not joining:
            return None
        members = sorted((*kept, *joining), key=lambda m: m.instance)
        departed = [m for m in base.departed if not self._grants_expired(m, now_s)]
        departed += [(m.instance, m.incarnation) for m in departing]
        ids = {(m.instance, m.incarnation) for m in members}
        return Epoch(
            base.number + 1,
            tuple(members),
            tuple(m for m in departed if m not in ids),
        )

    def _joining(self, kept: list[PeerAddress]) -> list[PeerAddress]:
        names = {member.instance for member in kept}
        joining = [
            member.address
            for member in self._members.values()
            if member.status is MemberStatus.ALIVE
        ]
        if self._own_joins:
            joining.append(self._own)
        return [address for address in joining if address.instance not in names]

    def _is_gone(self, member: PeerAddress, now_s: float) -> bool:
        """Return whether there is evidence that a member's process has ended."""
        if member.instance == self._own.instance:
            return member.incarnation < self._own.incarnation
        known = self._members.get(member.instance)
        if known is not None:
            if known.address.incarnation > member.incarnation:
                return True
            if known.address == member and known.status is MemberStatus.LEFT:
                return True
        if self._is_replaced(member):
            return True
        return self._is_unlisted(member, known, now_s)

    def _is_replaced(self, member: PeerAddress) -> bool:
        others = [self._own, *(m.address for m in self._members.values())]
        return any(
            (o.host, o.peer_port) == (member.host, member.peer_port)
            and o.incarnation > member.incarnation
            for o in others
        )

    def _is_unlisted(
        self, member: PeerAddress, known: Member | None, now_s: float
    ) -> bool:
        """Return whether the platform's list lacks a member that is not alive.

        A newly started process is not listed yet. Its absence therefore counts
        only after it has been listed once, or after the list's maximum lag.
        """
        if self._latest_list is None or member.instance in self._latest_list:
            return False
        if known is not None and known.status < MemberStatus.DEAD:
            return False
        since_s = self._in_epoch_since_s.get((member.instance, member.incarnation))
        waited = since_s is not None and now_s >= since_s + self._settings.list_lag_s
        return member.instance in self._ever_listed or waited

    def _grants_expired(self, member: MemberId, now_s: float) -> bool:
        since_s = self._departed_since_s.get(member)
        return since_s is not None and now_s >= since_s + self._settings.grant_expiry_s
