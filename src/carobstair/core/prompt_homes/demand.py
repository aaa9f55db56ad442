"""How often routers send prompts with a shared part, and the homes that it needs."""

from __future__ import annotations

import math
from collections import Counter
from dataclasses import dataclass, field

from carobstair.core.prompt_homes.settings import HomeSettings

__all__ = ["PartDemand"]


@dataclass(slots=True)
class PartDemand:
    """Counts sends by part, from own sends and the rows of peers' digests.

    Intended for a part that suddenly needs several engines: routers learn of the load
    at its home seconds late, and each of them sends too little to see it.
    """

    settings: HomeSettings = HomeSettings()
    _counts: Counter[str] = field(default_factory=Counter)
    # Those of the interval before, and how long it was.
    _earlier: Counter[str] = field(default_factory=Counter)
    _earlier_s: float = math.inf
    _since_s: float = -math.inf

    def note(self, segment: str) -> None:
        """Count a send of a prompt with a part, given by its last shared segment."""
        if segment in self._counts or len(self._counts) < self.settings.max_keys:
            self._counts[segment] += 1

    def update(self, now_s: float) -> None:
        """Begin a new interval if the last has ended."""
        passed_s = now_s - self._since_s
        if passed_s >= self.settings.demand_s:
            self._since_s, self._earlier_s = now_s, passed_s
            self._earlier, self._counts = self._counts, Counter()

    def homes_needed(self, segment: str) -> int:
        """Return the number of engines that a part needs, at least 1."""
        # The greater of both: the present interval has just begun, or demand grows.
        per_s = max(
            self._counts[segment] / self.settings.demand_s,
            self._earlier[segment] / self._earlier_s,
        )
        return max(1, math.ceil(per_s / self.settings.home_requests_per_s))
