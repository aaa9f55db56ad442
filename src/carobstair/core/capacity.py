"""Capacity node: the queue, shares, grants, limits and totals of one router.

All methods take the monotonic time in seconds and return effects. The net driver
and the scenario runner carry these out, each in its own way.
"""

from __future__ import annotations

import random
from collections import OrderedDict
from dataclasses import dataclass, field
from functools import singledispatchmethod

import msgspec

from carobstair.core.allocator import Allocator, AllocatorSettings
from carobstair.core.effects import Effect, Granted, RefuseWaiting, Send
from carobstair.core.fairness import FairnessSettings, ServiceTotals, VirtualTime
from carobstair.core.grants import GrantTimings, HeldGrant, HeldGrants
from carobstair.core.limits import LimiterSettings, LoadReport, UpstreamLimiter
from carobstair.core.messages import (
    DemandUpdate,
    GrantRenewal,
    GrantRenewed,
    GrantReturn,
    LimitAnnouncement,
    Offer,
    TotalsUpdate,
)
from carobstair.core.placement import Placement, PrefixIndex
from carobstair.core.queueing import GatewayQueue, WaitingRequest
from carobstair.core.refusals import refuse
from carobstair.core.shares import MemberId, ShareTable, SlotShare
from carobstair.core.state import FleetState

__all__ = ["CapacityNode", "CapacitySettings"]

REMEMBERED_DEMANDS = 2000


@dataclass(frozen=True, slots=True)
class CapacitySettings:
    """Settings of a capacity node, with those of its parts.

    Attributes
    ----------
    limit_valid_s : float
        How long a limit that the estimator announced holds.
    quick_fraction : float
        Part of each upstream's slots that long requests leave free.
    """

    timings: GrantTimings = field(default_factory=GrantTimings)
    fairness: FairnessSettings = field(default_factory=FairnessSettings)
    allocator: AllocatorSettings = field(default_factory=AllocatorSettings)
    limiter: LimiterSettings = field(default_factory=LimiterSettings)
    limit_valid_s: float = 3.0
    demand_every_s: float = 1.0
    totals_every_s: float = 1.0
    quick_fraction: float = 0.1


