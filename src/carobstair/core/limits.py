"""Limits on what an upstream bears: cold start, ramp, and adaptation when warm."""

from __future__ import annotations

import math
from collections import deque
from dataclasses import dataclass
from enum import StrEnum

from carobstair.core.state import Upstream

__all__ = ["LimiterSettings", "LoadReport", "UpstreamLimiter", "UpstreamPhase"]


class UpstreamPhase(StrEnum):
    """What a limiter believes of an upstream."""

    COLD = "cold"
    RAMPING = "ramping"
    WARM = "warm"


@dataclass(frozen=True, slots=True)
class LimiterSettings:
    """Settings of the adaptive limit.

    Attributes
    ----------
    target_ms : float
        Time between tokens to keep at the 95th percentile, in milliseconds.
    cold_jump : float
        Multiple of `target_ms` at the median from which an engine counts as cold.
    report_validity_s : float
        Age from which a load report says nothing about now.
    """

    target_ms: float = 60.0
    cold_jump: float = 4.0
    ramp_interval_s: float = 2.0
    adapt_interval_s: float = 1.0
    decrease_factor: float = 0.8
    window: int = 256
    min_samples: int = 20
    report_validity_s: float = 5.0


@dataclass(frozen=True, slots=True)
class LoadReport:
    """What an upstream says of itself, with a lag."""

    incarnation: str
    running: int
    kv_tokens: int
    loading: bool = False
    leaving: bool = False


class UpstreamLimiter:
    """Computes one upstream's limit from its reports and its token times."""

    def __init__(self, upstream: Upstream, settings: LimiterSettings, now_s: float):
        self._settings = settings
        self._upstream = upstream
        self._incarnation = ""
        self._intervals_ms: deque[float] = deque(maxlen=settings.window)
        self._limit = float(upstream.cold_limit)
        self._changed_s = now_s
        self.phase = UpstreamPhase.COLD
        self.cold_count = 0

    @property
    def limit(self) -> int:
        """Requests that all routers together may have running."""
        return max(1, int(self._limit))

    @property
    def incarnation(self) -> str:
        """Incarnation of the upstream as last reported."""
        return self._incarnation

    def set_upstream(self, upstream: Upstream, now_s: float) -> None:
        """Take over a ticket's new state; a return to service counts as cold."""
        self._upstream = upstream
        self._limit = min(self._limit, float(upstream.max_requests))
        del now_s

    def on_report(self, report: LoadReport, now_s: float) -> None:
        """Take in a load report; a new incarnation or loading counts as cold."""
        restarted = report.incarnation != self._incarnation
        self._incarnation = report.incarnation
        if restarted or report.loading:
            self.turn_cold(now_s)

    def on_token_interval(self, interval_ms: float) -> None:
        """Take in the time between two tokens of one stream."""
        if math.isfinite(interval_ms) and interval_ms >= 0.0:
            self._intervals_ms.append(interval_ms)

    def turn_cold(self, now_s: float) -> None:
        """Go back to the cold limit."""
        self.phase = UpstreamPhase.COLD
        self.cold_count += 1
        self._limit = float(min(self._upstream.cold_limit, self._upstream.max_requests))
        self._changed_s = now_s
        self._intervals_ms.clear()

    def tick(self, now_s: float) -> None:
        """Adapt the limit to the intervals seen since the last change."""
        if len(self._intervals_ms) < self._settings.min_samples:
            return
        ordered = sorted(self._intervals_ms)
        median, p95 = ordered[len(ordered) // 2], ordered[int(len(ordered) * 0.95)]
        if median > self._settings.cold_jump * self._settings.target_ms:
            self.turn_cold(now_s)
        elif self.phase is UpstreamPhase.WARM:
            self._adapt(p95, now_s)
        else:
            self._ramp(p95, now_s)

    def _ramp(self, p95_ms: float, now_s: float) -> None:
        if now_s - self._changed_s < self._settings.ramp_interval_s:
            return
        if p95_ms > self._settings.target_ms * 1.5:
            return
        self.phase = UpstreamPhase.RAMPING
        self._set_limit(self._limit * 2.0, now_s)
        if self._limit >= self._upstream.max_requests:
            self.phase = UpstreamPhase.WARM

    def _adapt(self, p95_ms: float, now_s: float) -> None:
        if now_s - self._changed_s < self._settings.adapt_interval_s:
            return
        if p95_ms > self._settings.target_ms:
            self._set_limit(self._limit * self._settings.decrease_factor, now_s)
        else:
            self._set_limit(self._limit + 1.0, now_s)

    def _set_limit(self, limit: float, now_s: float) -> None:
        low = float(min(self._upstream.cold_limit, self._upstream.max_requests))
        bounded = min(float(self._upstream.max_requests), max(low, limit))
        if bounded != self._limit:
            self._intervals_ms.clear()
        self._limit = bounded
        self._changed_s = now_s
