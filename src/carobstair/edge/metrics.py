"""Prometheus metrics of the edge router; labels are bounded by the configuration."""

from __future__ import annotations

from collections.abc import Callable

from prometheus_client import CollectorRegistry, Counter, Gauge, Histogram

from carobstair.core.memory_ledger import MemoryKind, MemoryLedger
from carobstair.metrics import FIRST_TOKEN_BUCKETS_S

__all__ = ["EdgeMetrics"]

PREFIX = "carobstair_edge_"


class EdgeMetrics:
    """Metrics of one edge router, in their own registry."""

    def __init__(self) -> None:
        self.registry = CollectorRegistry()
        self._children: dict = {}
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
        self.watches_store = self._gauge(
            "watches_store", "Whether this router watches the store itself"
        )
        self.watch_roles = self._counter(
            "watch_roles", "Changes to a role in watching the store", ("role",)
        )
        self.state_pulls = self._counter(
            "state_pulls", "Pulls of changes that a router has announced", ("outcome",)
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
        self.closed_connections = self._counter(
            "closed_connections",
            "Connections refused or closed because of their client, by port and kind",
            ("port", "kind"),
        )
        self.memory = Gauge(
            PREFIX + "memory_held_bytes",
            "Memory held for others, by kind",
            ("kind",),
            registry=self.registry,
        )
        self.memory_bound = Gauge(
            PREFIX + "memory_bound_bytes",
            "Bound of the memory held for others, by kind",
            ("kind",),
            registry=self.registry,
        )
        self.suspected_segments = self._gauge(
            "suspected_segments", "Prompt segments under which upstreams ended"
        )
        self.refused_segments = self._gauge(
            "refused_segments", "Prompt segments that are refused"
        )

        self.unreadable_loads = self._gauge(
            "unreadable_loads", "Loads in responses with figures that were ignored"
        )
        self.upstream_read_rate = self._upstream_gauge(
            "upstream_read_tokens_per_second", "Estimated read rate of an upstream"
        )
        self.upstream_concurrency = self._upstream_gauge(
            "upstream_concurrency", "Requests up to which first tokens are in time"
        )
        self.upstream_speed = self._upstream_gauge(
            "upstream_relative_speed", "Speed relative to the mean of the service"
        )
        self.home_sends = self._counter(
            "home_sends", "Sends of prompts whose shared part has homes", ("home",)
        )
        self.home_repeated_tokens = self._counter(
            "home_repeated_tokens",
            "Shared tokens sent to an engine although another was known to hold them",
            (),
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
        shed = self._counter(
            "shed_requests",
            "Requests refused early, unread or by their head, for a less busy peer",
            ("stage",),
        )
        self.shed_unread = shed.labels("unread")
        self.shed_by_head = shed.labels("head")
        self.handoffs = self._counter(
            "handed_off_requests",
            "Requests that were handed to a peer, by outcome",
            ("outcome",),
        )
        self.taken_over = Counter(
            PREFIX + "taken_over_requests",
            "Requests that peers handed to this router",
            registry=self.registry,
        )
        self.unanswered = self._counter(
            "unanswered_requests",
            "Requests whose connection this router closed without an answer, by where "
            "they were",
            ("where",),
        )
        self.open_handoffs = self._gauge(
            "open_handoffs", "Requests that peers serve for this router"
        )
        self.loop_utilisation = self._gauge(
            "loop_utilisation", "Share of time that the event loop spends on work"
        )
        self.peer_utilisation = self._gauge(
            "peer_utilisation", "Median of the same of the peers that state it"
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
        self.sums_age = self._gauge(
            "share_sums_age_seconds", "Age of the demand and load of the other routers"
        )
        self.throughput_factor = Gauge(
            PREFIX + "throughput_factor",
            "Throughput that is shared, relative to the configured one",
            ("service",),
            registry=self.registry,
        )

        self.rollout_answers = self._counter(
            "rollout_answers",
            "Requests that ended while an order ran, by version",
            ("service", "version", "outcome"),
        )
        self.rollout_verdicts = self._counter(
            "rollout_verdicts", "Verdicts seen in the store", ("service", "state")
        )
        self.rollouts_skipped = self._counter(
            "rollouts_skipped", "Orders that were not followed", ("reason",)
        )
        self.rollout_share = Gauge(
            PREFIX + "rollout_share",
            "Share of the requests for the new version, as last decided",
            ("service",),
            registry=self.registry,
        )

    def count_end(self, service: str, framing: str, outcome: str) -> None:
        """Count a request that ended after it was placed."""
        self._child(self.requests, service, outcome).inc()
        self._child(self.responses, framing, outcome).inc()

    def count_tokens(
        self, service: str, workspace: str, stage: str, tokens: float
    ) -> None:
        """Count weighted tokens of a workspace at a stage."""
        self._child(self.workspace_tokens, service, workspace, stage).inc(tokens)

    def set_memory(self, ledger: MemoryLedger) -> None:
        """Show what a ledger holds."""
        for kind in MemoryKind:
            self._child(self.memory, kind).set(ledger.held_bytes(kind))
            self._child(self.memory_bound, kind).set(ledger.bound_bytes(kind))

    def observe_first_byte(self, service: str, first_s: float) -> None:
        """Record the time to the first byte of an answer."""
        self._child(self.first_byte_s, service).observe(first_s)

    def count_handoff(self, outcome: str) -> None:
        """Count a request that was handed to a peer."""
        self._child(self.handoffs, outcome).inc()

    def count_unanswered(self, where: str) -> None:
        """Count a request whose connection this router closed without an answer."""
        self._child(self.unanswered, where).inc()

    def _child(self, metric, *labels: str):
        """Return a labelled metric; a lookup by the client takes several times longer.

        Labels are bounded by the configuration, and so is what is kept here.
        """
        key = metric, labels
        child = self._children.get(key)
        if child is None:
            child = self._children[key] = metric.labels(*labels)
        return child

    def count_closed(self, port: str) -> Callable[[str], None]:
        """Return a function that counts a closed connection of a port by its kind."""
        return lambda kind: self.closed_connections.labels(port, kind).inc()

    def _counter(self, name: str, text: str, labels: tuple[str, ...]) -> Counter:
        return Counter(PREFIX + name, text, labels, registry=self.registry)

    def _gauge(self, name: str, text: str) -> Gauge:
        return Gauge(PREFIX + name, text, registry=self.registry)

    def _upstream_gauge(self, name: str, text: str) -> Gauge:
        return Gauge(
            PREFIX + name, text, ("service", "upstream"), registry=self.registry
        )
