"""Lets a bounded number of new requests into each turn of the event loop.

Intended for a router that gets more requests than it has processor time for: if each
turn reads all that has arrived, turns last for seconds, and requests that were
admitted wait for several of them before they are sent on. Streams under way wait as
well. Behind the gate new requests wait, and those that are admitted don't.

While requests wait for long, the newest are read first: they can still be served in
time, whereas in the order of arrival all would be late. The oldest are turned away,
unread and thus at little cost; their callers can retry through another router.
"""

from __future__ import annotations

import asyncio
import time
from collections import deque
from collections.abc import Callable
from dataclasses import dataclass, field

__all__ = ["ArrivalGate"]

# A turn with so many new requests takes some 10 ms on the slowest machines.
MAX_PER_TURN = 16
# Requests that are turned away in one turn; each takes a tenth of the time.
MAX_TURNED_AWAY_PER_TURN = 64
# Wait of the oldest request from which the newest are read first, and from which
# requests are turned away: about half of the shortest objective for a first token.
LONG_WAIT_S = 0.1
MAX_WAIT_S = 0.25

# Called with the monotonic time of the arrival.
Read = Callable[[float], None]
# Returns whether a request was turned away; one that can't be is read.
TurnAway = Callable[[], bool]


@dataclass(frozen=True, slots=True)
class _Arrival:
    at_s: float
    read: Read
    turn_away: TurnAway


@dataclass(slots=True)
class ArrivalGate:
    """Queue of new requests.

    Parameters
    ----------
    clock : callable
        Returns monotonic time in seconds.
    """

    clock: Callable[[], float] = time.monotonic
    _waiting: deque[_Arrival] = field(default_factory=deque)
    _entered: int = 0
    _is_scheduled: bool = False

    @property
    def is_idle(self) -> bool:
        """Whether no request waits."""
        return not self._waiting

    def enter(self) -> bool:
        """Return whether a request may be read in this turn."""
        if self._waiting or self._entered >= MAX_PER_TURN:
            return False
        self._entered += 1
        self._schedule()
        return True

    def wait(self, read: Read, turn_away: TurnAway) -> None:
        """Have a request read, or turned away, in a later turn."""
        self._waiting.append(_Arrival(self.clock(), read, turn_away))
        self._schedule()

    def _schedule(self) -> None:
        if not self._is_scheduled:
            self._is_scheduled = True
            # Runs in the next turn, before what is read in it.
            asyncio.get_running_loop().call_soon(self._begin_turn)

    def _begin_turn(self) -> None:
        self._is_scheduled = False
        self._entered = 0
        try:
            self._read_waiting(self.clock())
        finally:
            # Also if a read fails: the others would wait for the next arrival.
            if self._entered or self._waiting:
                self._schedule()

    def _read_waiting(self, now_s: float) -> None:
        self._turn_away_oldest(now_s)
        while self._waiting and self._entered < MAX_PER_TURN:
            is_long = now_s - self._waiting[0].at_s > LONG_WAIT_S
            arrival = self._waiting.pop() if is_long else self._waiting.popleft()
            self._entered += 1
            arrival.read(arrival.at_s)

    def _turn_away_oldest(self, now_s: float) -> None:
        for _ in range(MAX_TURNED_AWAY_PER_TURN):
            if not self._waiting or now_s - self._waiting[0].at_s <= MAX_WAIT_S:
                return
            arrival = self._waiting.popleft()
            if not arrival.turn_away():
                self._entered += 1
                arrival.read(arrival.at_s)
