"""Tests of what one router sends before a surge shows in the sums of all routers."""

import random
import unittest

from carobstair.core.admission import (
    AdmissionRequest,
    AdmissionSettings,
    EngineLoad,
    FairAdmission,
)
from carobstair.core.admission.fill_limit import FillLimit
from carobstair.core.share_collector import ShareCollector
from carobstair.core.share_exchange import ShareExchange
from carobstair.core.share_messages import PoolDemand, ShareReport, ShareTotals

SETTINGS = AdmissionSettings(work_conserving=True, target_slots_used=1.0)
# Stated target: of the best served workspace.
LEAST_PART = 0.75


def make_load(slots_used=0.5):
    """Return the load of 14 engines of 16 slots."""
    return EngineLoad(14, 224, slots_used=slots_used, free={"u0": 8}, excess={"u0": -8})


class FillLimitTest(unittest.TestCase):
    """Guards against routers that each fill all free slots in the first 0.2 s."""

    def count_sent(self, slots_used, part, do_end=False):
        """Return how many of 1,000 requests within 0.1 s are sent."""
        limit = FillLimit(SETTINGS)
        sent = 0
        for step in range(1000):
            limit.refill(make_load(slots_used), part, 0.1, step / 10_000)
            if limit.is_open(lambda running=0 if do_end else sent: running):
                limit.note_sent()
                sent += 1
        return sent

    def test_routers_fill_free_slots_and_those_that_end_in_the_age_of_the_sums(self):
        # All 112 free slots, and 9 that end, twice: at once and in the time given.
        sent = self.count_sent(0.5, 1.0)
        self.assertAlmostEqual(sent, 2 * 1.2 * 121, delta=5)

    def test_router_with_a_small_part_of_the_demand_sends_little(self):
        sent = self.count_sent(0.5, 1 / 23)
        self.assertLessEqual(sent, 14)

    def test_nothing_is_sent_to_engines_beyond_their_slots(self):
        sent = self.count_sent(1.2, 1.0)
        self.assertLessEqual(sent, 2)

    def test_requests_that_end_at_once_are_not_limited(self):
        # An engine that answers each request before the next one is idle.
        self.assertEqual(self.count_sent(0.0, 1 / 91, True), 1000)


class SurgeTest(unittest.TestCase):
    """Guards against workspaces that are refused for what a surge of another asks."""

    def setUp(self):
        self.load = make_load(1.1)
        self.admission = FairAdmission(SETTINGS, random.Random(1))
        self.running = 0

    def ask(self, workspace, tokens, now_s):
        request = AdmissionRequest(
            "m",
            workspace,
            tokens,
            100_000.0,
            lambda: self.load,
            running=lambda: self.running,
        )
        admitted = self.admission.decide_conserving(request, now_s).admitted
        self.running += admitted
        return admitted

    def test_long_prompts_of_a_small_workspace_are_not_a_surge(self):
        for step in range(100):
            self.ask("small", 1_000.0, step * 0.1)
            self.ask("large", 20_000.0, step * 0.1)
        # Its demand in half a second is now well above the share of each, 50,000.
        admitted = [self.ask("small", 10_000.0, 10.0 + n / 100) for n in range(3)]
        self.assertEqual(admitted, [True] * 3)

    def test_workspace_that_begins_to_ask_for_much_is_limited_at_once(self):
        for step in range(100):
            self.ask("small", 1_000.0, step * 0.1)
            self.ask("large", 20_000.0, step * 0.1)
        admitted = [self.ask("hot", 10_000.0, 10.0 + n / 1000) for n in range(100)]
        self.assertLess(sum(admitted), 10)
        self.assertTrue(self.ask("small", 1_000.0, 10.1))

    def test_workspace_between_the_even_share_and_the_level_is_not_a_surge(self):
        # Two hot workspaces raise the number of workspaces, not what each is due: a
        # third of what the small ones leave, and not a 23rd of the whole.
        others = {f"small{n}": 2_000 for n in range(20)}
        others |= {f"hot{n}": 200_000 for n in range(2)}
        admitted = []
        for step in range(1_000):
            now_s = step / 100
            if step % 20 == 0:
                row = PoolDemand(others, 100_000, 22, engines={"u0": 224})
                self.admission.note_totals(ShareTotals({"m": row}), now_s)
            self.ask("small0", 1.0, now_s)
            if step >= 850:
                admitted.append(self.ask("new", 80.0, now_s))
        pool = self.admission._conserving.pools["m"]
        self.assertLess(pool.even_share, 8_000.0)
        self.assertGreater(pool.level, 8_000.0)
        self.assertEqual(admitted, [True] * 150)


