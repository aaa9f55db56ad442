"""Fair shares: service totals that merge, and virtual time computed from them.

Service is counted in weighted tokens. Each gateway process owns a cumulative
total per pool and workspace. Merging takes the entry with the highest sequence
number of its source, so that lost, repeated or reordered messages do no harm.
"""

from __future__ import annotations

import math
from collections.abc import Iterable, Mapping
from dataclasses import dataclass

from carobstair.core.messages import LiftEntry, TotalsEntry

__all__ = [
    "FairnessSettings",
    "ServiceTotals",
    "VirtualTime",
    "engine_cost_tokens",
    "service_cost_tokens",
]

OUTPUT_WEIGHT = 1.0
# Prefill of an uncached token costs about a quarter of a generated one, because
# it is computed in large batches; a cached one costs a tenth of that.
INPUT_WEIGHT = 0.25
CACHED_INPUT_WEIGHT = 0.025
SERVICE_TOKENS_PER_S = 20.0

_Key = tuple[str, str]


def engine_cost_tokens(
    output_tokens: float, input_tokens: float, cached_tokens: float = 0.0
) -> float:
    """Return the cost of a generation in weighted tokens."""
    uncached = max(0.0, input_tokens - cached_tokens)
    return (
        OUTPUT_WEIGHT * output_tokens
        + INPUT_WEIGHT * uncached
        + CACHED_INPUT_WEIGHT * min(cached_tokens, input_tokens)
    )


def service_cost_tokens(upstream_s: float) -> float:
    """Return the cost of a plain service call in weighted tokens."""
    return SERVICE_TOKENS_PER_S * max(0.0, upstream_s)


@dataclass(frozen=True, slots=True)
class FairnessSettings:
    """Settings of the fair order.

    Attributes
    ----------
    catch_up_cap_tokens : float
        How far a workspace of weight 1 may lag behind the leading backlogged
        one before its missed service is forgotten.
    backlog_validity_s : float
        How long a source's word that a workspace is backlogged holds.
    """

    catch_up_cap_tokens: float = 20_000.0
    backlog_validity_s: float = 3.5


@dataclass(slots=True)
class _Sum:
    total: float = 0.0
    reserved: float = 0.0


@dataclass(slots=True)
class _Held:
    sequence: int
    total: float
    reserved: float
    backlogged_until_s: float = -math.inf


class ServiceTotals:
    """Cumulative service per source, pool and workspace.

    Parameters
    ----------
    instance : str
        The instance whose gateway charges into this object.
    incarnation : int
        Incarnation of that process.
    settings : FairnessSettings
    """

    def __init__(self, instance: str, incarnation: int, settings: FairnessSettings):
        self._source = (instance, incarnation)
        self._settings = settings
        self._held: dict[tuple[str, int], dict[_Key, _Held]] = {self._source: {}}
        self._sums: dict[_Key, _Sum] = {}
        self._own_backlogged: set[_Key] = set()
        self._sequence = 0

    def charge(self, pool: str, workspace: str, tokens: float) -> None:
        """Add service that the own gateway gave."""
        self._adjust_own((pool, workspace), max(0.0, tokens), 0.0)

    def reserve(self, pool: str, workspace: str, tokens: float) -> None:
        """Change the reservation of the own gateway's running grants."""
        self._adjust_own((pool, workspace), 0.0, tokens)

    def set_backlogged(self, backlogged: Iterable[_Key]) -> None:
        """State the pools and workspaces that wait at the own gateway."""
        now_waiting = set(backlogged)
        for key in now_waiting ^ self._own_backlogged:
            self._adjust_own(key, 0.0, 0.0)
        self._own_backlogged = now_waiting

    def merge(self, entries: Iterable[TotalsEntry], now_s: float) -> int:
        """Take in a peer's entries and return how many were news.

        Parameters
        ----------
        entries : iterable of TotalsEntry
            Entries with values that are not finite or negative are dropped.
        now_s : float
            Monotonic time in seconds.
        """
        return sum(self._merge_one(entry, now_s) for entry in entries)

    def entries(self, now_s: float, own_only: bool = False) -> list[TotalsEntry]:
        """Return the held entries, the own ones only on request."""
        sources = [self._source] if own_only else list(self._held)
        return [
            self._entry(source, key, held, now_s)
            for source in sources
            for key, held in self._held[source].items()
        ]

    def total(self, pool: str, workspace: str) -> float:
        """Return the service given by all sources, in weighted tokens."""
        found = self._sums.get((pool, workspace))
        return found.total if found else 0.0

    def used(self, pool: str, workspace: str) -> float:
        """Return service given plus reservations, in weighted tokens."""
        found = self._sums.get((pool, workspace))
        return found.total + found.reserved if found else 0.0

    def backlogged(self, pool: str, now_s: float) -> set[str]:
        """Return the workspaces that wait for a pool anywhere in the fleet."""
        found = {ws for p, ws in self._own_backlogged if p == pool}
        for source, held in self._held.items():
            if source == self._source:
                continue
            for (p, ws), entry in held.items():
                if p == pool and entry.backlogged_until_s > now_s:
                    found.add(ws)
        return found

    def drop_reservations(self, instance: str, incarnation: int) -> None:
        """Forget the reservations of a process that is gone."""
        for key, held in self._held.get((instance, incarnation), {}).items():
            self._sums[key].reserved -= held.reserved
            held.reserved = 0.0
            held.backlogged_until_s = -math.inf

    def _adjust_own(self, key: _Key, total: float, reserved: float) -> None:
        self._sequence += 1
        held = self._held[self._source].setdefault(key, _Held(0, 0.0, 0.0))
        summed = self._sums.setdefault(key, _Sum())
        held.sequence = self._sequence
        held.total += total
        held.reserved += reserved
        summed.total += total
        summed.reserved += reserved

    def _merge_one(self, entry: TotalsEntry, now_s: float) -> bool:
        source = (entry.instance, entry.incarnation)
        values = (entry.total_tokens, entry.reserved_tokens)
        if source == self._source or not all(map(_is_amount, values)):
            return False
        key = (entry.pool, entry.workspace)
        held = self._held.setdefault(source, {}).setdefault(key, _Held(-1, 0.0, 0.0))
        if entry.sequence < held.sequence:
            return False
        news = entry.sequence > held.sequence
        summed = self._sums.setdefault(key, _Sum())
        total = max(held.total, entry.total_tokens)
        summed.total += total - held.total
        summed.reserved += entry.reserved_tokens - held.reserved
        held.sequence, held.total = entry.sequence, total
        held.reserved = entry.reserved_tokens
        if entry.backlogged:
            held.backlogged_until_s = now_s + self._settings.backlog_validity_s
        elif news:
            held.backlogged_until_s = -math.inf
        return news

    def _entry(
        self, source: tuple[str, int], key: _Key, held: _Held, now_s: float
    ) -> TotalsEntry:
        own = source == self._source
        waits = key in self._own_backlogged if own else held.backlogged_until_s > now_s
        return TotalsEntry(
            source[0],
            source[1],
            held.sequence,
            key[0],
            key[1],
            held.total,
            max(0.0, held.reserved),
            waits,
        )


