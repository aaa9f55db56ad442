"""Tests of admission by fair shares under loads that overloaded engines."""

import random
import unittest

from carobstair.core.fair_admission import (
    AdmissionSettings,
    FairAdmission,
    ThroughputControl,
    max_min_shares,
)


class MaxMinShareTest(unittest.TestCase):
    """Guards against shares that waste capacity or favour the largest demand."""

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

    def simulate(self, demands, seconds=12.0, seed=1, size=20.0):
        """Return the tokens per second admitted and offered after the first 2 s."""
        rng = random.Random(seed)
        fleet = [FairAdmission() for _ in range(self.ROUTERS)]
        admitted = dict.fromkeys(demands, 0.0)
        offered = dict.fromkeys(demands, 0.0)
        # Requests are spread unevenly over the routers, as by hashing.
        weights = [1, 2, 3, 6]
        for step in range(int(seconds * 100)):
            now_s = step / 100
            if step % 10 == 0:
                for a, sender in enumerate(fleet):
                    rows = sender.own_rows(now_s)
                    for b, receiver in enumerate(fleet):
                        if a != b:
                            receiver.note_peer(f"r{a}", rows)
            for name, rate in demands.items():
                for _ in range(round(rate / size)):
                    if rng.random() > 0.01:
                        continue
                    router = rng.choices(fleet, weights)[0]
                    decision = router.decide(
                        "m", name, size, self.CAPACITY, lambda: 1.0, now_s
                    )
                    if now_s >= 2.0:
                        offered[name] += size
                        admitted[name] += size * decision.admitted
                    if not decision.admitted:
                        self.assertGreaterEqual(decision.retry_after_s, 0.4)
        span_s = seconds - 2.0
        return (
            {name: tokens / span_s for name, tokens in admitted.items()},
            {name: tokens / span_s for name, tokens in offered.items()},
        )

    def test_hot_workspace_gets_its_share_and_others_their_full_demand(self):
        demands = {"hot": 4000.0, "b": 200.0, "c": 200.0}
        admitted, offered = self.simulate(demands)
        for name in ("b", "c"):
            self.assertGreater(admitted[name], 0.9 * offered[name])
        self.assertGreater(admitted["hot"], 400.0)
        self.assertLess(admitted["hot"], 800.0)

    def test_nothing_is_refused_below_the_capacity(self):
        demands = {"a": 300.0, "b": 300.0}
        admitted, offered = self.simulate(demands)
        self.assertEqual(admitted, offered)

    def test_two_hot_workspaces_get_equal_shares(self):
        admitted, _ = self.simulate({"a": 3000.0, "b": 6000.0})
        self.assertLess(
            abs(admitted["a"] - admitted["b"]), 0.25 * max(admitted.values())
        )
        self.assertLess(sum(admitted.values()), 1.2 * self.CAPACITY)

    def test_share_does_not_depend_on_how_many_routers_see_the_requests(self):
        # Of the requests of a workspace, one in some seconds arrives at a router.
        rng = random.Random(3)
        fleet = [FairAdmission() for _ in range(60)]
        rate, size, seconds = 10_000.0, 500.0, 20.0
        routers = {"spread": fleet, "few": fleet[:2], "other": fleet}
        admitted = dict.fromkeys(routers, 0.0)
        for step in range(int(seconds * 100)):
            now_s = step / 100
            for a in range(step % 100, len(fleet), 100):
                rows = fleet[a].own_rows(now_s)
                for b, receiver in enumerate(fleet):
                    if a != b:
                        receiver.note_peer(f"r{a}", rows)
            for name, group in routers.items():
                if rng.random() > rate / size / 100:
                    continue
                decision = rng.choice(group).decide(
                    "m", name, size, 9000.0, lambda: 1.0, now_s
                )
                if now_s >= 5.0:
                    admitted[name] += size * decision.admitted / (seconds - 5.0)
        self.assertLess(sum(admitted.values()), 1.15 * 9000.0)
        self.assertLess(max(admitted.values()), 1.25 * min(admitted.values()))

    def test_repeated_demand_of_peers_is_counted_once(self):
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

    def test_demand_of_a_lost_peer_is_dropped(self):
        admission = FairAdmission()
        admission.note_peer("r1", [("m", "hot", 9000.0)])
        for step in range(100):
            admission.decide("m", "a", 10.0, 500.0, lambda: 1.0, step / 100)
        admission.forget_peer("r1")
        decision = admission.decide("m", "a", 10.0, 5000.0, lambda: 1.0, 1.0)
        self.assertTrue(decision.admitted)


