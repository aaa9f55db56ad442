"""Selector that measures how long an event loop waits for events."""

from __future__ import annotations

import asyncio
import selectors
import time
from collections.abc import Callable

from carobstair.core.router_load import LoopUtilisation

__all__ = ["MeasuredSelector", "measured_loop"]

# Waits end so much after their timeout at most on a process that can run: the system
# rounds them up to milliseconds.
ROUNDING_S = 0.002


class MeasuredSelector(selectors.DefaultSelector):
    """The system's selector, which reports each turn of its event loop.

    Parameters
    ----------
    utilisation : LoopUtilisation
    clock : callable
        Returns monotonic time in seconds.
    """

    def __init__(
        self,
        utilisation: LoopUtilisation,
        clock: Callable[[], float] = time.perf_counter,
    ):
        super().__init__()
        self._utilisation = utilisation
        self._clock = clock
        self._turn_began_s = clock()

    def select(self, timeout: float | None = None) -> list:
        """Wait for events, and report the turn that ends with this call."""
        began_s = self._clock()
        events = super().select(timeout)
        ended_s = self._clock()
        waited_s = ended_s - began_s
        if timeout is not None:
            # With work at hand nothing is waited for. While a wait lasts longer than it
            # should, the process is not run by the system.
            allowed_s = timeout + ROUNDING_S if timeout > 0.0 else 0.0
            waited_s = min(waited_s, allowed_s)
        self._utilisation.note_turn(ended_s - self._turn_began_s - waited_s, waited_s)
        self._turn_began_s = ended_s
        return events


def measured_loop(utilisation: LoopUtilisation) -> asyncio.AbstractEventLoop:
    """Return an event loop that reports its turns."""
    return asyncio.SelectorEventLoop(MeasuredSelector(utilisation))
