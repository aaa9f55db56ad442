"""Sequential test of a new version's answers against those of the old version.

For each route and for all together, two cumulative sums (Page's test) watch the part
of answers that are bad and the part that are slow. A sum grows with each answer that
is likelier under a worse version and falls to zero with good ones, so a version that
turns bad late is found as fast as one that was bad from the start.

Single upstreams that fail say nothing of their version: each sum is also kept without
the answers of each upstream. The smallest of these, less what a few other upstreams
contributed that stand out by themselves, must be evidence as well.
"""

from __future__ import annotations

import math
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field

from carobstair.core.rollouts.counts import (
    MAX_TIME_CLASS,
    TIME_CLASS_FACTOR,
    RowKey,
    VersionCounts,
)

__all__ = ["EvidenceSettings", "Finding", "VersionEvidence"]

ALL_ROUTES = ""


@dataclass(frozen=True, slots=True)
class EvidenceSettings:
    """Thresholds of the sequential test.

    Attributes
    ----------
    bad_limit, slow_limit : float
        Sums (natural logarithms of likelihood ratios) at which a version is bad.
        Chosen by simulation: wrong in fewer than 1 in 100 roll-outs.
    rest_part : float
        Part of the limit that the sum must reach without the worst upstreams.
    upstreams_per_worst : int
        One upstream is left out, and another for each of these that are in use.
    worst_limit : float
        Sum of one upstream from which it stands out: more than a single bad answer.
    bad_rise, slow_rise : float
        By how much the part of bad or slow answers rises in a bad version: just below
        the smallest rise that must be found, 5 and 10 %.
    min_bad_rate, min_slow_rate : float
        Parts that are assumed of the old version at least.
    slow_factor : float
        Answers are slow beyond the old version's median times this.
    old_memory_s : float
        Time constant of the old version's rates: the load changes meanwhile.
    min_old_answers : float
        Answers of the old version from which its median for a size is known.
    burst_s, max_broken, max_slow : float or int
        Broken and slow answers of one upstream within a time that count at most: an
        upstream that ends breaks all its answers, a neighbour slows many at once.
    """

    bad_limit: float = 6.0
    slow_limit: float = 8.0
    rest_part: float = 0.65
    upstreams_per_worst: int = 5
    worst_limit: float = 4.0
    bad_rise: float = 0.045
    slow_rise: float = 0.1
    min_bad_rate: float = 0.004
    min_slow_rate: float = 0.03
    slow_factor: float = 2.0
    old_memory_s: float = 4.0
    min_old_answers: float = 15.0
    burst_s: float = 1.0
    max_broken: int = 2
    max_slow: int = 8


@dataclass(frozen=True, slots=True)
class Finding:
    """Why a version was found bad."""

    kind: str
    route: str
    score: float


@dataclass(slots=True)
class _Sum:
    """Cumulative sum over all upstreams, and without each one."""

    total: float = 0.0
    without: dict[str, float] = field(default_factory=dict)
    own: dict[str, float] = field(default_factory=dict)

    def add(self, parts: Mapping[str, float]) -> None:
        """Add the contributions of upstreams."""
        for upstream, part in parts.items():
            self.without.setdefault(upstream, self.total)
            self.own[upstream] = max(0.0, self.own.get(upstream, 0.0) + part)
        whole = sum(parts.values())
        for upstream, value in self.without.items():
            rise = whole - parts.get(upstream, 0.0)
            self.without[upstream] = max(0.0, value + rise)
        self.total = max(0.0, self.total + whole)

    def score(self, upstreams: int, settings: EvidenceSettings) -> float:
        """Return the sum that counts, for a number of upstreams that are in use."""
        if upstreams < 2 or not self.without:
            return self.total
        others = upstreams // settings.upstreams_per_worst
        worst = sorted(self.own.values(), reverse=True)[1 : 1 + others]
        outliers = sum(value for value in worst if value >= settings.worst_limit)
        rest = min(self.without.values()) - outliers
        return min(self.total, max(0.0, rest) / settings.rest_part)


