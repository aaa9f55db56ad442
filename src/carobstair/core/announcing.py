"""Whom a gateway tells its demand, and how much of it is news."""

from __future__ import annotations

import math
from collections import OrderedDict
from collections.abc import Iterable

from carobstair.core.demand import DemandKey
from carobstair.core.fairness import VirtualTime
from carobstair.core.messages import DemandEntry, DemandUpdate
from carobstair.core.queueing import GatewayQueue
from carobstair.core.shares import (
    ALL_HOLD_UP_TO_MEMBERS,
    MemberId,
    ShareTable,
    first_sequence,
    rendezvous_rank,
)
from carobstair.core.state import FleetState

__all__ = ["DemandAnnouncer"]

ALLOCATORS_PER_POOL = 3
REMEMBERED_UPDATES = 2000
# A workspace whose requests wait at few gateways gets more than these can grant
# only if more allocators know of it.
MOST_ALLOCATORS = 64
# The costs of two requests: less than this is the grain of the order.
LAG_COSTS = 2.0
# An allocator that asked for demand is told for this long.
PULL_S = 3.0
# Allocators count down what they grant, so of a long queue only larger changes
# matter before the next refresh.
SHORT_QUEUE = 4
CHANGED_PART = 0.25
COST_CHANGED_PART = 0.5


