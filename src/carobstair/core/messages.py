"""Messages between routers: one versioned envelope with typed payloads.

State messages (demand, totals, limits, heartbeats) are idempotent: the newest
sequence number from a sender replaces what came before. Requests carry an id.
"""

from __future__ import annotations

import msgspec

from carobstair.core.agent_messages import (
    EpochAck,
    EpochNotice,
    Heartbeat,
    InForceAnswer,
    InForceQuery,
    InUseEntry,
    LeavingEntry,
    LeavingNotice,
    MemberSync,
    MemberUpdate,
    PeerAddress,
    Probe,
    ProbeAck,
    ProbeRequest,
    ShareTransfer,
    TicketPull,
    TicketPush,
)

__all__ = [
    "PROTOCOL_VERSION",
    "CodecError",
    "DemandEntry",
    "DemandUpdate",
    "Envelope",
    "EpochAck",
    "EpochNotice",
    "FleetDigest",
    "FreeSlots",
    "GrantRenewal",
    "GrantRenewed",
    "GrantReturn",
    "Heartbeat",
    "InForceAnswer",
    "InForceQuery",
    "InUseEntry",
    "LeavingEntry",
    "LeavingNotice",
    "LiftEntry",
    "LimitAnnouncement",
    "LoadRow",
    "MemberSync",
    "MemberUpdate",
    "Offer",
    "OutcomeAnswer",
    "OutcomeQuery",
    "PeerAddress",
    "PoolTotals",
    "Probe",
    "ProbeAck",
    "ProbeRequest",
    "ShareTransfer",
    "StateNews",
    "StatePull",
    "StateRow",
    "TicketPull",
    "TicketPush",
    "TokenTimes",
    "TotalsRow",
    "TotalsUpdate",
    "UpstreamUse",
    "UpstreamUseReport",
    "decode",
    "encode",
    "kind_of",
]

PROTOCOL_VERSION = 1


class CodecError(ValueError):
    """A peer message that can't be read; `reason` is a bounded label."""

    def __init__(self, reason: str):
        super().__init__(reason)
        self.reason = reason


class DemandEntry(msgspec.Struct, frozen=True, array_like=True):
    """Requests of a workspace that wait at the sending gateway for a pool."""

    pool: str
    workspace: str
    work_class: str
    waiting: int
    head_cost_tokens: float
    head_kv_tokens: int
    prefix: list[int] = []
    excluded: list[str] = []


class DemandUpdate(msgspec.Struct, frozen=True, array_like=True):
    """Demand of a gateway towards one allocator.

    A full update replaces all that came before. Another one replaces only the
    entries that it names; none waiting removes an entry.
    """

    sequence: int
    last_offer: int
    entries: list[DemandEntry]
    full: bool = True


class Offer(msgspec.Struct, frozen=True, array_like=True):
    """A slot on an upstream, granted to a workspace at a gateway.

    `demand_sequence` names the demand update that it answers, from whose sending
    the gateway counts the lease.
    """

    grant_id: int
    demand_sequence: int
    upstream: str
    pool: str
    workspace: str
    work_class: str
    kv_tokens: int
    cost_tokens: float
    lease_s: float


class GrantReturn(msgspec.Struct, frozen=True, array_like=True):
    """Grants that ended, or that were not needed."""

    grant_ids: list[int]
    unused: bool = False


class GrantRenewal(msgspec.Struct, frozen=True, array_like=True):
    """Grants that are still in use at the sending gateway."""

    request: int
    grant_ids: list[int]


class GrantRenewed(msgspec.Struct, frozen=True, array_like=True):
    """Answer to a renewal: the grants whose lease was extended."""

    request: int
    grant_ids: list[int]


class FreeSlots(msgspec.Struct, frozen=True):
    """Slots of the sender that no known demand can use."""

    pools: dict[str, int]


class TotalsRow(msgspec.Struct, frozen=True, array_like=True):
    """Cumulative service of a workspace, per weight; the total only grows."""

    workspace: str
    total: float
    reserved: float
    backlogged: bool


class PoolTotals(msgspec.Struct, frozen=True, array_like=True):
    """Service totals of one pool."""

    pool: str
    rows: list[TotalsRow]


class LiftEntry(msgspec.Struct, frozen=True, array_like=True):
    """Virtual time added to a workspace; merged by maximum."""

    pool: str
    workspace: str
    lift: float


class TotalsUpdate(msgspec.Struct, frozen=True, array_like=True):
    """Changed service totals and lifts of the sender.

    Attributes
    ----------
    last_offer : int
        Newest grant of the receiver whose reservation the totals contain.
    row : int
        Row of the grid whose sums these are; -1 for the sender's own totals.
    wants_sync : bool
        The sender is new and asks for what retired processes gave.
    answers : int
        Incarnation of the receiver whose wish this update fulfils.
    retired : list of PoolTotals
        What processes gave that are gone; only in such an answer.
    """

    incarnation: int
    sequence: int
    pools: list[PoolTotals]
    lifts: list[LiftEntry] = []
    last_offer: int = 0
    row: int = -1
    wants_sync: bool = False
    answers: int = 0
    retired: list[PoolTotals] = []


