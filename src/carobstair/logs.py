"""Logging: one line of key=value pairs per event, repeated events rate-limited."""

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
]

# A flood of one event must neither fill the disk nor hide the other events.
EVENTS_PER_INTERVAL = 100
INTERVAL_S = 10.0

EventKey = tuple[str, str]


@dataclass(frozen=True, slots=True)
class Suppressed:
    """How often an event was left out of the log."""

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
    """Lets the first events of a kind through in each interval.

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
        """Return whether an event may be logged, and count it."""
        window = self._windows.setdefault(key, _Window(now_s))
        window.seen += 1
        return window.seen <= self.limit

    def close_intervals(self, now_s: float) -> list[Suppressed]:
        """Return what intervals that are over have suppressed, and forget them."""
        over = [
            key
            for key, window in self._windows.items()
            if now_s - window.began_s >= self.interval_s
        ]
        closed = [
            Suppressed(key, self._windows.pop(key).suppressed(self.limit))
            for key in over
        ]
        return [item for item in closed if item.count]


class _RateLimitProcessor:
    """Drops events past the limit and tells their number when the interval ends.

    The number is told with the next event of any kind, so a burst is never
    followed by silence about it while the process logs at all.
    """

    def __init__(self, limit: RateLimit, clock: Callable[[], float]):
        self._limit = limit
        self._clock = clock

    def __call__(self, logger, method_name: str, event_dict: dict) -> dict:
        now_s = self._clock()
        for item in self._limit.close_intervals(now_s):
            module, event = item.key
            structlog.get_logger(module=module).warning(
                "events_suppressed", suppressed_event=event, count=item.count
            )
        # Failures of one kind are not crowded out by many of another.
        event = f"{event_dict['event']} {event_dict.get('outcome', '')}".strip()
        key = (event_dict.get("module", ""), event)
        if not self._limit.admits(key, now_s):
            raise structlog.DropEvent
        return event_dict


class LineWriter:
    """Text stream that drops lines, and counts them, rather than block.

    A reader that stops reading must cost lines, not requests.

    Parameters
    ----------
    descriptor : int
        Open file descriptor; it is set to not block.
    """

    def __init__(self, descriptor: int):
        self._descriptor = descriptor
        self.lost = 0
        os.set_blocking(descriptor, False)

    def write(self, text: str) -> int:
        """Write text; what does not fit is lost."""
        if self.lost:
            text = f"event=log_lines_lost count={self.lost}\n{text}"
        data = text.encode(errors="replace")
        try:
            written = os.write(self._descriptor, data)
        except OSError:
            written = 0
        # A line that is cut in the middle counts as lost, too.
        self.lost = 0 if written == len(data) else self.lost + 1
        return len(text)

    def flush(self) -> None:
        """Do nothing: nothing is buffered."""


def configure_logging(
    level: str = "info",
    zone: str = "",
    stream: TextIO | None = None,
    limit: RateLimit | None = None,
    clock: Callable[[], float] = time.monotonic,
) -> None:
    """Send key=value lines to standard error.

    Parameters
    ----------
    level : str
        Least level that is logged.
    zone : str, optional
        Availability zone that each line names.
    stream : TextIO, optional
        Where the lines go; standard error if not given.
    limit : RateLimit, optional
        How often an event is repeated.
    clock : callable, optional
        Returns monotonic seconds.
    """

    def add_zone(logger, method_name: str, event_dict: dict) -> dict:
        if zone:
            event_dict.setdefault("zone", zone)
        return {k: v for k, v in event_dict.items() if v is not None and v != ""}

    structlog.configure(
        processors=[
            _RateLimitProcessor(limit or RateLimit(), clock),
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
        # Tests configure more than once; module loggers must follow.
        cache_logger_on_first_use=False,
    )


def get_logger(name: str) -> structlog.typing.FilteringBoundLogger:
    """Return the logger of a module."""
    return structlog.get_logger(module=name)
