"""Messages by which routers tell each other what workspaces ask of the pools."""

from __future__ import annotations

import msgspec

__all__ = ["PoolDemand", "ShareReport", "ShareTotals", "ZoneTotals"]


class PoolDemand(msgspec.Struct, frozen=True, array_like=True):
    """Sums over some routers for one pool.

    Attributes
    ----------
    demands : dict
        Weighted tokens a second that callers ask for, by workspace.
    admitted : int
        Weighted tokens a second that are admitted, of all workspaces.
    samples : int
        Number of routers that estimated the load of the engines.
    log_factors, pressures, slots_used : float
        Sums of their estimates: the natural logarithm of the factor by which the
        configured throughput is multiplied, the load relative to its target, and the
        requests at the engines relative to their slots.
    limited_tokens, limited_requests_per_ks : int
        Weighted tokens a second, and requests in 1,000 s, that are sent to engines that
        limit their requests.
    engines : dict
        Requests that these routers have at each engine. Digests of peers say the same,
        but in a large fleet they are seconds old.
    backlog_tokens : int
        Prompt tokens of these requests that engines with a free slot have not read.
    returned : dict
        Part of `demands` that callers ask for again after a refusal, by workspace.
    """

    demands: dict[str, int] = {}
    admitted: int = 0
    samples: int = 0
    log_factors: float = 0.0
    pressures: float = 0.0
    slots_used: float = 0.0
    limited_tokens: int = 0
    limited_requests_per_ks: int = 0
    engines: dict[str, int] = {}
    backlog_tokens: int = 0
    returned: dict[str, int] = {}


class ShareReport(msgspec.Struct, frozen=True, array_like=True):
    """Demand at one router, sent to the collector of its zone."""

    pools: dict[str, PoolDemand]


class ZoneTotals(msgspec.Struct, frozen=True, array_like=True):
    """Sums over the routers of a zone that report to the sender."""

    zone: str
    pools: dict[str, PoolDemand]


class ShareTotals(msgspec.Struct, frozen=True, array_like=True):
    """Sums over all routers but the receiver, for a router that reports.

    Attributes
    ----------
    reported : dict
        Logarithm of the receiver's factor, by pool, in the report that was left out.
    """

    pools: dict[str, PoolDemand]
    reported: dict[str, float] = {}