class TokenTimes(msgspec.Struct, frozen=True, array_like=True):
    """Times between tokens on one upstream that a gateway saw lately."""

    upstream: str
    count: int
    median_ms: float
    p95_ms: float


class UpstreamUse(msgspec.Struct, frozen=True, array_like=True):
    """Requests that the sender's grants allow on an upstream."""

    upstream: str
    requests: int


class UpstreamUseReport(msgspec.Struct, frozen=True, array_like=True):
    """What the receiver needs for the upstreams that it estimates."""

    sequence: int
    times: list[TokenTimes]
    uses: list[UpstreamUse]


class LimitAnnouncement(msgspec.Struct, frozen=True, array_like=True):
    """The limit that an upstream's estimator computed."""

    upstream: str
    upstream_incarnation: str
    sequence: int
    max_requests: int
    max_kv_tokens: int
    observed_running: int
    valid_s: float
    leaving: bool = False


class OutcomeQuery(msgspec.Struct, frozen=True):
    """Asks the router that started an action for its outcome."""

    request: int
    record: str
    attempt_id: str


class OutcomeAnswer(msgspec.Struct, frozen=True):
    """What the asked router knows: an encoded outcome, or none."""

    request: int
    record: str
    state: str
    outcome: bytes = b""


class Envelope(msgspec.Struct, frozen=True, array_like=True):
    """What travels between routers; the payload is decoded by its kind."""

    version: int
    sender: str
    incarnation: int
    epoch: int
    sequence: int
    kind: str
    payload: msgspec.Raw


class LoadRow(msgspec.Struct, frozen=True, array_like=True):
    """What the sender has in hand at one upstream."""

    upstream: str
    backlog_tokens: int
    running: int


class FleetDigest(msgspec.Struct, frozen=True, array_like=True):
    """Load of a router, and how new its copy of the store is.

    Rows are grouped by what they share: digests are most of the traffic between
    routers.

    Attributes
    ----------
    revisions : list of int
        The last known change of each kind of state, in the order of the kinds.
    parts : dict
        Parts of prompts with their tokens, lately sent, by upstream.
    demands : dict, optional
        Weighted tokens a second that callers ask of the sender, by pool and
        workspace; None if they are not told this time.
    """

    address: PeerAddress
    revisions: list[int]
    loads: list[LoadRow]
    parts: dict[str, list[tuple[str, int]]]
    demands: dict[str, dict[str, int]] | None = None


class StatePull(msgspec.Struct, frozen=True, array_like=True):
    """Asks for the changes of state after these revisions."""

    revisions: dict[str, int]


class StateRow(msgspec.Struct, frozen=True, array_like=True):
    """An object of the store, or its removal where `spec` is None."""

    name: str
    revision: int
    spec: bytes | None


class StateNews(msgspec.Struct, frozen=True, array_like=True):
    """Changes of one kind of state.

    `steady` tells that the sender's store has been answering for long enough for
    a removal to be believed at once.
    """

    kind: str
    rows: list[StateRow]
    steady: bool


_PAYLOADS = (
    FleetDigest,
    StateNews,
    StatePull,
    InForceAnswer,
    InForceQuery,
    LeavingNotice,
    MemberSync,
    Probe,
    ProbeAck,
    ProbeRequest,
    DemandUpdate,
    EpochAck,
    EpochNotice,
    FreeSlots,
    GrantRenewal,
    GrantRenewed,
    GrantReturn,
    LimitAnnouncement,
    Offer,
    OutcomeAnswer,
    OutcomeQuery,
    ShareTransfer,
    TicketPull,
    TicketPush,
    TotalsUpdate,
    UpstreamUseReport,
)
_ENCODER = msgspec.msgpack.Encoder()
_ENVELOPE = msgspec.msgpack.Decoder(Envelope)
_DECODERS = {cls.__name__: msgspec.msgpack.Decoder(cls) for cls in _PAYLOADS}


def kind_of(payload: msgspec.Struct) -> str:
    """Return the name under which a payload travels."""
    return type(payload).__name__


def encode(
    payload: msgspec.Struct, sender: str, incarnation: int, epoch: int, sequence: int
) -> bytes:
    """Return a message as bytes."""
    envelope = Envelope(
        PROTOCOL_VERSION,
        sender,
        incarnation,
        epoch,
        sequence,
        kind_of(payload),
        msgspec.Raw(_ENCODER.encode(payload)),
    )
    return _ENCODER.encode(envelope)


def decode(data: bytes) -> tuple[Envelope, msgspec.Struct]:
    """Return the envelope and the typed payload of a message.

    Raises
    ------
    CodecError
        If the message is malformed or of an unknown version or kind.
    """
    try:
        envelope = _ENVELOPE.decode(data)
    except msgspec.DecodeError as error:
        raise CodecError("malformed") from error
    if envelope.version != PROTOCOL_VERSION:
        raise CodecError("unknown_version")
    decoder = _DECODERS.get(envelope.kind)
    if decoder is None:
        raise CodecError("unknown_kind")
    try:
        return envelope, decoder.decode(envelope.payload)
    except msgspec.DecodeError as error:
        raise CodecError("malformed") from error
