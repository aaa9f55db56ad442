"""Sums the evidence of all routers for one order, and decides on its exposure.

Two routers collect at a time, and both decide. They adopt the greatest phase that any
router reports, so they agree within an interval, and one that takes over continues
where the other ended. Counts are cumulative by router and incarnation: a message that
is lost or repeated changes nothing.
"""

from __future__ import annotations

import math
from collections.abc import Collection
from dataclasses import dataclass, field

from carobstair.core.rollout_messages import OrderReport
from carobstair.core.rollouts.counts import RowKey, VersionCounts
from carobstair.core.rollouts.evidence import VersionEvidence
from carobstair.core.rollouts.exposure import ExposurePlan, FleetCounts
from carobstair.core.rollouts.orders import Phase, RolloutState
from carobstair.core.rollouts.settings import RolloutSettings

__all__ = ["Decision", "OrderCollector"]

# Reports of this many intervals are awaited before a router counts as silent.
SILENT_INTERVALS = 6
# Part of the known routers whose reports a decision needs: a few that are cut off
# must not decide for the others.
QUORUM = 0.5
# Requests seen later than this before the end are not awaited: their evidence would
# come too late.
SETTLE_PART = 0.04


@dataclass(frozen=True, slots=True)
class Decision:
    """What a collector has decided for an order.

    Attributes
    ----------
    verdict : RolloutState
        Running while nothing is to be written.
    reason : str
        Why the verdict was reached.
    has_advanced : bool
        Whether the phase has changed with this decision.
    """

    phase: Phase
    share: float
    verdict: RolloutState
    reason: str
    has_advanced: bool
    counts: FleetCounts


@dataclass(slots=True)
class _Received:
    report: OrderReport
    at_s: float


@dataclass(slots=True)
class OrderCollector:
    """Collects the reports about one order.

    Parameters
    ----------
    settings : RolloutSettings
    duration_s : float
    """

    settings: RolloutSettings
    duration_s: float
    evidence: VersionEvidence = field(default_factory=VersionEvidence)
    plan: ExposurePlan = field(init=False)
    _reports: dict[tuple[str, int], _Received] = field(default_factory=dict)
    _finding: str = ""

    def __post_init__(self) -> None:
        self.plan = ExposurePlan(self.settings, self.duration_s)

    def note_report(
        self, router: str, incarnation: int, report: OrderReport, now_s: float
    ) -> None:
        """Replace the report of a router; former incarnations keep their counts."""
        self._reports[router, incarnation] = _Received(report, now_s)

    def heard_lately(self, interval_s: float, now_s: float) -> dict[str, OrderReport]:
        """Return the newest reports of the routers that still report."""
        since_s = now_s - SILENT_INTERVALS * interval_s
        newest: dict[str, tuple[int, OrderReport]] = {}
        for (router, incarnation), received in self._reports.items():
            known = newest.get(router, (-1, None))
            if received.at_s >= since_s and incarnation > known[0]:
                newest[router] = incarnation, received.report
        return {router: report for router, (_, report) in newest.items()}

    def totals(self) -> dict[RowKey, VersionCounts]:
        """Return the sums over all routers and incarnations."""
        totals: dict[RowKey, VersionCounts] = {}
        for received in self._reports.values():
            for row in received.report.rows:
                key = row.route, row.size_class, row.upstream
                totals.setdefault(key, VersionCounts()).add(row)
        return totals

    def decide(
        self,
        age_s: float,
        targets: int,
        routers: Collection[str],
        interval_s: float,
        now_s: float,
    ) -> Decision | None:
        """Judge what has come and return the decision; None without a quorum.

        Parameters
        ----------
        age_s : float
            Time since the order began.
        targets : int
            Number of upstreams of the new version that may get requests.
        routers : collection of str
            Names of the routers that are present, with this one.
        """
        reports = self.heard_lately(interval_s, now_s)
        heard = sum(router in reports for router in routers)
        if heard < math.ceil(QUORUM * len(routers)):
            return None
        before = self.plan.phase
        totals = self.totals()
        counts = FleetCounts.of(totals)
        used = len({u for (_, _, u), row in totals.items() if u and row.sent})
        # Before the second of them was used, nothing is said of the version.
        upstreams = max(used, min(2, targets))
        self.evidence.update(totals, upstreams, now_s)
        reported = max((r.phase for r in reports.values()), default=0)
        if reported in Phase._value2member_map_:
            self.plan.adopt(Phase(reported), age_s)
        finding = self.evidence.finding
        if finding is not None:
            self._finding = f"{finding.kind} answers on {finding.route or 'all routes'}"
            self.plan.adopt(Phase.BAD, age_s)
        elif self.plan.phase is not Phase.BAD:
            evidence = self.evidence
            self.plan.advance(
                counts, evidence.suspicion, evidence.doubt, targets > 0, age_s
            )
        verdict, reason = self._verdict(reports, routers, age_s)
        return Decision(
            self.plan.phase,
            self.plan.share(counts, age_s),
            verdict,
            reason,
            self.plan.phase is not before,
            counts,
        )

    def _verdict(
        self, reports: dict[str, OrderReport], routers: Collection[str], age_s: float
    ) -> tuple[RolloutState, str]:
        settings, duration_s = self.settings, self.duration_s
        if self.plan.phase is Phase.BAD:
            return RolloutState.ROLLED_BACK, self._finding or "found by another router"
        if self.plan.phase is not Phase.FULL:
            if age_s >= duration_s - settings.rollback_margin_s(duration_s):
                return RolloutState.ROLLED_BACK, "too little evidence by the deadline"
            return RolloutState.RUNNING, ""
        if age_s >= duration_s - settings.completion_margin_s(duration_s):
            return RolloutState.COMPLETED, "the deadline is near"
        moved = all(
            router in reports
            and reports[router].phase >= Phase.FULL
            and not reports[router].at_old
            for router in routers
        )
        settled = self.plan.time_in_phase_s(age_s) >= SETTLE_PART * duration_s
        if moved and settled:
            return RolloutState.COMPLETED, "no request is left at old upstreams"
        return RolloutState.RUNNING, ""
