"""Virtual time: a heap of timed events."""

from __future__ import annotations

import heapq
from collections.abc import Callable

__all__ = ["VirtualClock"]


class VirtualClock:
    """Runs events in order of their time; events of one moment in order of entry."""

    def __init__(self) -> None:
        self.now_s = 0.0
        self._heap: list[tuple[float, int, Callable[[], None]]] = []
        self._entered = 0

    def at(self, time_s: float, action: Callable[[], None]) -> None:
        """Run an action at a time, or now where that time has passed."""
        self._entered += 1
        heapq.heappush(self._heap, (max(time_s, self.now_s), self._entered, action))

    def after(self, delay_s: float, action: Callable[[], None]) -> None:
        """Run an action after a delay in seconds."""
        self.at(self.now_s + delay_s, action)

    def every(
        self, interval_s: float, action: Callable[[], None], first_s: float
    ) -> None:
        """Run an action again and again, from a first time on."""

        def run() -> None:
            action()
            self.after(interval_s, run)

        self.at(first_s, run)

    def run_until(self, end_s: float) -> None:
        """Run all events up to a time."""
        while self._heap and self._heap[0][0] <= end_s:
            self.now_s, _, action = heapq.heappop(self._heap)
            action()
        self.now_s = end_s
