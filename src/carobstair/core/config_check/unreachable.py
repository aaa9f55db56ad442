"""Entries of a routing configuration that can never match or be used."""

from __future__ import annotations

from collections.abc import Iterator

from carobstair.core.config_check.findings import Finding, Path, Severity
from carobstair.core.routing import Route, RoutingConfig

__all__ = ["unreachable_entries"]


def unreachable_entries(config: RoutingConfig) -> Iterator[Finding]:
    """Report routes, services and keys that no request can reach."""
    yield from _routes(config)
    yield from _services(config)
    yield from _workspaces(config)


def _routes(config: RoutingConfig) -> Iterator[Finding]:
    served = {pool.name for pool in config.services}
    # The look-up keeps the last route of a host and prefix.
    winners = {
        (route.host, route.path_prefix): index
        for index, route in enumerate(config.routes)
    }
    for index, route in enumerate(config.routes):
        path = ("routes", index)
        winner = winners[route.host, route.path_prefix]
        if winner != index:
            yield _warning(
                "route-shadowed",
                path,
                f"Route {route.name} never matches, because route "
                f"{config.routes[winner].name} (position {winner}) has the same host "
                "and path prefix.",
                "Remove one of the two, or change its host or path prefix.",
            )
        yield from _matching(route, path)
        yield from _targets(route, served, path)


def _matching(route: Route, path: Path) -> Iterator[Finding]:
    if not route.host or ":" in route.host:
        yield _warning(
            "host-never-matches",
            (*path, "host"),
            f"Route {route.name} never matches, because hosts are compared without "
            "their port.",
            "State the host alone.",
        )
    prefix = route.path_prefix
    if not (prefix.startswith("/") and prefix.endswith("/")):
        yield _warning(
            "prefix-never-matches",
            (*path, "path_prefix"),
            f"Route {route.name} never matches, because only path prefixes that "
            "begin and end with a slash are looked up.",
            "Add the slash.",
        )


def _targets(route: Route, served: set[str], path: Path) -> Iterator[Finding]:
    for service, _ in route.split:
        if service not in served:
            yield _warning(
                "route-to-missing-service",
                (*path, "split"),
                f"Route {route.name} leads to {service}, which is not among the "
                "services.",
                "Add the service, or correct its name.",
            )
    if not any(weight > 0 for _, weight in route.split):
        yield _warning(
            "route-without-service",
            (*path, "split"),
            f"Route {route.name} has no service with a weight above 0, so all its "
            "requests are refused.",
            "Name a service, or remove the route.",
        )


def _services(config: RoutingConfig) -> Iterator[Finding]:
    routed = {
        service
        for route in config.routes
        for service, weight in route.split
        if weight > 0
    }
    last = {pool.name: index for index, pool in enumerate(config.services)}
    for index, pool in enumerate(config.services):
        path = ("services", index)
        if last[pool.name] != index:
            yield _warning(
                "service-twice",
                path,
                f"Service {pool.name} is stated again at position {last[pool.name]}, "
                "which is the one in use.",
                "Remove one of the two.",
            )
        elif pool.name not in routed:
            yield _warning(
                "service-without-route",
                path,
                f"No route leads to service {pool.name}.",
                "Add a route to it, or remove it.",
            )


def _workspaces(config: RoutingConfig) -> Iterator[Finding]:
    # The look-up keeps the last workspace of a key.
    first: dict[str, Path] = {}
    names: dict[str, int] = {}
    for index, workspace in enumerate(config.workspaces):
        path = ("workspaces", index)
        if names.setdefault(workspace.name, index) != index:
            yield _warning(
                "workspace-twice",
                path,
                f"Workspace {workspace.name} is also at position "
                f"{names[workspace.name]}.",
                "Merge the two.",
            )
        if not any(workspace.keys):
            yield _warning(
                "workspace-without-key",
                path,
                f"No caller can use workspace {workspace.name}, as it has no key.",
                "Add a key, or remove the workspace.",
            )
        for position, key in enumerate(workspace.keys):
            place = (*path, "keys", position)
            if not key:
                yield _warning(
                    "key-empty",
                    place,
                    f"An empty key of workspace {workspace.name} never matches.",
                    "Remove it.",
                )
                continue
            if first.setdefault(key, place) != place:
                owner = config.workspaces[first[key][1]].name
                yield _warning(
                    "key-used-twice",
                    place,
                    f"This key of workspace {workspace.name} is already one of "
                    f"workspace {owner}; the last workspace that has a key gets its "
                    "requests.",
                    "Issue a key of its own to each workspace.",
                )


def _warning(rule: str, path: Path, message: str, action: str) -> Finding:
    return Finding(rule, Severity.WARNING, path, message, action)
