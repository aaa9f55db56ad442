"""Request and response metadata, independent of the headers that carry it.

A dialect translates between this metadata and the headers of one platform. The
rest of the router uses only the types defined here.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import Protocol

from carobstair.core.engine_load import PromptShape

__all__ = [
    "ResponseMetadata",
    "BadRequest",
    "Dialect",
    "Headers",
    "ReportedLoad",
    "RequestMetadata",
    "ForwardMetadata",
]

Headers = list[tuple[bytes, bytes]]


class BadRequest(ValueError):
    """A request has invalid headers; the message is returned to the caller."""


@dataclass(frozen=True, slots=True)
class RequestMetadata:
    """Metadata of a caller's request.

    Attributes
    ----------
    request_id : str
        The caller's id of this attempt; each of its retries has a new id.
    caller_timeout_s : float or None
        How long the caller waits for the response, from the request's arrival.
    last_event_id : str or None
        Id of the last event received, if the caller resumes a stream.
    """

    request_id: str
    host: str
    caller_timeout_s: float | None
    key: str | None
    prompt: PromptShape
    last_event_id: str | None


@dataclass(frozen=True, slots=True)
class ReportedLoad:
    """Load of an upstream as reported in its response.

    Attributes
    ----------
    slowdown : float or None
        How long work takes on the upstream's machine, relative to its usual time;
        None if not stated.
    """

    running: int
    waiting: int
    slots: int
    slowdown: float | None = None


@dataclass(frozen=True, slots=True)
class ResponseMetadata:
    """Metadata of an upstream's response.

    Attributes
    ----------
    request_id : str or None
        Request that the response belongs to, if the upstream states it.
    not_run : bool
        Whether the upstream reports that it did not run the request.
    other_incarnation : bool
        Whether an incarnation other than the one addressed responded.
    sealed : bool
        Whether the response carries the upstream's signature.
    leaving : bool
        Whether the upstream says that it is about to end.
    pause_s : float or None
        How long the upstream wants no further requests from this router.
    rate_per_s : float or None
        Requests a second that the upstream accepts from all routers together; None
        if it states no limit.
    rate_unreadable : bool
        Whether it states a limit that can't be read, which says nothing.
    load_unreadable : bool
        Whether some figure of its load can't be read and was ignored.
    """

    request_id: str | None
    not_run: bool
    other_incarnation: bool
    sealed: bool
    load: ReportedLoad | None
    leaving: bool = False
    pause_s: float | None = None
    rate_per_s: float | None = None
    rate_unreadable: bool = False
    load_unreadable: bool = False


@dataclass(frozen=True, slots=True)
class ForwardMetadata:
    """Metadata that the router sends to an upstream with a request.

    Attributes
    ----------
    remaining_ms : int
        Time that remains until the request's deadline.
    """

    upstream_id: str
    remaining_ms: int
    workspace: str | None
    last_event_id: str | None = None


class Dialect(Protocol):
    """Translates between headers of one platform and the router's metadata."""

    def read_request(self, headers: Headers) -> RequestMetadata:
        """Return the metadata in a caller's request headers.

        Raises
        ------
        BadRequest
        """

    def read_caller_timeout_s(self, request: bytes) -> float | None:
        """Return how long the caller waits, from the bytes of a request."""

    def write_request(self, headers: Headers, metadata: ForwardMetadata) -> Headers:
        """Return the request headers to send to an upstream."""

    def read_response(self, status: int, headers: Headers) -> ResponseMetadata:
        """Return the metadata in an upstream's response headers."""

    def write_response(self, headers: Headers) -> Headers:
        """Return the response headers to send to the caller."""
