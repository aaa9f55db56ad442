"""Service totals: cumulative service per source, merged by maximum.

Totals count weighted tokens divided by the weight in force when they were
produced, so that a later change of weight does not revalue past service. A
source is a gateway process, or a row of the grid in large fleets. What processes
that are gone have given stays in one retired sum per key, so memory is bounded.
"""

from __future__ import annotations

import math
from collections import OrderedDict
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field

from carobstair.core.messages import PoolTotals, TotalsRow, TotalsUpdate

__all__ = ["FairnessSettings", "Key", "ServiceTotals", "is_amount"]

MAX_TOMBSTONES = 4096

Key = tuple[str, str]
"""Pool and workspace."""


def is_amount(value: float) -> bool:
    """Return whether a value is finite and not negative."""
    return math.isfinite(value) and value >= 0.0


@dataclass(frozen=True, slots=True)
class FairnessSettings:
    """Settings of the fair order.

    Attributes
    ----------
    catch_up_cap_tokens, catch_up_cap_s : float
        A backlogged workspace may lag behind the leading one by so many tokens
        per weight, plus what the pool serves in so many seconds, before its
        missed service is forgotten. The seconds must exceed the exchange delay,
        within which a workspace can fall behind through no fault of its own.
    backlog_validity_s : float
        How long a source's word that a workspace is backlogged holds.
    established_s : float
        How long a workspace must have waited for others to start at its level.
    sync_patience_s : float
        How long a new process waits for the totals of a peer that has them.
    """

    catch_up_cap_tokens: float = 20_000.0
    catch_up_cap_s: float = 10.0
    backlog_validity_s: float = 6.5
    established_s: float = 2.0
    sync_patience_s: float = 3.0


@dataclass(slots=True)
class _Sum:
    total: float = 0.0
    reserved: float = 0.0
    retired: float = 0.0


@dataclass(slots=True)
class _Held:
    sequence: int = -1
    total: float = 0.0
    reserved: float = 0.0


