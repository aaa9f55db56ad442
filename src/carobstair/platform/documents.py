"""Decodes documents of the users' platform into the project's types.

Malformed documents are logged and decoded to None: other programs also write to
the store, and one malformed object must not affect the others.
"""

from __future__ import annotations

import re
from typing import Annotated, Literal

import msgspec

from carobstair.core.addresses import parse_address
from carobstair.core.directory import UpstreamEntry
from carobstair.core.fleet_view import StateKind, StoreChange
from carobstair.core.rollouts import (
    MAX_DURATION_S,
    MIN_DURATION_S,
    RolloutOrder,
    RolloutState,
)
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

__all__ = [
    "OBJECT_KINDS",
    "decode_rollout",
    "decode_routing",
    "decode_upstream",
    "read_routing",
    "rollout_status",
]

logger = get_logger(__name__)

# Object kind on the platform for each kind of state. Routers write those with the
# project's name, and the status of roll-outs.
OBJECT_KINDS = {
    StateKind.ROUTING: "config",
    StateKind.UPSTREAMS: "servers",
    StateKind.EVACUATIONS: "evacuations",
    StateKind.ROUTERS: "carobstair-routers",
    StateKind.REFUSED_SEGMENTS: "carobstair-refused-parts",
    StateKind.ROLLOUTS: "rollouts",
}
# Larger values are mistakes of other programs that write to the store.
MAX_SLOTS = 1_000_000
MAX_COLD_MS = 3_600_000.0
MAX_UNIX_MS = 2**53
MAX_NAME = 255
UPSTREAM_NAME = re.compile(r"[\x21-\x7e]{1,255}")
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
    service: Annotated[str, msgspec.Meta(min_length=1, max_length=MAX_NAME)]
    address: Annotated[str, msgspec.Meta(max_length=MAX_NAME)]
    zone: Annotated[str, msgspec.Meta(max_length=MAX_NAME)]
    state: Literal["ready", "draining"]
    slots: Annotated[int, msgspec.Meta(ge=0, le=MAX_SLOTS)] = 0
    # Remaining time until the engine is warm, at the time it wrote the entry.
    cold_remaining_ms: Annotated[float, msgspec.Meta(le=MAX_COLD_MS)] = 0.0
    # Start time of the engine in Unix milliseconds.
    born: Annotated[int, msgspec.Meta(ge=0, le=MAX_UNIX_MS)] = 0
    # A version that can't be read must not take its engine out of service.
    version: msgspec.Raw = msgspec.Raw(b'""')


_Version = Annotated[str, msgspec.Meta(min_length=1, max_length=MAX_NAME)]


class _RolloutSpec(msgspec.Struct, rename="camel"):
    service: Annotated[str, msgspec.Meta(min_length=1, max_length=MAX_NAME)]
    to: _Version
    duration_s: Annotated[float, msgspec.Meta(ge=MIN_DURATION_S, le=MAX_DURATION_S)]


class _RolloutStatus(msgspec.Struct):
    state: Literal["running", "completed", "rolled_back"]
    to: str


class _Rollout(msgspec.Struct):
    spec: _RolloutSpec
    status: msgspec.Raw = msgspec.Raw(b"null")


_ROLLOUT = msgspec.json.Decoder(_Rollout)
_ROLLOUT_STATUS = msgspec.json.Decoder(_RolloutStatus | None)
_VERSION = msgspec.json.Decoder(_Version)
_CONFIG = msgspec.json.Decoder(_Config)
_SERVER = msgspec.json.Decoder(_Server)


def decode_routing(spec: bytes) -> RoutingConfig | None:
    """Return the routing configuration from a ``config`` document."""
    try:
        return read_routing(spec)
    except (msgspec.DecodeError, RecursionError) as error:
        logger.warning("configuration_unreadable", error=str(error))
        return None


def read_routing(spec: bytes) -> RoutingConfig:
    """Return the routing configuration from a ``config`` document.

    Raises
    ------
    msgspec.DecodeError, RecursionError
        If it can't be read.
    """
    config = _CONFIG.decode(spec)
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
        if not UPSTREAM_NAME.fullmatch(name):
            raise ValueError("the name can't be sent in a header")
        server = _SERVER.decode(spec)
        address = parse_address(server.address)
        if address is None:
            raise ValueError(f"address {server.address[:80]!r}")
    except (msgspec.DecodeError, ValueError) as error:
        logger.warning(
            "upstream_entry_unreadable", upstream=name[:MAX_NAME], error=str(error)
        )
        return None
    return UpstreamEntry(
        name,
        server.service,
        *address,
        server.zone,
        server.slots,
        server.state == "draining",
        max(0.0, server.cold_remaining_ms / 1000),
        server.born,
        _read_version(name, server.version),
    )


def decode_rollout(
    change: StoreChange,
) -> tuple[RolloutOrder, RolloutState | None] | None:
    """Return the order and its state from a ``rollouts`` document.

    The state is None if the object has no status for the version that is ordered.
    """
    try:
        document = _ROLLOUT.decode(change.spec)
        spec = document.spec
        if spec.service != change.name:
            raise ValueError(f"it is for the service {spec.service[:80]!r}")
    except (msgspec.DecodeError, ValueError, RecursionError) as error:
        logger.warning(
            "rollout_unreadable", name=change.name[:MAX_NAME], error=str(error)
        )
        return None
    order = RolloutOrder(spec.service, spec.to, spec.duration_s, change.stamp)
    try:
        status = _ROLLOUT_STATUS.decode(document.status)
    except (msgspec.DecodeError, RecursionError) as error:
        # Only the status is lost; the order itself is valid.
        logger.warning(
            "rollout_status_unreadable", name=change.name[:MAX_NAME], error=str(error)
        )
        status = None
    if status is None or status.to != spec.to:
        return order, None
    return order, RolloutState(status.state)


def rollout_status(target: str, state: RolloutState) -> dict[str, str]:
    """Return the status document for a verdict."""
    return {"state": state.value, "to": target}


def _read_version(name: str, raw: msgspec.Raw) -> str:
    if bytes(raw) in (b'""', b"null"):
        return ""
    try:
        return _VERSION.decode(raw)
    except (msgspec.DecodeError, RecursionError) as error:
        logger.warning("upstream_version_unreadable", upstream=name, error=str(error))
        return ""


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
