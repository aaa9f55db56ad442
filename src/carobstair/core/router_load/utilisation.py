"""Share of time that an event loop spends on work."""

from __future__ import annotations

import math
from dataclasses import dataclass

__all__ = ["LoopUtilisation"]

# Time constant of the smoothing. Requests wait for several turns of the loop, so the
# measure has to follow within a fraction of the shortest objective of 250 ms; a
# shorter one follows single turns.
TIME_CONSTANT_S = 0.2
# Turns are summed over this time before they are smoothed, which saves an exponential
# for each turn.
FOLD_INTERVAL_S = 0.01
# A longer turn counts as one of this length: a process that was suspended for seconds
# is not overloaded. Turns of a loop without spare time last for 10 to 50 ms.
MAX_TURN_S = 0.1


@dataclass(slots=True)
class LoopUtilisation:
    """Smoothed share of time that was not spent waiting for events.

    Processor time that the system takes away during a turn counts as work, whether it
    is limited by a quota or by a share: requests wait for it alike.
    """

    _value: float = 0.0
    _work_s: float = 0.0
    _wait_s: float = 0.0
    _measured: bool = False

    def note_turn(self, work_s: float, wait_s: float) -> None:
        """Record one turn of the loop: its work, and the wait for events after it."""
        self._work_s += min(work_s, MAX_TURN_S)
        self._wait_s += wait_s
        if self._work_s + self._wait_s >= FOLD_INTERVAL_S:
            self._fold()

    def _fold(self) -> None:
        all_s = self._work_s + self._wait_s
        kept = math.exp(-all_s / TIME_CONSTANT_S)
        self._value = kept * self._value + (1.0 - kept) * self._work_s / all_s
        self._work_s = self._wait_s = 0.0
        self._measured = True

    @property
    def value(self) -> float | None:
        """Utilisation between 0 and 1; None if the event loop does not measure it."""
        return self._value if self._measured else None
