"""Prompt segments that are refused because upstreams ended under them."""

from __future__ import annotations

import math
from collections import OrderedDict
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field, replace
from itertools import cycle

from carobstair.core.evidence_settings import EvidenceSettings

__all__ = [
    "Incarnation",
    "RefusedSegment",
    "SegmentChange",
    "SegmentRefusals",
]

# Id and start time (Unix time in ms) of an upstream.
Incarnation = tuple[str, int]

# Ends that are kept for each segment; more of them show nothing new.
MAX_ENDS = 64
# Changes that wait to be logged and sent; more than this in one turn are dropped.
MAX_CHANGES = 256


@dataclass(frozen=True, slots=True)
class SegmentChange:
    """A change of what is known of a segment, for logs and peers.

    Attributes
    ----------
    kind : str
        ``suspected``, ``refused``, ``explained`` if the ends are put down to
        another segment, or ``cleared``.
    ends : int
        Number of upstreams that have ended under the segment.
    upstream : Incarnation or None
        The upstream whose end was counted.
    request_id : str
        The request that had been sent there.
    source : str
        Peer that reported it, or empty if this router saw it.
    """

    kind: str
    segment: str
    ends: int
    upstream: Incarnation | None = None
    request_id: str = ""
    source: str = ""


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
class _Record:
    ends: dict[Incarnation, float] = field(default_factory=dict)
    requests: set[str] = field(default_factory=set)
    updated_s: float = 0.0
    refused_since_s: float | None = None
    held_until_s: float = 0.0
    by_operator: bool = False
    # Refused by another router, which may have seen the ends one by one.
    confirmed: bool = False
    bursts: int = 0
    burst_began_s: float = -math.inf
    last_end_s: float = -math.inf
    # Answers that ended with their connections.
    unproven_answers: int = 0

    def add_end(
        self,
        upstream: Incarnation,
        sent_s: float,
        at_s: float,
        settings: EvidenceSettings,
    ) -> None:
        gap_s, length_s = abs(at_s - self.last_end_s), at_s - self.burst_began_s
        # What was sent after an end did not end with it.
        if (
            sent_s >= self.last_end_s
            or gap_s > settings.burst_gap_s
            or length_s > settings.max_burst_s
        ):
            self.bursts += 1
            self.burst_began_s = at_s
        self.last_end_s = max(at_s, self.last_end_s)
        self.ends[upstream] = at_s

    def failed_trials(self, in_flight_s: float) -> int:
        settled_s = self.refused_since_s + in_flight_s
        return sum(at_s > settled_s for at_s in self.ends.values())


