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

from carobstair.core.actions import ActionMachine
from carobstair.core.agent import AgentNode, AgentSettings
from carobstair.core.allocator import Allocator, AllocatorSettings, Grant
from carobstair.core.capacity import CapacityNode, CapacitySettings
from carobstair.core.effects import (
    Effect,
    Granted,
    RefuseWaiting,
    Send,
    StateChanged,
)
from carobstair.core.fairness import (
    FairnessSettings,
    GapTerms,
    ServiceTotals,
    VirtualTime,
    engine_cost_tokens,
    gap_bound_tokens,
    service_cost_tokens,
)
from carobstair.core.grants import GrantTimings, HeldGrant
from carobstair.core.limits import LimiterSettings, LoadReport, UpstreamLimiter
from carobstair.core.messages import CodecError, PeerAddress, decode, encode
from carobstair.core.placement import Placement, PrefixIndex, prefix_hashes
from carobstair.core.queueing import (
    ClassLimits,
    GatewayQueue,
    WaitingRequest,
    WorkClass,
    classify,
)
from carobstair.core.refusals import CATALOGUE, Ran, Refusal, RefusalType, refuse
from carobstair.core.shares import Epoch, ShareTable, SlotShare, split_limit
from carobstair.core.state import (
    AvailabilityZone,
    FleetState,
    Route,
    Ticket,
    Upstream,
    UpstreamKind,
    UpstreamState,
    Workspace,
)

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
