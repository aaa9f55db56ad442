"""Tests of roll-outs on simulated time: good and bad versions, and failures."""

import unittest

from carobstair.core.directory import UpstreamDirectory, UpstreamEntry
from carobstair.core.engine_load import PromptShape
from carobstair.core.rollouts import (
    OrderDirective,
    Phase,
    RolloutController,
    RolloutNews,
    RolloutOrder,
    RolloutSettings,
    RolloutState,
    VersionGate,
    WriteStatus,
)
from carobstair.core.shares import rendezvous_rank
from carobstair.core.store_stamp import Stamp
from rollout_simulation import SERVICE, FleetSimulation, Population
from test_directory import make_entry
from test_send_limits import POOL, make_dispatcher

BAD = {
    "5 %": Population(0.05),
    "10 %": Population(0.1),
    "30 %": Population(0.3),
    "three times slower": Population(slow_part=1.0),
    "late": Population(0.2, from_part=0.75),
    "under load": Population(0.2, min_load=0.6),
    "one route": Population(0.2, routes=("large",)),
    "beside failing engines": Population(0.1, failing_upstreams=2),
}
GOOD = {
    "good": Population(),
    "some bad answers of both": Population(usual_bad=0.02),
    "failing engines of both": Population(failing_upstreams=2),
}


class PopulationTest(unittest.TestCase):
    """Guards against bad versions that stay, and good ones that are undone."""

    def check_bad(self, name, routers, seed):
        """Run a bad version and check the bounds."""
        run = FleetSimulation(BAD[name], routers, seed).run()
        with self.subTest(name, routers=routers, seed=seed, run=run.summary()):
            self.assertEqual(run.status, RolloutState.ROLLED_BACK)
            self.assertLessEqual(run.exposed, run.bound)
            self.assertEqual(run.sent_late, 0)
            self.assertLessEqual(run.bad_at_verdict, 50)

    def check_good(self, name, routers, seed):
        """Run a good version and check that it is in time and old ones get nothing."""
        run = FleetSimulation(GOOD[name], routers, seed).run()
        with self.subTest(name, routers=routers, seed=seed, run=run.summary()):
            self.assertEqual(run.status, RolloutState.COMPLETED)
            self.assertLess(run.verdict_s, run.duration_s)
            self.assertEqual(run.old_after_completed, 0)

    def test_bad_versions_are_found_within_the_bounds(self):
        for name in BAD:
            for seed in range(3):
                self.check_bad(name, 8, seed)

    def test_bad_versions_are_found_by_large_fleets(self):
        self.check_bad("5 %", 72, 1)
        self.check_bad("late", 72, 1)
        self.check_bad("10 %", 195, 1)

    def test_good_versions_are_completed_in_time(self):
        for name in GOOD:
            for seed in range(3):
                self.check_good(name, 8, seed)

    def test_good_versions_are_completed_by_large_fleets(self):
        self.check_good("good", 72, 1)
        self.check_good("good", 195, 1)

    def test_version_that_turns_bad_in_the_last_phase_stays_within_the_bound(self):
        for seed in range(3):
            run = FleetSimulation(Population(0.2, from_part=0.84), 8, seed).run()
            with self.subTest(seed=seed, run=run.summary()):
                self.assertEqual(run.status, RolloutState.ROLLED_BACK)
                self.assertLessEqual(run.exposed, run.bound)

    def test_exposure_stays_low_until_the_ramp(self):
        run = FleetSimulation(Population(), 8).run(until_s=8.0)
        self.assertLess(run.exposed, 0.08 * run.requests)


