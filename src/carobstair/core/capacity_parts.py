"""Parts of a capacity node, and what they tell about its slots."""

from __future__ import annotations

import random
from dataclasses import dataclass, field

from carobstair.core.adverts import SlotAdverts
from carobstair.core.allocator import Allocator, AllocatorSettings
from carobstair.core.announcing import DemandAnnouncer
from carobstair.core.binding import Binder
from carobstair.core.estimates import EstimateSettings, LimitBook
from carobstair.core.exchange import ExchangeSettings, TotalsExchange
from carobstair.core.fairness import FairnessSettings, ServiceTotals, VirtualTime
from carobstair.core.grants import GrantTimings, HeldGrants
from carobstair.core.holdings import Holdings
from carobstair.core.limits import LimiterSettings
from carobstair.core.placement import Placement, PrefixIndex
from carobstair.core.queueing import GatewayQueue
from carobstair.core.shares import MemberId, ShareTable, SlotShare
from carobstair.core.state import FleetState

__all__ = ["CapacityParts", "CapacitySettings"]

# Long after the last message of a removed process no copy of one can be on its way.
RETIRE_AFTER_S = 60.0


@dataclass(frozen=True, slots=True)
class CapacitySettings:
    """Settings of a capacity node, with those of its parts."""

    timings: GrantTimings = field(default_factory=GrantTimings)
    fairness: FairnessSettings = field(default_factory=FairnessSettings)
    allocator: AllocatorSettings = field(default_factory=AllocatorSettings)
    limiter: LimiterSettings = field(default_factory=LimiterSettings)
    estimates: EstimateSettings = field(default_factory=EstimateSettings)
    demand_every_s: float = 1.0
    totals_every_s: float = 1.0


class CapacityParts:
    """What a capacity node consists of, without the events that drive it.

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
        self.limits = LimitBook(own, settings.estimates, settings.limiter, self.shares)
        self.allocator = Allocator(
            own,
            settings.allocator,
            timings,
            self.virtual_time,
            Placement(self.prefixes, generator),
        )
        self.holdings = Holdings(own, self.shares, self.limits)
        self.allocator.rank_of = self.holdings.rank_of
        self.queue = GatewayQueue()
        self.held = HeldGrants(timings)
        self.binder = Binder(self.queue, self.held, self.totals, self.virtual_time)
        self.announcer = DemandAnnouncer(
            own, self.queue, self.shares, self.virtual_time
        )
        self.adverts = SlotAdverts(self.totals, self.exchange, generator)
        self.bad_hint_count = 0
        self._live_peers: frozenset[str] = frozenset()
        self._leaving: frozenset[str] = frozenset()
        self._now_s = 0.0

    @property
    def live_peers(self) -> frozenset[str]:
        """The other routers that are believed to be alive."""
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
        """Return the upstreams whose load reports this node has to read."""
        return self.limits.estimated()

    def held_upstreams(self) -> list[str]:
        """Return the upstreams of which this node holds shares."""
        self._check_shares()
        return list(self.holdings.held)

    def limit_of(self, name: str) -> int:
        """Return the request limit that this node assumes for an upstream."""
        return self.limits.limits(name, self._now_s)[0]

    def share_of(self, upstream: str) -> SlotShare:
        """Return the slots of this node on an upstream now."""
        self._check_shares()
        return self.holdings.share_of(upstream, self._now_s)

    def in_use(self) -> dict[str, SlotShare]:
        """Return what the own grants take on each upstream."""
        return {name: self.allocator.in_use(name) for name in self.state.upstreams}

    def fits_newest_epoch(self) -> bool:
        """Return whether the grants in use fit the shares of the newest epoch."""
        return self.holdings.fit_newest_epoch(self.allocator.uses(), self._now_s)

    def _check_shares(self) -> None:
        if self.holdings.is_stale:
            self._refresh_held()

    def _refresh_held(self) -> None:
        self.holdings.refresh(self.state)
        members = self.shares.epoch.members
        self.allocator.zones = {m.instance: m.zone for m in members}
        self._leaving = self.limits.leaving(self._now_s)
        self.allocator.set_state(self.state, self.holdings.held, self._leaving)

    def _takes_work(self, pool: str) -> bool:
        return any(map(self.state.accepts_work, self.state.pool_upstreams(pool)))

    def _close_leaving(self, now_s: float) -> None:
        if self.limits.leaving(now_s) != self._leaving:
            self._refresh_held()

    def _keep_up(self, now_s: float) -> None:
        """Forget what processes that are silent or gone had in use."""
        lapse_s = self._settings.timings.lease_s + self._settings.timings.margin_s
        members = {m.instance for m in self.shares.epoch.members}
        for name, heard_s in list(self.totals.sources().items()):
            if now_s - heard_s > lapse_s:
                self.totals.drop_reservations(name)
            gone = isinstance(name, str) and name not in members
            if gone and now_s - heard_s > RETIRE_AFTER_S:
                self.totals.retire(name)
                self.announcer.forget_allocator(name)
        for pool in self.allocator.demand.pools():
            self.virtual_time.cap_catch_up(pool, now_s)
