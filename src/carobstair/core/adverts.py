"""Whom an allocator asks for demand when it has free slots that nobody wants."""

from __future__ import annotations

import random
from collections.abc import Mapping

from carobstair.core.exchange import TotalsExchange, row_of
from carobstair.core.messages import FreeSlots
from carobstair.core.shares import ALL_HOLD_UP_TO_MEMBERS
from carobstair.core.totals import ServiceTotals

__all__ = ["SlotAdverts"]

EVERY_S = 0.05
ASKED_PER_ROW = 2


class SlotAdverts:
    """Makes the messages that pull demand; the totals tell where work waits.

    Parameters
    ----------
    totals : ServiceTotals
    exchange : TotalsExchange
    generator : random.Random
    """

    def __init__(
        self,
        totals: ServiceTotals,
        exchange: TotalsExchange,
        generator: random.Random,
    ):
        self._totals = totals
        self._exchange = exchange
        self._generator = generator
        self._next_s = 0.0

    def is_due(self, live_peers: frozenset[str], now_s: float) -> bool:
        """Return whether it is time, in a fleet where not all know all demand."""
        if len(live_peers) + 1 <= ALL_HOLD_UP_TO_MEMBERS or now_s < self._next_s:
            return False
        self._next_s = now_s + EVERY_S
        return True

    def messages(
        self, free: Mapping[str, int], live_peers: frozenset[str], now_s: float
    ) -> list[tuple[str, FreeSlots]]:
        """Return messages for slots that no known demand can use.

        Parameters
        ----------
        free : dict
            Free slots by pool.
        """
        wanted: dict[str, dict[str, int]] = {}
        for pool, count in free.items():
            for peer in self._waiting_peers(pool, live_peers, now_s):
                wanted.setdefault(peer, {})[pool] = count
        return [(peer, FreeSlots(pools)) for peer, pools in sorted(wanted.items())]

    def _waiting_peers(
        self, pool: str, live_peers: frozenset[str], now_s: float
    ) -> list[str]:
        sources = self._totals.waiting_sources(pool, now_s)
        found = [name for name in sources if name in live_peers]
        rows = self._exchange.grid.rows
        for row in sorted(name for name in sources if isinstance(name, int)):
            mates = sorted(n for n in live_peers if row_of(n, rows) == row)
            asked = min(ASKED_PER_ROW, len(mates))
            found += self._generator.sample(mates, asked)
        return found
