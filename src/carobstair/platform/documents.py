"""Documents of the users' platform, decoded into the product's types.

Whatever can't be read becomes None with a log line: other writers share the
store, and one bad object must not disturb the rest.
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

__all__ = ["KINDS", "decode_routing", "decode_upstream"]

logger = get_logger(__name__)

# The platform's kind of each kind of state; the last one is our own.
KINDS = {
    StateKind.ROUTING: "config",
    StateKind.UPSTREAMS: "servers",
    StateKind.EVACUATIONS: "evacuations",
    StateKind.ROUTERS: "carobstair-routers",
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
    # Objective for the first byte, which earns the full credit.
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
    # Requests a second that a cold engine tolerates, over all routers.
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
    # How much longer the engine stays cold, as of when it wrote the entry.
    cold_remaining_ms: float = 0.0
    # Unix milliseconds of its start.
    born: int = 0


_CONFIG = msgspec.json.Decoder(_Config)
_SERVER = msgspec.json.Decoder(_Server)


def decode_routing(spec: bytes) -> RoutingConfig | None:
    """Return the configuration in a document of kind ``config``."""
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
    """Return the upstream in a document of kind ``servers``."""
    try:
        server = _SERVER.decode(spec)
        host, _, port = server.address.rpartition(":")
        number = int(port)
        if not host or not 0 < number < 65536 or not name or not server.service:
            raise ValueError(f"address {server.address!r}")
    except (msgspec.DecodeError, ValueError) as error:
        logger.warning("upstream_entry_unreadable", upstream=name, error=str(error))
        return None
    return UpstreamEntry(
        name,
        server.service,
        host,
        number,
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
