"""Decides whether a router watches the store or relies on others of its zone."""

from __future__ import annotations

import math
import random
from collections.abc import Collection
from dataclasses import dataclass
from enum import StrEnum

from carobstair.core.shares import rendezvous_rank
from carobstair.core.store_following.settings import FollowingSettings

__all__ = ["Role", "WatchDuty"]


class Role(StrEnum):
    """Why a router watches the store, or that it does not."""

    # One of the first routers of its zone.
    SELECTED = "selected"
    # The same, but too busy; it goes on for `relief_s`, and until another watches.
    RELIEVED = "relieved"
    # No router on which it could rely is heard.
    FALLBACK = "fallback"
    # It has not listed everything, or stays behind what others announce.
    ALONE = "alone"
    RELYING = "relying"

    @property
    def watches(self) -> bool:
        """Whether a router in this role watches the store."""
        return self is not Role.RELYING


@dataclass(slots=True)
class WatchDuty:
    """Role of one router, recomputed several times a second.

    Every router ranks the routers that it hears. Views differ while routers come and
    go, but the router that is first of all sees itself among the first in any view,
    so that some router always watches; where it is too busy or cut off, no
    announcement is heard and others begin.

    Parameters
    ----------
    own : str
    zone : str
    settings : FollowingSettings
    rng : random.Random
    """

    own: str
    zone: str
    settings: FollowingSettings
    rng: random.Random
    role: Role = Role.ALONE
    _is_busy: bool = False
    _fallback_at_s: float | None = None
    _relieved_s: float = -math.inf

    def update(
        self,
        is_complete: bool,
        peers: Collection[str],
        good: Collection[str],
        utilisation: float | None,
        alone_until_s: float,
        now_s: float,
    ) -> bool:
        """Decide on the role; return whether it changed.

        Parameters
        ----------
        is_complete : bool
            Whether every kind has been listed.
        peers : collection of str
            Routers of the zone that are heard.
        good : collection of str
            Routers on whose announcements others may rely.
        alone_until_s : float
            Time until which the router does not rely on others.
        """
        self._update_busy(utilisation)
        before = self.role
        if not is_complete or now_s < alone_until_s:
            self.role = Role.ALONE
            self._fallback_at_s = None
        else:
            self.role = self._next_role(peers, good, now_s)
        return self.role is not before

    def is_first(self, good: Collection[str]) -> bool:
        """Return whether no router on which others rely ranks before this one."""
        return self._rank(good)[0] == self.own

    def _update_busy(self, utilisation: float | None) -> None:
        settings = self.settings
        limit = settings.calm_below if self._is_busy else settings.busy_from
        self._is_busy = utilisation is not None and utilisation > limit

    def _rank(self, names: Collection[str]) -> list[str]:
        return rendezvous_rank(f"followers/{self.zone}", {self.own, *names})

    def _next_role(
        self, peers: Collection[str], good: Collection[str], now_s: float
    ) -> Role:
        ranked = self._rank({*peers, *good})
        first = ranked[: self.settings.followers_per_zone]
        is_selected = self.own in first
        if is_selected and not self._is_busy:
            self._fallback_at_s = None
            return Role.SELECTED
        if not good:
            return self._without_others(is_selected, now_s)
        self._fallback_at_s = None
        if is_selected and self.role.watches:
            # `good` holds routers that became busy in the same tick, until they say so.
            return self._relieve(now_s)
        if self.role.watches and self.role is not Role.ALONE:
            # Several routers may watch that are not among the first, or no longer: the
            # first of them in rank goes on.
            before = {*first, *ranked[: ranked.index(self.own)]}
            return Role.RELYING if before & set(good) else Role.FALLBACK
        return Role.RELYING

    def _relieve(self, now_s: float) -> Role:
        """Return the role of a busy router that is one of the first and watches."""
        if self.role is not Role.RELIEVED:
            self._relieved_s = now_s
        is_over = now_s - self._relieved_s >= self.settings.relief_s
        return Role.RELYING if is_over else Role.RELIEVED

    def _without_others(self, is_selected: bool, now_s: float) -> Role:
        if self.role is Role.SELECTED or (self.role is Role.RELIEVED and is_selected):
            if not is_selected:
                return Role.FALLBACK
            if self.role is Role.SELECTED:
                self._relieved_s = now_s
            return Role.RELIEVED
        if self.role.watches:
            return Role.FALLBACK
        if self._fallback_at_s is None:
            spread_s = self.settings.resume_spread_s
            # Busy routers begin after those that have time.
            earliest_s = now_s + (spread_s if self._is_busy else 0.0)
            self._fallback_at_s = earliest_s + self.rng.uniform(0.0, spread_s)
        return Role.RELYING if now_s < self._fallback_at_s else Role.FALLBACK
