"""Record of disruptions, so that checks know when a guarantee applies."""

from __future__ import annotations

import asyncio
import time
from dataclasses import dataclass, field

__all__ = ["HARNESS", "DisruptionLog", "monitor_harness_lag"]

# Component name of the soak's own process, in which callers, engines and store run.
HARNESS = ("harness",)
LAG_SAMPLE_INTERVAL_S = 0.05
# With a greater lag, times measured by callers and engines say nothing about routers.
MAX_LAG_S = 0.2


@dataclass(slots=True)
class DisruptionLog:
    """Time spans in which a component was disrupted.

    A component is named by a tuple such as ``("router", "r1")`` or ``("store",)``.
    """

    _spans: list[tuple[tuple, float, float | None]] = field(default_factory=list)

    def begin(self, component: tuple) -> int:
        """Record the start of a disruption and return the index of its span."""
        self._spans.append((component, time.monotonic(), None))
        return len(self._spans) - 1

    def end(self, number: int) -> None:
        """Record the end of the disruption with the given span index."""
        component, began_s, _ = self._spans[number]
        self._spans[number] = (component, began_s, time.monotonic())

    def undisrupted(self, components: list[tuple], from_s: float, to_s: float) -> bool:
        """Return whether none of the components was disrupted in a time span.

        A component includes those whose names start with its own: ``("store",)``
        includes ``("store", "r1")``.
        """
        return not any(
            began_s <= to_s
            and (ended_s is None or ended_s >= from_s)
            and any(component[: len(wanted)] == wanted for wanted in components)
            for component, began_s, ended_s in self._spans
        )

    def ever_disrupted(self, component: tuple) -> bool:
        """Return whether a component was ever disrupted."""
        return any(known[: len(component)] == component for known, _, _ in self._spans)

    def record(self, component: tuple, began_s: float, ended_s: float) -> None:
        """Record a span that has already ended."""
        self._spans.append((component, began_s, ended_s))


async def monitor_harness_lag(disruptions: DisruptionLog) -> None:
    """Record the spans in which the soak's own event loop lagged, until cancelled."""
    while True:
        began_s = time.monotonic()
        await asyncio.sleep(LAG_SAMPLE_INTERVAL_S)
        ended_s = time.monotonic()
        if ended_s - began_s - LAG_SAMPLE_INTERVAL_S > MAX_LAG_S:
            disruptions.record(HARNESS, began_s, ended_s)
