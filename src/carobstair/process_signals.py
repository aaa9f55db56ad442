"""Signals from the first moment of a process on.

By default SIGHUP, SIGUSR1 and SIGUSR2 end a process. A program calls `hold_reloads`
before its imports, which take most of its start, and `on_reload` once it can reload.
SIGTERM keeps its default until then: a process that has taken no request ends at once.
"""

from __future__ import annotations

import signal
from collections.abc import Callable
from types import FrameType
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    import asyncio

__all__ = ["hold_reloads", "on_reload"]

# Signals that mean nothing to the programs.
IGNORED = (signal.SIGUSR1, signal.SIGUSR2)

_held: list[int] = []


def hold_reloads() -> None:
    """Keep signals that do not ask for an end from ending this process."""
    signal.signal(signal.SIGHUP, _hold)
    for number in IGNORED:
        signal.signal(number, signal.SIG_IGN)


def on_reload(loop: asyncio.AbstractEventLoop, reload: Callable[[str], None]) -> None:
    """Have settings reloaded on SIGHUP, and now if one was held.

    Parameters
    ----------
    loop : asyncio event loop
    reload : callable
        Called with the reason.
    """
    for number in IGNORED:
        signal.signal(number, signal.SIG_IGN)
    loop.add_signal_handler(signal.SIGHUP, reload, "signal")
    if _held:
        _held.clear()
        reload("signal during the start")


def _hold(number: int, frame: FrameType | None) -> None:
    _held[:] = [number]