class FailureTest(unittest.TestCase):
    """Guards against roll-outs that stick when a part of the fleet fails."""

    def check(self, run, state):
        """Check the verdict, and that it was written once."""
        self.assertEqual(run.status, state, run.summary())
        self.assertEqual(sum(accepted for *_, accepted in run.writes), 1)

    def test_collectors_lost_at_each_step(self):
        for lost_s in (0.3, 2.0, 6.0, 8.4, 9.2, 10.2, 10.9):
            with self.subTest(lost_s=lost_s):
                run = FleetSimulation(Population(), 8).run(until_s=lost_s)
                for name in rendezvous_rank("rollouts", sorted(run.present))[:2]:
                    run.lose_router(name)
                self.check(run.run(), RolloutState.COMPLETED)

    def test_collectors_lost_before_they_write(self):
        run = FleetSimulation(Population(0.3), 8, seed=2)
        run.store_up = False
        while not any(e.event == "rollout_verdict" for *_, e in run.events):
            run.run(until_s=run.now_s + 0.05)
        # The decision has reached the others.
        run.run(until_s=run.now_s + 0.1)
        for name in rendezvous_rank("rollouts", sorted(run.present))[:2]:
            run.lose_router(name)
        run.store_up = True
        found_s = run.now_s
        self.check(run.run(), RolloutState.ROLLED_BACK)
        self.assertLess(run.verdict_s - found_s, 3.0)

    def test_lost_answers_to_the_write(self):
        run = FleetSimulation(Population(), 8)
        run.lose_answers = True
        self.check(run.run(), RolloutState.COMPLETED)

    def test_two_routers_that_write_at_once(self):
        for seed in range(4):
            run = FleetSimulation(Population(0.3), 2, seed).run()
            self.check(run, RolloutState.ROLLED_BACK)

    def test_routers_that_restart_count_on(self):
        run = FleetSimulation(Population(), 8).run(until_s=7.0)
        for name in ("r0", "r1", "r2", "r3"):
            run.start_router(name, incarnation=2)
        run.publish(is_first=True)
        self.check(run.run(), RolloutState.COMPLETED)
        self.assertLess(run.verdict_s, run.duration_s)

    def test_store_outage_at_the_verdict(self):
        run = FleetSimulation(Population(0.3), 8)
        run.store_up = False
        run.run(until_s=6.0)
        # Nothing is sent to the bad version although no status says so.
        self.assertEqual(run.sent_late, 0)
        run.store_up = True
        self.check(run.run(), RolloutState.ROLLED_BACK)

    def test_upstreams_that_never_come(self):
        run = FleetSimulation(Population(), 8, new_from_s=None).run()
        self.check(run, RolloutState.ROLLED_BACK)
        self.assertEqual(run.exposed, 0)
        self.assertLess(run.verdict_s, run.duration_s)

    def test_upstreams_that_come_some_seconds_later(self):
        run = FleetSimulation(Population(), 8, new_from_s=3.0).run()
        self.check(run, RolloutState.COMPLETED)


class WithoutOrderTest(unittest.TestCase):
    """Guards the choice of upstreams where no roll-outs are in force."""

    def choices(self, versions):
        """Return the choices among upstreams of some versions, from one seed."""
        dispatcher = make_dispatcher()
        for number, version in enumerate(versions):
            entry = make_entry(f"u{number}", version=version)
            dispatcher.directory.put(entry, Stamp(0, 1), 0.0)
        prompt = PromptShape(1000, 10)
        chosen = [
            dispatcher.choose(POOL, prompt, (), 1.0, version_draw=draw / 50).upstream_id
            for draw in range(50)
        ]
        return chosen, dispatcher.pressure(POOL.name, 1.0), dispatcher.rng.random()

    def test_versions_make_no_difference(self):
        self.assertEqual(self.choices(["v1", "v1", "v2", ""]), self.choices([""] * 4))


