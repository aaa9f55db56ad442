"""Decides what evidence a router sends to whom."""

from __future__ import annotations

import math
from collections import OrderedDict
from collections.abc import Collection, Iterable, Mapping
from dataclasses import dataclass, field

import msgspec

from carobstair.core.evidence_messages import (
    EvidenceAck,
    EvidenceItem,
    EvidenceNews,
    SegmentEvidence,
)
from carobstair.core.evidence_routing.collected_evidence import (
    CollectedEvidence,
    size,
)
from carobstair.core.evidence_routing.news_outbox import NewsOutbox, Receivers
from carobstair.core.evidence_routing.passed_ends import PassedEnds
from carobstair.core.evidence_routing.routing_settings import RoutingSettings
from carobstair.core.share_collector import ranked_collectors

__all__ = ["EvidenceRouter", "LearntEvidence"]

# To whom receivers pass items on; see `EvidenceNews`.
TO_NOBODY, TO_ZONE, TO_ALL = 0, 1, 2

ItemKey = tuple[str, int, int, int]
"""Source, incarnation and sequence of an item, and the number of a remnant of it."""

EvidenceMessage = tuple[Collection[str], msgspec.Struct]
"""Receivers and payload of a message."""


@dataclass(frozen=True, slots=True)
class LearntEvidence:
    """An item that this router did not know.

    Attributes
    ----------
    source : str
        Router that learnt it first.
    age_s : float
        How long ago it did.
    ages_s : list of float
        The same for each of the ends.
    """

    source: str
    evidence: SegmentEvidence
    age_s: float
    ages_s: list[float]


@dataclass(frozen=True, slots=True)
class _Held:
    """An item with the time at which its source sent it, by this router's clock."""

    item: EvidenceItem
    at_s: float

    def aged(self, at_s: float) -> EvidenceItem:
        """Return the item as of the time at which it arrives."""
        return msgspec.structs.replace(self.item, age_s=at_s - self.at_s)


