"""Fair sharing: costs, virtual time, and the bound on the service gap.

Service is counted in weighted tokens. `docs/FAIRNESS.md` derives the bound.
"""

from __future__ import annotations

import math
from collections.abc import Iterable, Mapping
from dataclasses import dataclass

from carobstair.core.messages import LiftEntry
from carobstair.core.totals import (
    FairnessSettings,
    ServiceTotals,
    TotalsKey,
    is_finite_nonnegative,
)

__all__ = [
    "FairnessSettings",
    "GapTerms",
    "ServiceTotals",
    "VirtualTime",
    "engine_cost_tokens",
    "exchange_delay_s",
    "gap_bound_tokens",
    "service_cost_tokens",
]

OUTPUT_WEIGHT = 1.0
# Prefill of an uncached token costs about a quarter of a generated one, because
# it is computed in large batches; a cached one costs a tenth of that.
INPUT_WEIGHT = 0.25
CACHED_INPUT_WEIGHT = 0.025
SERVICE_TOKENS_PER_S = 20.0
RATE_SAMPLE_S = 1.0
RATE_SMOOTHING = 0.2


def engine_cost_tokens(
    output_tokens: float, input_tokens: float, cached_tokens: float = 0.0
) -> float:
    """Return the cost of a generation in weighted tokens.

    Negative numbers count as zero, and no more can be cached than was sent.
    """
    output, inputs = max(0.0, output_tokens), max(0.0, input_tokens)
    cached = min(max(0.0, cached_tokens), inputs)
    return (
        OUTPUT_WEIGHT * output
        + INPUT_WEIGHT * (inputs - cached)
        + CACHED_INPUT_WEIGHT * cached
    )


def service_cost_tokens(upstream_s: float) -> float:
    """Return the cost of a plain service call in weighted tokens."""
    return SERVICE_TOKENS_PER_S * max(0.0, upstream_s)


@dataclass(frozen=True, slots=True)
class GapTerms:
    """Terms of the bound on the gap between two backlogged workspaces.

    Attributes
    ----------
    rate_tokens_per_s : float
        Service rate of the pool, in weighted tokens per second.
    delay_s : float
        Time until service is known at every allocator; see `exchange_delay_s`.
    in_flight_tokens : float
        Largest reservation of one workspace's running requests, per weight.
    largest_cost_tokens : float
        Largest cost of one request, per weight.
    ahead_tokens : float
        Most service that quick requests may get ahead of the fair order, per weight.
    least_weight : float
        Lowest weight of the two workspaces.
    """

    rate_tokens_per_s: float
    delay_s: float
    in_flight_tokens: float
    largest_cost_tokens: float
    ahead_tokens: float = 0.0
    least_weight: float = 1.0


def exchange_delay_s(
    interval_s: float, one_way_s: float, relay_interval_s: float = 0.0
) -> float:
    """Return the longest time until served tokens are known at every allocator.

    Parameters
    ----------
    interval_s : float
        Time between two updates of a gateway.
    one_way_s : float
        One-way delay between routers.
    relay_interval_s : float, optional
        Time between two relays of row sums, in a fleet arranged as a grid.
    """
    relay_s = relay_interval_s + one_way_s if relay_interval_s else 0.0
    return 2.0 * interval_s + one_way_s + relay_s


def gap_bound_tokens(terms: GapTerms) -> float:
    """Return the most by which the service of two workspaces may differ.

    The difference is that of the service per weight over any time in which both
    are backlogged on the same upstreams:
    ``R x D / w + 2 x (W_max + C_max) + A``, where A is `ahead_tokens`.
    """
    unreported = terms.rate_tokens_per_s * terms.delay_s / terms.least_weight
    reserved = 2.0 * (terms.in_flight_tokens + terms.largest_cost_tokens)
    return unreported + reserved + terms.ahead_tokens


class _ServiceRate:
    """Service of a pool per second and weight, exponentially smoothed."""

    def __init__(self) -> None:
        self._last_total: float | None = None
        self._sampled_s = 0.0
        self.tokens_per_s = 0.0

    def is_due(self, now_s: float) -> bool:
        return self._last_total is None or now_s - self._sampled_s >= RATE_SAMPLE_S

    def note(self, total: float, now_s: float) -> None:
        if self._last_total is not None and now_s > self._sampled_s:
            sampled_tokens_per_s = max(0.0, total - self._last_total) / (
                now_s - self._sampled_s
            )
            # When a partition heals, much service becomes known at once; smoothing
            # keeps that single sample from raising the cap much.
            self.tokens_per_s += RATE_SMOOTHING * (
                sampled_tokens_per_s - self.tokens_per_s
            )
        self._last_total, self._sampled_s = total, now_s


