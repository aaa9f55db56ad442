"""Exchange of service totals: who gets what, and how little of it.

Up to 12 nodes everybody tells everybody its own totals. Above that, nodes form
rows by a hash of their names, so that a change of membership moves few of them.
A node tells its own totals within its row, and the sums of its row to the nodes
of other rows that have chosen it as their relayer; so messages per node grow with
the square root of the fleet. Only changed entries are sent; a slice of all others
goes along each time, which repairs what was lost.
"""

from __future__ import annotations

import math
from collections.abc import Iterable
from dataclasses import dataclass, field
from functools import lru_cache

import msgspec
import xxhash

from carobstair.core.fairness import VirtualTime
from carobstair.core.messages import LiftEntry, TotalsUpdate
from carobstair.core.shares import rendezvous_rank
from carobstair.core.totals import FairnessSettings, Key, ServiceTotals

__all__ = ["ExchangeSettings", "Grid", "TotalsExchange", "row_count", "row_of"]

FULL_MESH_UP_TO_NODES = 12
# Peers believe for more than 6 intervals that a workspace waits.
REPEAT_WAITING_EVERY = 2


@dataclass(frozen=True, slots=True)
class ExchangeSettings:
    """Settings of the exchange of totals.

    Attributes
    ----------
    every_s : float
        Time between two updates of the own totals.
    relay_every_s : float
        Time between two updates of row sums.
    idle_every : int
        Entries of workspaces that do not wait anywhere go along with every so
        many updates only, since nobody is compared with them.
    refresh_rounds : int
        Number of updates over which all entries are repeated once.
    """

    every_s: float = 1.0
    relay_every_s: float = 4.0
    idle_every: int = 5
    refresh_rounds: int = 60


@dataclass(frozen=True)
class Grid:
    """Rows of a fleet.

    Attributes
    ----------
    rows : int
        Number of rows; 1 means that everybody tells everybody.
    own_row : int
    row_peers : tuple of str
        Nodes that get the own totals.
    relay_peers : tuple of str
        Nodes of other rows that get the sums of the own row from this node.
    """

    rows: int = 1
    own_row: int = 0
    row_peers: tuple[str, ...] = ()
    relay_peers: tuple[str, ...] = ()

    @classmethod
    def of(cls, own: str, live_peers: Iterable[str]) -> Grid:
        """Return the grid as one node sees it."""
        peers = sorted(set(live_peers) - {own})
        rows = row_count(len(peers) + 1)
        if rows == 1:
            return cls(row_peers=tuple(peers))
        row = {name: row_of(name, rows) for name in (own, *peers)}
        mates = [name for name in peers if row[name] == row[own]]
        relay = [
            name
            for name in peers
            if row[name] != row[own] and rendezvous_rank(name, (own, *mates))[0] == own
        ]
        return cls(rows, row[own], tuple(mates), tuple(relay))


def row_count(nodes: int) -> int:
    """Return the number of rows, a power of two so that it changes seldom."""
    if nodes <= FULL_MESH_UP_TO_NODES:
        return 1
    return 2 ** round(math.log2(math.sqrt(nodes)))


def row_of(name: str, rows: int) -> int:
    """Return the row of a node."""
    return xxhash.xxh3_64_intdigest(f"row\0{name}".encode()) % rows


@dataclass(slots=True)
class _Pace:
    every_s: float
    next_s: float = -math.inf
    round: int = 0
    repeat: set[Key] = field(default_factory=set)
    repeat_lifts: set[Key] = field(default_factory=set)
    told_waiting: set[Key] = field(default_factory=set)

    def is_due(self, now_s: float) -> bool:
        if now_s < self.next_s:
            return False
        self.next_s = now_s + self.every_s
        self.round += 1
        return True


