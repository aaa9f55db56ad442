"""Refusals of a process that gets too late to what is due.

Answers the load of one workspace whose callers all come through one router: it
has no processor time left while its peers are idle, and reads requests after their
callers have given up. A refused caller comes back through another router.
"""

from __future__ import annotations

import random
from dataclasses import dataclass

__all__ = ["OverloadGuard", "OverloadSettings"]


@dataclass(frozen=True, slots=True)
class OverloadSettings:
    """From when on, and how much, is refused.

    Attributes
    ----------
    stream_lag_s : float
        Lag from which some streams are refused: a quarter of the shortest
        objective for a first token, 400 ms, as a request waits for several turns
        of the loop.
    other_lag_s : float
        Lag from which some of the other requests are refused; they take a tenth
        of the work of a stream.
    most_refused : float
        Part that is refused at most, so that the lag is still seen to end.
    half_life_s : float
        Time in which a past lag counts half.
    """

    stream_lag_s: float = 0.1
    other_lag_s: float = 0.2
    most_refused: float = 0.9
    half_life_s: float = 0.2


@dataclass(slots=True)
class OverloadGuard:
    """Decides by the lag of the process's event loop.

    Parameters
    ----------
    settings : OverloadSettings
    """

    settings: OverloadSettings = OverloadSettings()
    _lag_s: float = 0.0
    _at_s: float = 0.0

    def note(self, lag_s: float, now_s: float) -> None:
        """Take in how late a timer was."""
        # A process that stood still for seconds has no load to refuse.
        bounded_s = min(lag_s, 2.0 * self.settings.other_lag_s)
        self._lag_s = max(bounded_s, self.lag_s(now_s))
        self._at_s = now_s

    def lag_s(self, now_s: float) -> float:
        """Return the lag, which fades."""
        age_s = max(0.0, now_s - self._at_s)
        return self._lag_s * 0.5 ** (age_s / self.settings.half_life_s)

    def refuses(self, stream: bool, now_s: float, rng: random.Random) -> bool:
        """Return whether a request should be refused.

        The part that is refused grows from none at the limit to its most at
        twice the limit.
        """
        rules = self.settings
        limit_s = rules.stream_lag_s if stream else rules.other_lag_s
        excess = self.lag_s(now_s) / limit_s - 1.0
        if excess <= 0.0:
            return False
        return rng.random() < min(rules.most_refused, excess)
