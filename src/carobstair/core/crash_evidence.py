"""Finds prompt segments that end the upstreams that begin to answer them.

An upstream that ends breaks off the answers to many requests of many routers, and
the shared segments of each of them are suspects. A segment is refused once enough
upstreams have ended while they began to answer it, and none has answered it. Routers
exchange their evidence, so the count is that of the fleet.
"""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field, replace
from enum import StrEnum
from itertools import cycle

from carobstair.core.attempt_progress import AttemptProgress

__all__ = [
    "AttemptEnd",
    "CrashEvidence",
    "EvidenceSettings",
    "Incarnation",
    "RefusedSegment",
    "SegmentChange",
    "TrackedAttempt",
]

# Id and start time (Unix time in ms) of an upstream.
Incarnation = tuple[str, int]

# Ends that are kept for each segment; more of them show nothing new.
MAX_ENDS = 64
# Changes that wait to be logged and sent; more than this in one turn are dropped.
MAX_CHANGES = 256


@dataclass(frozen=True, slots=True)
class EvidenceSettings:
    """Thresholds, times and bounds of the evidence.

    Attributes
    ----------
    ends_to_refuse : int
        Number of upstreams that must have ended under a segment before it is
        refused.
    requests_to_refuse : int
        Number of requests under which they must have ended: the retries of one
        request don't tell its segments apart.
    begin_window_s : float
        An answer that has been written for longer has not only begun, and clears
        the segments of its prompt.
    unconfirmed_s : float
        How long an attempt that broke off is kept while it is unknown whether its
        upstream has ended. Store entries of ended upstreams lapse after 3 s.
    unproven_s : float
        How soon after an answer that ended with its connection its upstream must
        have ended, and how long others are awaited that broke off.
    ended_s : float
        How long an ended upstream is remembered, for attempts that end later.
    silence_s : float
        Silence after which an open attempt at an ended upstream counts as broken.
    evidence_s, refused_s : float
        How long a segment that is not refused is kept after its last end, and a
        refused one after its last request.
    sound_s : float
        How long a segment counts as sound after an answer.
    burst_s : float
        Ends within this time after the refusal began are of requests that had been
        sent before.
    trial_delays_s : tuple of float
        Delay of the next trial request after the last end, by the number of trials
        that failed. After the last one there are no more: each ends an upstream.
    trial_timeout_s : float
        Time after which a trial without a result is repeated.
    max_segments, max_sound : int
        Bounds of the memory; the segments updated least recently are dropped.
    """

    ends_to_refuse: int = 4
    requests_to_refuse: int = 2
    begin_window_s: float = 1.0
    unconfirmed_s: float = 4.0
    unproven_s: float = 0.5
    ended_s: float = 60.0
    silence_s: float = 1.0
    evidence_s: float = 600.0
    refused_s: float = 3600.0
    sound_s: float = 300.0
    burst_s: float = 1.0
    trial_delays_s: tuple[float, ...] = (5.0, 120.0, 1200.0)
    trial_timeout_s: float = 30.0
    max_segments: int = 1024
    max_sound: int = 8192


class AttemptEnd(StrEnum):
    """How an attempt ended, as far as it is evidence.

    `ABANDONED` is one that ended at the router's side, at a deadline or because the
    caller left. `UNPROVEN` is one whose answer ended with its connection, which is
    whole only if the upstream lives.
    """

    WHOLE = "whole"
    UNPROVEN = "unproven"
    BROKEN = "broken"
    ABANDONED = "abandoned"
    DECLINED = "declined"


@dataclass(slots=True, eq=False)
class TrackedAttempt:
    """An attempt at an upstream with the shared segments of its prompt."""

    upstream: Incarnation
    request_id: str
    segments: tuple[str, ...]
    progress: AttemptProgress
    sound: bool = False


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
    # Answers that ended with their connections.
    unproven_answers: int = 0

    def failed_trials(self, burst_s: float) -> int:
        settled_s = self.refused_since_s + burst_s
        return sum(at_s > settled_s for at_s in self.ends.values())


@dataclass(frozen=True, slots=True)
class _Unconfirmed:
    ended_s: float
    attempt: TrackedAttempt
    unproven: bool