class TotalsExchange:
    """Makes the updates that a node sends, and knows when they are due.

    Parameters
    ----------
    own : str
    totals : ServiceTotals
    virtual_time : VirtualTime
    settings : ExchangeSettings
    fairness : FairnessSettings
    """

    def __init__(
        self,
        own: str,
        totals: ServiceTotals,
        virtual_time: VirtualTime,
        settings: ExchangeSettings,
        fairness: FairnessSettings,
    ):
        self._own = own
        self._totals = totals
        self._virtual_time = virtual_time
        self._settings = settings
        self._fairness = fairness
        self._own_pace = _Pace(settings.every_s)
        self._row_pace = _Pace(settings.relay_every_s)
        self._sequence = 0
        self._started_s: float | None = None
        self._live: frozenset[str] = frozenset()
        self.grid = Grid()

    def set_live_peers(self, live_peers: frozenset[str]) -> None:
        """Take over who is believed to be alive."""
        if live_peers == self._live:
            return
        self._live = live_peers
        former, self.grid = self.grid, Grid.of(self._own, live_peers)
        if former.rows != self.grid.rows:
            self._leave_rows()

    def accepts(self, sender: str, update: TotalsUpdate) -> bool:
        """Return whether an update fits the grid and would not count twice."""
        if update.row < 0:
            return self.grid.rows == 1 or row_of(sender, self.grid.rows) == (
                self.grid.own_row
            )
        return self.grid.rows > 1 and (
            update.row < self.grid.rows and update.row != self.grid.own_row
        )

    def due_updates(
        self, now_s: float, last_offers: dict[str, int]
    ) -> list[tuple[str, TotalsUpdate]]:
        """Return the updates that are due, with their receivers.

        Parameters
        ----------
        now_s : float
            Monotonic time in seconds.
        last_offers : dict
            Newest grant seen, by allocator.
        """
        self._settle_sync(now_s)
        found: list[tuple[str, TotalsUpdate]] = []
        if self._own_pace.is_due(now_s):
            found += self._own_updates(now_s, last_offers)
        if self.grid.rows > 1 and self._row_pace.is_due(now_s):
            found += self._row_updates(now_s)
        return found

    def answer(self, update: TotalsUpdate) -> TotalsUpdate | None:
        """Return what a new process asks for, if this one can tell."""
        if not update.wants_sync or not self._virtual_time.may_lift:
            return None
        self._sequence += 1
        return TotalsUpdate(
            self._totals.incarnation,
            self._sequence,
            self._totals.own_rows(list(self._totals.own_keys)),
            self._virtual_time.lifts(),
            answers=update.incarnation,
            retired=self._totals.retired_rows(),
        )

    def _settle_sync(self, now_s: float) -> None:
        if self._started_s is None:
            self._started_s = now_s
        waited = now_s - self._started_s >= self._fairness.sync_patience_s
        self._virtual_time.may_lift = self._totals.adopted or not self._live or waited

    def _own_updates(
        self, now_s: float, last_offers: dict[str, int]
    ) -> list[tuple[str, TotalsUpdate]]:
        changed, self._totals.changed = self._totals.changed, set()
        keys = self._chosen(self._own_pace, changed, self._totals.own_keys, now_s)
        self._totals.changed |= changed - keys
        if self._own_pace.round % REPEAT_WAITING_EVERY == 0:
            keys |= self._totals.waiting_here
        self._sequence += 1
        update = TotalsUpdate(
            self._totals.incarnation,
            self._sequence,
            self._totals.own_rows(sorted(keys)),
            self._lifts(self._own_pace, self._virtual_time.changed_lifts, now_s),
        )
        asked = self._asked_peer()
        return [
            (
                peer,
                msgspec.structs.replace(
                    update,
                    last_offer=last_offers.get(peer, 0),
                    wants_sync=peer == asked,
                ),
            )
            for peer in self.grid.row_peers
        ]

    def _row_updates(self, now_s: float) -> list[tuple[str, TotalsUpdate]]:
        changed, self._totals.changed_in_row = self._totals.changed_in_row, set()
        keys = self._chosen(self._row_pace, changed, self._totals.row_keys, now_s)
        self._totals.changed_in_row |= changed - keys
        self._sequence += 1
        update = TotalsUpdate(
            self._totals.incarnation,
            self._sequence,
            self._totals.row_sums(sorted(keys), now_s),
            self._lifts(self._row_pace, self._virtual_time.changed_lifts_in_row, now_s),
            row=self.grid.own_row,
        )
        return [(peer, update) for peer in self.grid.relay_peers]

    def _chosen(
        self, pace: _Pace, changed: set[Key], known: Iterable[Key], now_s: float
    ) -> set[Key]:
        keys = self._slice(pace, known)
        waits = {key for key in changed if self._totals.is_backlogged(key, now_s)}
        # What has just ceased to wait is news as well.
        keys |= waits | (pace.told_waiting & changed)
        pace.told_waiting = waits
        if pace.round % self._settings.idle_every == 0:
            # The last change of an entry is sent twice, so that one lost message
            # does not leave a reservation or a backlog standing.
            keys |= changed | pace.repeat
            pace.repeat = set(changed)
        return keys

    def _slice(self, pace: _Pace, known: Iterable[Key]) -> set[Key]:
        rounds = self._settings.refresh_rounds
        turn = pace.round % rounds
        return {key for key in known if _hash(key) % rounds == turn}

    def _lifts(self, pace: _Pace, changed: set[Key], now_s: float) -> list[LiftEntry]:
        # A workspace that does not wait any more is lifted again when it does.
        waits = {key for key in changed if self._totals.is_backlogged(key, now_s)}
        sent = waits | pace.repeat_lifts
        sent |= self._slice(pace, self._virtual_time.lifted)
        pace.repeat_lifts = waits
        changed.clear()
        return self._virtual_time.lifts(sorted(sent))

    def _asked_peer(self) -> str | None:
        peers = self.grid.row_peers
        if self._totals.adopted or self._virtual_time.may_lift or not peers:
            return None
        return peers[self._own_pace.round % len(peers)]

    def _leave_rows(self) -> None:
        for name in list(self._totals.sources()):
            if isinstance(name, int) or (
                self.grid.rows > 1 and row_of(name, self.grid.rows) != self.grid.own_row
            ):
                self._totals.forget(name)
        self._totals.changed |= set(self._totals.own_keys)
        self._totals.changed_in_row |= set(self._totals.row_keys)


@lru_cache(maxsize=20_000)
def _hash(key: Key) -> int:
    return xxhash.xxh3_64_intdigest("\0".join(key).encode())
