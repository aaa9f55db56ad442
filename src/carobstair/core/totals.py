"""Service totals: cumulative service per source, merged by maximum.

Totals count weighted tokens divided by the weight in force when they were
produced, so that a later change of weight does not revalue past service. A
source is a gateway process, or a row of the grid in large fleets. The service of
processes that have left is kept as one retired sum per key, so memory is bounded.
"""

from __future__ import annotations

import math
from collections import OrderedDict
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field

from carobstair.core.messages import PoolTotals, TotalsRow, TotalsUpdate

__all__ = ["FairnessSettings", "TotalsKey", "ServiceTotals", "is_finite_nonnegative"]

MAX_TOMBSTONES = 4096

TotalsKey = tuple[str, str]
"""Pool and workspace."""


def is_finite_nonnegative(value: float) -> bool:
    """Return whether a value is finite and not negative."""
    return math.isfinite(value) and value >= 0.0


@dataclass(frozen=True, slots=True)
class FairnessSettings:
    """Settings of the fair service order.

    Attributes
    ----------
    catch_up_cap_tokens, catch_up_cap_s : float
        Cap on the lag of a backlogged workspace behind the leading one, as tokens
        per weight plus the pool's service in so many seconds; missed service beyond
        it is forgotten. The seconds must exceed the exchange delay, which by itself
        can make a workspace fall behind.
    backlog_validity_s : float
        How long a source's report that a workspace is backlogged is valid.
    established_s : float
        How long a workspace must have been backlogged before others start at its
        level.
    sync_patience_s : float
        How long a new process waits for a peer's sync of the totals.
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
class _Entry:
    sequence: int = -1
    total: float = 0.0
    reserved: float = 0.0


@dataclass(slots=True)
class _Source:
    incarnation: int
    entries: dict[TotalsKey, _Entry] = field(default_factory=dict)
    last_heard_s: float = -math.inf


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
        self._sums: dict[TotalsKey, _Sum] = {}
        self._own_waiting: set[TotalsKey] = set()
        self._waiting: dict[str, dict[str, dict[str | int, float]]] = {}
        self._waiting_since_s: dict[TotalsKey, float] = {}
        self._tombstones: OrderedDict[str, int] = OrderedDict()
        self._adopted = False
        self.changed: set[TotalsKey] = set()
        self.changed_in_row: set[TotalsKey] = set()
        self.dropped_count = 0

    @property
    def incarnation(self) -> int:
        """Incarnation of the local process."""
        return self._own.incarnation

    @property
    def adopted(self) -> bool:
        """Whether a peer has reported the service of retired processes."""
        return self._adopted

    @property
    def own_keys(self) -> Iterable[TotalsKey]:
        """Keys for which the local gateway has charged, reserved or queued requests."""
        return self._own.entries.keys()

    @property
    def row_keys(self) -> Iterable[TotalsKey]:
        """Keys that the local gateway or a source of its row knows."""
        return self._sums.keys()

    @property
    def entry_count(self) -> int:
        """Number of entries, which determines the memory use."""
        count = sum(len(s.entries) for s in self._sources.values())
        return count + len(self._own.entries) + len(self._sums)

    def charge(self, pool: str, workspace: str, tokens: float) -> None:
        """Add service, per weight, given by the local gateway."""
        self._adjust_own(
            (pool, workspace), tokens if is_finite_nonnegative(tokens) else 0.0, 0.0
        )

    def reserve(self, pool: str, workspace: str, tokens: float) -> None:
        """Change the reservation, per weight, of the local gateway's grants."""
        self._adjust_own((pool, workspace), 0.0, tokens)

    def set_waiting(self, key: TotalsKey, is_waiting: bool, now_s: float) -> None:
        """Set whether a workspace waits for a pool at the local gateway."""
        if is_waiting == (key in self._own_waiting):
            return
        (self._own_waiting.add if is_waiting else self._own_waiting.discard)(key)
        until_s = math.inf if is_waiting else -math.inf
        self._mark_waiting(self._own_name, key, until_s, now_s)
        self._adjust_own(key, 0.0, 0.0)

    def merge(self, sender: str, update: TotalsUpdate, now_s: float) -> int:
        """Merge a peer's update and return the number of entries that were applied.

        Entries with values that are not finite or negative are dropped.
        """
        name = sender if update.row < 0 else update.row
        source = self._source(name, update)
        if source is None:
            return 0
        source.last_heard_s = now_s
        applied_count = 0
        for pool in update.pools:
            for row in pool.rows:
                key = (pool.pool, row.workspace)
                applied_count += self._merge_row(name, source, key, row, update, now_s)
        return applied_count

    def adopt(self, update: TotalsUpdate) -> None:
        """Add the service of retired processes, from an answer to a new process."""
        if update.answers != self._own.incarnation or self._adopted:
            return
        self._adopted = True
        for pool in update.retired:
            for row in pool.rows:
                summed = self._sums.setdefault((pool.pool, row.workspace), _Sum())
                if is_finite_nonnegative(row.total):
                    summed.total += row.total
                    summed.retired += row.total

    def total(self, pool: str, workspace: str) -> float:
        """Return the service given by all sources, in weighted tokens per weight."""
        summed = self._sums.get((pool, workspace))
        return summed.total if summed else 0.0

    def used(self, pool: str, workspace: str) -> float:
        """Return service given plus reservations, in weighted tokens per weight."""
        summed = self._sums.get((pool, workspace))
        return summed.total + max(0.0, summed.reserved) if summed else 0.0

    def known_workspaces(self, pool: str) -> Iterable[str]:
        """Return the workspaces with an entry for a pool."""
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
        """Return the workspaces that have been backlogged for some time.

        A workspace whose requests are served at once is backlogged only briefly,
        and its level does not indicate the progress of the others.
        """
        oldest_s = now_s - self._settings.established_s
        return {
            workspace
            for workspace in self.backlogged(pool, now_s)
            if self._waiting_since_s.get((pool, workspace), now_s) <= oldest_s
        }

    def is_backlogged(self, key: TotalsKey, now_s: float) -> bool:
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
    def own_waiting_keys(self) -> frozenset[TotalsKey]:
        """Pools and workspaces that wait at the local gateway."""
        return frozenset(self._own_waiting)

    def own_rows(self, keys: Iterable[TotalsKey]) -> list[PoolTotals]:
        """Return the local gateway's entries for some keys, grouped by pool."""
        entries = self._own.entries
        return _grouped(
            (key, entries[key].total, entries[key].reserved, key in self._own_waiting)
            for key in keys
            if key in entries
        )

    def row_sums(self, keys: Iterable[TotalsKey], now_s: float) -> list[PoolTotals]:
        """Return the sums over this node's row of the grid for some keys."""
        return _grouped(self._row_sum(key, now_s) for key in keys if key in self._sums)

    def retired_rows(self) -> list[PoolTotals]:
        """Return the service given by retired processes, by pool and workspace."""
        return _grouped(
            (key, summed.retired, 0.0, False)
            for key, summed in self._sums.items()
            if summed.retired
        )

    def retire(self, name: str | int) -> None:
        """Remove a source that has left for good, keeping the sum of its service."""
        source = self._sources.pop(name, None)
        if source is None:
            return
        for key, entry in source.entries.items():
            self._discard_reservation_and_backlog(name, key, entry)
            self._sums[key].retired += entry.total
        if isinstance(name, str):
            self._tombstones[name] = source.incarnation
            self._tombstones.move_to_end(name)
            while len(self._tombstones) > MAX_TOMBSTONES:
                self._tombstones.popitem(last=False)

    def forget(self, name: str | int) -> None:
        """Remove a source whose service another source reports from now on."""
        source = self._sources.pop(name, None)
        for key, entry in (source.entries if source else {}).items():
            self._discard_reservation_and_backlog(name, key, entry)
            self._sums[key].total -= entry.total

    def sources(self) -> Mapping[str | int, float]:
        """Return when each source was last heard from, in monotonic seconds."""
        return {name: source.last_heard_s for name, source in self._sources.items()}

    def drop_reservations(self, name: str | int) -> None:
        """Drop the reservations and backlog of a silent source."""
        source = self._sources.get(name)
        for key, entry in (source.entries if source else {}).items():
            self._discard_reservation_and_backlog(name, key, entry)
            entry.reserved = 0.0

    def _discard_reservation_and_backlog(
        self, name: str | int, key: TotalsKey, entry: _Entry
    ) -> None:
        self._sums[key].reserved -= entry.reserved
        self._mark_waiting(name, key, -math.inf, -math.inf)

    def _adjust_own(self, key: TotalsKey, total: float, reserved: float) -> None:
        entry = self._own.entries.setdefault(key, _Entry())
        summed = self._sums.setdefault(key, _Sum())
        entry.total += total
        entry.reserved += reserved
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
        key: TotalsKey,
        row: TotalsRow,
        update: TotalsUpdate,
        now_s: float,
    ) -> bool:
        if not (
            is_finite_nonnegative(row.total) and is_finite_nonnegative(row.reserved)
        ):
            self.dropped_count += 1
            return False
        entry = source.entries.setdefault(key, _Entry())
        summed = self._sums.setdefault(key, _Sum())
        total = max(entry.total, row.total)
        summed.total += total - entry.total
        entry.total = total
        # The relays of a row number their messages independently.
        if isinstance(name, str) and update.sequence <= entry.sequence:
            return False
        entry.sequence = update.sequence
        summed.reserved += row.reserved - entry.reserved
        entry.reserved = row.reserved
        until_s = now_s + self._settings.backlog_validity_s
        self._mark_waiting(name, key, until_s if row.backlogged else -math.inf, now_s)
        if isinstance(name, str):
            self.changed_in_row.add(key)
        return True

    def _mark_waiting(
        self, name: str | int, key: TotalsKey, until_s: float, now_s: float
    ) -> None:
        pool, workspace = key
        if until_s == -math.inf:
            by_workspace = self._waiting.get(pool, {})
            until = by_workspace.get(workspace, {})
            until.pop(name, None)
            if not until:
                by_workspace.pop(workspace, None)
                self._waiting_since_s.pop(key, None)
            return
        if not self.is_backlogged(key, now_s):
            self._waiting_since_s[key] = now_s
        by_workspace = self._waiting.setdefault(pool, {})
        by_workspace.setdefault(workspace, {})[name] = until_s

    def _row_sum(
        self, key: TotalsKey, now_s: float
    ) -> tuple[TotalsKey, float, float, bool]:
        summed = self._sums[key]
        total, reserved = summed.total, summed.reserved
        for name, source in self._sources.items():
            entry = source.entries.get(key) if isinstance(name, int) else None
            if entry is not None:
                total -= entry.total
                reserved -= entry.reserved
        until = self._waiting.get(key[0], {}).get(key[1], {})
        is_waiting = any(
            until_s > now_s for name, until_s in until.items() if isinstance(name, str)
        )
        return key, total, reserved, is_waiting


def _grouped(
    entries: Iterable[tuple[TotalsKey, float, float, bool]],
) -> list[PoolTotals]:
    pools: dict[str, list[TotalsRow]] = {}
    for (pool, workspace), total, reserved, is_waiting in entries:
        # Integers take a third of the bytes of floats.
        row = TotalsRow(workspace, int(total), max(0, round(reserved)), is_waiting)
        pools.setdefault(pool, []).append(row)
    return [PoolTotals(pool, rows) for pool, rows in pools.items()]
