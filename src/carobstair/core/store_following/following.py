"""What one router knows of the routers that watch, and what follows from it."""

from __future__ import annotations

import math
import random
from collections.abc import Collection, Iterable, Sequence
from dataclasses import dataclass, field

from carobstair.core.fleet_view import StateKind, StoreAvailability
from carobstair.core.follow_messages import FollowNews
from carobstair.core.messages import StateNews, StatePull
from carobstair.core.store_following.announcers import Announced, Announcers
from carobstair.core.store_following.duty import Role, WatchDuty
from carobstair.core.store_following.pulls import PullPlan
from carobstair.core.store_following.read_stamps import ReadStamps
from carobstair.core.store_following.settings import FollowingSettings
from carobstair.core.store_stamp import Stamp

__all__ = ["URGENT_KINDS", "NewsEffect", "StoreFollowing"]

# Kinds that must be in effect within 2 s of the store's answer.
URGENT_KINDS = frozenset(
    {
        StateKind.ROUTING,
        StateKind.UPSTREAMS,
        StateKind.EVACUATIONS,
        StateKind.ROLLOUTS,
    }
)
# Part by which waits are shortened at random, so that those of several kinds and
# routers end at different times.
WAIT_JITTER = 0.2


@dataclass(frozen=True, slots=True)
class NewsEffect:
    """What an announcement requires of the router.

    Attributes
    ----------
    newer_era : int or None
        Era of the store if it is newer than any that this router has read.
    verify : bool
        Whether to check that the store still answers this router.
    is_steady : bool or None
        Whether removals may be applied at once, if that has changed.
    """

    newer_era: int | None = None
    verify: bool = False
    is_steady: bool | None = None


