"""Upstreams kept free for requests too large to fit beside others."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass

from carobstair.core.demand import DemandKey
from carobstair.core.shares import SlotShare

__all__ = ["Drains"]


@dataclass(slots=True)
class _Drain:
    key: DemandKey
    since_s: float
    upstream: str = ""


class Drains:
    """At most one upstream per pool takes no work but that of one queue.

    Without this, smaller requests would keep a large one out for good.

    Parameters
    ----------
    after_s : float
        How long the request whose turn it is waits before an upstream drains.
    """

    def __init__(self, after_s: float):
        self._after_s = after_s
        self._drains: dict[str, _Drain] = {}

    def closed_to(self, key: DemandKey) -> str:
        """Return the upstream that drains for another queue, or ''."""
        drain = self._drains.get(key[0])
        return drain.upstream if drain is not None and drain.key != key else ""

    def owner(self, pool: str) -> DemandKey | None:
        """Return the queue for which an upstream of a pool drains."""
        drain = self._drains.get(pool)
        return drain.key if drain is not None else None

    def note_blocked(
        self, key: DemandKey, left: Mapping[str, SlotShare], now_s: float
    ) -> None:
        """Record that a queue's turn came and its head fits nowhere.

        Parameters
        ----------
        left : dict
            What is free on the upstreams that the request may go to.
        """
        drain = self._drains.setdefault(key[0], _Drain(key, now_s))
        if drain.key != key or drain.upstream or not left:
            return
        if now_s - drain.since_s >= self._after_s:
            drain.upstream = max(left, key=lambda name: (left[name].kv_tokens, name))

    def end(self, pool: str) -> None:
        """Let all work have the upstreams of a pool again."""
        self._drains.pop(pool, None)
