"""What was disturbed when, so that checks know where a promise binds."""

from __future__ import annotations

import time
from dataclasses import dataclass, field

__all__ = ["Disturbances"]


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
