"""Draining of upstreams for requests too large to fit beside others."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass

from carobstair.core.demand import DemandKey
from carobstair.core.shares import SlotShare

__all__ = ["UpstreamDrains"]


@dataclass(slots=True)
class _Drain:
    key: DemandKey
    since_s: float
    upstream: str = ""


class UpstreamDrains:
    """Reserves at most one upstream per pool for a single queue.

    Without a reservation, smaller requests could starve a large one forever.

    Parameters
    ----------
    after_s : float
        How long the next request in order waits before an upstream is drained.
    """

    def __init__(self, after_s: float):
        self._after_s = after_s
        self._drains: dict[str, _Drain] = {}

    def reserved_for_others(self, key: DemandKey) -> str:
        """Return the upstream that is drained for another queue, or ''."""
        drain = self._drains.get(key[0])
        return drain.upstream if drain is not None and drain.key != key else ""

    def owner(self, pool: str) -> DemandKey | None:
        """Return the queue that is blocked or has an upstream of the pool drained."""
        drain = self._drains.get(pool)
        return drain.key if drain is not None else None

    def record_blocked(
        self, key: DemandKey, free: Mapping[str, SlotShare], now_s: float
    ) -> None:
        """Record that the next request of a queue fits on no upstream.

        Parameters
        ----------
        free : dict
            Free capacity of the upstreams that the request may use.
        """
        drain = self._drains.setdefault(key[0], _Drain(key, now_s))
        if drain.key != key or drain.upstream or not free:
            return
        if now_s - drain.since_s >= self._after_s:
            drain.upstream = max(free, key=lambda name: (free[name].kv_tokens, name))

    def end(self, pool: str) -> None:
        """Reopen the upstreams of a pool to all queues."""
        self._drains.pop(pool, None)