@dataclass(slots=True)
class _OldRates:
    """Recent counts of the old version on one route."""

    trials: float = 0.0
    bad: float = 0.0

    def decay(self, factor: float) -> None:
        self.trials *= factor
        self.bad *= factor


@dataclass(slots=True)
class _Burst:
    began_s: float = -math.inf
    broken: int = 0
    slow: int = 0


@dataclass(slots=True)
class VersionEvidence:
    """Evidence about one order, from the sums over all routers.

    Parameters
    ----------
    settings : EvidenceSettings

    Attributes
    ----------
    finding : Finding or None
        Why the version is bad.
    suspicion, doubt : float
        Largest sum relative to its limit, without the worst upstreams and with them.
    """

    settings: EvidenceSettings = EvidenceSettings()
    finding: Finding | None = None
    suspicion: float = 0.0
    doubt: float = 0.0
    _seen: dict[RowKey, VersionCounts] = field(default_factory=dict)
    _old: dict[str, _OldRates] = field(default_factory=dict)
    _old_first: dict[tuple[str, int], dict[int, float]] = field(default_factory=dict)
    _sums: dict[tuple[str, str], _Sum] = field(default_factory=dict)
    _bursts: dict[str, _Burst] = field(default_factory=dict)
    _updated_s: float = -math.inf

    def update(
        self, totals: Mapping[RowKey, VersionCounts], upstreams: int, now_s: float
    ) -> None:
        """Judge what has come since the last update.

        Parameters
        ----------
        totals : mapping
            Cumulative sums over all routers.
        upstreams : int
            Number of upstreams of the new version that are in use.
        """
        deltas = {
            key: _subtract(counts, self._seen.get(key))
            for key, counts in totals.items()
            if key[0]
        }
        self._seen = {key: _copy(counts) for key, counts in totals.items()}
        self._note_old(deltas, now_s)
        bad: dict[str, dict[str, float]] = {}
        slow: dict[str, dict[str, float]] = {}
        for (route, size, upstream), delta in deltas.items():
            if not upstream:
                continue
            burst = self._burst(upstream, now_s)
            score = self._bad_score(route, delta, burst)
            _add(bad, route, upstream, score)
            _add(slow, route, upstream, self._slow_score(route, size, delta, burst))
        self._judge("bad", bad, self.settings.bad_limit, upstreams)
        self._judge("slow", slow, self.settings.slow_limit, upstreams)

    def _burst(self, upstream: str, now_s: float) -> _Burst:
        burst = self._bursts.get(upstream)
        if burst is None or now_s - burst.began_s >= self.settings.burst_s:
            burst = self._bursts[upstream] = _Burst(now_s)
        return burst

    def _note_old(self, deltas: Mapping[RowKey, VersionCounts], now_s: float) -> None:
        factor = 1.0
        if self._updated_s > -math.inf:
            factor = math.exp((self._updated_s - now_s) / self.settings.old_memory_s)
        self._updated_s = now_s
        for rates in self._old.values():
            rates.decay(factor)
        for first in self._old_first.values():
            for key in first:
                first[key] *= factor
        for (route, size, upstream), delta in deltas.items():
            if upstream:
                continue
            for name in (route, ALL_ROUTES):
                rates = self._old.setdefault(name, _OldRates())
                rates.trials += delta.trials
                rates.bad += delta.bad
            first = self._old_first.setdefault((route, size), {})
            for key, count in delta.first.items():
                first[key] = first.get(key, 0.0) + count

    def _bad_score(self, route: str, delta: VersionCounts, burst: _Burst) -> float:
        settings = self.settings
        broken = max(0, min(delta.broken, settings.max_broken - burst.broken))
        burst.broken += broken
        bad = delta.failed + broken
        trials = delta.trials - (delta.broken - broken)
        usual = self._usual_bad_rate(route)
        return _log_ratio(bad, trials, usual, usual + settings.bad_rise)

    def _usual_bad_rate(self, route: str) -> float:
        """Return an upper estimate of the part of the old version's bad answers."""
        overall = self._old.get(ALL_ROUTES, _OldRates())
        rates = self._old.get(route, _OldRates())
        # Few answers of a route count together with those of all routes.
        mean = (overall.bad + 0.5) / (overall.trials + 100.0)
        rate = (rates.bad + 50.0 * mean) / (max(0.0, rates.trials) + 50.0)
        error = math.sqrt(rate / (max(0.0, rates.trials) + 50.0))
        return min(0.9, max(self.settings.min_bad_rate, rate + error))

    def _slow_score(
        self, route: str, size: int, delta: VersionCounts, burst: _Burst
    ) -> float:
        settings = self.settings
        if not delta.first:
            return 0.0
        known = self._slow_class(route, size)
        if known is None:
            return 0.0
        limit, usual = known
        slow = sum(count for key, count in delta.first.items() if key >= limit)
        counted = max(0, min(slow, settings.max_slow - burst.slow))
        burst.slow += counted
        trials = sum(delta.first.values()) - (slow - counted)
        usual = min(0.8, max(settings.min_slow_rate, 1.2 * usual + 0.02))
        return _log_ratio(counted, trials, usual, min(0.95, usual + settings.slow_rise))

    def _slow_class(self, route: str, size: int) -> tuple[int, float] | None:
        """Return from which class on answers of a size are slow, and how many are.

        Larger prompts take longer, so those of the next size serve where the old
        version had too few of this one.
        """
        for candidate in (size, size + 1):
            first = self._old_first.get((route, candidate), {})
            total = sum(first.values())
            if total >= self.settings.min_old_answers:
                break
        else:
            return None
        below = 0.0
        median = MAX_TIME_CLASS
        for key in sorted(first):
            below += first[key]
            if below >= total / 2:
                median = key
                break
        factor = math.log(self.settings.slow_factor) / math.log(TIME_CLASS_FACTOR)
        limit = median + 1 + math.ceil(factor)
        beyond = sum(count for key, count in first.items() if key >= limit)
        return limit, beyond / total

    def _judge(
        self,
        kind: str,
        scores: Mapping[str, Mapping[str, float]],
        limit: float,
        upstreams: int,
    ) -> None:
        together: dict[str, float] = {}
        for parts in scores.values():
            for upstream, score in parts.items():
                together[upstream] = together.get(upstream, 0.0) + score
        # Suspicion is that of both kinds, so it starts anew with the first.
        if kind == "bad":
            self.suspicion = self.doubt = 0.0
        for route, parts in (*scores.items(), (ALL_ROUTES, together)):
            if parts:
                self._sums.setdefault((kind, route), _Sum()).add(parts)
        for (of_kind, route), known in self._sums.items():
            if of_kind != kind:
                continue
            score = known.score(upstreams, self.settings)
            self.suspicion = max(self.suspicion, score / limit)
            self.doubt = max(self.doubt, known.total / limit)
            if score >= limit and self.finding is None:
                self.finding = Finding(kind, route, round(score, 2))


def _log_ratio(hits: float, trials: float, usual: float, worse: float) -> float:
    misses = trials - hits
    return hits * math.log(worse / usual) + misses * math.log(
        (1.0 - worse) / (1.0 - usual)
    )


def _add(
    scores: dict[str, dict[str, float]], route: str, upstream: str, score: float
) -> None:
    parts = scores.setdefault(route, {})
    parts[upstream] = parts.get(upstream, 0.0) + score


def _copy(counts: VersionCounts) -> VersionCounts:
    copied = VersionCounts()
    copied.add(counts)
    return copied


def _subtract(counts: VersionCounts, seen: VersionCounts | None) -> VersionCounts:
    """Return what has come since; never less than nothing, if a router was dropped."""
    if seen is None:
        return counts
    names: Iterable[str] = ("sent", "neutral", "begun", "good", "failed", "broken")
    values = [max(0, getattr(counts, n) - getattr(seen, n)) for n in names]
    first = {
        key: rise
        for key, count in counts.first.items()
        if (rise := count - seen.first.get(key, 0)) > 0
    }
    return VersionCounts(*values, first)
