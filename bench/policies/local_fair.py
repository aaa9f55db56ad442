"""Baseline: a fair queue per router with fixed shares and no exchange of totals."""

from __future__ import annotations

from carobstair.core.capacity import CapacityNode
from carobstair.core.shares import SlotShare

__all__ = ["LocalFairNode"]


class LocalFairNode(CapacityNode):
    """A capacity node that serves its own callers only.

    It never learns of peers, so it announces no demand and knows only the service that
    it gave itself. Its share of each configured limit is fixed: estimating limits from
    token times would need the token times of all routers.
    """

    @property
    def live_peers(self) -> frozenset[str]:
        """No peers, regardless of the membership."""
        return frozenset()

    @live_peers.setter
    def live_peers(self, instances: frozenset[str]) -> None:
        del instances

    def share_of(self, upstream: str) -> SlotShare:
        """Return the fixed share of the configured limits."""
        known = self.state.upstreams[upstream]
        limits = (known.max_requests, known.max_kv_tokens, 0.0)
        return self.shares.share(upstream, *limits)
