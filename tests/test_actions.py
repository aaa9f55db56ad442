"""Tests of actions with idempotency keys, in virtual time."""

import random
import unittest
from collections import Counter

from action_simulation import Faults, Simulation
from carobstair.core import action_events as ev
from carobstair.core.action_phases import ActionSettings, Phase
from carobstair.core.action_records import LocalAttempts, RecordState, decode_record
from carobstair.core.actions import ActionMachine
from carobstair.core.refusals import Ran, Refusal, refuse

ACTIONS = 3000
# Refusals that say only whether this request ran: without the record store, a
# router can't tell what an earlier request with the same key did.
REQUEST_SCOPED_REFUSALS = ("record-store-unavailable", "key-reused")
NO_FAULTS = Faults(**dict.fromkeys(Faults.__dataclass_fields__, 0.0))


def is_not_run_refusal(result):
    """Return whether a result is a refusal that states that the request did not run."""
    return isinstance(result, Refusal) and result.kind.ran is Ran.NO


def schedule_load(simulation):
    """Schedule actions together with kills, partitions and store outages."""
    rng = random.Random(simulation.seed + 1)
    names = list(simulation.routers)
    for number in range(ACTIONS):
        start_s = rng.random() * 600
        for _ in range(rng.randint(1, 4)):
            delay_s = start_s + rng.choice((0, 0.01, 0.3, 2, 8, 30)) * (rng.random())
            body = "other" if rng.random() < 0.03 else "b"
            timeout_s = rng.choice((0.05, 0.4, 2, 20))
            disconnects = rng.random() < 0.3

            def send(key=f"k{number}", args=(body, timeout_s, disconnects)):
                live = [n for n in names if simulation.routers[n].alive]
                simulation.call(rng.choice(live), key, *args)

            simulation.schedule(delay_s, send)
    for _ in range(60):
        at_s, name = rng.random() * 600, rng.choice(names)
        kind = rng.choice(("kill", "partition", "store"))
        schedule_fault(simulation, kind, at_s, name, rng.random() * 6)


def schedule_fault(simulation, kind, at_s, name, duration_s):
    """Schedule a kill or a partition of a router, or a store outage, for a time."""

    def kill():
        if sum(r.alive for r in simulation.routers.values()) > 1:
            simulation.kill(name)
            simulation.schedule(duration_s, lambda: simulation.start(name))

    def partition():
        router = simulation.routers[name]
        router.partitioned = True
        simulation.schedule(duration_s, lambda: setattr(router, "partitioned", False))

    def store():
        simulation.store_down = True
        simulation.schedule(
            duration_s, lambda: setattr(simulation, "store_down", False)
        )

    simulation.schedule(
        at_s, {"kill": kill, "partition": partition, "store": store}[kind]
    )


class RandomisedActionsTest(unittest.TestCase):
    """Guards against actions run twice, false "not run" refusals and lost answers."""

    def test_thousands_of_actions_through_faults(self):
        for seed in (1, 5):
            with self.subTest(seed=seed):
                simulation = Simulation(seed)
                schedule_load(simulation)
                simulation.run()
                self.check(simulation)

    def check(self, simulation):
        runs = Counter(simulation.journal)
        self.assertEqual([k for k, n in runs.items() if n > 1], [])
        unanswered = [c for c in simulation.calls if c.result is None]
        self.assertEqual(unanswered, [], "callers without an answer")
        for call in simulation.calls:
            if call.body == "other" or not isinstance(call.result, Refusal):
                continue
            if (
                is_not_run_refusal(call.result)
                and call.result.kind.name not in REQUEST_SCOPED_REFUSALS
            ):
                ran = any(
                    s.key == call.key and s.ran and s.sent_s <= call.answered_s
                    for s in simulation.sends
                )
                self.assertFalse(ran, f"{call.key}: {call.result.kind.name}")
        self.check_replays(simulation, runs)

    def check_replays(self, simulation, runs):
        """Check that each recorded outcome is returned again to later requests."""
        simulation.faults = NO_FAULTS
        first = len(simulation.calls)
        for number, (key, (router, body)) in enumerate(
            simulation.answered_actions.items()
        ):
            found = simulation.store.get(key)
            written = found and decode_record(found[1]).state is RecordState.DONE
            if router.alive or written:
                args = ("r0", key, body)
                simulation.schedule(
                    number * 0.1, lambda args=args: simulation.call(*args)
                )
        simulation.run()
        self.assertGreater(len(simulation.calls) - first, ACTIONS / 2)
        for call in simulation.calls[first:]:
            number = simulation.journal.index(call.key) + 1
            self.assertEqual(call.result.body, b"%d" % number)
        for call in simulation.calls:
            if getattr(call.result, "body", None) is not None:
                number = simulation.journal.index(call.key) + 1
                self.assertEqual(call.result.body, b"%d" % number)
        self.assertEqual(Counter(simulation.journal), runs)


