"""Base class for tests of evidence against segments, with routers that exchange it."""

import itertools
import unittest

from carobstair.core.attempt_progress import AttemptProgress
from carobstair.core.crash_evidence import AttemptEnd, CrashEvidence
from carobstair.core.evidence_settings import EvidenceSettings

SETTINGS = EvidenceSettings()
# Between two ends that count.
SPACING_S = 0.05
ENDS = SETTINGS.ends_to_refuse
START_S = 1000.0
# Time for which an upstream has to outlive an answer.
LIVED_S = SETTINGS.survival_s


class FleetCase(unittest.TestCase):
    """Test case with routers that exchange their evidence without delay."""

    ROUTERS = 3

    def setUp(self):
        self.now_s = START_S
        self.fleet = [CrashEvidence() for _ in range(self.ROUTERS)]
        self.numbers = itertools.count(1)

    def send(self, segments, upstream, router=0, written_s=None, request_id=None):
        """Send a request; its answer has been written for `written_s`, if at all."""
        progress = AttemptProgress(self.now_s)
        if written_s is not None:
            progress.head_s = progress.first_byte_s = self.now_s
            progress.last_byte_s = self.now_s + written_s
        request_id = request_id or f"id{next(self.numbers)}"
        return router, self.fleet[router].begin(
            (upstream, 1), request_id, tuple(segments), progress
        )

    def answer(self, segments, router=0, upstream="sound", lived_s=LIVED_S):
        """Send a request whose answer is whole and which its upstream outlives."""
        _, attempt = self.send(segments, upstream, router, written_s=0.0)
        progress = attempt.progress
        progress.first_byte_s = progress.last_byte_s = self.now_s - lived_s
        self.fleet[router].end(attempt, AttemptEnd.WHOLE, progress.first_byte_s)
        self.fleet[router].note_alive(attempt.upstream, self.now_s)
        self.exchange()

    def crash(self, upstream, sent, confirmed=True):
        """End an upstream under the requests that were sent to it."""
        self.now_s += SPACING_S
        for router, attempt in sent:
            self.fleet[router].end(attempt, AttemptEnd.BROKEN, self.now_s)
        if confirmed:
            for router in {router for router, _ in sent}:
                self.fleet[router].note_ended((upstream, 1), self.now_s)
        self.exchange()

    def exchange(self):
        """Deliver the changes of each router to all others."""
        for number, router in enumerate(self.fleet):
            for change in router.refusals.take_changes():
                if change.source:
                    continue
                for other in self.fleet:
                    if other is not router:
                        self.deliver(router, number, change, other)

    def deliver(self, router, number, change, other):
        """Deliver one change, and the answer of the other router."""
        if change.kind == "cleared":
            other.refusals.clear([change.segment], self.now_s, f"r{number}")
            other.refusals.settle(self.now_s)
        elif change.kind == "survived":
            source = f"r{number}"
            other.refusals.note_survival(change.segment, (source, 0), source=source)
            other.refusals.settle(self.now_s)
        elif change.kind == "suspected":
            sound = other.merge_end(
                change.upstream,
                change.request_id,
                [change.segment],
                f"r{number}",
                self.now_s,
                change.delay_s,
            )
            router.refusals.clear(sound, self.now_s, "answer")

    def is_refused(self, *segments, router=0, responsible=False):
        """Return whether a router refuses a request with these segments."""
        check = self.fleet[router].refusals.check
        return check(segments, self.now_s, lambda segment: responsible) is not None
