"""Passive health checks: failing and stalled upstreams, detected from requests.

Intended for an upstream whose own health check succeeds but which fails some of its
requests, stalls, or is gone before the store shows it.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, field

__all__ = ["HealthSettings", "UpstreamHealth"]


@dataclass(frozen=True, slots=True)
class HealthSettings:
    """Times and thresholds of passive health checks.

    Attributes
    ----------
    initial_backoff_s, max_backoff_s : float
        How long an upstream is avoided after a failed connection; doubled with each
        consecutive failure up to the maximum.
    error_weight : float
        Weight of the newest outcome in the error rate, an exponential average over
        about ten outcomes.
    error_threshold : float
        Error rate above which an upstream is avoided.
    error_margin : float
        How far above the median of the service the error rate must also be.
    stall_timeout_s : float
        Silence with unanswered requests after which an upstream is avoided.
    """

    initial_backoff_s: float = 0.3
    max_backoff_s: float = 2.0
    error_weight: float = 0.1
    error_threshold: float = 0.2
    error_margin: float = 0.15
    stall_timeout_s: float = 0.7


@dataclass(slots=True)
class _Record:
    unreachable: int = 0
    backoff_until_s: float = 0.0
    error_rate: float = 0.0
    updated_s: float = 0.0


@dataclass(slots=True)
class UpstreamHealth:
    """Health per upstream id."""

    settings: HealthSettings = HealthSettings()
    _records: dict[str, _Record] = field(default_factory=dict)

    def note_success(self, upstream_id: str, now_s: float) -> None:
        """Record a successful answer."""
        record = self._record(upstream_id)
        record.unreachable = 0
        record.error_rate *= 1 - self.settings.error_weight
        record.updated_s = now_s

    def note_error(self, upstream_id: str, now_s: float) -> None:
        """Record an answer that failed or broke off."""
        record = self._record(upstream_id)
        weight = self.settings.error_weight
        record.error_rate = record.error_rate * (1 - weight) + weight
        record.updated_s = now_s

    def note_unreachable(self, upstream_id: str, now_s: float) -> None:
        """Record a failed connection."""
        record = self._record(upstream_id)
        backoff_s = self.settings.initial_backoff_s * 2 ** min(record.unreachable, 8)
        record.unreachable += 1
        record.backoff_until_s = now_s + min(backoff_s, self.settings.max_backoff_s)
        record.updated_s = now_s

    def was_unreachable(self, upstream_id: str) -> bool:
        """Return whether the last connection attempt to an upstream failed."""
        record = self._records.get(upstream_id)
        return record is not None and record.unreachable > 0

    def preferred(
        self, upstream_ids: Iterable[str], stalled_s: dict[str, float], now_s: float
    ) -> set[str]:
        """Return the healthy upstreams; all if none is healthy.

        Parameters
        ----------
        stalled_s : dict
            Silence in seconds of each upstream with unanswered requests.
        """
        ids = list(upstream_ids)
        rates = {
            u: rate
            for u in ids
            if u in self._records and (rate := self.error_rate(u, now_s)) > 0.0
        }
        median = _median(rates.values(), len(ids))
        healthy = set()
        for u in ids:
            if stalled_s.get(u, 0.0) > self.settings.stall_timeout_s:
                continue
            if u not in self._records:
                healthy.add(u)
                continue
            if now_s < self._records[u].backoff_until_s:
                continue
            rate = rates.get(u, 0.0)
            is_outlier = rate - median > self.settings.error_margin
            if rate > self.settings.error_threshold and is_outlier:
                continue
            healthy.add(u)
        # If none is healthy, the fault is more likely on this router's side.
        return healthy if 3 * len(healthy) >= len(ids) else healthy or set(ids)

    def error_rate(self, upstream_id: str, now_s: float) -> float:
        """Return the error rate, which decays while an upstream gets no requests."""
        record = self._records.get(upstream_id)
        if record is None:
            return 0.0
        # Halves every two seconds without traffic, so that the upstream is tried again.
        return record.error_rate * 0.5 ** ((now_s - record.updated_s) / 2.0)

    def keep(self, upstream_ids: set[str]) -> None:
        """Drop the records of removed upstreams."""
        for upstream_id in set(self._records) - upstream_ids:
            del self._records[upstream_id]

    def _record(self, upstream_id: str) -> _Record:
        return self._records.setdefault(upstream_id, _Record())


def _median(rates: Iterable[float], count: int) -> float:
    """Return the median of `count` rates, of which those not given are 0."""
    given = sorted(rates)
    index = count // 2 - (count - len(given))
    return given[index] if index >= 0 and given else 0.0