class ActionStepsTest(unittest.TestCase):
    """Guards each step against kills, delays, repeats and mismatched answers."""

    def simulation(self, **faults):
        return Simulation(5, 2, Faults(**{**vars(NO_FAULTS), **faults}))

    def test_concurrent_and_later_callers_share_one_run(self):
        simulation = self.simulation()
        for delay_s in (0, 0, 0.01, 0.05, 30, 3000):
            for name in ("r0", "r1"):
                simulation.schedule(delay_s, lambda n=name: simulation.call(n, "k"))
        simulation.run()
        self.assertEqual(simulation.journal, ["k"])
        self.assertEqual({c.result.body for c in simulation.calls}, {b"1"})

    def test_kill_at_every_step_never_runs_twice(self):
        for step in range(60):
            simulation = self.simulation()
            simulation.call("r0", "k")
            simulation.schedule(step * 0.03, lambda w=simulation: w.kill("r0"))
            simulation.schedule(step * 0.03 + 0.5, lambda w=simulation: w.start("r0"))
            simulation.schedule(
                step * 0.03 + 0.6, lambda w=simulation: w.call("r0", "k")
            )
            simulation.schedule(
                step * 0.03 + 0.6, lambda w=simulation: w.call("r1", "k")
            )
            simulation.run()
            self.assertLessEqual(len(simulation.journal), 1, step)
            for call in simulation.calls[1:]:
                self.assertFalse(
                    is_not_run_refusal(call.result) and simulation.journal, step
                )

    def test_lost_store_answers_are_settled(self):
        simulation = self.simulation(store_answer_lost=1.0)
        simulation.call("r0", "k")
        simulation.schedule(
            1.5, lambda: setattr(simulation.faults, "store_answer_lost", 0.0)
        )
        simulation.run()
        simulation.call("r1", "k")
        simulation.run()
        self.assertLessEqual(len(simulation.journal), 1)
        self.assertTrue(simulation.calls[-1].result.body)

    def test_store_down_refuses_and_nothing_is_sent(self):
        simulation = self.simulation(store_request_lost=1.0)
        simulation.call("r0", "k")
        simulation.run()
        self.assertEqual(
            simulation.calls[0].result.kind.name, "record-store-unavailable"
        )
        self.assertEqual(simulation.sends, [])

    def test_store_outage_after_the_send_still_answers_on_both_routers(self):
        simulation = self.simulation()
        simulation.call("r0", "k")
        simulation.run(until_s=0.0)
        while not simulation.sends:
            simulation.run(until_s=simulation.now_s + 0.01)
            simulation.now_s += 0.01
        simulation.store_down = True
        simulation.schedule(5.0, lambda: simulation.call("r1", "k"))
        simulation.run(until_s=20.0)
        self.assertEqual([c.result.body for c in simulation.calls], [b"1", b"1"])
        simulation.store_down = False
        simulation.run()
        record = decode_record(simulation.store["k"][1])
        self.assertIs(record.state, RecordState.DONE)

    def test_lost_late_and_mismatched_answers_are_unknown_everywhere(self):
        for fault in (
            "ledger_answer_lost",
            "ledger_request_late",
            "ledger_answer_mismatched",
        ):
            simulation = self.simulation(**{fault: 1.0})
            simulation.call("r0", "k")
            simulation.schedule(0.1, lambda w=simulation: w.call("r1", "k"))
            simulation.run()
            simulation.call("r1", "k")
            simulation.run()
            names = {c.result.kind.name for c in simulation.calls}
            self.assertEqual(names, {"answer-lost"}, fault)
            self.assertEqual(simulation.journal, ["k"], fault)

    def test_action_that_was_not_run_frees_its_key(self):
        simulation = self.simulation(ledger_refuses=1.0)
        simulation.call("r0", "k")
        simulation.run()
        self.assertEqual(simulation.calls[0].result.kind.name, "upstream-refused")
        self.assertEqual(simulation.store, {})
        simulation.faults.ledger_refuses = 0.0
        simulation.call("r1", "k")
        simulation.run()
        self.assertEqual(simulation.calls[1].result.body, b"1")

    def test_unsent_record_is_taken_over_while_its_delete_is_lost(self):
        simulation = self.simulation(ledger_refuses=1.0)
        simulation.call("r0", "k")
        simulation.run(until_s=0.0)
        while simulation.calls[0].result is None:
            simulation.run(until_s=simulation.now_s + 0.01)
            simulation.now_s += 0.01
        simulation.faults = NO_FAULTS
        simulation.routers["r0"].runs["k"].effects.clear()
        simulation.call("r1", "k")
        simulation.run(until_s=simulation.now_s + 30)
        self.assertEqual(simulation.journal, ["k"])
        self.assertEqual(simulation.calls[1].result.body, b"1")

    def test_caller_during_the_release_gets_the_run_of_another_router(self):
        simulation = self.simulation(ledger_refuses=1.0, store_request_lost=0.0)
        simulation.call("r0", "k")
        while simulation.calls[0].result is None:
            simulation.run(until_s=simulation.now_s + 0.01)
            simulation.now_s += 0.01
        releasing = simulation.routers["r0"].runs["k"]
        releasing.effects.clear()
        simulation.faults = NO_FAULTS
        simulation.call("r1", "k")
        simulation.run(until_s=simulation.now_s + 30)
        simulation.call("r0", "k")
        simulation.run()
        self.assertEqual([c.result.body for c in simulation.calls[1:]], [b"1", b"1"])

    def test_disconnecting_caller_does_not_abandon_a_sent_action(self):
        simulation = self.simulation()
        simulation.call("r0", "k", timeout_s=1.2, disconnects=True)
        simulation.run()
        self.assertEqual(simulation.journal, ["k"])
        simulation.call("r1", "k")
        simulation.run()
        self.assertEqual(simulation.calls[1].result.body, b"1")

    def test_action_reported_as_not_run_is_not_sent_when_its_record_appears(self):
        for abandoned, now_s in ((True, 5.0), (False, 10.0)):
            attempts = LocalAttempts(("r9", 1), random.Random(1))
            machine = ActionMachine("b", attempts, ActionSettings(), 10.0)
            machine.begin()
            machine.on(ev.RecordMissing(), 0, 0)
            [create] = machine.on(ev.SlotGranted(), 0, 0)
            machine.on(ev.StoreNoAnswer(), 1, 0)
            if abandoned:
                self.assertTrue(
                    is_not_run_refusal(machine.deadline_refusal(only_caller=True))
                )
                machine.abandon()
            effects = machine.on(ev.RecordFound(create.record, 1), now_s, 0)
            self.assertEqual(effects[0], ev.ReleaseSlot())
            self.assertTrue(is_not_run_refusal(effects[1].result))
            self.assertTrue(attempts.was_not_sent(create.record.attempt_id))

    def test_other_body_is_refused(self):
        simulation = self.simulation()
        simulation.call("r0", "k", "one")
        simulation.call("r0", "k", "two")
        simulation.run()
        simulation.call("r1", "k", "three")
        simulation.run()
        names = [c.result.kind.name for c in simulation.calls[1:]]
        self.assertEqual(names, ["key-reused", "key-reused"])

    def test_refused_slot_checks_whether_another_router_ran_it(self):
        simulation = self.simulation()
        attempts = LocalAttempts(("r9", 1), random.Random(1))
        machine = ActionMachine("b", attempts, ActionSettings(), 10.0)
        machine.begin()
        self.assertEqual(machine.on(ev.RecordMissing(), 0, 0), [ev.AcquireSlot()])
        refused = ev.SlotRefused(refuse("queue-full"))
        self.assertEqual(machine.on(refused, 0, 0), [ev.ReadRecord()])
        simulation.call("r0", "k")
        simulation.run()
        found = ev.RecordFound(decode_record(simulation.store["k"][1]), 2)
        [finish] = machine.on(found, 0, 0)
        self.assertEqual(finish.result.body, b"1")
        self.assertIs(machine.phase, Phase.ENDED)


if __name__ == "__main__":
    unittest.main()
