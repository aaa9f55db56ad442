"""Latency histograms and result counts of a run, as JSON and as a table."""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass, field

from hdrh.histogram import HdrHistogram

from carobstair.load.client import Outcome
from carobstair.load.plan import PlannedAction

__all__ = ["LoadResults", "SeriesResults"]

LOWEST_US, HIGHEST_US, DIGITS = 1, 3_600_000_000, 3
PERCENTILES = (50.0, 95.0, 99.0)
FAULTY_RESULTS = ("cut", "not whole", "other answer")


def _histogram() -> HdrHistogram:
    return HdrHistogram(LOWEST_US, HIGHEST_US, DIGITS)


@dataclass
class SeriesResults:
    """Results of the chats or actions of one workspace.

    Attributes
    ----------
    first_token : HdrHistogram
        Microseconds from the intended send time to the first token, so that a
        sender that falls behind does not hide the wait (coordinated omission).
    first_token_from_sent : HdrHistogram
        The same from the actual send time, for comparison.
    answer_time : HdrHistogram
        Microseconds from the intended send time to the end of the answer.
    token_interval : HdrHistogram
        Microseconds between tokens.
    """

    results: Counter[str] = field(default_factory=Counter)
    details: Counter[str] = field(default_factory=Counter)
    first_token: HdrHistogram = field(default_factory=_histogram)
    first_token_from_sent: HdrHistogram = field(default_factory=_histogram)
    answer_time: HdrHistogram = field(default_factory=_histogram)
    token_interval: HdrHistogram = field(default_factory=_histogram)

    def add(self, outcome: Outcome) -> None:
        """Add an outcome."""
        self.results[outcome.result] += 1
        if outcome.detail:
            ran = f" (ran: {outcome.ran})" if outcome.ran else ""
            self.details[f"{outcome.result}: {outcome.detail}{ran}"] += 1
        if outcome.first_token_s is not None:
            _record(self.first_token, outcome.first_token_s - outcome.intended_s)
            _record(self.first_token_from_sent, outcome.first_token_s - outcome.sent_s)
        if outcome.result == "answered":
            _record(self.answer_time, outcome.ended_s - outcome.intended_s)
        for interval_s in outcome.token_intervals_s:
            _record(self.token_interval, interval_s)

    def document(self) -> dict:
        """Return the results of the series as a JSON document."""
        return {
            "results": dict(sorted(self.results.items())),
            "details": dict(sorted(self.details.items())),
            "first_token_s": _percentiles(self.first_token),
            "first_token_from_sent_s": _percentiles(self.first_token_from_sent),
            "whole_answer_s": _percentiles(self.answer_time),
            "token_interval_s": _percentiles(self.token_interval),
        }


@dataclass
class LoadResults:
    """Results of all series of a run.

    Attributes
    ----------
    late_s : float
        Greatest delay of a send behind its intended time, in seconds.
    left_out : int
        Requests not sent, because `max_open` requests were open when they were due.
    """

    series: dict[tuple[str, str], SeriesResults] = field(default_factory=dict)
    late_s: float = 0.0
    left_out: int = 0
    _answers_by_key: dict[str, str] = field(default_factory=dict)

    def add(self, outcome: Outcome) -> None:
        """Add an outcome."""
        request = outcome.request
        kind = "chat"
        if isinstance(request, PlannedAction):
            kind = "action"
            self._check_repeated_answer(request, outcome)
        series_results = self.series.setdefault(
            (request.workspace, kind), SeriesResults()
        )
        series_results.add(outcome)
        self.late_s = max(self.late_s, outcome.sent_s - outcome.intended_s)

    def results(self) -> Counter[str]:
        """Return the number of outcomes by result."""
        return sum(
            (series_results.results for series_results in self.series.values()),
            Counter(),
        )

    def faults(self) -> int:
        """Return the number of answers that were cut, incomplete or inconsistent."""
        counts = self.results()
        return sum(counts[name] for name in FAULTY_RESULTS)

    def document(self) -> dict:
        """Return the results as a JSON document."""
        return {
            "results": dict(sorted(self.results().items())),
            "faults": self.faults(),
            "sender_late_s": round(self.late_s, 6),
            "left_out": self.left_out,
            "series": [
                {"workspace": workspace, "kind": kind, **series_results.document()}
                for (workspace, kind), series_results in sorted(self.series.items())
            ],
        }

    def table(self) -> str:
        """Return the results as a table for a terminal."""
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
        rows += [
            _row(*names, series_results)
            for names, series_results in sorted(self.series.items())
        ]
        widths = [max(map(len, column)) for column in zip(*rows, strict=True)]
        lines = [
            "  ".join(cell.ljust(w) for cell, w in zip(row, widths, strict=True))
            for row in rows
        ]
        lines.append(
            f"times from the intended send; sender at most {self.late_s:.3f} s late, "
            f"{self.left_out} requests left out (max_open reached)"
        )
        for (workspace, kind), series_results in sorted(self.series.items()):
            lines += [
                f"{workspace} {kind}: {count} {detail}"
                for detail, count in sorted(series_results.details.items())
            ]
        return "\n".join(line.rstrip() for line in lines)

    def _check_repeated_answer(self, request: PlannedAction, outcome: Outcome) -> None:
        """Check that all answers under one idempotency key are equal."""
        if outcome.result != "answered":
            return
        if self._answers_by_key.setdefault(request.key, outcome.text) != outcome.text:
            outcome.result = "other answer"
            outcome.detail = "differs from the first answer under its key"


def _row(workspace: str, kind: str, series_results: SeriesResults) -> list[str]:
    counts = series_results.results
    return [
        workspace,
        kind,
        str(counts["answered"]),
        str(counts["refused"] + counts["not sent"]),
        str(sum(counts[name] for name in FAULTY_RESULTS)),
        _cell(series_results.first_token),
        _cell(series_results.answer_time),
        f"{series_results.token_interval.get_value_at_percentile(95.0) / 1e3:.1f}",
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
    percentiles = {
        f"p{p:g}": histogram.get_value_at_percentile(p) / 1e6 for p in PERCENTILES
    }
    return {"count": count, **percentiles, "max": histogram.get_max_value() / 1e6}


def _record(histogram: HdrHistogram, value_s: float) -> None:
    micros = round(value_s * 1e6)
    histogram.record_value(min(HIGHEST_US, max(LOWEST_US, micros)))
