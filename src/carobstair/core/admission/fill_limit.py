"""Limit on how fast one router fills the engines, for the first second of a surge.

A surge shows in the sums of all routers only when they are exchanged, and in the
averaged demand later still. Until then each router would fill all free slots by itself.
"""

from __future__ import annotations

import math
from collections.abc import Callable
from dataclasses import dataclass

from carobstair.core.admission.room import EngineLoad
from carobstair.core.admission.settings import AdmissionSettings

__all__ = ["FillLimit"]

# Requests that a router may always send at once: with many routers its part of the free
# slots is less than one.
MIN_BURST_REQUESTS = 1.0
# Steady load is limited by shares; this only bounds what they let through too early.
SLACK = 1.2


@dataclass(slots=True)
class FillLimit:
    """Requests that this router may send, as its part of what engines take up.

    Free slots are filled within the age of the sums, in addition to the requests that
    end meanwhile: those of this router, or its part of all if these are more.

    Parameters
    ----------
    settings : AdmissionSettings
    """

    settings: AdmissionSettings
    _allowed: float = math.inf
    _burst: float = MIN_BURST_REQUESTS
    _at_s: float = -math.inf
    # Requests of this router at the engines when they were counted, those sent since,
    # and its part of those that ended since.
    _running: int = 0
    _sent: int = 0
    _ended: float = 0.0

    def refill(
        self, engines: EngineLoad, part: float, lag_s: float, now_s: float
    ) -> None:
        """Add what may be sent since the last call.

        Parameters
        ----------
        part : float
            Part of the throughput of all engines that callers of this router ask for.
        lag_s : float
            Age of the sums of all routers.
        """
        if not engines.slots:
            self._allowed = math.inf
            return
        elapsed_s = min(now_s - self._at_s, lag_s)
        self._at_s = now_s
        used = engines.slots_used
        slots = SLACK * part * engines.slots
        ending_per_s = slots * min(used, 1.0) / self.settings.hold_s
        fill_per_s = slots * (self.settings.target_slots_used - used) / lag_s
        per_s = max(ending_per_s + fill_per_s, 0.0)
        self._burst = max(MIN_BURST_REQUESTS, per_s * lag_s)
        self._allowed = min(self._allowed + per_s * elapsed_s, self._burst)
        self._ended += min(ending_per_s, per_s) * elapsed_s

    def is_open(self, running: Callable[[], int]) -> bool:
        """Return whether a request may be sent now.

        Parameters
        ----------
        running : callable
            Returns the requests that this router has at the engines.
        """
        if self._allowed > 0:
            return True
        counted = running()
        ended = self._running + self._sent - counted - self._ended
        self._running, self._sent, self._ended = counted, 0, 0.0
        self._allowed = min(self._allowed + max(ended, 0.0), self._burst)
        return self._allowed > 0

    def note_sent(self) -> None:
        """Count a request, whether it was limited or not."""
        self._sent += 1
        self._allowed = max(self._allowed - 1.0, -MIN_BURST_REQUESTS)