class OverTargetTest(unittest.TestCase):
    """Guards against an overload of the engines that only new demand pays for.

    While engines were beyond their target, a workspace whose demand had just risen
    got nothing for a second, and one that had asked for much all the while its share.
    """

    CAPACITY = 100_000.0
    TOKENS = 500.0

    def compare(self, slots_used, seed):
        """Return the tokens of both from 0.25 s to 1.25 s after the demand rose."""
        admission = FairAdmission(SETTINGS, random.Random(seed))
        rng = random.Random(seed)
        admitted = dict.fromkeys(("old", "new"), 0.0)
        for step in range(11_250):
            now_s = step / 1000
            load = make_load(slots_used if now_s > 10.2 else 1.0)
            for workspace in admitted:
                demand = 4.0 if workspace == "old" else 1.0 if now_s >= 10.0 else 0.02
                if rng.random() >= demand * self.CAPACITY / self.TOKENS / 1000:
                    continue
                request = AdmissionRequest(
                    "m", workspace, self.TOKENS, self.CAPACITY, lambda now=load: now
                )
                decision = admission.decide_conserving(request, now_s)
                if now_s >= 10.25:
                    admitted[workspace] += self.TOKENS * decision.admitted
        return admitted

    def test_workspace_whose_demand_rises_gets_its_share_of_loaded_engines(self):
        for slots_used in (1.0, 1.15, 1.3, 1.4, 1.5):
            for seed in (1, 2, 3):
                with self.subTest(slots_used=slots_used, seed=seed):
                    admitted = self.compare(slots_used, seed)
                    least = LEAST_PART * admitted["old"]
                    self.assertGreaterEqual(admitted["new"], least)


class RoomShareTest(unittest.TestCase):
    """Guards against room that is given in proportion to the number of requests."""

    def test_two_workspaces_get_the_same_whatever_they_ask_for(self):
        admission = FairAdmission(SETTINGS, random.Random(1))
        load = make_load(0.8)
        begun = dict.fromkeys(("often", "seldom"), 0)
        for step in range(20_000):
            for workspace, every in (("often", 1), ("seldom", 8)):
                if step % every:
                    continue
                request = AdmissionRequest(
                    "m",
                    workspace,
                    100.0,
                    1_000.0,
                    lambda: load,
                    room=lambda: True,
                )
                decision = admission.decide_conserving(request, step / 1000)
                begun[workspace] += decision.admitted and step > 5_000
        self.assertLess(max(begun.values()), 1.15 * min(begun.values()))


class LoadedExchangeTest(unittest.TestCase):
    """Guards against sums that are older than a surge takes to fill the engines."""

    HEARD = {"a": [f"r{n}" for n in range(1, 23)]}

    def make_exchange(self, settings=SETTINGS):
        admission = FairAdmission(settings, random.Random(1))
        return ShareExchange("r0", "a", admission), admission

    def ask(self, admission, slots_used, now_s):
        request = AdmissionRequest("m", "w", 1.0, 1e6, lambda: make_load(slots_used))
        admission.decide_conserving(request, now_s)

    def test_exchange_is_often_while_engines_are_loaded(self):
        exchange, admission = self.make_exchange()
        self.assertEqual(exchange.check_interval_s(self.HEARD), 0.2)
        self.ask(admission, 0.3, 0.0)
        exchange.tick(self.HEARD, 0.0)
        self.assertLess(exchange.check_interval_s(self.HEARD), 0.1)
        self.assertFalse(exchange.is_due(self.HEARD, 0.06))
        self.assertTrue(exchange.is_due(self.HEARD, 0.2))
        self.ask(admission, 0.9, 0.2)
        self.assertTrue(exchange.is_due(self.HEARD, 0.21))

    def test_exchange_is_as_before_without_the_setting(self):
        exchange, admission = self.make_exchange(AdmissionSettings())
        admission.decide("m", "w", 1.0, 1e6, lambda: 2.0, 0.0)
        exchange.tick(self.HEARD, 0.0)
        self.assertEqual(exchange.check_interval_s(self.HEARD), 0.2)

    def test_collector_without_requests_of_its_own_follows_the_reports(self):
        exchange, _ = self.make_exchange()
        row = PoolDemand({"w": 1}, samples=1, pressures=0.9, engines={"u0": 1})
        exchange.on_report("r1", ShareReport({"m": row}), 0.0)
        self.assertTrue(exchange.is_due(self.HEARD, 0.01))

    def test_requests_of_a_router_that_ended_leave_no_load(self):
        # While three in five routers restarted, the others left engines idle.
        collector = ShareCollector()
        row = PoolDemand({"w": 9}, admitted=5, samples=1, engines={"u0": 8})
        old = PoolDemand({"w": 9}, admitted=5, samples=1)
        collector.note_report("r1", {"m": row, "old": old}, 0.0)
        collector.expire(0.2, 0.7)
        self.assertEqual(collector.zone_totals()["m"].engines, {"u0": 8})
        collector.expire(0.2, 0.9)
        totals = collector.zone_totals()
        self.assertEqual((totals["m"].engines, totals["m"].admitted), ({}, 0))
        self.assertEqual(totals["m"].demands, {"w": 9})
        self.assertEqual(totals["old"].admitted, 5)

    def test_exchange_is_calm_again_when_requests_have_ended(self):
        exchange, admission = self.make_exchange()
        self.ask(admission, 1.0, 0.0)
        admission.report(60.0)
        self.assertEqual(exchange.check_interval_s(self.HEARD), 0.2)

    def test_age_follows_the_interval_and_a_lost_message(self):
        _, admission = self.make_exchange()
        self.assertAlmostEqual(admission.lag_s(0.0), SETTINGS.lag_s)
        for step in range(20):
            admission.note_totals(ShareTotals({}), step * 0.05)
        self.assertAlmostEqual(admission.lag_s(0.95), 0.1)
        admission.note_totals(ShareTotals({}), 1.05)
        self.assertLess(admission.lag_s(1.05), 0.15)
        # A collector that is lost or frozen.
        self.assertAlmostEqual(admission.lag_s(3.0), SETTINGS.lag_s)


if __name__ == "__main__":
    unittest.main()
