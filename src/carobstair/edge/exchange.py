"""One request of a caller on its way, and what may become of a send."""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from enum import StrEnum

from carobstair.core.routing import Route, ServicePool
from carobstair.edge.event_stream import EventCutter
from carobstair.edge.terms import Headers, RequestTerms
from carobstair.edge.upstream_connection import AnswerHead

__all__ = ["BrokenAnswer", "Exchange", "Outcome", "Send"]

Send = Callable[[dict], Awaitable[None]]


class BrokenAnswer(Exception):
    """The answer to the caller can't be completed; its connection must break."""


class Outcome(StrEnum):
    """What became of one send.

    `OTHER_INSTANCE` means not run either: another incarnation has the address.
    """

    ANSWERED = "answered"
    NOT_RUN = "not_run"
    OTHER_INSTANCE = "other_instance"
    FAILED = "failed"
    UNKNOWN = "unknown"

    @property
    def is_known_not_run(self) -> bool:
        """Whether the upstream has said that it has not run the request."""
        return self in (Outcome.NOT_RUN, Outcome.OTHER_INSTANCE)


@dataclass(slots=True)
class Exchange:
    """One request of a caller on its way.

    Attributes
    ----------
    until_s : float
        Monotonic time at which its final answer is due.
    may_have_run : bool
        Whether some upstream may have begun to work on it.
    expected_s : float
        Estimated wait for the first token when it was placed.
    unread_tokens : int
        Prompt tokens that the upstream had to read, by the same estimate.
    """

    terms: RequestTerms
    route: Route
    pool: ServicePool
    workspace: str | None
    method: str
    target: bytes
    headers: Headers
    body: bytes
    arrived_s: float
    until_s: float
    closing: bool = False
    attempts: int = 0
    unreached: int = 0
    avoided: set[str] = field(default_factory=set)
    may_have_run: bool = False
    started: bool = False
    completed: bool = False
    upstream_id: str = ""
    status: int = 0
    first_byte_s: float | None = None
    cutter: EventCutter | None = None
    failure: tuple[AnswerHead, bytes] | None = None
    detail: str = ""
    resumed: int = 0
    expected_s: float = 0.0
    unread_tokens: int = 0
