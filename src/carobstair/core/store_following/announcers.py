"""Routers of the zone that announce what they read from the store."""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass, field

from carobstair.core.fleet_view import StateKind
from carobstair.core.follow_messages import FollowNews
from carobstair.core.store_following.settings import FollowingSettings
from carobstair.core.store_stamp import Stamp

__all__ = ["Announced", "Announcers"]


@dataclass(frozen=True, slots=True)
class Announced:
    """The last announcement of a router.

    Attributes
    ----------
    changed, read : dict
        Stamps by kind; see `FollowNews`.
    has_all_kinds : bool
        Whether the sender follows every kind that this router follows.
    """

    changed: dict[StateKind, Stamp]
    read: dict[StateKind, Stamp]
    answers: bool
    steady: bool
    is_busy: bool
    heard_s: float
    has_all_kinds: bool = True

    @classmethod
    def of(
        cls, news: FollowNews, kinds: Sequence[StateKind], now_s: float
    ) -> Announced:
        """Return the announcement of a message, for the kinds that both sides know."""
        changed = zip(kinds, map(Stamp, news.eras, news.changed), strict=False)
        read = zip(kinds, map(Stamp, news.eras, news.read), strict=False)
        return cls(
            dict(changed),
            dict(read),
            news.answers,
            news.steady,
            news.is_busy,
            now_s,
            min(len(news.eras), len(news.changed), len(news.read)) >= len(kinds),
        )

    @property
    def is_good(self) -> bool:
        """Whether this router may rely on the sender.

        It would never learn of changes of a kind that the sender does not follow.
        """
        return self.answers and not self.is_busy and self.has_all_kinds


@dataclass(slots=True)
class Announcers:
    """Last announcement of each router, until it is too old."""

    settings: FollowingSettings
    _heard: dict[str, Announced] = field(default_factory=dict)

    def note(self, sender: str, announced: Announced) -> bool:
        """Record an announcement; return whether the sender has lost the store."""
        known = self._heard.get(sender)
        self._heard[sender] = announced
        return known is not None and known.answers and not announced.answers

    def fresh(self, now_s: float) -> dict[str, Announced]:
        """Return the announcements that are not too old, by sender."""
        since_s = now_s - self.settings.silence_s
        for sender, announced in list(self._heard.items()):
            if announced.heard_s < since_s:
                del self._heard[sender]
        return self._heard

    def good(self, now_s: float) -> list[str]:
        """Return the routers that others may rely on."""
        return [name for name, a in self.fresh(now_s).items() if a.is_good]

    def has_complaint(self, now_s: float) -> bool:
        """Return whether the store does not answer some of the routers that watch."""
        return not all(a.answers for a in self.fresh(now_s).values())

    def is_steady(self, now_s: float) -> bool | None:
        """Return whether removals may be applied at once; None if nobody says so."""
        states = [a.steady for a in self.fresh(now_s).values() if a.answers]
        # A follower whose call was pending during a short outage has not noticed it.
        return all(states) if states else None
