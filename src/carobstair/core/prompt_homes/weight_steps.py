"""Coarse weights of engines, which routers agree on although their estimates differ."""

from __future__ import annotations

from collections.abc import Collection, Mapping
from dataclasses import dataclass, field

from carobstair.core.prompt_homes.settings import HomeSettings

__all__ = ["WeightSteps"]

USUAL_WEIGHT = 1.0


@dataclass(slots=True)
class WeightSteps:
    """Weight by engine: low, 1 or high, with hysteresis between them.

    Attributes
    ----------
    weights : dict
        Weights other than 1, by upstream id.
    """

    settings: HomeSettings = HomeSettings()
    weights: dict[str, float] = field(default_factory=dict)

    def weight(self, upstream_id: str) -> float:
        """Return the weight of an engine."""
        return self.weights.get(upstream_id, USUAL_WEIGHT)

    def update(self, capacities: Mapping[str, float]) -> bool:
        """Adapt the weights to what engines take; return whether one changed.

        Parameters
        ----------
        capacities : mapping
            What each engine takes, in any unit. Engines that are left out keep their
            weights.
        """
        total = sum(capacities.values())
        if total <= 0.0:
            return False
        mean, changed = total / len(capacities), False
        for upstream_id, capacity in capacities.items():
            before = self.weight(upstream_id)
            after = self._step(before, capacity / mean)
            if after == before:
                continue
            changed = True
            if after == USUAL_WEIGHT:
                del self.weights[upstream_id]
            else:
                self.weights[upstream_id] = after
        return changed

    def keep(self, upstream_ids: Collection[str]) -> None:
        """Drop the weights of engines that are not given."""
        for upstream_id in [u for u in self.weights if u not in upstream_ids]:
            del self.weights[upstream_id]

    def _step(self, weight: float, ratio: float) -> float:
        settings = self.settings
        is_low = weight == settings.low_weight
        is_high = weight == settings.high_weight
        if ratio < (settings.leave_low if is_low else settings.enter_low):
            return settings.low_weight
        if ratio > (settings.leave_high if is_high else settings.enter_high):
            return settings.high_weight
        return USUAL_WEIGHT