@dataclass(slots=True)
class _Source:
    incarnation: int
    entries: dict[Key, _Held] = field(default_factory=dict)
    heard_s: float = -math.inf


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
        self._own_name = instance
        self._own = _Source(incarnation)
        self._settings = settings
        self._sources: dict[str | int, _Source] = {}
        self._sums: dict[Key, _Sum] = {}
        self._own_waiting: set[Key] = set()
        self._waiting: dict[str, dict[str, dict[str | int, float]]] = {}
        self._since_s: dict[Key, float] = {}
        self._tombstones: OrderedDict[str, int] = OrderedDict()
        self._adopted = False
        self.changed: set[Key] = set()
        self.changed_in_row: set[Key] = set()
        self.dropped_count = 0

    @property
    def incarnation(self) -> int:
        """Incarnation of the own process."""
        return self._own.incarnation

    @property
    def adopted(self) -> bool:
        """Whether a peer has told what processes before this one gave."""
        return self._adopted

    @property
    def own_keys(self) -> Iterable[Key]:
        """Keys that the own gateway has charged, reserved or waited for."""
        return self._own.entries.keys()

    @property
    def row_keys(self) -> Iterable[Key]:
        """Keys that the own gateway or a source of its row knows."""
        return self._sums.keys()

    @property
    def entry_count(self) -> int:
        """Number of entries held, which memory follows."""
        held = sum(len(s.entries) for s in self._sources.values())
        return held + len(self._own.entries) + len(self._sums)

    def charge(self, pool: str, workspace: str, tokens: float) -> None:
        """Add service per weight that the own gateway gave."""
        self._adjust_own((pool, workspace), tokens if is_amount(tokens) else 0.0, 0.0)

    def reserve(self, pool: str, workspace: str, tokens: float) -> None:
        """Change the reservation, per weight, of the own gateway's grants."""
        self._adjust_own((pool, workspace), 0.0, tokens)

    def set_waiting(self, key: Key, waits: bool, now_s: float) -> None:
        """State whether a workspace waits for a pool at the own gateway."""
        if waits == (key in self._own_waiting):
            return
        (self._own_waiting.add if waits else self._own_waiting.discard)(key)
        until_s = math.inf if waits else -math.inf
        self._mark_waiting(self._own_name, key, until_s, now_s)
        self._adjust_own(key, 0.0, 0.0)

    def merge(self, sender: str, update: TotalsUpdate, now_s: float) -> int:
        """Take in a peer's update and return how many entries were news.

        Entries with values that are not finite or negative are dropped.
        """
        name = sender if update.row < 0 else update.row
        source = self._source(name, update)
        if source is None:
            return 0
        source.heard_s = now_s
        news = 0
        for pool in update.pools:
            for row in pool.rows:
                key = (pool.pool, row.workspace)
                news += self._merge_row(name, source, key, row, update, now_s)
        return news

    def adopt(self, update: TotalsUpdate) -> None:
        """Take over what retired processes gave, from an answer to a new process."""
        if update.answers != self._own.incarnation or self._adopted:
            return
        self._adopted = True
        for pool in update.retired:
            for row in pool.rows:
                summed = self._sums.setdefault((pool.pool, row.workspace), _Sum())
                if is_amount(row.total):
                    summed.total += row.total
                    summed.retired += row.total

    def total(self, pool: str, workspace: str) -> float:
        """Return the service given by all sources, in weighted tokens per weight."""
        found = self._sums.get((pool, workspace))
        return found.total if found else 0.0

    def used(self, pool: str, workspace: str) -> float:
        """Return service given plus reservations, in weighted tokens per weight."""
        found = self._sums.get((pool, workspace))
        return found.total + max(0.0, found.reserved) if found else 0.0

    def known_workspaces(self, pool: str) -> Iterable[str]:
        """Return the workspaces that ever got service from a pool."""
        return [ws for p, ws in self._sums if p == pool]

    def backlogged(self, pool: str, now_s: float) -> set[str]:
        """Return the workspaces that wait for a pool anywhere in the fleet."""
        by_workspace = self._waiting.get(pool, {})
        return {
            workspace
            for workspace, until in by_workspace.items()
            if any(until_s > now_s for until_s in until.values())
        }

    def established(self, pool: str, now_s: float) -> set[str]:
        """Return the workspaces that have waited for a pool for some time.

        One whose requests are served at once waits only for moments, and its
        level says nothing about how far the others have come.
        """
        oldest_s = now_s - self._settings.established_s
        return {
            workspace
            for workspace in self.backlogged(pool, now_s)
            if self._since_s.get((pool, workspace), now_s) <= oldest_s
        }

    def is_backlogged(self, key: Key, now_s: float) -> bool:
        """Return whether a workspace waits for a pool anywhere in the fleet."""
        until = self._waiting.get(key[0], {}).get(key[1], {})
        return any(until_s > now_s for until_s in until.values())

    def waiting_sources(self, pool: str, now_s: float) -> set[str | int]:
        """Return the sources at which anything waits for a pool."""
        return {
            name
            for until in self._waiting.get(pool, {}).values()
            for name, until_s in until.items()
            if until_s > now_s
        }

    @property
    def waiting_here(self) -> frozenset[Key]:
        """Pools and workspaces that wait at the own gateway."""
        return frozenset(self._own_waiting)

    def own_rows(self, keys: Iterable[Key]) -> list[PoolTotals]:
        """Return the own gateway's entries for some keys, grouped by pool."""
        held = self._own.entries
        return _grouped(
            (key, held[key].total, held[key].reserved, key in self._own_waiting)
            for key in keys
            if key in held
        )

    def row_sums(self, keys: Iterable[Key], now_s: float) -> list[PoolTotals]:
        """Return the sums over the own row of the grid for some keys."""
        return _grouped(self._row_sum(key, now_s) for key in keys if key in self._sums)

    def retired_rows(self) -> list[PoolTotals]:
        """Return what retired processes gave, by pool and workspace."""
        return _grouped(
            (key, summed.retired, 0.0, False)
            for key, summed in self._sums.items()
            if summed.retired
        )

    def retire(self, name: str | int) -> None:
        """Keep only the sum of what a source gave that is gone for good."""
        source = self._sources.pop(name, None)
        if source is None:
            return
        for key, held in source.entries.items():
            self._drop_held(name, key, held)
            self._sums[key].retired += held.total
        if isinstance(name, str):
            self._tombstones[name] = source.incarnation
            self._tombstones.move_to_end(name)
            while len(self._tombstones) > MAX_TOMBSTONES:
                self._tombstones.popitem(last=False)

    def forget(self, name: str | int) -> None:
        """Drop a source whose service another source reports from now on."""
        source = self._sources.pop(name, None)
        for key, held in (source.entries if source else {}).items():
            self._drop_held(name, key, held)
            self._sums[key].total -= held.total

    def sources(self) -> Mapping[str | int, float]:
        """Return when each source was last heard, in monotonic seconds."""
        return {name: source.heard_s for name, source in self._sources.items()}

    def drop_reservations(self, name: str | int) -> None:
        """Forget reservations and backlog of a source that is silent."""
        source = self._sources.get(name)
        for key, held in (source.entries if source else {}).items():
            self._drop_held(name, key, held)
            held.reserved = 0.0

    def _drop_held(self, name: str | int, key: Key, held: _Held) -> None:
        self._sums[key].reserved -= held.reserved
        self._mark_waiting(name, key, -math.inf, -math.inf)

    def _adjust_own(self, key: Key, total: float, reserved: float) -> None:
        held = self._own.entries.setdefault(key, _Held())
        summed = self._sums.setdefault(key, _Sum())
        held.total += total
        held.reserved += reserved
        summed.total += total
        summed.reserved += reserved
        self.changed.add(key)
        self.changed_in_row.add(key)

    def _source(self, name: str | int, update: TotalsUpdate) -> _Source | None:
        if name == self._own_name:
            return None
        source = self._sources.get(name)
        if isinstance(name, str):
            if update.incarnation <= self._tombstones.get(name, -1):
                return None
            if source is not None and update.incarnation < source.incarnation:
                return None
            if source is not None and update.incarnation > source.incarnation:
                self.retire(name)
                source = None
        if source is None:
            source = self._sources[name] = _Source(update.incarnation)
        return source

    def _merge_row(
        self,
        name: str | int,
        source: _Source,
        key: Key,
        row: TotalsRow,
        update: TotalsUpdate,
        now_s: float,
    ) -> bool:
        if not (is_amount(row.total) and is_amount(row.reserved)):
            self.dropped_count += 1
            return False
        held = source.entries.setdefault(key, _Held())
        summed = self._sums.setdefault(key, _Sum())
        total = max(held.total, row.total)
        summed.total += total - held.total
        held.total = total
        # Another relayer of a row counts its messages on its own.
        if isinstance(name, str) and update.sequence <= held.sequence:
            return False
        held.sequence = update.sequence
        summed.reserved += row.reserved - held.reserved
        held.reserved = row.reserved
        until_s = now_s + self._settings.backlog_validity_s
        self._mark_waiting(name, key, until_s if row.backlogged else -math.inf, now_s)
        if isinstance(name, str):
            self.changed_in_row.add(key)
        return True

    def _mark_waiting(
        self, name: str | int, key: Key, until_s: float, now_s: float
    ) -> None:
        pool, workspace = key
        if until_s == -math.inf:
            by_workspace = self._waiting.get(pool, {})
            until = by_workspace.get(workspace, {})
            until.pop(name, None)
            if not until:
                by_workspace.pop(workspace, None)
                self._since_s.pop(key, None)
            return
        if not self.is_backlogged(key, now_s):
            self._since_s[key] = now_s
        by_workspace = self._waiting.setdefault(pool, {})
        by_workspace.setdefault(workspace, {})[name] = until_s

    def _row_sum(self, key: Key, now_s: float) -> tuple[Key, float, float, bool]:
        summed = self._sums[key]
        total, reserved = summed.total, summed.reserved
        for name, source in self._sources.items():
            held = source.entries.get(key) if isinstance(name, int) else None
            if held is not None:
                total -= held.total
                reserved -= held.reserved
        until = self._waiting.get(key[0], {}).get(key[1], {})
        waits = any(
            until_s > now_s for name, until_s in until.items() if isinstance(name, str)
        )
        return key, total, reserved, waits


def _grouped(
    entries: Iterable[tuple[Key, float, float, bool]],
) -> list[PoolTotals]:
    pools: dict[str, list[TotalsRow]] = {}
    for (pool, workspace), total, reserved, waits in entries:
        # Whole tokens take a third of the bytes of a float.
        row = TotalsRow(workspace, int(total), max(0, round(reserved)), waits)
        pools.setdefault(pool, []).append(row)
    return [PoolTotals(pool, rows) for pool, rows in pools.items()]
