"""Structured logging in logfmt with a rate limit for each event."""

from __future__ import annotations

import logging
import os
import sys
import time
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import TextIO

import structlog

__all__ = [
    "LineWriter",
    "RateLimit",
    "Suppressed",
    "configure_logging",
    "get_logger",
    "is_suppressed",
]

# Keeps a flood of one event from filling the disk or hiding other events.
EVENTS_PER_INTERVAL = 100
INTERVAL_S = 10.0

EventKey = tuple[str, str]


@dataclass(frozen=True, slots=True)
class Suppressed:
    """Number of times that an event was suppressed."""

    key: EventKey
    count: int


@dataclass(slots=True)
class _Window:
    began_s: float
    seen: int = 0

    def suppressed(self, limit: int) -> int:
        return max(0, self.seen - limit)


@dataclass(slots=True)
class RateLimit:
    """Admits up to `limit` events of each kind per interval.

    Parameters
    ----------
    limit : int
        Events of one kind per interval.
    interval_s : float
        Length of the interval in seconds.
    """

    limit: int = EVENTS_PER_INTERVAL
    interval_s: float = INTERVAL_S
    _windows: dict[EventKey, _Window] = field(default_factory=dict)

    def admits(self, key: EventKey, now_s: float) -> bool:
        """Count an event and return whether it may be logged."""
        window = self._windows.setdefault(key, _Window(now_s))
        window.seen += 1
        return window.seen <= self.limit

    def suppresses(self, key: EventKey, now_s: float) -> bool:
        """Count an event that would not be logged and return whether that is so."""
        window = self._windows.get(key)
        if window is None or window.seen < self.limit:
            return False
        if now_s - window.began_s >= self.interval_s:
            return False
        window.seen += 1
        return True

    def pop_suppressed(self, now_s: float) -> list[Suppressed]:
        """Remove the intervals that have ended and return what they suppressed."""
        ended = [
            key
            for key, window in self._windows.items()
            if now_s - window.began_s >= self.interval_s
        ]
        closed = [
            Suppressed(key, self._windows.pop(key).suppressed(self.limit))
            for key in ended
        ]
        return [item for item in closed if item.count]


class _RateLimitProcessor:
    """Drops events over the limit and logs their count after the interval.

    The count is logged with the next event of any kind, so every burst is reported
    as long as the process logs anything.
    """

    def __init__(self, limit: RateLimit, clock: Callable[[], float]):
        self._limit = limit
        self._clock = clock

    def __call__(self, logger, method_name: str, event_dict: dict) -> dict:
        now_s = self._clock()
        for item in self._limit.pop_suppressed(now_s):
            module, event = item.key
            structlog.get_logger(module=module).warning(
                "events_suppressed", suppressed_event=event, count=item.count
            )
        key = _event_key(
            event_dict.get("module", ""),
            event_dict["event"],
            event_dict.get("outcome", ""),
        )
        if not self._limit.admits(key, now_s):
            raise structlog.DropEvent
        return event_dict


def _event_key(module: str, event: str, outcome: str) -> EventKey:
    # The outcome is part of the key, so that frequent failures of one kind don't
    # suppress those of another.
    return module, f"{event} {outcome}" if outcome else event


@dataclass(slots=True)
class _Active:
    limit: RateLimit = field(default_factory=RateLimit)
    clock: Callable[[], float] = time.monotonic


_active = _Active()


def is_suppressed(module: str, event: str, outcome: str = "") -> bool:
    """Return whether an event would not be logged, and count it if so.

    Saves the work of a line for frequent events.
    """
    key = _event_key(module, event, outcome)
    return _active.limit.suppresses(key, _active.clock())


class LineWriter:
    """Text stream that drops and counts lines instead of blocking.

    If the reader stops, log lines are lost, but requests are not delayed.

    Parameters
    ----------
    descriptor : int
        Open file descriptor; it is set to non-blocking mode.
    """

    def __init__(self, descriptor: int):
        self._descriptor = descriptor
        self.lost = 0
        os.set_blocking(descriptor, False)

    def write(self, text: str) -> int:
        """Write text; drop what the descriptor does not accept."""
        if self.lost:
            text = f"event=log_lines_lost count={self.lost}\n{text}"
        data = text.encode(errors="replace")
        try:
            written = os.write(self._descriptor, data)
        except OSError:
            written = 0
        # A partially written line also counts as lost.
        self.lost = 0 if written == len(data) else self.lost + 1
        return len(text)

    def flush(self) -> None:
        """Do nothing; output is not buffered."""


def configure_logging(
    level: str = "info",
    zone: str = "",
    stream: TextIO | None = None,
    limit: RateLimit | None = None,
    clock: Callable[[], float] = time.monotonic,
) -> None:
    """Configure logging of key=value lines to a stream.

    Parameters
    ----------
    level : str
        Lowest level that is logged.
    zone : str, optional
        Availability zone to add to each line.
    stream : TextIO, optional
        Output stream; standard error by default.
    limit : RateLimit, optional
        Limit on repeated events.
    clock : callable, optional
        Returns monotonic time in seconds.
    """
    _active.limit = limit or RateLimit()
    _active.clock = clock

    def add_zone(logger, method_name: str, event_dict: dict) -> dict:
        if zone:
            event_dict.setdefault("zone", zone)
        return {k: v for k, v in event_dict.items() if v is not None and v != ""}

    structlog.configure(
        processors=[
            _RateLimitProcessor(_active.limit, clock),
            structlog.contextvars.merge_contextvars,
            add_zone,
            structlog.processors.add_log_level,
            structlog.processors.TimeStamper(fmt="iso", utc=True),
            structlog.processors.format_exc_info,
            structlog.processors.LogfmtRenderer(
                key_order=["timestamp", "level", "module", "event"],
                drop_missing=True,
            ),
        ],
        wrapper_class=structlog.make_filtering_bound_logger(
            logging.getLevelNamesMapping()[level.upper()]
        ),
        logger_factory=structlog.WriteLoggerFactory(stream or sys.stderr),
        # Tests call this repeatedly; module loggers must use the latest settings.
        cache_logger_on_first_use=False,
    )


def get_logger(name: str) -> structlog.typing.FilteringBoundLogger:
    """Return the logger of a module."""
    return structlog.get_logger(module=name)
