"""Virtual clock of the simulation, with its event queue."""

from __future__ import annotations

import heapq
from collections.abc import Callable

__all__ = ["VirtualClock"]


class VirtualClock:
    """Runs events in time order; events with equal times run in scheduling order."""

    def __init__(self) -> None:
        self.now_s = 0.0
        self._heap: list[tuple[float, int, Callable[[], None]]] = []
        self._sequence = 0

    def at(self, time_s: float, action: Callable[[], None]) -> None:
        """Schedule an action at a time, or for now if that time has passed."""
        self._sequence += 1
        heapq.heappush(self._heap, (max(time_s, self.now_s), self._sequence, action))

    def after(self, delay_s: float, action: Callable[[], None]) -> None:
        """Schedule an action after a delay in seconds."""
        self.at(self.now_s + delay_s, action)

    def every(
        self, interval_s: float, action: Callable[[], None], first_s: float
    ) -> None:
        """Schedule an action periodically, starting at `first_s`."""

        def run() -> None:
            action()
            self.after(interval_s, run)

        self.at(first_s, run)

    def run_until(self, end_s: float) -> None:
        """Run all events that are due by a time and advance the clock to it."""
        while self._heap and self._heap[0][0] <= end_s:
            self.now_s, _, action = heapq.heappop(self._heap)
            action()
        self.now_s = end_s
