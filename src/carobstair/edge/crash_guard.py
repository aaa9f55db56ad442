"""Keeps prompts that end their upstreams away from the other upstreams.

`CrashEvidence` decides; this module feeds it with what the router sees, confirms the
ends of upstreams, and refuses requests.
"""

from __future__ import annotations

import time
from collections.abc import Callable, Iterable, Sequence
from dataclasses import dataclass, field
from itertools import zip_longest

from carobstair.core.crash_evidence import AttemptEnd, CrashEvidence
from carobstair.core.directory import UpstreamEntry
from carobstair.core.dispatch import Dispatcher
from carobstair.core.framing import Framing
from carobstair.core.messages import SegmentEvidence
from carobstair.core.refusals import refuse
from carobstair.core.segment_record import Incarnation
from carobstair.core.segment_refusals import SegmentChange, SegmentRefusals
from carobstair.edge.end_probes import EndProbes
from carobstair.edge.exchange import Exchange, Outcome
from carobstair.edge.upstream_connection import (
    ConnectionBroken,
    ConnectionRefused,
)
from carobstair.logs import get_logger

__all__ = ["CrashGuard"]

logger = get_logger(__name__)

# Added to the time at which each further router, by rank, may try a segment again.
TRIAL_INTERVAL_S = 0.1
# Delays of ends that peers report are believed up to this.
MAX_DELAY_S = 60.0
# The same for the time since peers learnt of them.
MAX_AGE_S = 60.0
# A refused connect shows that an upstream has ended only while others are reached:
# otherwise the fault may be on this router's side.
CONTACT_S = 2.0
# Segments listed in one message and in one log line.
MAX_LISTED_SEGMENTS = 64
MAX_LOGGED_UPSTREAMS = 8
MAX_ANNOUNCED_SEGMENTS = 1024

# A row of `SegmentEvidence.ends`.
EvidenceRow = tuple[str, int, str, list[str]]

_ENDS = {
    Outcome.ANSWERED: AttemptEnd.WHOLE,
    Outcome.UNKNOWN: AttemptEnd.BROKEN,
    None: AttemptEnd.ABANDONED,
}


