"""Entries that never match, in the fleet state that a ticket leads to."""

from __future__ import annotations

from collections.abc import Iterator

from carobstair.core.config_check.findings import Finding, Path, Severity
from carobstair.core.state import FleetState, Ticket, Upstream, UpstreamState, Workspace

__all__ = ["unmatched_entries"]


def unmatched_entries(
    ticket: Ticket, state: FleetState, whole: bool
) -> Iterator[Finding]:
    """Report entries of a ticket that no request can reach.

    Parameters
    ----------
    state : FleetState
        State after the ticket.
    whole : bool
        Whether `state` has all objects of the fleet. References to objects that it
        doesn't have are only faults if it does.
    """
    yield from _workspaces(ticket, state, whole)
    yield from _upstreams(ticket, state, whole)
    if whole:
        yield from _zones(ticket, state)


def _workspaces(ticket: Ticket, state: FleetState, whole: bool) -> Iterator[Finding]:
    owners: dict[str, list[str]] = {}
    for name, workspace in sorted(state.workspaces.items()):
        for key in workspace.key_hashes:
            owners.setdefault(key, []).append(name)
    pools = {upstream.pool for upstream in state.upstreams.values()}
    for name, workspace in ticket.workspaces.items():
        if workspace is None:
            continue
        path = ("workspaces", name)
        yield from _keys(workspace, owners, path)
        if not workspace.pools:
            yield _warning(
                "workspace-without-pool",
                (*path, "pools"),
                f"Workspace {name} may use no pool, so all its requests are refused.",
                "Name the pools that it may use.",
            )
        for pool in sorted(workspace.pools - pools if whole else ()):
            yield _warning(
                "pool-without-upstream",
                (*path, "pools"),
                f"Workspace {name} may use pool {pool}, which no upstream serves.",
                "Add an upstream to the pool, or correct its name.",
            )


def _keys(
    workspace: Workspace, owners: dict[str, list[str]], path: Path
) -> Iterator[Finding]:
    if not workspace.key_hashes:
        yield _warning(
            "workspace-without-key",
            (*path, "key_hashes"),
            f"No caller can use workspace {workspace.name}, as it has no key.",
            "Add the hash of a key, or remove the workspace.",
        )
    seen = set()
    for position, key in enumerate(workspace.key_hashes):
        other = _other(owners[key], workspace.name)
        if other or key in seen:
            yield _warning(
                "key-used-twice",
                (*path, "key_hashes", position),
                f"This key of workspace {workspace.name} is also one of workspace "
                f"{other or workspace.name}; only one of the entries "
                "is used.",
                "Issue a key of its own to each workspace.",
            )
        seen.add(key)


def _upstreams(ticket: Ticket, state: FleetState, whole: bool) -> Iterator[Finding]:
    addresses: dict[str, list[str]] = {}
    kinds: dict[str, str] = {}
    for name, upstream in sorted(state.upstreams.items()):
        kinds.setdefault(upstream.pool, name)
        if upstream.state is not UpstreamState.GONE:
            addresses.setdefault(upstream.address, []).append(name)
    allowed = {p for w in state.workspaces.values() for p in w.pools}
    for name, upstream in ticket.upstreams.items():
        if upstream is None:
            continue
        path = ("upstreams", name)
        yield from _routes(upstream, path)
        first = state.upstreams[kinds[upstream.pool]]
        if first.kind is not upstream.kind:
            yield _warning(
                "pool-of-two-kinds",
                (*path, "kind"),
                f"Upstream {name} is of kind {upstream.kind}, and pool "
                f"{upstream.pool} counts as {first.kind}, the kind of {first.name}.",
                "Give it a pool of its own, or correct its kind.",
            )
        other = _other(addresses.get(upstream.address, []), name)
        if other and upstream.state is not UpstreamState.GONE:
            yield _warning(
                "address-used-twice",
                (*path, "address"),
                f"Upstream {name} has the address of upstream {other}, so its "
                "limits count twice.",
                "Correct the address, or remove one of the two.",
            )
        if whole and upstream.pool not in allowed:
            yield _warning(
                "pool-without-workspace",
                (*path, "pool"),
                f"Upstream {name} serves pool {upstream.pool}, which no workspace may "
                "use.",
                "Add the pool to a workspace, or correct its name.",
            )


def _routes(upstream: Upstream, path: Path) -> Iterator[Finding]:
    # The first route that matches a call is the one in use. Earlier prefixes are looked
    # up by length, as comparing all pairs takes seconds for thousands of routes.
    known: dict[tuple[str, str], int] = {}
    lengths: set[int] = set()
    for index, route in enumerate(upstream.routes):
        prefix = route.path_prefix
        earlier = [
            known[method, prefix[:length]]
            for length in lengths
            if length <= len(prefix)
            for method in {"*", route.method}
            if (method, prefix[:length]) in known
        ]
        if earlier:
            other = upstream.routes[min(earlier)]
            yield _warning(
                "route-shadowed",
                (*path, "routes", index),
                f"Route {route.method} {prefix} of upstream {upstream.name} never "
                f"matches, because route {other.method} {other.path_prefix} (position "
                f"{min(earlier)}) comes first.",
                "Put the longer prefix first, or remove the route.",
            )
        known.setdefault((route.method, prefix), index)
        lengths.add(len(prefix))


def _zones(ticket: Ticket, state: FleetState) -> Iterator[Finding]:
    used = {upstream.zone for upstream in state.upstreams.values()}
    for name, zone in ticket.zones.items():
        if zone is not None and name not in used:
            yield _warning(
                "zone-without-upstream",
                ("zones", name),
                f"No upstream is in zone {name}.",
                "Correct the name, or remove the zone.",
            )


def _other(names: list[str], name: str) -> str | None:
    return next((other for other in names if other != name), None)


def _warning(rule: str, path: Path, message: str, action: str) -> Finding:
    return Finding(rule, Severity.WARNING, path, message, action)
