"""Validated models of external data: tickets, stored state and request bodies."""

from __future__ import annotations

import json
from dataclasses import asdict
from typing import Annotated, Any

from pydantic import (
    BaseModel,
    ConfigDict,
    Field,
    StringConstraints,
    ValidationError,
    model_validator,
)

from carobstair.core.messages import PeerAddress
from carobstair.core.shares import Epoch
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
    "ChatRequestModel",
    "JsonCodec",
    "ModelError",
    "TicketModel",
    "decode_epoch",
    "decode_state",
    "decode_ticket",
    "encode_core_ticket",
    "encode_epoch",
    "encode_state",
    "encode_ticket",
    "invalid_fields",
]

Name = Annotated[str, StringConstraints(pattern=r"^[A-Za-z0-9][A-Za-z0-9._-]{0,62}$")]
KeyHash = Annotated[str, StringConstraints(pattern=r"^[0-9a-f]{64}$")]
Address = Annotated[str, StringConstraints(pattern=r"^https?://[^/\s]+$")]


class ModelError(ValueError):
    """Input that fails validation; the message names the invalid fields."""


class _StrictModel(BaseModel):
    model_config = ConfigDict(extra="forbid")


class RouteModel(_StrictModel):
    """A route of a plain service, as in a ticket."""

    method: str = "*"
    path_prefix: str = "/"
    repeatable: bool


class WorkspaceModel(_StrictModel):
    """A workspace as in a ticket."""

    weight: float = Field(gt=0, le=1_000_000)
    key_hashes: list[KeyHash] = []
    pools: list[Name] = []
    max_waiting_requests: int = Field(200, ge=1, le=100_000)
    max_waiting_bytes: int = Field(8_000_000, ge=1)
    max_connections: int = Field(500, ge=1)


class UpstreamModel(_StrictModel):
    """An upstream as in a ticket."""

    pool: Name
    kind: UpstreamKind
    address: Address
    zone: Name
    state: UpstreamState = UpstreamState.LIVE
    cold_limit: int = Field(1, ge=1)
    max_requests: int = Field(16, ge=1)
    max_kv_tokens: int = Field(200_000, ge=1)
    checks_fencing: bool = False
    wanted_versions: list[str] = []
    wanted_role: str = ""
    routes: list[RouteModel] = []

    @model_validator(mode="after")
    def _cold_limit_within_max_requests(self) -> UpstreamModel:
        if self.cold_limit > self.max_requests:
            raise ValueError("cold_limit must not exceed max_requests")
        return self


class ZoneModel(_StrictModel):
    """An availability zone as in a ticket."""

    in_service: bool


class TicketModel(_StrictModel):
    """A change ticket as filed by operators.

    Objects set to null are removed.
    """

    number: int | None = Field(None, ge=1)
    submission_id: str = Field("", max_length=64)
    author: str = Field("", max_length=200)
    workspaces: dict[Name, WorkspaceModel | None] = {}
    upstreams: dict[Name, UpstreamModel | None] = {}
    zones: dict[Name, ZoneModel | None] = {}

    @model_validator(mode="after")
    def _is_not_empty(self) -> TicketModel:
        if not (self.workspaces or self.upstreams or self.zones):
            raise ValueError("a ticket must touch a workspace, an upstream or a zone")
        return self

    def to_core(self) -> Ticket:
        """Return the ticket as a core data class."""
        return Ticket(
            self.number or 0,
            self.submission_id,
            self.author,
            {n: m and _to_workspace(n, m) for n, m in self.workspaces.items()},
            {n: m and _to_upstream(n, m) for n, m in self.upstreams.items()},
            {n: m and AvailabilityZone(n, m.in_service) for n, m in self.zones.items()},
        )


class _StateModel(_StrictModel):
    number: int = Field(ge=0)
    workspaces: dict[Name, WorkspaceModel]
    upstreams: dict[Name, UpstreamModel]
    zones: dict[Name, ZoneModel]
    submissions: list[tuple[str, int]] = []


class MessageModel(BaseModel):
    """One message of a chat request; unknown members are kept."""

    model_config = ConfigDict(extra="allow")
    role: str
    content: Any = ""


class ChatRequestModel(BaseModel):
    """The members of a chat request that routing uses; other members are kept."""

    model_config = ConfigDict(extra="allow")
    model: Name
    messages: list[MessageModel] = Field(min_length=1)
    stream: bool = False
    max_tokens: Any = None

    def prompt(self) -> str:
        """Return all messages as one text, to estimate the size and match prefixes."""
        return "\n".join(f"{m.role}: {m.content}" for m in self.messages)


def parse_model(model: type[BaseModel], data: bytes) -> Any:
    """Return a validated model from JSON.

    Raises
    ------
    ModelError
        The message names the invalid fields.
    """
    try:
        return model.model_validate_json(data)
    except ValidationError as error:
        raise ModelError(format_validation_error(error)) from error