class VirtualTime:
    """Order of the workspaces of a pool: the lowest virtual time is served next.

    Parameters
    ----------
    totals : ServiceTotals
    settings : FairnessSettings
    """

    def __init__(self, totals: ServiceTotals, settings: FairnessSettings):
        self._totals = totals
        self._settings = settings
        self._weights: Mapping[str, float] = {}
        self._lifts: dict[_Key, float] = {}
        self._pool_time: dict[str, float] = {}

    def set_weights(self, weights: Mapping[str, float]) -> None:
        """Take over the weights of the workspaces in force."""
        self._weights = weights

    def weight(self, workspace: str) -> float:
        """Return the weight of a workspace; an unknown one counts as 1."""
        return self._weights.get(workspace, 1.0)

    def value(self, pool: str, workspace: str, extra_tokens: float = 0.0) -> float:
        """Return the virtual time of a workspace.

        Parameters
        ----------
        extra_tokens : float, optional
            Service that the totals don't show yet.
        """
        used = self._totals.used(pool, workspace) + extra_tokens
        return used / self.weight(workspace) + self._lifts.get((pool, workspace), 0.0)

    def note_served(self, pool: str, value: float) -> None:
        """Record the virtual time at which a workspace was chosen."""
        self._pool_time[pool] = max(self._pool_time.get(pool, 0.0), value)

    def on_backlogged(self, pool: str, workspace: str, now_s: float) -> None:
        """Lift a workspace that begins to wait, so that idleness earns no credit."""
        others = self._totals.backlogged(pool, now_s) - {workspace}
        if others:
            floor = min(self.value(pool, other) for other in others)
        else:
            floor = self._pool_time.get(pool, 0.0)
        self._lift_to(pool, workspace, floor)

    def cap_catch_up(self, pool: str, now_s: float) -> None:
        """Bound how much missed service a backlogged workspace makes up for."""
        waiting = self._totals.backlogged(pool, now_s)
        if len(waiting) < 2:
            return
        leader = max(self.value(pool, workspace) for workspace in waiting)
        for workspace in waiting:
            floor = leader - self._settings.catch_up_cap_tokens
            self._lift_to(pool, workspace, floor)

    def lifts(self) -> list[LiftEntry]:
        """Return the lifts to tell peers."""
        return [LiftEntry(p, ws, lift) for (p, ws), lift in self._lifts.items()]

    def merge_lifts(self, entries: Iterable[LiftEntry]) -> None:
        """Take over a peer's lifts where they are greater."""
        for entry in entries:
            key = (entry.pool, entry.workspace)
            if _is_amount(entry.lift) and entry.lift > self._lifts.get(key, 0.0):
                self._lifts[key] = entry.lift

    def _lift_to(self, pool: str, workspace: str, floor: float) -> None:
        missing = floor - self.value(pool, workspace)
        if missing > 0.0:
            key = (pool, workspace)
            self._lifts[key] = self._lifts.get(key, 0.0) + missing


def _is_amount(value: float) -> bool:
    return math.isfinite(value) and value >= 0.0
