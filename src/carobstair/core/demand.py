"""Demand announced by gateways, indexed by pool, workspace and work class."""

from __future__ import annotations

import math
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field

from carobstair.core.messages import DemandEntry, DemandUpdate

__all__ = ["Demand", "DemandTable", "DemandKey"]

DemandKey = tuple[str, str, str]
"""Pool, workspace and work class."""

# A larger update comes from a faulty gateway; the limit bounds memory use.
MAX_ENTRIES_PER_GATEWAY = 20_000


@dataclass(slots=True)
class Demand:
    """Requests of one key that wait at one gateway.

    Attributes
    ----------
    unoffered : int
        Number of waiting requests without an offer.
    turn : float
        Virtual position among the gateways of the key; the lowest is served first.
        Each offer advances it by the inverse of the queue's length, so every
        waiting request has the same chance and short queues are not starved.
    """

    gateway: str
    entry: DemandEntry
    unoffered: int
    turn: float = 0.0


@dataclass(slots=True)
class _GatewayDemand:
    sequence: int = -1
    expires_s: float = -math.inf
    entries: dict[DemandKey, Demand] = field(default_factory=dict)
    sequences: dict[DemandKey, int] = field(default_factory=dict)


class DemandTable:
    """The demand received by one allocator.

    Parameters
    ----------
    validity_s : float
        Time after which a gateway's demand expires unless it is refreshed.
    """

    def __init__(self, validity_s: float):
        self._validity_s = validity_s
        self._gateways: dict[str, _GatewayDemand] = {}
        self._index: dict[str, dict[str, dict[str, dict[str, Demand]]]] = {}
        # Waiting time counts from when gateways report waiting requests: offers in
        # flight briefly reduce unoffered demand to zero.
        self._waiting_since_s: dict[DemandKey, float] = {}
        self._gateway_counts: dict[DemandKey, int] = {}
        self.dropped_count = 0

    def update(
        self,
        gateway: str,
        update: DemandUpdate,
        offers_in_flight: Callable[[DemandKey], int],
        now_s: float,
    ) -> set[str]:
        """Apply a gateway's update and return the affected pools.

        Parameters
        ----------
        offers_in_flight : callable
            Returns the number of a key's offers that the gateway had not received
            when it sent the update.
        """
        gateway_demand = self._gateways.setdefault(gateway, _GatewayDemand())
        if now_s >= gateway_demand.expires_s:
            # After so long a silence the gateway may have restarted.
            self.forget(gateway)
            gateway_demand = self._gateways[gateway] = _GatewayDemand()
        if update.full and update.sequence <= gateway_demand.sequence:
            return set()
        gateway_demand.expires_s = now_s + self._validity_s
        pools = set()
        entries = {}
        for entry in update.entries[:MAX_ENTRIES_PER_GATEWAY]:
            key = (entry.pool, entry.workspace, entry.work_class)
            entries[key] = entry
            pools.add(entry.pool)
        if update.full:
            gateway_demand.sequence = update.sequence
            for key in [key for key in gateway_demand.entries if key not in entries]:
                self._remove(gateway, gateway_demand, key)
            gateway_demand.sequences = {}
        for key, entry in entries.items():
            if update.sequence < max(
                gateway_demand.sequences.get(key, -1), gateway_demand.sequence
            ):
                continue
            gateway_demand.sequences[key] = update.sequence
            waiting = entry.waiting - offers_in_flight(key)
            self._put(gateway, gateway_demand, key, entry, waiting, now_s)
        return pools

    def set_entry(self, gateway: str, entry: DemandEntry, now_s: float) -> None:
        """Set an entry of this process's own gateway; it never expires."""
        gateway_demand = self._gateways.setdefault(
            gateway, _GatewayDemand(expires_s=math.inf)
        )
        gateway_demand.expires_s = math.inf
        key = (entry.pool, entry.workspace, entry.work_class)
        self._put(gateway, gateway_demand, key, entry, entry.waiting, now_s)

    def forget(self, gateway: str) -> None:
        """Remove the demand of a gateway."""
        gateway_demand = self._gateways.pop(gateway, _GatewayDemand())
        for key in list(gateway_demand.entries):
            self._remove(gateway, gateway_demand, key)

    def expire(self, now_s: float) -> None:
        """Remove the demand of gateways that did not refresh it in time."""
        for gateway in [g for g, h in self._gateways.items() if h.expires_s <= now_s]:
            self.forget(gateway)

    def pools(self) -> list[str]:
        """Return the pools with unoffered demand."""
        return list(self._index)

    def workspaces(self, pool: str) -> list[str]:
        """Return the workspaces with unoffered demand for a pool."""
        return list(self._index.get(pool, ()))

    def of(self, pool: str, workspace: str, work_class: str) -> Iterable[Demand]:
        """Return the unoffered demand of each gateway, in the order of their turns."""
        by_class = self._index.get(pool, {}).get(workspace, {})
        found = by_class.get(work_class, {}).values()
        return sorted(found, key=lambda d: (d.turn, -d.unoffered, d.gateway))

    def waiting_since_s(self, key: DemandKey) -> float:
        """Return since when gateways have continuously reported waiting requests."""
        return self._waiting_since_s.get(key, math.inf)

    def sequence(self, gateway: str, key: DemandKey) -> int:
        """Return the sequence number of the update that set a gateway's entry."""
        gateway_demand = self._gateways[gateway]
        return max(gateway_demand.sequence, gateway_demand.sequences.get(key, -1))

    def take(self, demand: Demand) -> None:
        """Subtract one offer from unoffered demand."""
        demand.turn += 1.0 / max(1, demand.unoffered)
        demand.unoffered -= 1
        if demand.unoffered <= 0:
            entry = demand.entry
            key = (entry.pool, entry.workspace, entry.work_class)
            self._unindex(demand.gateway, key)

    def _put(
        self,
        gateway: str,
        gateway_demand: _GatewayDemand,
        key: DemandKey,
        entry: DemandEntry,
        waiting: int,
        now_s: float,
    ) -> None:
        if entry.waiting <= 0:
            self._remove(gateway, gateway_demand, key)
            return
        if not (math.isfinite(entry.head_cost_tokens) and entry.head_kv_tokens >= 0):
            self.dropped_count += 1
            return
        demand = gateway_demand.entries.get(key)
        if demand is None:
            demand = gateway_demand.entries[key] = Demand(gateway, entry, waiting)
            self._gateway_counts[key] = self._gateway_counts.get(key, 0) + 1
            self._waiting_since_s.setdefault(key, now_s)
        demand.entry, demand.unoffered = entry, waiting
        if waiting > 0:
            pool, workspace, work_class = key
            by_workspace = self._index.setdefault(pool, {})
            by_class = by_workspace.setdefault(workspace, {})
            by_gateway = by_class.setdefault(work_class, {})
            if gateway not in by_gateway:
                # A queue that was empty starts at the lowest turn of the others.
                turns = [d.turn for d in by_gateway.values()]
                demand.turn = max(demand.turn, min(turns, default=0.0))
            by_gateway[gateway] = demand
        else:
            self._unindex(gateway, key)

    def _remove(
        self, gateway: str, gateway_demand: _GatewayDemand, key: DemandKey
    ) -> None:
        if gateway_demand.entries.pop(key, None) is None:
            return
        self._unindex(gateway, key)
        self._gateway_counts[key] -= 1
        if not self._gateway_counts[key]:
            del self._gateway_counts[key], self._waiting_since_s[key]

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
