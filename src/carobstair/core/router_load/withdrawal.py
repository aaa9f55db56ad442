"""Withdrawal of a busy router from the load balancer while its peers are idle."""

from __future__ import annotations

import math
from dataclasses import dataclass, field

__all__ = ["Withdrawal", "WithdrawalSettings"]


@dataclass(frozen=True, slots=True)
class WithdrawalSettings:
    """Thresholds of the withdrawal.

    Attributes
    ----------
    busy_from, busy_for_s : float
        Utilisation, and how long it lasts, after which the router reports unready. A
        shorter peak is over before the balancer acts.
    calm_below : float
        Utilisation below which it reports ready again.
    min_s : float
        Shortest withdrawal: the balancer removes a router after two failed checks, a
        second apart, and its callers come back with it.
    max_s : float
        Longest withdrawal. Afterwards the balancer may have moved the callers.
    """

    busy_from: float = 0.7
    busy_for_s: float = 0.2
    calm_below: float = 0.5
    min_s: float = 6.0
    max_s: float = 12.0


@dataclass(slots=True)
class Withdrawal:
    """Whether new connections should go to other routers.

    Callers of one workspace may all be sent to one router, and half of their retries
    as well; only the balancer can spread them.

    Parameters
    ----------
    settings : WithdrawalSettings
    """

    settings: WithdrawalSettings = field(default_factory=WithdrawalSettings)
    is_active: bool = False
    _busy_since_s: float = math.inf
    _began_s: float = -math.inf

    def update(self, utilisation: float | None, are_peers_idle: bool, now_s: float):
        """Record a measurement; return whether the withdrawal began or ended."""
        settings, was_active = self.settings, self.is_active
        busy = utilisation is not None and utilisation >= settings.busy_from
        if not (busy and are_peers_idle):
            self._busy_since_s = math.inf
        elif self._busy_since_s == math.inf:
            self._busy_since_s = now_s
        if self.is_active:
            active_s = now_s - self._began_s
            is_calm = utilisation is None or utilisation < settings.calm_below
            if active_s >= settings.max_s or (active_s >= settings.min_s and is_calm):
                self.is_active = False
                self._busy_since_s = math.inf
        elif now_s - self._busy_since_s >= settings.busy_for_s:
            self.is_active, self._began_s = True, now_s
        return self.is_active is not was_active
