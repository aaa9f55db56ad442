"""Capacity node: the queue, shares, grants, limits and totals of one router.

All methods take the monotonic time in seconds and return effects. The net driver
and the scenario runner carry these out, each in its own way.
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
from carobstair.core.queueing import WaitingRequest, with_sane_numbers
from carobstair.core.refusals import refuse
from carobstair.core.shares import MemberId
from carobstair.core.state import FleetState

__all__ = ["CapacityNode", "CapacitySettings"]

UPKEEP_EVERY_S = 1.0
SWEEP_EVERY_S = 0.2


class CapacityNode(CapacityParts):
    """Decides about the capacity that one router asks for and hands out.

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
        self._next_upkeep_s = 0.0
        self._next_sweep_s = 0.0

    # Events from the own gateway

    def set_state(self, state: FleetState, now_s: float) -> list[Effect]:
        """Take over the fleet state in force."""
        self._now_s = now_s
        self.state = state
        self.limits.set_state(state, now_s)
        weights = {name: ws.weight for name, ws in state.workspaces.items()}
        self.virtual_time.set_weights(weights)
        self.announcer.set_state(state)
        self.prefixes.keep_only(state.upstreams)
        self._refresh_held()
        return self._refuse_unservable() + self._allocate_all(now_s)

    def enqueue(
        self, request: WaitingRequest, now_s: float, at_front: bool = False
    ) -> list[Effect]:
        """Take in a request that waits for a grant.

        Raises
        ------
        Refusal
            ``queue-full`` if the workspace has reached a bound, ``no-capacity`` if
            no upstream of the pool takes work.
        """
        self._now_s = now_s
        if not self._takes_work(request.pool):
            raise refuse("no-capacity")
        sane = with_sane_numbers(request)
        self.bad_hint_count += sane is not request
        workspace = self.state.workspaces[request.workspace]
        already = self.queue.waiting(request.pool, request.workspace)
        self.queue.push(
            sane,
            workspace.max_waiting_requests,
            workspace.max_waiting_bytes,
            at_front,
        )
        if not already:
            self.virtual_time.on_backlogged(request.pool, request.workspace, now_s)
        self._note_queue(request)
        return self._allocate({request.pool}, now_s)

    def withdraw(self, request: WaitingRequest) -> None:
        """Take out a request whose caller has left."""
        if self.queue.remove(request):
            self._note_queue(request)

    def charge(self, grant: HeldGrant, tokens: float) -> None:
        """Add service, in weighted tokens, that a grant's request got."""
        self.binder.charge(grant, tokens)

    def release(self, grant: HeldGrant, now_s: float) -> list[Effect]:
        """Give back a grant's slot."""
        if not self.binder.finish(grant):
            return []
        return self._give_back(grant.allocator, grant.offer.grant_id, now_s)

    def note_token_interval(self, upstream: str, interval_ms: float) -> None:
        """Take in the time between two tokens."""
        self.limits.note_token_interval(upstream, interval_ms)

    def note_service_call(self, upstream: str, duration_s: float) -> None:
        """Take in how long a call of a plain service took."""
        self.limits.note_token_interval(upstream, duration_s * 1000.0)

    def note_failure(self, upstream: str, now_s: float) -> None:
        """Take in that an upstream refused or closed a connection."""
        self.limits.note_failure(upstream, now_s)

    def on_load_report(
        self, name: str, report: LoadReport, now_s: float
    ) -> list[Effect]:
        """Take in a load report, and announce the limit that follows from it."""
        own_use = self.allocator.in_use(name).request_slots
        message = self.limits.on_report(name, report, own_use, now_s)
        if message is None:
            return []
        self._close_leaving(now_s)
        holders = {instance for instance, _ in self.shares.all_holders(name)}
        return [Send(peer, message) for peer in sorted(holders & self._live_peers)]

    def on_cache_events(
        self, upstream: str, incarnation: str, events: Sequence[CacheEvent]
    ) -> None:
        """Take in what an engine says of its prefix cache."""
        if upstream in self.state.upstreams:
            self.prefixes.on_events(upstream, incarnation, events)

    # Time

    def tick(self, now_s: float) -> list[Effect]:
        """Do what is due; to be called about every 50 ms."""
        self._now_s = now_s
        self.shares.settle(now_s)
        lapsed = self.allocator.expire(now_s)
        effects = self._allocate({g.offer.pool for g in lapsed}, now_s)
        for request in self.queue.expired(now_s):
            self.withdraw(request)
            refusal = refuse("deadline-exceeded")
            effects.append(RefuseWaiting(request.request_id, refusal))
        if now_s >= self._next_upkeep_s:
            self._next_upkeep_s = now_s + UPKEEP_EVERY_S
            self._keep_up(now_s)
        if now_s >= self._next_sweep_s:
            # Events allocate by themselves; this is for limits that rise, shares
            # that open and demand that was not refreshed.
            self._next_sweep_s = now_s + SWEEP_EVERY_S
            self.limits.tick(now_s)
            effects += self._allocate_all(now_s)
        if now_s >= self._next_renewal_s:
            self._next_renewal_s = now_s + self._settings.timings.renew_every_s
            effects += self._renew(now_s)
        if now_s >= self._next_use_s:
            self._next_use_s = now_s + self._settings.estimates.use_every_s
            effects += self._use_messages()
        updates = self.exchange.due_updates(now_s, self.announcer.last_offers)
        effects += [Send(peer, update) for peer, update in updates]
        effects += self._advertise(now_s)
        return effects + self._demand_messages(now_s)

    def flush_demand(self, now_s: float) -> list[Effect]:
        """Tell the allocators what waits here if that has changed."""
        self._now_s = now_s
        return self._demand_messages(now_s)

    @property
    def demand_due(self) -> bool:
        """Whether `flush_demand` has something to tell."""
        return self.announcer.has_news

    # Messages

    def on_message(
        self, sender: str, payload: msgspec.Struct, now_s: float
    ) -> list[Effect]:
        """Take in a peer's message; one of another kind has no effect."""
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
        asked_s = self.announcer.sent_s(offer.demand_sequence)
        self.announcer.note_offer(sender, offer.grant_id)
        too_old_s = self._settings.timings.lease_s / 2
        if asked_s is None or now_s > asked_s + too_old_s:
            return self._give_back(sender, offer.grant_id, now_s, unused=True)
        return self._bind(sender, offer, asked_s, now_s)

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
            self._close_leaving(now_s)
        return []

    @_handle.register
    def _(self, message: UpstreamUseReport, sender: str, now_s: float) -> list[Effect]:
        self.limits.on_use_report(sender, message, now_s)
        return []

    @_handle.register
    def _(self, message: FreeSlots, sender: str, now_s: float) -> list[Effect]:
        if not self.announcer.pull(sender, message.pools, now_s):
            return []
        return [Send(sender, self.announcer.full_update(sender, now_s))]

    # Decisions

    def _allocate_all(self, now_s: float) -> list[Effect]:
        return self._allocate(self.allocator.demand.pools(), now_s)

    def _allocate(self, pools: Iterable[str], now_s: float) -> list[Effect]:
        self._now_s = now_s
        self._check_shares()
        effects: list[Effect] = []
        for grant in self.allocator.allocate(pools, self.share_of, now_s):
            if grant.gateway == self._own[0]:
                effects += self._bind(grant.gateway, grant.offer, now_s, now_s)
            else:
                effects.append(Send(grant.gateway, grant.offer))
        return effects

    def _refuse_unservable(self) -> list[Effect]:
        """Give up at once on requests whose pool has no upstream in service."""
        effects: list[Effect] = []
        for pool in sorted({pool for pool, _ in self.queue.backlogged()}):
            if not self._takes_work(pool):
                waiting = [r for r in self.queue if r.pool == pool]
                for request in waiting:
                    self.withdraw(request)
                    refusal = refuse("no-capacity")
                    effects.append(RefuseWaiting(request.request_id, refusal))
        return effects

    def _note_queue(self, request: WaitingRequest) -> None:
        key = (request.pool, request.workspace, request.work_class)
        waits = self.queue.waiting(request.pool, request.workspace) > 0
        self.totals.set_waiting(key[:2], waits, self._now_s)
        entry = self.queue.entry(*key)
        self.allocator.demand.set_entry(self._own[0], entry, self._now_s)
        self.announcer.note_change(key)

    def _bind(
        self, allocator: str, offer: Offer, asked_s: float, now_s: float
    ) -> list[Effect]:
        """Give an offer to the best waiting request of its workspace."""
        if allocator == self._own[0]:
            self.allocator.pending.settle(offer.grant_id)
        bound = self.binder.bind(allocator, offer, asked_s)
        if bound is None:
            return self._give_back(allocator, offer.grant_id, now_s, unused=True)
        request, grant = bound
        self._note_queue(request)
        return [Granted(request.request_id, grant)]

    def _give_back(
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
        reports = self.limits.use_reports(self.held_upstreams(), self.allocator.uses())
        return [
            Send(peer, report)
            for peer, report in sorted(reports.items())
            if peer in self._live_peers
        ]

    # Demand

    def _demand_messages(self, now_s: float) -> list[Effect]:
        if now_s >= self._next_demand_s:
            self._next_demand_s = now_s + self._settings.demand_every_s
            updates = self.announcer.refresh(now_s)
        else:
            updates = self.announcer.news(now_s)
        return [Send(peer, update) for peer, update in updates]

    def _advertise(self, now_s: float) -> list[Effect]:
        """Ask for demand where slots are free and work waits elsewhere."""
        if not self.adverts.is_due(self._live_peers, now_s):
            return []
        wanted = self.allocator.demand.workspaces
        free = {
            pool: count
            for pool, count in self.allocator.free_slots(self.share_of).items()
            if not wanted(pool)
        }
        messages = self.adverts.messages(free, self._live_peers, now_s)
        return [Send(peer, message) for peer, message in messages]
