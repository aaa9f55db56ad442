"""Components of a capacity node, and queries about its slots."""

from __future__ import annotations

import random
from dataclasses import dataclass, field

from carobstair.core.allocator import Allocator, AllocatorSettings
from carobstair.core.binding import Binder
from carobstair.core.demand_announcer import DemandAnnouncer
from carobstair.core.estimates import EstimateSettings, LimitTracker
from carobstair.core.exchange import ExchangeSettings, TotalsExchange
from carobstair.core.fairness import FairnessSettings, ServiceTotals, VirtualTime
from carobstair.core.grants import GrantTimings, HeldGrants
from carobstair.core.limits import LimiterSettings
from carobstair.core.own_shares import OwnShares
from carobstair.core.placement import Placement, PrefixIndex
from carobstair.core.queueing import GatewayQueue
from carobstair.core.shares import MemberId, ShareTable, SlotShare
from carobstair.core.slot_advertiser import FreeSlotAdvertiser
from carobstair.core.state import FleetState

__all__ = ["CapacityParts", "CapacitySettings"]

# By this time no message of a removed process can still be in flight.
RETIRE_AFTER_S = 60.0


@dataclass(frozen=True, slots=True)
class CapacitySettings:
    """Settings of a capacity node and its components."""

    timings: GrantTimings = field(default_factory=GrantTimings)
    fairness: FairnessSettings = field(default_factory=FairnessSettings)
    allocator: AllocatorSettings = field(default_factory=AllocatorSettings)
    limiter: LimiterSettings = field(default_factory=LimiterSettings)
    estimates: EstimateSettings = field(default_factory=EstimateSettings)
    demand_every_s: float = 1.0
    totals_every_s: float = 1.0


class CapacityParts:
    """State of a capacity node, without its event handlers.

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
        self.totals = ServiceTotals(*own, settings.fairness)
        self.virtual_time = VirtualTime(self.totals, settings.fairness)
        self.exchange = TotalsExchange(
            own[0],
            self.totals,
            self.virtual_time,
            ExchangeSettings(settings.totals_every_s, 4.0 * settings.totals_every_s),
            settings.fairness,
        )
        self.prefixes = PrefixIndex()
        self.shares = ShareTable(own, timings.lease_s + timings.margin_s)
        self.limits = LimitTracker(
            own, settings.estimates, settings.limiter, self.shares
        )
        self.allocator = Allocator(
            own,
            settings.allocator,
            timings,
            self.virtual_time,
            Placement(self.prefixes, generator),
        )
        self.own_shares = OwnShares(own, self.shares, self.limits)
        self.allocator.rank_of = self.own_shares.rank_of
        self.queue = GatewayQueue()
        self.held = HeldGrants(timings)
        self.binder = Binder(self.queue, self.held, self.totals, self.virtual_time)
        self.announcer = DemandAnnouncer(
            own, self.queue, self.shares, self.virtual_time
        )
        self.slot_advertiser = FreeSlotAdvertiser(self.totals, self.exchange, generator)
        self.bad_hint_count = 0
        self._live_peers: frozenset[str] = frozenset()
        self._leaving: frozenset[str] = frozenset()
        self._now_s = 0.0

    @property
    def live_peers(self) -> frozenset[str]:
        """The other routers that are considered alive."""
        return self._live_peers

    @live_peers.setter
    def live_peers(self, instances: frozenset[str]) -> None:
        if instances == self._live_peers:
            return
        self._live_peers = frozenset(instances)
        self.exchange.set_live_peers(self._live_peers)
        self.limits.set_live(self._live_peers)
        self.announcer.set_live(self._live_peers)

    def estimated_upstreams(self) -> list[str]:
        """Return the upstreams whose load reports this node has to poll."""
        return self.limits.estimated()

    def held_upstreams(self) -> list[str]:
        """Return the upstreams on which this node holds shares."""
        self._refresh_if_stale()
        return list(self.own_shares.upstream_names)

    def limit_of(self, name: str) -> int:
        """Return this node's current estimate of an upstream's request limit."""
        return self.limits.limits(name, self._now_s)[0]

    def share_of(self, upstream: str) -> SlotShare:
        """Return this node's current share of an upstream."""
        self._refresh_if_stale()
        return self.own_shares.share_of(upstream, self._now_s)

    def in_use(self) -> dict[str, SlotShare]:
        """Return the capacity used by this node's grants, by upstream."""
        return {name: self.allocator.in_use(name) for name in self.state.upstreams}

    def fits_newest_epoch(self) -> bool:
        """Return whether the grants in use fit the shares of the newest epoch."""
        return self.own_shares.fit_newest_epoch(
            self.allocator.granted_requests(), self._now_s
        )

    def _refresh_if_stale(self) -> None:
        if self.own_shares.is_stale:
            self._refresh_shares()

    def _refresh_shares(self) -> None:
        self.own_shares.refresh(self.state)
        members = self.shares.epoch.members
        self.allocator.zones = {m.instance: m.zone for m in members}
        self._leaving = self.limits.leaving(self._now_s)
        self.allocator.set_state(
            self.state, self.own_shares.upstream_names, self._leaving
        )

    def _accepts_work(self, pool: str) -> bool:
        return any(map(self.state.accepts_work, self.state.pool_upstreams(pool)))

    def _update_leaving(self, now_s: float) -> None:
        if self.limits.leaving(now_s) != self._leaving:
            self._refresh_shares()

    def _clean_up(self, now_s: float) -> None:
        """Drop reservations of silent processes and retire those that have left."""
        grant_expiry_s = (
            self._settings.timings.lease_s + self._settings.timings.margin_s
        )
        members = {m.instance for m in self.shares.epoch.members}
        for name, last_heard_s in list(self.totals.sources().items()):
            if now_s - last_heard_s > grant_expiry_s:
                self.totals.drop_reservations(name)
            gone = isinstance(name, str) and name not in members
            if gone and now_s - last_heard_s > RETIRE_AFTER_S:
                self.totals.retire(name)
                self.announcer.remove_allocator(name)
        for pool in self.allocator.demand.pools():
            self.virtual_time.cap_catch_up(pool, now_s)
