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
    "MemberSync",
    "MemberUpdate",
    "Offer",
    "OutcomeAnswer",
    "OutcomeQuery",
    "PeerAddress",
    "Probe",
    "ProbeAck",
    "ProbeRequest",
    "ShareTransfer",
    "TicketPull",
    "TicketPush",
    "TotalsEntry",
    "TotalsUpdate",
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


class DemandUpdate(msgspec.Struct, frozen=True):
    """All demand of a gateway towards one allocator; replaces earlier updates."""

    sequence: int
    last_offer: int
    entries: list[DemandEntry]


class Offer(msgspec.Struct, frozen=True):
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


class GrantReturn(msgspec.Struct, frozen=True):
    """Grants that ended or were not needed."""

    grant_ids: list[int]


class GrantRenewal(msgspec.Struct, frozen=True):
    """Grants that are still in use at the sending gateway."""

    request: int
    grant_ids: list[int]


class GrantRenewed(msgspec.Struct, frozen=True):
    """Answer to a renewal: the grants whose lease was extended."""

    request: int
    grant_ids: list[int]


class FreeSlots(msgspec.Struct, frozen=True):
    """Slots of the sender that no known demand can use."""

    pools: dict[str, int]


class TotalsEntry(msgspec.Struct, frozen=True, array_like=True):
    """Cumulative service that one gateway process gave to a workspace.

    `sequence` orders the entries of one source; the total only grows.
    """

    instance: str
    incarnation: int
    sequence: int
    pool: str
    workspace: str
    total_tokens: float
    reserved_tokens: float
    backlogged: bool


class LiftEntry(msgspec.Struct, frozen=True, array_like=True):
    """Virtual time added to a workspace; merged by maximum."""

    pool: str
    workspace: str
    lift: float


class TotalsUpdate(msgspec.Struct, frozen=True):
    """Service totals and lifts known to the sender."""

    totals: list[TotalsEntry]
    lifts: list[LiftEntry]


class LimitAnnouncement(msgspec.Struct, frozen=True):
    """The limit that an upstream's estimator computed."""

    upstream: str
    upstream_incarnation: str
    sequence: int
    max_requests: int
    max_kv_tokens: int
    observed_running: int
    valid_s: float


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


_PAYLOADS = (
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
