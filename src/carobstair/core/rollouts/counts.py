"""Counts of answers at one router, by route, size and upstream."""

from __future__ import annotations

import math
from dataclasses import dataclass, field
from enum import StrEnum

from carobstair.core.rollout_messages import CountRow

__all__ = ["AnswerLedger", "AnswerOutcome", "TrackedAnswer", "VersionCounts"]

# Times to the first byte are classed by factors of this, from 1 ms; a version that is
# several times slower differs by several classes.
TIME_CLASS_FACTOR = 1.15
MAX_TIME_CLASS = 72
# Sizes are classed by powers of two, from this.
MIN_SIZE_TOKENS = 128
# Rows of one order; more routes and upstreams than any service has.
MAX_ROWS = 2_000

RowKey = tuple[str, int, str]
"""Route, size class, and upstream of the new version or empty."""


def time_class(first_s: float) -> int:
    """Return the class of a time to the first byte."""
    if first_s <= 0.001:
        return 0
    steps = int(math.log(first_s / 0.001) / math.log(TIME_CLASS_FACTOR))
    return min(MAX_TIME_CLASS, steps)


def size_class(tokens: int) -> int:
    """Return the class of a number of prompt tokens."""
    return (max(0, tokens) // MIN_SIZE_TOKENS).bit_length()


class AnswerOutcome(StrEnum):
    """How a request that was sent to an upstream ended.

    `NEUTRAL` is a request that the upstream declined as not run, or that the caller
    broke off: it says nothing of the version.
    """

    GOOD = "good"
    FAILED = "failed"
    BROKEN = "broken"
    NEUTRAL = "neutral"


@dataclass(slots=True)
class VersionCounts:
    """Counts of the requests sent to upstreams of a version."""

    sent: int = 0
    neutral: int = 0
    begun: int = 0
    good: int = 0
    failed: int = 0
    broken: int = 0
    first: dict[int, int] = field(default_factory=dict)

    def add(self, row: CountRow | VersionCounts) -> None:
        """Add other counts to these."""
        self.sent += row.sent
        self.neutral += row.neutral
        self.begun += row.begun
        self.good += row.good
        self.failed += row.failed
        self.broken += row.broken
        for key, count in row.first.items():
            self.first[key] = self.first.get(key, 0) + count

    @property
    def bad(self) -> int:
        """Answers that failed or broke off."""
        return self.failed + self.broken

    @property
    def trials(self) -> int:
        """Requests that say something of the version."""
        return self.sent - self.neutral


@dataclass(slots=True)
class AnswerLedger:
    """Counts of one router since an order began."""

    rows: dict[RowKey, VersionCounts] = field(default_factory=dict)
    at_old: int = 0

    def begin(
        self,
        route: str,
        size_tokens: int,
        upstream_id: str,
        is_resumable: bool,
        is_cold: bool,
    ) -> TrackedAnswer:
        """Count a request that is sent.

        Parameters
        ----------
        upstream_id : str
            Empty for upstreams of other versions than the new one.
        is_cold : bool
            Cold upstreams are slow and full whatever their version: their requests
            count as exposure, not as evidence.
        """
        key = (route, size_class(size_tokens), upstream_id)
        if is_cold:
            key = ("", 0, upstream_id)
        row = self.rows.get(key)
        if row is None:
            row = VersionCounts()
            if len(self.rows) < MAX_ROWS:
                self.rows[key] = row
        row.sent += 1
        holds_old = not upstream_id and not is_resumable
        self.at_old += holds_old
        return TrackedAnswer(self, row, holds_old)

    def report_rows(self) -> list[CountRow]:
        """Return the counts as rows of a message."""
        return [
            CountRow(
                *key,
                row.sent,
                row.neutral,
                row.begun,
                row.good,
                row.failed,
                row.broken,
                dict(row.first),
            )
            for key, row in self.rows.items()
        ]


@dataclass(slots=True)
class TrackedAnswer:
    """A request that was sent while an order runs."""

    ledger: AnswerLedger
    row: VersionCounts
    holds_old: bool
    has_begun: bool = False
    has_ended: bool = False

    def note_first(self, first_s: float) -> None:
        """Count the first byte of the answer."""
        if not self.has_begun:
            self.has_begun = True
            self.row.begun += 1
            key = time_class(first_s)
            self.row.first[key] = self.row.first.get(key, 0) + 1

    def end(self, outcome: AnswerOutcome) -> None:
        """Count the end of the answer."""
        if self.has_ended:
            return
        self.has_ended = True
        self.ledger.at_old -= self.holds_old
        name = outcome.value
        setattr(self.row, name, getattr(self.row, name) + 1)