class CapacityNode:
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
        self._own = own
        self._settings = settings
        timings = settings.timings
        self.state = FleetState()
        self.live_peers: frozenset[str] = frozenset()
        self.totals = ServiceTotals(*own, settings.fairness)
        self.virtual_time = VirtualTime(self.totals, settings.fairness)
        self.prefixes = PrefixIndex()
        self.shares = ShareTable(own, timings.lease_s + timings.margin_s)
        self.allocator = Allocator(
            own[0],
            settings.allocator,
            timings,
            self.virtual_time,
            Placement(self.prefixes, generator),
        )
        self.queue = GatewayQueue()
        self.held = HeldGrants(timings)
        self._limiters: dict[str, UpstreamLimiter] = {}
        self._announced: dict[str, tuple[LimitAnnouncement, float]] = {}
        self._demand_sequence = 0
        self._demand_sent: OrderedDict[int, float] = OrderedDict()
        self._last_offer: dict[str, int] = {}
        self._limit_sequence = 0
        self._demand_due = True
        self._next_demand_s = 0.0
        self._next_renewal_s = 0.0
        self._next_totals_s = 0.0
        self._now_s = 0.0

    # Events from the own gateway

    def set_state(self, state: FleetState, now_s: float) -> list[Effect]:
        """Take over the fleet state in force."""
        before, self.state = self.state, state
        self.allocator.set_state(state)
        weights = {name: ws.weight for name, ws in state.workspaces.items()}
        self.virtual_time.set_weights(weights)
        for name in set(self._limiters) - set(state.upstreams):
            del self._limiters[name]
        for name, upstream in state.upstreams.items():
            limiter = self._limiters.get(name)
            if limiter is None:
                limiter = UpstreamLimiter(upstream, self._settings.limiter, now_s)
                self._limiters[name] = limiter
            limiter.set_upstream(upstream, now_s)
            former = before.upstreams.get(name)
            if former is not None and not before.accepts_work(former):
                limiter.turn_cold(now_s)
        return self._allocate(now_s)

    def enqueue(
        self, request: WaitingRequest, now_s: float, at_front: bool = False
    ) -> list[Effect]:
        """Take in a request that waits for a grant.

        Raises
        ------
        Refusal
            ``queue-full`` if the workspace has reached a bound.
        """
        workspace = self.state.workspaces[request.workspace]
        already = self.queue.waiting(request.pool, request.workspace)
        self.queue.push(
            request,
            workspace.max_waiting_requests,
            workspace.max_waiting_bytes,
            at_front,
        )
        if not already:
            self.virtual_time.on_backlogged(request.pool, request.workspace, now_s)
        self._demand_due = True
        return self._allocate(now_s)

    def withdraw(self, request: WaitingRequest) -> None:
        """Take out a request whose caller has left."""
        if self.queue.remove(request):
            self._demand_due = True

    def release(self, grant: HeldGrant, now_s: float) -> list[Effect]:
        """Give back a grant's slot."""
        if not self.held.remove(grant):
            return []
        return self._give_back(grant.allocator, grant.offer.grant_id, now_s)

    def note_token_interval(self, upstream: str, interval_ms: float) -> None:
        """Take in the time between two tokens."""
        limiter = self._limiters.get(upstream)
        if limiter is not None:
            limiter.on_token_interval(interval_ms)

    def on_load_report(
        self, name: str, report: LoadReport, now_s: float
    ) -> list[Effect]:
        """Take in a load report, and announce the limit that follows from it."""
        limiter, upstream = self._limiters.get(name), self.state.upstreams.get(name)
        if limiter is None or upstream is None:
            return []
        limiter.on_report(report, now_s)
        self._limit_sequence += 1
        message = LimitAnnouncement(
            name,
            report.incarnation,
            self._limit_sequence,
            limiter.limit,
            upstream.max_kv_tokens,
            report.running,
            self._settings.limit_valid_s,
        )
        return [Send(peer, message) for peer in sorted(self.live_peers)]

    # Time

    def tick(self, now_s: float) -> list[Effect]:
        """Do what is due; to be called about every 50 ms."""
        self._now_s = now_s
        self.shares.settle(now_s)
        self.allocator.expire(now_s)
        effects: list[Effect] = []
        for request in self.queue.expired(now_s):
            self.withdraw(request)
            refusal = refuse("deadline-exceeded")
            effects.append(RefuseWaiting(request.request_id, refusal))
        for limiter in self._limiters.values():
            limiter.tick(now_s)
        effects += self._allocate(now_s)
        if now_s >= self._next_renewal_s:
            self._next_renewal_s = now_s + self._settings.timings.renew_every_s
            effects += self._renew(now_s)
        if now_s >= self._next_totals_s:
            self._next_totals_s = now_s + self._settings.totals_every_s
            effects += self._totals_messages(now_s)
        if now_s >= self._next_demand_s:
            self._demand_due = True
        return effects + self.flush_demand(now_s)

    def flush_demand(self, now_s: float) -> list[Effect]:
        """Tell the allocators what waits here if that has changed or is due."""
        if not self._demand_due:
            return []
        self._demand_due = False
        self._next_demand_s = now_s + self._settings.demand_every_s
        self._demand_sequence += 1
        self._demand_sent[self._demand_sequence] = now_s
        while len(self._demand_sent) > REMEMBERED_DEMANDS:
            self._demand_sent.popitem(last=False)
        entries = self.queue.demand()
        return [
            Send(peer, self._demand_update(peer, entries))
            for peer in sorted(self.live_peers)
        ]

    @property
    def demand_due(self) -> bool:
        """Whether `flush_demand` has something to tell."""
        return self._demand_due

    def estimated_upstreams(self) -> list[str]:
        """Return the upstreams whose load reports this node has to read."""
        return [name for name in self.state.upstreams if self._is_estimator(name)]

    def limit_of(self, name: str) -> int:
        """Return the request limit that this node assumes for an upstream."""
        return self._limits(name)[0]

    def share_of(self, upstream: str) -> SlotShare:
        """Return the slots of this node on an upstream now."""
        limits = self._limits(upstream)
        return self.shares.share(upstream, *limits, self._settings.quick_fraction)

    def fits_newest_epoch(self) -> bool:
        """Return whether the grants in use fit the shares of the newest epoch."""
        for name in self.state.upstreams:
            limits = self._limits(name)
            share = self.shares.target_share(
                name, *limits, self._settings.quick_fraction
            )
            if self.allocator.in_use(name).request_slots > share.request_slots:
                return False
        return True

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
        self.allocator.update_demand(sender, update, now_s)
        return self._allocate(now_s)

    @_handle.register
    def _(self, offer: Offer, sender: str, now_s: float) -> list[Effect]:
        asked_s = self._demand_sent.get(offer.demand_sequence)
        self._note_offer(sender, offer)
        self._demand_due = True
        too_old_s = self._settings.timings.lease_s / 2
        if asked_s is None or now_s > asked_s + too_old_s:
            return self._give_back(sender, offer.grant_id, now_s)
        return self._bind(sender, offer, asked_s, now_s)

    @_handle.register
    def _(self, message: GrantReturn, sender: str, now_s: float) -> list[Effect]:
        self.allocator.release(sender, message.grant_ids)
        return self._allocate(now_s)

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
        self.totals.merge(message.totals, now_s)
        self.virtual_time.merge_lifts(message.lifts)
        return []

    @_handle.register
    def _(self, message: LimitAnnouncement, sender: str, now_s: float) -> list[Effect]:
        known = self._announced.get(message.upstream)
        if known is None or known[1] < now_s or known[0].sequence < message.sequence:
            self._announced[message.upstream] = (message, now_s + message.valid_s)
        return []

    # Decisions

    def _allocate(self, now_s: float) -> list[Effect]:
        self._now_s = now_s
        own = self._own[0]
        self._demand_sequence += 1
        update = self._demand_update(own, self.queue.demand())
        self.allocator.update_demand(own, update, now_s)
        self.totals.set_backlogged(self.queue.backlogged())
        effects: list[Effect] = []
        for grant in self.allocator.allocate(self.share_of, now_s):
            if grant.gateway == own:
                self._note_offer(own, grant.offer)
                effects += self._bind(own, grant.offer, now_s, now_s)
            else:
                effects.append(Send(grant.gateway, grant.offer))
        return effects

    def _demand_update(self, allocator: str, entries: list) -> DemandUpdate:
        last_offer = self._last_offer.get(allocator, 0)
        return DemandUpdate(self._demand_sequence, last_offer, entries)

    def _note_offer(self, allocator: str, offer: Offer) -> None:
        known = self._last_offer.get(allocator, 0)
        self._last_offer[allocator] = max(known, offer.grant_id)

    def _bind(
        self, allocator: str, offer: Offer, asked_s: float, now_s: float
    ) -> list[Effect]:
        """Give an offer to the best waiting request of its workspace."""
        request = self.queue.pop(
            offer.pool, offer.workspace, offer.work_class, offer.upstream
        )
        if request is None:
            return self._give_back(allocator, offer.grant_id, now_s)
        self._demand_due = True
        return [Granted(request.request_id, self.held.add(allocator, offer, asked_s))]

    def _give_back(self, allocator: str, grant_id: int, now_s: float) -> list[Effect]:
        if allocator != self._own[0]:
            return [Send(allocator, GrantReturn([grant_id]))]
        self.allocator.release(allocator, [grant_id])
        return self._allocate(now_s)

    def _renew(self, now_s: float) -> list[Effect]:
        effects: list[Effect] = []
        for allocator, (number, grant_ids) in self.held.renewals(now_s).items():
            if allocator == self._own[0]:
                renewed = self.allocator.renew(allocator, grant_ids, now_s)
                self.held.renewed(allocator, number, renewed)
            else:
                effects.append(Send(allocator, GrantRenewal(number, grant_ids)))
        return effects

    def _totals_messages(self, now_s: float) -> list[Effect]:
        entries = self.totals.entries(now_s, own_only=True)
        message = TotalsUpdate(entries, self.virtual_time.lifts())
        return [Send(peer, message) for peer in sorted(self.live_peers)]

    def _limits(self, name: str) -> tuple[int, int]:
        upstream = self.state.upstreams[name]
        if self._is_estimator(name):
            return self._limiters[name].limit, upstream.max_kv_tokens
        found = self._announced.get(name)
        if found is None or found[1] < self._now_s:
            return upstream.cold_limit, upstream.max_kv_tokens
        return found[0].max_requests, found[0].max_kv_tokens

    def _is_estimator(self, upstream: str) -> bool:
        for instance, _ in self.shares.epoch.holders(upstream):
            if instance == self._own[0]:
                return True
            if instance in self.live_peers:
                return False
        return False
