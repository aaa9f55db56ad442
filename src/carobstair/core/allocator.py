"""Grants the own shares of upstream capacity to the demand of gateways."""

from __future__ import annotations

import math
from collections.abc import Callable, Iterable, Mapping
from dataclasses import dataclass, field

from carobstair.core.fairness import VirtualTime
from carobstair.core.grants import GrantTimings
from carobstair.core.messages import DemandEntry, DemandUpdate, Offer
from carobstair.core.placement import Candidate, Placement
from carobstair.core.queueing import WorkClass
from carobstair.core.shares import SlotShare
from carobstair.core.state import FleetState

__all__ = ["Allocator", "AllocatorSettings", "Grant"]

# A quick request counts this much less than a long one within its workspace.
CLASS_WEIGHTS: Mapping[str, float] = {WorkClass.QUICK: 8.0, WorkClass.LONG: 1.0}


@dataclass(frozen=True, slots=True)
class AllocatorSettings:
    """Settings of an allocator.

    Attributes
    ----------
    demand_validity_s : float
        How long a gateway's demand holds without being refreshed.
    pending_s : float
        How long the cost of a grant to another gateway counts on top of the
        service totals, which tell of it later.
    """

    demand_validity_s: float = 3.0
    pending_s: float = 2.0


@dataclass(slots=True)
class Grant:
    """A slot in use; it lapses when the gateway does not renew it."""

    gateway: str
    offer: Offer
    lapses_s: float


@dataclass(slots=True)
class _Demand:
    entry: DemandEntry
    open: int


@dataclass(slots=True)
class _GatewayDemand:
    sequence: int = -1
    expires_s: float = -math.inf
    entries: dict[tuple[str, str, str], _Demand] = field(default_factory=dict)


@dataclass(slots=True)
class _Use:
    requests: int = 0
    long_requests: int = 0
    kv_tokens: int = 0


_ShareOf = Callable[[str], SlotShare]


