"""Utilisation that peers state in their digests."""

from __future__ import annotations

import statistics
from dataclasses import dataclass, field

__all__ = ["PeerUtilisation"]

# The median is computed at most this often: it is asked for with each request, and
# peers state their utilisation a few times a second at most.
MEDIAN_INTERVAL_S = 0.1


@dataclass(slots=True)
class PeerUtilisation:
    """Last utilisation stated by each peer.

    The median is used because a caller that retries reaches any of the peers, and a few
    busy or idle ones say little of the others.
    """

    _stated: dict[str, float] = field(default_factory=dict)
    _median: float | None = None
    _valid_until_s: float = 0.0

    def note(self, peer: str, utilisation: float | None) -> None:
        """Record what a peer states; None if it does not measure its utilisation."""
        if utilisation is None:
            self.forget(peer)
        else:
            self._stated[peer] = utilisation

    def forget(self, peer: str) -> None:
        """Discard what a peer stated that has left or fallen silent."""
        self._stated.pop(peer, None)

    def median(self, now_s: float) -> float | None:
        """Return the median of the peers heard, or None if none states a figure."""
        if now_s >= self._valid_until_s:
            values = self._stated.values()
            self._median = statistics.median(values) if values else None
            self._valid_until_s = now_s + MEDIAN_INTERVAL_S
        return self._median
