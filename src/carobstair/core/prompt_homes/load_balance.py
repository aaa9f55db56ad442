"""The load up to which an engine may be chosen as a home without further cost."""

from __future__ import annotations

import math
from collections.abc import Collection
from dataclasses import dataclass

from carobstair.core.prompt_homes.settings import HomeSettings

__all__ = ["LoadBalance"]


@dataclass(slots=True)
class LoadBalance:
    """Bounded loads: engines above them cost more for requests that have homes.

    Having a part read at its next home because of a momentary load that is mere chance
    costs more than the load, so the bound leaves room for chance.

    Attributes
    ----------
    spare_requests : float
        Requests beyond the mean that are ascribed to chance.
    bound_requests : float
        Requests at an engine from which it costs more.
    """

    settings: HomeSettings = HomeSettings()
    spare_requests: float = 0.0
    bound_requests: float = math.inf
    _measured_s: float = -math.inf

    def is_due(self, now_s: float) -> bool:
        """Return whether the loads should be measured again."""
        return now_s - self._measured_s >= self.settings.load_interval_s

    def update(self, running: Collection[int], now_s: float) -> None:
        """Compute the bounds from the requests at each engine."""
        self._measured_s = now_s
        settings = self.settings
        mean = max(0.0, sum(running) / max(1, len(running)))
        # Requests that arrive independently deviate by the root of their mean.
        self.spare_requests = settings.balance_requests
        self.spare_requests += settings.balance_deviations * math.sqrt(mean)
        self.bound_requests = mean * (1.0 + settings.balance_slack)
        self.bound_requests += self.spare_requests
