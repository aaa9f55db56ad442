"""Grants the own shares of upstream capacity to the demand of gateways."""

from __future__ import annotations

from collections.abc import Callable, Iterable, Mapping
from dataclasses import dataclass

from carobstair.core.allocation import AllocatorSettings, Grant
from carobstair.core.classes import ClassOrder
from carobstair.core.demand import Demand, DemandBook, DemandKey
from carobstair.core.drains import Drains
from carobstair.core.fairness import VirtualTime
from carobstair.core.grants import GrantTimings
from carobstair.core.messages import DemandEntry, DemandUpdate, Offer
from carobstair.core.pending import PendingCosts
from carobstair.core.placement import Candidate, Placement
from carobstair.core.queueing import WorkClass
from carobstair.core.reserve import QuickReserve
from carobstair.core.shares import MemberId, SlotShare, first_sequence
from carobstair.core.state import FleetState, Upstream

__all__ = ["Allocator", "AllocatorSettings", "Grant"]


@dataclass(slots=True)
class _Use:
    requests: int = 0
    kv_tokens: int = 0


ShareOf = Callable[[str], SlotShare]


class Allocator:
    """Decides which waiting work gets the free slots that this process holds.

    Parameters
    ----------
    own : tuple of (str, int)
        Instance and incarnation; grant ids follow from the incarnation, so that
        those of a restarted process are new.
    settings : AllocatorSettings
    timings : GrantTimings
    virtual_time : VirtualTime
    placement : Placement
    """

    def __init__(
        self,
        own: MemberId,
        settings: AllocatorSettings,
        timings: GrantTimings,
        virtual_time: VirtualTime,
        placement: Placement,
    ):
        self._settings = settings
        self._timings = timings
        self._virtual_time = virtual_time
        self._placement = placement
        self._state = FleetState()
        self._pools: dict[str, list[Upstream]] = {}
        self._grants: dict[int, Grant] = {}
        self._use: dict[str, _Use] = {}
        self._quick_use: dict[str, int] = {}
        self._classes = ClassOrder()
        self._drains = Drains(settings.drain_after_s)
        self._last_grant = first_sequence(own[1])
        self.zones: Mapping[str, str] = {}
        self.rank_of: Callable[[str], tuple[int, int]] = lambda pool: (0, 1)
        self.demand = DemandBook(settings.demand_validity_s)
        self.pending = PendingCosts(settings.pending_s)
        self.quick = QuickReserve(settings.quick)
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
        self._classes.keep_only(state.workspaces)
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
                self._drains.end(pool)
                continue
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

    def release(
        self, gateway: str, grant_ids: Iterable[int], unused: bool, now_s: float
    ) -> set[str]:
        """Free the slots of grants that ended, or that were not needed.

        Returns
        -------
        set of str
            The pools concerned.
        """
        pools = set()
        for grant_id in grant_ids:
            grant = self._grants.get(grant_id)
            if grant is not None and grant.gateway == gateway:
                self._drop(grant)
                pools.add(grant.offer.pool)
                if unused:
                    self.pending.settle(grant_id)
                else:
                    self._note_end(grant, now_s)
        return pools

    def expire(self, now_s: float) -> list[Grant]:
        """Free the slots of grants that lapsed and return these."""
        lapsed = [g for g in self._grants.values() if g.lapses_s <= now_s]
        for grant in lapsed:
            self._drop(grant)
        self.lapsed_count += len(lapsed)
        self.pending.expire(now_s)
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
        slots = sum(share_of(u.name).request_slots for u in self._pools[pool])
        return self.quick.slots(pool, slots, *self.rank_of(pool), now_s)

    def _grant_one(
        self, pool: str, left: dict[str, SlotShare], reserve: int, now_s: float
    ) -> Grant | None:
        free = sum(share.request_slots for share in left.values())
        scarce = free <= reserve - self._quick_use.get(pool, 0)
        for key in self._order(pool):
            if scarce and not self._may_use_reserve(key, now_s):
                continue
            for demand in self.demand.of(*key):
                upstream = self._place(demand, left, now_s)
                if upstream is not None:
                    return self._make_grant(demand, upstream, now_s)
        return None

    def _may_use_reserve(self, key: DemandKey, now_s: float) -> bool:
        return key[2] == WorkClass.QUICK and not self.quick.is_backlog(
            self.demand.waits_since_s(key), now_s
        )

    def _order(self, pool: str) -> list[DemandKey]:
        """Return what waits for a pool in the order in which it is to be served."""
        allowed = self._state.workspaces
        ordered = []
        for workspace in self.demand.workspaces(pool):
            if workspace not in allowed or pool not in allowed[workspace].pools:
                continue
            pending = self.pending.sum((pool, workspace))
            value = self._virtual_time.value(pool, workspace, pending)
            classes = self._classes.ordered(pool, workspace)
            for place, work_class in enumerate(classes):
                key = (pool, workspace, work_class)
                quick = work_class == WorkClass.QUICK
                start = value - self._settings.quick_ahead_tokens if quick else value
                ordered.append((start, workspace, place, key))
        return [key for _, _, _, key in sorted(ordered)]

    def _place(
        self, demand: Demand, left: dict[str, SlotShare], now_s: float
    ) -> str | None:
        entry = demand.entry
        key = (entry.pool, entry.workspace, entry.work_class)
        blocked = self._drains.closed_to(key)
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
            self._note_blocked(entry, key, left, now_s)
            return None
        if self._drains.owner(entry.pool) == key:
            self._drains.end(entry.pool)
        return self._placement.choose(candidates, entry.prefix)

    def _note_blocked(
        self,
        entry: DemandEntry,
        key: DemandKey,
        left: dict[str, SlotShare],
        now_s: float,
    ) -> None:
        owner = self._drains.owner(entry.pool)
        if owner is not None and not self.demand.of(*owner):
            self._drains.end(entry.pool)
        allowed = {n: s for n, s in left.items() if n not in entry.excluded}
        self._drains.note_blocked(key, allowed, now_s)

    def _fits(self, entry: DemandEntry, name: str, left: SlotShare) -> bool:
        # A request larger than the whole share could never run; alone on the
        # share it may, since the engine's own limit is higher.
        return entry.head_kv_tokens <= left.kv_tokens or not (
            self.in_use(name).request_slots
        )

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
        in_reserve = self._may_use_reserve(key, now_s)
        lapses_s = now_s + self._lapse_s
        grant = Grant(demand.gateway, offer, lapses_s, now_s, in_reserve)
        if in_reserve:
            self.quick.note_quick(entry.pool, now_s)
        self.demand.take(demand)
        self._grants[offer.grant_id] = grant
        self._count(grant, 1)
        self._classes.charge(key, entry.head_cost_tokens)
        tokens = entry.head_cost_tokens / self._virtual_time.weight(entry.workspace)
        self.pending.add(offer.grant_id, demand.gateway, key[:2], tokens, now_s)
        return grant

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

    def _count(self, grant: Grant, sign: int) -> None:
        offer = grant.offer
        use = self._use.setdefault(offer.upstream, _Use())
        use.requests += sign
        use.kv_tokens += sign * offer.kv_tokens
        if not use.requests:
            del self._use[offer.upstream]
        if grant.in_reserve:
            count = self._quick_use.get(offer.pool, 0) + sign
            self._quick_use[offer.pool] = count

    def _note_end(self, grant: Grant, now_s: float) -> None:
        if grant.in_reserve:
            self.quick.note_quick_end(grant.offer.pool, now_s - grant.granted_s)
        else:
            self.quick.note_release(grant.offer.pool, now_s)

    def _drop(self, grant: Grant) -> None:
        # What is pending stays: the service of a short request may be over before
        # the totals tell of it.
        del self._grants[grant.offer.grant_id]
        self._count(grant, -1)
