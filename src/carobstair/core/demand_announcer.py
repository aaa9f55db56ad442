"""Selects the allocators that receive a gateway's demand, and what they are sent."""

from __future__ import annotations

import math
from collections import OrderedDict
from collections.abc import Iterable

from carobstair.core.demand import DemandKey
from carobstair.core.fairness import VirtualTime
from carobstair.core.messages import DemandEntry, DemandUpdate
from carobstair.core.queueing import GatewayQueue
from carobstair.core.shares import (
    FULL_SHARING_MAX_MEMBERS,
    MemberId,
    ShareTable,
    first_sequence,
    rendezvous_rank,
)
from carobstair.core.state import FleetState

__all__ = ["DemandAnnouncer"]

ALLOCATORS_PER_POOL = 3
MAX_REMEMBERED_UPDATES = 2000
# A workspace whose requests wait at few gateways can get more than the default
# number of allocators can grant only if more allocators receive its demand.
MAX_ALLOCATORS = 64
# In costs of one request: the order is no finer than two requests.
LAG_THRESHOLD_REQUESTS = 2.0
# How long an allocator that requested demand receives updates.
SUBSCRIPTION_S = 3.0
# Allocators subtract what they grant, so for queues longer than this only larger
# relative changes are sent before the next full update.
SHORT_QUEUE_REQUESTS = 4
MIN_RELATIVE_CHANGE = 0.25
COST_RELATIVE_TOLERANCE = 0.5


