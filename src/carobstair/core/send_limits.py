"""Limits on sends that hold in sum over all routers, without asking a peer.

Each router keeps its own part of the sum. Parts are divided by the number of
routers that are known to exist, so that the sum holds through partitions and
restarts; a router that has just started counts as having used its part.
"""

from __future__ import annotations

import math
from collections import deque
from dataclasses import dataclass, field

__all__ = ["ColdSendLimit", "ResendLimit", "SendLimitSettings"]


@dataclass(frozen=True, slots=True)
class SendLimitSettings:
    """Bounds that the fleet keeps in sum.

    Attributes
    ----------
    cold_overshoot : float
        Factor on the rate that a cold upstream bears.
    cold_slack : float
        Requests a second beyond that.
    resend_ratio : float
        Sends beyond the first of each request, as a part of the requests.
    resend_slack : float
        Sends beyond that ratio in a window.
    resend_window_s : float
        Length of the sliding window.
    """

    cold_overshoot: float = 1.5
    cold_slack: float = 5.0
    resend_ratio: float = 0.2
    resend_slack: float = 50.0
    resend_window_s: float = 10.0


# The bound counts a sliding second; timers and links shift a send by some ms.
COLD_WINDOW_S = 1.1
# Requests vary from window to window, and peers may die with part of theirs.
RESEND_MARGIN = 0.5


@dataclass(slots=True)
class ColdSendLimit:
    """Bounds requests a second to one cold upstream.

    Parameters
    ----------
    settings : SendLimitSettings
    started_s : float
        Monotonic time of the start of this process.
    """

    settings: SendLimitSettings
    started_s: float
    _sent_s: dict[str, deque[float]] = field(default_factory=dict)

    def part(self, cold_rate: float, routers: int, rank: int) -> int:
        """Return how many requests a second this router may send.

        Parameters
        ----------
        cold_rate : float
            Requests a second that the upstream bears while cold.
        routers : int
            Routers that are known to exist, this one included.
        rank : int
            Place of this router among them for this upstream, from 0. It decides
            who may send where there are more routers than requests.
        """
        total = cold_rate * self.settings.cold_overshoot + self.settings.cold_slack
        # One router may have joined that this one doesn't know yet. It also moves
        # places by one, so that two routers may think they have the last one.
        whole, rest = divmod(math.floor(total), routers + 1)
        return whole + (1 if rank < rest - 1 else 0)

    def allows(self, upstream_id: str, part: int, now_s: float) -> bool:
        """Return whether one more request may be sent now."""
        if now_s - self.started_s < COLD_WINDOW_S:
            return False
        return self._recent(upstream_id, now_s) < part

    def note_send(self, upstream_id: str, now_s: float) -> None:
        """Count a request, to a cold upstream or to one that may turn out so."""
        self._sent_s.setdefault(upstream_id, deque(maxlen=64)).append(now_s)

    def keep(self, upstream_ids: set[str]) -> None:
        """Forget upstreams that are gone."""
        for upstream_id in set(self._sent_s) - upstream_ids:
            del self._sent_s[upstream_id]

    def _recent(self, upstream_id: str, now_s: float) -> int:
        sent = self._sent_s.get(upstream_id)
        if sent is None:
            return 0
        while sent and now_s - sent[0] >= COLD_WINDOW_S:
            sent.popleft()
        return len(sent)


@dataclass(slots=True)
class _Window:
    requests_s: deque[float] = field(default_factory=deque)
    resends_s: deque[float] = field(default_factory=deque)

    def trim(self, oldest_s: float) -> None:
        for times in (self.requests_s, self.resends_s):
            while times and times[0] < oldest_s:
                times.popleft()


@dataclass(slots=True)
class ResendLimit:
    """Bounds the sends of a service beyond the first of each request."""

    settings: SendLimitSettings
    _windows: dict[str, _Window] = field(default_factory=dict)

    def note_request(self, service: str, now_s: float) -> None:
        """Count a request of a caller."""
        self._window(service, now_s).requests_s.append(now_s)

    def take(self, service: str, routers: int, now_s: float) -> bool:
        """Count a further send if the window has room for it."""
        window = self._window(service, now_s)
        allowed = RESEND_MARGIN * (
            self.settings.resend_ratio * len(window.requests_s)
            + self.settings.resend_slack / max(1, routers)
        )
        if len(window.resends_s) + 1 > allowed:
            return False
        window.resends_s.append(now_s)
        return True

    def _window(self, service: str, now_s: float) -> _Window:
        window = self._windows.setdefault(service, _Window())
        window.trim(now_s - self.settings.resend_window_s)
        return window
