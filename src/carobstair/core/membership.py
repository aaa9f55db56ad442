"""Membership: which router processes are considered alive.

Implements the SWIM protocol. Each process probes one other per interval, directly
and then through others. A process that does not answer is suspected before it is
declared dead; it refutes the suspicion with a higher refutation number. Updates are
piggybacked on probes, so the messages per process do not grow with the fleet.
"""

from __future__ import annotations

import math
import random
from collections.abc import Callable, Iterable
from functools import singledispatchmethod

from carobstair.core.dissemination import DisseminationQueue
from carobstair.core.effects import Connect, Disconnect, Effect, Reconnect, Send
from carobstair.core.members import (
    Member,
    MembershipSettings,
    MemberStatus,
    PendingProbe,
    RelayedProbe,
)
from carobstair.core.messages import (
    Heartbeat,
    MemberSync,
    MemberUpdate,
    PeerAddress,
    Probe,
    ProbeAck,
    ProbeRequest,
)

__all__ = ["Member", "MemberStatus", "Membership", "MembershipSettings"]


class Membership:
    """One process's view of the other processes.

    Parameters
    ----------
    own : PeerAddress
    seeds : iterable of str
        Names by which the driver addresses the configured seeds.
    settings : MembershipSettings
    generator : random.Random
    heartbeat : callable
        Returns the current heartbeat of this process.
    """

    def __init__(
        self,
        own: PeerAddress,
        seeds: Iterable[str],
        settings: MembershipSettings,
        generator: random.Random,
        heartbeat: Callable[[], Heartbeat],
    ):
        self._own = own
        self._seeds = tuple(seeds)
        self._settings = settings
        self._random = generator
        self._heartbeat = heartbeat
        self.refutation = 0
        self.leaving = False
        self.members: dict[str, Member] = {}
        self._live: frozenset[str] | None = None
        self._next_sweep_s = 0.0
        self._epoch_members: frozenset[str] = frozenset()
        self.is_superseded = False
        self._dissemination = DisseminationQueue()
        self._probe_order: list[str] = []
        self._last_probe_number = 0
        self._pending: dict[int, PendingProbe] = {}
        self._relayed: dict[int, RelayedProbe] = {}
        self._synced: set[tuple[str, int]] = set()
        self._next_probe_s = 0.0
        self._next_dead_probe_s = 0.0
        self._next_sync_s = 0.0

    def live(self) -> frozenset[str]:
        """Return the other instances that may be assigned work.

        Returns the same object until the view changes.
        """
        if self._live is None:
            live_statuses = (MemberStatus.ALIVE, MemberStatus.SUSPECT)
            self._live = frozenset(
                name
                for name, m in self.members.items()
                if m.status in live_statuses
                and not (m.heartbeat and m.heartbeat.leaving)
            )
        return self._live

    def reachable(self) -> list[str]:
        """Return the other instances that are not considered dead."""
        return [n for n, m in self.members.items() if m.status < MemberStatus.DEAD]

    def is_gone(self, process: tuple[str, int]) -> bool:
        """Return whether a process (instance, incarnation) is considered gone."""
        member = self.members.get(process[0])
        if process[0] == self._own.instance:
            return process[1] < self._own.incarnation
        if member is None:
            return False
        newer = member.address.incarnation > process[1]
        return newer or member.status >= MemberStatus.DEAD

    def add_epoch_members(
        self, addresses: Iterable[PeerAddress], now_s: float
    ) -> list[Effect]:
        """Add the epoch's members; unknown ones count as dead until heard from."""
        addresses = tuple(addresses)
        self._epoch_members = frozenset(address.instance for address in addresses)
        effects: list[Effect] = []
        for address in addresses:
            if address.instance not in self.members:
                update = MemberUpdate(address, 0, int(MemberStatus.DEAD))
                effects += self._merge(update, now_s, disseminate=False)
        return effects

    def leave(self) -> None:
        """Start announcing that this process is leaving."""
        self.leaving = True
        self.refutation += 1

    def announce_departure(self, now_s: float) -> list[Effect]:
        """Return the messages that announce that this process has left.

        Call it only when this process has no capacity in use.
        """
        self.refutation += 1
        update = MemberUpdate(self._own, self.refutation, int(MemberStatus.LEFT))
        message = MemberSync(self._heartbeat(), [update])
        return [Send(name, message) for name in self.reachable()]

    def tick(self, now_s: float) -> list[Effect]:
        """Run the periodic work that is due; call about every 50 ms."""
        effects = self._time_out_probes(now_s)
        if now_s >= self._next_sweep_s:
            self._next_sweep_s = now_s + self._settings.probe_timeout_s
            effects += self._time_out_suspects(now_s)
        if now_s >= self._next_probe_s:
            self._next_probe_s = now_s + self._settings.probe_every_s
            effects += self._probe_next(now_s)
        if now_s >= self._next_dead_probe_s:
            jitter = 0.75 + self._random.random() / 2
            self._next_dead_probe_s = now_s + self._settings.dead_probe_every_s * jitter
            effects += self._probe_dead(now_s)
        if now_s >= self._next_sync_s:
            self._next_sync_s = now_s + self._settings.sync_every_s
            effects += self._sync_with_random()
        return effects

    # Messages

    def on_message(self, sender: str, payload, now_s: float) -> list[Effect]:
        """Handle a message of this protocol; other kinds are ignored."""
        return self._handle(payload, sender, now_s)

    @singledispatchmethod
    def _handle(self, payload, sender: str, now_s: float) -> list[Effect]:
        return []

    @_handle.register
    def _(self, probe: Probe, sender: str, now_s: float) -> list[Effect]:
        effects = self._apply_heartbeat(probe.heartbeat, probe.updates, now_s)
        ack = ProbeAck(probe.number, self._heartbeat(), self._take_updates(sender))
        return [*effects, Send(sender, ack)]

    @_handle.register
    def _(self, ack: ProbeAck, sender: str, now_s: float) -> list[Effect]:
        answered = self._pending.pop(ack.number, None)
        effects = self._apply_heartbeat(ack.heartbeat, ack.updates, now_s)
        relayed = self._relayed.pop(ack.number, None)
        if relayed is not None:
            answer = ProbeAck(relayed.number, ack.heartbeat)
            effects.append(Send(relayed.requester, answer))
        if answered is not None and answered.instance in self._seeds:
            effects += self._sync_once(sender, ack.heartbeat.address)
        return effects

    @_handle.register
    def _(self, request: ProbeRequest, sender: str, now_s: float) -> list[Effect]:
        effects = self._apply_heartbeat(request.heartbeat, [], now_s)
        name = request.target.instance
        if name == self._own.instance:
            ack = ProbeAck(request.number, self._heartbeat())
            return [*effects, Send(sender, ack)]
        self._last_probe_number += 1
        self._relayed[self._last_probe_number] = RelayedProbe(
            sender, request.number, now_s
        )
        probe = Probe(
            self._last_probe_number, self._heartbeat(), self._take_updates(name)
        )
        return [*effects, Connect(request.target), Send(name, probe)]

    @_handle.register
    def _(self, sync: MemberSync, sender: str, now_s: float) -> list[Effect]:
        effects = self._apply_heartbeat(sync.heartbeat, sync.updates, now_s)
        if sync.wants_reply:
            effects.append(
                Send(sender, MemberSync(self._heartbeat(), self._all_updates()))
            )
        return effects

    def _apply_heartbeat(
        self, heartbeat: Heartbeat, updates: list[MemberUpdate], now_s: float
    ) -> list[Effect]:
        """Apply a process's report about itself, then its updates about others."""
        address = heartbeat.address
        status = MemberStatus.LEAVING if heartbeat.leaving else MemberStatus.ALIVE
        own_update = MemberUpdate(address, heartbeat.refutation, int(status))
        effects = self._merge(own_update, now_s)
        member = self.members.get(address.instance)
        if member is not None and member.address == address:
            if (
                member.heartbeat is None
                or member.heartbeat.leaving != heartbeat.leaving
            ):
                self._live = None
            member.heartbeat, member.last_heard_s = heartbeat, now_s
            if member.status in (MemberStatus.SUSPECT, MemberStatus.DEAD):
                # The process is alive and must learn of the suspicion to refute it.
                self._dissemination.add(address.instance, len(self.members))
        for update in updates:
            effects += self._merge(update, now_s)
        return effects

    def _merge(
        self, update: MemberUpdate, now_s: float, disseminate: bool = True
    ) -> list[Effect]:
        name = update.address.instance
        if name == self._own.instance:
            self._refute(update)
            return []
        received = Member(
            update.address, update.refutation, MemberStatus(update.status), now_s
        )
        known = self.members.get(name)
        if known is not None and known.rank() >= received.rank():
            return []
        if known is None and disseminate and received.status >= MemberStatus.DEAD:
            # Peers remove a dead process at different times; adding it again would
            # keep it in the fleet's views forever.
            return []
        is_same_process = known is not None and known.address == received.address
        if known is not None and is_same_process:
            received.heartbeat, received.last_heard_s = (
                known.heartbeat,
                known.last_heard_s,
            )
        self.members[name] = received
        self._live = None
        if disseminate:
            self._dissemination.add(name, len(self.members))
        effects: list[Effect] = []
        if not is_same_process:
            effects.append(Connect(update.address))
            self._replace_at_address(update.address, now_s)
        if received.status is MemberStatus.SUSPECT and is_same_process:
            effects.append(Reconnect(name))
        return effects

    def _replace_at_address(self, address: PeerAddress, now_s: float) -> None:
        """Mark older processes of other instances at this address as left."""
        for member in self.members.values():
            other = member.address
            same = (other.host, other.peer_port) == (address.host, address.peer_port)
            older = other.incarnation < address.incarnation
            if same and older and other.instance != address.instance:
                member.status, member.changed_s = MemberStatus.LEFT, now_s
                self._live = None
                self._dissemination.add(other.instance, len(self.members))

    def _refute(self, update: MemberUpdate) -> None:
        own_status = MemberStatus.LEAVING if self.leaving else MemberStatus.ALIVE
        if update.address.incarnation > self._own.incarnation:
            # Either this is a stale process, or the clock that provided its
            # incarnation was set back. It must not compete with the newer one.
            self.is_superseded = True
        if update.address.incarnation != self._own.incarnation:
            return
        if update.status > own_status and update.refutation >= self.refutation:
            self.refutation = update.refutation + 1
            self._dissemination.add(self._own.instance, len(self.members))

    # Probes

    def _probe_next(self, now_s: float) -> list[Effect]:
        """Probe the next process of a shuffled round, which includes every one."""
        reachable = set(self.reachable())
        if not reachable:
            return [e for seed in self._seeds for e in self._probe(seed, now_s)]
        while self._probe_order:
            name = self._probe_order.pop()
            if name in reachable:
                return self._probe(name, now_s)
        self._probe_order = sorted(reachable)
        self._random.shuffle(self._probe_order)
        return self._probe(self._probe_order.pop(), now_s)

    def _probe_dead(self, now_s: float) -> list[Effect]:
        dead = [n for n, m in self.members.items() if m.status is MemberStatus.DEAD]
        names = sorted(dead) + list(self._seeds)
        return self._probe(self._random.choice(names), now_s) if names else []

    def _probe(self, name: str, now_s: float) -> list[Effect]:
        self._last_probe_number += 1
        self._pending[self._last_probe_number] = PendingProbe(name, now_s)
        updates = self._take_updates(name)
        return [Send(name, Probe(self._last_probe_number, self._heartbeat(), updates))]

    def _time_out_probes(self, now_s: float) -> list[Effect]:
        settings = self._settings
        effects: list[Effect] = []
        for number, pending in list(self._pending.items()):
            waited_s = now_s - pending.sent_s
            if waited_s >= settings.probe_every_s:
                del self._pending[number]
                effects += self._suspect(pending.instance, now_s)
            elif waited_s >= settings.probe_timeout_s and not pending.indirect:
                pending.indirect = True
                effects += self._probe_indirectly(number, pending.instance)
        oldest_s = now_s - 2 * settings.probe_every_s
        for number in [n for n, r in self._relayed.items() if r.sent_s < oldest_s]:
            del self._relayed[number]
        return effects

    def _probe_indirectly(self, number: int, name: str) -> list[Effect]:
        member = self.members.get(name)
        others = sorted(set(self.reachable()) - {name})
        if member is None or member.status >= MemberStatus.DEAD or not others:
            return []
        count = min(self._settings.indirect_probes, len(others))
        request = ProbeRequest(number, member.address, self._heartbeat())
        return [Send(other, request) for other in self._random.sample(others, count)]

    def _suspect(self, name: str, now_s: float) -> list[Effect]:
        member = self.members.get(name)
        if member is None or member.status >= MemberStatus.SUSPECT:
            return []
        status = int(MemberStatus.SUSPECT)
        update = MemberUpdate(member.address, member.refutation, status)
        effects = self._merge(update, now_s)
        # The suspect must learn of the suspicion first, or it can't refute it.
        return [*effects, *self._probe(name, now_s)]

    def _time_out_suspects(self, now_s: float) -> list[Effect]:
        effects: list[Effect] = []
        fleet_size = max(10, len(self.members) + 1)
        limit_s = self._settings.suspicion_s * math.log10(fleet_size)
        for name, member in list(self.members.items()):
            age_s = now_s - member.changed_s
            if member.status is MemberStatus.SUSPECT and age_s >= limit_s:
                member.status, member.changed_s = MemberStatus.DEAD, now_s
                self._live = None
                self._dissemination.add(name, len(self.members))
            elif self._is_forgotten(member, age_s):
                del self.members[name]
                self._live = None
                self._dissemination.discard(name)
                effects.append(Disconnect(name))
        return effects

    def _is_forgotten(self, member: Member, age_s: float) -> bool:
        """Return whether a process has been dead for long and is no epoch member.

        Epoch members are still probed when dead; otherwise the sides of a long
        partition would never find each other again.
        """
        if member.status < MemberStatus.DEAD or age_s < self._settings.forget_s:
            return False
        is_member = member.address.instance in self._epoch_members
        return member.status is MemberStatus.LEFT or not is_member

    # Dissemination

    def _take_updates(self, receiver: str) -> list[MemberUpdate]:
        """Return the least disseminated updates.

        A suspicion or death of the receiver comes first.
        """
        member = self.members.get(receiver)
        chosen = []
        if member is not None and member.status >= MemberStatus.SUSPECT:
            chosen.append(member.update())
        limit = self._settings.max_updates - len(chosen)
        return chosen + [
            self._update_of(n) for n in self._dissemination.take(limit, receiver)
        ]

    def _update_of(self, name: str) -> MemberUpdate:
        if name != self._own.instance:
            return self.members[name].update()
        status = MemberStatus.LEAVING if self.leaving else MemberStatus.ALIVE
        return MemberUpdate(self._own, self.refutation, int(status))

    def _all_updates(self) -> list[MemberUpdate]:
        own = self._update_of(self._own.instance)
        return [own, *(m.update() for m in self.members.values())]

    def _sync_once(self, sender: str, address: PeerAddress) -> list[Effect]:
        if (sender, address.incarnation) in self._synced:
            return []
        self._synced.add((sender, address.incarnation))
        return self._sync_with(sender)

    def _sync_with_random(self) -> list[Effect]:
        reachable = sorted(self.reachable())
        return self._sync_with(self._random.choice(reachable)) if reachable else []

    def _sync_with(self, name: str) -> list[Effect]:
        return [Send(name, MemberSync(self._heartbeat(), self._all_updates(), True))]
