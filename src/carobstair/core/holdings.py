"""The slots that one node holds, computed from shares and limits and cached."""

from __future__ import annotations

from carobstair.core.estimates import LimitBook
from carobstair.core.shares import MemberId, ShareTable, SlotShare, rendezvous_rank
from carobstair.core.state import FleetState

__all__ = ["Holdings"]

# Larger than any limit, so that every holder has a part of it.
ANY_LIMIT = 1_000_000


class Holdings:
    """The own part of each upstream's limit.

    Parameters
    ----------
    own : tuple of (str, int)
        Instance and incarnation.
    shares : ShareTable
    limits : LimitBook
    """

    def __init__(self, own: MemberId, shares: ShareTable, limits: LimitBook):
        self._own = own
        self._shares = shares
        self._limits = limits
        self._state = FleetState()
        self._version = -1
        self._cache: dict[str, tuple[tuple[int, int], SlotShare]] = {}
        self._ranks: dict[str, tuple[int, int]] = {}
        self.held: list[str] = []

    @property
    def is_stale(self) -> bool:
        """Whether the shares have changed since the last refresh."""
        return self._version != self._shares.version

    def refresh(self, state: FleetState) -> None:
        """Find out of which upstreams this node holds a part."""
        self._state = state
        self._version = self._shares.version
        self._cache = {}
        self._ranks = {}
        self.held = [
            name
            for name in sorted(state.upstreams)
            if self._shares.share(name, ANY_LIMIT, 0, 0.0).request_slots
        ]

    def share_of(self, upstream: str, now_s: float) -> SlotShare:
        """Return what this node may have in use on an upstream."""
        limits = self._limits.limits(upstream, now_s)
        cached = self._cache.get(upstream)
        if cached is not None and cached[0] == limits:
            return cached[1]
        share = self._shares.share(upstream, *limits, 0.0)
        self._cache[upstream] = (limits, share)
        return share

    def fit_newest_epoch(self, uses: dict[str, int], now_s: float) -> bool:
        """Return whether uses fit the shares of the newest epoch."""
        for name, count in uses.items():
            if name not in self._state.upstreams:
                continue
            limits = self._limits.limits(name, now_s)
            share = self._shares.target_share(name, *limits, 0.0)
            if count > share.request_slots:
                return False
        return True

    def rank_of(self, pool: str) -> tuple[int, int]:
        """Return the own place among the members that hold slots of a pool."""
        found = self._ranks.get(pool)
        if found is None:
            holders = {
                instance
                for upstream in self._state.pool_upstreams(pool)
                for instance, _ in self._shares.epoch.holders(upstream.name)
            }
            ranked = rendezvous_rank(pool, holders | {self._own[0]})
            found = self._ranks[pool] = (ranked.index(self._own[0]), len(ranked))
        return found
