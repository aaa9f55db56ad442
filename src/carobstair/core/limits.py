"""Concurrency limit of an upstream: cold start, ramp-up, adaptation when warm."""

from __future__ import annotations

import math
from collections import deque
from collections.abc import Iterable
from dataclasses import dataclass
from enum import StrEnum

from carobstair.core.messages import TokenTimes
from carobstair.core.state import Upstream, UpstreamKind

__all__ = [
    "LimiterSettings",
    "LoadReport",
    "UpstreamLimiter",
    "UpstreamPhase",
    "summarise_times",
]

# A peer's summary counts as at most this many samples, so that one busy gateway
# cannot fill the window alone.
MAX_SUMMARY_SAMPLES = 40
MAX_REPORTED_REQUESTS = 1_000_000
# A plain service call that takes this many times the baseline duration is equivalent
# to an engine at the target time between tokens.
SERVICE_SLOWDOWN_AT_TARGET = 3.0


class UpstreamPhase(StrEnum):
    """State of an upstream as seen by its limiter."""

    COLD = "cold"
    RAMPING = "ramping"
    WARM = "warm"


@dataclass(frozen=True, slots=True)
class LimiterSettings:
    """Settings of the adaptive limit.

    Attributes
    ----------
    target_ms : float
        Target of the 95th percentile of the time between tokens, in milliseconds.
    cold_jump : float
        Multiple of `target_ms` above which the median marks an engine as cold.
    ramp_margin : float
        Multiple of `target_ms` up to which the 95th percentile lets a ramp go on.
    min_samples : int
        Token times needed for percentiles; a plain service needs
        `min_service_samples` calls.
    report_validity_s : float
        Age beyond which a load report is stale.
    """

    target_ms: float = 60.0
    cold_jump: float = 4.0
    ramp_margin: float = 1.5
    ramp_interval_s: float = 2.0
    adapt_interval_s: float = 1.0
    decrease_factor: float = 0.8
    window: int = 256
    min_samples: int = 20
    min_service_samples: int = 3
    report_validity_s: float = 3.0


@dataclass(frozen=True, slots=True)
class LoadReport:
    """Load that an upstream reports about itself, with a lag."""

    incarnation: str
    running: int
    kv_tokens: int
    loading: bool = False
    leaving: bool = False

    def is_plausible(self) -> bool:
        """Return whether the numbers are within their valid ranges."""
        return 0 <= self.running <= MAX_REPORTED_REQUESTS and self.kv_tokens >= 0


def summarise_times(upstream: str, times_ms: Iterable[float]) -> TokenTimes | None:
    """Return a summary for the estimator, or None without samples."""
    ordered = sorted(times_ms)
    if not ordered:
        return None
    return TokenTimes(upstream, len(ordered), *_median_and_p95(ordered))


