"""Counts how requests end at upstreams of both versions while an order runs."""

from __future__ import annotations

import time
from dataclasses import dataclass, field

from carobstair.core.attempt_progress import AttemptProgress
from carobstair.core.directory import UpstreamEntry
from carobstair.core.dispatch import Dispatcher
from carobstair.core.rollouts import AnswerOutcome, RolloutController, TrackedAnswer
from carobstair.edge.exchange import Exchange, Outcome
from carobstair.edge.metrics import EdgeMetrics

__all__ = ["ObservedAttempt", "RolloutEvidence"]

# A request whose deadline passes sooner after its send says nothing of the upstream.
MIN_TIMEOUT_S = 1.0
# Versions with a label of their own in the metrics of this process.
MAX_LABELLED_VERSIONS = 8
OUTCOMES = {
    Outcome.ANSWERED: AnswerOutcome.GOOD,
    Outcome.NOT_RUN: AnswerOutcome.NEUTRAL,
    Outcome.OTHER_INSTANCE: AnswerOutcome.NEUTRAL,
    Outcome.FAILED: AnswerOutcome.FAILED,
    Outcome.UNKNOWN: AnswerOutcome.BROKEN,
}


@dataclass(slots=True, eq=False)
class ObservedAttempt:
    """An attempt that is counted."""

    tracked: TrackedAnswer
    progress: AttemptProgress
    service: str
    version: str


@dataclass(slots=True)
class RolloutEvidence:
    """Counts the attempts of the relay.

    Parameters
    ----------
    controller : RolloutController
    dispatcher : Dispatcher
    metrics : EdgeMetrics
    """

    controller: RolloutController
    dispatcher: Dispatcher
    metrics: EdgeMetrics
    # Attempts whose first byte has not been counted.
    _awaited: set[ObservedAttempt] = field(default_factory=set)
    _labels: set[str] = field(default_factory=set)

    def begin(self, exchange: Exchange, entry: UpstreamEntry) -> ObservedAttempt | None:
        """Count a request that is about to be sent."""
        now_s = time.monotonic()
        tracked = self.controller.begin_answer(
            exchange.pool.name,
            exchange.route.name,
            entry.version,
            entry.upstream_id,
            exchange.uncached_tokens,
            exchange.splitter is not None,
            self.dispatcher.directory.is_cold(entry, now_s),
        )
        if tracked is None:
            return None
        attempt = ObservedAttempt(
            tracked, exchange.progress, exchange.pool.name, entry.version
        )
        self._awaited.add(attempt)
        return attempt

    def count_first_bytes(self) -> None:
        """Count the answers that have begun since the last call."""
        for attempt in list(self._awaited):
            first_s = attempt.progress.first_byte_s
            if first_s is not None:
                attempt.tracked.note_first(first_s - attempt.progress.sent_s)
                self._awaited.discard(attempt)

    def end(
        self,
        attempt: ObservedAttempt | None,
        exchange: Exchange,
        outcome: Outcome | None,
    ) -> None:
        """Count the end of an attempt; no outcome if it was cancelled."""
        if attempt is None:
            return
        self._awaited.discard(attempt)
        now_s = time.monotonic()
        progress = attempt.progress
        if outcome is None:
            waited_s = now_s - progress.sent_s
            is_late = now_s >= exchange.deadline_s and waited_s >= MIN_TIMEOUT_S
            counted = AnswerOutcome.BROKEN if is_late else AnswerOutcome.NEUTRAL
        else:
            counted = OUTCOMES[outcome]
        if progress.first_byte_s is not None:
            attempt.tracked.note_first(progress.first_byte_s - progress.sent_s)
        elif counted is AnswerOutcome.GOOD:
            attempt.tracked.note_first(now_s - progress.sent_s)
        attempt.tracked.end(counted)
        label = self._label(attempt.version)
        self.metrics.rollout_answers.labels(attempt.service, label, str(counted)).inc()

    def _label(self, version: str) -> str:
        if version in self._labels or len(self._labels) < MAX_LABELLED_VERSIONS:
            self._labels.add(version)
            return version
        return "other"
