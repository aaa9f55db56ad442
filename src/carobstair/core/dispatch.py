"""Which upstream a request goes to, and whether it may still be sent there."""

from __future__ import annotations

import random
from collections.abc import Collection
from dataclasses import dataclass, field

import xxhash

from carobstair.core.directory import UpstreamDirectory, UpstreamEntry
from carobstair.core.engine_load import LoadBook, PromptShape
from carobstair.core.routing import ServicePool
from carobstair.core.send_limits import ColdSendLimit, ResendLimit
from carobstair.core.upstream_health import UpstreamHealth

__all__ = ["Dispatcher"]

# Short against the time in which demand changes.
FITNESS_KEPT_S = 0.05


@dataclass(slots=True)
class Dispatcher:
    """Placement over the upstreams that may be sent requests now.

    Parameters
    ----------
    name : str
        Name of this router, which decides its rank among the others.
    """

    name: str
    directory: UpstreamDirectory
    loads: LoadBook
    health: UpstreamHealth
    cold: ColdSendLimit
    resends: ResendLimit
    rng: random.Random
    routers: frozenset[str] = field(default_factory=frozenset)
    _fitness: dict[str, tuple[float, float]] = field(default_factory=dict)

    def choose(
        self,
        pool: ServicePool,
        prompt: PromptShape,
        avoided: Collection[str],
        now_s: float,
    ) -> UpstreamEntry | None:
        """Return the upstream that a request should go to, or None."""
        warm, cold = self.directory.split(pool.name, now_s)
        entries = {
            entry.upstream_id: entry
            for entry in [*warm, *(e for e in cold if self._admits(e, pool, now_s))]
            if entry.upstream_id not in avoided
        }
        if not entries:
            return None
        stalls = self.loads.stalls(entries, now_s)
        sound = self.health.preferred(entries, stalls, now_s)
        candidates = ((u, entries[u].zone) for u in sound)
        if pool.engine is not None:
            return entries[self.loads.pick(candidates, prompt, self.rng)]
        return entries[self.loads.pick_plain(candidates, self.rng)]

    def confirm(self, entry: UpstreamEntry, pool: ServicePool, now_s: float) -> bool:
        """Return whether a request may be sent, directly before the send.

        Counts the send towards the limit of a cold upstream.
        """
        if not self.directory.is_usable(entry, now_s):
            return False
        if not self._admits(entry, pool, now_s):
            return False
        if pool.cold_rate > 0:
            self.cold.note_send(entry.upstream_id, now_s)
        return True

    def note_unreachable(
        self, entry: UpstreamEntry, pool: ServicePool, now_s: float
    ) -> None:
        """Note that no connection to an upstream came about.

        It may come back cold before the store says so.
        """
        self.health.note_unreachable(entry.upstream_id, now_s)
        if pool.cold_rate > 0:
            until_s = now_s + pool.cold_start_s
            self.directory.mark_cold(entry.upstream_id, until_s)

    def fitness(self, service: str, now_s: float) -> float:
        """Return which part of a service's listed upstreams can be used.

        It is kept for a moment, as admission asks for each request.
        """
        known = self._fitness.get(service)
        if known is None or now_s - known[0] >= FITNESS_KEPT_S:
            entries, listed = self.directory.counts(service, now_s)
            part = len(entries) / listed if entries else 1.0
            known = self._fitness[service] = now_s, part
        return known[1]

    def pressure(self, service: str, now_s: float) -> float:
        """Return how loaded the engines are; 1 is as much as they should be."""
        entries = self.directory.usable(service, now_s)
        return self.loads.pressure({e.upstream_id: e.slots for e in entries})

    def rank(self, upstream_id: str) -> int:
        """Return this router's place among all for an upstream."""
        own = _weight(self.name, upstream_id)
        return sum(
            _weight(router, upstream_id) > own
            for router in self.routers
            if router != self.name
        )

    def _admits(self, entry: UpstreamEntry, pool: ServicePool, now_s: float) -> bool:
        if pool.cold_rate <= 0 or not self.directory.is_cold(entry, now_s):
            return True
        routers = max(1, len(self.routers | {self.name}))
        part = self.cold.part(pool.cold_rate, routers, self.rank(entry.upstream_id))
        return self.cold.allows(entry.upstream_id, part, now_s)


def _weight(router: str, upstream_id: str) -> int:
    return xxhash.xxh64_intdigest(f"{router}/{upstream_id}".encode())
