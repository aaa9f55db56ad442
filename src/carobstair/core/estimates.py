"""Limits of all upstreams as one node knows them: estimated here or announced."""

from __future__ import annotations

import math
from collections import deque
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field

from carobstair.core.limits import (
    LimiterSettings,
    LoadReport,
    UpstreamLimiter,
    summarise_times,
)
from carobstair.core.messages import (
    LimitAnnouncement,
    UpstreamUse,
    UpstreamUseReport,
)
from carobstair.core.shares import MemberId, ShareTable, first_sequence
from carobstair.core.state import FleetState

__all__ = ["EstimateSettings", "LimitTracker"]

# Load reports lag, so a reported count is compared with the largest use within this
# time, and an excess must show in most reports of a period of the same length.
REPORT_LAG_S = 3.0
# After the limit was lowered, ending grants still explain a part of the reports, so
# an excess that was found earlier is kept for this long.
UNEXPLAINED_HOLD_S = 5.0
MAX_UNREPORTED_TIMES = 256


@dataclass(frozen=True, slots=True)
class EstimateSettings:
    """Settings of the exchange of limits.

    Attributes
    ----------
    limit_valid_s : float
        Validity of a limit that the estimator announced.
    resume_max_age_s : float
        Age up to which a new estimator continues from its predecessor's limit.
    use_report_interval_s : float
        Time between two reports of use to the estimators.
    failure_hold_s : float
        How long the cold limit applies after a refused or closed connection; longer
        than the interval and the lag of load reports together.
    """

    limit_valid_s: float = 3.0
    resume_max_age_s: float = 10.0
    use_report_interval_s: float = 1.0
    failure_hold_s: float = 2.0


@dataclass(slots=True)
class _Announced:
    sender: str
    message: LimitAnnouncement
    received_s: float


@dataclass(slots=True)
class _Estimate:
    limiter: UpstreamLimiter
    uses: dict[str, deque[tuple[float, int]]] = field(default_factory=dict)
    excess: deque[tuple[float, int]] = field(default_factory=deque)
    unexplained_history: deque[tuple[float, int]] = field(default_factory=deque)
    unexplained: int = 0


