"""Counts of bad and all events per objective, read from a metrics page."""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Mapping
from dataclasses import dataclass
from enum import StrEnum

from prometheus_client.parser import text_string_to_metric_families

__all__ = [
    "FIRST_TOKEN_LIMIT_S",
    "TOKEN_INTERVAL_LIMIT_S",
    "Objective",
    "MetricsPageError",
    "RouterTallies",
    "SeriesKey",
    "Tally",
    "parse_metrics_page",
]

FIRST_TOKEN_LIMIT_S = 0.64
TOKEN_INTERVAL_LIMIT_S = 0.06
# Requests refused with these types never got a first token. The histogram doesn't
# contain them, so they are counted as bad events.
LATE_REFUSALS = frozenset({"deadline-exceeded", "no-capacity"})
START_METRIC = "process_start_time_seconds"


class Objective(StrEnum):
    """A service level objective that applies to each workspace."""

    FIRST_TOKEN = "first_token"
    TOKEN_INTERVAL = "token_interval"
    WHOLE = "whole"
    TRUTH = "truth"


@dataclass(frozen=True, slots=True, order=True)
class SeriesKey:
    """Identifies a series by workspace, work class and objective."""

    workspace: str
    work_class: str
    objective: Objective


@dataclass(frozen=True, slots=True)
class Tally:
    """Number of events that missed an objective, and of all events."""

    bad: float = 0.0
    total: float = 0.0

    def plus(self, other: Tally, factor: float = 1.0) -> Tally:
        """Return the sum with another tally multiplied by a factor."""
        return Tally(self.bad + factor * other.bad, self.total + factor * other.total)

    def minus(self, other: Tally) -> Tally:
        """Return the increase since an earlier tally."""
        return Tally(self.bad - other.bad, self.total - other.total)


@dataclass(frozen=True, slots=True)
class RouterTallies:
    """Cumulative tallies of one router process.

    Attributes
    ----------
    started_s : float
        Unix time at which the process started.
    """

    started_s: float
    tallies: Mapping[SeriesKey, Tally]


class MetricsPageError(Exception):
    """A metrics page is malformed, truncated or not from a router."""


def parse_metrics_page(text: str) -> RouterTallies:
    """Return the tallies of a metrics page.

    Parameters
    ----------
    text : str
        Metrics page in the text format of Prometheus.

    Raises
    ------
    MetricsPageError
        If the page is malformed, truncated or not from a router.
    """
    counts = _PageCounts()
    try:
        for family in text_string_to_metric_families(text):
            for sample in family.samples:
                counts.add(sample.name, sample.labels, sample.value)
    except (ValueError, KeyError, IndexError) as error:
        raise MetricsPageError(f"not a metrics page: {error}") from error
    if counts.started_s is None:
        raise MetricsPageError(f"the page lacks {START_METRIC}")
    return RouterTallies(counts.started_s, counts.tallies())


class _PageCounts:
    """Sums up the samples of one page that count for an objective."""

    def __init__(self) -> None:
        self.started_s: float | None = None
        self._bad: defaultdict[SeriesKey, float] = defaultdict(float)
        self._total: defaultdict[SeriesKey, float] = defaultdict(float)

    def add(self, name: str, labels: Mapping[str, str], value: float) -> None:
        if name == START_METRIC:
            self.started_s = value
        elif name == "carobstair_requests_total":
            self._add_request(labels, value)
        elif name == "carobstair_refusals_total":
            self._add_refusal(labels, value)
        elif name == "carobstair_refusals_untrue_total":
            self._bad[_key(labels, Objective.TRUTH)] += value
        elif name.startswith("carobstair_first_token_seconds"):
            self._add_time(
                name, labels, value, Objective.FIRST_TOKEN, FIRST_TOKEN_LIMIT_S
            )
        elif name.startswith("carobstair_token_interval_seconds"):
            self._add_time(
                name, labels, value, Objective.TOKEN_INTERVAL, TOKEN_INTERVAL_LIMIT_S
            )

    def tallies(self) -> dict[SeriesKey, Tally]:
        keys = self._bad.keys() | self._total.keys()
        return {
            key: Tally(max(0.0, self._bad[key]), self._total[key])
            for key in keys
            if self._total[key] > 0.0 or self._bad[key] > 0.0
        }

    def _add_request(self, labels: Mapping[str, str], value: float) -> None:
        key = _key(labels, Objective.WHOLE)
        if labels["outcome"] == "broken":
            self._bad[key] += value
        if labels["outcome"] in ("answered", "broken"):
            self._total[key] += value

    def _add_refusal(self, labels: Mapping[str, str], value: float) -> None:
        self._total[_key(labels, Objective.TRUTH)] += value
        if labels["type"] in LATE_REFUSALS:
            key = _key(labels, Objective.FIRST_TOKEN)
            self._bad[key] += value
            self._total[key] += value

    def _add_time(
        self,
        name: str,
        labels: Mapping[str, str],
        value: float,
        objective: Objective,
        limit_s: float,
    ) -> None:
        key = _key(labels, objective)
        if name.endswith("_count"):
            self._bad[key] += value
            self._total[key] += value
        elif name.endswith("_bucket") and float(labels["le"]) == limit_s:
            self._bad[key] -= value


def _key(labels: Mapping[str, str], objective: Objective) -> SeriesKey:
    return SeriesKey(labels["workspace"], labels["work_class"], objective)
