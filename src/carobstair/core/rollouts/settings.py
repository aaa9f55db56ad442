"""Settings of roll-outs."""

from __future__ import annotations

from dataclasses import dataclass

__all__ = ["RolloutSettings"]

# Bounds of the time for which a decision holds, the second relative to `rollback_s`.
MAX_EVIDENCE_TIMEOUT_S = 3.0
EVIDENCE_TIMEOUT_PART = 0.6


@dataclass(frozen=True, slots=True)
class RolloutSettings:
    """Bounds of roll-outs, and the exposure within them.

    Times called "part" are relative to the duration of the order.

    Attributes
    ----------
    exposure_share, exposure_slack : float
        A bad version may get this part of the requests between order and deadline,
        plus this number.
    rollback_s : float
        Time after the 50th bad answer by which the new version must get no request.
    interval_s, max_interval_s : float
        Interval of reports and decisions for up to `full_rate_routers`; it grows in
        proportion in larger fleets, so that a collector's work is bounded.
    probe_share, canary_share, hold_share : float
        Share of the requests before any answer, until the verdict, and after it until
        the ramp. All below 0.08; the exposure in the ramp takes the rest of the bound.
    ramp_shares : tuple of float
        Shares of the two steps before all requests move.
    verdict_part, ramp_part, step_part : float
        Earliest verdict, start of the ramp, and length of each of its steps. The ramp
        is late, as all that it exposes counts if the version turns bad.
    undecided_part : float
        Latest start of the last step.
    completion_margin_part, rollback_margin_part : float
        How long before the deadline the status is written at the latest; at least
        `min_margin_s`.
    probe_answers : int
        Answers begun before the share rises to `canary_share`.
    min_route_answers : int
        Answers begun on each route before a good verdict; 5 % of bad answers are then
        found in seven of eight cases on that route alone, and the ramp is watched.
    min_route_share : float
        Routes with a smaller part of the requests are judged together with the rest.
    unordered_hold_s : float
        How long upstreams of a version that no order names wait: the order may be on
        its way.
    """

    exposure_share: float = 0.1
    exposure_slack: float = 50.0
    rollback_s: float = 5.0
    interval_s: float = 0.2
    max_interval_s: float = 0.4
    full_rate_routers: int = 65
    probe_share: float = 0.03
    canary_share: float = 0.07
    hold_share: float = 0.02
    ramp_shares: tuple[float, float] = (0.2, 0.5)
    verdict_part: float = 0.42
    ramp_part: float = 0.74
    step_part: float = 0.05
    undecided_part: float = 0.85
    completion_margin_part: float = 0.08
    rollback_margin_part: float = 0.1
    min_margin_s: float = 0.6
    probe_answers: int = 20
    min_route_answers: int = 40
    min_route_share: float = 0.02
    unordered_hold_s: float = 5.0

    @property
    def evidence_timeout_s(self) -> float:
        """Return after which time without a decision the new version gets nothing.

        The rest of `rollback_s` is for the way of the evidence to this decision.
        """
        return min(MAX_EVIDENCE_TIMEOUT_S, EVIDENCE_TIMEOUT_PART * self.rollback_s)

    def scaled_interval_s(self, routers: int) -> float:
        """Return the interval of reports in a fleet with a number of routers."""
        scaled_s = self.interval_s * max(1.0, routers / self.full_rate_routers)
        return min(self.max_interval_s, scaled_s)

    def completion_margin_s(self, duration_s: float) -> float:
        """Return how long before the deadline `completed` is written at the latest."""
        return max(self.min_margin_s, self.completion_margin_part * duration_s)

    def rollback_margin_s(self, duration_s: float) -> float:
        """Return how long before the deadline an order without verdict is undone."""
        return max(1.3 * self.min_margin_s, self.rollback_margin_part * duration_s)
