"""What was disturbed when, so that checks know where a promise binds."""

from __future__ import annotations

import asyncio
import time
from dataclasses import dataclass, field

__all__ = ["HARNESS", "Disturbances", "watch_own_lag"]

# Callers, engines and store run in the soak's own process.
HARNESS = ("harness",)
LAG_TURN_S = 0.05
# Later than this, what callers and engines saw tells no more about the routers.
MOST_LAG_S = 0.2


@dataclass(slots=True)
class Disturbances:
    """Spans of time in which a part of the world was not calm.

    A part is named by a tuple such as ``("router", "r1")`` or ``("store",)``.
    """

    _spans: list[tuple[tuple, float, float | None]] = field(default_factory=list)

    def begin(self, part: tuple) -> int:
        """Note that a part is disturbed from now on; return the span's number."""
        self._spans.append((part, time.monotonic(), None))
        return len(self._spans) - 1

    def end(self, number: int) -> None:
        """Note that a span is over."""
        part, began_s, _ = self._spans[number]
        self._spans[number] = (part, began_s, time.monotonic())

    def calm(self, parts: list[tuple], from_s: float, to_s: float) -> bool:
        """Return whether none of some parts was disturbed in a span of time.

        A part also covers those whose names begin with it: ``("store",)`` covers
        ``("store", "r1")``.
        """
        return not any(
            began_s <= to_s
            and (ended_s is None or ended_s >= from_s)
            and any(part[: len(wanted)] == wanted for wanted in parts)
            for part, began_s, ended_s in self._spans
        )

    def any(self, part: tuple) -> bool:
        """Return whether a part was ever disturbed."""
        return any(known[: len(part)] == part for known, _, _ in self._spans)

    def note(self, part: tuple, began_s: float, ended_s: float) -> None:
        """Note a span that is known afterwards only."""
        self._spans.append((part, began_s, ended_s))


async def watch_own_lag(disturbed: Disturbances) -> None:
    """Note the spans in which the soak's own process was late, until cancelled."""
    while True:
        began_s = time.monotonic()
        await asyncio.sleep(LAG_TURN_S)
        ended_s = time.monotonic()
        if ended_s - began_s - LAG_TURN_S > MOST_LAG_S:
            disturbed.note(HARNESS, began_s, ended_s)