class Allocator:
    """Decides which waiting work gets the free slots that this process holds.

    Parameters
    ----------
    instance : str
        The own instance; its gateway is served in process.
    settings : AllocatorSettings
    timings : GrantTimings
    virtual_time : VirtualTime
    placement : Placement
    """

    def __init__(
        self,
        instance: str,
        settings: AllocatorSettings,
        timings: GrantTimings,
        virtual_time: VirtualTime,
        placement: Placement,
    ):
        self._instance = instance
        self._settings = settings
        self._timings = timings
        self._virtual_time = virtual_time
        self._placement = placement
        self._state = FleetState()
        self._demands: dict[str, _GatewayDemand] = {}
        self._grants: dict[int, Grant] = {}
        self._use: dict[str, _Use] = {}
        self._unexplained: dict[str, int] = {}
        self._pending: list[tuple[float, str, str, float]] = []
        self._class_time: dict[tuple[str, str, str], float] = {}
        self._last_grant = 0
        self.lapsed_count = 0

    @property
    def grants(self) -> Mapping[int, Grant]:
        """The grants in use, by id."""
        return self._grants

    def set_state(self, state: FleetState) -> None:
        """Take over the fleet state in force."""
        self._state = state

    def set_unexplained(self, upstream: str, requests: int) -> None:
        """Count requests that the upstream runs and no grant explains as in use."""
        self._unexplained[upstream] = max(0, requests)

    def in_use(self, upstream: str) -> SlotShare:
        """Return what the grants on an upstream take."""
        use = self._use.get(upstream, _Use())
        return SlotShare(use.requests, use.kv_tokens)

    def update_demand(self, gateway: str, update: DemandUpdate, now_s: float) -> None:
        """Replace a gateway's demand by a newer one."""
        held = self._demands.setdefault(gateway, _GatewayDemand())
        if update.sequence <= held.sequence and now_s < held.expires_s:
            return
        on_the_way = self._offers_after(gateway, update.last_offer)
        held.sequence = update.sequence
        held.expires_s = now_s + self._settings.demand_validity_s
        held.entries = {}
        for entry in update.entries:
            key = (entry.pool, entry.workspace, entry.work_class)
            waiting = entry.waiting - on_the_way.get(key, 0)
            if waiting > 0 and entry.work_class in CLASS_WEIGHTS:
                held.entries[key] = _Demand(entry, waiting)

    def forget_gateway(self, gateway: str) -> None:
        """Drop the demand of a gateway that is gone; its grants lapse."""
        self._demands.pop(gateway, None)

    def allocate(self, share_of: _ShareOf, now_s: float) -> list[Grant]:
        """Grant free slots until none is left or no demand can use one.

        Parameters
        ----------
        share_of : callable
            Returns the share of an upstream by its name.
        now_s : float
            Monotonic time in seconds.

        Returns
        -------
        list of Grant
            New grants, to be offered to their gateways.
        """
        self._pending = [p for p in self._pending if p[0] > now_s]
        granted = []
        for pool in sorted(self._demanded_pools(now_s)):
            self._virtual_time.cap_catch_up(pool, now_s)
            while (grant := self._grant_one(pool, share_of, now_s)) is not None:
                granted.append(grant)
        return granted

    def free_slots(self, share_of: _ShareOf) -> dict[str, int]:
        """Return the free request slots per pool."""
        free: dict[str, int] = {}
        for upstream in self._state.upstreams.values():
            if self._state.accepts_work(upstream):
                left = self._left(upstream.name, share_of).request_slots
                if left > 0:
                    free[upstream.pool] = free.get(upstream.pool, 0) + left
        return free

    def renew(self, gateway: str, grant_ids: Iterable[int], now_s: float) -> list[int]:
        """Extend leases and return the ids whose lease was extended."""
        renewed = []
        for grant_id in grant_ids:
            grant = self._grants.get(grant_id)
            if grant is not None and grant.gateway == gateway:
                grant.lapses_s = now_s + self._lapse_s
                renewed.append(grant_id)
        return renewed

    def release(self, gateway: str, grant_ids: Iterable[int]) -> list[str]:
        """Free the slots of ended grants and return the upstreams concerned."""
        freed = []
        for grant_id in grant_ids:
            grant = self._grants.get(grant_id)
            if grant is not None and grant.gateway == gateway:
                self._drop(grant)
                freed.append(grant.offer.upstream)
        return freed

    def expire(self, now_s: float) -> list[Grant]:
        """Free the slots of grants that lapsed and return these."""
        lapsed = [g for g in self._grants.values() if g.lapses_s <= now_s]
        for grant in lapsed:
            self._drop(grant)
        self.lapsed_count += len(lapsed)
        return lapsed

    @property
    def _lapse_s(self) -> float:
        return self._timings.lease_s + self._timings.margin_s

    def _offers_after(self, gateway: str, last_offer: int) -> dict[tuple, int]:
        counts: dict[tuple, int] = {}
        for grant in self._grants.values():
            offer = grant.offer
            if grant.gateway == gateway and offer.grant_id > last_offer:
                key = (offer.pool, offer.workspace, offer.work_class)
                counts[key] = counts.get(key, 0) + 1
        return counts

    def _demanded_pools(self, now_s: float) -> set[str]:
        return {
            key[0]
            for held in self._demands.values()
            if held.expires_s > now_s
            for key, demand in held.entries.items()
            if demand.open > 0
        }

    def _grant_one(self, pool: str, share_of: _ShareOf, now_s: float) -> Grant | None:
        left = {
            u.name: self._left(u.name, share_of)
            for u in self._state.pool_upstreams(pool)
            if self._state.accepts_work(u)
        }
        left = {name: share for name, share in left.items() if share.request_slots > 0}
        if not left:
            return None
        for value, workspace in self._order(pool, now_s):
            grant = self._grant_to(pool, workspace, left, now_s)
            if grant is not None:
                self._virtual_time.note_served(pool, value)
                return grant
        return None

    def _order(self, pool: str, now_s: float) -> list[tuple[float, str]]:
        waiting = {
            key[1]
            for held in self._demands.values()
            if held.expires_s > now_s
            for key, demand in held.entries.items()
            if key[0] == pool and demand.open > 0
        }
        allowed = self._state.workspaces
        pending = self._pending_tokens(pool)
        return sorted(
            (self._virtual_time.value(pool, ws, pending.get(ws, 0.0)), ws)
            for ws in waiting
            if ws in allowed and pool in allowed[ws].pools
        )

    def _pending_tokens(self, pool: str) -> dict[str, float]:
        pending: dict[str, float] = {}
        for _, held_pool, workspace, tokens in self._pending:
            if held_pool == pool:
                pending[workspace] = pending.get(workspace, 0.0) + tokens
        return pending

    def _grant_to(
        self, pool: str, workspace: str, left: dict[str, SlotShare], now_s: float
    ) -> Grant | None:
        classes = sorted(
            CLASS_WEIGHTS, key=lambda c: self._class_time.get((pool, workspace, c), 0.0)
        )
        for work_class in classes:
            for gateway, demand in self._demands_of(pool, workspace, work_class, now_s):
                upstream = self._place(demand.entry, left)
                if upstream is not None:
                    return self._make_grant(gateway, demand, upstream, now_s)
        return None

    def _demands_of(
        self, pool: str, workspace: str, work_class: str, now_s: float
    ) -> list[tuple[str, _Demand]]:
        found = []
        for gateway, held in self._demands.items():
            demand = held.entries.get((pool, workspace, work_class))
            if demand is not None and demand.open > 0 and held.expires_s > now_s:
                found.append((gateway, demand))
        # The longest queue first keeps the waits at different gateways alike.
        return sorted(found, key=lambda pair: (-pair[1].open, pair[0]))

    def _place(self, entry: DemandEntry, left: dict[str, SlotShare]) -> str | None:
        candidates = [
            Candidate(name, share.request_slots, self.in_use(name).request_slots)
            for name, share in left.items()
            if name not in entry.excluded and self._fits(entry, name, share)
        ]
        return self._placement.choose(candidates, entry.prefix)

    def _fits(self, entry: DemandEntry, name: str, left: SlotShare) -> bool:
        idle = self.in_use(name).request_slots == 0
        # A request larger than the whole share could never run; alone on the
        # share it may, since the engine's own limit is higher.
        if entry.head_kv_tokens > left.kv_tokens and not idle:
            return False
        quick = entry.work_class == WorkClass.QUICK
        return quick or left.request_slots > left.quick_slots

    def _left(self, upstream: str, share_of: _ShareOf) -> SlotShare:
        share, use = share_of(upstream), self._use.get(upstream, _Use())
        quick_in_use = use.requests - use.long_requests
        return SlotShare(
            share.request_slots - use.requests - self._unexplained.get(upstream, 0),
            share.kv_tokens - use.kv_tokens,
            max(0, share.quick_slots - quick_in_use),
        )

    def _make_grant(
        self, gateway: str, demand: _Demand, upstream: str, now_s: float
    ) -> Grant:
        entry = demand.entry
        self._last_grant += 1
        offer = Offer(
            self._last_grant,
            self._demands[gateway].sequence,
            upstream,
            entry.pool,
            entry.workspace,
            entry.work_class,
            entry.head_kv_tokens,
            entry.head_cost_tokens,
            self._timings.lease_s,
        )
        grant = Grant(gateway, offer, now_s + self._lapse_s)
        demand.open -= 1
        self._grants[offer.grant_id] = grant
        self._count(offer, 1)
        self._charge_class(entry)
        if gateway != self._instance:
            until_s = now_s + self._settings.pending_s
            tokens = entry.head_cost_tokens
            self._pending.append((until_s, entry.pool, entry.workspace, tokens))
        return grant

    def _charge_class(self, entry: DemandEntry) -> None:
        key = (entry.pool, entry.workspace, entry.work_class)
        others = [
            self._class_time.get((entry.pool, entry.workspace, c), 0.0)
            for c in CLASS_WEIGHTS
        ]
        # A class that was idle starts where the workspace's slowest class stands.
        start = max(self._class_time.get(key, 0.0), min(others))
        cost = max(1.0, entry.head_cost_tokens)
        self._class_time[key] = start + cost / CLASS_WEIGHTS[entry.work_class]

    def _count(self, offer: Offer, sign: int) -> None:
        use = self._use.setdefault(offer.upstream, _Use())
        use.requests += sign
        use.kv_tokens += sign * offer.kv_tokens
        if offer.work_class == WorkClass.LONG:
            use.long_requests += sign

    def _drop(self, grant: Grant) -> None:
        del self._grants[grant.offer.grant_id]
        self._count(grant.offer, -1)
