"""Prompt segments that are refused because upstreams ended under them."""

from __future__ import annotations

import math
from collections import OrderedDict
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field, replace
from itertools import cycle

from carobstair.core.evidence_settings import EvidenceSettings
from carobstair.core.segment_record import Incarnation, SegmentRecord
from carobstair.core.segment_suspects import Observation, Suspect

__all__ = [
    "Incarnation",
    "RefusedSegment",
    "SegmentChange",
    "SegmentRefusals",
]

# Upstreams that are kept for each segment as having outlived it.
MAX_SURVIVORS = 64
# Changes that wait to be logged and sent; of more than this in one turn, only those of
# what is refused are kept.
MAX_CHANGES = 256
KEPT_KINDS = ("refused", "explained", "cleared")
# Trials that other routers have told of before the refusal was known here: it takes
# another way, and arrives within a second even if messages are lost.
MAX_EARLY_TRIALS = 256
EARLY_TRIAL_S = 2.0


@dataclass(frozen=True, slots=True)
class SegmentChange:
    """A change of what is known of a segment, for logs and peers.

    Attributes
    ----------
    kind : str
        ``suspected``, ``refused``, ``explained`` if the ends are put down to
        another segment, ``survived`` if an upstream has outlived an answer to it by
        more than the ends took, or ``cleared``.
    ends : int
        Number of upstreams that have ended under the segment.
    upstream : Incarnation or None
        The upstream whose end was counted.
    request_id : str
        The request that had been sent there.
    source : str
        Peer that reported it, or empty if this router saw it.
    delay_s : float
        Time from the first byte of the answer to the end of the upstream.
    """

    kind: str
    segment: str
    ends: int
    upstream: Incarnation | None = None
    request_id: str = ""
    source: str = ""
    delay_s: float = 0.0


@dataclass(frozen=True, slots=True)
class RefusedSegment:
    """Why a request is refused.

    Attributes
    ----------
    upstreams : tuple of str
        Ids of upstreams that ended under the segment.
    since_s : float
        How long the segment has been refused.
    retry_after_s : float
        Time until the segment may be tried again.
    """

    segment: str
    upstreams: tuple[str, ...]
    since_s: float
    retry_after_s: float


