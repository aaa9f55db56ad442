"""Shares of the workspaces of one pool."""

from __future__ import annotations

import math
from collections.abc import Mapping, Sequence
from dataclasses import dataclass, field

from carobstair.core.admission.demand_book import DemandBook
from carobstair.core.admission.fill_limit import FillLimit
from carobstair.core.admission.room import EngineLoad
from carobstair.core.admission.supply import SupplyControl

__all__ = ["PoolShares"]

# Time over which the demand of a workspace is averaged before it counts as more than
# its share: a few long prompts within half a second are no such demand.
SUSTAINED_S = 4.0
# Demand relative to that average from which on it is a surge. It stays above for 1.5 s,
# in which the averages of the demand and the sums of all routers follow.
SURGE = 3.0


@dataclass(slots=True)
class PoolShares:
    """Shares of one pool.

    Attributes
    ----------
    limit : FillLimit
        Bounds what this router sends before a surge shows in the sums.
    level : float
        Largest share of a workspace.
    room_level : float
        The same if the room that engines have now is shared as well.
    even_share : float
        What each workspace gets if all ask for as much; it is at most `level`.
    others : mapping
        Demand at the other routers by workspace.
    first : mapping
        Demand at all routers without what is asked for again. The repeated requests of
        small workspaces would otherwise make them look as large as their share.
    sustained : dict
        Average of `first` over some seconds.
    own_part : float
        Part of the supply that is due to callers of this router.
    """

    control: SupplyControl
    limit: FillLimit
    capacity: float = 1.0
    limited_per_s: float = 0.0
    engines: EngineLoad = field(default_factory=EngineLoad)
    level: float = math.inf
    room_level: float = math.inf
    even_share: float = math.inf
    others: Mapping[str, int] = field(default_factory=dict)
    first: Mapping[str, float] = field(default_factory=dict)
    sustained: dict[str, float] = field(default_factory=dict)
    own_part: float = 1.0
    computed_s: float = -math.inf
    _averaged_s: float = -math.inf

    def is_surge(self, workspace: str, first: float) -> bool:
        """Return whether a workspace suddenly asks for much more than before.

        Parameters
        ----------
        first : float
            Demand at all routers.
        """
        before = self.sustained.get(workspace, first)
        # Where some ask for less than the even share, the level is above it. While
        # all known demand can be met, the level is infinite and bounds no surge.
        share = self.level if math.isfinite(self.level) else self.even_share
        return first > max(share, SURGE * before)

    def is_beyond(self, workspace: str, first: float) -> bool:
        """Return whether a workspace asks for more than its share.

        Parameters
        ----------
        first : float
            Demand at all routers.
        """
        if first <= self.level:
            return False
        before = self.sustained.get(workspace, first)
        return before > self.level or self.is_surge(workspace, first)

    def compute(self, name: str, book: DemandBook, now_s: float) -> None:
        """Find the levels up to which the demand of each workspace is met."""
        elapsed_s = now_s - self._averaged_s
        self.computed_s = self._averaged_s = now_s
        row = book.others(name, now_s)
        self.others = {} if row is None else row.demands
        self.first = book.first_demands(name, now_s)
        weight = 1.0 - math.exp(-elapsed_s / SUSTAINED_S)
        if self.sustained:
            before = self.sustained.get
            self.sustained = {
                workspace: before(workspace, 0.0) * (1.0 - weight) + weight * first
                for workspace, first in self.first.items()
            }
        else:
            self.sustained = dict(self.first)
        demands = sorted(self.first.values())
        supply = self.capacity * self._agreed_factor(book, name, now_s)
        supply += self.limited_per_s
        room = self.capacity * self.control.room()
        self.level = _max_min_level(demands, supply)
        self.room_level = _max_min_level(demands, supply + room)
        self.even_share = supply / max(1, len(demands))
        total = own = 0.0
        for workspace, first in self.first.items():
            due = min(first, self.level)
            total += due
            here = book.own_rate(name, workspace, now_s)
            if here > 0:
                own += due * here / (here + self.others.get(workspace, 0))
        self.own_part = own / total if total > 0 else 1.0

    def _agreed_factor(self, book: DemandBook, name: str, now_s: float) -> float:
        """Return the supply on which routers agree, relative to the nominal one.

        Each finds its own from the load that it sees. With the mean, a workspace gets
        the same wherever its callers connect.
        """
        own = self.control.factor
        row = book.estimates(name, now_s)
        if row is None or not row.samples:
            return own
        return math.exp((row.log_factors + math.log(own)) / (row.samples + 1))


def _max_min_level(demands: Sequence[float], supply: float) -> float:
    """Return the largest share; infinite if the supply suffices for all.

    Parameters
    ----------
    demands : sequence of float
        In ascending order.
    """
    left = supply
    for index, demand in enumerate(demands):
        level = left / (len(demands) - index)
        if demand > level:
            return level
        left -= demand
    return math.inf
