"""Choice of the upstream for a request, and the check directly before its send."""

from __future__ import annotations

import random
from collections.abc import Collection
from dataclasses import dataclass, field

import xxhash

from carobstair.core.directory import UpstreamDirectory, UpstreamEntry
from carobstair.core.engine_load import LoadTracker, PromptShape
from carobstair.core.rate_limits import StatedRates
from carobstair.core.routing import ServicePool
from carobstair.core.send_limits import ColdSendLimit, ResendLimit
from carobstair.core.upstream_health import UpstreamHealth

__all__ = ["Dispatcher"]

# Admission reads the fraction for each request; demand changes more slowly than this.
USABLE_FRACTION_TTL_S = 0.05


@dataclass(slots=True)
class Dispatcher:
    """Placement over the upstreams that may receive requests now.

    Parameters
    ----------
    name : str
        Name of this router, from which its rank among the others is computed.
    """

    name: str
    directory: UpstreamDirectory
    loads: LoadTracker
    health: UpstreamHealth
    cold: ColdSendLimit
    resends: ResendLimit
    rng: random.Random
    routers: frozenset[str] = field(default_factory=frozenset)
    rates: StatedRates = field(default_factory=StatedRates)
    # Ranks by upstream for the routers from which they were computed.
    _ranks: dict[str, int] = field(default_factory=dict)
    _ranked_routers: frozenset[str] = field(default_factory=frozenset)
    _usable_fractions: dict[str, tuple[float, float]] = field(default_factory=dict)

    def choose(
        self,
        pool: ServicePool,
        prompt: PromptShape,
        avoided: Collection[str],
        now_s: float,
    ) -> UpstreamEntry | None:
        """Return the upstream for a request, or None if none is available."""
        warm, cold = self.directory.warm_and_cold(pool.name, now_s)
        entries = {
            entry.upstream_id: entry
            for entry in [
                *warm,
                *(e for e in cold if self._cold_limit_allows(e, pool, now_s)),
            ]
            if entry.upstream_id not in avoided
        }
        if not entries:
            return None
        stall_durations_s = self.loads.stall_durations_s(entries, now_s)
        healthy = self.health.preferred(entries, stall_durations_s, now_s)
        candidates = ((u, entries[u].zone) for u in healthy)
        if pool.engine is not None:
            return entries[self.loads.pick(candidates, prompt, self.rng, now_s)]
        return entries[self.loads.pick_plain(candidates, self.rng)]

    def confirm(self, entry: UpstreamEntry, pool: ServicePool, now_s: float) -> bool:
        """Return whether a request may still be sent; call directly before the send.

        If so, the send is counted towards the limit of a cold upstream.
        """
        if not self.directory.is_usable(entry, now_s):
            return False
        if not self._cold_limit_allows(entry, pool, now_s):
            return False
        if pool.cold_rate > 0:
            self.cold.note_send(entry.upstream_id, now_s)
        self.rates.note_send((entry.upstream_id, entry.born_ms), now_s)
        return True

    def note_unreachable(
        self, entry: UpstreamEntry, pool: ServicePool, now_s: float
    ) -> None:
        """Record a failed connection to an upstream.

        The upstream may have restarted, and be cold, before the store shows it.
        """
        self.health.note_unreachable(entry.upstream_id, now_s)
        if pool.cold_rate > 0:
            until_s = now_s + pool.cold_start_s
            self.directory.mark_cold(entry.upstream_id, until_s)

    def usable_fraction(self, service: str, now_s: float) -> float:
        """Return the fraction of a service's listed upstreams that are usable.

        The result is cached for `USABLE_FRACTION_TTL_S`; it is 1 if none is usable.
        """
        known = self._usable_fractions.get(service)
        if known is None or now_s - known[0] >= USABLE_FRACTION_TTL_S:
            entries, listed = self.directory.usable_and_listed_count(service, now_s)
            fraction = len(entries) / listed if entries else 1.0
            known = self._usable_fractions[service] = now_s, fraction
        return known[1]

    def queue_wait_s(
        self, pool: ServicePool, prompt: PromptShape, now_s: float
    ) -> float:
        """Return the expected wait at the upstream that would be chosen now.

        It is 0 if none is available, as this may change within milliseconds.
        """
        entry = self.choose(pool, prompt, (), now_s)
        if entry is None:
            return 0.0
        return self.loads.queue_wait_s(entry.upstream_id, entry.slots, now_s)

    def slots_used(self, service: str, now_s: float) -> float:
        """Return the requests at a service's engines relative to their slots."""
        entries = self.directory.usable(service, now_s)
        return self.loads.slots_used({e.upstream_id: e.slots for e in entries}, now_s)

    def pressure(self, service: str, now_s: float) -> float:
        """Return the load of a service's engines relative to its target (1.0)."""
        entries = self.directory.usable(service, now_s)
        return self.loads.pressure({e.upstream_id: e.slots for e in entries}, now_s)

    def rank(self, upstream_id: str) -> int:
        """Return this router's rank among all for an upstream (rendezvous hashing)."""
        if self._ranked_routers is not self.routers:
            self._ranked_routers, self._ranks = self.routers, {}
        rank = self._ranks.get(upstream_id)
        if rank is None:
            own = _rendezvous_hash(self.name, upstream_id)
            rank = self._ranks[upstream_id] = sum(
                _rendezvous_hash(router, upstream_id) > own
                for router in self.routers
                if router != self.name
            )
        return rank

    def _cold_limit_allows(
        self, entry: UpstreamEntry, pool: ServicePool, now_s: float
    ) -> bool:
        if pool.cold_rate <= 0 or not self.directory.is_cold(entry, now_s):
            return True
        routers = len(self.routers) + (self.name not in self.routers)
        quota = self.cold.quota(pool.cold_rate, routers, self.rank(entry.upstream_id))
        return self.cold.allows(entry.upstream_id, quota, now_s)


def _rendezvous_hash(router: str, upstream_id: str) -> int:
    return xxhash.xxh64_intdigest(f"{router}/{upstream_id}".encode())
