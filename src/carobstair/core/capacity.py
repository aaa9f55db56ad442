"""Capacity node: the queue, shares, grants, limits and totals of one router.

Event methods take the monotonic time in seconds and return effects, which the
network driver or the scenario runner executes.
"""

from __future__ import annotations

import random
from collections.abc import Iterable, Sequence
from functools import singledispatchmethod

import msgspec

from carobstair.core.capacity_parts import CapacityParts, CapacitySettings
from carobstair.core.effects import Effect, Granted, RefuseWaiting, Send
from carobstair.core.grants import HeldGrant
from carobstair.core.limits import LoadReport
from carobstair.core.messages import (
    DemandUpdate,
    FreeSlots,
    GrantRenewal,
    GrantRenewed,
    GrantReturn,
    LimitAnnouncement,
    Offer,
    TotalsUpdate,
    UpstreamUseReport,
)
from carobstair.core.placement import CacheEvent
from carobstair.core.queueing import WaitingRequest, with_valid_estimates
from carobstair.core.refusals import refuse
from carobstair.core.shares import MemberId
from carobstair.core.state import FleetState

__all__ = ["CapacityNode", "CapacitySettings"]

CLEANUP_INTERVAL_S = 1.0
SWEEP_INTERVAL_S = 0.2


class CapacityNode(CapacityParts):
    """Requests and allocates upstream capacity on behalf of one router.

    Parameters
    ----------
    own : tuple of (str, int)
        Instance and incarnation.
    settings : CapacitySettings
    generator : random.Random
    """

    def __init__(
        self, own: MemberId, settings: CapacitySettings, generator: random.Random
    ):
        super().__init__(own, settings, generator)
        self._next_demand_s = 0.0
        self._next_renewal_s = 0.0
        self._next_use_s = 0.0
        self._next_cleanup_s = 0.0
        self._next_sweep_s = 0.0

    # Events from this router's gateway

    def set_state(self, state: FleetState, now_s: float) -> list[Effect]:
        """Apply the fleet state in force."""
        self._now_s = now_s
        self.state = state
        self.limits.set_state(state, now_s)
        weights = {name: ws.weight for name, ws in state.workspaces.items()}
        self.virtual_time.set_weights(weights)
        self.announcer.set_state(state)
        self.prefixes.keep_only(state.upstreams)
        self._refresh_shares()
        return self._refuse_unservable() + self._allocate_all(now_s)

    def enqueue(
        self, request: WaitingRequest, now_s: float, at_front: bool = False
    ) -> list[Effect]:
        """Queue a request that needs a grant.

        Raises
        ------
        Refusal
            ``queue-full`` if the workspace has reached a queue limit,
            ``no-capacity`` if no upstream of the pool accepts work.
        """
        self._now_s = now_s
        if not self._accepts_work(request.pool):
            raise refuse("no-capacity")
        sanitized = with_valid_estimates(request)
        self.bad_hint_count += sanitized is not request
        workspace = self.state.workspaces[request.workspace]
        was_waiting = self.queue.waiting(request.pool, request.workspace)
        self.queue.push(
            sanitized,
            workspace.max_waiting_requests,
            workspace.max_waiting_bytes,
            at_front,
        )
        if not was_waiting:
            self.virtual_time.on_backlogged(request.pool, request.workspace, now_s)
        self._on_queue_changed(request)
        return self._allocate({request.pool}, now_s)

    def withdraw(self, request: WaitingRequest) -> None:
        """Remove a request from the queue, for example when its caller disconnects."""
        if self.queue.remove(request):
            self._on_queue_changed(request)

    def charge(self, grant: HeldGrant, tokens: float) -> None:
        """Charge service, in weighted tokens, to the workspace of a grant."""
        self.binder.charge(grant, tokens)

    def release(self, grant: HeldGrant, now_s: float) -> list[Effect]:
        """Release the slot of a finished grant."""
        if not self.binder.finish(grant):
            return []
        return self._return_grant(grant.allocator, grant.offer.grant_id, now_s)

    def note_token_interval(self, upstream: str, interval_ms: float) -> None:
        """Record the interval between two tokens."""
        self.limits.note_token_interval(upstream, interval_ms)

    def note_service_call(self, upstream: str, duration_s: float) -> None:
        """Record the duration of a call to a plain service."""
        self.limits.note_token_interval(upstream, duration_s * 1000.0)

    def note_failure(self, upstream: str, now_s: float) -> None:
        """Record that an upstream refused or closed a connection."""
        self.limits.note_failure(upstream, now_s)

    def on_load_report(
        self, name: str, report: LoadReport, now_s: float
    ) -> list[Effect]:
        """Apply a load report and announce the resulting limit."""
        own_use = self.allocator.in_use(name).request_slots
        message = self.limits.on_report(name, report, own_use, now_s)
        if message is None:
            return []
        self._update_leaving(now_s)
        holders = {instance for instance, _ in self.shares.all_holders(name)}
        return [Send(peer, message) for peer in sorted(holders & self._live_peers)]

    def on_cache_events(
        self, upstream: str, incarnation: str, events: Sequence[CacheEvent]
    ) -> None:
        """Apply an engine's prefix cache events."""
        if upstream in self.state.upstreams:
            self.prefixes.on_events(upstream, incarnation, events)

    # Time

    def tick(self, now_s: float) -> list[Effect]:
        """Run the periodic work that is due; call about every 50 ms."""
        self._now_s = now_s
        self.shares.settle(now_s)
        expired = self.allocator.expire(now_s)
        effects = self._allocate({g.offer.pool for g in expired}, now_s)
        for request in self.queue.expired(now_s):
            self.withdraw(request)
            refusal = refuse("deadline-exceeded")
            effects.append(RefuseWaiting(request.request_id, refusal))
        if now_s >= self._next_cleanup_s:
            self._next_cleanup_s = now_s + CLEANUP_INTERVAL_S
            self._clean_up(now_s)
        if now_s >= self._next_sweep_s:
            # Events trigger allocation themselves. The sweep covers rising limits,
            # shares that become usable and expired demand.
            self._next_sweep_s = now_s + SWEEP_INTERVAL_S
            self.limits.tick(now_s)
            effects += self._allocate_all(now_s)
        if now_s >= self._next_renewal_s:
            self._next_renewal_s = now_s + self._settings.timings.renew_every_s
            effects += self._renew(now_s)
        if now_s >= self._next_use_s:
            self._next_use_s = now_s + self._settings.estimates.use_report_interval_s
            effects += self._use_messages()
        updates = self.exchange.due_updates(now_s, self.announcer.last_offers)
        effects += [Send(peer, update) for peer, update in updates]
        effects += self._advertise(now_s)
        return effects + self._demand_messages(now_s)

    def flush_demand(self, now_s: float) -> list[Effect]:
        """Announce changed demand to the allocators."""
        self._now_s = now_s
        return self._demand_messages(now_s)

    @property
    def demand_due(self) -> bool:
        """Whether `flush_demand` has changes to announce."""
        return self.announcer.has_unsent_changes

    # Messages

    def on_message(
        self, sender: str, payload: msgspec.Struct, now_s: float
    ) -> list[Effect]:
        """Handle a peer's message; kinds not handled here are ignored."""
        self._now_s = now_s
        return self._handle(payload, sender, now_s)

    @singledispatchmethod
    def _handle(self, payload, sender: str, now_s: float) -> list[Effect]:
        return []

    @_handle.register
    def _(self, update: DemandUpdate, sender: str, now_s: float) -> list[Effect]:
        pools = self.allocator.update_demand(sender, update, now_s)
        return self._allocate(pools, now_s)

    @_handle.register
    def _(self, offer: Offer, sender: str, now_s: float) -> list[Effect]:
        demand_sent_s = self.announcer.sent_at_s(offer.demand_sequence)
        self.announcer.record_offer(sender, offer.grant_id)
        max_age_s = self._settings.timings.lease_s / 2
        if demand_sent_s is None or now_s > demand_sent_s + max_age_s:
            return self._return_grant(sender, offer.grant_id, now_s, unused=True)
        return self._bind(sender, offer, demand_sent_s, now_s)

    @_handle.register
    def _(self, message: GrantReturn, sender: str, now_s: float) -> list[Effect]:
        pools = self.allocator.release(sender, message.grant_ids, message.unused, now_s)
        return self._allocate(pools, now_s)

    @_handle.register
    def _(self, message: GrantRenewal, sender: str, now_s: float) -> list[Effect]:
        renewed = self.allocator.renew(sender, message.grant_ids, now_s)
        return [Send(sender, GrantRenewed(message.request, renewed))]

    @_handle.register
    def _(self, message: GrantRenewed, sender: str, now_s: float) -> list[Effect]:
        self.held.renewed(sender, message.request, message.grant_ids)
        return []

    @_handle.register
    def _(self, message: TotalsUpdate, sender: str, now_s: float) -> list[Effect]:
        if self.exchange.accepts(sender, message):
            self.totals.merge(sender, message, now_s)
        self.totals.adopt(message)
        self.virtual_time.merge_lifts(message.lifts, from_row=message.row >= 0)
        if message.row < 0:
            self.allocator.pending.acknowledge(sender, message.last_offer)
        answer = self.exchange.answer(message)
        return [] if answer is None else [Send(sender, answer)]

    @_handle.register
    def _(self, message: LimitAnnouncement, sender: str, now_s: float) -> list[Effect]:
        if self.limits.on_announcement(sender, message, now_s):
            self._update_leaving(now_s)
        return []

    @_handle.register
    def _(self, message: UpstreamUseReport, sender: str, now_s: float) -> list[Effect]:
        self.limits.on_use_report(sender, message, now_s)
        return []

    @_handle.register
    def _(self, message: FreeSlots, sender: str, now_s: float) -> list[Effect]:
        if not self.announcer.subscribe(sender, message.pools, now_s):
            return []
        return [Send(sender, self.announcer.full_update(sender, now_s))]

    # Allocation

    def _allocate_all(self, now_s: float) -> list[Effect]:
        return self._allocate(self.allocator.demand.pools(), now_s)

    def _allocate(self, pools: Iterable[str], now_s: float) -> list[Effect]:
        self._now_s = now_s
        self._refresh_if_stale()
        effects: list[Effect] = []
        for grant in self.allocator.allocate(pools, self.share_of, now_s):
            if grant.gateway == self._own[0]:
                effects += self._bind(grant.gateway, grant.offer, now_s, now_s)
            else:
                effects.append(Send(grant.gateway, grant.offer))
        return effects

    def _refuse_unservable(self) -> list[Effect]:
        """Refuse the requests whose pool has no upstream that accepts work."""
        effects: list[Effect] = []
        for pool in sorted({pool for pool, _ in self.queue.backlogged()}):
            if not self._accepts_work(pool):
                waiting = [r for r in self.queue if r.pool == pool]
                for request in waiting:
                    self.withdraw(request)
                    refusal = refuse("no-capacity")
                    effects.append(RefuseWaiting(request.request_id, refusal))
        return effects

    def _on_queue_changed(self, request: WaitingRequest) -> None:
        key = (request.pool, request.workspace, request.work_class)
        waits = self.queue.waiting(request.pool, request.workspace) > 0
        self.totals.set_waiting(key[:2], waits, self._now_s)
        entry = self.queue.entry(*key)
        self.allocator.demand.set_entry(self._own[0], entry, self._now_s)
        self.announcer.mark_changed(key)

    def _bind(
        self, allocator: str, offer: Offer, demand_sent_s: float, now_s: float
    ) -> list[Effect]:
        """Bind an offer to the first suitable request of its workspace."""
        if allocator == self._own[0]:
            self.allocator.pending.settle(offer.grant_id)
        bound = self.binder.bind(allocator, offer, demand_sent_s)
        if bound is None:
            return self._return_grant(allocator, offer.grant_id, now_s, unused=True)
        request, grant = bound
        self._on_queue_changed(request)
        return [Granted(request.request_id, grant)]

    def _return_grant(
        self, allocator: str, grant_id: int, now_s: float, unused: bool = False
    ) -> list[Effect]:
        if allocator != self._own[0]:
            return [Send(allocator, GrantReturn([grant_id], unused))]
        pools = self.allocator.release(allocator, [grant_id], unused, now_s)
        return [] if unused else self._allocate(pools, now_s)

    def _renew(self, now_s: float) -> list[Effect]:
        effects: list[Effect] = []
        for allocator, (number, grant_ids) in self.held.renewals(now_s).items():
            if allocator == self._own[0]:
                renewed = self.allocator.renew(allocator, grant_ids, now_s)
                self.held.renewed(allocator, number, renewed)
            else:
                effects.append(Send(allocator, GrantRenewal(number, grant_ids)))
        return effects

    def _use_messages(self) -> list[Effect]:
        reports = self.limits.use_reports(
            self.held_upstreams(), self.allocator.granted_requests()
        )
        return [
            Send(peer, report)
            for peer, report in sorted(reports.items())
            if peer in self._live_peers
        ]

    # Demand

    def _demand_messages(self, now_s: float) -> list[Effect]:
        if now_s >= self._next_demand_s:
            self._next_demand_s = now_s + self._settings.demand_every_s
            updates = self.announcer.full_updates(now_s)
        else:
            updates = self.announcer.delta_updates(now_s)
        return [Send(peer, update) for peer, update in updates]

    def _advertise(self, now_s: float) -> list[Effect]:
        """Request demand from peers for pools with free slots and no known demand."""
        if not self.slot_advertiser.is_due(self._live_peers, now_s):
            return []
        workspaces_with_demand = self.allocator.demand.workspaces
        free = {
            pool: count
            for pool, count in self.allocator.free_slots(self.share_of).items()
            if not workspaces_with_demand(pool)
        }
        messages = self.slot_advertiser.messages(free, self._live_peers, now_s)
        return [Send(peer, message) for peer, message in messages]
