"""Whom a gateway tells its demand, and how much of it is news."""

from __future__ import annotations

import math
from collections.abc import Iterable

from carobstair.core.demand import DemandKey
from carobstair.core.messages import DemandEntry
from carobstair.core.queueing import GatewayQueue
from carobstair.core.shares import (
    ALL_HOLD_UP_TO_MEMBERS,
    ShareTable,
    rendezvous_rank,
)
from carobstair.core.state import FleetState

__all__ = ["DemandAnnouncer"]

ALLOCATORS_PER_POOL = 3
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
    own : str
    queue : GatewayQueue
    shares : ShareTable
    """

    def __init__(self, own: str, queue: GatewayQueue, shares: ShareTable):
        self._own = own
        self._queue = queue
        self._shares = shares
        self._state = FleetState()
        self._live: frozenset[str] = frozenset()
        self._changed: set[DemandKey] = set()
        self._sent: dict[DemandKey, DemandEntry] = {}
        self._pulled: dict[str, dict[str, float]] = {}
        self._targets: dict[str, list[str]] = {}
        self._targets_version = -1

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

    def news(self, now_s: float) -> dict[str, list[DemandEntry]]:
        """Return the changed entries for each allocator, and count them as told."""
        found: dict[str, list[DemandEntry]] = {}
        changed, self._changed = self._changed, set()
        for key in sorted(changed):
            if not self._is_news(key):
                continue
            entry = self._queue.entry(*key)
            self._note_sent(key, entry)
            for allocator in self._allocators(key[0], now_s):
                found.setdefault(allocator, []).append(entry)
        return found

    def refresh(self, now_s: float) -> dict[str, list[DemandEntry]]:
        """Return all entries for each allocator, and count them as told."""
        found: dict[str, list[DemandEntry]] = {}
        for entry in self._queue.demand():
            key = (entry.pool, entry.workspace, entry.work_class)
            self._note_sent(key, entry)
            for allocator in self._allocators(entry.pool, now_s):
                found.setdefault(allocator, []).append(entry)
        self._changed = {key for key in self._changed if self._is_news(key)}
        return found

    def entries_for(self, allocator: str, now_s: float) -> list[DemandEntry]:
        """Return all entries that concern one allocator."""
        return [
            entry
            for entry in self._queue.demand()
            if allocator in self._allocators(entry.pool, now_s)
        ]

    def _allocators(self, pool: str, now_s: float) -> list[str]:
        if self._targets_version != self._shares.version:
            self._targets_version = self._shares.version
            self._targets = {}
        found = self._targets.get(pool)
        if found is None:
            found = self._targets[pool] = self._find_allocators(pool)
        pulled = self._pulled.get(pool, {})
        if not pulled:
            return found
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
        ranked = rendezvous_rank(f"{self._own}\0{pool}", holders & self._live)
        return ranked[:ALLOCATORS_PER_POOL]

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
