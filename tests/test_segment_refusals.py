"""Refused prompt segments: trials, bounds, and upstreams that end by chance."""

import random
import unittest

from carobstair.core.crash_evidence import AttemptEnd
from evidence_fleet import ENDS, SETTINGS, START_S, FleetCase


class TrialTest(FleetCase):
    """Guards against trials that end more upstreams than the platform allows."""

    ROUTERS = 1

    def setUp(self):
        super().setUp()
        for number in range(ENDS):
            self.crash(f"e{number}", [self.send(["bad"], f"e{number}")])

    def is_tried(self, after_s, responsible=True):
        """Return whether a request is sent some time later."""
        self.now_s += after_s
        return not self.is_refused("bad", responsible=responsible)

    def test_only_the_responsible_router_tries(self):
        self.assertFalse(self.is_tried(1.0))
        self.assertFalse(self.is_tried(60.0, responsible=False))
        self.assertTrue(self.is_tried(0.0))

    def test_one_request_is_tried_at_a_time(self):
        self.assertTrue(self.is_tried(60.0))
        self.assertFalse(self.is_tried(1.0))
        self.assertTrue(self.is_tried(SETTINGS.trial_timeout_s))

    def test_no_more_than_three_trials_fail(self):
        failed = 0
        for hour in range(20):
            # Requests go on coming, so that nothing is forgotten.
            if self.is_tried(SETTINGS.refused_s * 0.9):
                upstream = f"t{hour}"
                self.crash(upstream, [self.send(["bad"], upstream)])
                failed += 1
            self.fleet[0].expire(self.now_s)
        self.assertEqual(failed, 3)

    def test_trial_that_is_answered_ends_the_refusal(self):
        self.assertTrue(self.is_tried(60.0))
        self.answer(["bad"])
        self.assertFalse(self.is_refused("bad"))

    def test_wait_is_at_least_until_the_next_trial(self):
        reason = self.fleet[0].refusals.check(
            ["bad"], self.now_s + 0.5, lambda segment: False
        )
        self.assertGreaterEqual(reason.retry_after_s, SETTINGS.trial_delays_s[0] - 0.5)
        self.assertEqual(
            reason.upstreams, tuple(f"e{number}" for number in range(ENDS))
        )


class BoundsTest(FleetCase):
    """Guards against memory that grows with the number of prompts."""

    ROUTERS = 1

    def test_suspects_are_bounded_and_refused_segments_stay(self):
        for number in range(ENDS):
            self.crash(f"e{number}", [self.send(["bad"], f"e{number}")])
        for number in range(3 * SETTINGS.max_segments):
            self.crash("f", [self.send([f"doc{number}"], "f")])
        suspected, refused = self.fleet[0].refusals.counts()
        self.assertLessEqual(suspected + refused, SETTINGS.max_segments)
        self.assertTrue(self.is_refused("bad"))

    def test_sound_segments_are_bounded(self):
        for number in range(2 * SETTINGS.max_sound):
            self.answer([f"doc{number}"])
        self.assertLessEqual(len(self.fleet[0].refusals._sound), SETTINGS.max_sound)

    def test_upstreams_that_are_gone_are_not_remembered(self):
        for number in range(10):
            self.answer(["doc"], upstream=f"e{number}")
        evidence = self.fleet[0]
        evidence.keep({("e3", 1)})
        self.assertEqual(set(evidence._first_sent_s), {("e3", 1)})

    def test_old_evidence_is_dropped(self):
        self.crash("e0", [self.send(["bad"], "e0")])
        self.crash("e1", [self.send(["bad"], "e1")], confirmed=False)
        self.answer(["good"])
        self.now_s += SETTINGS.evidence_s + 1.0
        self.fleet[0].expire(self.now_s)
        self.assertEqual(self.fleet[0].refusals.counts(), (0, 0))
        self.assertEqual(self.fleet[0].watched(), set())
        self.assertFalse(self.fleet[0].refusals._sound)


class RandomCrashTest(FleetCase):
    """Guards against refusals for upstreams that end by chance."""

    ROUTERS = 8

    def play(self, seed, bad_share):
        """Play a minute of requests; return ends under bad ones, and refusals."""
        rng = random.Random(seed)
        bad_arrivals = wrong = 0
        living = []
        for step in range(600):
            self.now_s = START_S + step * 0.1
            while living and living[0][0] <= self.now_s:
                _, router, upstream = living.pop(0)
                self.fleet[router].note_alive(upstream, self.now_s)
            self.exchange()
            upstream = f"e{step}"
            sent, bad = [], False
            for _ in range(12):
                prompt = [f"first{rng.randrange(3)}", f"doc{rng.randrange(60)}"]
                is_bad = rng.random() < bad_share
                if is_bad:
                    prompt.insert(rng.randrange(3), "bad")
                router = rng.randrange(self.ROUTERS)
                if self.is_refused(*prompt, router=router):
                    wrong += not is_bad
                    continue
                bad |= is_bad
                bad_arrivals += is_bad
                # Half of them are at the upstream that may end, the others are
                # answered by another one.
                if is_bad or rng.random() < 0.5:
                    sent.append(self.send(prompt, upstream, router, written_s=0.0))
                else:
                    self.answer(prompt, router)
            if bad or rng.random() < 0.2:
                self.crash(upstream, sent)
            else:
                alive_s = self.now_s + SETTINGS.survival_s
                for router, attempt in sent:
                    self.fleet[router].end(attempt, AttemptEnd.WHOLE, self.now_s)
                    living.append((alive_s, router, attempt.upstream))
        return bad_arrivals, wrong

    def test_no_request_is_refused_when_upstreams_end_at_random(self):
        for seed in range(10):
            with self.subTest(seed=seed):
                self.setUp()
                self.assertEqual(self.play(seed, 0.0), (0, 0))

    def test_sound_requests_go_on_beside_bad_ones(self):
        for seed in range(10):
            with self.subTest(seed=seed):
                self.setUp()
                bad_arrivals, wrong = self.play(seed, 0.05)
                self.assertLessEqual(bad_arrivals, 8)
                self.assertLessEqual(wrong, 2)


if __name__ == "__main__":
    unittest.main()