@dataclass(slots=True)
class SegmentRefusals:
    """Ends of upstreams by segment, sound segments, and those that are refused."""

    settings: EvidenceSettings = EvidenceSettings()
    _records: OrderedDict[str, _Record] = field(default_factory=OrderedDict)
    _refused: dict[str, _Record] = field(default_factory=dict)
    _sound: OrderedDict[str, float] = field(default_factory=OrderedDict)
    # The last change that may alter which segments are refused.
    _unsettled: SegmentChange | None = None
    _changes: list[SegmentChange] = field(default_factory=list)

    def count(
        self,
        upstream: Incarnation,
        request_id: str,
        segments: Iterable[str],
        now_s: float,
        source: str = "",
        sent_s: float = -math.inf,
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
        """
        for segment in segments:
            if segment in self._sound:
                continue
            record = self._records.setdefault(segment, _Record())
            self._records.move_to_end(segment)
            record.updated_s = now_s
            if not self._add_end(record, upstream, request_id, sent_s, now_s):
                continue
            ends = len(record.ends)
            change = SegmentChange(
                "suspected", segment, ends, upstream, request_id, source
            )
            self._note_change(change)
            if self._suffices(record):
                self._unsettled = change
        while len(self._records) > self.settings.max_segments:
            self._drop_oldest()

    def _add_end(
        self,
        record: _Record,
        upstream: Incarnation,
        request_id: str,
        sent_s: float,
        now_s: float,
    ) -> bool:
        """Add an end to a record; return whether it shows something new."""
        requests = self.settings.requests_to_refuse
        new_request = (
            request_id not in record.requests and len(record.requests) < requests
        )
        if new_request:
            record.requests.add(request_id)
        if upstream in record.ends or len(record.ends) >= MAX_ENDS:
            return new_request
        record.add_end(upstream, sent_s, now_s, self.settings)
        return True

    def _suffices(self, record: _Record) -> bool:
        return (record.by_operator or record.confirmed) or (
            record.bursts >= self.settings.ends_to_refuse
            and len(record.requests) >= self.settings.requests_to_refuse
        )

    def settle(self, now_s: float) -> None:
        """Refuse the segments that explain all ends best.

        An end counts against the segment with the most ends only; the others of its
        prompts are refused if enough of their ends are left. Called after all that
        an end broke off has been counted.
        """
        cause, self._unsettled = self._unsettled, None
        if cause is None:
            return
        # The first segments of prompts are shared most, so later ones come first.
        candidates = [
            s for s in reversed(self._records) if self._suffices(self._records[s])
        ]
        candidates.sort(key=self._refusal_order)
        explained: set[Incarnation] = set()
        refused: dict[str, _Record] = {}
        for segment in candidates:
            record = self._records[segment]
            own_ends = len(record.ends.keys() - explained)
            enough = own_ends >= self.settings.ends_to_refuse
            if not enough and not record.by_operator:
                continue
            explained |= record.ends.keys()
            refused[segment] = record
        for segment in refused.keys() - self._refused.keys():
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

    def _refusal_order(self, segment: str) -> tuple[int, int, bool]:
        # Of segments with as many ends, the one with the fewest answers is refused.
        record = self._records[segment]
        return -len(record.ends), record.unproven_answers, segment not in self._refused

    def _drop_oldest(self) -> None:
        oldest = (s for s in self._records if s not in self._refused)
        self._drop(next(oldest, next(iter(self._records))))

    def _drop(self, segment: str) -> None:
        self._records.pop(segment, None)
        self._refused.pop(segment, None)

    def clear(self, segments: Iterable[str], now_s: float, source: str = "") -> None:
        """Record that segments were answered, here or at a peer."""
        for segment in segments:
            self._sound[segment] = now_s
            self._sound.move_to_end(segment)
            record = self._records.get(segment)
            if record is not None and not record.by_operator:
                self._drop(segment)
                ends = len(record.ends)
                change = SegmentChange("cleared", segment, ends, source=source)
                self._note_change(change)
        while len(self._sound) > self.settings.max_sound:
            self._sound.popitem(last=False)

    def _note_change(self, change: SegmentChange) -> None:
        if len(self._changes) < MAX_CHANGES:
            self._changes.append(change)

    def note_unproven_answer(self, segments: Iterable[str]) -> None:
        """Record an answer that ended with its connection."""
        for segment in segments:
            if segment in self._records:
                self._records[segment].unproven_answers += 1

    def is_sound(self, segment: str) -> bool:
        """Return whether a segment was answered lately."""
        return segment in self._sound

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
        hits = [segment for segment in segments if segment in self._refused]
        if not hits:
            return None
        for segment in hits:
            self._refused[segment].updated_s = now_s
        record = self._refused[hits[0]]
        trial_s = self._next_trial_s(record)
        may_try = len(hits) == 1 and trial_s is not None and now_s >= trial_s
        if may_try and is_responsible(hits[0]):
            record.held_until_s = now_s + self.settings.trial_timeout_s
            return None
        return self._refusal(hits[0], now_s)

    def is_refused(self, segments: Iterable[str]) -> bool:
        """Return whether a segment is refused, without regard to trials."""
        return bool(self._refused) and any(s in self._refused for s in segments)

    def _next_trial_s(self, record: _Record) -> float | None:
        delays_s = self.settings.trial_delays_s
        if record.by_operator:
            return None
        failed = record.failed_trials(self.settings.in_flight_s)
        if failed >= len(delays_s):
            return None
        last_end_s = max(record.ends.values())
        return max(last_end_s + delays_s[failed], record.held_until_s)

    def _refusal(self, segment: str, now_s: float) -> RefusedSegment:
        record = self._refused[segment]
        trial_s = self._next_trial_s(record)
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
        record = self._records.setdefault(segment, _Record())
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
