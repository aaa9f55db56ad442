"""Fleet-wide limits on sends, enforced without communication between routers.

Each router enforces its own quota. The limit is divided by the number of routers
that are known to exist, so that the sum holds during partitions and restarts; a
router that has just started counts as having used its quota.
"""

from __future__ import annotations

import math
from collections import deque
from dataclasses import dataclass, field

__all__ = ["ColdSendLimit", "ResendLimit", "SendLimitSettings"]


@dataclass(frozen=True, slots=True)
class SendLimitSettings:
    """Fleet-wide limits on sends.

    Attributes
    ----------
    cold_overshoot : float
        Factor on the rate that a cold upstream can serve.
    cold_slack : float
        Requests a second allowed on top of that.
    resend_ratio : float
        Allowed resends (sends after the first of a request), as a fraction of the
        requests.
    resend_slack : float
        Resends allowed in each window on top of that ratio.
    resend_window_s : float
        Length of the sliding window.
    """

    cold_overshoot: float = 1.5
    cold_slack: float = 5.0
    resend_ratio: float = 0.2
    resend_slack: float = 50.0
    resend_window_s: float = 10.0


# The limit applies to any sliding second; the margin covers the few milliseconds by
# which timers and links shift a send.
COLD_WINDOW_S = 1.1
# Safety factor: the number of requests varies from window to window, and the requests
# that a failed peer counted are lost.
RESEND_MARGIN = 0.5


@dataclass(slots=True)
class ColdSendLimit:
    """Limits the requests a second to each cold upstream.

    Parameters
    ----------
    settings : SendLimitSettings
    started_s : float
        Monotonic time of the start of this process.
    """

    settings: SendLimitSettings
    started_s: float
    _sent_s: dict[str, deque[float]] = field(default_factory=dict)

    def quota(self, cold_rate: float, routers: int, rank: int) -> int:
        """Return how many requests a second this router may send.

        Parameters
        ----------
        cold_rate : float
            Requests a second that the upstream can serve while cold.
        routers : int
            Routers that are known to exist, this one included.
        rank : int
            Rank of this router among them for this upstream, from 0. It decides
            which routers get the remainder; with more routers than requests, only
            these may send.
        """
        total = cold_rate * self.settings.cold_overshoot + self.settings.cold_slack
        # Another router may have joined that is not known here yet. It also shifts
        # ranks by one, so that two routers may assume the last place.
        whole, rest = divmod(math.floor(total), routers + 1)
        return whole + (1 if rank < rest - 1 else 0)

    def allows(self, upstream_id: str, quota: int, now_s: float) -> bool:
        """Return whether one more request may be sent now."""
        if now_s - self.started_s < COLD_WINDOW_S:
            return False
        return self._recent_sends(upstream_id, now_s) < quota

    def note_send(self, upstream_id: str, now_s: float) -> None:
        """Count a request to an upstream that is cold or may turn out to be cold."""
        self._sent_s.setdefault(upstream_id, deque(maxlen=64)).append(now_s)

    def keep(self, upstream_ids: set[str]) -> None:
        """Drop the state of removed upstreams."""
        for upstream_id in set(self._sent_s) - upstream_ids:
            del self._sent_s[upstream_id]

    def _recent_sends(self, upstream_id: str, now_s: float) -> int:
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
    """Limits the resends of a service: sends after the first of each request."""

    settings: SendLimitSettings
    _windows: dict[str, _Window] = field(default_factory=dict)

    def note_request(self, service: str, now_s: float) -> None:
        """Count a caller's request."""
        self._window(service, now_s).requests_s.append(now_s)

    def take(self, service: str, routers: int, now_s: float) -> bool:
        """Count a resend if the limit allows it; return whether it does."""
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
