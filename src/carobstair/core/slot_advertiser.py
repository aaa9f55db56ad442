"""Selects the gateways that an allocator with unclaimed free slots asks for demand."""

from __future__ import annotations

import random
from collections.abc import Mapping

from carobstair.core.exchange import TotalsExchange, row_of
from carobstair.core.messages import FreeSlots
from carobstair.core.shares import FULL_SHARING_MAX_MEMBERS
from carobstair.core.totals import ServiceTotals

__all__ = ["FreeSlotAdvertiser"]

ADVERT_INTERVAL_S = 0.05
PEERS_ASKED_PER_ROW = 2


class FreeSlotAdvertiser:
    """Builds messages that request demand from gateways with queued requests.

    The service totals show which gateways, or rows of the grid, have a backlog.

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
        """Return whether adverts are due.

        Fleets in which every member receives all demand need none.
        """
        if len(live_peers) + 1 <= FULL_SHARING_MAX_MEMBERS or now_s < self._next_s:
            return False
        self._next_s = now_s + ADVERT_INTERVAL_S
        return True

    def messages(
        self, free: Mapping[str, int], live_peers: frozenset[str], now_s: float
    ) -> list[tuple[str, FreeSlots]]:
        """Return the messages that advertise slots without known demand.

        Parameters
        ----------
        free : dict
            Free slots by pool.
        """
        pools_by_peer: dict[str, dict[str, int]] = {}
        for pool, count in free.items():
            for peer in self._waiting_peers(pool, live_peers, now_s):
                pools_by_peer.setdefault(peer, {})[pool] = count
        return [
            (peer, FreeSlots(pools)) for peer, pools in sorted(pools_by_peer.items())
        ]

    def _waiting_peers(
        self, pool: str, live_peers: frozenset[str], now_s: float
    ) -> list[str]:
        sources = self._totals.waiting_sources(pool, now_s)
        peers = [name for name in sources if name in live_peers]
        rows = self._exchange.grid.rows
        for row in sorted(name for name in sources if isinstance(name, int)):
            row_members = sorted(n for n in live_peers if row_of(n, rows) == row)
            count = min(PEERS_ASKED_PER_ROW, len(row_members))
            peers += self._generator.sample(row_members, count)
        return peers
