"""Decisions of the router fleet as pure state machines, to embed elsewhere.

Nothing here opens a socket, reads a clock or logs: time comes as an explicit
number of monotonic seconds, randomness as a seeded generator. Typed events go in
as method calls, typed effects come out for the caller to carry out.

The names below are the surface for other programs; ``examples/embed.py`` uses
them.

Nodes
    `CapacityNode` decides who is served next on which upstream; `AgentNode`
    decides about membership, epochs and tickets; `ActionMachine` runs one keyed
    action at most once. Their effects are in `Effect`.
State
    `FleetState` is the fold of `Ticket` objects that name `Workspace`,
    `Upstream` and `AvailabilityZone`; `Epoch` lists the members that hold shares.
Parts
    `ServiceTotals` and `VirtualTime` (fair order), `ShareTable` (capacity
    shares), `Allocator`, `GatewayQueue`, `UpstreamLimiter`, `Placement`, each
    usable without the others' drivers.
Messages
    `encode` and `decode` turn peer messages into bytes and back; `CodecError`
    tells what can't be read.
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

# Names by the module that defines them. They are imported on first use: a process
# that needs a few modules would otherwise spend a third of its start on the others.
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
