"""Agent node: membership, epoch, tickets and orders of one router.

The methods for events take the monotonic time in seconds and return effects. Calls
to the object API are effects too; their answers come back as events.
"""

from __future__ import annotations

import math
import random
from collections.abc import Sequence
from dataclasses import dataclass, field
from functools import singledispatchmethod

from carobstair.core.distribution import (
    DistributionSettings,
    TicketDistribution,
    choose_relay_targets,
)
from carobstair.core.effects import (
    Effect,
    EpochLearned,
    Send,
    StateChanged,
)
from carobstair.core.epoch import EpochManager, EpochSettings
from carobstair.core.in_force import InForceQueries
from carobstair.core.leaving import LeavingTable
from carobstair.core.members import MembershipSettings
from carobstair.core.membership import Membership
from carobstair.core.messages import (
    EpochAck,
    EpochNotice,
    Heartbeat,
    InForceAnswer,
    InForceQuery,
    LeavingEntry,
    LeavingNotice,
    MemberSync,
    PeerAddress,
    Probe,
    ProbeAck,
    ProbeRequest,
    ShareTransfer,
    TicketPull,
    TicketPush,
)
from carobstair.core.orders import OrderManager, OrderSettings
from carobstair.core.readiness import unready_reason
from carobstair.core.share_coordinator import (
    CapacityView,
    ShareCoordinator,
    ShareCoordinatorSettings,
)
from carobstair.core.shares import Epoch, ShareTable, rendezvous_rank
from carobstair.core.state import FleetState, Ticket
from carobstair.core.store_calls import (
    InstanceEntry,
    StoreAnswer,
    StoreCalls,
    WatchChange,
    WatchEnded,
)
from carobstair.core.tickets import StateCodec, TicketFiling, TicketLog

__all__ = ["AgentNode", "AgentSettings"]

INSTANCE_LIST = "instance-list"
LOAD_REPORT = "load-report"


@dataclass(frozen=True, slots=True)
class AgentSettings:
    """Settings of an agent node, with those of its parts.

    Attributes
    ----------
    start_wait_s : float
        How long a starting process waits for peers before it reads the object API
        itself.
    query_s : float
        Time-out of a query for the tickets in force at the peers.
    """

    membership: MembershipSettings = field(default_factory=MembershipSettings)
    distribution: DistributionSettings = field(default_factory=DistributionSettings)
    epoch: EpochSettings = field(default_factory=EpochSettings)
    shares: ShareCoordinatorSettings = field(default_factory=ShareCoordinatorSettings)
    orders: OrderSettings = field(default_factory=OrderSettings)
    start_wait_s: float = 1.0
    query_s: float = 0.5


