"""Decision logic of the router fleet as embeddable, I/O-free state machines.

Nothing here opens a socket, reads a clock or logs: the caller passes the time as
monotonic seconds and randomness as a seeded generator. Events are method calls;
the effects that they return are executed by the caller.

The names below are the public API for other programs; ``examples/embed.py`` uses
them.

Nodes
    `CapacityNode` decides which request is served next on which upstream;
    `AgentNode` handles membership, epochs and tickets; `ActionMachine` runs one
    keyed action at most once. `Effect` is the union of their effects.
State
    `FleetState` is the result of applying `Ticket` objects that name `Workspace`,
    `Upstream` and `AvailabilityZone`; `Epoch` lists the members that hold shares.
Parts
    `ServiceTotals` and `VirtualTime` (fair order), `ShareTable` (capacity
    shares), `Allocator`, `GatewayQueue`, `UpstreamLimiter`, `Placement`, each
    usable on its own.
Messages
    `encode` and `decode` turn peer messages into bytes and back; `CodecError`
    reports undecodable input.
"""

from __future__ import annotations

import importlib
from typing import Any

__all__ = [
    "CATALOGUE",
    "ActionMachine",
    "AgentNode",
    "AgentSettings",
    "Allocator",
    "AllocatorSettings",
    "AvailabilityZone",
    "CapacityNode",
    "CapacitySettings",
    "ClassLimits",
    "CodecError",
    "Effect",
    "Epoch",
    "FairnessSettings",
    "FleetState",
    "GapTerms",
    "GatewayQueue",
    "Grant",
    "GrantTimings",
    "Granted",
    "HeldGrant",
    "LimiterSettings",
    "LoadReport",
    "PeerAddress",
    "Placement",
    "PrefixIndex",
    "Ran",
    "Refusal",
    "RefusalType",
    "RefuseWaiting",
    "Route",
    "Send",
    "ServiceTotals",
    "ShareTable",
    "SlotShare",
    "StateChanged",
    "Ticket",
    "Upstream",
    "UpstreamKind",
    "UpstreamLimiter",
    "UpstreamState",
    "VirtualTime",
    "WaitingRequest",
    "WorkClass",
    "Workspace",
    "classify",
    "decode",
    "encode",
    "engine_cost_tokens",
    "gap_bound_tokens",
    "prefix_hashes",
    "refuse",
    "service_cost_tokens",
    "split_limit",
]

# Exported names by defining module. Modules are imported on first use: importing
# all of them takes a third of the start-up time of a process that needs only a few.
_MODULES = {
    "actions": ("ActionMachine",),
    "agent": (
        "AgentNode",
        "AgentSettings",
    ),
    "allocator": (
        "Allocator",
        "AllocatorSettings",
        "Grant",
    ),
    "capacity": (
        "CapacityNode",
        "CapacitySettings",
    ),
    "effects": (
        "Effect",
        "Granted",
        "RefuseWaiting",
        "Send",
        "StateChanged",
    ),
    "fairness": (
        "FairnessSettings",
        "GapTerms",
        "ServiceTotals",
        "VirtualTime",
        "engine_cost_tokens",
        "gap_bound_tokens",
        "service_cost_tokens",
    ),
    "grants": (
        "GrantTimings",
        "HeldGrant",
    ),
    "limits": (
        "LimiterSettings",
        "LoadReport",
        "UpstreamLimiter",
    ),
    "messages": (
        "CodecError",
        "PeerAddress",
        "decode",
        "encode",
    ),
    "placement": (
        "Placement",
        "PrefixIndex",
        "prefix_hashes",
    ),
    "queueing": (
        "ClassLimits",
        "GatewayQueue",
        "WaitingRequest",
        "WorkClass",
        "classify",
    ),
    "refusals": (
        "CATALOGUE",
        "Ran",
        "Refusal",
        "RefusalType",
        "refuse",
    ),
    "shares": (
        "Epoch",
        "ShareTable",
        "SlotShare",
        "split_limit",
    ),
    "state": (
        "AvailabilityZone",
        "FleetState",
        "Route",
        "Ticket",
        "Upstream",
        "UpstreamKind",
        "UpstreamState",
        "Workspace",
    ),
}
_MODULE_OF = {name: module for module, names in _MODULES.items() for name in names}


def __getattr__(name: str) -> Any:
    module = _MODULE_OF.get(name)
    if module is None:
        raise AttributeError(f"module {__name__!r} has no attribute {name!r}")
    return getattr(importlib.import_module(f"{__name__}.{module}"), name)


def __dir__() -> list[str]:
    return sorted(__all__)
