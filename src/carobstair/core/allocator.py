"""Grants the own shares of upstream capacity to the demand of gateways."""

from __future__ import annotations

import math
from collections.abc import Callable, Iterable, Mapping
from dataclasses import dataclass

from carobstair.core.demand import Demand, DemandBook, DemandKey
from carobstair.core.fairness import VirtualTime
from carobstair.core.grants import GrantTimings
from carobstair.core.messages import DemandEntry, DemandUpdate, Offer
from carobstair.core.placement import Candidate, Placement
from carobstair.core.queueing import WorkClass
from carobstair.core.shares import SlotShare
from carobstair.core.state import FleetState, Upstream

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
        service totals, if these don't tell of it sooner.
    quick_memory_s : float
        How long after the last quick request slots are kept free for the next.
    drain_after_s : float
        How long the request whose turn it is waits for KV tokens before an
        upstream takes no other work until it fits.
    """

    demand_validity_s: float = 3.0
    pending_s: float = 2.5
    quick_memory_s: float = 10.0
    drain_after_s: float = 0.5


@dataclass(slots=True)
class Grant:
    """A slot in use; it lapses when the gateway does not renew it."""

    gateway: str
    offer: Offer
    lapses_s: float


@dataclass(slots=True)
class _Pending:
    expires_s: float
    gateway: str
    pool: str
    workspace: str
    tokens: float


@dataclass(slots=True)
class _Use:
    requests: int = 0
    kv_tokens: int = 0


@dataclass(slots=True)
class _Drain:
    """An upstream that is kept free for a request too large to fit beside others."""

    key: DemandKey
    since_s: float
    upstream: str = ""


ShareOf = Callable[[str], SlotShare]


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
    quick_fraction : float
        Part of the slots of a pool that long requests leave free while quick
        ones come.
    """

    def __init__(
        self,
        instance: str,
        settings: AllocatorSettings,
        timings: GrantTimings,
        virtual_time: VirtualTime,
        placement: Placement,
        quick_fraction: float = 0.1,
    ):
        self._instance = instance
        self._settings = settings
        self._timings = timings
        self._virtual_time = virtual_time
        self._placement = placement
        self._quick_fraction = quick_fraction
        self._state = FleetState()
        self._pools: dict[str, list[Upstream]] = {}
        self._grants: dict[int, Grant] = {}
        self._use: dict[str, _Use] = {}
        self._quick_use: dict[str, int] = {}
        self._quick_seen_s: dict[str, float] = {}
        self._pending: dict[int, _Pending] = {}
        self._pending_sums: dict[tuple[str, str], float] = {}
        self._class_time: dict[DemandKey, float] = {}
        self._class_clock: dict[tuple[str, str], float] = {}
        self._drains: dict[str, _Drain] = {}
        self._last_grant = 0
        self.zones: Mapping[str, str] = {}
        self.demand = DemandBook(settings.demand_validity_s)
        self.lapsed_count = 0

    @property
    def grants(self) -> Mapping[int, Grant]:
        """The grants in use, by id."""
        return self._grants

    def set_state(
        self,
        state: FleetState,
        held: Iterable[str],
        closed: frozenset[str] = frozenset(),
    ) -> None:
        """Take over the fleet state in force.

        Parameters
        ----------
        state : FleetState
        held : iterable of str
            Upstreams of which this process holds shares.
        closed : frozenset of str
            Upstreams that said on their own that they take no new work.
        """
        self._state = state
        self._pools = {}
        for name in sorted(set(held) - closed):
            upstream = state.upstreams[name]
            if state.accepts_work(upstream):
                self._pools.setdefault(upstream.pool, []).append(upstream)

    def in_use(self, upstream: str) -> SlotShare:
        """Return what the grants on an upstream take."""
        use = self._use.get(upstream)
        return SlotShare(use.requests, use.kv_tokens) if use else SlotShare()

    def uses(self) -> dict[str, int]:
        """Return the number of requests per upstream that grants allow."""
        return {name: use.requests for name, use in self._use.items() if use.requests}

    def update_demand(
        self, gateway: str, update: DemandUpdate, now_s: float
    ) -> set[str]:
        """Take in a gateway's demand and return the pools that it concerns."""
        counts = self._offers_after(gateway, update.last_offer)
        return self.demand.update(gateway, update, lambda k: counts.get(k, 0), now_s)

    def forget_gateway(self, gateway: str) -> None:
        """Drop the demand of a gateway that is gone; its grants lapse."""
        self.demand.forget(gateway)

    def acknowledge_offers(self, gateway: str, last_offer: int) -> None:
        """Stop counting offers whose reservations the totals now contain."""
        known = [
            grant_id
            for grant_id, pending in self._pending.items()
            if pending.gateway == gateway and grant_id <= last_offer
        ]
        for grant_id in known:
            self.settle_pending(grant_id)

    def settle_pending(self, grant_id: int) -> None:
        """Stop counting one offer on top of the totals."""
        pending = self._pending.pop(grant_id, None)
        if pending is not None:
            key = (pending.pool, pending.workspace)
            left = self._pending_sums.get(key, 0.0) - pending.tokens
            if left > 1e-6:
                self._pending_sums[key] = left
            else:
                self._pending_sums.pop(key, None)

    def allocate(
        self, pools: Iterable[str], share_of: ShareOf, now_s: float
    ) -> list[Grant]:
        """Grant free slots until none is left or no demand can use one.

        Parameters
        ----------
        pools : iterable of str
            Pools to look at.
        share_of : callable
            Returns the share of an upstream by its name.
        now_s : float
            Monotonic time in seconds.

        Returns
        -------
        list of Grant
            New grants, to be offered to their gateways.
        """
        granted = []
        for pool in sorted(set(pools)):
            if not self.demand.workspaces(pool):
                self._drains.pop(pool, None)
                continue
            if self.demand.has_class(pool, WorkClass.QUICK):
                self._quick_seen_s[pool] = now_s
            left = self.left(pool, share_of)
            if left:
                self._virtual_time.cap_catch_up(pool, now_s)
            reserve = self._reserve(pool, share_of, now_s) if left else 0
            while left:
                grant = self._grant_one(pool, left, reserve, now_s)
                if grant is None:
                    break
                granted.append(grant)
                self._take(left, grant)
        return granted

    def left(self, pool: str, share_of: ShareOf) -> dict[str, SlotShare]:
        """Return what is free on the upstreams of a pool that have a free slot."""
        found = {}
        for upstream in self._pools.get(pool, ()):
            share = share_of(upstream.name)
            use = self._use.get(upstream.name)
            if use is not None:
                share = SlotShare(
                    share.request_slots - use.requests, share.kv_tokens - use.kv_tokens
                )
            if share.request_slots > 0:
                found[upstream.name] = share
        return found

    def free_slots(self, share_of: ShareOf) -> dict[str, int]:
        """Return the free request slots per pool."""
        free = {}
        for pool in self._pools:
            count = sum(s.request_slots for s in self.left(pool, share_of).values())
            if count:
                free[pool] = count
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

    def release(self, gateway: str, grant_ids: Iterable[int]) -> set[str]:
        """Free the slots of ended grants and return the pools concerned."""
        pools = set()
        for grant_id in grant_ids:
            grant = self._grants.get(grant_id)
            if grant is not None and grant.gateway == gateway:
                self._drop(grant)
                pools.add(grant.offer.pool)
        return pools

    def expire(self, now_s: float) -> list[Grant]:
        """Free the slots of grants that lapsed and return these."""
        lapsed = [g for g in self._grants.values() if g.lapses_s <= now_s]
        for grant in lapsed:
            self._drop(grant)
        self.lapsed_count += len(lapsed)
        old = [g for g, p in self._pending.items() if p.expires_s <= now_s]
        for grant_id in old:
            self.settle_pending(grant_id)
        self.demand.expire(now_s)
        return lapsed

    @property
    def _lapse_s(self) -> float:
        return self._timings.lease_s + self._timings.margin_s

    def _offers_after(self, gateway: str, last_offer: int) -> dict[DemandKey, int]:
        counts: dict[DemandKey, int] = {}
        # Grants are held in the order of their ids; only the newest can be unknown.
        for grant in reversed(self._grants.values()):
            offer = grant.offer
            if offer.grant_id <= last_offer:
                break
            if grant.gateway == gateway:
                key = (offer.pool, offer.workspace, offer.work_class)
                counts[key] = counts.get(key, 0) + 1
        return counts

    def _reserve(self, pool: str, share_of: ShareOf, now_s: float) -> int:
        seen_s = self._quick_seen_s.get(pool, -math.inf)
        if now_s - seen_s > self._settings.quick_memory_s:
            return 0
        slots = sum(share_of(u.name).request_slots for u in self._pools[pool])
        # Shares are small, so the fraction is taken of their sum over the pool;
        # of each upstream it would round to nothing. Half stays for long requests.
        return min(math.ceil(slots * self._quick_fraction), slots // 2)

    def _grant_one(
        self, pool: str, left: dict[str, SlotShare], reserve: int, now_s: float
    ) -> Grant | None:
        free = sum(share.request_slots for share in left.values())
        long_fits = free > reserve - self._quick_use.get(pool, 0)
        for workspace in self._order(pool):
            for work_class in self._classes(pool, workspace):
                if work_class == WorkClass.LONG and not long_fits:
                    continue
                for demand in self.demand.of(pool, workspace, work_class):
                    upstream = self._place(demand, left, now_s)
                    if upstream is not None:
                        return self._make_grant(demand, upstream, now_s)
        return None

    def _order(self, pool: str) -> list[str]:
        allowed = self._state.workspaces
        pending = self._pending_sums
        ordered = sorted(
            (self._virtual_time.value(pool, ws, pending.get((pool, ws), 0.0)), ws)
            for ws in self.demand.workspaces(pool)
            if ws in allowed and pool in allowed[ws].pools
        )
        return [ws for _, ws in ordered]

    def _classes(self, pool: str, workspace: str) -> list[str]:
        clock = self._class_clock.get((pool, workspace), 0.0)
        # A class that was idle starts level; quick goes first among equals.
        return sorted(
            CLASS_WEIGHTS,
            key=lambda c: max(clock, self._class_time.get((pool, workspace, c), 0.0)),
        )

    def _place(
        self, demand: Demand, left: dict[str, SlotShare], now_s: float
    ) -> str | None:
        entry = demand.entry
        key = (entry.pool, entry.workspace, entry.work_class)
        drain = self._drains.get(entry.pool)
        blocked = drain.upstream if drain is not None and drain.key != key else ""
        zone = self.zones.get(demand.gateway, "")
        candidates = [
            Candidate(
                name,
                share.request_slots,
                self.in_use(name).request_slots,
                self._state.upstreams[name].zone == zone,
            )
            for name, share in left.items()
            if name not in entry.excluded
            and name != blocked
            and self._fits(entry, name, share)
        ]
        if not candidates:
            self._note_too_large(entry, key, left, now_s)
            return None
        if drain is not None and drain.key == key:
            del self._drains[entry.pool]
        return self._placement.choose(candidates, entry.prefix)

    def _fits(self, entry: DemandEntry, name: str, left: SlotShare) -> bool:
        # A request larger than the whole share could never run; alone on the
        # share it may, since the engine's own limit is higher.
        return entry.head_kv_tokens <= left.kv_tokens or not (
            self.in_use(name).request_slots
        )

    def _note_too_large(
        self,
        entry: DemandEntry,
        key: DemandKey,
        left: dict[str, SlotShare],
        now_s: float,
    ) -> None:
        """Have an upstream drain for a request that smaller ones keep out."""
        tight = [name for name in left if name not in entry.excluded]
        drain = self._drains.get(entry.pool)
        if drain is not None and drain.key != key:
            waits = any(d.open > 0 for d in self.demand.of(*drain.key))
            if waits:
                return
            drain = None
        if drain is None:
            self._drains[entry.pool] = _Drain(key, now_s)
            return
        waited = now_s - drain.since_s >= self._settings.drain_after_s
        if tight and waited and not drain.upstream:
            drain.upstream = max(tight, key=lambda n: (left[n].kv_tokens, n))

    def _make_grant(self, demand: Demand, upstream: str, now_s: float) -> Grant:
        entry = demand.entry
        key = (entry.pool, entry.workspace, entry.work_class)
        self._last_grant += 1
        offer = Offer(
            self._last_grant,
            self.demand.sequence(demand.gateway, key),
            upstream,
            entry.pool,
            entry.workspace,
            entry.work_class,
            entry.head_kv_tokens,
            entry.head_cost_tokens,
            self._timings.lease_s,
        )
        grant = Grant(demand.gateway, offer, now_s + self._lapse_s)
        self.demand.take(demand)
        self._grants[offer.grant_id] = grant
        self._count(offer, 1)
        self._charge_class(entry, key)
        self._note_pending(grant, now_s)
        return grant

    def _note_pending(self, grant: Grant, now_s: float) -> None:
        offer = grant.offer
        tokens = offer.cost_tokens / self._virtual_time.weight(offer.workspace)
        key = (offer.pool, offer.workspace)
        self._pending_sums[key] = self._pending_sums.get(key, 0.0) + tokens
        expires_s = now_s + self._settings.pending_s
        self._pending[offer.grant_id] = _Pending(expires_s, grant.gateway, *key, tokens)

    def _charge_class(self, entry: DemandEntry, key: DemandKey) -> None:
        clock_key = key[:2]
        start = max(
            self._class_clock.get(clock_key, 0.0), self._class_time.get(key, 0.0)
        )
        self._class_clock[clock_key] = start
        cost = max(1.0, entry.head_cost_tokens)
        self._class_time[key] = start + cost / CLASS_WEIGHTS[entry.work_class]

    @staticmethod
    def _take(left: dict[str, SlotShare], grant: Grant) -> None:
        name = grant.offer.upstream
        share = left[name]
        if share.request_slots <= 1:
            del left[name]
        else:
            left[name] = SlotShare(
                share.request_slots - 1, share.kv_tokens - grant.offer.kv_tokens
            )

    def _count(self, offer: Offer, sign: int) -> None:
        use = self._use.setdefault(offer.upstream, _Use())
        use.requests += sign
        use.kv_tokens += sign * offer.kv_tokens
        if not use.requests:
            del self._use[offer.upstream]
        if offer.work_class == WorkClass.QUICK:
            count = self._quick_use.get(offer.pool, 0) + sign
            self._quick_use[offer.pool] = count

    def _drop(self, grant: Grant) -> None:
        # What is pending stays: the service of a short request may be over before
        # the totals tell of it.
        del self._grants[grant.offer.grant_id]
        self._count(grant.offer, -1)
