"""Messages by which routers keep to the rates that upstreams state."""

from __future__ import annotations

import msgspec

__all__ = ["PermitAnswer", "PermitRequest", "PermitReturn", "RateNews", "RateRow"]


class RateRow(msgspec.Struct, frozen=True, array_like=True):
    """What an incarnation of an upstream has stated.

    Attributes
    ----------
    version : int
        See `StatedRate`.
    per_s : float
        Requests a second from all routers together; infinite if there is no limit.
    """

    upstream: str
    born_ms: int
    version: int
    per_s: float


class RateNews(msgspec.Struct, frozen=True, array_like=True):
    """Statements that have changed, or all of them for a router that has returned."""

    rows: list[RateRow]


class PermitRequest(msgspec.Struct, frozen=True, array_like=True):
    """Asks the router in charge of an upstream for one send.

    Attributes
    ----------
    number : int
        Names the request in its answer.
    rate : RateRow
        Upstream, and what the sender knows of its rate.
    max_wait_s : float
        How long the send can wait.
    is_substitute : bool
        Whether the receiver is asked in place of a router that does not answer.
    """

    number: int
    rate: RateRow
    max_wait_s: float
    is_substitute: bool = False


class PermitAnswer(msgspec.Struct, frozen=True, array_like=True):
    """Answers a `PermitRequest`.

    Attributes
    ----------
    rate : RateRow
        What the router in charge knows of the rate.
    delay_s : float
        Time until the send may happen; if refused, until another request may
        succeed.
    """

    number: int
    rate: RateRow
    granted: bool
    delay_s: float


class PermitReturn(msgspec.Struct, frozen=True, array_like=True):
    """Returns a permit that was not used."""

    upstream: str
    born_ms: int