class UpstreamLimiter:
    """Computes one upstream's limit from its reports and its token times.

    Parameters
    ----------
    upstream : Upstream
    settings : LimiterSettings
    now_s : float
        Monotonic time in seconds.
    """

    def __init__(self, upstream: Upstream, settings: LimiterSettings, now_s: float):
        self._settings = settings
        self._upstream = upstream
        self._incarnation = ""
        self._times_ms: deque[float] = deque(maxlen=settings.window)
        self._baseline_ms = math.inf
        self._limit = float(upstream.cold_limit)
        self._changed_s = now_s
        self._reported_s = -math.inf
        self.phase = UpstreamPhase.COLD
        self.cold_count = 0
        self.dropped_count = 0
        self.leaving = False
        self.turn_cold(now_s)

    @property
    def limit(self) -> int:
        """Requests that all routers together may have running."""
        return max(1, int(self._limit))

    @property
    def incarnation(self) -> str:
        """Incarnation of the upstream as last reported."""
        return self._incarnation

    def is_current(self, now_s: float) -> bool:
        """Return whether the last load report is recent enough to use the limit."""
        return now_s - self._reported_s <= self._settings.report_validity_s

    def set_upstream(self, upstream: Upstream) -> None:
        """Apply the upstream's new state; clamp the limit to its bounds."""
        self._upstream = upstream
        self._limit = min(
            max(self._limit, self._min_limit), float(upstream.max_requests)
        )
        self._update_phase()

    def on_report(self, report: LoadReport, now_s: float) -> bool:
        """Process a load report; a new incarnation or loading counts as cold.

        Returns
        -------
        bool
            False if the report is invalid; it is discarded and counted.
        """
        if not report.is_plausible():
            self.dropped_count += 1
            return False
        self._reported_s = now_s
        restarted = report.incarnation != self._incarnation
        self._incarnation = report.incarnation
        self.leaving = report.leaving
        if restarted or report.loading:
            self.turn_cold(now_s)
        return True

    def on_token_interval(self, interval_ms: float) -> None:
        """Record the time between two tokens of one stream."""
        if math.isfinite(interval_ms) and interval_ms >= 0.0:
            self._times_ms.append(interval_ms)
        else:
            self.dropped_count += 1

    def on_call(self, duration_ms: float) -> None:
        """Record the duration of one call of a plain service."""
        self.on_token_interval(duration_ms)

    def on_times(self, times: TokenTimes) -> None:
        """Add another gateway's summary as samples with the same percentiles."""
        values = (times.median_ms, times.p95_ms)
        if times.count <= 0 or not all(math.isfinite(v) and v >= 0.0 for v in values):
            self.dropped_count += 1
            return
        count = min(times.count, MAX_SUMMARY_SAMPLES)
        slow = max(1, round(count * 0.06)) if count > 1 else 0
        self._times_ms.extend([times.median_ms] * (count - slow))
        self._times_ms.extend([times.p95_ms] * slow)

    def resume(self, limit: int, incarnation: str, now_s: float) -> None:
        """Continue from the limit that the previous estimator announced."""
        self._incarnation = incarnation
        self.phase = UpstreamPhase.RAMPING
        self._set_limit(float(limit), now_s)
        self._update_phase()

    def turn_cold(self, now_s: float) -> None:
        """Return to the cold limit and discard the samples."""
        if self.phase is not UpstreamPhase.COLD:
            self.cold_count += 1
        self.phase = UpstreamPhase.COLD
        self._limit = self._min_limit
        self._changed_s = now_s
        self._times_ms.clear()
        self._update_phase()

    def tick(self, now_s: float) -> None:
        """Adapt the limit to the times recorded since the last change."""
        is_engine = self._upstream.kind is UpstreamKind.ENGINE
        settings = self._settings
        least = settings.min_samples if is_engine else settings.min_service_samples
        if len(self._times_ms) < least:
            return
        median, p95 = _median_and_p95(sorted(self._times_ms))
        if not is_engine:
            median, p95 = self._scaled(median, p95)
        if median > settings.cold_jump * settings.target_ms:
            self.turn_cold(now_s)
        elif self.phase is UpstreamPhase.WARM:
            self._adapt(p95, now_s)
        else:
            self._ramp(p95, now_s)

    @property
    def _min_limit(self) -> float:
        return float(min(self._upstream.cold_limit, self._upstream.max_requests))

    def _scaled(self, median_ms: float, p95_ms: float) -> tuple[float, float]:
        # A plain service has no tokens, so its calls are compared with their baseline.
        self._baseline_ms = max(1.0, min(self._baseline_ms * 1.001, median_ms))
        scale = (
            self._settings.target_ms / SERVICE_SLOWDOWN_AT_TARGET / self._baseline_ms
        )
        return median_ms * scale, p95_ms * scale

    def _update_phase(self) -> None:
        if self._limit >= self._upstream.max_requests:
            self.phase = UpstreamPhase.WARM

    def _ramp(self, p95_ms: float, now_s: float) -> None:
        if now_s - self._changed_s < self._settings.ramp_interval_s:
            return
        if p95_ms > self._settings.target_ms * self._settings.ramp_margin:
            # The limit reached is what the upstream sustains: stop doubling, adapt.
            if self.phase is UpstreamPhase.RAMPING:
                self.phase = UpstreamPhase.WARM
            return
        self.phase = UpstreamPhase.RAMPING
        self._set_limit(self._limit * 2.0, now_s)
        self._update_phase()

    def _adapt(self, p95_ms: float, now_s: float) -> None:
        if now_s - self._changed_s < self._settings.adapt_interval_s:
            return
        if p95_ms > self._settings.target_ms:
            self._set_limit(self._limit * self._settings.decrease_factor, now_s)
        else:
            self._set_limit(self._limit + 1.0, now_s)

    def _set_limit(self, limit: float, now_s: float) -> None:
        bounded = min(float(self._upstream.max_requests), max(self._min_limit, limit))
        if bounded != self._limit:
            self._times_ms.clear()
        self._limit = bounded
        self._changed_s = now_s


def _median_and_p95(ordered: list[float]) -> tuple[float, float]:
    return ordered[len(ordered) // 2], ordered[int(len(ordered) * 0.95)]
