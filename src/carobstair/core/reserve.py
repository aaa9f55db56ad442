"""How many slots of a pool long requests leave free for quick ones.

The reserve is the smallest at which a quick request waits longer than is bearable
in at most one case of twenty. With `r` slots kept free, a quick request finds them
all busy with Erlang's loss probability, and then waits for the next slot of any
kind that comes free. In a large pool slots come free so often that nothing needs
to be kept free.
"""

from __future__ import annotations

import math
from dataclasses import dataclass

from carobstair.core.shares import split_limit

__all__ = ["QuickReserve", "QuickReserveSettings", "erlang_loss"]

# One process sees a few releases a second at most; a shorter window would switch
# the reserve on and off by chance.
RATE_WINDOW_S = 30.0
SHORTEST_WINDOW_S = 2.0
LATE_PART = 0.05
SHORTEST_SERVICE_S = 0.01


@dataclass(frozen=True, slots=True)
class QuickReserveSettings:
    """Settings of the reserve for quick requests.

    Attributes
    ----------
    fraction : float
        Largest part of a pool's slots to keep free.
    memory_s : float
        How long after the last quick request slots are kept free for the next.
    bearable_wait_s : float
        Wait for a slot at the 95th percentile: the target of 0.64 s to the first
        token less prefill, one token and the way between routers.
    backlog_s : float
        Time after which quick requests that wait without a break are a backlog,
        which uses the slots of its fair share only.
    """

    fraction: float = 0.1
    memory_s: float = 10.0
    bearable_wait_s: float = 0.4
    backlog_s: float = 3.0


class _Rate:
    """Events per second over a window that fades out."""

    def __init__(self) -> None:
        self._value = 0.0
        self._at_s = 0.0
        self._first_s = math.inf

    def note(self, now_s: float) -> None:
        self._value = self._faded(now_s) + 1.0 / RATE_WINDOW_S
        self._at_s = now_s
        self._first_s = min(self._first_s, now_s)

    def at(self, now_s: float) -> float:
        # The window is not full at first, which would show too low a rate.
        seen_s = max(SHORTEST_WINDOW_S, now_s - self._first_s)
        return self._faded(now_s) / (1.0 - math.exp(-seen_s / RATE_WINDOW_S))

    def _faded(self, now_s: float) -> float:
        return self._value * math.exp((self._at_s - now_s) / RATE_WINDOW_S)


class _Pool:
    def __init__(self) -> None:
        self.seen_s = -math.inf
        self.arrivals = _Rate()
        self.releases = _Rate()
        self.service_s = SHORTEST_SERVICE_S


def erlang_loss(load: float, servers: int) -> float:
    """Return the probability that all servers are busy (Erlang's formula B)."""
    loss = 1.0
    for count in range(1, servers + 1):
        loss = load * loss / (count + load * loss)
    return loss


class QuickReserve:
    """Computes the reserve of one process in each pool.

    Parameters
    ----------
    settings : QuickReserveSettings
    """

    def __init__(self, settings: QuickReserveSettings):
        self._settings = settings
        self._pools: dict[str, _Pool] = {}

    def note_quick(self, pool: str, now_s: float) -> None:
        """Record that a quick request got a slot."""
        found = self._pools.setdefault(pool, _Pool())
        found.seen_s = now_s
        found.arrivals.note(now_s)

    def note_quick_end(self, pool: str, took_s: float) -> None:
        """Record how long a quick request held its slot."""
        found = self._pools.setdefault(pool, _Pool())
        found.service_s += 0.1 * (max(took_s, SHORTEST_SERVICE_S) - found.service_s)

    def note_release(self, pool: str, now_s: float) -> None:
        """Record that a slot of any other request has come free."""
        self._pools.setdefault(pool, _Pool()).releases.note(now_s)

    def slots(
        self, pool: str, own_slots: int, rank: int, holders: int, now_s: float
    ) -> int:
        """Return how many free slots other requests leave.

        Parameters
        ----------
        own_slots : int
            Slots of the pool in the own share; others are taken to hold as many
            and to see as much.
        rank : int
            Place of this process among the holders, who split the reserve.
        holders : int
        now_s : float
            Monotonic time in seconds.
        """
        found = self._pools.get(pool)
        if found is None or now_s - found.seen_s > self._settings.memory_s:
            return 0
        most = math.ceil(own_slots * holders * self._settings.fraction)
        total = self._needed(found, holders, most, now_s)
        return min(split_limit(total, rank, holders), own_slots // 2)

    def is_backlog(self, since_s: float, now_s: float) -> bool:
        """Return whether quick requests wait for too long to use the reserve."""
        return now_s - since_s > self._settings.backlog_s

    def _needed(self, found: _Pool, holders: int, most: int, now_s: float) -> int:
        load = found.arrivals.at(now_s) * holders * found.service_s
        releases = found.releases.at(now_s) * holders
        for count in range(most):
            rate = releases + count / found.service_s
            late = math.exp(-rate * self._settings.bearable_wait_s)
            if erlang_loss(load, count) * late <= LATE_PART:
                return count
        return most