@dataclass(slots=True)
class EvidenceRouter:
    """One router's part in passing on evidence.

    Parameters
    ----------
    name, zone : str
    incarnation : int
        Of this process.
    settings : RoutingSettings
    """

    name: str
    zone: str
    incarnation: int
    settings: RoutingSettings = RoutingSettings()
    _own: CollectedEvidence = field(default_factory=CollectedEvidence)
    _outbox: NewsOutbox = field(init=False)
    _sequence: int = 0
    # How far each item was passed on.
    _known: OrderedDict[ItemKey, int] = field(default_factory=OrderedDict)
    _kept: OrderedDict[ItemKey, _Held] = field(default_factory=OrderedDict)
    _for_zone: dict[ItemKey, _Held] = field(default_factory=dict)
    _for_others: dict[ItemKey, _Held] = field(default_factory=dict)
    _learnt: PassedEnds = field(init=False)
    _remnants: int = 0
    _passed_to_zone: PassedEnds = field(init=False)
    _passed_to_others: PassedEnds = field(init=False)
    # Routers that are heard again and may have missed items.
    _returned: set[str] = field(default_factory=set)
    _told_sound_s: OrderedDict[str, float] = field(default_factory=OrderedDict)
    _dropped: int = 0
    _due_s: float | None = None
    _sent_s: float = -math.inf

    def __post_init__(self) -> None:
        self._outbox = NewsOutbox(self.settings)
        self._learnt = PassedEnds(self.settings)
        self._passed_to_zone = PassedEnds(self.settings)
        self._passed_to_others = PassedEnds(self.settings)

    def announce(self, evidence: SegmentEvidence, now_s: float) -> None:
        """Collect what this router has learnt."""
        self._note_sound(evidence.sound, now_s)
        self._own.add(evidence, now_s)
        self._schedule(now_s)

    def confirm_sound(self, segments: Iterable[str], now_s: float) -> None:
        """Announce segments that a peer suspects as sound, unless all were just told.

        Many routers know the same ones.
        """
        since_s = now_s - self.settings.sound_s
        told_s = self._told_sound_s
        untold = [s for s in segments if told_s.get(s, -math.inf) < since_s]
        if untold:
            self.announce(SegmentEvidence(sound=untold), now_s)

    def note_returned(self, peer: str, now_s: float) -> None:
        """Record that a router is heard which may have missed items."""
        self._returned.add(peer)
        self._schedule(now_s)

    def on_news(self, news: EvidenceNews, now_s: float) -> list[LearntEvidence]:
        """Return what is new in a message, in the order in which it was learnt."""
        learnt: list[_Held] = []
        for item in news.items:
            key = item.source, item.incarnation, item.sequence, 0
            if (item.source, item.incarnation) == (self.name, self.incarnation):
                continue
            at_s = now_s - max(0.0, item.age_s) - max(0.0, news.held_s)
            held = _Held(item, at_s)
            is_known = key in self._known
            fresh = self._learnt.trim(item)
            if is_known:
                fresh = _only_ends(fresh)
            else:
                self._keep(key, held, now_s)
            if fresh is not None:
                learnt.append(_Held(fresh, at_s))
            if is_known and fresh is not None and news.reach <= self._known[key]:
                # Each collector drops other rows of an item.
                self._remnants += 1
                key, held = (*key[:3], self._remnants), learnt[-1]
                self._keep(key, held, now_s)
            self._pass_on(key, held, news.reach, now_s)
        learnt.sort(key=lambda held: held.at_s)
        found = []
        for held in learnt:
            self._note_sound(held.item.evidence.sound, now_s)
            age_s = now_s - held.at_s
            ages_s = [age_s + max(0.0, end_s) for end_s in held.item.ages_s]
            found.append(
                LearntEvidence(held.item.source, held.item.evidence, age_s, ages_s)
            )
        return found

    def on_ack(self, sender: str, ack: EvidenceAck, now_s: float) -> None:
        """Record that a router has received a message."""
        self._outbox.on_ack(sender, ack, now_s)

    def due_s(self) -> float | None:
        """Return when `tick` is due, or None while there is nothing to send."""
        times_s = [s for s in (self._due_s, self._outbox.due_s()) if s is not None]
        return min(times_s, default=None)

    def tick(
        self,
        routers: Mapping[str, Collection[str]],
        others: Collection[str],
        now_s: float,
    ) -> list[EvidenceMessage]:
        """Return the messages that are due.

        Parameters
        ----------
        routers : mapping
            Names of the routers that are heard and take `EvidenceNews`, by zone,
            without this one.
        others : collection of str
            Names of further routers, such as those of older releases or not heard
            yet; they get what this router learnt itself.
        """
        messages: list[EvidenceMessage] = list(self._outbox.resend(now_s))
        for news in self._outbox.take_unanswered():
            self._replace_collectors(news, now_s)
        if self._due_s is None or now_s < self._due_s:
            return messages
        self._due_s, self._sent_s = None, now_s
        own_zone = ranked_collectors(
            self.zone, [*routers.get(self.zone, ()), self.name]
        )
        collectors = own_zone[: self.settings.candidates]
        if self._own:
            evidence, ages_s = self._own.take(now_s, self.settings.max_segments)
            if others:
                messages.append((others, evidence))
            messages += self._send_own(evidence, ages_s, routers, own_zone, now_s)
        zone_names = set(routers.get(self.zone, ()))
        items = self._take(self._for_zone, now_s, self._passed_to_zone)
        messages += self._outbox.send(items, TO_NOBODY, [Receivers(zone_names)], now_s)
        items = self._take(self._for_others, now_s, self._passed_to_others)
        groups = [
            Receivers.ranked(ranked_collectors(zone, names), self.settings)
            for zone, names in routers.items()
            if zone != self.zone
        ]
        messages += self._outbox.send(items, TO_ZONE, groups, now_s)
        messages += self._send_kept(routers, collectors, now_s)
        if self._own or self._for_zone or self._for_others:
            self._schedule(now_s)
        return messages

    def _send_own(
        self,
        evidence: SegmentEvidence,
        ages_s: list[float],
        routers: Mapping[str, Collection[str]],
        own_zone: list[str],
        now_s: float,
    ) -> list[EvidenceMessage]:
        self._sequence += 1
        item = EvidenceItem(
            self.name, self.incarnation, self._sequence, 0.0, evidence, ages_s
        )
        key = self.name, self.incarnation, self._sequence, 0
        held = _Held(item, now_s)
        self._keep(key, held, now_s)
        if self._is_small(routers):
            names = {name for names in routers.values() for name in names}
            items = [held.aged(now_s + self._outbox.transit_s)]
            return self._outbox.send(items, TO_NOBODY, [Receivers(names)], now_s)
        receivers = Receivers.ranked(own_zone, self.settings)
        receivers.must_answer = True
        if self.name in receivers.waiting:
            # The other collector too, as this router may end.
            receivers.waiting.discard(self.name)
            self._pass_on(key, held, TO_ALL, now_s)
        receivers.spares = [name for name in receivers.spares if name != self.name]
        items = [held.aged(now_s + self._outbox.transit_s)]
        return self._outbox.send(items, TO_ALL, [receivers], now_s)

    def _replace_collectors(self, news: EvidenceNews, now_s: float) -> None:
        """Pass on own items that none of the collectors has acknowledged."""
        for item in news.items:
            key = item.source, item.incarnation, item.sequence, 0
            held = self._kept.get(key)
            if held is not None:
                self._pass_on(key, held, TO_ALL, now_s)

    def _send_kept(
        self,
        routers: Mapping[str, Collection[str]],
        collectors: list[str],
        now_s: float,
    ) -> list[EvidenceMessage]:
        """Send the items that are kept to routers that are heard again."""
        returned, self._returned = self._returned, set()
        self._expire(now_s)
        if not returned or not self._kept:
            return []
        by_reach: dict[int, set[str]] = {}
        for zone, names in routers.items():
            ranked = ranked_collectors(zone, names)[: self.settings.candidates]
            for name in returned & set(names):
                reach = self._reach_of(name, zone, ranked, collectors)
                if self._is_small(routers):
                    reach = TO_NOBODY
                if reach is not None:
                    by_reach.setdefault(reach, set()).add(name)
        newest: dict[ItemKey, _Held] = dict(reversed(self._kept.items()))
        items = self._take(newest, now_s)[::-1]
        messages: list[EvidenceMessage] = []
        for reach, names in by_reach.items():
            messages += self._outbox.send(items, reach, [Receivers(names)], now_s)
        return messages

    def _reach_of(
        self, name: str, zone: str, ranked: list[str], collectors: list[str]
    ) -> int | None:
        """Return how far a router that is heard again passes items on.

        None if others send them to it.
        """
        if zone == self.zone and name in collectors:
            return TO_ALL
        if self.name not in collectors:
            return None
        if zone == self.zone:
            return TO_NOBODY
        return TO_ZONE if name in ranked else None

    def _is_small(self, routers: Mapping[str, Collection[str]]) -> bool:
        count = sum(len(names) for names in routers.values())
        return count <= self.settings.direct_routers

    def _pass_on(self, key: ItemKey, held: _Held, reach: int, now_s: float) -> None:
        passed = self._known.get(key, TO_NOBODY)
        if reach > passed:
            self._known[key] = reach
            if passed < TO_ZONE:
                self._wait(self._for_zone, key, held)
            if reach >= TO_ALL:
                self._wait(self._for_others, key, held)
            self._schedule(now_s)

    def _wait(self, queue: dict[ItemKey, _Held], key: ItemKey, held: _Held) -> None:
        queue[key] = held
        if len(queue) > self.settings.max_waiting:
            del queue[next(iter(queue))]
            self._dropped += 1

    def take_dropped(self) -> int:
        """Return how many items were not passed on since the last call."""
        dropped, self._dropped = self._dropped, 0
        return dropped

    def _take(
        self,
        queue: dict[ItemKey, _Held],
        now_s: float,
        passed: PassedEnds | None = None,
    ) -> list[EvidenceItem]:
        """Remove the first items of a queue, up to the size of a message.

        Parameters
        ----------
        passed : PassedEnds, optional
            What their receivers have been sent before.
        """
        items: list[EvidenceItem] = []
        arrives_s = now_s + self._outbox.transit_s
        room = self.settings.max_segments
        for key in list(queue):
            if room <= 0:
                break
            item = queue.pop(key).aged(arrives_s)
            if passed is not None:
                item = passed.trim(item)
            if item is not None:
                room -= size(item.evidence)
                items.append(item)
        return items

    def _keep(self, key: ItemKey, held: _Held, now_s: float) -> None:
        self._known[key] = TO_NOBODY
        self._kept[key] = held
        self._expire(now_s)

    def _expire(self, now_s: float) -> None:
        settings = self.settings
        while len(self._known) > settings.max_known:
            self._known.popitem(last=False)
        while self._kept:
            oldest = next(iter(self._kept.values()))
            full = len(self._kept) > settings.max_kept
            if not full and now_s - oldest.at_s <= settings.kept_s:
                break
            self._kept.popitem(last=False)

    def _note_sound(self, segments: Iterable[str], now_s: float) -> None:
        for segment in segments:
            self._told_sound_s[segment] = now_s
            self._told_sound_s.move_to_end(segment)
        while self._told_sound_s:
            at_s = next(iter(self._told_sound_s.values()))
            if now_s - at_s <= self.settings.sound_s:
                break
            self._told_sound_s.popitem(last=False)

    def _schedule(self, now_s: float) -> None:
        if self._due_s is None:
            settings = self.settings
            first_s = now_s + settings.first_delay_s
            self._due_s = max(first_s, self._sent_s + settings.delay_s)


def _only_ends(item: EvidenceItem | None) -> EvidenceItem | None:
    """Return an item without what is the same in all its versions."""
    if item is None or not item.evidence.ends:
        return None
    evidence = item.evidence
    evidence = SegmentEvidence(evidence.ends, delays_s=evidence.delays_s)
    return msgspec.structs.replace(item, evidence=evidence)
