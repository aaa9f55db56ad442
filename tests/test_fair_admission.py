"""Tests of admission by shares, on loads like those that made engines late."""

import random
import unittest

from carobstair.core.fair_admission import (
    AdmissionSettings,
    FairAdmission,
    ThroughputControl,
    max_min_shares,
)


class MaxMinShareTest(unittest.TestCase):
    """Guards against shares that waste capacity or favour the loudest."""

    def test_small_demands_are_met_and_the_rest_is_even(self):
        shares = max_min_shares({"a": 10.0, "b": 100.0, "c": 500.0}, 210.0)
        self.assertEqual(shares, {"a": 10.0, "b": 100.0, "c": 100.0})

    def test_all_demands_are_met_where_there_is_enough(self):
        demands = {"a": 10.0, "b": 20.0}
        self.assertEqual(max_min_shares(demands, 100.0), demands)


class AdmissionLoadTest(unittest.TestCase):
    """Guards against one hot workspace that starves the others."""

    CAPACITY = 1000.0
    ROUTERS = 4

    def play(self, demands, seconds=12.0, seed=1, size=20.0):
        """Return tokens a second admitted and asked, after two seconds."""
        rng = random.Random(seed)
        fleet = [FairAdmission() for _ in range(self.ROUTERS)]
        admitted = dict.fromkeys(demands, 0.0)
        asked = dict.fromkeys(demands, 0.0)
        # Callers spread unevenly, as behind a hash.
        weights = [1, 2, 3, 6]
        for step in range(int(seconds * 100)):
            now_s = step / 100
            if step % 10 == 0:
                for a, one in enumerate(fleet):
                    rows = one.own_rows(now_s)
                    for b, other in enumerate(fleet):
                        if a != b:
                            other.note_peer(f"r{a}", rows)
            for name, rate in demands.items():
                for _ in range(round(rate / size)):
                    if rng.random() > 0.01:
                        continue
                    router = rng.choices(fleet, weights)[0]
                    decision = router.decide(
                        "m", name, size, self.CAPACITY, lambda: 1.0, now_s
                    )
                    if now_s >= 2.0:
                        asked[name] += size
                        admitted[name] += size * decision.admitted
                    if not decision.admitted:
                        self.assertGreaterEqual(decision.retry_after_s, 0.4)
        span_s = seconds - 2.0
        return (
            {name: tokens / span_s for name, tokens in admitted.items()},
            {name: tokens / span_s for name, tokens in asked.items()},
        )

    def test_hot_workspace_gets_its_share_and_the_others_all_they_ask(self):
        demands = {"hot": 4000.0, "b": 200.0, "c": 200.0}
        got, asked = self.play(demands)
        for name in ("b", "c"):
            self.assertGreater(got[name], 0.9 * asked[name])
        self.assertGreater(got["hot"], 400.0)
        self.assertLess(got["hot"], 800.0)

    def test_nothing_is_refused_below_the_capacity(self):
        demands = {"a": 300.0, "b": 300.0}
        got, asked = self.play(demands)
        self.assertEqual(got, asked)

    def test_two_hot_workspaces_get_the_same(self):
        got, _ = self.play({"a": 3000.0, "b": 6000.0})
        self.assertLess(abs(got["a"] - got["b"]), 0.25 * max(got.values()))
        self.assertLess(sum(got.values()), 1.2 * self.CAPACITY)

    def test_demand_of_peers_that_tell_it_again_and_again_is_counted_once(self):
        admission = FairAdmission()
        for round_number in range(50):
            for peer in range(5):
                rate = 100.0 * (round_number + peer)
                admission.note_peer(f"r{peer}", [("m", "team", rate)])
        decision = admission.decide("m", "team", 0.0, 1e9, lambda: 0.0, 0.0)
        self.assertAlmostEqual(decision.demand, 100.0 * sum(range(49, 54)))
        for peer in range(5):
            admission.forget_peer(f"r{peer}")
        decision = admission.decide("m", "team", 0.0, 1e9, lambda: 0.0, 0.0)
        self.assertAlmostEqual(decision.demand, 0.0)

    def test_demand_of_a_peer_that_is_gone_is_forgotten(self):
        admission = FairAdmission()
        admission.note_peer("r1", [("m", "hot", 9000.0)])
        for step in range(100):
            admission.decide("m", "a", 10.0, 500.0, lambda: 1.0, step / 100)
        admission.forget_peer("r1")
        decision = admission.decide("m", "a", 10.0, 5000.0, lambda: 1.0, 1.0)
        self.assertTrue(decision.admitted)


class ThroughputControlTest(unittest.TestCase):
    """Guards against refusals beside idle engines, and floods into slow ones.

    On a recorded day two of nine engines had crashed and nothing was refused for
    four seconds, although every engine was late. With a bypass for engines that
    have room, a hot workspace took all of it and another one starved.
    """

    def play(self, pressure, demand_exceeds_supply, seconds=6.0):
        control = ThroughputControl(AdmissionSettings())
        for step in range(int(seconds * 10)):
            now_s = step * 0.11
            self.assertTrue(control.is_due(now_s))
            control.correct(pressure, demand_exceeds_supply, now_s)
            self.assertFalse(control.is_due(now_s + 0.05))
        return control.factor

    def test_more_is_given_out_while_engines_have_room(self):
        self.assertGreater(self.play(0.3, demand_exceeds_supply=True), 1.5)

    def test_room_without_demand_says_nothing(self):
        self.assertEqual(self.play(0.0, demand_exceeds_supply=False), 1.0)

    def test_less_is_given_out_while_prompts_pile_up(self):
        for demand_exceeds_supply in (True, False):
            self.assertLess(self.play(3.0, demand_exceeds_supply), 0.9)

    def test_it_stays_within_its_bounds(self):
        rules = AdmissionSettings()
        self.assertEqual(self.play(50.0, True, 60.0), rules.min_factor)
        self.assertEqual(self.play(0.0, True, 60.0), rules.max_factor)


if __name__ == "__main__":
    unittest.main()
