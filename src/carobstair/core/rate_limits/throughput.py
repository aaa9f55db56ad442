"""Throughput of a service some of whose upstreams limit their requests."""

from __future__ import annotations

from collections.abc import Collection, Mapping
from dataclasses import dataclass, field

from carobstair.core.rate_limits.stated_rates import Incarnation, StatedRates

__all__ = ["ServiceThroughput", "service_throughput"]


@dataclass(frozen=True, slots=True)
class ServiceThroughput:
    """Throughput of a service, in weighted tokens a second.

    Attributes
    ----------
    nominal_per_s : float
        Of the upstreams that give what they can, before the correction by their load.
    limited_per_s : float
        Of the upstreams that accept a part of that, which no correction changes.
    limited_parts : mapping
        What each of the latter gives relative to one of the former.
    """

    nominal_per_s: float
    limited_per_s: float = 0.0
    limited_parts: Mapping[str, float] = field(default_factory=dict)


def service_throughput(
    upstreams: Collection[Incarnation],
    nominal_per_s: float,
    rates: StatedRates,
    request_tokens: float,
    factor: float,
) -> ServiceThroughput:
    """Return the throughput of some upstreams.

    Parameters
    ----------
    nominal_per_s : float
        Nominal throughput of one upstream.
    request_tokens : float
        Mean tokens of a request; 0 if unknown.
    factor : float
        Throughput that upstreams without limit give, relative to the nominal one.
    """
    limited = rates.limited() if request_tokens else {}
    full_per_s = nominal_per_s * factor
    parts = {
        upstream[0]: limited[upstream].per_s * request_tokens / full_per_s
        for upstream in upstreams
        if upstream in limited
    }
    parts = {upstream_id: part for upstream_id, part in parts.items() if part < 1.0}
    limited_per_s = sum(parts.values()) * full_per_s
    unlimited = len(upstreams) - len(parts)
    if unlimited:
        return ServiceThroughput(nominal_per_s * unlimited, limited_per_s, parts)
    # Then the load at the limits corrects the estimate of what a request takes.
    return ServiceThroughput(limited_per_s, 0.0, parts)
