"""Prometheus metrics of the edge router; labels are bounded by the configuration."""

from __future__ import annotations

from prometheus_client import CollectorRegistry, Counter, Gauge, Histogram

from carobstair.metrics import FIRST_TOKEN_BUCKETS_S

__all__ = ["EdgeMetrics"]

PREFIX = "carobstair_edge_"


class EdgeMetrics:
    """Metrics of one edge router, in their own registry."""

    def __init__(self) -> None:
        self.registry = CollectorRegistry()
        self.requests = self._counter(
            "requests", "Requests that ended, by outcome", ("service", "outcome")
        )
        self.responses = self._counter(
            "responses",
            "Requests that ended, by the framing of the upstream's last response",
            ("framing", "outcome"),
        )
        self.first_byte_s = Histogram(
            PREFIX + "first_byte_seconds",
            "Time from arrival to the first byte of the answer",
            ("service",),
            registry=self.registry,
            buckets=FIRST_TOKEN_BUCKETS_S,
        )
        self.store_calls = self._counter(
            "store_calls", "Calls to the store", ("operation", "outcome")
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
        self.version = self._gauge("version_in_force", "Number of the configuration")
        self.open_requests = self._gauge("open_requests", "Requests in hand")
        self.peers = self._gauge("peers_heard", "Peers that were heard lately")
        self.limited_upstreams = self._gauge(
            "limited_upstreams", "Upstreams that limit the requests of all routers"
        )
        self.permits = self._counter(
            "permits", "Permits asked for at upstreams with a limit", ("outcome",)
        )
        self.suspected_segments = self._gauge(
            "suspected_segments", "Prompt segments under which upstreams ended"
        )
        self.refused_segments = self._gauge(
            "refused_segments", "Prompt segments that are refused"
        )

        self.workspace_tokens = self._counter(
            "workspace_tokens",
            "Weighted tokens that workspaces asked for, and that began",
            ("service", "workspace", "stage"),
        )
        self.workspace_refusals = self._counter(
            "workspace_refusals",
            "Refused requests of workspaces, by reason",
            ("service", "workspace", "reason"),
        )
        self.admitted_by_room = self._counter(
            "admitted_by_room",
            "Requests beyond the share of their workspace for which an engine had room",
            ("service",),
        )
        self.waited = self._counter(
            "waited",
            "Requests that waited for room at the engines, by outcome",
            ("service", "outcome"),
        )
        self.throughput_factor = Gauge(
            PREFIX + "throughput_factor",
            "Throughput that is shared, relative to the configured one",
            ("service",),
            registry=self.registry,
        )

    def _counter(self, name: str, text: str, labels: tuple[str, ...]) -> Counter:
        return Counter(PREFIX + name, text, labels, registry=self.registry)

    def _gauge(self, name: str, text: str) -> Gauge:
        return Gauge(PREFIX + name, text, registry=self.registry)
