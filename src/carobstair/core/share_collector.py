"""Sums of the demand at all routers, collected in two levels.

The routers of a zone report to one of them, the collector, which exchanges the sums
with the collectors of the other zones and tells each router what the others have. Few
messages cross zones, and each router learns of a surge anywhere within three
intervals, however large the fleet is. A collector holds no state that must survive:
whoever receives reports is one, and reports that are not repeated expire.
"""

from __future__ import annotations

import math
from collections.abc import Collection, Iterable, Mapping
from dataclasses import dataclass, field

import msgspec

from carobstair.core.share_messages import PoolDemand, ShareTotals
from carobstair.core.shares import rendezvous_rank

__all__ = ["CollectorChoice", "ShareCollector", "ShareSettings", "ranked_collectors"]


@dataclass(frozen=True, slots=True)
class ShareSettings:
    """Intervals of the exchange of demand.

    Attributes
    ----------
    interval_s : float
        Interval of reports and totals in zones of up to `full_rate_routers`; in
        larger ones it grows in proportion, so that a collector's work is bounded.
    loaded_interval_s : float
        The same while the engines of a pool that conserves work are loaded, in zones of
        up to `loaded_full_rate_routers`: half of their slots pass to other requests
        within half a second. A collector of 23 routers then handles 460 reports a
        second.
    expiry_intervals : int
        Intervals after which a report or sum that was not repeated is dropped: long
        enough for the routers of a zone to find another collector. These are those of
        routers without load, also below.
    load_intervals : int
        Intervals after which the load in a report that was not repeated no longer
        counts: requests of a router that ended have left the engines by then, and the
        others would leave them idle.
    answer_intervals : int
        Intervals after which a collector that does not answer is passed over.
    replaced_intervals : int
        Intervals without a sum after which a collector is replaced by another one of
        its zone; until then both may have a part of the routers.
    avoid_s : float
        How long a collector that did not answer is passed over.
    """

    interval_s: float = 0.2
    full_rate_routers: int = 65
    loaded_interval_s: float = 0.05
    loaded_full_rate_routers: int = 23
    expiry_intervals: int = 12
    load_intervals: int = 4
    answer_intervals: int = 4
    replaced_intervals: int = 2
    avoid_s: float = 5.0

    def scaled_interval_s(self, routers: int) -> float:
        """Return the interval in a zone with a number of routers."""
        return self.interval_s * max(1.0, routers / self.full_rate_routers)

    def scaled_loaded_interval_s(self, routers: int) -> float:
        """Return the interval in a zone with a number of routers under load."""
        scale = max(1.0, routers / self.loaded_full_rate_routers)
        return min(self.loaded_interval_s * scale, self.scaled_interval_s(routers))


@dataclass(slots=True)
class CollectorChoice:
    """Chooses the collector of a zone among the routers that are heard.

    Parameters
    ----------
    settings : ShareSettings
    """

    settings: ShareSettings = ShareSettings()
    _asked: str = ""
    _answered_s: float = -math.inf
    _avoided_until_s: dict[str, float] = field(default_factory=dict)

    def choose(
        self, zone: str, own: str, routers: Collection[str], now_s: float
    ) -> str:
        """Return the collector of this router's own zone.

        Parameters
        ----------
        routers : collection of str
            The zone's routers that are heard, without this one.
        """
        if self._asked not in ("", own):
            intervals = self.settings.answer_intervals
            limit_s = intervals * self.settings.scaled_interval_s(len(routers) + 1)
            if now_s - self._answered_s > limit_s:
                self._avoided_until_s[self._asked] = now_s + self.settings.avoid_s
        for name in [n for n, t in self._avoided_until_s.items() if t <= now_s]:
            del self._avoided_until_s[name]
        names = [name for name in routers if name not in self._avoided_until_s]
        chosen = ranked_collectors(zone, [*names, own])[0]
        if chosen != self._asked:
            self._asked, self._answered_s = chosen, now_s
        return chosen

    def note_answer(self, collector: str, now_s: float) -> None:
        """Record totals that came from a collector."""
        if collector == self._asked:
            self._answered_s = now_s


def ranked_collectors(zone: str, routers: Iterable[str]) -> list[str]:
    """Return the routers that may collect for a zone, the first one first."""
    return rendezvous_rank(f"collector\0{zone}", sorted(set(routers)))


@dataclass(slots=True)
class _Received:
    pools: Mapping[str, PoolDemand]
    at_s: float
    zone: str = ""