@dataclass(slots=True)
class CrashGuard:
    """Tracks attempts and refuses requests whose prompts end upstreams.

    Parameters
    ----------
    dispatcher : Dispatcher
    evidence : CrashEvidence
    announce : callable
        Sends a message to all other routers.
    on_change : callable
        Called with a segment and whether it is refused, when that changes.
    """

    dispatcher: Dispatcher
    evidence: CrashEvidence = field(default_factory=CrashEvidence)
    announce: Callable[[SegmentEvidence], None] = lambda message: None
    on_change: Callable[[str, bool], None] = lambda segment, refused: None
    # What the evidence has led to.
    refusals: SegmentRefusals = field(init=False)
    _contacts_s: dict[str, float] = field(default_factory=dict)
    # Upstreams that refused a connection while no other had been reached.
    _refused_s: dict[Incarnation, float] = field(default_factory=dict)
    _probes: EndProbes = field(init=False)
    # Watched upstreams that the store listed as draining.
    _leaving: set[Incarnation] = field(default_factory=set)
    # Segments that this router has told its peers of.
    _announced: set[str] = field(default_factory=set)

    def __post_init__(self) -> None:
        self.refusals = self.evidence.refusals
        self._probes = EndProbes(self.note_unreachable, self._note_alive)

    def admit(self, exchange: Exchange) -> None:
        """Refuse a request with a refused segment, unless it is a trial.

        Raises
        ------
        Refusal
        """
        segments = exchange.metadata.prompt.shared_segments
        if not self.refusals.is_refused(segments):
            return
        reason = self.refusals.check(segments, time.monotonic(), self._is_responsible)
        if reason is not None:
            ended = ",".join(reason.upstreams[:MAX_LOGGED_UPSTREAMS])
            exchange.detail = (
                f"segment {reason.segment} ended {len(reason.upstreams)} upstreams "
                f"({ended}), refused for {reason.since_s:.1f} s"
            )
            raise refuse("crashing-prompt", exchange.detail, reason.retry_after_s)
        exchange.is_trial = True
        tried = [segment for segment in segments if self.refusals.is_refused([segment])]
        self.announce(SegmentEvidence(tried=tried))
        logger.info(
            "segment_trial",
            request_id=exchange.metadata.request_id,
            segments=",".join(segments),
        )

    def allows_send(self, exchange: Exchange) -> bool:
        """Return whether a request may be sent; call directly before the send."""
        segments = exchange.metadata.prompt.shared_segments
        return exchange.is_trial or not self.refusals.is_refused(segments)

    def _is_responsible(self, segment: str) -> bool:
        """Return whether it is this router's turn to try a segment.

        Routers of a higher rank follow, as the first may see no such request.
        """
        due_s = self.refusals.trial_due_s(segment)
        rank = self.dispatcher.rank(segment)
        if due_s is None or rank == 0:
            return rank == 0
        return time.monotonic() >= due_s + rank * TRIAL_INTERVAL_S

    def begin(self, exchange: Exchange, entry: UpstreamEntry) -> None:
        """Track an attempt that is about to be sent."""
        segments = exchange.metadata.prompt.shared_segments
        exchange.tracked = None
        if segments:
            upstream = entry.upstream_id, entry.born_ms
            exchange.tracked = self.evidence.begin(
                upstream, exchange.metadata.request_id, segments, exchange.progress
            )

    def note_body(self, exchange: Exchange, now_s: float) -> None:
        """Record that a part of an answer has arrived."""
        exchange.progress.note_body(now_s)
        if exchange.tracked is not None:
            self.evidence.note_body(exchange.tracked, now_s)

    def end(
        self, exchange: Exchange, entry: UpstreamEntry, outcome: Outcome | None
    ) -> None:
        """Record the outcome of an attempt; None if it was abandoned."""
        now_s = time.monotonic()
        if outcome is Outcome.OTHER_INSTANCE:
            self._note_ended((entry.upstream_id, entry.born_ms), now_s)
        if exchange.tracked is None:
            return
        how = _ENDS.get(outcome, AttemptEnd.DECLINED)
        if how is AttemptEnd.WHOLE:
            if not 200 <= exchange.status < 300:
                how = AttemptEnd.DECLINED
            elif exchange.framing is Framing.CONNECTION_END:
                how = AttemptEnd.UNPROVEN
        exchange.is_suspect = self.evidence.end(exchange.tracked, how, now_s)
        if exchange.is_suspect:
            self._probes.begin(entry, broken=True)
        self.publish()

    async def wait_for_probe(self, exchange: Exchange, entry: UpstreamEntry) -> None:
        """Wait until a suspect's upstream is known to have ended or to live.

        Without it, the retry would reach the next upstream before the evidence of
        the last one counts.
        """
        if exchange.is_suspect:
            await self._probes.wait((entry.upstream_id, entry.born_ms))

    def note_contact(
        self, entry: UpstreamEntry, now_s: float, other_incarnation: bool = False
    ) -> None:
        """Record that an upstream, or another incarnation of it, has answered."""
        self._contacts_s[entry.upstream_id] = now_s
        if not other_incarnation:
            self.evidence.note_alive((entry.upstream_id, entry.born_ms), now_s)
        if self._refused_s:
            self._confirm_refused(now_s)

    def note_unreachable(self, entry: UpstreamEntry, error: ConnectionBroken) -> None:
        """Record a failed connect, which may show that the upstream has ended."""
        if isinstance(error, ConnectionRefused):
            now_s = time.monotonic()
            self._refused_s[entry.upstream_id, entry.born_ms] = now_s
            self._confirm_refused(now_s)

    def _confirm_refused(self, now_s: float) -> None:
        """Take upstreams that refuse connections as ended if others are reached."""
        for upstream, refused_s in list(self._refused_s.items()):
            reaches_others = any(
                upstream_id != upstream[0] and now_s - at_s < CONTACT_S
                for upstream_id, at_s in self._contacts_s.items()
            )
            if now_s - refused_s > CONTACT_S:
                del self._refused_s[upstream]
            elif reaches_others:
                del self._refused_s[upstream]
                self._note_ended(upstream, now_s)

    def look_for_ended(self) -> None:
        """Count upstreams that are no longer listed, and drop old evidence."""
        now_s = time.monotonic()
        directory = self.dispatcher.directory
        for upstream in self.evidence.watched():
            listed = directory.find(upstream[0])
            is_listed = listed is not None and listed.entry.born_ms == upstream[1]
            if is_listed and listed.entry.draining:
                self._leaving.add(upstream)
            if not is_listed:
                left = upstream in self._leaving or directory.is_leaving(upstream)
                self.evidence.note_ended(upstream, now_s, left)
        self._leaving &= self.evidence.watched()
        for upstream_id, _ in self.evidence.unproven_upstreams(now_s):
            listed = directory.find(upstream_id)
            if listed is not None:
                self._probes.begin(listed.entry)
        self.evidence.count_late(now_s)
        self.evidence.expire(now_s)
        for upstream_id, at_s in list(self._contacts_s.items()):
            if now_s - at_s > CONTACT_S:
                del self._contacts_s[upstream_id]
        self.publish()

    def _note_ended(self, upstream: Incarnation, now_s: float) -> None:
        if upstream in self.evidence.watched():
            self.evidence.note_ended(upstream, now_s)
            self.publish()

    def _note_alive(self, entry: UpstreamEntry) -> None:
        upstream = entry.upstream_id, entry.born_ms
        self.evidence.note_alive(upstream, time.monotonic())
        self.publish()

    def merge(
        self,
        source: str,
        message: SegmentEvidence,
        ages_s: Sequence[float] = (),
        is_late: bool = False,
    ) -> SegmentEvidence | None:
        """Apply a peer's message; return the answer, or None if there is none.

        Parameters
        ----------
        ages_s : sequence of float
            For each of the ends, how long ago the peer learnt of it.
        is_late : bool
            Whether other routers may have tried its segments since.
        """
        now_s = time.monotonic()
        refused = set(self.refusals.refused()) if is_late else set()
        self.refusals.clear(message.sound, now_s, source)
        if message.is_summary:
            known_sound = self.merge_summary(source, message.ends)
        else:
            known_sound = self._merge_ends(
                source, message.ends, now_s, message.delays_s, ages_s
            )
        for segment in message.survived:
            self.refusals.note_survival(segment, (source, 0), source=source)
        self.refusals.settle(now_s)
        self.refusals.confirm(message.refused, now_s, source)
        self.refusals.hold_trial(message.tried, now_s)
        if is_late:
            new = set(self.refusals.refused()) - refused
            self.refusals.hold_trials(new, now_s)
        self.publish()
        self._correct(message.sound)
        answer = SegmentEvidence(sound=sorted(known_sound)[:MAX_LISTED_SEGMENTS])
        if message.wants_refused:
            answer = SegmentEvidence(
                self._refused_rows(), answer.sound, is_summary=True
            )
        return answer if answer.ends or answer.sound else None

    def merge_summary(self, source: str, rows: list[EvidenceRow]) -> set[str]:
        """Apply ends under segments that have been refused before.

        Returns the segments that are known to be sound.
        """
        now_s = time.monotonic()
        new = {s for *_, segments in rows for s in segments}
        new -= set(self.refusals.refused())
        known_sound = self._merge_ends(source, rows, now_s)
        self.refusals.confirm(new, now_s, source)
        self.refusals.hold_trials(new, now_s)
        return known_sound

    def _merge_ends(
        self,
        source: str,
        rows: list[EvidenceRow],
        now_s: float,
        delays_s: Iterable[float] = (),
        ages_s: Iterable[float] = (),
    ) -> set[str]:
        known_sound: set[str] = set()
        for row, delay_s, age_s in zip_longest(rows, delays_s, ages_s, fillvalue=0.0):
            if not row:
                break
            upstream_id, born_ms, request_id, segments = row
            known_sound.update(
                self.evidence.merge_end(
                    (upstream_id, born_ms),
                    request_id,
                    segments,
                    source,
                    now_s - min(max(age_s, 0.0), MAX_AGE_S),
                    min(max(delay_s, 0.0), MAX_DELAY_S),
                )
            )
        return known_sound

    def _correct(self, sound: list[str]) -> None:
        """Tell all peers that segments are sound which this router had suspected."""
        corrected = [segment for segment in sound if segment in self._announced]
        if corrected:
            self._announced.difference_update(corrected)
            self.announce(SegmentEvidence(sound=corrected))

    def summary(self, wants_refused: bool) -> SegmentEvidence | None:
        """Return the message for a peer that was not heard before, if any."""
        rows = self._refused_rows()
        if not rows and not wants_refused:
            return None
        return SegmentEvidence(rows, [], wants_refused, is_summary=True)

    def _refused_rows(self) -> list[EvidenceRow]:
        return [
            (*upstream, request_id, [segment])
            for upstream, request_id, segment in self.refusals.refused_ends()
        ]

    def publish(self) -> None:
        """Log changes of the evidence and send this router's own to its peers."""
        ends: dict[tuple[Incarnation, str], list[str]] = {}
        delays_s: dict[tuple[Incarnation, str], float] = {}
        sound: list[str] = []
        refused: list[str] = []
        survived: list[str] = []
        changes = self.refusals.take_changes()
        _log_reported(changes)
        for change in changes:
            if change.source and change.kind == "suspected":
                continue
            log = logger.info if change.kind == "suspected" else logger.warning
            log(
                f"segment_{change.kind}",
                segment=change.segment,
                ends=change.ends,
                upstream=change.upstream and change.upstream[0],
                evidence_request_id=change.request_id or None,
                reported_by=change.source or None,
            )
            if change.kind in ("refused", "cleared", "explained"):
                self.on_change(change.segment, change.kind == "refused")
            if change.source:
                continue
            if change.kind == "cleared":
                sound.append(change.segment)
            elif change.kind == "suspected":
                key = change.upstream, change.request_id
                ends.setdefault(key, []).append(change.segment)
                delays_s[key] = change.delay_s
                self._announced.add(change.segment)
            elif change.kind == "refused":
                refused.append(change.segment)
            elif change.kind == "survived":
                survived.append(change.segment)
        if len(self._announced) > MAX_ANNOUNCED_SEGMENTS:
            self._announced.clear()
        if ends or sound or refused or survived:
            rows = [
                (*upstream, request_id, segments[:MAX_LISTED_SEGMENTS])
                for (upstream, request_id), segments in ends.items()
            ]
            message = SegmentEvidence(
                rows,
                sound[:MAX_LISTED_SEGMENTS],
                refused=refused,
                delays_s=list(delays_s.values()),
                survived=survived[:MAX_LISTED_SEGMENTS],
            )
            self.announce(message)


def _log_reported(changes: list[SegmentChange]) -> None:
    """Log what peers suspect in one line for each, as they log each segment."""
    reported: dict[str, list[SegmentChange]] = {}
    for change in changes:
        if change.source and change.kind == "suspected":
            reported.setdefault(change.source, []).append(change)
    for source, suspected in reported.items():
        most = max(suspected, key=lambda change: change.ends)
        logger.info(
            "segments_reported",
            reported_by=source,
            segments=len(suspected),
            upstreams=len({change.upstream for change in suspected}),
            most_ends=most.ends,
            segment=most.segment,
        )
