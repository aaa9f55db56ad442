"""Exchange of service totals between nodes.

Up to 12 nodes form a full mesh, in which each sends its own totals to all others.
Larger fleets are divided into rows by a hash of the node names, so a change of
membership moves few nodes. A node sends its own totals to its row, and the sums of
its row to the nodes of other rows that select it as relay, so the messages per node
grow with the square root of the fleet size. Updates contain the changed entries and
a rotating slice of the others, which repairs lost updates.
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
from carobstair.core.totals import FairnessSettings, ServiceTotals, TotalsKey

__all__ = ["ExchangeSettings", "Grid", "TotalsExchange", "row_count", "row_of"]

FULL_MESH_UP_TO_NODES = 12
# Less than the validity of a backlog at peers, which is more than 6 rounds.
REPEAT_WAITING_ROUNDS = 2


@dataclass(frozen=True, slots=True)
class ExchangeSettings:
    """Settings of the totals exchange.

    Attributes
    ----------
    every_s : float
        Interval between updates of the node's own totals.
    relay_every_s : float
        Interval between updates of row sums.
    idle_every_rounds : int
        Number of rounds between updates that include changed entries without a
        backlog. They can be sent less often because the fair order does not
        compare other workspaces with them.
    refresh_rounds : int
        Number of rounds in which every entry is sent at least once.
    """

    every_s: float = 1.0
    relay_every_s: float = 4.0
    idle_every_rounds: int = 5
    refresh_rounds: int = 60


@dataclass(frozen=True)
class Grid:
    """Division of a fleet into rows.

    Attributes
    ----------
    rows : int
        Number of rows; 1 is a full mesh.
    own_row : int
    row_peers : tuple of str
        Nodes that receive this node's own totals.
    relay_peers : tuple of str
        Nodes of other rows that receive this node's row sums.
    """

    rows: int = 1
    own_row: int = 0
    row_peers: tuple[str, ...] = ()
    relay_peers: tuple[str, ...] = ()

    @classmethod
    def of(cls, own: str, live_peers: Iterable[str]) -> Grid:
        """Return the grid from the point of view of one node."""
        peers = sorted(set(live_peers) - {own})
        rows = row_count(len(peers) + 1)
        if rows == 1:
            return cls(row_peers=tuple(peers))
        row_by_name = {name: row_of(name, rows) for name in (own, *peers)}
        row_peers = [name for name in peers if row_by_name[name] == row_by_name[own]]
        relay_peers = [
            name
            for name in peers
            if row_by_name[name] != row_by_name[own]
            and rendezvous_rank(name, (own, *row_peers))[0] == own
        ]
        return cls(rows, row_by_name[own], tuple(row_peers), tuple(relay_peers))


def row_count(nodes: int) -> int:
    """Return the number of rows, a power of two so that it rarely changes."""
    if nodes <= FULL_MESH_UP_TO_NODES:
        return 1
    return 2 ** round(math.log2(math.sqrt(nodes)))


def row_of(name: str, rows: int) -> int:
    """Return the row of a node."""
    return xxhash.xxh3_64_intdigest(f"row\0{name}".encode()) % rows


@dataclass(slots=True)
class _Schedule:
    every_s: float
    next_s: float = -math.inf
    round: int = 0
    repeat_keys: set[TotalsKey] = field(default_factory=set)
    repeat_lifts: set[TotalsKey] = field(default_factory=set)
    sent_waiting: set[TotalsKey] = field(default_factory=set)

    def is_due(self, now_s: float) -> bool:
        if now_s < self.next_s:
            return False
        self.next_s = now_s + self.every_s
        self.round += 1
        return True


class TotalsExchange:
    """Builds and schedules the updates that a node sends.

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
        self._own_schedule = _Schedule(settings.every_s)
        self._row_schedule = _Schedule(settings.relay_every_s)
        self._sequence = 0
        self._started_s: float | None = None
        self._live: frozenset[str] = frozenset()
        self.grid = Grid()

    def set_live_peers(self, live_peers: frozenset[str]) -> None:
        """Set the peers that are considered alive and recompute the grid."""
        if live_peers == self._live:
            return
        self._live = live_peers
        former, self.grid = self.grid, Grid.of(self._own, live_peers)
        if former.rows != self.grid.rows:
            self._drop_other_rows()

    def accepts(self, sender: str, update: TotalsUpdate) -> bool:
        """Return whether an update fits the grid, so that nothing is counted twice."""
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
            Id of the newest grant received, by allocator.
        """
        self._update_may_lift(now_s)
        updates: list[tuple[str, TotalsUpdate]] = []
        if self._own_schedule.is_due(now_s):
            updates += self._own_updates(now_s, last_offers)
        if self.grid.rows > 1 and self._row_schedule.is_due(now_s):
            updates += self._row_updates(now_s)
        return updates

    def answer(self, update: TotalsUpdate) -> TotalsUpdate | None:
        """Return the sync that a new process requests, if this one can provide it."""
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

    def _update_may_lift(self, now_s: float) -> None:
        if self._started_s is None:
            self._started_s = now_s
        waited = now_s - self._started_s >= self._fairness.sync_patience_s
        self._virtual_time.may_lift = self._totals.adopted or not self._live or waited

    def _own_updates(
        self, now_s: float, last_offers: dict[str, int]
    ) -> list[tuple[str, TotalsUpdate]]:
        changed, self._totals.changed = self._totals.changed, set()
        keys = self._keys_to_send(
            self._own_schedule, changed, self._totals.own_keys, now_s
        )
        self._totals.changed |= changed - keys
        if self._own_schedule.round % REPEAT_WAITING_ROUNDS == 0:
            keys |= self._totals.own_waiting_keys
        self._sequence += 1
        update = TotalsUpdate(
            self._totals.incarnation,
            self._sequence,
            self._totals.own_rows(sorted(keys)),
            self._lifts(self._own_schedule, self._virtual_time.changed_lifts, now_s),
        )
        sync_peer = self._sync_peer()
        return [
            (
                peer,
                msgspec.structs.replace(
                    update,
                    last_offer=last_offers.get(peer, 0),
                    wants_sync=peer == sync_peer,
                ),
            )
            for peer in self.grid.row_peers
        ]

    def _row_updates(self, now_s: float) -> list[tuple[str, TotalsUpdate]]:
        changed, self._totals.changed_in_row = self._totals.changed_in_row, set()
        keys = self._keys_to_send(
            self._row_schedule, changed, self._totals.row_keys, now_s
        )
        self._totals.changed_in_row |= changed - keys
        self._sequence += 1
        update = TotalsUpdate(
            self._totals.incarnation,
            self._sequence,
            self._totals.row_sums(sorted(keys), now_s),
            self._lifts(
                self._row_schedule, self._virtual_time.changed_lifts_in_row, now_s
            ),
            row=self.grid.own_row,
        )
        return [(peer, update) for peer in self.grid.relay_peers]

    def _keys_to_send(
        self,
        schedule: _Schedule,
        changed: set[TotalsKey],
        known: Iterable[TotalsKey],
        now_s: float,
    ) -> set[TotalsKey]:
        keys = self._refresh_slice(schedule, known)
        waiting = {key for key in changed if self._totals.is_backlogged(key, now_s)}
        # Workspaces that just stopped waiting have to be reported as well.
        keys |= waiting | (schedule.sent_waiting & changed)
        schedule.sent_waiting = waiting
        if schedule.round % self._settings.idle_every_rounds == 0:
            # The last change of an entry is sent twice, so that one lost message
            # does not leave a stale reservation or backlog.
            keys |= changed | schedule.repeat_keys
            schedule.repeat_keys = set(changed)
        return keys

    def _refresh_slice(
        self, schedule: _Schedule, known: Iterable[TotalsKey]
    ) -> set[TotalsKey]:
        rounds = self._settings.refresh_rounds
        turn = schedule.round % rounds
        return {key for key in known if _hash(key) % rounds == turn}

    def _lifts(
        self, schedule: _Schedule, changed: set[TotalsKey], now_s: float
    ) -> list[LiftEntry]:
        # A workspace without a backlog is lifted again when it next has one.
        waiting = {key for key in changed if self._totals.is_backlogged(key, now_s)}
        sent = waiting | schedule.repeat_lifts
        sent |= self._refresh_slice(schedule, self._virtual_time.lifted)
        schedule.repeat_lifts = waiting
        changed.clear()
        return self._virtual_time.lifts(sorted(sent))

    def _sync_peer(self) -> str | None:
        peers = self.grid.row_peers
        if self._totals.adopted or self._virtual_time.may_lift or not peers:
            return None
        return peers[self._own_schedule.round % len(peers)]

    def _drop_other_rows(self) -> None:
        for name in list(self._totals.sources()):
            if isinstance(name, int) or (
                self.grid.rows > 1 and row_of(name, self.grid.rows) != self.grid.own_row
            ):
                self._totals.forget(name)
        self._totals.changed |= set(self._totals.own_keys)
        self._totals.changed_in_row |= set(self._totals.row_keys)


@lru_cache(maxsize=20_000)
def _hash(key: TotalsKey) -> int:
    return xxhash.xxh3_64_intdigest("\0".join(key).encode())
