"""Messages by which routers share the evidence about versions that are rolled out."""

from __future__ import annotations

import msgspec

__all__ = ["CountRow", "OrderDirective", "OrderReport", "RolloutNews", "RolloutReport"]


class CountRow(msgspec.Struct, frozen=True, array_like=True):
    """Cumulative counts of one router for a route, a size and an upstream.

    Attributes
    ----------
    size_class : int
        Class of the prompt tokens that the upstream had to read.
    upstream : str
        Id of an upstream of the new version; empty for the sum of all others.
    neutral : int
        Requests that were declined as not run, or that the caller broke off.
    begun : int
        Answers whose first byte came.
    first : dict
        Number of answers by the class of their time to the first byte.
    """

    route: str
    size_class: int
    upstream: str
    sent: int = 0
    neutral: int = 0
    begun: int = 0
    good: int = 0
    failed: int = 0
    broken: int = 0
    first: dict[int, int] = {}


class OrderReport(msgspec.Struct, frozen=True, array_like=True):
    """What one router has seen of the order for a service.

    Attributes
    ----------
    started : tuple of (int, int)
        Era and revision with which the order began.
    age_s : float
        Time since the router learned of the order.
    phase : int
        Phase of exposure that the router applies.
    at_old : int
        Requests at old upstreams that can't be resumed elsewhere.
    """

    service: str
    target: str
    started: tuple[int, int]
    age_s: float
    phase: int
    at_old: int
    rows: list[CountRow] = []


class RolloutReport(msgspec.Struct, frozen=True, array_like=True):
    """Evidence of one router for all running orders, sent to the collectors."""

    orders: list[OrderReport]


class OrderDirective(msgspec.Struct, frozen=True, array_like=True):
    """Exposure that a collector has decided for the order of a service."""

    service: str
    target: str
    started: tuple[int, int]
    age_s: float
    phase: int
    share: float


class RolloutNews(msgspec.Struct, frozen=True, array_like=True):
    """Decisions of a collector, sent to all routers."""

    orders: list[OrderDirective]
