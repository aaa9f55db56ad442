"""Choice of the upstream for a request, and the check directly before its send."""

from __future__ import annotations

import math
import random
from collections.abc import Callable, Collection, Mapping
from dataclasses import dataclass, field

import xxhash

from carobstair.core.directory import UpstreamDirectory, UpstreamEntry
from carobstair.core.engine_load import LoadTracker, PromptShape
from carobstair.core.rate_limits import (
    PermitDesk,
    PermitOutlook,
    ServiceThroughput,
    StatedRates,
    service_throughput,
)
from carobstair.core.rollouts import VersionGate
from carobstair.core.routing import ServicePool
from carobstair.core.send_limits import ColdSendLimit, ResendLimit
from carobstair.core.upstream_health import UpstreamHealth

__all__ = ["Dispatcher"]

# Admission reads it for each request; demand changes more slowly than this.
THROUGHPUT_TTL_S = 0.05


@dataclass(slots=True)
class Dispatcher:
    """Placement over the upstreams that may receive requests now.

    Parameters
    ----------
    name : str
        Name of this router, from which its rank among the others is computed.
    versions : VersionGate or None
        Filters upstreams by their version, where roll-outs are in force.
    """

    name: str
    directory: UpstreamDirectory
    loads: LoadTracker
    health: UpstreamHealth
    cold: ColdSendLimit
    resends: ResendLimit
    rng: random.Random
    routers: frozenset[str] = field(default_factory=frozenset)
    # Leaves out engines at which a request should not be placed now; some remain. The
    # last argument is the homes of the request's shared part, in order of rank.
    narrow: Callable[
        [str, set[str], PromptShape, float, Collection[str]], Collection[str]
    ] = lambda service, ids, prompt, now_s, homes: ids
    versions: VersionGate | None = None
    permits: PermitDesk = field(init=False)
    # Ranks by upstream for the routers from which they were computed.
    _ranks: dict[str, int] = field(default_factory=dict)
    _ranked_routers: frozenset[str] = field(default_factory=frozenset)
    _throughputs: dict[str, tuple[float, ServiceThroughput]] = field(
        default_factory=dict
    )

    def __post_init__(self) -> None:
        self.permits = PermitDesk(self.name)
        self.permits.count_routers = self._count_routers

    @property
    def rates(self) -> StatedRates:
        """Rates that upstreams have stated."""
        return self.permits.rates

    def choose(
        self,
        pool: ServicePool,
        prompt: PromptShape,
        avoided: Collection[str],
        now_s: float,
        max_wait_s: float = math.inf,
        version_draw: float = 1.0,
    ) -> UpstreamEntry | None:
        """Return the upstream for a request, or None if none is available.

        Parameters
        ----------
        max_wait_s : float
            Longest wait for a permit, where an upstream limits its requests.
        version_draw : float
            See `VersionGate.groups`.
        """
        warm, cold = self.directory.warm_and_cold(pool.name, now_s)
        groups = None
        if self.versions is not None:
            groups = self.versions.groups(pool.name, version_draw, now_s)
        if groups is None:
            return self._choose(pool, prompt, avoided, now_s, max_wait_s, warm, cold)
        for group in groups:
            entry = self._choose(
                pool,
                prompt,
                avoided,
                now_s,
                max_wait_s,
                [e for e in warm if e.upstream_id in group],
                [e for e in cold if e.upstream_id in group],
            )
            if entry is not None:
                return entry
        return None

    def _choose(
        self,
        pool: ServicePool,
        prompt: PromptShape,
        avoided: Collection[str],
        now_s: float,
        max_wait_s: float,
        warm: list[UpstreamEntry],
        cold: list[UpstreamEntry],
    ) -> UpstreamEntry | None:
        entries = {
            entry.upstream_id: entry
            for entry in [
                *warm,
                *(e for e in cold if self._cold_limit_allows(e, pool, now_s)),
            ]
            if entry.upstream_id not in avoided
        }
        permits = self._permits_of(entries, now_s)
        for upstream_id, permit in permits.items():
            if permit.wait_s > max_wait_s:
                del entries[upstream_id]
        if not entries:
            return None
        stall_durations_s = self.loads.stall_durations_s(entries, now_s)
        healthy = self.health.preferred(entries, stall_durations_s, now_s)
        loads, name = self.loads, pool.name
        if pool.engine is None:
            placeable = self.narrow(name, healthy, prompt, now_s, ())
            candidates = ((u, entries[u].zone) for u in placeable)
            return entries[loads.pick_plain(candidates, self.rng, permits, now_s, name)]
        cold_ids = {e.upstream_id for e in cold}
        zones = ((u, entries[u].zone) for u in healthy)
        # Among the engines that remain, any would be ranked as a home.
        homes = loads.home_terms(zones, prompt, name, now_s, cold_ids, self.rng)
        placeable = self.narrow(name, healthy, prompt, now_s, homes.discounts)
        candidates = ((u, entries[u].zone) for u in placeable)
        return entries[
            loads.pick(
                candidates, prompt, self.rng, now_s, permits, name, cold_ids, homes
            )
        ]

    def permit_wait_s(
        self, service: str, avoided: Collection[str], now_s: float
    ) -> float | None:
        """Return the shortest wait for a permit at a service's upstreams.

        None if some upstream needs no permit or none is usable.
        """
        entries = {
            entry.upstream_id: entry
            for entry in self.directory.usable(service, now_s)
            if entry.upstream_id not in avoided
        }
        permits = self._permits_of(entries, now_s)
        if not permits or len(permits) < len(entries):
            return None
        return min(permit.wait_s for permit in permits.values())

    def _permits_of(
        self, entries: Mapping[str, UpstreamEntry], now_s: float
    ) -> dict[str, PermitOutlook]:
        """Return the next permits of those upstreams that limit requests."""
        limited = self.rates.limited()
        if not limited:
            return {}
        keys = ((upstream_id, e.born_ms) for upstream_id, e in entries.items())
        return {
            key[0]: self.permits.outlook(key, now_s) for key in keys if key in limited
        }

    def confirm(self, entry: UpstreamEntry, pool: ServicePool, now_s: float) -> bool:
        """Return whether a request may still be sent; call directly before the send.

        If so, the send is counted towards the limit of a cold upstream.
        """
        if not self.directory.is_usable(entry, now_s):
            return False
        if self.versions is not None and not self.versions.allows(entry, now_s):
            return False
        if not self._cold_limit_allows(entry, pool, now_s):
            return False
        if pool.cold_rate > 0:
            self.cold.note_send(entry.upstream_id, now_s)
        if self.loads.has_capacity_estimates(pool.name):
            self.loads.note_send(
                entry.upstream_id,
                pool.name,
                entry.born_ms,
                self.directory.is_cold(entry, now_s),
            )
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

    def throughput(
        self,
        service: str,
        tokens_per_s: float,
        request_tokens: float,
        factor: float,
        now_s: float,
    ) -> ServiceThroughput:
        """Return the throughput of a service's usable upstreams.

        It is that of all upstreams if none is usable, and cached for
        `THROUGHPUT_TTL_S`.

        Parameters
        ----------
        tokens_per_s : float
            Nominal throughput of all listed upstreams.
        request_tokens : float
            Mean tokens of a request; 0 if unknown.
        factor : float
            Throughput that upstreams without limit give, relative to the nominal one.
        """
        known = self._throughputs.get(service)
        if known is not None and now_s - known[0] < THROUGHPUT_TTL_S:
            return known[1]
        entries, listed = self.directory.usable_and_listed_count(service, now_s)
        if self.versions is not None:
            entries = self.versions.in_use(service, entries, now_s)
            listed = max(1, listed - self.versions.hidden_count(service, now_s))
        throughput = ServiceThroughput(tokens_per_s)
        if entries:
            throughput = service_throughput(
                [(entry.upstream_id, entry.born_ms) for entry in entries],
                tokens_per_s / listed,
                self.rates,
                request_tokens,
                factor,
            )
        self._throughputs[service] = now_s, throughput
        return throughput

    def queue_wait_s(
        self, pool: ServicePool, prompt: PromptShape, now_s: float
    ) -> float:
        """Return the expected wait at the upstream that would be chosen now.

        It is 0 if none is available, as this may change within milliseconds.
        """
        entry = self.choose(pool, prompt, (), now_s)
        if entry is None:
            return 0.0
        wait_s = self.loads.queue_wait_s(entry.upstream_id, entry.slots, now_s)
        return wait_s + self.permits.wait_s((entry.upstream_id, entry.born_ms), now_s)

    def slots_used(self, service: str, now_s: float) -> float:
        """Return the requests at a service's engines relative to their slots."""
        entries = self.in_use(service, now_s)
        return self.loads.slots_used({e.upstream_id: e.slots for e in entries}, now_s)

    def pressure(self, service: str, now_s: float) -> float:
        """Return the load of a service's engines relative to its target (1.0)."""
        entries = {e.upstream_id: e for e in self.in_use(service, now_s)}
        known = self._throughputs.get(service)
        return self.loads.pressure(
            {upstream_id: e.slots for upstream_id, e in entries.items()},
            now_s,
            self._permits_of(entries, now_s),
            known[1].limited_parts if known is not None else {},
        )

    def in_use(self, service: str, now_s: float) -> list[UpstreamEntry]:
        """Return the usable upstreams that get ordinary requests."""
        entries = self.directory.usable(service, now_s)
        if self.versions is None:
            return entries
        return self.versions.in_use(service, entries, now_s)

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
        rank = self.rank(entry.upstream_id)
        quota = self.cold.quota(pool.cold_rate, self._count_routers(), rank)
        return self.cold.allows(entry.upstream_id, quota, now_s)

    def _count_routers(self) -> int:
        return len(self.routers) + (self.name not in self.routers)


def _rendezvous_hash(router: str, upstream_id: str) -> int:
    return xxhash.xxh64_intdigest(f"{router}/{upstream_id}".encode())
