"""Demand that gateways announce, indexed the way an allocator asks for it."""

from __future__ import annotations

import math
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field

from carobstair.core.messages import DemandEntry, DemandUpdate

__all__ = ["Demand", "DemandBook", "DemandKey"]

DemandKey = tuple[str, str, str]
"""Pool, workspace and work class."""

# A gateway that names more than this is faulty; its demand must not fill memory.
MAX_ENTRIES_PER_GATEWAY = 20_000


@dataclass(slots=True)
class Demand:
    """Requests of one key that wait at one gateway and have no offer yet.

    Attributes
    ----------
    turn : float
        Position among the gateways of the key. Each offer moves it on by the
        inverse of the queue's length, so that every waiting request has the same
        chance and a short queue beside a long one is not starved.
    """

    gateway: str
    entry: DemandEntry
    open: int
    turn: float = 0.0


@dataclass(slots=True)
class _Gateway:
    sequence: int = -1
    expires_s: float = -math.inf
    entries: dict[DemandKey, Demand] = field(default_factory=dict)
    sequences: dict[DemandKey, int] = field(default_factory=dict)


class DemandBook:
    """The demand known to one allocator.

    Parameters
    ----------
    validity_s : float
        How long a gateway's demand holds without being refreshed.
    """

    def __init__(self, validity_s: float):
        self._validity_s = validity_s
        self._gateways: dict[str, _Gateway] = {}
        self._index: dict[str, dict[str, dict[str, dict[str, Demand]]]] = {}
        # Offers on the way close demand for a moment, so what counts for the time
        # is that gateways say that something waits.
        self._since_s: dict[DemandKey, float] = {}
        self._gateways_of: dict[DemandKey, int] = {}
        self.dropped_count = 0

    def update(
        self,
        gateway: str,
        update: DemandUpdate,
        on_the_way: Callable[[DemandKey], int],
        now_s: float,
    ) -> set[str]:
        """Take in a gateway's update and return the pools that it concerns.

        Parameters
        ----------
        on_the_way : callable
            Returns the number of offers that the update does not know of yet.
        """
        held = self._gateways.setdefault(gateway, _Gateway())
        if now_s >= held.expires_s:
            # A gateway that was silent for so long may have started anew.
            self.forget(gateway)
            held = self._gateways[gateway] = _Gateway()
        if update.full and update.sequence <= held.sequence:
            return set()
        held.expires_s = now_s + self._validity_s
        pools = set()
        named = {}
        for entry in update.entries[:MAX_ENTRIES_PER_GATEWAY]:
            key = (entry.pool, entry.workspace, entry.work_class)
            named[key] = entry
            pools.add(entry.pool)
        if update.full:
            held.sequence = update.sequence
            for key in [key for key in held.entries if key not in named]:
                self._remove(gateway, held, key)
            held.sequences = {}
        for key, entry in named.items():
            if update.sequence < max(held.sequences.get(key, -1), held.sequence):
                continue
            held.sequences[key] = update.sequence
            waiting = entry.waiting - on_the_way(key)
            self._put(gateway, held, key, entry, waiting, now_s)
        return pools

    def set_entry(self, gateway: str, entry: DemandEntry, now_s: float) -> None:
        """Take in one entry of the own gateway, which never lapses."""
        held = self._gateways.setdefault(gateway, _Gateway(expires_s=math.inf))
        held.expires_s = math.inf
        key = (entry.pool, entry.workspace, entry.work_class)
        self._put(gateway, held, key, entry, entry.waiting, now_s)

    def forget(self, gateway: str) -> None:
        """Drop the demand of a gateway."""
        held = self._gateways.pop(gateway, _Gateway())
        for key in list(held.entries):
            self._remove(gateway, held, key)

    def expire(self, now_s: float) -> None:
        """Drop what has not been refreshed."""
        for gateway in [g for g, h in self._gateways.items() if h.expires_s <= now_s]:
            self.forget(gateway)

    def pools(self) -> list[str]:
        """Return the pools that something waits for."""
        return list(self._index)

    def workspaces(self, pool: str) -> list[str]:
        """Return the workspaces with open demand for a pool."""
        return list(self._index.get(pool, ()))

    def of(self, pool: str, workspace: str, work_class: str) -> Iterable[Demand]:
        """Return open demand of each gateway, the one whose turn it is first."""
        by_class = self._index.get(pool, {}).get(workspace, {})
        found = by_class.get(work_class, {}).values()
        return sorted(found, key=lambda d: (d.turn, -d.open, d.gateway))

    def waits_since_s(self, key: DemandKey) -> float:
        """Return since when gateways have had something waiting without a break."""
        return self._since_s.get(key, math.inf)

    def sequence(self, gateway: str, key: DemandKey) -> int:
        """Return the update from which a gateway's entry comes."""
        held = self._gateways[gateway]
        return max(held.sequence, held.sequences.get(key, -1))

    def take(self, demand: Demand) -> None:
        """Count an offer against open demand."""
        demand.turn += 1.0 / max(1, demand.open)
        demand.open -= 1
        if demand.open <= 0:
            entry = demand.entry
            key = (entry.pool, entry.workspace, entry.work_class)
            self._unindex(demand.gateway, key)

    def _put(
        self,
        gateway: str,
        held: _Gateway,
        key: DemandKey,
        entry: DemandEntry,
        waiting: int,
        now_s: float,
    ) -> None:
        if entry.waiting <= 0:
            self._remove(gateway, held, key)
            return
        if not (math.isfinite(entry.head_cost_tokens) and entry.head_kv_tokens >= 0):
            self.dropped_count += 1
            return
        demand = held.entries.get(key)
        if demand is None:
            demand = held.entries[key] = Demand(gateway, entry, waiting)
            self._gateways_of[key] = self._gateways_of.get(key, 0) + 1
            self._since_s.setdefault(key, now_s)
        demand.entry, demand.open = entry, waiting
        if waiting > 0:
            pool, workspace, work_class = key
            by_workspace = self._index.setdefault(pool, {})
            by_class = by_workspace.setdefault(workspace, {})
            by_gateway = by_class.setdefault(work_class, {})
            if gateway not in by_gateway:
                # A queue that was empty starts where the others stand.
                turns = [d.turn for d in by_gateway.values()]
                demand.turn = max(demand.turn, min(turns, default=0.0))
            by_gateway[gateway] = demand
        else:
            self._unindex(gateway, key)

    def _remove(self, gateway: str, held: _Gateway, key: DemandKey) -> None:
        if held.entries.pop(key, None) is None:
            return
        self._unindex(gateway, key)
        self._gateways_of[key] -= 1
        if not self._gateways_of[key]:
            del self._gateways_of[key], self._since_s[key]

    def _unindex(self, gateway: str, key: DemandKey) -> None:
        pool, workspace, work_class = key
        by_workspace = self._index.get(pool, {})
        by_class = by_workspace.get(workspace, {})
        by_gateway = by_class.get(work_class, {})
        by_gateway.pop(gateway, None)
        if not by_gateway:
            by_class.pop(work_class, None)
        if not by_class:
            by_workspace.pop(workspace, None)
        if not by_workspace:
            self._index.pop(pool, None)
