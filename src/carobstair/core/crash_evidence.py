"""Finds prompt segments that end the upstreams that begin to answer them.

An upstream that ends breaks off the answers to many requests of many routers, and
the shared segments of each of them are suspects. A segment is refused once enough
upstreams have ended while they began to answer it, and none has answered it. Routers
exchange their evidence, so the count is that of the fleet.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, field
from enum import StrEnum

from carobstair.core.attempt_progress import AttemptProgress
from carobstair.core.evidence_settings import EvidenceSettings
from carobstair.core.segment_refusals import Incarnation, SegmentRefusals

__all__ = ["AttemptEnd", "CrashEvidence", "TrackedAttempt"]


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
class _Unconfirmed:
    ended_s: float
    attempt: TrackedAttempt
    unproven: bool


@dataclass(slots=True)
class CrashEvidence:
    """Attempts that upstreams broke off as they ended.

    Parameters
    ----------
    refusals : SegmentRefusals
        Updated with the ends of upstreams and with answers.
    """

    refusals: SegmentRefusals = field(default_factory=SegmentRefusals)
    _open: dict[Incarnation, set[TrackedAttempt]] = field(default_factory=dict)
    _unconfirmed: dict[Incarnation, list[_Unconfirmed]] = field(default_factory=dict)
    _ended: dict[Incarnation, float] = field(default_factory=dict)
    # Ended upstreams under which answers broke off.
    _broken_off: set[Incarnation] = field(default_factory=set)

    @property
    def settings(self) -> EvidenceSettings:
        """Thresholds and times."""
        return self.refusals.settings

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
            self.refusals.clear(attempt.segments, now_s)

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
            self.refusals.clear(attempt.segments, now_s)
            return False
        if how is AttemptEnd.ABANDONED:
            silent_s = now_s - attempt.progress.last_sign_s
            broken = silent_s >= self.settings.silence_s
        else:
            broken = how in (AttemptEnd.BROKEN, AttemptEnd.UNPROVEN)
        if how is AttemptEnd.UNPROVEN:
            self.refusals.note_unproven_answer(attempt.segments)
        if not broken or not self._is_evidence(attempt):
            return False
        if attempt.upstream in self._ended and how is not AttemptEnd.UNPROVEN:
            self._broken_off.add(attempt.upstream)
            self._count(attempt, now_s)
            self.refusals.settle(now_s)
            return False
        waiting = self._unconfirmed.setdefault(attempt.upstream, [])
        waiting.append(_Unconfirmed(now_s, attempt, how is AttemptEnd.UNPROVEN))
        return True

    def _is_evidence(self, attempt: TrackedAttempt) -> bool:
        if attempt.sound or attempt.progress.written_s >= self.settings.begin_window_s:
            return False
        return not all(map(self.refusals.is_sound, attempt.segments))

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
                self._count(unconfirmed.attempt, unconfirmed.ended_s)
        unproven = [w for w in waiting if w.unproven]
        if unproven:
            self._unconfirmed[upstream] = unproven
        self.refusals.settle(now_s)

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
                self._count(unconfirmed.attempt, unconfirmed.ended_s)

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
                self.refusals.clear(waiting.attempt.segments, now_s)
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
                    self._count(attempt, now_s)
        self.refusals.settle(now_s)

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
        self.refusals.count(upstream, request_id, segments, now_s, source)
        self.refusals.settle(now_s)
        return list(filter(self.refusals.is_sound, segments))

    def expire(self, now_s: float) -> None:
        """Drop what is too old to be evidence."""
        settings = self.settings
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
        self.refusals.expire(now_s)

    def _count(self, attempt: TrackedAttempt, at_s: float) -> None:
        """Count an attempt that broke off at a time."""
        self.refusals.count(
            attempt.upstream,
            attempt.request_id,
            attempt.segments,
            at_s,
            sent_s=attempt.progress.sent_s,
        )
