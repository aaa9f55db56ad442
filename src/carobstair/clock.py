"""Clock for leases and deadlines that also runs while the machine is suspended.

The monotonic clock stands still during a suspension, so a lease measured by it would
still count as held after it expired.
"""

from __future__ import annotations

import time

__all__ = ["now_s", "suspended_s"]

_BOOT_CLOCK = getattr(time, "CLOCK_BOOTTIME", time.CLOCK_MONOTONIC)
# Both clocks agree at the start of the process.
_START_DIFFERENCE_S = time.clock_gettime(_BOOT_CLOCK) - time.monotonic()


def now_s() -> float:
    """Return seconds on a clock that runs during suspensions."""
    return time.clock_gettime(_BOOT_CLOCK) - _START_DIFFERENCE_S


def suspended_s() -> float:
    """Return for how long the machine was suspended since the process started."""
    return max(0.0, now_s() - time.monotonic())
