"""Issues permits for sends to upstreams that limit their requests.

Permits of one upstream are spaced evenly at its rate (the generic cell rate
algorithm). A permit may lie in the near future: the request waits for it at its
router, so the queue in front of an upstream needs no memory here.
"""

from __future__ import annotations

from dataclasses import dataclass, field

from carobstair.core.rate_limits.stated_rates import Incarnation

__all__ = ["IssuedPermit", "PermitIssuer"]


@dataclass(frozen=True, slots=True)
class IssuedPermit:
    """Answer to a request for a permit.

    Attributes
    ----------
    granted : bool
    delay_s : float
        Time until the permit is valid; if it was not granted, until one would be.
    """

    granted: bool
    delay_s: float


@dataclass(slots=True)
class PermitIssuer:
    """Spaces the permits of each upstream that this router is in charge of.

    Parameters
    ----------
    burst : float
        Permits that an upstream saves up while nobody asks for them.
    """

    burst: float
    # When the next permit of each upstream is valid, and the last spacing.
    _next_s: dict[Incarnation, float] = field(default_factory=dict)
    _interval_s: dict[Incarnation, float] = field(default_factory=dict)

    def issue(
        self, upstream: Incarnation, per_s: float, max_wait_s: float, now_s: float
    ) -> IssuedPermit:
        """Issue a permit that is valid within a time, or say when one would be.

        Parameters
        ----------
        per_s : float
            Permits a second.
        max_wait_s : float
            Longest time that the request can wait.
        """
        # Whoever was in charge before may just have issued all that there is.
        next_s = self._next_s.get(upstream, now_s)
        next_s = max(next_s, now_s - (self.burst - 1.0) / per_s)
        delay_s = max(0.0, next_s - now_s)
        if delay_s > max_wait_s:
            return IssuedPermit(False, delay_s)
        self._interval_s[upstream] = 1.0 / per_s
        self._next_s[upstream] = next_s + 1.0 / per_s
        return IssuedPermit(True, delay_s)

    def take_back(self, upstream: Incarnation) -> None:
        """Take back a permit that was not used."""
        if upstream in self._next_s:
            self._next_s[upstream] -= self._interval_s[upstream]

    def keep(self, upstreams: set[Incarnation]) -> None:
        """Drop the state of incarnations that are gone."""
        for upstream in set(self._next_s) - upstreams:
            del self._next_s[upstream], self._interval_s[upstream]
