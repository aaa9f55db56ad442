"""Max-min fair shares, and the demand from which they are computed."""

from __future__ import annotations

import math
from collections.abc import Mapping
from dataclasses import dataclass

__all__ = ["DemandRate", "max_min_shares"]


def max_min_shares(demands: Mapping[str, float], capacity: float) -> dict[str, float]:
    """Return the max-min fair shares of a capacity.

    Parameters
    ----------
    demands : mapping
        Tokens a second by workspace.
    capacity : float
        Tokens a second to share.
    """
    shares: dict[str, float] = {}
    remaining = capacity
    ordered = sorted(demands.items(), key=lambda item: item[1])
    for index, (name, demand) in enumerate(ordered):
        shares[name] = min(demand, remaining / (len(ordered) - index))
        remaining -= shares[name]
    return shares


@dataclass(slots=True)
class DemandRate:
    """Tokens a second, averaged exponentially over a window."""

    tokens: float = 0.0
    at_s: float = 0.0

    def add(self, tokens: float, now_s: float, window_s: float) -> None:
        """Count tokens."""
        self.tokens = self.rate(now_s, window_s) * window_s + tokens
        self.at_s = now_s

    def rate(self, now_s: float, window_s: float) -> float:
        """Return the tokens a second."""
        return self.tokens * math.exp((self.at_s - now_s) / window_s) / window_s
