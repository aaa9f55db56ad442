"""Allocates this process's shares of upstream capacity to gateway demand."""

from __future__ import annotations

from collections.abc import Callable, Iterable, Mapping
from dataclasses import dataclass

from carobstair.core.allocation import AllocatorSettings, Grant
from carobstair.core.class_order import ClassOrder
from carobstair.core.demand import Demand, DemandKey, DemandTable
from carobstair.core.drains import UpstreamDrains
from carobstair.core.fairness import VirtualTime
from carobstair.core.grants import GrantTimings
from carobstair.core.messages import DemandEntry, DemandUpdate, Offer
from carobstair.core.pending_costs import PendingCosts
from carobstair.core.placement import Candidate, Placement
from carobstair.core.queueing import WorkClass
from carobstair.core.reserve import QuickReserve
from carobstair.core.shares import MemberId, SlotShare, first_sequence
from carobstair.core.state import FleetState, Upstream

__all__ = ["Allocator", "AllocatorSettings", "Grant"]


@dataclass(slots=True)
class _Usage:
    requests: int = 0
    kv_tokens: int = 0


ShareOf = Callable[[str], SlotShare]


class Allocator:
    """Decides which waiting requests get this process's free slots.

    Parameters
    ----------
    own : tuple of (str, int)
        Instance and incarnation. Grant ids start at a value derived from the
        incarnation, so a restarted process never reuses one.
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
        self._usage: dict[str, _Usage] = {}
        self._reserve_usage: dict[str, int] = {}
        self._classes = ClassOrder()
        self._drains = UpstreamDrains(settings.drain_after_s)
        self._last_grant = first_sequence(own[1])
        self.zones: Mapping[str, str] = {}
        self.rank_of: Callable[[str], tuple[int, int]] = lambda pool: (0, 1)
        self.demand = DemandTable(settings.demand_validity_s)
        self.pending = PendingCosts(settings.pending_s)
        self.quick = QuickReserve(settings.quick)
        self.expired_count = 0

    @property
    def grants(self) -> Mapping[int, Grant]:
        """Active grants by id."""
        return self._grants

    def set_state(
        self,
        state: FleetState,
        held: Iterable[str],
        closed: frozenset[str] = frozenset(),
    ) -> None:
        """Apply the fleet state in force.

        Parameters
        ----------
        state : FleetState
        held : iterable of str
            Upstreams on which this process holds shares.
        closed : frozenset of str
            Upstreams that reported themselves as taking no new work.
        """
        self._state = state
        self._classes.keep_only(state.workspaces)
        self._pools = {}
        for name in sorted(set(held) - closed):
            upstream = state.upstreams[name]
            if state.accepts_work(upstream):
                self._pools.setdefault(upstream.pool, []).append(upstream)

    def in_use(self, upstream: str) -> SlotShare:
        """Return the capacity used by the grants on an upstream."""
        usage = self._usage.get(upstream)
        return SlotShare(usage.requests, usage.kv_tokens) if usage else SlotShare()

    def granted_requests(self) -> dict[str, int]:
        """Return the number of granted requests per upstream."""
        return {
            name: usage.requests
            for name, usage in self._usage.items()
            if usage.requests
        }

    def update_demand(
        self, gateway: str, update: DemandUpdate, now_s: float
    ) -> set[str]:
        """Apply a gateway's demand update and return the affected pools."""
        counts = self._offers_after(gateway, update.last_offer)
        return self.demand.update(gateway, update, lambda k: counts.get(k, 0), now_s)

    def allocate(
        self, pools: Iterable[str], share_of: ShareOf, now_s: float
    ) -> list[Grant]:
        """Grant free slots until none is left or no demand fits.

        Parameters
        ----------
        pools : iterable of str
            Pools to allocate from.
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
            free = self.free_shares(pool, share_of)
            if free:
                self._virtual_time.cap_catch_up(pool, now_s)
            reserve = self._reserve(pool, share_of, now_s) if free else 0
            while free:
                grant = self._grant_one(pool, free, reserve, now_s)
                if grant is None:
                    break
                granted.append(grant)
                self._deduct(free, grant)
        return granted

    def free_shares(self, pool: str, share_of: ShareOf) -> dict[str, SlotShare]:
        """Return the free capacity of a pool's upstreams with a free slot."""
        free = {}
        for upstream in self._pools.get(pool, ()):
            share = share_of(upstream.name)
            usage = self._usage.get(upstream.name)
            if usage is not None:
                share = SlotShare(
                    share.request_slots - usage.requests,
                    share.kv_tokens - usage.kv_tokens,
                )
            if share.request_slots > 0:
                free[upstream.name] = share
        return free

    def free_slots(self, share_of: ShareOf) -> dict[str, int]:
        """Return the free request slots per pool."""
        free = {}
        for pool in self._pools:
            count = sum(
                s.request_slots for s in self.free_shares(pool, share_of).values()
            )
            if count:
                free[pool] = count
        return free

    def renew(self, gateway: str, grant_ids: Iterable[int], now_s: float) -> list[int]:
        """Extend leases and return the ids whose lease was extended."""
        renewed = []
        for grant_id in grant_ids:
            grant = self._grants.get(grant_id)
            if grant is not None and grant.gateway == gateway:
                grant.expires_s = now_s + self._grant_expiry_s
                renewed.append(grant_id)
        return renewed

    def release(
        self, gateway: str, grant_ids: Iterable[int], unused: bool, now_s: float
    ) -> set[str]:
        """Free the slots of finished or unused grants.

        Returns
        -------
        set of str
            The affected pools.
        """
        pools = set()
        for grant_id in grant_ids:
            grant = self._grants.get(grant_id)
            if grant is not None and grant.gateway == gateway:
                self._remove(grant)
                pools.add(grant.offer.pool)
                if unused:
                    self.pending.settle(grant_id)
                else:
                    self._record_end(grant, now_s)
        return pools

    def expire(self, now_s: float) -> list[Grant]:
        """Free the slots of expired grants and return these grants."""
        expired = [g for g in self._grants.values() if g.expires_s <= now_s]
        for grant in expired:
            self._remove(grant)
        self.expired_count += len(expired)
        self.pending.expire(now_s)
        self.demand.expire(now_s)
        return expired

    @property
    def _grant_expiry_s(self) -> float:
        return self._timings.lease_s + self._timings.margin_s

    def _offers_after(self, gateway: str, last_offer: int) -> dict[DemandKey, int]:
        counts: dict[DemandKey, int] = {}
        # Grants are stored in order of id, so those newer than `last_offer` come last.
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
        self, pool: str, free: dict[str, SlotShare], reserve: int, now_s: float
    ) -> Grant | None:
        free_slots = sum(share.request_slots for share in free.values())
        scarce = free_slots <= reserve - self._reserve_usage.get(pool, 0)
        for key in self._order(pool):
            if scarce and not self._may_use_reserve(key, now_s):
                continue
            for demand in self.demand.of(*key):
                upstream = self._place(demand, free, now_s)
                if upstream is not None:
                    return self._make_grant(demand, upstream, now_s)
        return None

    def _may_use_reserve(self, key: DemandKey, now_s: float) -> bool:
        return key[2] == WorkClass.QUICK and not self.quick.is_backlog(
            self.demand.waiting_since_s(key), now_s
        )

    def _order(self, pool: str) -> list[DemandKey]:
        """Return the demand keys of a pool in service order."""
        allowed = self._state.workspaces
        ordered = []
        for workspace in self.demand.workspaces(pool):
            if workspace not in allowed or pool not in allowed[workspace].pools:
                continue
            pending = self.pending.sum((pool, workspace))
            value = self._virtual_time.value(pool, workspace, pending)
            classes = self._classes.ordered(pool, workspace)
            for position, work_class in enumerate(classes):
                key = (pool, workspace, work_class)
                quick = work_class == WorkClass.QUICK
                start = value - self._settings.quick_ahead_tokens if quick else value
                ordered.append((start, workspace, position, key))
        return [key for _, _, _, key in sorted(ordered)]

    def _place(
        self, demand: Demand, free: dict[str, SlotShare], now_s: float
    ) -> str | None:
        entry = demand.entry
        key = (entry.pool, entry.workspace, entry.work_class)
        blocked = self._drains.reserved_for_others(key)
        zone = self.zones.get(demand.gateway, "")
        candidates = [
            Candidate(
                name,
                share.request_slots,
                self.in_use(name).request_slots,
                self._state.upstreams[name].zone == zone,
            )
            for name, share in free.items()
            if name not in entry.excluded
            and name != blocked
            and self._fits(entry, name, share)
        ]
        if not candidates:
            self._record_blocked(entry, key, free, now_s)
            return None
        if self._drains.owner(entry.pool) == key:
            self._drains.end(entry.pool)
        return self._placement.choose(candidates, entry.prefix)

    def _record_blocked(
        self,
        entry: DemandEntry,
        key: DemandKey,
        free: dict[str, SlotShare],
        now_s: float,
    ) -> None:
        owner = self._drains.owner(entry.pool)
        if owner is not None and not self.demand.of(*owner):
            self._drains.end(entry.pool)
        allowed = {n: s for n, s in free.items() if n not in entry.excluded}
        self._drains.record_blocked(key, allowed, now_s)

    def _fits(self, entry: DemandEntry, name: str, free: SlotShare) -> bool:
        # A request larger than the whole share would never fit; it may run alone on
        # the share, since the engine's own limit is higher.
        return entry.head_kv_tokens <= free.kv_tokens or not (
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
        expires_s = now_s + self._grant_expiry_s
        grant = Grant(demand.gateway, offer, expires_s, now_s, in_reserve)
        if in_reserve:
            self.quick.note_quick(entry.pool, now_s)
        self.demand.take(demand)
        self._grants[offer.grant_id] = grant
        self._add_usage(grant, 1)
        self._classes.charge(key, entry.head_cost_tokens)
        tokens = entry.head_cost_tokens / self._virtual_time.weight(entry.workspace)
        self.pending.add(offer.grant_id, demand.gateway, key[:2], tokens, now_s)
        return grant

    @staticmethod
    def _deduct(free: dict[str, SlotShare], grant: Grant) -> None:
        name = grant.offer.upstream
        share = free[name]
        if share.request_slots <= 1:
            del free[name]
        else:
            free[name] = SlotShare(
                share.request_slots - 1, share.kv_tokens - grant.offer.kv_tokens
            )

    def _add_usage(self, grant: Grant, sign: int) -> None:
        offer = grant.offer
        usage = self._usage.setdefault(offer.upstream, _Usage())
        usage.requests += sign
        usage.kv_tokens += sign * offer.kv_tokens
        if not usage.requests:
            del self._usage[offer.upstream]
        if grant.in_reserve:
            count = self._reserve_usage.get(offer.pool, 0) + sign
            self._reserve_usage[offer.pool] = count

    def _record_end(self, grant: Grant, now_s: float) -> None:
        if grant.in_reserve:
            self.quick.note_quick_end(grant.offer.pool, now_s - grant.granted_s)
        else:
            self.quick.note_release(grant.offer.pool, now_s)

    def _remove(self, grant: Grant) -> None:
        # The pending cost stays: a short request may finish before the service
        # totals include it.
        del self._grants[grant.offer.grant_id]
        self._add_usage(grant, -1)