@dataclass(slots=True)
class CrashEvidence:
    """Evidence against segments, and the segments that are refused for it."""

    settings: EvidenceSettings = EvidenceSettings()
    _open: dict[Incarnation, set[TrackedAttempt]] = field(default_factory=dict)
    _unconfirmed: dict[Incarnation, list[_Unconfirmed]] = field(default_factory=dict)
    _ended: dict[Incarnation, float] = field(default_factory=dict)
    # Ended upstreams under which answers broke off.
    _broken_off: set[Incarnation] = field(default_factory=set)
    _records: OrderedDict[str, _Record] = field(default_factory=OrderedDict)
    _refused: dict[str, _Record] = field(default_factory=dict)
    _sound: OrderedDict[str, float] = field(default_factory=OrderedDict)
    # The last change that may alter which segments are refused.
    _unsettled: SegmentChange | None = None
    _changes: list[SegmentChange] = field(default_factory=list)

    # Attempts

    def begin(
        self,
        upstream: Incarnation,
        request_id: str,
        segments: tuple[str, ...],
        progress: AttemptProgress,
    ) -> TrackedAttempt:
        """Track an attempt until `end`."""
        attempt = TrackedAttempt(upstream, request_id, segments, progress)
        self._open.setdefault(upstream, set()).add(attempt)
        return attempt

    def note_body(self, attempt: TrackedAttempt, now_s: float) -> None:
        """Record a part of the answer; one that has gone on long enough is sound."""
        long_enough = attempt.progress.written_s >= self.settings.begin_window_s
        if long_enough and not attempt.sound:
            attempt.sound = True
            self._note_sound(attempt.segments, now_s)

    def end(self, attempt: TrackedAttempt, how: AttemptEnd, now_s: float) -> bool:
        """Record the end of an attempt; return whether its upstream is suspect.

        True if the attempt is evidence as soon as its upstream is known to have
        ended, see `note_ended`.
        """
        attempts = self._open.get(attempt.upstream)
        if attempts is not None:
            attempts.discard(attempt)
            if not attempts:
                del self._open[attempt.upstream]
        if how is AttemptEnd.WHOLE:
            self._note_sound(attempt.segments, now_s)
            return False
        if how is AttemptEnd.ABANDONED:
            silent_s = now_s - attempt.progress.last_sign_s
            broken = silent_s >= self.settings.silence_s
        else:
            broken = how in (AttemptEnd.BROKEN, AttemptEnd.UNPROVEN)
        if how is AttemptEnd.UNPROVEN:
            for segment in attempt.segments:
                if segment in self._records:
                    self._records[segment].unproven_answers += 1
        if not broken or not self._is_evidence(attempt):
            return False
        if attempt.upstream in self._ended and how is not AttemptEnd.UNPROVEN:
            self._broken_off.add(attempt.upstream)
            self._count_attempt(attempt, now_s)
            self._update_refused(now_s)
            return False
        waiting = self._unconfirmed.setdefault(attempt.upstream, [])
        waiting.append(_Unconfirmed(now_s, attempt, how is AttemptEnd.UNPROVEN))
        return True

    def _is_evidence(self, attempt: TrackedAttempt) -> bool:
        if attempt.sound or attempt.progress.written_s >= self.settings.begin_window_s:
            return False
        return any(segment not in self._sound for segment in attempt.segments)

    # Ends of upstreams

    def watched(self) -> set[Incarnation]:
        """Return the upstreams whose end would be evidence."""
        return self._unconfirmed.keys() | self._open.keys()

    def note_ended(self, upstream: Incarnation, now_s: float) -> None:
        """Record that an upstream has ended, and count what broke off under it."""
        self._ended.setdefault(upstream, now_s)
        waiting = self._unconfirmed.pop(upstream, [])
        for unconfirmed in waiting:
            if not unconfirmed.unproven:
                self._broken_off.add(upstream)
                self._count_attempt(unconfirmed.attempt, now_s)
        unproven = [w for w in waiting if w.unproven]
        if unproven:
            self._unconfirmed[upstream] = unproven
        self._update_refused(now_s)

    def _count_unproven(self, now_s: float) -> None:
        """Count answers that may be whole where nothing else explains the end."""
        for upstream in self._ended.keys() & self._unconfirmed.keys():
            waiting = self._unconfirmed[upstream]
            if any(now_s - w.ended_s < self.settings.unproven_s for w in waiting):
                continue
            del self._unconfirmed[upstream]
            for unconfirmed in waiting:
                late_s = self._ended[upstream] - unconfirmed.ended_s
                if upstream in self._broken_off or late_s > self.settings.unproven_s:
                    continue
                self._count_attempt(unconfirmed.attempt, now_s)

    def note_alive(self, upstream: Incarnation, ended_before_s: float, now_s: float):
        """Record that an upstream lives some time after attempts have ended.

        Parameters
        ----------
        ended_before_s : float
            Monotonic time; attempts that ended later may still be followed by the
            upstream's end.
        """
        later: list[_Unconfirmed] = []
        for waiting in self._unconfirmed.pop(upstream, ()):
            if waiting.ended_s >= ended_before_s:
                later.append(waiting)
            elif waiting.unproven:
                self._note_sound(waiting.attempt.segments, now_s)
        if later:
            self._unconfirmed[upstream] = later

    def count_late(self, now_s: float) -> None:
        """Count open attempts at ended upstreams that have been silent since.

        Also answers that ended with their connections, if nothing else broke off.
        """
        self._count_unproven(now_s)
        for upstream in self._ended.keys() & self._open.keys():
            for attempt in list(self._open[upstream]):
                silent_s = now_s - max(
                    attempt.progress.last_sign_s, self._ended[upstream]
                )
                if silent_s >= self.settings.silence_s and self._is_evidence(attempt):
                    self._count_attempt(attempt, now_s)
        self._update_refused(now_s)

    # Peers

    def merge_end(
        self,
        upstream: Incarnation,
        request_id: str,
        segments: Iterable[str],
        source: str,
        now_s: float,
    ) -> list[str]:
        """Add a peer's evidence; return its segments that are known to be sound."""
        self.note_ended(upstream, now_s)
        segments = list(segments)
        self._count(upstream, request_id, segments, now_s, source)
        self._update_refused(now_s)
        return [segment for segment in segments if segment in self._sound]

    def merge_sound(self, segments: Iterable[str], source: str, now_s: float) -> None:
        """Clear segments that a peer has seen answered."""
        self._note_sound(segments, now_s, source)

    def refused_ends(self) -> list[tuple[Incarnation, str, str]]:
        """Return upstream, request and segment of each end under a refused segment."""
        return [
            (upstream, request_id, segment)
            for segment, record in self._refused.items()
            for upstream, request_id in zip(
                record.ends, cycle(sorted(record.requests)), strict=False
            )
        ]

    def hold_trials(self, segments: Iterable[str], now_s: float) -> None:
        """Defer trials of segments that were refused before this router knew them."""
        for segment in segments:
            record = self._refused.get(segment)
            if record is not None:
                until_s = now_s + self.settings.trial_delays_s[1]
                record.held_until_s = max(record.held_until_s, until_s)

    # Operators

    def refuse(self, segment: str, now_s: float) -> None:
        """Refuse a segment until it is forgotten."""
        record = self._records.setdefault(segment, _Record())
        record.updated_s = now_s
        record.by_operator = True
        self._unsettled = SegmentChange("refused", segment, 0)
        self._update_refused(now_s)

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

    # Decisions

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
        failed = record.failed_trials(self.settings.burst_s)
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

    # Counting

    def _count_attempt(self, attempt: TrackedAttempt, now_s: float) -> None:
        self._count(attempt.upstream, attempt.request_id, attempt.segments, now_s)

    def _count(
        self,
        upstream: Incarnation,
        request_id: str,
        segments: Iterable[str],
        now_s: float,
        source: str = "",
    ) -> None:
        for segment in segments:
            if segment in self._sound:
                continue
            record = self._records.setdefault(segment, _Record())
            self._records.move_to_end(segment)
            record.updated_s = now_s
            if not self._add_end(record, upstream, request_id, now_s):
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
        self, record: _Record, upstream: Incarnation, request_id: str, now_s: float
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
        record.ends[upstream] = now_s
        return True

    def _suffices(self, record: _Record) -> bool:
        return record.by_operator or (
            len(record.ends) >= self.settings.ends_to_refuse
            and len(record.requests) >= self.settings.requests_to_refuse
        )

    def _update_refused(self, now_s: float) -> None:
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
            if own_ends < self.settings.ends_to_refuse and not record.by_operator:
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

    def _note_sound(
        self, segments: Iterable[str], now_s: float, source: str = ""
    ) -> None:
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
        for upstream, at_s in list(self._ended.items()):
            if now_s - at_s > settings.ended_s:
                del self._ended[upstream]
                self._broken_off.discard(upstream)
        for upstream, waiting in list(self._unconfirmed.items()):
            kept = [w for w in waiting if now_s - w.ended_s <= settings.unconfirmed_s]
            if kept:
                self._unconfirmed[upstream] = kept
            else:
                del self._unconfirmed[upstream]

    def counts(self) -> tuple[int, int]:
        """Return the numbers of suspected and of refused segments."""
        return len(self._records) - len(self._refused), len(self._refused)