class AgentNode:
    """State machine of the state that one router shares with the fleet.

    Parameters
    ----------
    own : PeerAddress
    seeds : sequence of str
        Names by which the driver connects to the configured seeds.
    settings : AgentSettings
    generator : random.Random
    codec : StateCodec
    shares : ShareTable
    capacity : CapacityView
    """

    def __init__(
        self,
        own: PeerAddress,
        seeds: Sequence[str],
        settings: AgentSettings,
        generator: random.Random,
        codec: StateCodec,
        shares: ShareTable,
        capacity: CapacityView,
    ):
        self._own = own
        self._settings = settings
        self._random = generator
        self.shares = shares
        self._calls = StoreCalls()
        self.log = TicketLog(codec)
        self._leaving_table = LeavingTable()
        self.membership = Membership(
            own, seeds, settings.membership, generator, self._heartbeat
        )
        self._distribution = TicketDistribution(
            self.log,
            settings.distribution,
            self._calls,
            generator,
            self.membership.reachable,
            self._on_tickets_applied,
        )
        self._ticket_filing = TicketFiling(
            self.log, codec, self._calls, self._distribution.apply_tickets
        )
        self._epoch_keeper = EpochManager(
            own,
            settings.epoch,
            codec,
            self._calls,
            generator,
            lambda: self.shares.epoch,
            self._adopt_epoch,
            self._on_instances,
        )
        self.orders = OrderManager(
            (own.instance, own.incarnation),
            settings.orders,
            self._calls,
            generator,
            self.membership.is_gone,
        )
        self._state = FleetState()
        self._ranked_live: frozenset[str] | None = None
        self._is_writer = self._watches_tickets = False
        self._store_reads_from_s = -math.inf if not seeds else math.inf
        self._in_force_queries = InForceQueries(settings.query_s)
        self._share_coordinator = ShareCoordinator(
            own, settings.shares, shares, capacity
        )

    # Current state

    @property
    def state(self) -> FleetState:
        """The fleet state in force, including upstreams reported as leaving.

        Such reports come from the instance list, load reports and peers.
        """
        return self._state

    @property
    def leaving(self) -> bool:
        """Whether this process is leaving the fleet."""
        return self.membership.leaving

    def live_peers(self) -> frozenset[str]:
        """Return the other instances that may receive work."""
        return self.membership.live()

    def unready_reason(self) -> str | None:
        """Return why this router should receive no requests, or None if it may."""
        return unready_reason(
            self._own, self.log.state, self.membership, self._distribution
        )

    # Events from this process

    def tick(self, now_s: float) -> list[Effect]:
        """Run what is due; to be called about every 50 ms."""
        if self._store_reads_from_s == math.inf:
            jitter = 1.0 + self._random.random() / 2
            self._store_reads_from_s = now_s + self._settings.start_wait_s * jitter
        self.shares.settle(now_s)
        effects = self.membership.tick(now_s)
        may_read = now_s >= self._store_reads_from_s and not self.leaving
        live = self.membership.live()
        if live is not self._ranked_live:
            # Ranking hashes every name, which is too expensive on each tick.
            self._ranked_live = live
            self._is_writer = self._ranks_first("epoch writer")
            self._watches_tickets = self._ranks_as_watcher()
        writes, watches = (
            may_read and self._is_writer,
            may_read and self._watches_tickets,
        )
        effects += self._distribution.tick(now_s, watches, writes)
        effects += self._ticket_filing.tick(now_s)
        effects += self._epoch_keeper.tick(
            now_s, writes, self.membership.members, not self.leaving
        )
        current = (self._state, live, self.shares.epoch)
        effects += self.orders.tick(*current, may_read, now_s)
        effects += self._share_coordinator.acknowledge(now_s)
        if self.leaving:
            effects += self._share_coordinator.transfer(now_s, self.membership)
        return effects + self._in_force_queries.finish(now_s)

    def file(self, filing: int, ticket: Ticket, now_s: float) -> list[Effect]:
        """File a ticket; a `FilingFinished` effect with this id gives the result."""
        return self._ticket_filing.file(filing, ticket, now_s)

    def query_in_force(self, now_s: float) -> tuple[int, list[Effect]]:
        """Query all live peers for the number of the ticket in force there.

        Returns
        -------
        tuple of (int, list of Effect)
            Number of the query, which the `InForceResult` effect repeats.
        """
        last_in_force = {
            name: self._last_in_force(name) for name in self.membership.live()
        }
        number = self.log.state.number
        return self._in_force_queries.ask(
            self._own.instance, number, last_in_force, now_s
        )

    def note_leaving(self, upstream: str, leaving: bool) -> list[Effect]:
        """Note whether an upstream's load report says that it is leaving."""
        changed = self._leaving_table.record(LOAD_REPORT, upstream, leaving)
        return self._propagate_leaving(changed, "")

    def leave(self, now_s: float) -> list[Effect]:
        """Start to leave: accept no new work and transfer the shares."""
        if not self.leaving:
            self.membership.leave()
        return self._share_coordinator.transfer(now_s, self.membership)

    def announce_departure(self, now_s: float) -> list[Effect]:
        """Return the final messages to the peers; no grants may follow them."""
        return self.membership.announce_departure(now_s)

    # Events from the object API

    def on_store_answer(self, answer: StoreAnswer, now_s: float) -> list[Effect]:
        """Handle the answer to a call."""
        return self._calls.answer(answer, now_s)

    def on_watch(self, event: WatchChange | WatchEnded, now_s: float) -> list[Effect]:
        """Handle an event of a watch."""
        if isinstance(event, WatchEnded):
            return self._distribution.on_watch_ended(event, now_s)
        return self._distribution.on_watch_change(event, now_s)

    # Messages

    def on_message(
        self, sender: str, incarnation: int, payload, now_s: float
    ) -> list[Effect]:
        """Handle a peer's message; a kind without a handler has no effect."""
        return self._handle(payload, sender, incarnation, now_s)

    @singledispatchmethod
    def _handle(self, payload, sender, incarnation, now_s) -> list[Effect]:
        return []

    @_handle.register(Probe)
    @_handle.register(ProbeAck)
    @_handle.register(ProbeRequest)
    @_handle.register(MemberSync)
    def _(self, message, sender, incarnation, now_s) -> list[Effect]:
        effects = self.membership.on_message(sender, message, now_s)
        return effects + self._sync_with_peer(message.heartbeat, now_s)

    @_handle.register
    def _(self, message: TicketPull, sender, incarnation, now_s) -> list[Effect]:
        return self._distribution.on_pull(sender, message)

    @_handle.register
    def _(self, message: TicketPush, sender, incarnation, now_s) -> list[Effect]:
        return self._distribution.on_push(sender, message, now_s)

    @_handle.register
    def _(self, notice: EpochNotice, sender, incarnation, now_s) -> list[Effect]:
        departed = tuple((str(i), int(n)) for i, n in notice.departed)
        epoch = Epoch(notice.number, tuple(notice.members), departed)
        return self._adopt_epoch(epoch, now_s, sender)

    @_handle.register
    def _(self, ack: EpochAck, sender, incarnation, now_s) -> list[Effect]:
        self.shares.acknowledge((sender, incarnation), ack.number, now_s)
        if ack.number < self.shares.epoch.number:
            return [Send(sender, self._epoch_notice())]
        return self._share_coordinator.answer(sender, ack)

    @_handle.register
    def _(self, transfer: ShareTransfer, sender, incarnation, now_s) -> list[Effect]:
        if (sender, incarnation) == (transfer.owner, transfer.owner_incarnation):
            self.shares.receive(transfer)
        return []

    @_handle.register
    def _(self, notice: LeavingNotice, sender, incarnation, now_s) -> list[Effect]:
        return self._propagate_leaving(
            self._leaving_table.merge(notice.entries), sender
        )

    @_handle.register
    def _(self, query: InForceQuery, sender, incarnation, now_s) -> list[Effect]:
        return [Send(sender, InForceAnswer(query.request, self.log.state.number))]

    @_handle.register
    def _(self, answer: InForceAnswer, sender, incarnation, now_s) -> list[Effect]:
        return self._in_force_queries.answer(
            answer.request, sender, answer.in_force, now_s
        )

    # Internal steps

    def _heartbeat(self) -> Heartbeat:
        return Heartbeat(
            self._own,
            self.log.state.number,
            self.shares.epoch.number,
            self.log.state.number > 0,
            self.leaving,
            self.log.digest,
            self._leaving_table.digest,
            self.membership.refutation,
        )

    def _sync_with_peer(self, heartbeat: Heartbeat, now_s: float) -> list[Effect]:
        """Send a peer what its heartbeat shows as missing, and pull what is newer."""
        peer = heartbeat.address.instance
        if peer == self._own.instance:
            return []
        effects = self._distribution.on_heartbeat(peer, heartbeat, now_s)
        if heartbeat.epoch < self.shares.epoch.number:
            effects.append(Send(peer, self._epoch_notice()))
        if heartbeat.leaving_digest != self._leaving_table.digest:
            entries = self._leaving_table.entries()
            effects += [Send(peer, LeavingNotice(entries))] if entries else []
        return effects

    def _ranks_first(self, role: str) -> bool:
        names = [*self.membership.live(), self._own.instance]
        return rendezvous_rank(role, names)[0] == self._own.instance

    def _ranks_as_watcher(self) -> bool:
        live, members = self.membership.live(), self.membership.members
        zone = [n for n in live if members[n].address.zone == self._own.zone]
        ranked = rendezvous_rank("ticket watch", [*zone, self._own.instance])
        count = self._settings.distribution.watchers_per_zone
        return self._own.instance in ranked[:count]

    def _on_tickets_applied(self, now_s: float) -> list[Effect]:
        return self._update_state()

    def _update_state(self) -> list[Effect]:
        state = self.log.state.with_leaving(self._leaving_table.leaving())
        if state == self._state:
            return []
        self._state = state
        return [StateChanged(state)]

    def _on_instances(
        self, entries: tuple[InstanceEntry, ...], now_s: float
    ) -> list[Effect]:
        known = self.log.state.upstreams
        leaving = [e.name for e in entries if e.leaving and e.name in known]
        changed = self._leaving_table.record_list(INSTANCE_LIST, leaving)
        return self._propagate_leaving(changed, "")

    def _propagate_leaving(
        self, changed: list[LeavingEntry], source: str
    ) -> list[Effect]:
        if not changed:
            return []
        return self._update_state() + self._relay(LeavingNotice(changed), source)

    def _adopt_epoch(
        self, epoch: Epoch, now_s: float, source: str = ""
    ) -> list[Effect]:
        if not self.shares.learn(epoch, now_s):
            return []
        self._epoch_keeper.record_epoch(epoch, now_s)
        effects: list[Effect] = [EpochLearned(epoch.number, len(epoch.members))]
        effects += self.membership.add_epoch_members(epoch.members, now_s)
        effects += self._relay(self._epoch_notice(), source)
        return effects + self._share_coordinator.on_new_epoch(now_s)

    def _relay(self, message, source: str) -> list[Effect]:
        targets = set(self.membership.reachable()) - {source}
        fanout = self._settings.distribution.relay_fanout
        return [
            Send(peer, message)
            for peer in choose_relay_targets(targets, fanout, self._random)
        ]

    def _epoch_notice(self) -> EpochNotice:
        epoch = self.shares.epoch
        return EpochNotice(epoch.number, list(epoch.members), list(epoch.departed))

    def _last_in_force(self, name: str) -> int:
        heartbeat = self.membership.members[name].heartbeat
        return heartbeat.in_force if heartbeat is not None else 0