class AgreementTest(unittest.TestCase):
    """Guards against routers that share different throughputs of one pool.

    One router shared 72,000 tokens a second, two others 226,000 and 840,000, and a
    workspace with all its callers at the first got a quarter of what another got.
    """

    def overloaded(self, factor):
        """Return an admission whose pool is overloaded, with a given factor."""
        admission = FairAdmission()
        admission._controls["m"] = ThroughputControl(admission.settings, factor)
        return admission

    def test_factors_of_overloaded_pools_approach_each_other(self):
        fleet = [self.overloaded(factor) for factor in (0.07, 0.22, 0.8)]
        for step in range(30):
            now_s = 0.1 * step
            for number, sender in enumerate(fleet):
                for receiver in fleet:
                    if receiver is not sender:
                        factors = sender.own_factors(now_s)
                        receiver.note_peer_factors(f"r{number}", factors)
            for admission in fleet:
                # A pressure of 1.0 leaves the factor unchanged by itself.
                admission.decide("m", "w", 9e3, 1e4, lambda: 1.0, now_s)
        factors = [admission._controls["m"].factor for admission in fleet]
        self.assertLess(max(factors), 1.1 * min(factors))

    def test_pool_that_is_not_overloaded_is_left_alone(self):
        admission = self.overloaded(1.7)
        admission.note_peer_factors("r1", {})
        admission.decide("m", "w", 9e9, 1e4, lambda: 1.0, 0.0)
        self.assertEqual(admission._controls["m"].factor, 1.7)
        self.assertEqual(admission.own_factors(0.0), {})

    def test_factor_of_a_router_without_requests_is_not_sent(self):
        # Idle routers held back the others in an overload.
        admission = self.overloaded(0.5)
        admission.decide("m", "w", 9e3, 1e4, lambda: 1.0, 5.0)
        self.assertEqual(admission.own_factors(5.4), {"m": 0.5})
        self.assertEqual(admission.own_factors(5.6), {})

    def test_factor_of_a_lost_peer_is_dropped(self):
        admission = self.overloaded(1.7)
        admission.note_peer_factors("r1", {"m": 0.1})
        admission.forget_peer("r1")
        admission.decide("m", "w", 9e9, 1e4, lambda: 1.0, 0.0)
        self.assertEqual(admission._controls["m"].factor, 1.7)


class ThroughputControlTest(unittest.TestCase):
    """Guards against refusals while engines are idle, and overload of slow engines.

    After two of nine engines had crashed, nothing was refused for four seconds
    although every engine was late. With a bypass for engines that have room, a
    hot workspace took all of the room and another one starved.
    """

    def simulate(self, pressure, demand, seconds=6.0, slots_used=0.0):
        control = ThroughputControl(AdmissionSettings())
        for step in range(int(seconds * 10)):
            now_s = step * 0.11
            self.assertTrue(control.is_due(now_s))
            control.correct(pressure, demand, now_s, slots_used)
            self.assertFalse(control.is_due(now_s + 0.05))
        return control.factor

    def test_factor_rises_while_engines_have_room(self):
        self.assertGreater(self.simulate(0.3, demand=9.0), 1.5)

    def test_room_without_demand_leaves_the_factor_unchanged(self):
        self.assertEqual(self.simulate(0.0, demand=0.5), 1.0)

    def test_factor_falls_while_prompts_queue_up(self):
        for demand in (9.0, 0.5):
            self.assertLess(self.simulate(3.0, demand), 0.9)

    def test_factor_falls_from_the_demand(self):
        # The configured throughput was five times what the engines gave. It fell by
        # a twentieth in 0.1 s, and only to 0.8 of its value.
        control = ThroughputControl(AdmissionSettings())
        for step in range(3):
            control.correct(3.0, 0.2, step * 0.11, 6.0)
        self.assertLess(control.factor, 0.2)
        self.assertGreater(control.factor, 0.15)

    def test_throughput_stays_as_promised_while_slots_are_free(self):
        # One long prompt on each engine is a wait, and no overload: callers of a
        # fleet with such prompts were refused for seconds after each burst.
        settings = AdmissionSettings()
        self.assertEqual(self.simulate(3.0, 9.0, 60.0), settings.promised_factor)
        control = ThroughputControl(settings)
        for step in range(100):
            control.correct(50.0, 0.2, step * 0.11, 9.0)
        lowest = control.factor
        for step in range(100, 120):
            control.correct(3.0, 9.0, step * 0.11, 0.3)
        # It does not jump back either.
        self.assertLess(control.factor, 2.0 * lowest)

    def test_factor_stays_within_its_bounds(self):
        settings = AdmissionSettings()
        self.assertEqual(self.simulate(50.0, 9.0, 60.0, 9.0), settings.min_factor)
        self.assertEqual(self.simulate(0.0, 9.0, 60.0), settings.max_factor)


if __name__ == "__main__":
    unittest.main()