class VirtualTime:
    """Order of the workspaces of a pool: the lowest virtual time is served next.

    The virtual time is the service per weight plus the lift, an offset that is raised
    when a workspace becomes backlogged and when it lags too far behind.

    Parameters
    ----------
    totals : ServiceTotals
    settings : FairnessSettings
    """

    def __init__(self, totals: ServiceTotals, settings: FairnessSettings):
        self._totals = totals
        self._settings = settings
        self._weights: Mapping[str, float] = {}
        self._lifts: dict[TotalsKey, float] = {}
        self._rates: dict[str, _ServiceRate] = {}
        self.changed_lifts: set[TotalsKey] = set()
        self.changed_lifts_in_row: set[TotalsKey] = set()
        # Set to False while the process does not know what was served before its
        # start: lifts computed then would be wrong, and lifts apply to all nodes.
        self.may_lift = True

    def set_weights(self, weights: Mapping[str, float]) -> None:
        """Set the weights of the workspaces in force."""
        self._weights = weights

    def weight(self, workspace: str) -> float:
        """Return the weight of a workspace; an unknown one counts as 1."""
        found = self._weights.get(workspace, 1.0)
        return found if found > 0.0 else 1.0

    def value(self, pool: str, workspace: str, extra_tokens: float = 0.0) -> float:
        """Return the virtual time of a workspace.

        Parameters
        ----------
        extra_tokens : float, optional
            Service per weight that the totals don't include yet.
        """
        lift = self._lifts.get((pool, workspace), 0.0)
        return self._totals.used(pool, workspace) + extra_tokens + lift

    def served(self, pool: str, workspace: str) -> float:
        """Return the virtual time without reservations; it never decreases."""
        lift = self._lifts.get((pool, workspace), 0.0)
        return self._totals.total(pool, workspace) + lift

    def mean_waiting(self, pool: str, now_s: float) -> float | None:
        """Return the mean virtual time of backlogged workspaces, None below two."""
        waiting = self._totals.backlogged(pool, now_s)
        if len(waiting) < 2:
            return None
        return sum(self.value(pool, ws) for ws in waiting) / len(waiting)

    def on_backlogged(self, pool: str, workspace: str, now_s: float) -> None:
        """Lift a workspace that becomes backlogged, so that idle time earns no credit.

        Call it before the totals record the workspace as backlogged. A workspace
        that is already backlogged at any gateway keeps its virtual time.
        """
        if self._totals.is_backlogged((pool, workspace), now_s):
            return
        others = self._totals.established(pool, now_s)
        others = others or self._totals.backlogged(pool, now_s)
        if others:
            floor = min(self.served(pool, other) for other in others)
        else:
            # If no workspace is backlogged, start from the highest virtual time.
            known = self._totals.known_workspaces(pool)
            floor = max((self.served(pool, other) for other in known), default=0.0)
        self._lift_to(pool, workspace, floor)

    def cap_catch_up(self, pool: str, now_s: float) -> None:
        """Bound how much missed service a backlogged workspace may catch up on.

        Reservations don't count: a lift is never reduced, so a large hint that is
        corrected later would lift all other workspaces permanently.
        """
        waiting = self._totals.established(pool, now_s)
        if len(waiting) < 2:
            return
        served = {workspace: self.served(pool, workspace) for workspace in waiting}
        floor = max(served.values()) - self._catch_up_cap_tokens(pool, now_s)
        for workspace, value in served.items():
            # All nodes compute this lift themselves, so it is not announced.
            if value < floor:
                self._lift_to(pool, workspace, floor, announce=False)

    def _catch_up_cap_tokens(self, pool: str, now_s: float) -> float:
        rate = self._rates.setdefault(pool, _ServiceRate())
        if rate.is_due(now_s):
            known = self._totals.known_workspaces(pool)
            rate.note(sum(self._totals.total(pool, ws) for ws in known), now_s)
        settings = self._settings
        during_delay = rate.tokens_per_s * settings.catch_up_cap_s
        return settings.catch_up_cap_tokens + during_delay

    def lifts(self, keys: Iterable[TotalsKey] | None = None) -> list[LiftEntry]:
        """Return the lifts of some keys for peers, by default all of them."""
        chosen = self._lifts if keys is None else keys
        return [LiftEntry(*key, self._lifts[key]) for key in chosen]

    @property
    def lifted(self) -> Iterable[TotalsKey]:
        """Pools and workspaces that have been lifted."""
        return self._lifts.keys()

    def merge_lifts(self, entries: Iterable[LiftEntry], from_row: bool = False) -> None:
        """Adopt a peer's lifts where they are greater than the known ones.

        Parameters
        ----------
        entries : iterable of LiftEntry
        from_row : bool, optional
            Whether a relayer of another grid row sent them; they are then not
            relayed again in the own row.
        """
        for entry in entries:
            key = (entry.pool, entry.workspace)
            if is_finite_nonnegative(entry.lift) and entry.lift > self._lifts.get(
                key, 0.0
            ):
                self._lifts[key] = entry.lift
                if not from_row:
                    self.changed_lifts_in_row.add(key)

    def _lift_to(
        self, pool: str, workspace: str, floor: float, announce: bool = True
    ) -> None:
        missing = floor - self.served(pool, workspace)
        if missing > 0.0 and self.may_lift and math.isfinite(missing):
            key = (pool, workspace)
            # An integer takes a third of the bytes of a float on the wire.
            self._lifts[key] = math.ceil(self._lifts.get(key, 0.0) + missing)
            if announce:
                self.changed_lifts.add(key)
                self.changed_lifts_in_row.add(key)
