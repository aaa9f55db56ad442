"""Decodes documents of the users' platform into the project's types.

Malformed documents are logged and decoded to None: other programs also write to
the store, and one malformed object must not affect the others.
"""

from __future__ import annotations

from typing import Literal

import msgspec

from carobstair.core.directory import UpstreamEntry
from carobstair.core.fleet_view import StateKind
from carobstair.core.routing import (
    EngineShape,
    RequestKind,
    RequestLimits,
    Route,
    RoutingConfig,
    ServicePool,
    WorkspaceKeys,
)
from carobstair.logs import get_logger

__all__ = ["OBJECT_KINDS", "decode_routing", "decode_upstream"]

logger = get_logger(__name__)

# Object kind on the platform for each kind of state. Routers write the last two.
OBJECT_KINDS = {
    StateKind.ROUTING: "config",
    StateKind.UPSTREAMS: "servers",
    StateKind.EVACUATIONS: "evacuations",
    StateKind.ROUTERS: "carobstair-routers",
    StateKind.REFUSED_SEGMENTS: "carobstair-refused-parts",
}
REQUEST_KINDS = {
    "safe": RequestKind.REPEATABLE,
    "unsafe": RequestKind.UNREPEATABLE,
    "streaming": RequestKind.STREAM,
}


class _Target(msgspec.Struct):
    service: str
    weight: float


class _Route(msgspec.Struct, rename="camel"):
    name: str
    host: str
    path_prefix: str
    kind: Literal["safe", "unsafe", "streaming"]
    timeout_ms: float
    # A first byte within this time earns the full credit.
    target_latency_ms: float = 0.0
    priority: int = 0
    service: str | None = None
    traffic_split: list[_Target] = []
    max_attempts: int = 1
    public: bool = False
    resumable: bool = False
    target_gap_ms: float = 0.0


class _Engine(msgspec.Struct, rename="camel"):
    slots: int = 0
    kv_capacity_tokens: int = 0


class _Service(msgspec.Struct, rename="camel"):
    name: str
    health_path: str = "/"
    max_connections: int = 0
    cold_start_s: float = 0.0
    # Requests per second that a cold engine accepts from all routers together.
    cold_per_s: float = 0.0
    engine: _Engine | None = None


class _Limits(msgspec.Struct, rename="camel"):
    max_header_bytes: int = 16_384
    max_body_bytes: int = 4_194_304
    header_timeout_ms: float = 10_000.0
    idle_timeout_ms: float = 75_000.0
    tokens_per_s: float = msgspec.field(default=0.0, name="tokensPerS")


class _Tenant(msgspec.Struct, rename="camel"):
    name: str
    api_keys: list[str] = []
    priority: int | None = None


class _Config(msgspec.Struct, rename="camel"):
    version: int
    routes: list[_Route] = []
    services: list[_Service] = []
    limits: _Limits = msgspec.field(default_factory=_Limits)
    tenants: list[_Tenant] = []


class _Server(msgspec.Struct, rename="camel"):
    service: str
    address: str
    zone: str
    state: Literal["ready", "draining"]
    slots: int = 0
    # Remaining time until the engine is warm, at the time it wrote the entry.
    cold_remaining_ms: float = 0.0
    # Start time of the engine in Unix milliseconds.
    born: int = 0


_CONFIG = msgspec.json.Decoder(_Config)
_SERVER = msgspec.json.Decoder(_Server)


def decode_routing(spec: bytes) -> RoutingConfig | None:
    """Return the routing configuration from a ``config`` document."""
    try:
        config = _CONFIG.decode(spec)
    except msgspec.DecodeError as error:
        logger.warning("configuration_unreadable", error=str(error))
        return None
    return RoutingConfig(
        config.version,
        tuple(map(_route, config.routes)),
        tuple(map(_service, config.services)),
        RequestLimits(
            config.limits.max_header_bytes,
            config.limits.max_body_bytes,
            config.limits.header_timeout_ms / 1000,
            config.limits.idle_timeout_ms / 1000,
            config.limits.tokens_per_s,
        ),
        tuple(
            WorkspaceKeys(tenant.name, tuple(tenant.api_keys), tenant.priority)
            for tenant in config.tenants
        ),
    )


def decode_upstream(name: str, spec: bytes) -> UpstreamEntry | None:
    """Return the upstream from a ``servers`` document."""
    try:
        server = _SERVER.decode(spec)
        host, _, port = server.address.rpartition(":")
        port_number = int(port)
        if not host or not 0 < port_number < 65536 or not name or not server.service:
            raise ValueError(f"address {server.address!r}")
    except (msgspec.DecodeError, ValueError) as error:
        logger.warning("upstream_entry_unreadable", upstream=name, error=str(error))
        return None
    return UpstreamEntry(
        name,
        server.service,
        host,
        port_number,
        server.zone,
        server.slots,
        server.state == "draining",
        max(0.0, server.cold_remaining_ms / 1000),
        server.born,
    )


def _route(route: _Route) -> Route:
    split = tuple((target.service, target.weight) for target in route.traffic_split)
    if not split and route.service is not None:
        split = ((route.service, 1.0),)
    return Route(
        route.name,
        route.host.lower(),
        route.path_prefix,
        REQUEST_KINDS[route.kind],
        route.timeout_ms / 1000,
        route.target_latency_ms / 1000,
        split,
        route.priority,
        max(1, route.max_attempts),
        route.public,
        route.resumable,
        route.target_gap_ms / 1000,
    )


def _service(service: _Service) -> ServicePool:
    shape = None
    if service.engine is not None:
        shape = EngineShape(service.engine.slots, service.engine.kv_capacity_tokens)
    return ServicePool(
        service.name,
        service.health_path,
        service.max_connections,
        service.cold_start_s,
        service.cold_per_s,
        shape,
    )
