"""Finds prompt segments that end the upstreams that begin to answer them.

An upstream that ends breaks off the answers to many requests of many routers, and
others are whole shortly before it. The shared segments of all of them are suspects. A
segment is refused once enough upstreams have ended soon after they began to answer
it, and none has outlived that. Routers exchange their evidence, so the count is that
of the fleet.
"""

from __future__ import annotations

import math
from collections.abc import Collection, Iterable
from dataclasses import dataclass, field
from enum import StrEnum

from carobstair.core.attempt_progress import AttemptProgress
from carobstair.core.evidence_settings import EvidenceSettings
from carobstair.core.segment_record import Incarnation, SegmentRecord
from carobstair.core.segment_refusals import SegmentRefusals
from carobstair.core.segment_suspects import Observation

__all__ = ["AttemptEnd", "CrashEvidence", "TrackedAttempt"]

# Signs of an upstream that follow sooner are not compared with its exposures again.
ALIVE_INTERVAL_S = 0.2


class AttemptEnd(StrEnum):
    """How an attempt ended, as far as it is evidence.

    `ABANDONED` is one that ended at the router's side, at a deadline or because the
    caller left. `UNPROVEN` is one whose answer ended with its connection: it may have
    been broken off.
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
    # Segments for which it spoke already.
    survived: set[str] = field(default_factory=set)


@dataclass(frozen=True, slots=True)
class _Exposure:
    """An ended attempt of which it is unknown whether its upstream outlived it."""

    ended_s: float
    attempt: TrackedAttempt
    answered: bool

    @property
    def began_s(self) -> float:
        """Time of the first byte of the answer, or of the end of the attempt."""
        first_byte_s = self.attempt.progress.first_byte_s
        return self.ended_s if first_byte_s is None else first_byte_s


def _began_s(exposure: _Exposure) -> float:
    return exposure.began_s


@dataclass(slots=True)
class CrashEvidence:
    """Attempts under which upstreams ended, and those that they outlived.

    Parameters
    ----------
    refusals : SegmentRefusals
        Updated with the ends of upstreams and with answers.
    """

    refusals: SegmentRefusals = field(default_factory=SegmentRefusals)
    _open: dict[Incarnation, set[TrackedAttempt]] = field(default_factory=dict)
    _exposures: dict[Incarnation, list[_Exposure]] = field(default_factory=dict)
    _ended: dict[Incarnation, float] = field(default_factory=dict)
    # Time of the first request that was sent to an upstream.
    _first_sent_s: dict[Incarnation, float] = field(default_factory=dict)
    # Time of the last sign of an upstream that was compared with its exposures.
    _alive_s: dict[Incarnation, float] = field(default_factory=dict)

    def __post_init__(self) -> None:
        self.refusals.observe = self._observe

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
        self._first_sent_s.setdefault(upstream, progress.sent_s)
        attempt = TrackedAttempt(upstream, request_id, segments, progress)
        self._open.setdefault(upstream, set()).add(attempt)
        return attempt

    def note_body(self, attempt: TrackedAttempt, now_s: float) -> None:
        """Record a part of the answer, which its upstream has lived to write."""
        if attempt.sound:
            return
        written_s = attempt.progress.written_s
        long_enough = written_s >= self.settings.survival_s
        if long_enough or self.refusals.is_suspected(attempt.segments):
            self._note_survival(attempt, written_s, now_s)
            self.refusals.settle(now_s)

    def end(self, attempt: TrackedAttempt, how: AttemptEnd, now_s: float) -> bool:
        """Record the end of an attempt; return whether its upstream may have ended.

        The attempt is evidence as soon as its upstream is known to have ended, see
        `note_ended`, or to live on, see `note_alive`.
        """
        attempts = self._open.get(attempt.upstream)
        if attempts is not None:
            attempts.discard(attempt)
            if not attempts:
                del self._open[attempt.upstream]
        answered = how in (AttemptEnd.WHOLE, AttemptEnd.UNPROVEN)
        if answered:
            if how is AttemptEnd.UNPROVEN:
                self.refusals.note_unproven_answer(attempt.segments)
            self._add_answer(attempt, now_s)
            return how is AttemptEnd.UNPROVEN and self._is_evidence(attempt)
        if how is AttemptEnd.ABANDONED:
            silent_s = now_s - attempt.progress.last_sign_s
            broken = silent_s >= self.settings.silence_s
        else:
            broken = how is AttemptEnd.BROKEN
        if not broken or not self._is_evidence(attempt):
            return False
        if attempt.upstream in self._ended:
            self._count(attempt, now_s)
            self.refusals.settle(now_s)
            return False
        self._add_exposure(_Exposure(now_s, attempt, answered=False))
        return True

    def _add_answer(self, attempt: TrackedAttempt, now_s: float) -> None:
        if attempt.progress.first_byte_s is None or attempt.sound:
            return
        # Segments that were answered lately need no further answers.
        left_s = self.refusals.sound_for_s(attempt.segments, now_s)
        if left_s < self.settings.sound_s / 2:
            self._add_exposure(_Exposure(now_s, attempt, answered=True))

    def _add_exposure(self, exposure: _Exposure) -> None:
        exposures = self._exposures.setdefault(exposure.attempt.upstream, [])
        exposures.append(exposure)
        if len(exposures) > self.settings.max_exposures:
            del exposures[0]

    def _is_evidence(self, attempt: TrackedAttempt) -> bool:
        if attempt.sound or attempt.progress.written_s >= self.settings.survival_s:
            return False
        return not all(map(self.refusals.is_sound, attempt.segments))

    def watched(self) -> set[Incarnation]:
        """Return the upstreams whose end would be evidence."""
        return self._exposures.keys() | self._open.keys()

    def note_ended(
        self, upstream: Incarnation, now_s: float, left: bool = False
    ) -> None:
        """Record that an upstream has ended, and count what was under way there.

        Parameters
        ----------
        left : bool
            Whether it had said that it would: what it has answered before is no
            evidence then.
        """
        self._ended.setdefault(upstream, now_s)
        # The upstream lived from the first answer on.
        exposures = sorted(self._exposures.pop(upstream, ()), key=_began_s)
        for exposure in exposures:
            if exposure.answered and left:
                continue
            if now_s - exposure.ended_s <= self.settings.unconfirmed_s:
                self._count(exposure.attempt, exposure.ended_s, now_s)
        self._alive_s.pop(upstream, None)
        self.refusals.settle(now_s)

    def note_alive(self, upstream: Incarnation, now_s: float) -> None:
        """Record a sign of an upstream, which may have outlived ended attempts."""
        exposures = self._exposures.get(upstream)
        last_s = self._alive_s.get(upstream, -math.inf)
        if not exposures or now_s - last_s < ALIVE_INTERVAL_S:
            return
        self._alive_s[upstream] = now_s
        kept: list[_Exposure] = []
        for exposure in exposures:
            lived_s = now_s - exposure.began_s
            if exposure.answered:
                self._note_survival(exposure.attempt, lived_s, now_s)
            if lived_s < self.settings.survival_s:
                kept.append(exposure)
        self._set_exposures(upstream, kept)
        self.refusals.settle(now_s)

    def _note_survival(
        self, attempt: TrackedAttempt, lived_s: float, now_s: float
    ) -> None:
        if lived_s >= self.settings.survival_s:
            attempt.sound = True
            self.refusals.clear(attempt.segments, now_s)
            return
        for segment in attempt.segments:
            if segment not in attempt.survived and self.refusals.note_survival(
                segment, attempt.upstream, lived_s
            ):
                attempt.survived.add(segment)

    def _observe(
        self, segment: str, record: SegmentRecord, now_s: float
    ) -> Observation:
        """Return what is known of the upstreams that began to answer a segment."""
        ends_s = record.ends.values()
        since_s = min(ends_s, default=now_s) - self.settings.survival_s
        outlived_s = now_s - record.outlived_after_s(self.settings)
        exposed_s = sum(record.delays_s)
        is_living = False
        survivors: set[Incarnation] = set()
        for upstream in self._open.keys() | self._exposures.keys():
            began_s = self._first_answer_s(upstream, segment, now_s)
            if began_s is None or upstream in self._ended:
                continue
            is_living = True
            exposed_s += now_s - began_s
            if began_s <= outlived_s:
                survivors.add(upstream)
        observed_s = sum(
            max(0.0, self._ended.get(upstream, now_s) - max(first_s, since_s))
            for upstream, first_s in self._first_sent_s.items()
        )
        other_ends = sum(
            at_s >= since_s and upstream not in record.ends
            for upstream, at_s in self._ended.items()
        )
        share = exposed_s / (observed_s + self.settings.unseen_s)
        return Observation(frozenset(survivors), is_living, share, other_ends)

    def _first_answer_s(
        self, upstream: Incarnation, segment: str, now_s: float
    ) -> float | None:
        """Return when the first answer to a segment began that is known of."""
        began_s = [
            exposure.began_s
            for exposure in self._exposures.get(upstream, ())
            if exposure.answered and segment in exposure.attempt.segments
        ]
        began_s += [
            attempt.progress.first_byte_s
            for attempt in self._open.get(upstream, ())
            if segment in attempt.segments
            and attempt.progress.first_byte_s is not None
            and now_s - attempt.progress.last_sign_s < self.settings.silence_s
        ]
        return min(began_s, default=None)

    def _set_exposures(self, upstream: Incarnation, kept: list[_Exposure]) -> None:
        if kept:
            self._exposures[upstream] = kept
        else:
            self._exposures.pop(upstream, None)
            self._alive_s.pop(upstream, None)

    def unproven_upstreams(self, now_s: float) -> set[Incarnation]:
        """Return the upstreams of which a sign would clear suspected segments."""
        return {
            upstream
            for upstream, exposures in self._exposures.items()
            if any(
                exposure.answered
                and now_s - exposure.began_s >= self.settings.outlived_margin_s
                and self.refusals.is_suspected(exposure.attempt.segments)
                for exposure in exposures
            )
        }

    def count_late(self, now_s: float) -> None:
        """Count open attempts at ended upstreams that have been silent since."""
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
        delay_s: float = 0.0,
    ) -> list[str]:
        """Add a peer's evidence; return its segments that are known to be sound."""
        self.note_ended(upstream, now_s)
        segments = list(segments)
        self.refusals.count(
            upstream, request_id, segments, now_s, source, delay_s=delay_s
        )
        self.refusals.settle(now_s)
        return list(filter(self.refusals.is_sound, segments))

    def keep(self, listed: Collection[Incarnation]) -> None:
        """Forget the first sends to upstreams that are neither listed nor watched."""
        kept = self._ended.keys() | self.watched()
        for upstream in self._first_sent_s.keys() - kept:
            if upstream not in listed:
                del self._first_sent_s[upstream]

    def expire(self, now_s: float) -> None:
        """Drop what is too old to be evidence."""
        settings = self.settings
        for upstream, at_s in list(self._ended.items()):
            if now_s - at_s > settings.ended_s:
                del self._ended[upstream]
        for upstream, exposures in list(self._exposures.items()):
            self._set_exposures(
                upstream,
                [
                    exposure
                    for exposure in exposures
                    if now_s - exposure.ended_s
                    <= (
                        settings.ended_s
                        if exposure.answered
                        else settings.unconfirmed_s
                    )
                ],
            )
        self.refusals.expire(now_s)

    def _count(
        self, attempt: TrackedAttempt, at_s: float, ended_s: float | None = None
    ) -> None:
        """Count an attempt that broke off, or was whole shortly before an end.

        Parameters
        ----------
        at_s : float
            Time at which the attempt ended.
        ended_s : float, optional
            Time at which the end of the upstream was noticed.
        """
        if not self._is_evidence(attempt):
            return
        first_byte_s = attempt.progress.first_byte_s
        ended_s = at_s if ended_s is None else ended_s
        delay_s = 0.0 if first_byte_s is None else max(0.0, ended_s - first_byte_s)
        self.refusals.count(
            attempt.upstream,
            attempt.request_id,
            attempt.segments,
            at_s,
            sent_s=attempt.progress.sent_s,
            delay_s=delay_s,
        )
