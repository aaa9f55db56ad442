"""Decides when, and from which router, changes are pulled."""

from __future__ import annotations

import math
import random
from collections.abc import Mapping, Sequence
from dataclasses import dataclass, field

from carobstair.core.fleet_view import StateKind
from carobstair.core.store_following.announcers import Announced
from carobstair.core.store_following.read_stamps import ReadStamps
from carobstair.core.store_following.settings import FollowingSettings
from carobstair.core.store_stamp import Stamp

__all__ = ["PullPlan"]

NOTHING = Stamp(0, 0)


@dataclass(slots=True)
class PullPlan:
    """One pull at a time, from a random router of those that are ahead.

    Parameters
    ----------
    kinds : sequence of StateKind
    reads : ReadStamps
    settings : FollowingSettings
    rng : random.Random

    Attributes
    ----------
    due_s : float
        Time of the next pull; infinite if there is nothing to pull.
    alone_until_s : float
        Time until which the router does not rely on others, as it stayed behind.
    """

    kinds: Sequence[StateKind]
    reads: ReadStamps
    settings: FollowingSettings
    rng: random.Random
    due_s: float = math.inf
    alone_until_s: float = -math.inf
    _behind_since_s: dict[StateKind, float] = field(default_factory=dict)
    # The router whose answer is awaited, or none.
    _awaited: str = ""
    # Routers that did not answer.
    _silent: set[str] = field(default_factory=set)

    def ahead(self, announced: Announced) -> list[StateKind]:
        """Return the kinds of which the sender knows changes that are missing here."""
        changed = announced.changed
        return [k for k in self.kinds if changed.get(k, NOTHING) > self._own(k)]

    def _own(self, kind: StateKind) -> Stamp:
        return self.reads.read(kind) or NOTHING

    def note_news(
        self, announced: Announced, peer_count: int, watches: bool, now_s: float
    ) -> None:
        """Plan a pull if the sender is ahead.

        Parameters
        ----------
        peer_count : int
            Number of routers of the zone, which hear the same.
        watches : bool
            Whether this router watches the store itself.
        """
        ahead = self.ahead(announced)
        for kind in ahead:
            self._behind_since_s.setdefault(kind, now_s)
        if not ahead or self.due_s < math.inf:
            return
        settings = self.settings
        delay_s = self.rng.uniform(0.0, settings.pull_spread_s * (peer_count + 1))
        if any(announced.changed[k].era > self._own(k).era for k in ahead) or any(
            self.reads.read(k) is None for k in ahead
        ):
            # This router is about to list.
            delay_s += settings.relist_first_s
        elif watches:
            delay_s += settings.follower_pull_delay_s
        self.due_s = now_s + delay_s

    def next_source(self, fresh: Mapping[str, Announced], now_s: float) -> str | None:
        """Return the router to pull from now, or None."""
        if now_s < self.due_s:
            return None
        if self._awaited:
            self._silent.add(self._awaited)
            self._awaited = ""
        if not self._update_behind(fresh, now_s):
            return None
        longest_s = now_s - min(self._behind_since_s.values())
        if longest_s >= self.settings.alone_after_s:
            self.alone_until_s = now_s + self.settings.alone_for_s
        ahead = {name: len(self.ahead(a)) for name, a in fresh.items()}
        most = max(ahead.values())
        sources = sorted(name for name, count in ahead.items() if count == most)
        untried = [name for name in sources if name not in self._silent]
        if not untried:
            self._silent.clear()
        self._awaited = self.rng.choice(untried or sources)
        self.due_s = now_s + self.settings.pull_timeout_s
        return self._awaited

    def note_answer(
        self,
        sender: str,
        kind: StateKind,
        has_progressed: bool,
        fresh: Mapping[str, Announced],
        now_s: float,
    ) -> None:
        """Continue after an answer was applied.

        Parameters
        ----------
        has_progressed : bool
            Whether the kind is known up to a later stamp than before.
        """
        was_awaited = sender == self._awaited
        if was_awaited:
            self._awaited = ""
        self._silent.discard(sender)
        if has_progressed:
            self._behind_since_s.pop(kind, None)
        if not self._update_behind(fresh, now_s):
            return
        if kind in self._behind_since_s and has_progressed:
            # The answer had too many changes for one message, or there are newer ones.
            self.due_s = now_s
        elif was_awaited:
            self.due_s = min(self.due_s, now_s + self.settings.pull_rest_s)

    def _update_behind(self, fresh: Mapping[str, Announced], now_s: float) -> bool:
        """Compare with the announcements; return whether anything is missing."""
        behind = {
            kind for announced in fresh.values() for kind in self.ahead(announced)
        }
        since_s = self._behind_since_s
        self._behind_since_s = {kind: since_s.get(kind, now_s) for kind in behind}
        if not behind:
            self.due_s = math.inf
            self._awaited = ""
            self._silent.clear()
        return bool(behind)
