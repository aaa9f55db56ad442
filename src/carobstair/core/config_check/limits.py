"""Limits of a routing configuration that contradict each other."""

from __future__ import annotations

import math
from collections.abc import Iterator

from carobstair.core.config_check.findings import (
    CheckSettings,
    Finding,
    Path,
    Severity,
)
from carobstair.core.routing import RequestKind, Route, RoutingConfig, ServicePool

__all__ = ["contradicting_limits", "strictest_objectives"]


def contradicting_limits(
    config: RoutingConfig, settings: CheckSettings
) -> Iterator[Finding]:
    """Report limits that can't be met or used together; 0 means no limit."""
    for index, route in enumerate(config.routes):
        yield from _route(route, ("routes", index))
    objectives = strictest_objectives(config)
    for index, pool in enumerate(config.services):
        yield from _service(pool, objectives.get(pool.name), ("services", index))
    size_bytes = config.limits.max_body_bytes
    if size_bytes > settings.body_memory_bytes:
        yield _warning(
            "body-limit-above-memory",
            ("limits", "max_body_bytes"),
            f"A body of {size_bytes} bytes is allowed, and a router has "
            f"{settings.body_memory_bytes} bytes of memory for bodies.",
            "Lower the limit, or give the routers more memory for bodies.",
        )


def _route(route: Route, path: Path) -> Iterator[Finding]:
    timeout_s, target_s = route.timeout_s, route.target_latency_s
    if timeout_s < 0 or target_s < 0 or route.max_gap_s < 0:
        yield _warning(
            "negative-time",
            path,
            f"Route {route.name} has a time below 0.",
            "State 0 for none, or a positive time.",
        )
        return
    if 0 < timeout_s < target_s:
        yield _warning(
            "timeout-below-objective",
            (*path, "timeout_s"),
            f"Route {route.name} ends requests after {_ms(timeout_s)}, before its "
            f"objective of {_ms(target_s)}.",
            "Raise the time-out, or lower the objective.",
        )
    elif timeout_s > 0 < target_s and timeout_s / target_s <= route.max_attempts - 1:
        begun = math.ceil(timeout_s / target_s)
        yield _warning(
            "attempts-beyond-timeout",
            (*path, "max_attempts"),
            f"Route {route.name} allows {route.max_attempts} attempts, and its "
            f"time-out of {_ms(timeout_s)} leaves time for {begun} that take the "
            f"objective of {_ms(target_s)}.",
            f"Allow {begun} attempts, or raise the time-out.",
        )
    if route.kind is RequestKind.STREAM and 0 < target_s < route.max_gap_s:
        yield _warning(
            "objective-below-pause",
            (*path, "target_latency_s"),
            f"Route {route.name} allows a pause of {_ms(route.max_gap_s)} between "
            f"events, which is longer than the {_ms(target_s)} for the first one.",
            "Check which of the two objectives is meant.",
        )


def _service(
    pool: ServicePool, objective_s: float | None, path: Path
) -> Iterator[Finding]:
    slots = pool.engine.slots if pool.engine else 0
    if 0 < pool.max_connections < slots:
        yield _warning(
            "slots-above-connections",
            (*path, "max_connections"),
            f"An engine of service {pool.name} has {slots} slots and accepts "
            f"{pool.max_connections} connections, so the other slots stay empty.",
            "Raise the connections to the slots at least.",
        )
    if slots > 0 and objective_s and pool.cold_rate * objective_s > slots:
        yield _warning(
            "cold-rate-above-slots",
            (*path, "cold_rate"),
            f"A cold engine of service {pool.name} gets {pool.cold_rate:g} requests a "
            f"second; if each takes the objective of {_ms(objective_s)}, they need "
            f"{pool.cold_rate * objective_s:g} slots, and it has {slots}.",
            "Lower the rate.",
        )


def strictest_objectives(config: RoutingConfig) -> dict[str, float]:
    """Return the strictest objective of the routes to each service."""
    objectives: dict[str, float] = {}
    for route in config.routes:
        if route.target_latency_s > 0:
            for service, weight in route.split:
                if weight > 0:
                    known = objectives.get(service, route.target_latency_s)
                    objectives[service] = min(known, route.target_latency_s)
    return objectives


def _ms(time_s: float) -> str:
    return f"{time_s * 1000:g} ms"


def _warning(rule: str, path: Path, message: str, action: str) -> Finding:
    return Finding(rule, Severity.WARNING, path, message, action)
