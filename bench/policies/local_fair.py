"""Baseline: fair queues per router with static shares and no exchange."""

from __future__ import annotations

from carobstair.core.capacity import CapacityNode
from carobstair.core.shares import SlotShare

__all__ = ["LocalFairNode"]


class LocalFairNode(CapacityNode):
    """A capacity node that serves its own callers only.

    It never learns of a peer, so it announces no demand and knows no service but
    its own. Its part of each configured limit is fixed: limits found from token
    times would need the sight of all routers.
    """

    @property
    def live_peers(self) -> frozenset[str]:
        """No peer, whatever the membership says."""
        return frozenset()

    @live_peers.setter
    def live_peers(self, instances: frozenset[str]) -> None:
        del instances

    def share_of(self, upstream: str) -> SlotShare:
        """Return the fixed part of the configured limits."""
        known = self.state.upstreams[upstream]
        limits = (known.max_requests, known.max_kv_tokens, 0.0)
        return self.shares.share(upstream, *limits)
