"""Limits of a routing configuration against the fleet's limits on sends.

The figures aren't in the configuration; `CheckSettings` holds those that are known.
"""

from __future__ import annotations

import math
from collections.abc import Iterator
from dataclasses import dataclass

from carobstair.core.config_check.findings import (
    CheckSettings,
    Finding,
    Path,
    Severity,
)
from carobstair.core.config_check.limits import strictest_objectives
from carobstair.core.routing import Route, RoutingConfig, ServicePool

__all__ = ["Unchecked", "limits_on_sends", "unchecked_rules"]

ATTEMPTS_RULE = "attempts-beyond-budget"
COLD_RULE = "cold-rate-above-engines"
# An attempt that fewer requests reach makes no difference that callers notice.
MIN_LAST_ATTEMPT_SHARE = 0.01


@dataclass(frozen=True, slots=True)
class Unchecked:
    """A rule that was not applied to an entry.

    Attributes
    ----------
    missing : str
        The figure that is not known.
    option : str
        How to state it.
    """

    rule: str
    path: Path
    missing: str
    option: str


def limits_on_sends(
    config: RoutingConfig, settings: CheckSettings
) -> Iterator[Finding]:
    """Report limits that the fleet's limits on sends leave without effect."""
    if settings.resend_ratio is not None:
        most = _useful_attempts(settings.resend_ratio)
        for index, route in enumerate(config.routes):
            if route.max_attempts > most:
                path = ("routes", index, "max_attempts")
                yield _too_many_attempts(route, path, most, settings.resend_ratio)
    for index, pool, objective_s in _cold_services(config):
        engines = settings.engines.get(pool.name)
        if engines is None:
            continue
        taken = engines * _places(pool) / objective_s
        limit = pool.cold_rate * settings.cold_overshoot + settings.cold_slack
        if limit > taken:
            yield Finding(
                COLD_RULE,
                Severity.WARNING,
                ("services", index, "cold_rate"),
                f"A cold engine of service {pool.name} may get {limit:g} requests a "
                f"second, and its {engines} engines together take {taken:g} if each "
                f"takes the objective of {objective_s * 1000:g} ms, so the limit has "
                "no effect.",
                "Lower the rate.",
            )


def unchecked_rules(config: RoutingConfig, settings: CheckSettings) -> list[Unchecked]:
    """Return the rules that `limits_on_sends` could not apply."""
    unchecked = []
    if settings.resend_ratio is None:
        retried = (i for i, r in enumerate(config.routes) if r.max_attempts > 1)
        for index in retried:
            path = ("routes", index, "max_attempts")
            option = "--retry-ratio or --settings"
            unchecked.append(Unchecked(ATTEMPTS_RULE, path, "retry ratio", option))
    for index, pool, _ in _cold_services(config):
        if pool.name not in settings.engines:
            path = ("services", index, "cold_rate")
            option = f"--engines {pool.name}=N"
            unchecked.append(Unchecked(COLD_RULE, path, "number of engines", option))
    return unchecked


def _useful_attempts(resend_ratio: float) -> float:
    """Return the attempts after which the budget leaves hardly any request one more.

    If a share p of all attempts fails, requests need p / (1 - p) resends each, so the
    budget is used up at p = ratio / (1 + ratio); p ** (n - 1) of the requests then
    reach attempt n.
    """
    if resend_ratio <= 0.0:
        return 1
    failing = resend_ratio / (1.0 + resend_ratio)
    if failing >= 1.0:
        return math.inf
    return 1 + math.floor(math.log(MIN_LAST_ATTEMPT_SHARE) / math.log(failing))


def _too_many_attempts(route: Route, path: Path, most: float, ratio: float) -> Finding:
    return Finding(
        ATTEMPTS_RULE,
        Severity.WARNING,
        path,
        f"Route {route.name} allows {route.max_attempts} attempts, and resends are "
        f"limited to {ratio:g} of the requests: when so many attempts fail that this "
        f"is used up, less than one request in {1 / MIN_LAST_ATTEMPT_SHARE:g} reaches "
        f"attempt {most + 1}.",
        f"Allow {most}, or give the fleet a larger ratio.",
    )


def _cold_services(config: RoutingConfig) -> Iterator[tuple[int, ServicePool, float]]:
    """Yield the services with a cold rate whose engines' throughput is known."""
    objectives = strictest_objectives(config)
    for index, pool in enumerate(config.services):
        objective_s = objectives.get(pool.name)
        if pool.cold_rate > 0 and objective_s and _places(pool) > 0:
            yield index, pool, objective_s


def _places(pool: ServicePool) -> int:
    """Return how many requests one engine takes at a time; 0 if unknown."""
    return pool.engine.slots if pool.engine else pool.max_connections
