"""What a routing configuration changes for callers, compared with the one in force."""

from __future__ import annotations

from collections.abc import Iterator
from dataclasses import asdict, is_dataclass

from carobstair.core.config_check.findings import Finding, Path, Severity
from carobstair.core.routing import Route, RoutingConfig, ServicePool

__all__ = ["change", "changed_fields", "changed_keys", "differences"]

REVIEW = "Check that this is intended."

# What a change of each field does to callers.
ROUTE_FIELDS = {
    "name": "only reports change",
    "kind": "it changes which requests may run a second time",
    "timeout_s": "it changes after what time requests end",
    "target_latency_s": "requests are placed and shed by the new objective",
    "priority": "it changes which requests go first when capacity is short",
    "max_attempts": "it changes how often a request is tried on another upstream",
    "public": "it changes whether callers need a key",
    "resumable": "it changes whether broken streams go on elsewhere",
    "max_gap_s": "the new objective for pauses applies to streams",
}
SERVICE_FIELDS = {
    "health_path": "upstreams are checked on the new path",
    "max_connections": "it changes how many requests reach an upstream at once",
    "cold_start_s": "it changes how long new upstreams get little work",
    "cold_rate": "it changes how much work new upstreams get",
    "engine": "it changes how many requests an engine is given",
}
LIMIT_FIELDS = {
    "max_header_bytes": "requests with a larger head are refused",
    "max_body_bytes": "requests with a larger body are refused",
    "header_timeout_s": "slower request heads are refused",
    "idle_timeout_s": "connections that are idle for longer are closed",
    "tokens_per_s": "it changes what is shared among workspaces",
}


def differences(new: RoutingConfig, old: RoutingConfig) -> Iterator[Finding]:
    """Report what differs by meaning; the order of entries has none."""
    yield from _routes(new, old)
    yield from _services(new, old)
    yield from _workspaces(new, old)
    yield from changed_fields(
        "limit", "Limit", new.limits, old.limits, LIMIT_FIELDS, ("limits",)
    )


def change(rule: str, path: Path, message: str, action: str = REVIEW) -> Finding:
    """Return a finding on a difference."""
    return Finding(rule, Severity.CHANGE, path, message, action)


def changed_fields(
    rule: str, title: str, new, old, effects: dict[str, str], path: Path
) -> Iterator[Finding]:
    """Report each field that differs, with what the change does.

    Parameters
    ----------
    rule : str
        What the rule id begins with.
    title : str
        What the message begins with.
    effects : dict
        Effect of a change by field.
    """
    for name, effect in effects.items():
        before, after = getattr(old, name), getattr(new, name)
        if before != after:
            yield change(
                f"{rule}-changed",
                (*path, name),
                f"{title}: {_words(name)} changes from {_text(before)} to "
                f"{_text(after)}; {effect}.",
            )


def _routes(new: RoutingConfig, old: RoutingConfig) -> Iterator[Finding]:
    # The last route of a host and prefix is the one in use.
    before = {(route.host, route.path_prefix): route for route in old.routes}
    after = {
        (route.host, route.path_prefix): (index, route)
        for index, route in enumerate(new.routes)
    }
    removed = {place: r for place, r in before.items() if place not in after}
    left_by_name = {route.name: place for place, route in removed.items()}
    for place, (index, route) in after.items():
        path = ("routes", index)
        known = before.get(place)
        if known is None and route.name in left_by_name:
            known = removed.pop(left_by_name.pop(route.name))
            yield change(
                "route-moved",
                path,
                f"Route {route.name} moves from {_place(known)} to {_place(route)}; "
                "requests to the old place no longer reach it.",
                "Move the callers first, or keep a route at the old place.",
            )
        if known is None:
            yield change(
                "route-added",
                path,
                f"Route {route.name} is added at {_place(route)}; its requests go to "
                f"{_split(route)}.",
            )
            continue
        yield from _split_change(route, known, path)
        yield from changed_fields(
            "route", f"Route {route.name}", route, known, ROUTE_FIELDS, path
        )
    for route in removed.values():
        yield change(
            "route-removed",
            ("routes",),
            f"Route {route.name} at {_place(route)} is removed; its requests match a "
            "shorter prefix of the host or are refused.",
            "Check that no caller uses it.",
        )