class DemandAnnouncer:
    """Builds the demand updates of one gateway.

    Parameters
    ----------
    own : tuple of (str, int)
        Instance and incarnation.
    queue : GatewayQueue
    shares : ShareTable
    virtual_time : VirtualTime
    """

    def __init__(
        self,
        own: MemberId,
        queue: GatewayQueue,
        shares: ShareTable,
        virtual_time: VirtualTime,
    ):
        self._own = own[0]
        self._queue = queue
        self._shares = shares
        self._virtual_time = virtual_time
        self._allocator_counts: dict[tuple[str, str], int] = {}
        self._state = FleetState()
        self._live: frozenset[str] = frozenset()
        self._changed: set[DemandKey] = set()
        self._sent: dict[DemandKey, DemandEntry] = {}
        self._subscribed_until_s: dict[str, dict[str, float]] = {}
        self._ranked_allocators: dict[str, list[str]] = {}
        self._ranked_version = -1
        self._sequence = first_sequence(own[1])
        self._sent_at_s: OrderedDict[int, float] = OrderedDict()
        self.last_offers: dict[str, int] = {}

    @property
    def has_unsent_changes(self) -> bool:
        """Whether a change has to be sent before the next full update."""
        return any(self._is_significant(key) for key in self._changed)

    def set_state(self, state: FleetState) -> None:
        """Apply the fleet state in force."""
        self._state = state
        self._ranked_allocators = {}

    def set_live(self, live_peers: frozenset[str]) -> None:
        """Set the peers that are considered alive."""
        self._live = live_peers
        self._ranked_allocators = {}

    def mark_changed(self, key: DemandKey) -> None:
        """Mark a queue as changed."""
        self._changed.add(key)

    def subscribe(self, allocator: str, pools: Iterable[str], now_s: float) -> bool:
        """Subscribe an allocator to pools; return whether any has waiting requests."""
        waiting = {pool for pool, _ in self._queue.backlogged()} & set(pools)
        for pool in waiting:
            self._subscribed_until_s.setdefault(pool, {})[allocator] = (
                now_s + SUBSCRIPTION_S
            )
        return bool(waiting)

    def record_offer(self, allocator: str, grant_id: int) -> None:
        """Record the newest offer received from an allocator."""
        known = self.last_offers.get(allocator, 0)
        self.last_offers[allocator] = max(known, grant_id)

    def remove_allocator(self, allocator: str) -> None:
        """Remove the records of an allocator that has left the fleet."""
        self.last_offers.pop(allocator, None)

    def sent_at_s(self, sequence: int) -> float | None:
        """Return when an update was sent, or None if it is no longer recorded."""
        return self._sent_at_s.get(sequence)

    def delta_updates(self, now_s: float) -> list[tuple[str, DemandUpdate]]:
        """Return updates with the changed entries, and record these as sent."""
        changed, self._changed = self._changed, set()
        entries = [
            self._queue.entry(*k) for k in sorted(changed) if self._is_significant(k)
        ]
        return self._updates(entries, now_s, full=False)

    def full_updates(self, now_s: float) -> list[tuple[str, DemandUpdate]]:
        """Return updates with all entries, and record these as sent."""
        self._adapt_allocator_counts(now_s)
        updates = self._updates(self._queue.demand(), now_s, full=True)
        self._changed = {key for key in self._changed if self._is_significant(key)}
        return updates

    def full_update(self, allocator: str, now_s: float) -> DemandUpdate:
        """Return an update with all entries that one allocator receives."""
        entries = [
            entry
            for entry in self._queue.demand()
            if allocator in self._allocators(entry, now_s)
        ]
        return self._update(allocator, entries, now_s, full=True)

    def _updates(
        self, entries: list[DemandEntry], now_s: float, full: bool
    ) -> list[tuple[str, DemandUpdate]]:
        entries_by_allocator: dict[str, list[DemandEntry]] = {}
        for entry in entries:
            key = (entry.pool, entry.workspace, entry.work_class)
            self._record_sent(key, entry)
            for allocator in self._allocators(entry, now_s):
                entries_by_allocator.setdefault(allocator, []).append(entry)
        return [
            (allocator, self._update(allocator, chosen, now_s, full))
            for allocator, chosen in sorted(entries_by_allocator.items())
        ]

    def _update(
        self, allocator: str, entries: list[DemandEntry], now_s: float, full: bool
    ) -> DemandUpdate:
        self._sequence += 1
        self._sent_at_s[self._sequence] = now_s
        while len(self._sent_at_s) > MAX_REMEMBERED_UPDATES:
            self._sent_at_s.popitem(last=False)
        last_offer = self.last_offers.get(allocator, 0)
        return DemandUpdate(self._sequence, last_offer, entries, full)

    def _adapt_allocator_counts(self, now_s: float) -> None:
        """Announce lagging workspaces to more allocators, and leading ones to fewer."""
        counts: dict[tuple[str, str], int] = {}
        mean_by_pool: dict[str, float | None] = {}
        if len(self._live) + 1 > FULL_SHARING_MAX_MEMBERS:
            for entry in self._queue.demand():
                pool, workspace = key = (entry.pool, entry.workspace)
                if pool not in mean_by_pool:
                    mean_by_pool[pool] = self._virtual_time.mean_waiting(pool, now_s)
                count = self._allocator_counts.get(key, ALLOCATORS_PER_POOL)
                mean = mean_by_pool[pool]
                if mean is not None:
                    lag = mean - self._virtual_time.value(pool, workspace)
                    count = _next_allocator_count(count, lag, entry.head_cost_tokens)
                counts[key] = max(count, counts.get(key, 0))
        self._allocator_counts = counts

    def _allocators(self, entry: DemandEntry, now_s: float) -> list[str]:
        if self._ranked_version != self._shares.version:
            self._ranked_version = self._shares.version
            self._ranked_allocators = {}
        pool = entry.pool
        ranked = self._ranked_allocators.get(pool)
        if ranked is None:
            ranked = self._ranked_allocators[pool] = self._find_allocators(pool)
        if len(self._live) + 1 <= FULL_SHARING_MAX_MEMBERS:
            return ranked
        key = (pool, entry.workspace)
        allocators = ranked[: self._allocator_counts.get(key, ALLOCATORS_PER_POOL)]
        subscribed = self._subscribed_until_s.get(pool, {})
        for allocator in [a for a, until_s in subscribed.items() if until_s <= now_s]:
            del subscribed[allocator]
        return allocators + [
            a for a in subscribed if a not in allocators and a in self._live
        ]

    def _find_allocators(self, pool: str) -> list[str]:
        if len(self._live) + 1 <= FULL_SHARING_MAX_MEMBERS:
            return sorted(self._live)
        holders = {
            instance
            for upstream in self._state.pool_upstreams(pool)
            for instance, _ in self._shares.all_holders(upstream.name)
        }
        # If this gateway holds shares itself, its own allocator is called in process.
        return rendezvous_rank(f"{self._own}\0{pool}", holders & self._live)

    def _record_sent(self, key: DemandKey, entry: DemandEntry) -> None:
        if entry.waiting:
            self._sent[key] = entry
        else:
            self._sent.pop(key, None)

    def _is_significant(self, key: DemandKey) -> bool:
        entry, sent = self._queue.entry(*key), self._sent.get(key)
        if sent is None:
            return entry.waiting > 0
        if (
            entry.waiting <= SHORT_QUEUE_REQUESTS
            or sent.waiting <= SHORT_QUEUE_REQUESTS
        ):
            if entry.waiting != sent.waiting:
                return True
        elif abs(entry.waiting - sent.waiting) > MIN_RELATIVE_CHANGE * sent.waiting:
            return True
        return (
            entry.head_kv_tokens > sent.head_kv_tokens
            or entry.excluded != sent.excluded
            or not math.isclose(
                entry.head_cost_tokens,
                sent.head_cost_tokens,
                rel_tol=COST_RELATIVE_TOLERANCE,
                abs_tol=1.0,
            )
        )


def _next_allocator_count(count: int, lag: float, cost_tokens: float) -> int:
    if lag > LAG_THRESHOLD_REQUESTS * cost_tokens:
        return min(2 * count, MAX_ALLOCATORS)
    if lag < 0.0:
        return max(count * 3 // 4, ALLOCATORS_PER_POOL)
    return count
