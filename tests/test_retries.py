"""Tests of retry budgets, backoff and ejection."""

import random
import unittest

from carobstair.core.retries import (
    Backoff,
    Ejections,
    EjectionSettings,
    RetryPolicy,
    RetrySettings,
)


class RetryPolicyTest(unittest.TestCase):
    """Guards against retry storms and against budgets that starve the small."""

    def test_amplification_stays_low_when_half_of_the_attempts_fail(self):
        generator = random.Random(3)
        policy = RetryPolicy(RetrySettings(), EjectionSettings(), generator)
        requests, attempts = 20_000, 0
        for number in range(requests):
            now_s, workspace = number * 0.01, f"w{number % 16}"
            policy.note_request(workspace, now_s)
            while True:
                attempts += 1
                upstream = f"e{generator.randrange(8)}"
                policy.note_attempt(upstream, now_s)
                failed = generator.random() < 0.5
                if not failed or not policy.allow(workspace, upstream, now_s):
                    break
        self.assertLessEqual(attempts / requests, 1.2)

    def test_idle_workspace_keeps_a_small_floor(self):
        settings = RetrySettings(max_balance=2.0)
        policy = RetryPolicy(settings, EjectionSettings(), random.Random(1))
        self.assertEqual(
            [policy.allow("w", "e", 0.0) for _ in range(3)], [True, True, False]
        )
        self.assertTrue(policy.allow("w", "e", 1.0 / settings.floor_per_s))

    def test_backoff_is_seeded_and_bounded(self):
        one, two = (Backoff(RetrySettings(), random.Random(4)) for _ in range(2))
        delays = [one.delay_s(n) for n in range(1, 50)]
        self.assertEqual(delays, [two.delay_s(n) for n in range(1, 50)])
        self.assertLessEqual(max(delays), RetrySettings().backoff_max_s)


class EjectionsTest(unittest.TestCase):
    """Guards against a failing upstream that draws work, and an empty pool."""

    def test_ejection_grows_and_a_success_ends_it(self):
        ejections = Ejections(EjectionSettings())
        pool = ["a", "b", "c", "d"]
        self.assertEqual(
            [ejections.note_failure("a", 0.0) for _ in range(3)], [False, False, True]
        )
        self.assertEqual(ejections.ejected(pool, 0.9), {"a"})
        self.assertEqual(ejections.ejected(pool, 1.1), frozenset())
        self.assertTrue(ejections.note_failure("a", 1.1))
        self.assertEqual(ejections.ejected(pool, 3.0), {"a"})
        ejections.note_success("a")
        self.assertEqual(ejections.ejected(pool, 3.0), frozenset())

    def test_at_most_half_of_a_pool_is_out(self):
        ejections = Ejections(EjectionSettings())
        for name in "abc":
            for _ in range(3):
                ejections.note_failure(name, 0.0)
        self.assertEqual(len(ejections.ejected("abcd", 0.5)), 2)
        self.assertEqual(ejections.ejected("a", 0.5), frozenset())


if __name__ == "__main__":
    unittest.main()
