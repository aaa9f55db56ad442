"""Histograms and counts of a run, as JSON and as a table."""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass, field

from hdrh.histogram import HdrHistogram

from carobstair.load.client import Outcome
from carobstair.load.plan import PlannedAction

__all__ = ["LoadResults", "SeriesResults"]

LOWEST_US, HIGHEST_US, DIGITS = 1, 3_600_000_000, 3
PERCENTILES = (50.0, 95.0, 99.0)
FAULTS = ("cut", "not whole", "other answer")


def _histogram() -> HdrHistogram:
    return HdrHistogram(LOWEST_US, HIGHEST_US, DIGITS)


@dataclass
class SeriesResults:
    """One workspace's chats or actions.

    Attributes
    ----------
    first_token : HdrHistogram
        Microseconds from the intended time to the first token. A sender that
        falls behind does not hide the wait (coordinated omission).
    first_token_sent : HdrHistogram
        The same from the actual time of sending, to show the difference.
    whole : HdrHistogram
        Microseconds from the intended time to the end of the answer.
    token_interval : HdrHistogram
        Microseconds between tokens.
    """

    results: Counter[str] = field(default_factory=Counter)
    details: Counter[str] = field(default_factory=Counter)
    first_token: HdrHistogram = field(default_factory=_histogram)
    first_token_sent: HdrHistogram = field(default_factory=_histogram)
    whole: HdrHistogram = field(default_factory=_histogram)
    token_interval: HdrHistogram = field(default_factory=_histogram)

    def add(self, outcome: Outcome) -> None:
        """Take in an outcome."""
        self.results[outcome.result] += 1
        if outcome.detail:
            ran = f" (ran: {outcome.ran})" if outcome.ran else ""
            self.details[f"{outcome.result}: {outcome.detail}{ran}"] += 1
        if outcome.first_token_s is not None:
            _record(self.first_token, outcome.first_token_s - outcome.intended_s)
            _record(self.first_token_sent, outcome.first_token_s - outcome.sent_s)
        if outcome.result == "answered":
            _record(self.whole, outcome.ended_s - outcome.intended_s)
        for interval_s in outcome.token_intervals_s:
            _record(self.token_interval, interval_s)

    def document(self) -> dict:
        """Return the series as a JSON document."""
        return {
            "results": dict(sorted(self.results.items())),
            "details": dict(sorted(self.details.items())),
            "first_token_s": _percentiles(self.first_token),
            "first_token_from_sent_s": _percentiles(self.first_token_sent),
            "whole_answer_s": _percentiles(self.whole),
            "token_interval_s": _percentiles(self.token_interval),
        }


@dataclass
class LoadResults:
    """All series of a run.

    Attributes
    ----------
    late_s : float
        Greatest lag of the sender behind its plan, in seconds.
    left_out : int
        Requests that were due while too many were open; they were not sent.
    """

    series: dict[tuple[str, str], SeriesResults] = field(default_factory=dict)
    late_s: float = 0.0
    left_out: int = 0
    _answers: dict[str, str] = field(default_factory=dict)

    def add(self, outcome: Outcome) -> None:
        """Take in an outcome."""
        request = outcome.request
        kind = "chat"
        if isinstance(request, PlannedAction):
            kind = "action"
            self._compare(request, outcome)
        found = self.series.setdefault((request.workspace, kind), SeriesResults())
        found.add(outcome)
        self.late_s = max(self.late_s, outcome.sent_s - outcome.intended_s)

    def results(self) -> Counter[str]:
        """Return all outcomes by result."""
        return sum((found.results for found in self.series.values()), Counter())

    def faults(self) -> int:
        """Return how many answers were cut, not whole or another's."""
        counted = self.results()
        return sum(counted[name] for name in FAULTS)

    def document(self) -> dict:
        """Return the results as a JSON document."""
        return {
            "results": dict(sorted(self.results().items())),
            "faults": self.faults(),
            "sender_late_s": round(self.late_s, 6),
            "left_out": self.left_out,
            "series": [
                {"workspace": workspace, "kind": kind, **found.document()}
                for (workspace, kind), found in sorted(self.series.items())
            ],
        }

    def table(self) -> str:
        """Return the results for a terminal."""
        rows = [
            [
                "workspace",
                "kind",
                "answered",
                "refused",
                "faults",
                "first token p50/p95/p99 (s)",
                "whole answer p50/p95/p99 (s)",
                "between tokens p95 (ms)",
            ]
        ]
        rows += [_row(*names, found) for names, found in sorted(self.series.items())]
        widths = [max(map(len, column)) for column in zip(*rows, strict=True)]
        lines = [
            "  ".join(cell.ljust(w) for cell, w in zip(row, widths, strict=True))
            for row in rows
        ]
        lines.append(
            f"times from the intended send; sender at most {self.late_s:.3f} s late, "
            f"{self.left_out} requests left out"
        )
        for (workspace, kind), found in sorted(self.series.items()):
            lines += [
                f"{workspace} {kind}: {count} {detail}"
                for detail, count in sorted(found.details.items())
            ]
        return "\n".join(line.rstrip() for line in lines)

    def _compare(self, request: PlannedAction, outcome: Outcome) -> None:
        """Check that all answers under one key are the same."""
        if outcome.result != "answered":
            return
        if self._answers.setdefault(request.key, outcome.text) != outcome.text:
            outcome.result = "other answer"
            outcome.detail = "differs from the first answer under its key"


def _row(workspace: str, kind: str, found: SeriesResults) -> list[str]:
    counted = found.results
    return [
        workspace,
        kind,
        str(counted["answered"]),
        str(counted["refused"] + counted["not sent"]),
        str(sum(counted[name] for name in FAULTS)),
        _cell(found.first_token),
        _cell(found.whole),
        f"{found.token_interval.get_value_at_percentile(95.0) / 1e3:.1f}",
    ]


def _cell(histogram: HdrHistogram) -> str:
    if not histogram.get_total_count():
        return "-"
    values = (histogram.get_value_at_percentile(p) / 1e6 for p in PERCENTILES)
    return " / ".join(f"{value:.3f}" for value in values)


def _percentiles(histogram: HdrHistogram) -> dict:
    count = histogram.get_total_count()
    if not count:
        return {"count": 0}
    found = {f"p{p:g}": histogram.get_value_at_percentile(p) / 1e6 for p in PERCENTILES}
    return {"count": count, **found, "max": histogram.get_max_value() / 1e6}


def _record(histogram: HdrHistogram, value_s: float) -> None:
    micros = round(value_s * 1e6)
    histogram.record_value(min(HIGHEST_US, max(LOWEST_US, micros)))
