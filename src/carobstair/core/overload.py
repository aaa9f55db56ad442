"""Load shedding of a process whose event loop is late or about to be late.

Intended for a workspace whose callers all use one router: that router runs out of
processor time while its peers are idle, and reads requests after their callers have
given up. A refused caller can retry through another router.
"""

from __future__ import annotations

import random
from dataclasses import dataclass, field

from carobstair.core.router_load import (
    EarlyShedding,
    EarlySheddingSettings,
    LoopUtilisation,
)

__all__ = ["OverloadGuard", "OverloadSettings"]


@dataclass(frozen=True, slots=True)
class OverloadSettings:
    """Thresholds of the load shedding, and the fraction that is refused.

    Attributes
    ----------
    stream_lag_s : float
        Lag from which some streams are refused: a quarter of the shortest
        objective for the first token, 400 ms, because a request waits for several
        iterations of the event loop.
    other_lag_s : float
        Lag from which some of the other requests are refused; one of them costs a
        tenth of the work of a stream.
    max_refused_fraction : float
        Largest fraction that is refused. Below 1, so that the end of the lag is
        still noticed.
    half_life_s : float
        Time in which a past lag decays to half.
    redirect : bool
        Whether requests are also refused before the event loop is late, for their
        callers to reach a peer that is less busy.
    hand_off : bool
        Whether requests are handed to idle peers before they are refused. This spreads
        what workspaces ask for beyond their share as well, so it pays where admission
        keeps the queues of the engines short.
    early : EarlySheddingSettings
        Thresholds of the early refusals.
    """

    stream_lag_s: float = 0.1
    other_lag_s: float = 0.2
    max_refused_fraction: float = 0.9
    half_life_s: float = 0.2
    redirect: bool = False
    hand_off: bool = False
    early: EarlySheddingSettings = EarlySheddingSettings()


@dataclass(slots=True)
class OverloadGuard:
    """Decides on refusals by the lag and the utilisation of the process's event loop.

    Parameters
    ----------
    settings : OverloadSettings
    utilisation : LoopUtilisation, optional
        Without it only the lag counts.
    """

    settings: OverloadSettings = OverloadSettings()
    utilisation: LoopUtilisation | None = None
    early: EarlyShedding = field(init=False)
    _lag_s: float = 0.0
    _at_s: float = 0.0

    def __post_init__(self) -> None:
        settings = self.settings
        self.early = EarlyShedding(settings.early, settings.redirect, self.utilisation)

    def enable_redirect(self) -> None:
        """Refuse requests early from now on, whatever the settings say."""
        self.early.enabled = True

    def is_early(self, now_s: float) -> bool:
        """Return whether a refused caller should try a less busy peer at once."""
        return self.early.peer_advantage(now_s) > 0.0

    def note(self, lag_s: float, now_s: float) -> None:
        """Record how late a timer fired."""
        # A process that was suspended for seconds is not overloaded.
        bounded_s = min(lag_s, 2.0 * self.settings.other_lag_s)
        self._lag_s = max(bounded_s, self.lag_s(now_s))
        self._at_s = now_s

    def lag_s(self, now_s: float) -> float:
        """Return the decayed lag."""
        age_s = max(0.0, now_s - self._at_s)
        return self._lag_s * 0.5 ** (age_s / self.settings.half_life_s)

    def refuses(self, stream: bool, now_s: float, rng: random.Random) -> bool:
        """Return whether a request should be refused.

        The fraction refused grows linearly from 0 at the threshold, and reaches
        `max_refused_fraction` shortly before twice the threshold.
        """
        settings = self.settings
        limit_s = settings.stream_lag_s if stream else settings.other_lag_s
        excess = self.lag_s(now_s) / limit_s - 1.0
        if excess <= 0.0:
            return False
        return rng.random() < min(settings.max_refused_fraction, excess)
