"""What marks the end of a message's body, by RFC 9112, section 6.3.

A parser finds the end of a body; this module decides which end is valid. A message
whose end is ambiguous, or whose body has a transfer coding that nobody asked for, is
not relayed.
"""

from __future__ import annotations

from collections.abc import Iterable
from enum import StrEnum

__all__ = [
    "Framing",
    "FramingError",
    "check_status",
    "request_framing",
    "response_framing",
]

# The only transfer coding that may be sent without being asked for.
CHUNKED = b"chunked"
# The parsers take a coding or length that a tab follows for another one.
WHITESPACE = b" "


class Framing(StrEnum):
    """What marks the end of a body."""

    NONE = "none"
    LENGTH = "length"
    CHUNKED = "chunked"
    CONNECTION_END = "connection_end"


class FramingError(ValueError):
    """The headers of a message don't say where it ends, or not unambiguously."""


def check_status(status: int) -> None:
    """Check that a response's status is one, by RFC 9110, section 15.

    Raises
    ------
    FramingError
    """
    if not 100 <= status <= 599:
        raise FramingError(f"status {status:03}")


def response_framing(
    method: str, status: int, headers: Iterable[tuple[bytes, bytes]]
) -> Framing:
    """Return what marks the end of a response's body.

    Parameters
    ----------
    method : str
        Method of the request.
    status : int
    headers : iterable of (bytes, bytes)
        Names in any case.

    Raises
    ------
    FramingError
    """
    if method == "HEAD" or status < 200 or status in (204, 304):
        return Framing.NONE
    codings, length = _body_headers(headers)
    if codings is not None:
        if codings != [CHUNKED]:
            raise FramingError(f"transfer coding {b', '.join(codings)!r}")
        if length is not None:
            raise FramingError("both a length and a transfer coding")
        return Framing.CHUNKED
    return Framing.CONNECTION_END if length is None else Framing.LENGTH


def request_framing(
    http_version: str, headers: Iterable[tuple[bytes, bytes]]
) -> Framing:
    """Return what marks the end of a request's body.

    Parameters
    ----------
    http_version : str
        Such as ``1.1``.
    headers : iterable of (bytes, bytes)
        Names in any case.

    Raises
    ------
    FramingError
    """
    if http_version not in ("1.0", "1.1"):
        raise FramingError(f"HTTP/{http_version}")
    codings, length = _body_headers(headers)
    if codings is None:
        return Framing.LENGTH if length else Framing.NONE
    if codings != [CHUNKED]:
        raise FramingError("only the transfer coding chunked is accepted")
    if length is not None:
        raise FramingError("both a length and a transfer coding")
    if http_version == "1.0":
        raise FramingError("a transfer coding in HTTP/1.0")
    return Framing.CHUNKED


def _body_headers(
    headers: Iterable[tuple[bytes, bytes]],
) -> tuple[list[bytes] | None, int | None]:
    """Return the transfer codings, or None without the header, and the length."""
    codings: list[bytes] | None = None
    lengths: set[bytes] = set()
    for name, value in headers:
        name = name.lower()
        if name == b"transfer-encoding":
            items = [item.strip(WHITESPACE).lower() for item in value.split(b",")]
            codings = (codings or []) + [item for item in items if item]
        elif name == b"content-length":
            lengths.update(item.strip(WHITESPACE) for item in value.split(b","))
    if not lengths:
        return codings, None
    if len(lengths) > 1:
        raise FramingError("different lengths")
    length = lengths.pop()
    if not length.isdigit():
        raise FramingError(f"length {length!r}")
    return codings, int(length)