@dataclass(slots=True)
class SegmentRefusals:
    """Ends of upstreams by segment, sound segments, and those that are refused."""

    settings: EvidenceSettings = EvidenceSettings()
    # Returns what this router knows of upstreams that answered a segment.
    observe: Callable[[str, SegmentRecord, float], Observation] = lambda *args: (
        Observation()
    )
    _records: OrderedDict[str, SegmentRecord] = field(default_factory=OrderedDict)
    _refused: dict[str, SegmentRecord] = field(default_factory=dict)
    _sound: OrderedDict[str, float] = field(default_factory=OrderedDict)
    # The last change that may alter which segments are refused.
    _unsettled: SegmentChange | None = None
    _changes: list[SegmentChange] = field(default_factory=list)
    # Times of trials of segments that are not refused here yet.
    _early_trials_s: OrderedDict[str, float] = field(default_factory=OrderedDict)

    def count(
        self,
        upstream: Incarnation,
        request_id: str,
        segments: Iterable[str],
        now_s: float,
        source: str = "",
        sent_s: float = -math.inf,
        delay_s: float = 0.0,
    ) -> None:
        """Count the end of an upstream against segments; call `settle` after all.

        Parameters
        ----------
        request_id : str
            Request that had been sent to the upstream.
        source : str
            Peer that reported it, or empty if this router saw it.
        sent_s : float
            Time at which the request was sent, if known.
        delay_s : float
            Time from the first byte of the answer to the end.
        """
        for segment in segments:
            if segment in self._sound:
                continue
            record = self._records.setdefault(segment, SegmentRecord())
            self._records.move_to_end(segment)
            record.updated_s = now_s
            if not record.add_end(
                upstream, request_id, sent_s, now_s, delay_s, self.settings
            ):
                continue
            ends = len(record.ends)
            change = SegmentChange(
                "suspected", segment, ends, upstream, request_id, source, delay_s
            )
            self._note_change(change)
            if record.suffices(self.settings):
                self._unsettled = change
        while len(self._records) > self.settings.max_segments:
            self._drop_oldest()

    def settle(self, now_s: float) -> None:
        """Refuse the segments that explain all ends best.

        An end counts against the segment with the most ends only; the others of its
        prompts are refused if enough of their ends are left. Called after all that
        an end broke off has been counted.
        """
        cause, self._unsettled = self._unsettled, None
        if cause is None:
            return
        suspects = self._suspects(now_s)
        explained: set[Incarnation] = set()
        refused: dict[str, SegmentRecord] = {}
        for suspect in suspects:
            if suspect.has_enough(explained) or suspect.record.by_operator:
                explained |= suspect.record.ends.keys()
                refused[suspect.segment] = suspect.record
        new = refused.keys() - self._refused.keys()
        for segment in new:
            record = refused[segment]
            record.refused_since_s = now_s
            ends = len(record.ends)
            change = replace(cause, kind="refused", segment=segment, ends=ends)
            self._note_change(change)
        for segment in self._refused.keys() - refused.keys():
            ends = len(self._refused[segment].ends)
            change = replace(cause, kind="explained", segment=segment, ends=ends)
            self._note_change(change)
        self._refused = refused
        others = [s for s in suspects if s.segment not in refused and not s.survivors]
        for suspect in suspects:
            if suspect.segment in refused:
                suspect.record.alternatives = suspect.shared_ends(others)
        for segment in new:
            at_s = self._early_trials_s.pop(segment, -math.inf)
            if now_s - at_s <= EARLY_TRIAL_S:
                self.hold_trial([segment], at_s)

    def _suspects(self, now_s: float) -> list[Suspect]:
        """Return the segments with enough ends, the most likely cause first."""
        suspects = []
        # The first segments of prompts are shared most, so later ones come first.
        for segment in reversed(self._records):
            record = self._records[segment]
            if record.suffices(self.settings):
                suspects.append(self._suspect(segment, record, now_s))
        return sorted(suspects, key=Suspect.order)

    def _suspect(self, segment: str, record: SegmentRecord, now_s: float) -> Suspect:
        seen = self.observe(segment, record, now_s)
        survivors = len(record.survivors | seen.survivors)
        # One survivor may owe its life to chance.
        needed = self.settings.ends_to_refuse + max(0, survivors - 1)
        others = seen.is_living or seen.other_ends
        if others and not record.is_unlikely_chance(
            seen.other_ends, seen.exposed_share, self.settings
        ):
            needed = len(record.ends) + 1
        is_refused = segment in self._refused
        return Suspect(segment, record, survivors, seen.is_living, needed, is_refused)

    def _drop_oldest(self) -> None:
        oldest = (s for s in self._records if s not in self._refused)
        self._drop(next(oldest, next(iter(self._records))))

    def _drop(self, segment: str) -> None:
        self._records.pop(segment, None)
        self._refused.pop(segment, None)

    def clear(self, segments: Iterable[str], now_s: float, source: str = "") -> None:
        """Record that upstreams have outlived answers, here or at a peer.

        Call `settle` afterwards: the ends may have another cause.
        """
        for segment in segments:
            self._sound[segment] = now_s
            self._sound.move_to_end(segment)
            record = self._records.get(segment)
            if record is not None and not record.by_operator:
                self._drop(segment)
                ends = len(record.ends)
                change = SegmentChange("cleared", segment, ends, source=source)
                self._note_change(change)
                self._unsettled = change
        while len(self._sound) > self.settings.max_sound:
            self._sound.popitem(last=False)

    def _note_change(self, change: SegmentChange) -> None:
        if len(self._changes) < MAX_CHANGES or change.kind in KEPT_KINDS:
            self._changes.append(change)

    def note_survival(
        self,
        segment: str,
        upstream: Incarnation,
        lived_s: float = math.inf,
        source: str = "",
    ) -> bool:
        """Record that an upstream has outlived the first byte of an answer so far.

        Returns whether this speaks for the segment. Call `settle` afterwards.
        """
        record = self._records.get(segment)
        if record is None or lived_s < record.outlived_after_s(self.settings):
            return False
        if upstream in record.survivors or len(record.survivors) >= MAX_SURVIVORS:
            return True
        record.survivors.add(upstream)
        change = SegmentChange("survived", segment, len(record.ends), source=source)
        self._unsettled = change
        if len(record.survivors) == 1:
            self._note_change(change)
        return True

    def is_suspected(self, segments: Iterable[str]) -> bool:
        """Return whether an upstream has ended under one of the segments."""
        return bool(self._records) and any(s in self._records for s in segments)

    def note_unproven_answer(self, segments: Iterable[str]) -> None:
        """Record an answer that ended with its connection."""
        for segment in segments:
            if segment in self._records:
                self._records[segment].unproven_answers += 1

    def is_sound(self, segment: str) -> bool:
        """Return whether an upstream has outlived an answer to a segment lately."""
        return segment in self._sound

    def sound_for_s(self, segments: Iterable[str], now_s: float) -> float:
        """Return for how long all segments count as sound without another answer."""
        sound_s = self.settings.sound_s
        return min(
            (self._sound.get(s, -math.inf) + sound_s - now_s for s in segments),
            default=math.inf,
        )

    def check(
        self,
        segments: Iterable[str],
        now_s: float,
        is_responsible: Callable[[str], bool],
    ) -> RefusedSegment | None:
        """Return why a request must be refused, or None if it may be sent.

        A request that may be sent although one of its segments is refused is a
        trial, see `is_refused`.

        Parameters
        ----------
        is_responsible : callable
            Returns whether this router, of the whole fleet, tries a segment again.
        """
        segments = list(segments)
        hits = [segment for segment in segments if segment in self._refused]
        if not hits:
            return None
        for segment in hits:
            self._refused[segment].updated_s = now_s
        record = self._refused[hits[0]]
        trial_s = record.next_trial_s(self.settings)
        if len(hits) > 1 or trial_s is None:
            return self._refusal(hits[0], now_s)
        if self._other_suspect(hits[0], segments):
            # The end of an upstream would not tell the two apart.
            last_end_s = max(record.ends.values())
            trial_s = max(trial_s, last_end_s + self.settings.trial_delays_s[1])
        if now_s >= trial_s and is_responsible(hits[0]):
            record.held_until_s = now_s + record.trial_hold_s(self.settings)
            return None
        return self._refusal(hits[0], now_s)

    def _other_suspect(self, refused: str, segments: Iterable[str]) -> bool:
        return any(
            segment != refused
            and segment in self._records
            and not self._records[segment].survivors
            and self._records[segment].suffices(self.settings)
            for segment in segments
        )

    def trial_due_s(self, segment: str) -> float | None:
        """Return since when a refused segment may be tried, or None for not at all."""
        record = self._refused.get(segment)
        return record and record.next_trial_s(self.settings)

    def hold_trial(self, segments: Iterable[str], now_s: float) -> None:
        """Record that another router tries segments now."""
        for segment in segments:
            record = self._refused.get(segment)
            if record is not None:
                until_s = now_s + record.trial_hold_s(self.settings)
                record.held_until_s = max(record.held_until_s, until_s)
                continue
            self._early_trials_s[segment] = now_s
            self._early_trials_s.move_to_end(segment)
            if len(self._early_trials_s) > MAX_EARLY_TRIALS:
                self._early_trials_s.popitem(last=False)

    def is_refused(self, segments: Iterable[str]) -> bool:
        """Return whether a segment is refused, without regard to trials."""
        return bool(self._refused) and any(s in self._refused for s in segments)

    def _refusal(self, segment: str, now_s: float) -> RefusedSegment:
        record = self._refused[segment]
        trial_s = record.next_trial_s(self.settings)
        wait_s = self.settings.evidence_s
        if trial_s is not None:
            wait_s = max(trial_s - now_s, self.settings.trial_delays_s[0])
        upstreams = tuple(upstream_id for upstream_id, _ in record.ends)
        since_s = now_s - record.refused_since_s
        return RefusedSegment(segment, upstreams, since_s, wait_s)

    def refused_ends(self) -> list[tuple[Incarnation, str, str]]:
        """Return upstream, request and segment of each end under a refused segment."""
        return [
            (upstream, request_id, segment)
            for segment, record in self._refused.items()
            for upstream, request_id in zip(
                record.ends, cycle(sorted(record.requests)), strict=False
            )
        ]

    def confirm(self, segments: Iterable[str], now_s: float, source: str) -> None:
        """Refuse segments that another router refuses, if their ends are known."""
        for segment in segments:
            record = self._records.get(segment)
            if record is not None:
                record.confirmed = True
                ends = len(record.ends)
                self._unsettled = SegmentChange("refused", segment, ends, source=source)
        self.settle(now_s)

    def hold_trials(self, segments: Iterable[str], now_s: float) -> None:
        """Defer trials of segments that were refused before this router knew them."""
        for segment in segments:
            record = self._refused.get(segment)
            if record is not None:
                until_s = now_s + self.settings.trial_delays_s[1]
                record.held_until_s = max(record.held_until_s, until_s)

    def refuse(self, segment: str, now_s: float) -> None:
        """Refuse a segment until it is forgotten."""
        record = self._records.setdefault(segment, SegmentRecord())
        record.updated_s = now_s
        record.by_operator = True
        self._unsettled = SegmentChange("refused", segment, 0)
        self.settle(now_s)

    def forget(self, segment: str) -> None:
        """Drop the evidence against a segment."""
        if self._records.get(segment) is not None:
            self._drop(segment)

    def refused(self) -> list[str]:
        """Return the refused segments."""
        return list(self._refused)

    def take_changes(self) -> list[SegmentChange]:
        """Return the changes since the last call."""
        changes, self._changes = self._changes, []
        return changes

    def expire(self, now_s: float) -> None:
        """Drop what is too old to be evidence."""
        settings = self.settings
        for segment, record in list(self._records.items()):
            if record.by_operator:
                continue
            refused = segment in self._refused
            kept_s = settings.refused_s if refused else settings.evidence_s
            if now_s - record.updated_s > kept_s:
                self._drop(segment)
        while self._sound:
            segment, at_s = next(iter(self._sound.items()))
            if now_s - at_s <= settings.sound_s:
                break
            del self._sound[segment]

    def counts(self) -> tuple[int, int]:
        """Return the numbers of suspected and of refused segments."""
        return len(self._records) - len(self._refused), len(self._refused)
