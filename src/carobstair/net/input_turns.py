"""Shares the time of the event loop among connections whose bodies are read.

What a byte of a body costs depends on how its sender has cut it. Each turn of the loop
spends a bounded time on bodies; connections that find none left are not read and take
their turns one after the other. Heads don't wait here, so that new requests do not
stand behind the bodies of others.
"""

from __future__ import annotations

import asyncio
import time
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Protocol

__all__ = ["InputTurns"]

# Time that one turn spends on bodies; a piece that has begun is finished.
TURN_S = 0.005
# A body that has cost less goes before those that have cost more: ordinary bodies
# are done before they have cost as much.
LIGHT_BODY_S = 0.001
# Less than this is carried over: most turns read small bodies only, and need no end.
MIN_COUNTED_S = 0.0005


class Waiting(Protocol):
    """A connection that has held what it received of a body."""

    def take_turn(self) -> None:
        """Read what was held, and go on to receive."""


@dataclass(slots=True)
class InputTurns:
    """Queue of the connections of one server whose bodies wait for a turn.

    Parameters
    ----------
    clock : callable
        Returns monotonic time in seconds.
    """

    clock: Callable[[], float] = time.monotonic
    _light: deque[Waiting] = field(default_factory=deque)
    _heavy: deque[Waiting] = field(default_factory=deque)
    _spent_s: float = 0.0
    _is_scheduled: bool = False

    @property
    def has_time(self) -> bool:
        """Whether a part of a body may be read at once."""
        return self._spent_s < TURN_S and not self._heavy and not self._light

    def spend(self, spent_s: float) -> None:
        """Note time that was spent on a body in this turn."""
        self._spent_s += spent_s
        if self._spent_s >= MIN_COUNTED_S:
            self._schedule()

    def wait(self, connection: Waiting, body_s: float) -> None:
        """Have a connection take its turn, given the time that its body has cost."""
        queue = self._light if body_s < LIGHT_BODY_S else self._heavy
        queue.append(connection)
        self._schedule()

    def _schedule(self) -> None:
        if not self._is_scheduled:
            self._is_scheduled = True
            # Runs in the next turn, before what is received in it.
            asyncio.get_running_loop().call_soon(self._begin_turn)

    def _begin_turn(self) -> None:
        self._is_scheduled = False
        self._spent_s = 0.0
        try:
            # Those that come back while this turn lasts wait for the next one.
            for queue in (self._light, self._heavy):
                for _ in range(len(queue)):
                    if self._spent_s >= TURN_S:
                        break
                    queue.popleft().take_turn()
        finally:
            if self._light or self._heavy:
                self._schedule()
