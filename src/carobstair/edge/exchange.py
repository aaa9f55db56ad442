"""State of a caller's request, and outcomes of attempts at upstreams."""

from __future__ import annotations

from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from enum import StrEnum

from carobstair.core.attempt_progress import AttemptProgress
from carobstair.core.crash_evidence import TrackedAttempt
from carobstair.core.framing import Framing
from carobstair.core.memory_ledger import Holding
from carobstair.core.routing import Route, ServicePool
from carobstair.edge.event_stream import EventSplitter
from carobstair.edge.metadata import Headers, RequestMetadata
from carobstair.edge.upstream_connection import ResponseHead

__all__ = [
    "CallerLeft",
    "Exchange",
    "IncompleteResponse",
    "Outcome",
    "Send",
]

Send = Callable[[dict], Awaitable[None]]


class IncompleteResponse(Exception):
    """A response to a caller can't be completed; its connection must be aborted."""


class CallerLeft(Exception):
    """A caller has closed its connection before its request was sent on."""


class Outcome(StrEnum):
    """Outcome of one attempt at an upstream.

    `OTHER_INSTANCE` implies not run as well: another incarnation of the upstream
    now has the address.
    """

    ANSWERED = "answered"
    NOT_RUN = "not_run"
    OTHER_INSTANCE = "other_instance"
    FAILED = "failed"
    UNKNOWN = "unknown"

    @property
    def is_known_not_run(self) -> bool:
        """Whether the upstream reported that it did not run the request."""
        return self in (Outcome.NOT_RUN, Outcome.OTHER_INSTANCE)


@dataclass(slots=True)
class Exchange:
    """A caller's request and the state of its response.

    Attributes
    ----------
    deadline_s : float
        Monotonic time by which the response must be complete.
    may_have_run : bool
        Whether some upstream may have started to run the request.
    started : bool
        Whether the head of the response has been sent to the caller.
    expected_s : float
        Estimated wait for the first token at the time of placement.
    uncached_tokens : int
        Prompt tokens that the upstream had to read, by the same estimate.
    framing : Framing or None
        Framing of the last response that was received.
    last_bytes : bytes
        Last bytes of a stream that was relayed.
    caller_closed : callable
        Returns whether the caller has closed its connection.
    hold_head : callable
        Has the head of the response written together with what follows it.
    progress : AttemptProgress
        Progress of the latest attempt.
    tracked : TrackedAttempt or None
        The latest attempt as evidence, if its prompt has shared segments.
    is_suspect : bool
        Whether the latest attempt is evidence if its upstream has ended.
    is_trial : bool
        Whether the request is sent although one of its segments is refused.
    held_bytes : int
        Memory that the body takes of the budget for bodies.
    small_body_bytes : int
        Memory of a body that takes none of the budget.
    error_response : tuple of ResponseHead and bytes, or None
        Relayed if no further attempt is made.
    admitted_tokens : float
        Weighted tokens that the admission took from the share of the workspace.
    on_begun : callable
        Called when the head of the response is sent.
    version_draw : float
        Evenly distributed number that decides whether the first attempt goes to a
        version that is rolled out; later attempts go to the old one.
    event_pause_s : float
        How long a stream is not read at least after a part of it was relayed.
    on_limited_send : callable
        Called when the request is sent to an upstream that limits its requests.
    """

    metadata: RequestMetadata
    route: Route
    pool: ServicePool
    workspace: str | None
    method: str
    target: bytes
    headers: Headers
    body: bytes
    arrived_s: float
    deadline_s: float
    close_connection: bool = False
    attempts: int = 0
    connect_failures: int = 0
    excluded: set[str] = field(default_factory=set)
    may_have_run: bool = False
    started: bool = False
    completed: bool = False
    upstream_id: str = ""
    status: int = 0
    first_byte_s: float | None = None
    splitter: EventSplitter | None = None
    error_response: tuple[ResponseHead, bytes] | None = None
    error_holding: Holding | None = None
    detail: str = ""
    resumptions: int = 0
    expected_s: float = 0.0
    uncached_tokens: int = 0
    framing: Framing | None = None
    last_bytes: bytes = b""
    caller_closed: Callable[[], bool] = lambda: False
    hold_head: Callable[[], None] = lambda: None
    progress: AttemptProgress = field(default_factory=lambda: AttemptProgress(0.0))
    tracked: TrackedAttempt | None = None
    is_suspect: bool = False
    is_trial: bool = False
    held_bytes: int = 0
    small_body_bytes: int = 0
    admitted_tokens: float = 0.0
    version_draw: float = 1.0
    on_begun: Callable[[], None] = lambda: None
    event_pause_s: float = 0.0
    on_limited_send: Callable[[], None] = lambda: None

    def keep_error(self, head: ResponseHead, body: bytes, holding: Holding) -> None:
        """Keep an error response and its memory, in place of an earlier one."""
        self.drop_error()
        self.error_response = (head, body)
        self.error_holding = holding

    def drop_error(self) -> None:
        """Give back the memory of a kept error response, if there is one."""
        if self.error_holding is not None:
            self.error_holding.release()
            self.error_response = self.error_holding = None
