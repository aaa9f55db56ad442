"""A clock for tests that stands still while the machine doesn't run the test.

Time-outs and durations of a test whose router, callers and stand-ins share one event
loop are then the same on a machine that stalls or that has other work.
"""

import asyncio
import contextlib
import time
from unittest import mock

__all__ = ["occupy", "steady_clock"]

# Longest time without the processor that counts in one turn of the event loop: above
# the pauses of an idle machine, and far below the shortest bound of a test.
MAX_PAUSE_S = 0.005


class _SteadyClock:
    """Time that an event loop has waited for its timers or has worked.

    Parameters
    ----------
    wall_s : callable
        Returns monotonic time in seconds.
    select : callable
        Waits for events of the loop's selector.
    """

    def __init__(self, wall_s, select):
        self._wall_s = wall_s
        self._select = select
        self._begin_turn(wall_s())

    def _begin_turn(self, now_s):
        self._turn_s = now_s
        self._turn_wall_s = self._wall_s()
        self._turn_work_s = time.process_time()

    def now_s(self):
        """Return the time; pauses of the process don't count."""
        wall_s = self._wall_s() - self._turn_wall_s
        work_s = time.process_time() - self._turn_work_s
        return self._turn_s + min(wall_s, work_s + MAX_PAUSE_S)

    def select(self, timeout=None):
        """Wait for events; time beyond the time-out doesn't count."""
        now_s, began_s = self.now_s(), self._wall_s()
        events = self._select(timeout)
        waited_s = self._wall_s() - began_s
        if timeout is not None:
            waited_s = min(waited_s, max(timeout, 0.0) + MAX_PAUSE_S)
        self._begin_turn(now_s + waited_s)
        return events


@contextlib.contextmanager
def steady_clock():
    """Use such a clock for the running event loop and for `time.monotonic`.

    A call that blocks the event loop without work, such as `time.sleep`, doesn't take
    time then; see `occupy`. `test_blocking_calls` looks for such calls.
    """
    loop = asyncio.get_running_loop()
    selector = loop._selector
    clock = _SteadyClock(time.monotonic, selector.select)
    with (
        mock.patch.object(selector, "select", clock.select),
        mock.patch.object(loop, "time", clock.now_s),
        mock.patch("time.monotonic", clock.now_s),
    ):
        yield


def occupy(seconds):
    """Block the event loop with work, as requests of other callers do."""
    end_s = time.process_time() + seconds
    while time.process_time() < end_s:
        pass
