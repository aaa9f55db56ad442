"""Number of a pool's slots that long requests leave free for quick ones.

The reserve is the smallest at which at most 5 % of the quick requests wait longer
than `target_wait_s`. With `r` slots reserved, a quick request finds them all busy
with Erlang's loss probability, and then waits for the next slot of any kind to be
released. A large pool releases slots so often that it needs no reserve.
"""

from __future__ import annotations

import math
from dataclasses import dataclass

from carobstair.core.shares import split_limit

__all__ = ["QuickReserve", "QuickReserveSettings", "erlang_loss"]

# One process sees a few releases a second at most; with a shorter window, random
# variation would switch the reserve on and off.
RATE_WINDOW_S = 30.0
MIN_RATE_WINDOW_S = 2.0
MAX_LATE_FRACTION = 0.05
MIN_SERVICE_S = 0.01


@dataclass(frozen=True, slots=True)
class QuickReserveSettings:
    """Settings of the reserve for quick requests.

    Attributes
    ----------
    fraction : float
        Largest fraction of a pool's slots to reserve.
    idle_hold_s : float
        How long the reserve is kept after the last quick request.
    target_wait_s : float
        Target of the 95th percentile of the wait for a slot: the target of 0.64 s
        to the first token, less prefill, one token and the hop between routers.
    backlog_s : float
        Time after which quick requests that wait without interruption count as a
        backlog, which may use only the slots of its fair share.
    """

    fraction: float = 0.1
    idle_hold_s: float = 10.0
    target_wait_s: float = 0.4
    backlog_s: float = 3.0


class _Rate:
    """Exponentially weighted rate of events per second."""

    def __init__(self) -> None:
        self._value = 0.0
        self._at_s = 0.0
        self._first_s = math.inf

    def note(self, now_s: float) -> None:
        self._value = self._decayed(now_s) + 1.0 / RATE_WINDOW_S
        self._at_s = now_s
        self._first_s = min(self._first_s, now_s)

    def at(self, now_s: float) -> float:
        # Corrects for the window not being full yet, which would give too low a rate.
        observed_s = max(MIN_RATE_WINDOW_S, now_s - self._first_s)
        return self._decayed(now_s) / (1.0 - math.exp(-observed_s / RATE_WINDOW_S))

    def _decayed(self, now_s: float) -> float:
        return self._value * math.exp((self._at_s - now_s) / RATE_WINDOW_S)


class _PoolStats:
    def __init__(self) -> None:
        self.last_quick_s = -math.inf
        self.arrivals = _Rate()
        self.releases = _Rate()
        self.service_s = MIN_SERVICE_S


def erlang_loss(load: float, servers: int) -> float:
    """Return the probability that all servers are busy (Erlang's formula B)."""
    loss = 1.0
    for count in range(1, servers + 1):
        loss = load * loss / (count + load * loss)
    return loss


class QuickReserve:
    """Computes this process's part of the reserve of each pool.

    Parameters
    ----------
    settings : QuickReserveSettings
    """

    def __init__(self, settings: QuickReserveSettings):
        self._settings = settings
        self._pools: dict[str, _PoolStats] = {}

    def note_quick(self, pool: str, now_s: float) -> None:
        """Record that a quick request got a slot."""
        stats = self._pools.setdefault(pool, _PoolStats())
        stats.last_quick_s = now_s
        stats.arrivals.note(now_s)

    def note_quick_end(self, pool: str, took_s: float) -> None:
        """Record how long a quick request held its slot."""
        stats = self._pools.setdefault(pool, _PoolStats())
        stats.service_s += 0.1 * (max(took_s, MIN_SERVICE_S) - stats.service_s)

    def note_release(self, pool: str, now_s: float) -> None:
        """Record that any other request has released its slot."""
        self._pools.setdefault(pool, _PoolStats()).releases.note(now_s)

    def slots(
        self, pool: str, own_slots: int, rank: int, holders: int, now_s: float
    ) -> int:
        """Return how many free slots this process leaves to quick requests.

        Parameters
        ----------
        own_slots : int
            Slots of the pool in this process's share; the other holders are assumed
            to have as many slots and as much traffic.
        rank : int
            Rank of this process among the holders, which split the reserve.
        holders : int
            Number of processes with a share of the pool.
        now_s : float
            Monotonic time in seconds.
        """
        stats = self._pools.get(pool)
        if stats is None or now_s - stats.last_quick_s > self._settings.idle_hold_s:
            return 0
        max_reserve = math.ceil(own_slots * holders * self._settings.fraction)
        reserve = self._required_slots(stats, holders, max_reserve, now_s)
        return min(split_limit(reserve, rank, holders), own_slots // 2)

    def is_backlog(self, since_s: float, now_s: float) -> bool:
        """Return whether quick requests have waited too long to use the reserve."""
        return now_s - since_s > self._settings.backlog_s

    def _required_slots(
        self, stats: _PoolStats, holders: int, max_reserve: int, now_s: float
    ) -> int:
        load = stats.arrivals.at(now_s) * holders * stats.service_s
        releases = stats.releases.at(now_s) * holders
        for count in range(max_reserve):
            rate = releases + count / stats.service_s
            late_probability = math.exp(-rate * self._settings.target_wait_s)
            if erlang_loss(load, count) * late_probability <= MAX_LATE_FRACTION:
                return count
        return max_reserve
