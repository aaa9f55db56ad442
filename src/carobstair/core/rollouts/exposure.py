"""Which share of the requests the new version gets, and when it rises."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field

from carobstair.core.rollouts.counts import RowKey, VersionCounts
from carobstair.core.rollouts.orders import Phase
from carobstair.core.rollouts.settings import RolloutSettings

__all__ = ["ExposurePlan", "FleetCounts"]

# Part of the bound that is planned for; decisions reach routers some tenths of a
# second after the requests that they were made on.
PLANNED_PART = 0.9
# Part of the bound for the time before the ramp.
CANARY_PART = 0.55
# Suspicion (score relative to the limit) at which the share does not rise.
MAX_SUSPICION = 0.5
# Doubt (the score with all upstreams) at which the first rise waits: a version that is
# bad from the start should be found at the smallest share. It does not wait for long,
# as the doubt may come from a single upstream.
PROBE_DOUBT = 0.25
LONGEST_PROBE_PART = 0.2
# At the end of the time, a version with this suspicion is undone.
UNDONE_SUSPICION = 0.75
# Answers begun in a step of the ramp before the next.
STEP_ANSWERS = 20
# Smallest share while evidence is gathered.
MIN_SHARE = 0.01


@dataclass(slots=True)
class FleetCounts:
    """Sums over all routers for one order.

    Attributes
    ----------
    requests, exposed : int
        Requests sent to all upstreams, and to those of the new version.
    begun, ended : dict
        Answers of the new version that began and that ended well, by route.
    sent : dict
        Requests sent to any version, by route.
    """

    requests: int = 0
    exposed: int = 0
    bad: int = 0
    begun: dict[str, int] = field(default_factory=dict)
    ended: dict[str, int] = field(default_factory=dict)
    sent: dict[str, int] = field(default_factory=dict)

    @classmethod
    def of(cls, totals: Mapping[RowKey, VersionCounts]) -> FleetCounts:
        """Return the sums of cumulative counts."""
        counts = cls()
        for (route, _, upstream), row in totals.items():
            counts.requests += row.sent
            if route:
                counts.sent[route] = counts.sent.get(route, 0) + row.sent
            if not upstream:
                continue
            counts.exposed += row.sent
            counts.bad += row.bad
            if route:
                counts.begun[route] = counts.begun.get(route, 0) + row.begun
                counts.ended[route] = counts.ended.get(route, 0) + row.good
        return counts


@dataclass(slots=True)
class ExposurePlan:
    """Phases of exposure of one order.

    Parameters
    ----------
    settings : RolloutSettings
    duration_s : float
    """

    settings: RolloutSettings
    duration_s: float
    phase: Phase = Phase.WAITING
    _entered_age_s: float = 0.0
    _entered_begun: int = 0
    _entered_requests: int = 0
    _share: float = 0.0

    def adopt(self, phase: Phase, age_s: float) -> None:
        """Adopt a later phase that another collector has decided."""
        if phase > self.phase:
            self._enter(phase, age_s, self._entered_begun, self._entered_requests)

    def time_in_phase_s(self, age_s: float) -> float:
        """Return how long the current phase has lasted."""
        return age_s - self._entered_age_s

    def advance(
        self,
        counts: FleetCounts,
        suspicion: float,
        doubt: float,
        has_target: bool,
        age_s: float,
    ) -> bool:
        """Enter the next phase if the evidence allows; return whether it did.

        Parameters
        ----------
        suspicion, doubt : float
            See `VersionEvidence`.
        has_target : bool
            Whether an upstream of the new version may get requests.
        """
        settings, part = self.settings, age_s / self.duration_s
        calm = suspicion < MAX_SUSPICION
        # Little evidence comes in at a small share: a suspicion that has not been
        # settled by then is settled by the next step.
        step_part = settings.step_part
        if part >= settings.ramp_part + step_part and self.phase < Phase.FIRST_STEP:
            calm = suspicion < UNDONE_SUSPICION
        if self.phase is Phase.WAITING:
            ready = has_target
        elif self.phase is Phase.PROBE:
            ready = doubt < PROBE_DOUBT or part >= LONGEST_PROBE_PART
            ready = ready and calm
            ready = ready and self._has_answers_since(settings.probe_answers, counts)
        elif self.phase is Phase.CANARY:
            ready = part >= settings.verdict_part and self._has_enough(counts, part)
            ready = ready and calm
        elif self.phase is Phase.GOOD:
            ready = calm and part >= settings.ramp_part
        elif self.phase in (Phase.FIRST_STEP, Phase.SECOND_STEP):
            if part >= settings.undecided_part:
                calm = suspicion < UNDONE_SUSPICION
            ready = calm and self.time_in_phase_s(age_s) >= self._step_s()
            ready = ready and self._has_answers_since(STEP_ANSWERS, counts)
        else:
            return False
        if ready:
            begun = sum(counts.begun.values())
            self._enter(Phase(self.phase + 1), age_s, begun, counts.requests)
        return ready

    def _step_s(self) -> float:
        """Return the length of a step; half of it if the ramp began late."""
        settings = self.settings
        usual_s = settings.step_part * self.duration_s
        late_s = (settings.ramp_part + settings.step_part) * self.duration_s
        return usual_s if self._entered_age_s <= late_s + usual_s / 2 else usual_s / 2

    def share(self, counts: FleetCounts, age_s: float) -> float:
        """Return the share of the requests for the current phase."""
        self._share = self._bounded_share(counts, age_s)
        return self._share

    def _bounded_share(self, counts: FleetCounts, age_s: float) -> float:
        settings = self.settings
        first, second = settings.ramp_shares
        planned = {
            Phase.PROBE: settings.probe_share,
            Phase.CANARY: settings.canary_share,
            Phase.GOOD: settings.hold_share,
            Phase.FIRST_STEP: first,
            Phase.SECOND_STEP: second,
            Phase.FULL: 1.0,
        }.get(self.phase, 0.0)
        if self.phase in (Phase.WAITING, Phase.FULL, Phase.BAD) or age_s <= 0:
            return planned
        rate = counts.requests / age_s
        if rate <= 0:
            return planned
        bound = settings.exposure_share * rate * max(age_s, self.duration_s)
        bound += settings.exposure_slack
        if self.phase < Phase.FIRST_STEP:
            left_s = max(settings.ramp_part * self.duration_s - age_s, 0.5)
            left = CANARY_PART * bound - counts.exposed
        else:
            left_s = settings.step_part * self.duration_s
            since_s = age_s - self._entered_age_s
            left_s = max(0.5 * left_s, left_s - since_s)
            left = PLANNED_PART * bound - counts.exposed
        return min(planned, max(MIN_SHARE, left / (rate * left_s)))

    def _enter(self, phase: Phase, age_s: float, begun: int, requests: int) -> None:
        self.phase, self._entered_age_s = phase, age_s
        self._entered_begun, self._entered_requests = begun, requests

    def _has_answers_since(self, wanted: int, counts: FleetCounts) -> bool:
        """Return whether the current phase has brought answers of its own.

        Where few requests come, a third of what the share gives is enough.
        """
        requests = counts.requests - self._entered_requests
        needed = max(1.0, min(wanted, 0.3 * self._share * requests))
        return sum(counts.begun.values()) - self._entered_begun >= needed

    def _has_enough(self, counts: FleetCounts, part: float) -> bool:
        """Return whether each route has enough answers for a good verdict.

        If new upstreams came late, a part of them must do: the ramp is watched too.
        """
        settings = self.settings
        total = sum(counts.sent.values())
        if not total:
            return False
        late = (part - settings.ramp_part) / (
            settings.undecided_part - settings.ramp_part
        )
        eased = 1.0 - 0.75 * min(1.0, max(0.0, late))
        for route, sent in counts.sent.items():
            if sent < settings.min_route_share * total:
                continue
            # On routes with few requests, half of what the share gives.
            expected = 0.5 * settings.canary_share * sent
            needed = max(1.0, eased * min(settings.min_route_answers, expected))
            if counts.begun.get(route, 0) < needed:
                return False
            if counts.ended.get(route, 0) < 0.25 * needed:
                return False
        return True
