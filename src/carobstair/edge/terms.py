"""What requests and answers say in their headers, in the router's own terms.

A dialect reads and writes the headers of one platform. The router knows only
the terms defined here.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import Protocol

from carobstair.core.engine_load import PromptShape

__all__ = [
    "AnswerTerms",
    "BadRequest",
    "Dialect",
    "Headers",
    "LoadTerms",
    "RequestTerms",
    "SendTerms",
]

Headers = list[tuple[bytes, bytes]]


class BadRequest(ValueError):
    """A request whose headers can't be used; the text goes to the caller."""


@dataclass(frozen=True, slots=True)
class RequestTerms:
    """What a caller's headers say.

    Attributes
    ----------
    request_id : str
        The caller's id of this attempt; its own retries have other ids.
    deadline_s : float or None
        How long the caller waits, from the arrival of the request.
    last_event_id : str or None
        Where a stream that the caller resumes went on to.
    """

    request_id: str
    host: str
    deadline_s: float | None
    key: str | None
    prompt: PromptShape
    last_event_id: str | None


@dataclass(frozen=True, slots=True)
class LoadTerms:
    """Load that an answer reports of its upstream."""

    running: int
    waiting: int
    slots: int


@dataclass(frozen=True, slots=True)
class AnswerTerms:
    """What an upstream's headers say.

    Attributes
    ----------
    request_id : str or None
        Request that the answer belongs to, as the upstream says.
    not_run : bool
        Whether the upstream says that it has not run the request.
    other_incarnation : bool
        Whether another incarnation than the one addressed has answered.
    sealed : bool
        Whether the answer bears the upstream's signature.
    """

    request_id: str | None
    not_run: bool
    other_incarnation: bool
    sealed: bool
    load: LoadTerms | None


@dataclass(frozen=True, slots=True)
class SendTerms:
    """What the router tells an upstream with a request."""

    upstream_id: str
    left_ms: int
    workspace: str | None
    last_event_id: str | None = None


class Dialect(Protocol):
    """Headers of one platform."""

    def read_request(self, headers: Headers) -> RequestTerms:
        """Return a caller's terms.

        Raises
        ------
        BadRequest
        """

    def write_request(self, headers: Headers, terms: SendTerms) -> Headers:
        """Return the headers that go to an upstream."""

    def read_answer(self, status: int, headers: Headers) -> AnswerTerms:
        """Return an upstream's terms."""

    def write_answer(self, headers: Headers) -> Headers:
        """Return the headers that go to the caller."""
