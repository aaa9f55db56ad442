"""Request rates that upstreams have stated for all routers together.

A statement holds until the upstream makes another one. Responses overtake each other
and routers see different ones, so statements carry a version: whoever sees a change
takes the next version, and of two statements with the same version the lower rate
holds.
"""

from __future__ import annotations

import math
from collections import deque
from dataclasses import dataclass, field

__all__ = ["NO_LIMIT", "Incarnation", "StatedRate", "StatedRates"]

NO_LIMIT = math.inf
# Rates that differ by less are the same statement: each change is told to all routers.
SAME_RATE_RATIO = 0.02
# Span over which sends are counted for the log.
COUNTED_S = 4.0

# Id and start time of an upstream.
Incarnation = tuple[str, int]


@dataclass(slots=True)
class StatedRate:
    """What is known of the rate that an incarnation accepts.

    Attributes
    ----------
    per_s : float
        Requests a second from all routers together; `NO_LIMIT` after the end of a
        limit.
    version : int
        Grows with each change that some router sees.
    learned_s : float
        Monotonic time at which this router learned it.
    source : str
        Peer that told it; empty if a response did.
    """

    per_s: float
    version: int
    learned_s: float
    source: str = ""
    sent_s: deque[float] = field(default_factory=lambda: deque(maxlen=1024))

    @property
    def is_limit(self) -> bool:
        """Whether the incarnation limits its requests now."""
        return self.per_s != NO_LIMIT

    def sent_lately(self, now_s: float) -> int:
        """Return this router's sends in the last `COUNTED_S` seconds."""
        while self.sent_s and now_s - self.sent_s[0] > COUNTED_S:
            self.sent_s.popleft()
        return len(self.sent_s)


@dataclass(slots=True)
class StatedRates:
    """Rates by incarnation of an upstream."""

    _rates: dict[Incarnation, StatedRate] = field(default_factory=dict)

    def note_response(
        self, upstream: Incarnation, per_s: float | None, sent_s: float, now_s: float
    ) -> StatedRate | None:
        """Apply what a response says; return the statement if it changed.

        Parameters
        ----------
        per_s : float or None
            Stated rate; None if the response states none.
        sent_s : float
            When its request was sent. Only a response to a request that was sent after
            the last statement was learned shows that a limit has risen or ended.
        """
        known = self._rates.get(upstream)
        if known is None:
            if per_s is None:
                return None
            return self._set(upstream, per_s, 1, now_s)
        stated_per_s = NO_LIMIT if per_s is None else per_s
        if _is_same(stated_per_s, known.per_s):
            return None
        if stated_per_s > known.per_s and sent_s < known.learned_s:
            return None
        return self._set(upstream, stated_per_s, known.version + 1, now_s)

    def merge(
        self,
        upstream: Incarnation,
        per_s: float,
        version: int,
        source: str,
        now_s: float,
    ) -> bool:
        """Apply a peer's statement; return whether it changed what is known."""
        known = self._rates.get(upstream)
        if known is not None and (version, -per_s) <= (known.version, -known.per_s):
            return False
        self._set(upstream, per_s, version, now_s, source)
        return True

    def find(self, upstream: Incarnation) -> StatedRate | None:
        """Return what is known of an incarnation."""
        return self._rates.get(upstream)

    def limit_per_s(self, upstream: Incarnation) -> float:
        """Return the rate that an incarnation accepts, or `NO_LIMIT`."""
        known = self._rates.get(upstream)
        return NO_LIMIT if known is None else known.per_s

    def is_limited(self, upstream: Incarnation) -> bool:
        """Return whether an incarnation limits its requests now."""
        known = self._rates.get(upstream)
        return known is not None and known.is_limit

    def limited(self) -> dict[Incarnation, StatedRate]:
        """Return the incarnations that limit their requests now."""
        return {key: rate for key, rate in self._rates.items() if rate.is_limit}

    def known(self) -> dict[Incarnation, StatedRate]:
        """Return all statements, ends of limits included."""
        return dict(self._rates)

    def note_send(self, upstream: Incarnation, now_s: float) -> None:
        """Count a request for the log."""
        known = self._rates.get(upstream)
        if known is not None:
            known.sent_s.append(now_s)

    def keep(self, upstreams: set[Incarnation]) -> None:
        """Drop the statements of incarnations that are gone."""
        for upstream in set(self._rates) - upstreams:
            del self._rates[upstream]

    def _set(
        self,
        upstream: Incarnation,
        per_s: float,
        version: int,
        now_s: float,
        source: str = "",
    ) -> StatedRate:
        known = self._rates.get(upstream)
        rate = StatedRate(per_s, version, now_s, source)
        if known is not None:
            rate.sent_s = known.sent_s
        self._rates[upstream] = rate
        return rate


def _is_same(per_s: float, other_per_s: float) -> bool:
    if NO_LIMIT in (per_s, other_per_s):
        return per_s == other_per_s
    return abs(per_s - other_per_s) <= SAME_RATE_RATIO * other_per_s
