"""What a ticket changes for callers, compared with the fleet state in force."""

from __future__ import annotations

from collections.abc import Iterator

from carobstair.core.config_check.differences import (
    change,
    changed_fields,
    changed_keys,
)
from carobstair.core.config_check.findings import Finding, Severity
from carobstair.core.state import FleetState, Ticket

__all__ = ["ticket_differences"]

# What a change of each field does to callers.
WORKSPACE_FIELDS = {
    "weight": "its share of the capacity changes with it",
    "max_waiting_requests": "more waiting requests than this are refused",
    "max_waiting_bytes": "more waiting bytes than this are refused",
    "max_connections": "more connections than this are refused",
}
UPSTREAM_FIELDS = {
    "pool": "it serves other requests",
    "kind": "it is called in another way",
    "address": "requests go to the new address",
    "zone": "it follows the other zone's state",
    "state": "only live upstreams get new requests",
    "cold_limit": "it changes how many requests it gets while it is cold",
    "max_requests": "it changes how many requests it gets at once",
    "max_kv_tokens": "it changes how many tokens its requests may hold",
    "checks_fencing": "it changes how repeated actions are told apart",
    "wanted_versions": "other versions of it get no requests",
    "wanted_role": "other roles of it get no requests",
    "routes": "it changes which calls may run a second time",
}


def ticket_differences(ticket: Ticket, old: FleetState) -> Iterator[Finding]:
    """Report what a ticket changes; an object that stays equal is no change."""
    yield from _removed(ticket, old)
    yield from _workspaces(ticket, old)
    yield from _upstreams(ticket, old)
    for name, zone in ticket.zones.items():
        if zone is not None and zone.in_service != old.zone_in_service(name):
            if zone.in_service:
                effect = "comes into service; its engines count as cold at first"
            else:
                effect = "goes out of service; the other zones get its requests"
            yield change("zone-changed", ("zones", name), f"Zone {name} {effect}.")


def _removed(ticket: Ticket, old: FleetState) -> Iterator[Finding]:
    effects = {
        "workspaces": "requests with its keys are refused",
        "upstreams": "its requests go to the others of its pool",
        "zones": "it counts as in service",
    }
    for kind, effect in effects.items():
        known = getattr(old, kind)
        noun = kind[:-1]
        for name, value in getattr(ticket, kind).items():
            if value is not None:
                continue
            if name in known:
                yield change(
                    f"{noun}-removed",
                    (kind, name),
                    f"{noun.capitalize()} {name} is removed; {effect}.",
                )
            else:
                yield Finding(
                    "removes-nothing",
                    Severity.WARNING,
                    (kind, name),
                    f"{noun.capitalize()} {name} is removed, and there is none in "
                    "force.",
                    "Correct the name, or leave the entry out.",
                )


def _workspaces(ticket: Ticket, old: FleetState) -> Iterator[Finding]:
    for name, workspace in ticket.workspaces.items():
        path = ("workspaces", name)
        known = old.workspaces.get(name)
        if workspace is None:
            continue
        if known is None:
            yield change("workspace-added", path, f"Workspace {name} is added.")
            continue
        yield from changed_keys(
            name,
            set(workspace.key_hashes),
            set(known.key_hashes),
            (*path, "key_hashes"),
        )
        if gained := ", ".join(sorted(workspace.pools - known.pools)):
            yield change(
                "pool-added",
                (*path, "pools"),
                f"Workspace {name} may also use {gained}.",
            )
        if lost := ", ".join(sorted(known.pools - workspace.pools)):
            yield change(
                "pool-removed",
                (*path, "pools"),
                f"Workspace {name} may no longer use {lost}; such requests are "
                "refused.",
                "Check that its callers no longer need it.",
            )
        yield from changed_fields(
            "workspace", f"Workspace {name}", workspace, known, WORKSPACE_FIELDS, path
        )


def _upstreams(ticket: Ticket, old: FleetState) -> Iterator[Finding]:
    for name, upstream in ticket.upstreams.items():
        path = ("upstreams", name)
        known = old.upstreams.get(name)
        if upstream is None:
            continue
        if known is None:
            yield change(
                "upstream-added",
                path,
                f"Upstream {name} is added to pool {upstream.pool}.",
            )
            continue
        yield from changed_fields(
            "upstream", f"Upstream {name}", upstream, known, UPSTREAM_FIELDS, path
        )