def format_validation_error(error: ValidationError) -> str:
    """Return one line that names up to five invalid fields."""
    lines = []
    for item in error.errors(include_url=False, include_context=False):
        location = ".".join(str(part) for part in item["loc"]) or "body"
        lines.append(f"{location}: {item['msg']}")
    return "; ".join(lines[:5])


def invalid_fields(error: ModelError) -> list[tuple[tuple[str | int, ...], str]]:
    """Return the path of each invalid field, and why it is invalid."""
    cause = error.__cause__
    if not isinstance(cause, ValidationError):
        return [((), str(error))]
    return [
        # An invalid name is located as "[key]" below itself.
        (tuple(part for part in item["loc"] if part != "[key]"), item["msg"])
        for item in cause.errors(include_url=False, include_context=False)
    ]


def encode_ticket(ticket: TicketModel) -> bytes:
    """Return a ticket as the JSON that is stored in the object API."""
    return ticket.model_dump_json(exclude_defaults=True).encode()


def encode_core_ticket(ticket: Ticket) -> bytes:
    """Return a core ticket as the JSON that is stored in the object API."""
    parts = {
        kind: {n: v and _to_document(v) for n, v in getattr(ticket, kind).items()}
        for kind in ("workspaces", "upstreams", "zones")
    }
    model = TicketModel(
        number=ticket.number,
        submission_id=ticket.submission_id,
        author=ticket.author,
        **parts,
    )
    return encode_ticket(model)


def decode_ticket(data: bytes) -> Ticket:
    """Return the ticket from its stored JSON.

    Raises
    ------
    ModelError
        If the data is not a valid ticket.
    """
    return parse_model(TicketModel, data).to_core()


def encode_state(state: FleetState) -> bytes:
    """Return a snapshot of the fleet state as JSON."""
    document = {
        "number": state.number,
        "workspaces": {n: _to_document(w) for n, w in state.workspaces.items()},
        "upstreams": {n: _to_document(u) for n, u in state.upstreams.items()},
        "zones": {n: _to_document(z) for n, z in state.zones.items()},
        "submissions": list(state.submissions.items()),
    }
    return json.dumps(document, sort_keys=True).encode()


def decode_state(data: bytes) -> FleetState:
    """Return the fleet state from a snapshot.

    Raises
    ------
    ModelError
        If the data is not a valid snapshot.
    """
    model = parse_model(_StateModel, data)
    return FleetState(
        model.number,
        {n: _to_workspace(n, m) for n, m in model.workspaces.items()},
        {n: _to_upstream(n, m) for n, m in model.upstreams.items()},
        {n: AvailabilityZone(n, m.in_service) for n, m in model.zones.items()},
        dict(model.submissions),
    )


def encode_epoch(epoch: Epoch) -> bytes:
    """Return an epoch as JSON."""
    document = {
        "number": epoch.number,
        "members": [
            [m.instance, m.incarnation, m.host, m.peer_port, m.http_port, m.zone]
            for m in epoch.members
        ],
        "departed": [list(member) for member in epoch.departed],
    }
    return json.dumps(document).encode()


def decode_epoch(data: bytes) -> Epoch:
    """Return the epoch from its stored JSON.

    Raises
    ------
    ModelError
        If the data is not a valid epoch.
    """
    try:
        document = json.loads(data)
        members = tuple(PeerAddress(*member) for member in document["members"])
        departed = tuple((str(i), int(n)) for i, n in document.get("departed", []))
        return Epoch(int(document["number"]), members, departed)
    except (ValueError, TypeError, KeyError) as error:
        raise ModelError(f"epoch: {error}") from error


class JsonCodec:
    """JSON codec of the stored objects that the agent reads and writes.

    The ``decode`` methods raise `ModelError` for invalid data.
    """

    encode_ticket = staticmethod(encode_core_ticket)
    decode_ticket = staticmethod(decode_ticket)
    encode_state = staticmethod(encode_state)
    decode_state = staticmethod(decode_state)
    encode_epoch = staticmethod(encode_epoch)
    decode_epoch = staticmethod(decode_epoch)


def _to_workspace(name: str, model: WorkspaceModel) -> Workspace:
    return Workspace(
        name,
        model.weight,
        tuple(model.key_hashes),
        frozenset(model.pools),
        model.max_waiting_requests,
        model.max_waiting_bytes,
        model.max_connections,
    )


def _to_upstream(name: str, model: UpstreamModel) -> Upstream:
    fields = model.model_dump(exclude={"routes", "wanted_versions"})
    routes = tuple(Route(r.method, r.path_prefix, r.repeatable) for r in model.routes)
    return Upstream(
        name=name,
        routes=routes,
        wanted_versions=tuple(model.wanted_versions),
        **fields,
    )


def _to_document(value: Workspace | Upstream | AvailabilityZone) -> dict[str, Any]:
    document = asdict(value)
    del document["name"]
    if "pools" in document:
        document["pools"] = sorted(document["pools"])
    return document
