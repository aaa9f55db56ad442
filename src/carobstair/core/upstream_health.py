"""Upstreams that fail or stall, found from what they do to requests.

Answers the load of an upstream whose health check is good but which fails part
of its requests, stands still, or is gone before the store knows.
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
    first_rest_s, longest_rest_s : float
        How long an upstream rests after it could not be reached; doubled with
        each failure in a row.
    error_weight : float
        Weight of the newest outcome in the error rate: about the last ten count.
    error_rate : float
        Error rate from which an upstream is put behind its peers.
    error_margin : float
        How much worse than the middle one of its peers it must be.
    stalled_s : float
        Silence while an answer is owed, after which an upstream is avoided.
    """

    first_rest_s: float = 0.3
    longest_rest_s: float = 2.0
    error_weight: float = 0.1
    error_rate: float = 0.2
    error_margin: float = 0.15
    stalled_s: float = 0.7


@dataclass(slots=True)
class _Record:
    unreachable: int = 0
    rests_until_s: float = 0.0
    error_rate: float = 0.0
    touched_s: float = 0.0


@dataclass(slots=True)
class UpstreamHealth:
    """Health per upstream id."""

    settings: HealthSettings = HealthSettings()
    _records: dict[str, _Record] = field(default_factory=dict)

    def note_success(self, upstream_id: str, now_s: float) -> None:
        """Note a good answer."""
        record = self._record(upstream_id)
        record.unreachable = 0
        record.error_rate *= 1 - self.settings.error_weight
        record.touched_s = now_s

    def note_error(self, upstream_id: str, now_s: float) -> None:
        """Note an answer that failed or broke off."""
        record = self._record(upstream_id)
        weight = self.settings.error_weight
        record.error_rate = record.error_rate * (1 - weight) + weight
        record.touched_s = now_s

    def note_unreachable(self, upstream_id: str, now_s: float) -> None:
        """Note that no connection came about."""
        record = self._record(upstream_id)
        rest_s = self.settings.first_rest_s * 2 ** min(record.unreachable, 8)
        record.unreachable += 1
        record.rests_until_s = now_s + min(rest_s, self.settings.longest_rest_s)
        record.touched_s = now_s

    def was_unreachable(self, upstream_id: str) -> bool:
        """Return whether the last attempts to reach an upstream failed."""
        record = self._records.get(upstream_id)
        return record is not None and record.unreachable > 0

    def preferred(
        self, upstream_ids: Iterable[str], stalled_s: dict[str, float], now_s: float
    ) -> set[str]:
        """Return the upstreams that look sound; all where most look bad.

        Parameters
        ----------
        stalled_s : dict
            Silence in seconds by upstream, while an answer is owed.
        """
        ids = list(upstream_ids)
        rates = {
            u: rate
            for u in ids
            if u in self._records and (rate := self.error_rate(u, now_s)) > 0.0
        }
        middle = _middle(rates.values(), len(ids))
        sound = set()
        for u in ids:
            if stalled_s.get(u, 0.0) > self.settings.stalled_s:
                continue
            if u not in self._records:
                sound.add(u)
                continue
            if now_s < self._records[u].rests_until_s:
                continue
            rate = rates.get(u, 0.0)
            worse = rate - middle > self.settings.error_margin
            if rate > self.settings.error_rate and worse:
                continue
            sound.add(u)
        # With most of them out, the fault is more likely on this side.
        return sound if 3 * len(sound) >= len(ids) else sound or set(ids)

    def error_rate(self, upstream_id: str, now_s: float) -> float:
        """Return the error rate, which fades while an upstream rests."""
        record = self._records.get(upstream_id)
        if record is None:
            return 0.0
        # Halves each two seconds without traffic, so that it is tried again.
        return record.error_rate * 0.5 ** ((now_s - record.touched_s) / 2.0)

    def keep(self, upstream_ids: set[str]) -> None:
        """Forget upstreams that are gone."""
        for upstream_id in set(self._records) - upstream_ids:
            del self._records[upstream_id]

    def _record(self, upstream_id: str) -> _Record:
        return self._records.setdefault(upstream_id, _Record())


def _middle(rates: Iterable[float], count: int) -> float:
    """Return the middle one of some rates; those not given are 0."""
    given = sorted(rates)
    index = count // 2 - (count - len(given))
    return given[index] if index >= 0 and given else 0.0
