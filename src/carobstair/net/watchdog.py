"""Timer for a deadline that is moved often and rarely expires."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

__all__ = ["Watchdog"]


class Watchdog:
    """Calls a function when an armed deadline expires.

    Moving the deadline later costs only an assignment: the timer keeps running to the
    old deadline and is then rescheduled to the current one. A timeout around each
    token or each send would take several microseconds more.

    Parameters
    ----------
    on_expired : callable
        Called once for each deadline that expires while armed.
    """

    def __init__(self, on_expired: Callable[[], None]):
        self._on_expired = on_expired
        self._loop = asyncio.get_running_loop()
        self._deadline_s: float | None = None
        self._timer: asyncio.TimerHandle | None = None

    def arm(self, deadline_s: float) -> None:
        """Set the deadline, in seconds of the event loop's clock."""
        self._deadline_s = deadline_s
        if self._timer is not None and self._timer.when() > deadline_s:
            self._timer.cancel()
            self._timer = None
        if self._timer is None:
            self._timer = self._loop.call_at(deadline_s, self._check)

    def disarm(self) -> None:
        """Clear the deadline."""
        self._deadline_s = None

    def close(self) -> None:
        """Disarm and stop the timer."""
        self.disarm()
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None

    def _check(self) -> None:
        self._timer = None
        if self._deadline_s is None:
            return
        if self._loop.time() < self._deadline_s:
            self._timer = self._loop.call_at(self._deadline_s, self._check)
            return
        self._deadline_s = None
        self._on_expired()
