"""Estimate of what engines take, without memory of earlier refusals.

The requests at the engines are, on average, those admitted in the time for which one
holds its slot. So the tokens admitted over that time, divided by the load that they
make, are what engines take at their target load. Unlike a correction that adds up over
time, the estimate does not depend on how long engines were too full or too empty.
"""

from __future__ import annotations

import math
from dataclasses import dataclass

from carobstair.core.admission.settings import AdmissionSettings

__all__ = ["SupplyControl"]

# At a lower load requests rarely wait, so that the wait need not be estimated.
LIGHT_LOAD = 0.4
# Lower loads say nothing of what engines take, so nothing is learnt from them.
MIN_LOAD = 0.1
# Load below which engines take at least the configured throughput.
UNLOADED = 0.7
# At a higher load requests queue up, so that the load says nothing of what is finished.
SATURATED_LOAD = 1.25
# Bounds of the load that is expected after `lag_s`, relative to the one that was read.
MIN_AHEAD, MAX_AHEAD = 0.6, 1.6
# Bounds of the supply relative to the nominal throughput.
MIN_FACTOR, MAX_FACTOR = 0.02, 20.0


@dataclass(slots=True)
class SupplyControl:
    """Throughput that is shared, relative to the nominal one.

    Attributes
    ----------
    lag_s : float
        Age of the sums of all routers, from the interval at which they arrive.
    given : float
        Tokens admitted by all routers relative to the nominal throughput, averaged over
        the time that a request holds its slot.
    load : float
        Load of the engines relative to its target, as it was read.
    ahead : float
        The same when what was admitted since has reached the engines.
    factor : float
    """

    settings: AdmissionSettings
    lag_s: float = 0.4
    factor: float = 1.0
    given: float = 1.0
    load: float = 1.0
    ahead: float = 1.0
    slots_used: float = 0.0
    # Averages of `given` and `load`, whose ratio changes with the mix of requests only.
    _given: float = 1.0
    _load: float = 1.0
    corrected_s: float = -math.inf
    # What this router sees alone.
    own_pressure: float = 1.0
    own_slots_used: float = 0.0

    def is_due(self, now_s: float) -> bool:
        """Return whether the next correction is due."""
        return now_s - self.corrected_s >= self.settings.control_s

    @property
    def pressure(self) -> float:
        """Load of the engines relative to its target."""
        return self.load

    @property
    def is_loaded(self) -> bool:
        """Whether some engine may have a queue."""
        return max(self.load, self.ahead) > LIGHT_LOAD

    def room(self) -> float:
        """Return the throughput that fills the room of the engines while they have it.

        Relative to the nominal throughput, and in addition to `factor`.
        """
        settings = self.settings
        # Slots that are free now are filled within the age of the sums.
        rate = settings.hold_s / (settings.room_fill * self.lag_s)
        return self._at_target() * max(0.0, 1.0 - self.ahead) * rate

    def _at_target(self) -> float:
        """Return what engines take at their target load, by the averages."""
        at_target = max(self._given, MIN_FACTOR) / self._load
        return max(at_target, 1.0) if self.ahead < UNLOADED else at_target

    def adopt(self, factor: float) -> None:
        """Begin with the factor of the other routers."""
        self.factor = self.given = self._given = factor

    def observe(self, load: float, now_s: float) -> None:
        """Record a load while it is not known what all routers admit."""
        self.corrected_s = now_s
        self.load = self.ahead = max(load, MIN_LOAD)

    def correct(self, load: float, admitted: float, now_s: float) -> None:
        """Estimate the supply.

        Parameters
        ----------
        load : float
            Load of the engines relative to its target.
        admitted : float
            Tokens that all routers admitted lately, relative to the nominal throughput.
        """
        settings = self.settings
        step_s = min(now_s - self.corrected_s, settings.hold_s)
        self.corrected_s = now_s
        is_telling = load >= MIN_LOAD
        self.load = load = max(load, MIN_LOAD)
        weight = 1.0 - math.exp(-step_s / settings.hold_s)
        self.given += weight * (admitted - self.given)
        if is_telling and load <= SATURATED_LOAD:
            slow = 1.0 - math.exp(-step_s / settings.mix_s)
            self._given += slow * (self.given - self._given)
            self._load += slow * (load - self._load)
        at_target = self._at_target()
        growth = (admitted / at_target - load) * self.lag_s / settings.hold_s
        self.ahead = ahead = min(max(load + growth, MIN_AHEAD * load), MAX_AHEAD * load)
        # What engines finish does not grow beyond their target load.
        finished = min(ahead, 1.0)
        gain = settings.fill_gain if ahead < 1.0 else settings.drain_gain
        factor = at_target * (finished + gain * (1.0 - ahead))
        factor = max(factor, settings.least_part * at_target * min(load, 1.0))
        self.factor = min(max(factor, MIN_FACTOR), MAX_FACTOR)
