"""How the end of a response's body is marked."""

from __future__ import annotations

from enum import StrEnum

__all__ = ["Framing"]


class Framing(StrEnum):
    """What marks the end of a body (RFC 9112, section 6.3)."""

    NONE = "none"
    LENGTH = "length"
    CHUNKED = "chunked"
    CONNECTION_END = "connection_end"
