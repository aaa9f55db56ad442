"""What is known of one incarnation: its speed, its slowdown and its concurrency."""

from __future__ import annotations

import math
from dataclasses import dataclass

from carobstair.core.upstream_capacity.settings import CapacitySettings

__all__ = ["UpstreamRecord"]


# Weight of a new wait in the mean of the unexplained ones.
LATE_WEIGHT = 0.05
# Longer waits say no more than that an upstream is to be avoided.
MAX_LATE_S = 2.0


@dataclass(slots=True)
class UpstreamRecord:
    """Evidence of one incarnation, and the coefficients that placement reads.

    Attributes
    ----------
    slots : int
        Slots by the last report; 0 until then.
    token_s : float
        Time to read a prompt token now.
    backlog_token_s, running_s : float
        Cost of a prompt token queued ahead, and of a request at the upstream.
    concurrency : float
        Requests up to which first tokens keep their objective.
    transient : float
        Slowdown now relative to the usual one of this incarnation.
    speed : float
        Speed relative to the service's mean, at its usual slowdown.
    late_s : float
        Time by which first bytes are later than the speed explains.
    wait_s : float
        Time by which first bytes are later than at an upstream of usual speed,
        whatever is queued there.
    occupancy : float
        Smoothed number of requests that the upstream has reported.
    """

    slots: int = 0
    # Coefficients
    token_s: float = 0.0
    backlog_token_s: float = 0.0
    running_s: float = 0.0
    concurrency: float = 1.0
    transient: float = 1.0
    speed: float = 1.0
    late_s: float = 0.0
    wait_s: float = 0.0
    occupancy: float = 0.0
    # Evidence
    expected_s: float = 0.0
    waited_s: float = 0.0
    sampled_s: float = -math.inf
    late_sum_s: float = 0.0
    slowdown: float = 1.0
    usual_slowdown: float = 1.0
    slowdown_s: float = -math.inf
    reported_s: float = -math.inf
    limit: float = math.inf
    limited_s: float = -math.inf
    decreased_s: float = -math.inf

    def add_wait(
        self,
        expected_s: float,
        waited_s: float,
        settings: CapacitySettings,
        now_s: float,
    ) -> None:
        """Add a wait and what was expected at the mean upstream."""
        explained_s = expected_s / self.speed_at(settings, now_s)
        late_s = min(max(0.0, waited_s - explained_s), MAX_LATE_S)
        known_s = self.late_at(settings, now_s)
        self.late_sum_s = known_s + LATE_WEIGHT * (late_s - known_s)
        ratio = settings.max_ratio
        waited_s = min(max(waited_s, expected_s / ratio), expected_s * ratio)
        keep = self._evidence_kept(settings, now_s) * (1.0 - settings.sample_weight)
        self.expected_s = keep * self.expected_s + expected_s
        self.waited_s = keep * self.waited_s + waited_s
        self.sampled_s = now_s

    def speed_at(self, settings: CapacitySettings, now_s: float) -> float:
        """Return the speed by the measured waits; it returns to 1 without samples."""
        keep = self._evidence_kept(settings, now_s)
        return (keep * self.expected_s + settings.prior_s) / (
            keep * self.waited_s + settings.prior_s
        )

    def late_at(self, settings: CapacitySettings, now_s: float) -> float:
        """Return how late first bytes are beyond what the speed explains."""
        age_s = max(0.0, now_s - self.sampled_s)
        return self.late_sum_s * 0.5 ** (age_s / settings.late_half_life_s)

    def add_slowdown(
        self, slowdown: float, settings: CapacitySettings, now_s: float
    ) -> None:
        """Add a reported slowdown.

        Reports that follow each other at once are averaged; one after a pause stands
        for itself, as what was known before has decayed.
        """
        if self.slowdown_s == -math.inf:
            self.slowdown = slowdown
            self.usual_slowdown = 1.0
            self.slowdown_s = now_s
        age_s = max(0.0, now_s - self.slowdown_s)
        known = self.slowdown_at(settings, now_s)
        weight = max(0.3, 1.0 - math.exp(-age_s / settings.slowdown_decay_s))
        self.slowdown = known + weight * (slowdown - known)
        # A report after a long silence is one sample of the usual slowdown, no more.
        weight = 1.0 - math.exp(-min(age_s, 1.0) / settings.slowdown_mean_s)
        self.usual_slowdown += weight * (slowdown - self.usual_slowdown)
        self.slowdown_s = now_s

    def slowdown_at(self, settings: CapacitySettings, now_s: float) -> float:
        """Return the slowdown; a reported one returns to the usual one with time."""
        age_s = max(0.0, now_s - self.slowdown_s)
        kept = math.exp(-age_s / settings.slowdown_decay_s)
        return self.usual_slowdown + kept * (self.slowdown - self.usual_slowdown)

    def add_occupancy(
        self, requests: int, slots: int, settings: CapacitySettings, now_s: float
    ) -> None:
        """Add a reported number of requests."""
        age_s = max(0.0, now_s - self.reported_s)
        weight = max(0.2, 1.0 - math.exp(-age_s / settings.occupancy_decay_s))
        self.occupancy += weight * (requests - self.occupancy)
        self.slots, self.reported_s = slots, now_s

    def adapt_limit(
        self, running: int, late: bool, settings: CapacitySettings, now_s: float
    ) -> None:
        """Adapt the concurrency to a first token: additive up, multiplicative down."""
        if self.slots <= 0:
            return
        limit = self.limit_at(self.slots, settings, now_s)
        if late:
            if now_s - self.decreased_s < settings.decrease_interval_s:
                return
            limit = min(limit, float(max(running, 1))) * settings.decrease
            self.decreased_s = now_s
        elif running >= limit - 1.0:
            limit += 0.5
        else:
            return
        least = max(1.0, settings.min_concurrency_fraction * self.slots)
        self.limit = min(max(limit, least), float(self.slots))
        self.limited_s = now_s

    def limit_at(self, slots: int, settings: CapacitySettings, now_s: float) -> float:
        """Return the concurrency; a lowered one returns to the slots with time."""
        if self.limit >= slots:
            return float(slots)
        kept = math.exp(-max(0.0, now_s - self.limited_s) / settings.recovery_s)
        return slots - (slots - self.limit) * kept

    def _evidence_kept(self, settings: CapacitySettings, now_s: float) -> float:
        age_s = max(0.0, now_s - self.sampled_s)
        return 0.5 ** (age_s / settings.evidence_half_life_s)