class OrderTest(unittest.TestCase):
    """Guards against orders that are mixed up with former ones."""

    def setUp(self):
        self.directory = UpstreamDirectory()
        self.revision = 0
        self.settings = RolloutSettings()
        self.controller = RolloutController("r0", 1, self.settings)
        self.gate = VersionGate(self.directory, self.controller, self.settings)
        for name, version in (("a", "v1"), ("b", "v1"), ("c", "v1")):
            self.list_upstream(name, version)
        self.gate.keep(0.0)
        for name in ("d", "e"):
            self.list_upstream(name, "v2")

    def list_upstream(self, name, version, draining=False, born_ms=1):
        """List an upstream of a version."""
        entry = UpstreamEntry(
            name, SERVICE, "h", 1, "a", 8, draining, 0.0, born_ms, version
        )
        self.revision += 1
        self.directory.put(entry, Stamp(0, self.revision), 0.0)

    def drain_old(self):
        """Let all upstreams of the old version drain."""
        for name in "abc":
            self.list_upstream(name, "v1", draining=True)
        self.gate.on_upstreams_changed()

    def order(
        self, revision, target="v2", stated=None, now_s=0.0, era=0, is_first=False
    ):
        """Apply an object of the store."""
        order = RolloutOrder(SERVICE, target, 10.0, Stamp(era, revision))
        self.controller.on_order(order, stated, now_s, is_first)
        return order

    def decide(self, phase, share, now_s, revision=5):
        """Apply the decision of a collector."""
        row = OrderDirective(SERVICE, "v2", (0, revision), now_s, phase, share)
        self.controller.on_news("r1", RolloutNews([row]), now_s)

    def allowed(self, now_s):
        """Return the ids of the upstreams that may get requests."""
        entries = self.directory.listed(SERVICE)
        allowed = (e.upstream_id for e in entries if self.gate.allows(e, now_s))
        return "".join(sorted(allowed))

    def writes(self, now_s):
        """Return the writes that are due."""
        effects = self.controller.tick(["r1", "r2", "r3"], 3, now_s)
        return [e for e in effects if isinstance(e, WriteStatus)]

    def test_version_without_order_waits(self):
        # Just after a plan without the new version was computed.
        self.gate.on_upstreams_changed()
        self.assertEqual(self.allowed(0.01), "abc")
        self.assertEqual(self.allowed(5.2), "abcde")

    def test_nothing_is_sent_without_evidence(self):
        self.order(5)
        self.assertEqual(self.allowed(0.2), "abc")
        self.decide(Phase.CANARY, 0.07, 1.0)
        self.assertEqual(self.allowed(1.1), "abcde")
        # A router that was frozen or is cut off has no decision for three seconds.
        self.assertEqual(self.allowed(4.2), "abc")

    def test_evidence_ends_before_the_time_to_roll_back(self):
        for rollback_s, timeout_s in ((2.0, 1.2), (5.0, 3.0), (60.0, 3.0)):
            with self.subTest(rollback_s=rollback_s):
                self.controller.settings = RolloutSettings(rollback_s=rollback_s)
                self.order(5)
                self.decide(Phase.CANARY, 0.07, 1.0)
                self.assertEqual(self.controller.share(SERVICE, 0.9 + timeout_s), 0.07)
                self.assertEqual(self.controller.share(SERVICE, 1.1 + timeout_s), 0.0)

    def test_verdicts_move_all_requests(self):
        self.order(5)
        self.order(6, stated=RolloutState.COMPLETED, now_s=1.0)
        self.assertEqual(self.allowed(1.1), "de")
        self.assertEqual(self.gate.groups(SERVICE, 0.99, 1.1)[-1], {"d", "e"})

    def test_bad_verdict_takes_effect_without_status(self):
        self.order(5)
        self.decide(Phase.CANARY, 0.07, 1.0)
        self.decide(Phase.BAD, 0.0, 1.2)
        self.assertEqual(self.allowed(1.2), "abc")
        # A decision that was sent before does not undo it.
        self.decide(Phase.CANARY, 0.07, 1.3)
        self.assertEqual(self.allowed(1.4), "abc")

    def test_same_version_is_ordered_again(self):
        self.order(5)
        self.order(6, stated=RolloutState.ROLLED_BACK, now_s=3.0)
        self.order(9, now_s=20.0)
        self.decide(Phase.BAD, 0.0, 20.5, revision=5)
        self.decide(Phase.CANARY, 0.07, 21.0, revision=9)
        self.assertEqual(self.allowed(21.1), "abcde")

    def test_order_is_changed_midway(self):
        self.order(5)
        self.decide(Phase.FULL, 1.0, 1.0)
        self.list_upstream("f", "v3")
        self.order(8, target="v3", now_s=2.0)
        self.assertEqual(self.controller.share(SERVICE, 2.1), 0.0)
        self.assertEqual(self.controller.state_of(SERVICE).order.target, "v3")

    def test_removed_order_leaves_plain_upstreams(self):
        self.order(5)
        self.decide(Phase.BAD, 0.0, 1.0)
        self.assertEqual(self.allowed(1.1), "abc")
        self.controller.on_removed(SERVICE, 2.0)
        self.assertEqual(self.allowed(2.1), "abcde")

    def test_status_of_a_restored_store_is_written_again(self):
        self.order(50)
        self.order(51, stated=RolloutState.ROLLED_BACK, now_s=3.0)
        self.order(20, now_s=10.0, era=1)
        self.assertEqual(self.allowed(10.1), "abc")
        due = self.writes(10.2) + self.writes(12.0)
        self.assertEqual(due[0].state, RolloutState.ROLLED_BACK)
        self.assertEqual(due[0].stamp, Stamp(1, 20))

    def test_restored_store_that_lacks_the_order(self):
        self.order(50)
        self.order(51, stated=RolloutState.ROLLED_BACK, now_s=3.0)
        self.controller.on_removed(SERVICE, 10.0, was_restored=True)
        self.controller.tick([], 0, 12.0)
        self.assertEqual(self.allowed(12.0), "abc")

    def test_running_version_is_not_rolled_out(self):
        for name in "abc":
            self.directory.remove(name, Stamp(0, 99), None)
        self.order(5)
        self.assertEqual(self.allowed(1.0), "de")
        self.assertEqual(self.writes(9.9), [])

    def test_running_version_beside_others_is_not_rolled_out(self):
        self.order(5, target="v1")
        self.assertEqual(self.allowed(0.2), "abc")
        self.assertEqual(self.writes(9.9), [])

    def test_former_version_can_be_ordered_back(self):
        self.order(5)
        self.order(6, stated=RolloutState.COMPLETED, now_s=1.0)
        self.assertEqual(self.allowed(1.1), "de")
        self.order(7, target="v1", now_s=2.0)
        self.assertEqual(self.allowed(2.1), "de")
        self.assertIsNotNone(self.controller.state_of(SERVICE))

    def test_bad_version_stays_hidden_from_the_next_order(self):
        self.order(5)
        self.order(6, stated=RolloutState.ROLLED_BACK, now_s=3.0)
        self.assertEqual(self.allowed(3.1), "abc")
        for revision, target in ((7, "v1"), (8, "v3")):
            with self.subTest(target):
                self.order(revision, target=target, now_s=float(revision))
                self.assertEqual(self.allowed(revision + 0.5), "abc")
        self.order(9, now_s=20.0)
        self.decide(Phase.CANARY, 0.07, 21.0, revision=9)
        self.assertEqual(self.allowed(21.1), "abcde")

    def test_version_that_was_not_judged_stays_hidden_from_the_next_order(self):
        self.order(5)
        self.decide(Phase.CANARY, 0.07, 1.0)
        self.assertEqual(self.allowed(1.1), "abcde")
        self.order(8, target="v3", now_s=2.0)
        self.assertEqual(self.allowed(12.0), "abc")

    def test_version_without_order_serves_if_the_old_one_drains(self):
        self.assertEqual(self.allowed(0.1), "abc")
        self.drain_old()
        self.assertEqual(self.allowed(1.0), "abcde")

    def test_undone_version_serves_only_if_the_old_one_drains(self):
        self.order(5)
        self.order(6, stated=RolloutState.ROLLED_BACK, now_s=3.0)
        for entry in self.directory.listed(SERVICE):
            if entry.version == "v1":
                self.directory.note_pause(entry, 9.0)
        self.assertEqual(self.allowed(8.0), "abc")
        self.drain_old()
        self.assertEqual(self.allowed(8.1), "abcde")

    def test_router_that_starts_late_hides_later_versions_for_a_time(self):
        self.order(5, stated=RolloutState.COMPLETED, is_first=True)
        self.assertEqual(self.allowed(0.1), "de")
        self.assertEqual(self.allowed(9.0), "de")
        self.assertEqual(self.allowed(11.0), "abcde")

    def test_replaced_upstreams_stay_hidden_while_the_new_version_serves(self):
        self.order(5)
        self.order(6, stated=RolloutState.COMPLETED, now_s=1.0)
        self.assertEqual(self.allowed(1.1), "de")
        self.assertEqual(self.allowed(99.0), "de")
        # Started after the completion, of a version that is not ordered.
        self.list_upstream("a", "v1", born_ms=9)
        self.assertEqual(self.allowed(99.1), "ade")
        for name in "de":
            self.list_upstream(name, "v2", draining=True)
        self.assertEqual(self.allowed(99.2), "abcde")

    def test_router_that_starts_in_a_roll_out_uses_the_oldest_version(self):
        """Guards against a choice by number or name of the version."""
        self.directory = UpstreamDirectory()
        self.gate = VersionGate(self.directory, self.controller, self.settings)
        for name, version, born_ms in (
            ("a", "v9", 5),
            ("b", "v10", 8),
            ("c", "v10", 7),
        ):
            self.list_upstream(name, version, born_ms=born_ms)
        self.assertEqual(self.allowed(0.1), "a")

    def test_few_upstreams_take_the_share(self):
        self.order(5)
        for number in range(20):
            self.list_upstream(f"old{number}", "v1")
            self.list_upstream(f"new{number}", "v2")
        self.decide(Phase.CANARY, 0.07, 1.0)
        new, old = self.gate.groups(SERVICE, 0.0, 1.1)
        self.assertEqual((len(new), len(old)), (2, 23))


if __name__ == "__main__":
    unittest.main()