class DemandAnnouncer:
    """Makes the demand updates of one gateway.

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
        self._reach: dict[tuple[str, str], int] = {}
        self._state = FleetState()
        self._live: frozenset[str] = frozenset()
        self._changed: set[DemandKey] = set()
        self._sent: dict[DemandKey, DemandEntry] = {}
        self._pulled: dict[str, dict[str, float]] = {}
        self._targets: dict[str, list[str]] = {}
        self._targets_version = -1
        self._sequence = first_sequence(own[1])
        self._sent_s: OrderedDict[int, float] = OrderedDict()
        self.last_offers: dict[str, int] = {}

    @property
    def has_news(self) -> bool:
        """Whether a change is worth an update before the next refresh."""
        return any(self._is_news(key) for key in self._changed)

    def set_state(self, state: FleetState) -> None:
        """Take over the fleet state in force."""
        self._state = state
        self._targets = {}

    def set_live(self, live_peers: frozenset[str]) -> None:
        """Take over who is believed to be alive."""
        self._live = live_peers
        self._targets = {}

    def note_change(self, key: DemandKey) -> None:
        """Record that a queue has changed."""
        self._changed.add(key)

    def pull(self, allocator: str, pools: Iterable[str], now_s: float) -> bool:
        """Have an allocator told from now on; return whether anything waits."""
        waiting = {pool for pool, _ in self._queue.backlogged()} & set(pools)
        for pool in waiting:
            self._pulled.setdefault(pool, {})[allocator] = now_s + PULL_S
        return bool(waiting)

    def note_offer(self, allocator: str, grant_id: int) -> None:
        """Record the newest offer of an allocator."""
        known = self.last_offers.get(allocator, 0)
        self.last_offers[allocator] = max(known, grant_id)

    def forget_allocator(self, allocator: str) -> None:
        """Drop what is known of an allocator that is gone."""
        self.last_offers.pop(allocator, None)

    def sent_s(self, sequence: int) -> float | None:
        """Return when an update was made, or None if that is long ago."""
        return self._sent_s.get(sequence)

    def news(self, now_s: float) -> list[tuple[str, DemandUpdate]]:
        """Return updates with the changed entries, and count them as told."""
        changed, self._changed = self._changed, set()
        entries = [self._queue.entry(*k) for k in sorted(changed) if self._is_news(k)]
        return self._updates(entries, now_s, full=False)

    def refresh(self, now_s: float) -> list[tuple[str, DemandUpdate]]:
        """Return updates with all entries, and count them as told."""
        self._adapt_reach(now_s)
        updates = self._updates(self._queue.demand(), now_s, full=True)
        self._changed = {key for key in self._changed if self._is_news(key)}
        return updates

    def full_update(self, allocator: str, now_s: float) -> DemandUpdate:
        """Return an update with all entries that concern one allocator."""
        entries = [
            entry
            for entry in self._queue.demand()
            if allocator in self._allocators(entry, now_s)
        ]
        return self._update(allocator, entries, now_s, full=True)

    def _updates(
        self, entries: list[DemandEntry], now_s: float, full: bool
    ) -> list[tuple[str, DemandUpdate]]:
        found: dict[str, list[DemandEntry]] = {}
        for entry in entries:
            key = (entry.pool, entry.workspace, entry.work_class)
            self._note_sent(key, entry)
            for allocator in self._allocators(entry, now_s):
                found.setdefault(allocator, []).append(entry)
        return [
            (allocator, self._update(allocator, chosen, now_s, full))
            for allocator, chosen in sorted(found.items())
        ]

    def _update(
        self, allocator: str, entries: list[DemandEntry], now_s: float, full: bool
    ) -> DemandUpdate:
        self._sequence += 1
        self._sent_s[self._sequence] = now_s
        while len(self._sent_s) > REMEMBERED_UPDATES:
            self._sent_s.popitem(last=False)
        last_offer = self.last_offers.get(allocator, 0)
        return DemandUpdate(self._sequence, last_offer, entries, full)

    def _adapt_reach(self, now_s: float) -> None:
        """Tell more allocators of what lags behind, and fewer of what does not."""
        reach: dict[tuple[str, str], int] = {}
        means: dict[str, float | None] = {}
        if len(self._live) + 1 > ALL_HOLD_UP_TO_MEMBERS:
            for entry in self._queue.demand():
                pool, workspace = key = (entry.pool, entry.workspace)
                if pool not in means:
                    means[pool] = self._virtual_time.mean_waiting(pool, now_s)
                known = self._reach.get(key, ALLOCATORS_PER_POOL)
                mean = means[pool]
                if mean is not None:
                    lag = mean - self._virtual_time.value(pool, workspace)
                    known = _next_reach(known, lag, entry.head_cost_tokens)
                reach[key] = max(known, reach.get(key, 0))
        self._reach = reach

    def _allocators(self, entry: DemandEntry, now_s: float) -> list[str]:
        if self._targets_version != self._shares.version:
            self._targets_version = self._shares.version
            self._targets = {}
        pool = entry.pool
        ranked = self._targets.get(pool)
        if ranked is None:
            ranked = self._targets[pool] = self._find_allocators(pool)
        if len(self._live) + 1 <= ALL_HOLD_UP_TO_MEMBERS:
            return ranked
        key = (pool, entry.workspace)
        found = ranked[: self._reach.get(key, ALLOCATORS_PER_POOL)]
        pulled = self._pulled.get(pool, {})
        for allocator in [a for a, until_s in pulled.items() if until_s <= now_s]:
            del pulled[allocator]
        return found + [a for a in pulled if a not in found and a in self._live]

    def _find_allocators(self, pool: str) -> list[str]:
        if len(self._live) + 1 <= ALL_HOLD_UP_TO_MEMBERS:
            return sorted(self._live)
        holders = {
            instance
            for upstream in self._state.pool_upstreams(pool)
            for instance, _ in self._shares.all_holders(upstream.name)
        }
        # A gateway that is a holder itself is served in process.
        return rendezvous_rank(f"{self._own}\0{pool}", holders & self._live)

    def _note_sent(self, key: DemandKey, entry: DemandEntry) -> None:
        if entry.waiting:
            self._sent[key] = entry
        else:
            self._sent.pop(key, None)

    def _is_news(self, key: DemandKey) -> bool:
        entry, sent = self._queue.entry(*key), self._sent.get(key)
        if sent is None:
            return entry.waiting > 0
        if entry.waiting <= SHORT_QUEUE or sent.waiting <= SHORT_QUEUE:
            if entry.waiting != sent.waiting:
                return True
        elif abs(entry.waiting - sent.waiting) > CHANGED_PART * sent.waiting:
            return True
        return (
            entry.head_kv_tokens > sent.head_kv_tokens
            or entry.excluded != sent.excluded
            or not math.isclose(
                entry.head_cost_tokens,
                sent.head_cost_tokens,
                rel_tol=COST_CHANGED_PART,
                abs_tol=1.0,
            )
        )


def _next_reach(known: int, lag: float, cost_tokens: float) -> int:
    if lag > LAG_COSTS * cost_tokens:
        return min(2 * known, MOST_ALLOCATORS)
    if lag < 0.0:
        return max(known * 3 // 4, ALLOCATORS_PER_POOL)
    return known