@dataclass(slots=True)
class StoreFollowing:
    """Decides whether this router watches, what it announces and what it pulls.

    Off until `enable` is called; the router then watches as if it were alone.

    Parameters
    ----------
    own : str
    zone : str
    kinds : sequence of StateKind
    settings : FollowingSettings
    availability : StoreAvailability
    rng : random.Random
    """

    own: str
    zone: str
    kinds: Sequence[StateKind]
    settings: FollowingSettings
    availability: StoreAvailability
    rng: random.Random
    is_enabled: bool = False
    reads: ReadStamps = field(default_factory=ReadStamps)
    duty: WatchDuty = field(init=False)
    pulls: PullPlan = field(init=False)
    announcers: Announcers = field(init=False)
    _announced_s: float = -math.inf
    # Whether the store answers, is steady, and the router is relieved, as announced.
    _announced: tuple[bool, bool, bool] = (False, False, False)
    _has_changes: bool = False
    _verified_s: float = -math.inf
    # By kind, since when its calls have failed, and since when an answer is expected.
    _failing_since_s: dict[StateKind, float] = field(default_factory=dict)
    _expected_since_s: dict[StateKind, float] = field(default_factory=dict)

    def __post_init__(self) -> None:
        settings, rng = self.settings, self.rng
        self.duty = WatchDuty(self.own, self.zone, settings, rng)
        self.pulls = PullPlan(self.kinds, self.reads, settings, rng)
        self.announcers = Announcers(settings)

    @property
    def watches(self) -> bool:
        """Whether this router is to watch the store."""
        return not self.is_enabled or self.duty.role.watches

    def update(
        self, peers: Collection[str], utilisation: float | None, now_s: float
    ) -> bool:
        """Decide on the role of this router; return whether it changed.

        Parameters
        ----------
        peers : collection of str
            Routers of the zone that are heard.
        """
        if not self.watches:
            # What was true of calls made before says nothing of the next ones.
            self._failing_since_s.clear()
            self._expected_since_s.clear()
        return self.duty.update(
            all(self.reads.read(kind) is not None for kind in self.kinds),
            peers,
            self.announcers.good(now_s),
            utilisation,
            self.pulls.alone_until_s,
            now_s,
        )

    # Calls of the store

    def note_success(self, kind: StateKind) -> None:
        """Record that the store answered a call."""
        self._failing_since_s.pop(kind, None)
        self._expected_since_s.pop(kind, None)

    def note_failure(self, kind: StateKind, timed_out: bool, now_s: float) -> None:
        """Record that a call failed."""
        if kind not in URGENT_KINDS:
            return
        # A call that timed out has been late for 0.8 s already: the store counts as not
        # answering at once.
        since_s = now_s - self.settings.failing_for_s if timed_out else now_s
        known_s = self._failing_since_s.get(kind, now_s)
        self._failing_since_s[kind] = min(since_s, known_s)

    def expect_answers(self, kinds: Iterable[StateKind], now_s: float) -> None:
        """Record that calls which return at once check the store."""
        for kind in kinds:
            self._expected_since_s.setdefault(kind, now_s)

    # Waits and pauses of the watches

    def is_first(self, now_s: float) -> bool:
        """Return whether no router on which others rely ranks before this one."""
        return self.duty.is_first(self.announcers.good(now_s))

    def watch_wait_s(self, kind: StateKind, now_s: float) -> float | None:
        """Return the wait of the next watch, or None for that of a rare kind."""
        if kind not in URGENT_KINDS:
            return None
        settings = self.settings
        if self.is_first(now_s):
            longest_s = settings.first_wait_s
        elif kind is StateKind.UPSTREAMS:
            longest_s = settings.other_upstreams_wait_s
        else:
            longest_s = settings.other_wait_s
        return longest_s * self.rng.uniform(1.0 - WAIT_JITTER, 1.0)

    def start_pause_s(self) -> float:
        """Return the pause between a list and the watch that follows."""
        return self.settings.start_pause_s * self.rng.uniform(0.5, 1.0)

    def pause_s(self, kind: StateKind, now_s: float) -> float | None:
        """Return the pause after a watch with changes, or None for the usual one."""
        settings = self.settings
        if kind is StateKind.ROUTERS:
            return settings.routers_pause_s
        if kind is not StateKind.UPSTREAMS:
            return None
        return (
            settings.first_pause_s if self.is_first(now_s) else settings.other_pause_s
        )

    # Announcements

    def note_changes_read(self) -> None:
        """Record that a list or a watch has returned changes."""
        self._has_changes = True

    def announcement_due_s(self, now_s: float) -> float:
        """Return the time of the next announcement; infinite if there is none."""
        role, settings = self.duty.role, self.settings
        if not (self.is_enabled and role.watches):
            return math.inf
        condition = self._condition(now_s)
        if self._has_changes or condition != self._announced:
            return self._announced_s + settings.announce_gap_s
        if not condition[0] and role in (Role.ALONE, Role.FALLBACK):
            # While the store is down, all routers watch.
            return math.inf
        return self._announced_s + settings.announce_every_s

    def announce(self, now_s: float) -> FollowNews:
        """Return the announcement that is due."""
        self._announced_s, self._has_changes = now_s, False
        self._announced = self._condition(now_s)
        reads = self.reads
        own = [reads.read(kind) or Stamp(0, 0) for kind in self.kinds]
        return FollowNews(
            [stamp.era for stamp in own],
            [reads.changed(kind).revision for kind in self.kinds],
            [stamp.revision for stamp in own],
            *self._announced,
        )

    def _condition(self, now_s: float) -> tuple[bool, bool, bool]:
        return (
            self._store_answers(now_s),
            self.availability.grace_until_s(now_s) is None,
            self.duty.role is Role.RELIEVED,
        )

    def _store_answers(self, now_s: float) -> bool:
        settings, availability = self.settings, self.availability
        if any(self.reads.read(kind) is None for kind in self.kinds):
            return False
        if now_s - availability.last_success_s > settings.answered_within_s:
            return False
        expected_s = min(self._expected_since_s.values(), default=now_s)
        if now_s - expected_s > settings.verify_for_s:
            return False
        # Another kind that is answered must not hide that an urgent one is not.
        failing_s = now_s - min(self._failing_since_s.values(), default=now_s)
        failing_s = max(failing_s, availability.failing_for_s(now_s))
        if not failing_s:
            return True
        # A second router without answers shows that it is not a single call.
        return not self.announcers.has_complaint(now_s) and (
            failing_s < settings.failing_for_s
        )

    def on_news(
        self, sender: str, news: FollowNews, peer_count: int, now_s: float
    ) -> NewsEffect:
        """Take note of an announcement."""
        if not self.is_enabled or sender == self.own:
            return NewsEffect()
        announced = Announced.of(news, self.kinds, now_s)
        has_lost_store = self.announcers.note(sender, announced)
        self._take_over_quiet(announced)
        self.pulls.note_news(announced, peer_count, self.duty.role.watches, now_s)
        steady = None
        if not self.duty.role.watches:
            steady = self.announcers.is_steady(now_s)
            if steady is not None and not self.availability.follow(steady, now_s):
                steady = None
        return NewsEffect(
            self._newer_era(announced),
            has_lost_store and self._must_verify(now_s),
            steady,
        )

    def _take_over_quiet(self, announced: Announced) -> None:
        """Move the own stamps over revisions in which a kind did not change.

        A router that stops watching thus keeps stamps of which the store still has
        the later changes, and may resume at any time.
        """
        for kind, through in announced.read.items():
            since = announced.changed.get(kind, through)
            self.reads.note_changes(kind, since, through, False)

    def _newer_era(self, announced: Announced) -> int | None:
        own = [self.reads.read(kind) for kind in self.kinds]
        own_era = max((stamp.era for stamp in own if stamp is not None), default=None)
        era = max((stamp.era for stamp in announced.read.values()), default=0)
        return era if own_era is not None and era > own_era else None

    def _must_verify(self, now_s: float) -> bool:
        """Return whether to check the store, as another router has no answers.

        A watch of this router may wait for an answer that never comes.
        """
        if not self.duty.role.watches:
            return False
        if now_s - self._verified_s < self.settings.verify_every_s:
            return False
        self._verified_s = now_s
        return True

    # Pulls

    def next_pull(self, now_s: float) -> tuple[str, StatePull] | None:
        """Return the receiver and the pull that is due, or None."""
        if not self.is_enabled:
            return None
        source = self.pulls.next_source(self.announcers.fresh(now_s), now_s)
        if source is None:
            return None
        own = {kind: self.reads.read(kind) or Stamp(0, 0) for kind in self.kinds}
        return source, StatePull(
            {kind.value: stamp.revision for kind, stamp in own.items()},
            {kind.value: stamp.era for kind, stamp in own.items()},
            True,
        )

    def on_answer(self, sender: str, news: StateNews, now_s: float) -> bool:
        """Record an answer that was applied; return whether anything new was read."""
        kind, through = StateKind(news.kind), Stamp(*news.through)
        before = self.reads.read(kind)
        if news.complete_at is not None:
            if before is None or through > before:
                self.reads.note_list(kind, through)
        else:
            has_rows = bool(news.rows)
            self.reads.note_changes(kind, Stamp(*news.since), through, has_rows)
        progressed = self.reads.read(kind) != before
        fresh = self.announcers.fresh(now_s)
        self.pulls.note_answer(sender, kind, progressed, fresh, now_s)
        return progressed
