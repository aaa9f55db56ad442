"""Correction of the throughput that is shared by the load of the engines."""

from __future__ import annotations

import math
from dataclasses import dataclass

from carobstair.core.admission.settings import AdmissionSettings

__all__ = ["ThroughputControl"]

# At a lower pressure no request waits, so that the wait need not be estimated.
LIGHT_PRESSURE = 0.4
# Age up to which an expected wait stands for later requests beyond the share.
WAIT_LIFETIME_S = 0.05
# Longest time for which one correction makes up.
MAX_CORRECTION_STEPS = 5.0


@dataclass(slots=True)
class ThroughputControl:
    """Corrects the nominal throughput by the load of the engines.

    Parameters
    ----------
    settings : AdmissionSettings
    """

    settings: AdmissionSettings
    factor: float = 1.0
    # Until the first sample, the engines are assumed to be at their target load.
    pressure: float = 1.0
    newest: float = 1.0
    slots_used: float = 0.0
    corrected_s: float = float("-inf")
    wait: float = 0.0
    wait_s: float = float("-inf")
    # Newest estimates of this router alone.
    own_pressure: float = 1.0
    own_slots_used: float = 0.0

    def is_due(self, now_s: float) -> bool:
        """Return whether the next correction is due."""
        return now_s - self.corrected_s >= self.settings.control_s

    @property
    def is_loaded(self) -> bool:
        """Whether some engine may have a queue."""
        return max(self.pressure, self.newest) > LIGHT_PRESSURE

    def is_wait_due(self, now_s: float) -> bool:
        """Return whether the wait should be estimated for its own sake."""
        return self.is_loaded and now_s - self.wait_s >= WAIT_LIFETIME_S

    def note_wait(self, wait: float, now_s: float) -> None:
        """Record an expected wait, as a fraction of the objective."""
        self.wait, self.wait_s = wait, now_s

    def approach(self, log_factor: float, reported: float) -> None:
        """Move the factor towards that of all routers.

        Parameters
        ----------
        log_factor : float
            Logarithm of the mean factor.
        reported : float
            Logarithm of the own factor that the mean contains. The distance is taken
            from this value, as later corrections are common to all routers.
        """
        distance = self.settings.agreement * (log_factor - reported)
        factor = self.factor * math.exp(distance)
        self.factor = min(factor, self.settings.max_factor)

    def correct(
        self,
        pressure: float,
        demand: float,
        now_s: float,
        slots_used: float = 0.0,
        admitted: float = 0.0,
    ) -> None:
        """Correct the factor by a sample of the pressure on the engines.

        The correction is in proportion to the time since the last one, so that
        routers with many requests and with few correct alike.

        Parameters
        ----------
        demand : float
            Demand relative to the nominal throughput. If it is below the factor, a low
            pressure does not show that the engines could give more.
        slots_used : float
            Running and waiting requests of the engines relative to their slots.
        admitted : float
            Tokens admitted lately relative to the nominal throughput. If they exceed
            the factor, as at the start of a surge, a part of the pressure is theirs.
        """
        settings = self.settings
        steps = (now_s - self.corrected_s) / settings.control_s
        if not math.isfinite(steps):
            steps = 1.0
        steps = min(max(steps, 1.0), MAX_CORRECTION_STEPS)
        self.corrected_s = now_s
        self.newest = pressure
        weight = 1.0 - (1.0 - settings.smoothing) ** steps
        self.pressure += weight * (pressure - self.pressure)
        self.slots_used += weight * (slots_used - self.slots_used)
        pressure = self.pressure
        if pressure > 1.0:
            pressure = max(1.0, pressure / max(1.0, admitted / self.factor))
        change = settings.gain * (1.0 - pressure)
        if change > 0 and demand <= self.factor:
            part = 1.0 - (1.0 - settings.max_change) ** steps
            self.factor += part * (1.0 - self.factor)
            return
        floor = min(self.factor, settings.promised_factor)
        if self.slots_used > settings.overload_slots_used:
            floor = settings.min_factor
            self.factor = min(self.factor, max(demand, floor))
        change = min(max(change, -settings.max_change), settings.max_change)
        self.factor *= (1.0 + change) ** steps
        self.factor = min(max(self.factor, floor), settings.max_factor)
