"""Prometheus metrics of a router; labels are bounded by the tickets in force."""

from __future__ import annotations

from collections.abc import Callable
from typing import TYPE_CHECKING, TypeVar

from prometheus_client import (
    CollectorRegistry,
    Counter,
    Gauge,
    Histogram,
    ProcessCollector,
    disable_created_metrics,
    generate_latest,
)
from prometheus_client.metrics import MetricWrapperBase

if TYPE_CHECKING:
    from carobstair.core.state import FleetState

__all__ = [
    "FIRST_TOKEN_BUCKETS_S",
    "TOKEN_INTERVAL_BUCKETS_S",
    "RouterMetrics",
]

# The _created series would make up a tenth of each scrape; restarts are visible in
# process_start_time_seconds.
disable_created_metrics()

# Both objectives, 0.64 s and 60 ms, are bucket bounds, so that the fraction of
# responses within them is exact rather than interpolated.
FIRST_TOKEN_BUCKETS_S = (0.02, 0.05, 0.1, 0.2, 0.4, 0.64, 1.0, 2.0, 5.0, 15.0, 60.0)
TOKEN_INTERVAL_BUCKETS_S = (0.01, 0.02, 0.04, 0.06, 0.08, 0.12, 0.25, 0.5, 1.0, 2.0)

_Metric = TypeVar("_Metric", bound=MetricWrapperBase)


class RouterMetrics:
    """Metrics of one router process, in their own registry.

    Attributes
    ----------
    metrics : list
        The metrics that carobstair defines.
    refreshers : list of callable
        Called before each scrape to set the gauges that are derived from state.
    """

    def __init__(self) -> None:
        self.registry = CollectorRegistry()
        self.metrics: list[MetricWrapperBase] = []
        self.refreshers: list[Callable[[], None]] = []
        ProcessCollector(registry=self.registry)
        self.requests = self._counter(
            "requests",
            "Requests that ended, by outcome",
            ("workspace", "work_class", "outcome"),
        )
        self.refusals = self._counter(
            "refusals",
            "Refusals by type",
            ("workspace", "work_class", "type", "ran"),
        )
        self.refusals_untrue = self._counter(
            "refusals_untrue",
            "Refusals that said not run although an attempt may have run",
            ("workspace", "work_class"),
        )
        self.first_token_s = self._histogram(
            "first_token_seconds",
            "Time from arrival to the first token",
            ("workspace", "work_class"),
            FIRST_TOKEN_BUCKETS_S,
        )
        self.token_interval_s = self._histogram(
            "token_interval_seconds",
            "Time between two tokens of one answer",
            ("workspace", "work_class"),
            TOKEN_INTERVAL_BUCKETS_S,
        )
        self.served_tokens = self._counter(
            "served_tokens",
            "Service given in weighted tokens",
            ("pool", "workspace"),
        )
        self.peer_bytes = self._counter(
            "peer_bytes", "Bytes between routers", ("direction", "kind")
        )
        self.peer_messages = self._counter(
            "peer_messages", "Messages between routers", ("direction", "kind")
        )
        self.peer_dropped = self._counter(
            "peer_messages_dropped", "Peer messages that were dropped", ("reason",)
        )
        self.closed_connections = self._counter(
            "closed_connections",
            "Connections refused or closed because of their client",
            ("kind",),
        )
        self.bad_input = self._counter(
            "bad_input",
            "Input that made no sense and was dropped or corrected",
            ("source",),
        )
        self.store_calls = self._counter(
            "store_calls", "Calls to the object API", ("operation", "outcome")
        )
        self.in_force = self._gauge("ticket_in_force", "Highest ticket in force", ())
        self.epoch = self._gauge("epoch", "Newest fleet epoch known", ())
        self.slots = self._gauge(
            "upstream_slots",
            "Request slots of this router's share",
            ("upstream", "state"),
        )
        self.limit = self._gauge(
            "upstream_limit", "Limit in force on an upstream", ("upstream",)
        )
        self.waiting = self._gauge(
            "waiting_requests", "Requests that wait", ("pool", "workspace")
        )
        self.resumed = self._counter(
            "streams_resumed", "Streams resumed on another grant", ("reason",)
        )
        self.mismatched = self._counter(
            "answers_mismatched", "Answers that belonged to another request", ()
        )

        self.attempts = self._counter(
            "upstream_attempts",
            "Attempts at an upstream, first ones and repeats",
            ("upstream",),
        )
        self.ejections = self._counter(
            "upstream_ejections",
            "Times that an upstream was ejected for failing",
            ("upstream",),
        )
        self.retries_denied = self._counter(
            "retries_denied",
            "Failed attempts that were not repeated for lack of budget or time",
            ("workspace",),
        )

    def refresh(self) -> None:
        """Set the gauges derived from state; call it in the event loop's thread."""
        for refresh in self.refreshers:
            refresh()

    def render(self) -> bytes:
        """Return the metrics in the Prometheus text format.

        May be called in any thread: with hundreds of workspaces it takes seconds,
        which would delay the tokens of all streams in the event loop.
        """
        return generate_latest(self.registry)

    def keep_in_force(self, state: FleetState) -> None:
        """Remove the series of workspaces, upstreams and pools no longer in force.

        Otherwise the number of series would grow with each ticket.
        """
        allowed = {
            "workspace": set(state.workspaces),
            "upstream": set(state.upstreams),
            "pool": {upstream.pool for upstream in state.upstreams.values()},
        }
        for metric in self.metrics:
            for label in allowed.keys() & set(metric._labelnames):
                for value in _label_values(metric, label) - allowed[label]:
                    metric.remove_by_labels({label: value})

    def _counter(self, name: str, text: str, labels: tuple[str, ...]) -> Counter:
        return self._add(
            Counter(f"carobstair_{name}", text, labels, registry=self.registry)
        )

    def _gauge(self, name: str, text: str, labels: tuple[str, ...]) -> Gauge:
        return self._add(
            Gauge(f"carobstair_{name}", text, labels, registry=self.registry)
        )

    def _histogram(
        self,
        name: str,
        text: str,
        labels: tuple[str, ...],
        buckets: tuple[float, ...],
    ) -> Histogram:
        return self._add(
            Histogram(
                f"carobstair_{name}",
                text,
                labels,
                buckets=buckets,
                registry=self.registry,
            )
        )

    def _add(self, metric: _Metric) -> _Metric:
        self.metrics.append(metric)
        return metric


def _label_values(metric: MetricWrapperBase, label: str) -> set[str]:
    return {
        sample.labels[label]
        for family in metric.collect()
        for sample in family.samples
        if label in sample.labels
    }