class LimitTracker:
    """Limits of all upstreams.

    Parameters
    ----------
    own : tuple of (str, int)
        Instance and incarnation.
    settings : EstimateSettings
    limiter_settings : LimiterSettings
    shares : ShareTable
    """

    def __init__(
        self,
        own: MemberId,
        settings: EstimateSettings,
        limiter_settings: LimiterSettings,
        shares: ShareTable,
    ):
        self._own = own
        self._settings = settings
        self._limiter_settings = limiter_settings
        self._shares = shares
        self._state = FleetState()
        self._live: frozenset[str] = frozenset()
        self._estimates: dict[str, _Estimate] = {}
        self._announced: dict[str, _Announced] = {}
        self._estimator: dict[str, str] = {}
        self._estimator_version = -1
        self._times_ms: dict[str, deque[float]] = {}
        self._failed_s: dict[str, float] = {}
        self._sequence = first_sequence(own[1])
        self.dropped_count = 0

    def set_state(self, state: FleetState, now_s: float) -> None:
        """Apply the fleet state; an upstream that is back in service counts as cold."""
        before, self._state = self._state, state
        self._estimator_version = -1
        for name in set(self._estimates) - set(state.upstreams):
            del self._estimates[name]
        for name in set(self._announced) - set(state.upstreams):
            del self._announced[name]
        for name in set(self._failed_s) - set(state.upstreams):
            del self._failed_s[name]
        for name in set(self._times_ms) - set(state.upstreams):
            del self._times_ms[name]
        for name, estimate in self._estimates.items():
            estimate.limiter.set_upstream(state.upstreams[name])
        for name, upstream in state.upstreams.items():
            former = before.upstreams.get(name)
            if former is None or before.accepts_work(former):
                continue
            if state.accepts_work(upstream):
                self._announced.pop(name, None)
                if name in self._estimates:
                    self._estimates[name].limiter.turn_cold(now_s)

    def dropped_report_count(self) -> int:
        """Return how many invalid load reports and token times were discarded."""
        return sum(e.limiter.dropped_count for e in self._estimates.values())

    def set_live(self, live_peers: frozenset[str]) -> None:
        """Apply the set of peers that are considered alive."""
        if live_peers != self._live:
            self._live = live_peers
            self._estimator_version = -1

    def estimator_of(self, name: str) -> str:
        """Return the live holder of an upstream with the lowest rank, or ''."""
        if self._estimator_version != self._shares.version:
            self._estimator_version = self._shares.version
            self._estimator = {}
        found = self._estimator.get(name)
        if found is None:
            found = self._estimator[name] = self._find_estimator(name)
        return found

    def estimated(self) -> list[str]:
        """Return the upstreams whose limit this node estimates."""
        own = self._own[0]
        return [n for n in self._state.upstreams if self.estimator_of(n) == own]

    def limits(self, name: str, now_s: float) -> tuple[int, int]:
        """Return the current limits on requests and on KV tokens."""
        upstream = self._state.upstreams[name]
        cold = min(upstream.cold_limit, upstream.max_requests)
        if self.estimator_of(name) == self._own[0]:
            estimate = self._estimate(name, now_s)
            limit = estimate.limiter.limit
            if not estimate.limiter.is_current(now_s) or self._failed_recently(
                name, now_s
            ):
                limit = min(limit, cold)
            return max(0, limit - estimate.unexplained), upstream.max_kv_tokens
        announced = self._announced.get(name)
        if (
            announced is None
            or now_s > announced.received_s + announced.message.valid_s
        ):
            return cold, upstream.max_kv_tokens
        limit = min(announced.message.max_requests, upstream.max_requests)
        if self._failed_recently(name, now_s):
            limit = min(limit, cold)
        return limit, upstream.max_kv_tokens

    def note_failure(self, name: str, now_s: float) -> None:
        """Record that an upstream refused or closed a connection.

        It may have restarted cold, which its load report shows only later. Until
        then this node applies the cold limit.
        """
        if name in self._state.upstreams:
            self._failed_s[name] = now_s

    def _failed_recently(self, name: str, now_s: float) -> bool:
        failed_s = self._failed_s.get(name, -math.inf)
        return now_s - failed_s < self._settings.failure_hold_s

    def leaving(self, now_s: float) -> frozenset[str]:
        """Return the upstreams that report that they are leaving."""
        own = {n for n, e in self._estimates.items() if e.limiter.leaving}
        announced_leaving = {
            name
            for name, announced in self._announced.items()
            if announced.message.leaving and name not in self._estimates
        }
        return frozenset(own | announced_leaving)

    def on_report(
        self, name: str, report: LoadReport, own_use: int, now_s: float
    ) -> LimitAnnouncement | None:
        """Process a load report; return the limit to announce, or None."""
        if name not in self._state.upstreams:
            return None
        estimate = self._estimate(name, now_s)
        limiter = estimate.limiter
        if not limiter.incarnation:
            self._resume(name, limiter, report, now_s)
        if not limiter.on_report(report, now_s):
            self.dropped_count += 1
            return None
        self._note_use(estimate, self._own[0], own_use, now_s)
        self._update_unexplained(name, estimate, report.running, now_s)
        self._sequence += 1
        return LimitAnnouncement(
            name,
            report.incarnation,
            self._sequence,
            self.limits(name, now_s)[0],
            self._state.upstreams[name].max_kv_tokens,
            report.running,
            self._settings.limit_valid_s,
            limiter.leaving,
        )

    def on_announcement(
        self, sender: str, message: LimitAnnouncement, now_s: float
    ) -> bool:
        """Process an announced limit; return whether it was accepted."""
        name = message.upstream
        if name not in self._state.upstreams:
            return False
        if message.max_requests < 0 or not 0.0 < message.valid_s <= 60.0:
            self.dropped_count += 1
            return False
        known = self._announced.get(name)
        if known is not None and now_s <= known.received_s + known.message.valid_s:
            if known.sender == sender:
                if message.sequence <= known.message.sequence:
                    return False
            elif sender != self.estimator_of(name):
                return False
        self._announced[name] = _Announced(sender, message, now_s)
        return True

    def note_token_interval(self, name: str, interval_ms: float) -> None:
        """Record a time between two tokens, or a service call's duration."""
        if name not in self._state.upstreams:
            return
        if not (math.isfinite(interval_ms) and interval_ms >= 0.0):
            self.dropped_count += 1
            return
        if name in self._estimates and self.estimator_of(name) == self._own[0]:
            self._estimates[name].limiter.on_token_interval(interval_ms)
        else:
            times = self._times_ms.setdefault(name, deque(maxlen=MAX_UNREPORTED_TIMES))
            times.append(interval_ms)

    def use_reports(
        self, held: Iterable[str], uses: Mapping[str, int]
    ) -> dict[str, UpstreamUseReport]:
        """Return the report for each estimator, and clear the reported times.

        Parameters
        ----------
        held : iterable of str
            Upstreams on which this node holds shares.
        uses : dict
            Requests that the grants of this node allow, by upstream.
        """
        self._sequence += 1
        reports: dict[str, UpstreamUseReport] = {}
        for name in sorted(set(held) | set(self._times_ms)):
            estimator = self.estimator_of(name)
            if estimator in ("", self._own[0]):
                continue
            report = reports.setdefault(
                estimator, UpstreamUseReport(self._sequence, [], [])
            )
            report.uses.append(UpstreamUse(name, uses.get(name, 0)))
            summary = summarise_times(name, self._times_ms.pop(name, ()))
            if summary is not None:
                report.times.append(summary)
        self._times_ms.clear()
        return reports

    def on_use_report(
        self, sender: str, report: UpstreamUseReport, now_s: float
    ) -> None:
        """Process a report of use from another node."""
        for use in report.uses:
            estimate = self._estimates.get(use.upstream)
            if estimate is not None and use.requests >= 0:
                self._note_use(estimate, sender, use.requests, now_s)
        for times in report.times:
            estimate = self._estimates.get(times.upstream)
            if estimate is not None:
                estimate.limiter.on_times(times)

    def tick(self, now_s: float) -> None:
        """Adapt the limits estimated here; drop estimates now made elsewhere."""
        for name in list(self._estimates):
            if self.estimator_of(name) == self._own[0]:
                self._estimates[name].limiter.tick(now_s)
            else:
                # The state would be stale when this node becomes estimator again.
                del self._estimates[name]

    def _find_estimator(self, name: str) -> str:
        for instance, _ in self._shares.epoch.holders(name):
            if instance == self._own[0] or instance in self._live:
                return instance
        return ""

    def _estimate(self, name: str, now_s: float) -> _Estimate:
        found = self._estimates.get(name)
        if found is None:
            upstream = self._state.upstreams[name]
            limiter = UpstreamLimiter(upstream, self._limiter_settings, now_s)
            found = self._estimates[name] = _Estimate(limiter)
        return found

    def _resume(
        self, name: str, limiter: UpstreamLimiter, report: LoadReport, now_s: float
    ) -> None:
        known = self._announced.get(name)
        if known is None or now_s > known.received_s + self._settings.resume_max_age_s:
            return
        message = known.message
        if message.upstream_incarnation == report.incarnation and not report.loading:
            limiter.resume(message.max_requests, report.incarnation, now_s)

    @staticmethod
    def _note_use(estimate: _Estimate, holder: str, count: int, now_s: float) -> None:
        uses = estimate.uses.setdefault(holder, deque())
        uses.append((now_s, count))
        while uses[0][0] < now_s - REPORT_LAG_S:
            uses.popleft()

    def _update_unexplained(
        self, name: str, estimate: _Estimate, running: int, now_s: float
    ) -> None:
        explained = 0
        holders = {instance for instance, _ in self._shares.epoch.holders(name)}
        for holder, uses in list(estimate.uses.items()):
            recent = [count for at_s, count in uses if at_s >= now_s - REPORT_LAG_S]
            explained += max(recent, default=0)
            if recent:
                holders.discard(holder)
            else:
                del estimate.uses[holder]
        # A holder that has not reported may use its whole share.
        limit = estimate.limiter.limit
        for member in self._shares.epoch.holders(name):
            if member[0] in holders:
                share = self._shares.epoch.share(member, name, limit, 0, 0.0)
                explained += share.request_slots
        excess = estimate.excess
        excess.append((now_s, running - explained))
        while len(excess) > 1 and excess[1][0] <= now_s - REPORT_LAG_S:
            excess.popleft()
        window_full = now_s - excess[0][0] >= REPORT_LAG_S
        # Reports of use arrive up to a second late, so a burst shows as excess in a
        # few load reports; the median filters these out.
        sorted_excess = sorted(e for _, e in excess)
        median = sorted_excess[(len(sorted_excess) - 1) // 2]
        unexplained_history = estimate.unexplained_history
        unexplained_history.append((now_s, max(0, median) if window_full else 0))
        while unexplained_history[0][0] < now_s - UNEXPLAINED_HOLD_S:
            unexplained_history.popleft()
        estimate.unexplained = max(count for _, count in unexplained_history)
