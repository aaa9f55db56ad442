"""A deadline that moves often and passes rarely."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

__all__ = ["Watchdog"]


class Watchdog:
    """Calls back when an armed deadline passes.

    Moving the deadline costs an assignment: one timer runs to the oldest deadline
    and then to the one in force. A timeout around each token or each send takes
    several microseconds more.

    Parameters
    ----------
    on_expired : callable
        Called once per deadline that passed while armed.
    """

    def __init__(self, on_expired: Callable[[], None]):
        self._on_expired = on_expired
        self._loop = asyncio.get_running_loop()
        self._until_s: float | None = None
        self._timer: asyncio.TimerHandle | None = None

    def arm(self, until_s: float) -> None:
        """Set the deadline, in seconds of the event loop's clock."""
        self._until_s = until_s
        if self._timer is not None and self._timer.when() > until_s:
            self._timer.cancel()
            self._timer = None
        if self._timer is None:
            self._timer = self._loop.call_at(until_s, self._check)

    def disarm(self) -> None:
        """Let no deadline stand."""
        self._until_s = None

    def close(self) -> None:
        """Disarm and stop the timer."""
        self.disarm()
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None

    def _check(self) -> None:
        self._timer = None
        if self._until_s is None:
            return
        if self._loop.time() < self._until_s:
            self._timer = self._loop.call_at(self._until_s, self._check)
            return
        self._until_s = None
        self._on_expired()
