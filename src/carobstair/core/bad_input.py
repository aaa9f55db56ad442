"""Counts of invalid input that a capacity node discarded or corrected."""

from __future__ import annotations

from collections.abc import Mapping
from enum import StrEnum

from carobstair.core.capacity import CapacityNode

__all__ = ["BadInputDeltas", "BadInputSource", "bad_input_counts"]


class BadInputSource(StrEnum):
    """Source of invalid input; the value is a metric label."""

    HINT = "hint"
    DEMAND = "demand"
    TOTALS = "totals"
    LIMIT = "limit"
    LOAD = "load"
    CACHE_EVENTS = "cache_events"


def bad_input_counts(node: CapacityNode) -> dict[BadInputSource, int]:
    """Return the invalid inputs that a node discarded or corrected, by source."""
    return {
        BadInputSource.HINT: node.bad_hint_count,
        BadInputSource.DEMAND: node.allocator.demand.dropped_count,
        BadInputSource.TOTALS: node.totals.dropped_count,
        BadInputSource.LIMIT: node.limits.dropped_count,
        BadInputSource.LOAD: node.limits.dropped_report_count(),
        BadInputSource.CACHE_EVENTS: node.prefixes.gap_count,
    }


class BadInputDeltas:
    """Computes the increase of the counts since the previous call."""

    def __init__(self) -> None:
        self._seen: dict[BadInputSource, int] = {}

    def take(self, counts: Mapping[BadInputSource, int]) -> dict[BadInputSource, int]:
        """Return the increase of each source whose count has grown.

        A count can decrease: the share of an upstream disappears from it when the
        upstream is removed. Decreases are ignored.
        """
        increases = {}
        for source, count in counts.items():
            increase = count - self._seen.get(source, 0)
            if increase > 0:
                increases[source] = increase
        self._seen = dict(counts)
        return increases