def _split_change(new: Route, old: Route, path: Path) -> Iterator[Finding]:
    if _shares(new) == _shares(old):
        return
    before, after = set(_shares(old)), set(_shares(new))
    if before == after:
        rule = "route-weights-changed"
    elif len(after) > 1:
        rule = "route-split"
    else:
        rule = "route-service-changed"
    yield change(
        rule,
        (*path, "split"),
        f"Requests of route {new.name} go to {_split(new)} instead of {_split(old)}.",
        "Check that the services have the capacity.",
    )


def _services(new: RoutingConfig, old: RoutingConfig) -> Iterator[Finding]:
    before = {pool.name: pool for pool in old.services}
    after: dict[str, tuple[int, ServicePool]] = {
        pool.name: (index, pool) for index, pool in enumerate(new.services)
    }
    for name, (index, pool) in after.items():
        path = ("services", index)
        if name not in before:
            yield change("service-added", path, f"Service {name} is added.")
            continue
        yield from changed_fields(
            "service", f"Service {name}", pool, before[name], SERVICE_FIELDS, path
        )
    for name in sorted(before.keys() - after.keys()):
        yield change(
            "service-removed",
            ("services",),
            f"Service {name} is removed; its upstreams get no more requests.",
            "Check that no route needs it.",
        )


def _workspaces(new: RoutingConfig, old: RoutingConfig) -> Iterator[Finding]:
    if bool(new.workspaces) != bool(old.workspaces):
        needs = "need a key" if new.workspaces else "no longer need a key"
        yield change(
            "key-requirement-changed",
            ("workspaces",),
            f"Callers of routes that aren't public {needs}.",
        )
    before = {workspace.name: workspace for workspace in old.workspaces}
    after = {
        workspace.name: (index, workspace)
        for index, workspace in enumerate(new.workspaces)
    }
    for name, (index, workspace) in after.items():
        path = ("workspaces", index)
        known = before.get(name)
        if known is None:
            yield change("workspace-added", path, f"Workspace {name} is added.")
            continue
        yield from changed_keys(
            name, set(workspace.keys), set(known.keys), (*path, "keys")
        )
        if workspace.priority != known.priority:
            yield change(
                "workspace-changed",
                (*path, "priority"),
                f"Workspace {name}: the priority changes from "
                f"{_text(known.priority)} to {_text(workspace.priority)}.",
            )
    for name in sorted(before.keys() - after.keys()):
        yield change(
            "workspace-removed",
            ("workspaces",),
            f"Workspace {name} is removed; requests with its keys are refused.",
            "Check that its callers have gone.",
        )


def changed_keys(
    workspace: str, new: set[str], old: set[str], path: Path
) -> Iterator[Finding]:
    """Report keys that are added or taken away, without stating any of them."""
    if added := len(new - old):
        yield change(
            "key-added",
            path,
            f"Workspace {workspace} gets {_count(added, 'more key')}.",
        )
    if removed := len(old - new):
        yield change(
            "key-removed",
            path,
            f"Workspace {workspace} loses {_count(removed, 'key')}; requests with a "
            "lost key are refused.",
            "Check that callers have moved to another key.",
        )


def _shares(route: Route) -> dict[str, float]:
    weights: dict[str, float] = {}
    for service, weight in route.split:
        if weight > 0:
            weights[service] = weights.get(service, 0.0) + weight
    total = sum(weights.values())
    # Rounded so that weights 1 and 2 equal 10 and 20.
    return {service: round(w / total, 9) for service, w in weights.items()}


def _split(route: Route) -> str:
    parts = [f"{service} ({s * 100:g} %)" for service, s in _shares(route).items()]
    return ", ".join(parts) or "no service"


def _place(route: Route) -> str:
    return f"{route.host}{route.path_prefix}"


def _count(number: int, noun: str) -> str:
    return f"{number} {noun}" + ("s" if number > 1 else "")


def _words(name: str) -> str:
    """Return a field's name as words, with its unit in brackets."""
    if name.endswith("_s") and not name.endswith("_per_s"):
        return f"{name[:-2].replace('_', ' ')} (s)"
    return name.replace("_", " ")


def _text(value: object) -> str:
    if value is None or value in ("", ()):
        return "none"
    if isinstance(value, bool):
        return "yes" if value else "no"
    if isinstance(value, float):
        return f"{value:g}"
    if isinstance(value, tuple):
        return "; ".join(map(_text, value))
    if is_dataclass(value):
        return " ".join(f"{n}={_text(v)}" for n, v in asdict(value).items())
    return str(value)