@dataclass(slots=True)
class ShareCollector:
    """Sums reports of routers and totals of other collectors.

    Parameters
    ----------
    settings : ShareSettings
    """

    settings: ShareSettings = ShareSettings()
    _reports: dict[str, _Received] = field(default_factory=dict)
    _zones: dict[str, _Received] = field(default_factory=dict)

    def note_report(
        self, router: str, pools: Mapping[str, PoolDemand], now_s: float
    ) -> None:
        """Replace the report of a router."""
        self._reports[router] = _Received(pools, now_s)

    def note_zone(
        self, collector: str, zone: str, pools: Mapping[str, PoolDemand], now_s: float
    ) -> None:
        """Replace the sums of another collector, and of those that it replaces."""
        self._zones[collector] = _Received(pools, now_s, zone)

    def expire(self, interval_s: float, now_s: float) -> None:
        """Drop what was not repeated.

        Parameters
        ----------
        interval_s : float
            Interval at which reports and sums come.
        """
        since_s = now_s - self.settings.expiry_intervals * interval_s
        for received in (self._reports, self._zones):
            for name in [n for n, r in received.items() if r.at_s < since_s]:
                del received[name]
        load_s = now_s - self.settings.load_intervals * interval_s
        for report in self._reports.values():
            if report.at_s < load_s:
                report.pools = {
                    pool: _without_load(row) for pool, row in report.pools.items()
                }
        replaced_s = self.settings.replaced_intervals * interval_s
        newest_s: dict[str, float] = {}
        for row in self._zones.values():
            newest_s[row.zone] = max(row.at_s, newest_s.get(row.zone, row.at_s))
        for name, row in list(self._zones.items()):
            if row.at_s < newest_s[row.zone] - replaced_s:
                del self._zones[name]

    @property
    def reporters(self) -> list[str]:
        """Names of the routers whose reports are held."""
        return list(self._reports)

    @property
    def collectors(self) -> list[str]:
        """Names of the collectors whose sums are held."""
        return list(self._zones)

    def is_loaded(self, limit: float) -> bool:
        """Return whether routers report engines that are loaded beyond a limit."""
        return any(
            row.engines and row.pressures > limit * row.samples
            for received in self._reports.values()
            for row in received.pools.values()
        )

    def zone_totals(self) -> dict[str, PoolDemand]:
        """Return the sums over the routers that report to this one."""
        return _sum(received.pools for received in self._reports.values())

    def fleet_totals(self) -> dict[str, PoolDemand]:
        """Return the sums over all routers."""
        zones = [received.pools for received in self._zones.values()]
        return _sum([self.zone_totals(), *zones])

    def totals_for(self, router: str, fleet: Mapping[str, PoolDemand]) -> ShareTotals:
        """Return what a router is told: the sums over the fleet without itself."""
        own = self._reports[router].pools
        return ShareTotals(
            {pool: _subtract(row, own.get(pool)) for pool, row in fleet.items()},
            {pool: row.log_factors for pool, row in own.items() if row.samples},
        )


def _without_load(row: PoolDemand) -> PoolDemand:
    """Return the demand of a row whose load was estimated by engine."""
    if not row.engines:
        return row
    return msgspec.structs.replace(row, admitted=0, engines={}, backlog_tokens=0)


def _sum(parts: Iterable[Mapping[str, PoolDemand]]) -> dict[str, PoolDemand]:
    grouped: dict[str, list[PoolDemand]] = {}
    for part in parts:
        for pool, row in part.items():
            grouped.setdefault(pool, []).append(row)
    return {pool: _sum_rows(rows) for pool, rows in grouped.items()}


def _sum_rows(rows: list[PoolDemand]) -> PoolDemand:
    return PoolDemand(
        _sum_counts(row.demands for row in rows),
        sum(row.admitted for row in rows),
        sum(row.samples for row in rows),
        sum(row.log_factors for row in rows),
        sum(row.pressures for row in rows),
        sum(row.slots_used for row in rows),
        sum(row.limited_tokens for row in rows),
        sum(row.limited_requests_per_ks for row in rows),
        _sum_counts(row.engines for row in rows),
        sum(row.backlog_tokens for row in rows),
        _sum_counts(row.returned for row in rows),
    )


def _subtract(total: PoolDemand, part: PoolDemand | None) -> PoolDemand:
    if part is None:
        return total
    return PoolDemand(
        _subtract_counts(total.demands, part.demands),
        total.admitted - part.admitted,
        total.samples - part.samples,
        total.log_factors - part.log_factors,
        total.pressures - part.pressures,
        total.slots_used - part.slots_used,
        total.limited_tokens - part.limited_tokens,
        total.limited_requests_per_ks - part.limited_requests_per_ks,
        _subtract_counts(total.engines, part.engines),
        total.backlog_tokens - part.backlog_tokens,
        _subtract_counts(total.returned, part.returned),
    )


def _sum_counts(parts: Iterable[Mapping[str, int]]) -> dict[str, int]:
    sums: dict[str, int] = {}
    for part in parts:
        for name, count in part.items():
            sums[name] = sums.get(name, 0) + count
    return sums


def _subtract_counts(
    total: Mapping[str, int], part: Mapping[str, int]
) -> dict[str, int]:
    left = {name: count - part.get(name, 0) for name, count in total.items()}
    return {name: count for name, count in left.items() if count > 0}
