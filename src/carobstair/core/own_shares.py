"""Cached shares of one node in the upstream limits."""

from __future__ import annotations

from carobstair.core.estimates import LimitTracker
from carobstair.core.shares import MemberId, ShareTable, SlotShare, rendezvous_rank
from carobstair.core.state import FleetState

__all__ = ["OwnShares"]

# Larger than any real limit, so that every holder's part of it is at least one.
LARGE_LIMIT = 1_000_000


class OwnShares:
    """Computes and caches this node's share of each upstream's limits.

    Parameters
    ----------
    own : tuple of (str, int)
        Instance and incarnation.
    shares : ShareTable
    limits : LimitTracker
    """

    def __init__(self, own: MemberId, shares: ShareTable, limits: LimitTracker):
        self._own = own
        self._shares = shares
        self._limits = limits
        self._state = FleetState()
        self._version = -1
        self._cache: dict[str, tuple[tuple[int, int], SlotShare]] = {}
        self._ranks: dict[str, tuple[int, int]] = {}
        self.upstream_names: list[str] = []

    @property
    def is_stale(self) -> bool:
        """Whether the shares have changed since the last refresh."""
        return self._version != self._shares.version

    def refresh(self, state: FleetState) -> None:
        """Recompute the upstreams on which this node holds a share."""
        self._state = state
        self._version = self._shares.version
        self._cache = {}
        self._ranks = {}
        self.upstream_names = [
            name
            for name in sorted(state.upstreams)
            if self._shares.share(name, LARGE_LIMIT, 0, 0.0).request_slots
        ]

    def share_of(self, upstream: str, now_s: float) -> SlotShare:
        """Return the capacity that this node may use on an upstream."""
        limits = self._limits.limits(upstream, now_s)
        cached = self._cache.get(upstream)
        if cached is not None and cached[0] == limits:
            return cached[1]
        share = self._shares.share(upstream, *limits, 0.0)
        self._cache[upstream] = (limits, share)
        return share

    def fit_newest_epoch(self, granted_requests: dict[str, int], now_s: float) -> bool:
        """Return whether request counts fit the shares of the newest epoch."""
        for name, count in granted_requests.items():
            if name not in self._state.upstreams:
                continue
            limits = self._limits.limits(name, now_s)
            share = self._shares.target_share(name, *limits, 0.0)
            if count > share.request_slots:
                return False
        return True

    def rank_of(self, pool: str) -> tuple[int, int]:
        """Return this node's rank among the holders of a pool, and their number."""
        rank = self._ranks.get(pool)
        if rank is None:
            holders = {
                instance
                for upstream in self._state.pool_upstreams(pool)
                for instance, _ in self._shares.epoch.holders(upstream.name)
            }
            ranked = rendezvous_rank(pool, holders | {self._own[0]})
            rank = self._ranks[pool] = (ranked.index(self._own[0]), len(ranked))
        return rank
