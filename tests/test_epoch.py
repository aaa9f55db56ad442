"""Tests of the epoch and of shares over all processes, on virtual time."""

import unittest

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from carobstair.core.shares import SlotShare
from carobstair.core.store_calls import InstanceEntry
from carobstair.standins.agent_fleet import AgentFleet

LIMIT = 10
LEASE_S = 10.0
UPSTREAM = "e1"


class GreedyCapacity:
    """Takes every slot that its share allows, as soon as it may."""

    def __init__(self, shares):
        self.shares = shares
        self.used = 0

    def tick(self):
        share = self.shares.share(UPSTREAM, LIMIT, 0, 0.0).request_slots
        self.used = max(self.used, share)

    def fits_newest_epoch(self):
        target = self.shares.target_share(UPSTREAM, LIMIT, 0, 0.0)
        return self.used <= target.request_slots

    def in_use(self):
        return {UPSTREAM: SlotShare(self.used)}


def fleet_of(count: int, seed: int = 1) -> AgentFleet:
    """Return a fleet over three zones whose processes take all they may."""
    zones = {f"n{i}": f"z{i % 3}" for i in range(count)}
    fleet = AgentFleet(zones, seed, make_capacity=GreedyCapacity)
    list_instances(fleet, zones)
    return fleet


def list_instances(fleet: AgentFleet, names) -> None:
    """Set the platform's instance list."""
    fleet.store.instances = tuple(InstanceEntry(name) for name in names)


def epochs(fleet: AgentFleet) -> set[tuple[int, int, bool]]:
    """Return (number, size, in transition) over all processes."""
    found = [p.node.shares for p in fleet.processes.values()]
    return {(s.epoch.number, len(s.epoch.members), s.in_transition) for s in found}


class EpochTest(unittest.TestCase):
    """Guards against epochs that change without evidence, or too often."""

    def test_fresh_fleet_opens_its_shares_without_waiting_for_a_lapse(self):
        fleet = fleet_of(8)
        fleet.start_all()
        fleet.run_until(lambda: epochs(fleet) == {(1, 8, False)}, LEASE_S / 2)
        fleet.run(0.1)
        self.assertEqual(in_use(fleet), LIMIT)

    def test_third_of_the_fleet_joining_or_leaving_takes_few_epochs(self):
        fleet = fleet_of(24)
        for i in range(16):
            fleet.start(f"n{i}")
        fleet.run(10.0)
        first = fleet.node("n0").shares.epoch.number
        for i in range(16, 24):
            fleet.start(f"n{i}")
            fleet.run(0.2)
        fleet.run(10.0)
        joined = fleet.node("n0").shares.epoch.number
        self.assertEqual({size for _, size, _ in epochs(fleet)}, {24})
        self.assertLessEqual(joined - first, 4)
        for i in range(16, 24):
            fleet.kill(f"n{i}")
        list_instances(fleet, [f"n{i}" for i in range(16)])
        fleet.run(30.0)
        self.assertEqual({size for _, size, _ in epochs(fleet)}, {16})
        self.assertLessEqual(fleet.node("n0").shares.epoch.number - joined, 4)
        self.assertEqual({t for _, _, t in epochs(fleet)}, {False})

    def test_unreachable_member_keeps_its_place(self):
        fleet = fleet_of(4)
        fleet.start_all()
        fleet.run(5.0)
        fleet.network.split(["n0"], ["n1", "n2", "n3"])
        fleet.network.no_store.add("n0")
        fleet.run(120.0)
        self.assertEqual(epochs(fleet), {(1, 4, False)})
        self.assertNotIn("n0", fleet.node("n1").live_peers())
        fleet.network.heal()
        fleet.run_until(lambda: "n0" in fleet.node("n1").live_peers(), 30.0)

    def test_new_incarnation_replaces_the_old_one_and_waits_for_its_grants(self):
        fleet = fleet_of(3)
        fleet.start_all()
        fleet.run(5.0)
        fleet.start("n1")
        fleet.run(5.0)
        shares = fleet.node("n1").shares
        self.assertIn(("n1", 4), shares.epoch.member_ids())
        self.assertEqual(shares.share(UPSTREAM, LIMIT, 0, 0.0), SlotShare())
        fleet.run(10.0)
        self.assertEqual(in_use(fleet), LIMIT)

    def test_joiner_gets_its_share_only_as_the_others_make_room(self):
        fleet = fleet_of(3)
        fleet.start("n0")
        fleet.start("n1")
        fleet.run(5.0)
        fleet.start("n2")
        fleet.run(10.0)
        self.assertEqual(fleet.processes["n2"].capacity.used, 0)
        for name in ("n0", "n1"):
            fleet.processes[name].capacity.used = 0
        fleet.run(2.0)
        self.assertEqual(in_use(fleet), LIMIT)

    def test_departed_stay_named_until_their_grants_have_lapsed(self):
        fleet = fleet_of(4)
        fleet.start_all()
        fleet.run(5.0)
        fleet.start("n1")
        fleet.run(4.0)
        fleet.start("n2")
        fleet.run(4.0)
        named = {("n1", 2), ("n2", 3)}
        self.assertEqual(set(fleet.node("n0").shares.epoch.departed), named)
        fleet.run(LEASE_S + 3.0)
        fleet.start("n3")
        fleet.run(4.0)
        self.assertEqual(set(fleet.node("n0").shares.epoch.departed), {("n3", 4)})

    def test_dropped_from_the_list_while_it_still_answers_is_no_evidence(self):
        fleet = fleet_of(3)
        fleet.start_all()
        fleet.run(5.0)
        list_instances(fleet, [])
        fleet.run(30.0)
        self.assertEqual(epochs(fleet), {(1, 3, False)})

    def test_leaver_sticks_to_one_receiver_within_an_epoch(self):
        fleet = fleet_of(4)
        fleet.start_all()
        fleet.run(5.0)
        fleet.carry_out("n1", fleet.node("n1").leave(fleet.now_s))
        fleet.run(1.0)
        received = [n for n, p in fleet.processes.items() if p.node.shares._received]
        self.assertEqual(len(received), 1)
        # The epoch stays, as the list still names the receiver.
        fleet.kill(received[0])
        fleet.run(20.0)
        others = [n for n, p in fleet.processes.items() if p.node.shares._received]
        self.assertEqual(others, [])

    def test_leaver_hands_over_its_shares_before_it_ends(self):
        fleet = fleet_of(3)
        fleet.start_all()
        fleet.run(5.0)
        fleet.carry_out("n1", fleet.node("n1").leave(fleet.now_s))
        leaver = fleet.processes["n1"].capacity
        leaver.used = 1
        fleet.run(1.0)
        self.assertEqual(in_use(fleet), LIMIT)
        leaver.used = 0
        fleet.run(1.0)
        self.assertEqual(in_use(fleet), LIMIT)
        fleet.carry_out("n1", fleet.node("n1").announce_departure(fleet.now_s))
        fleet.kill("n1")
        fleet.run(20.0)
        self.assertEqual({size for _, size, _ in epochs(fleet)}, {2})

    def test_store_that_answers_with_an_older_epoch_changes_nothing(self):
        fleet = fleet_of(3)
        fleet.start_all()
        fleet.run(5.0)
        early = fleet.store.version
        fleet.start("n2")
        fleet.run(20.0)
        before = fleet.node("n0").shares.epoch
        fleet.store.reads_from = early
        fleet.start("n1")
        fleet.run(20.0)
        numbers = [fleet.node(n).shares.epoch.number for n in ("n0", "n2")]
        # The writer may know the version of its own last write.
        self.assertGreaterEqual(min(numbers), before.number)
        fleet.store.reads_from = None
        fleet.run(30.0)
        self.assertEqual({t for _, _, t in epochs(fleet)}, {False})
        self.assertIn(("n1", 5), fleet.node("n0").shares.epoch.member_ids())

    def test_write_to_a_store_that_went_back_does_not_reuse_a_number(self):
        fleet = fleet_of(3)
        fleet.start_all()
        fleet.run(5.0)
        older = dict(fleet.store.objects)
        fleet.start("n2")
        fleet.run(20.0)
        before = fleet.node("n0").shares.epoch
        fleet.store.objects = older
        fleet.start("n1")
        fleet.run(20.0)
        after = fleet.node("n0").shares.epoch
        self.assertGreater(after.number, before.number)
        self.assertIn(("n2", 4), after.member_ids())


def in_use(fleet: AgentFleet) -> int:
    """Return the slots in use over all running processes."""
    return sum(p.capacity.used for p in fleet.processes.values())


class SharesMachine(RuleBasedStateMachine):
    """Faults in any order; the limit holds and all share again afterwards."""

    names = ("n0", "n1", "n2", "n3")
    name = st.sampled_from(names)

    def __init__(self):
        super().__init__()
        self.fleet = fleet_of(len(self.names))
        self.fleet.start_all()
        self.fleet.run(3.0)
        # Grants of ended processes run on at their gateways until they lapse.
        self.running_on: list[tuple[float, int]] = []

    @rule(duration_s=st.sampled_from([0.05, 0.3, 1.0, 3.0, 12.0]))
    def wait(self, duration_s):
        end_s = self.fleet.now_s + duration_s
        while self.fleet.now_s < end_s:
            self.fleet.run(0.1)
            self.limit_holds()

    @rule(name=name)
    def kill(self, name):
        if name in self.fleet.processes:
            used = self.fleet.processes[name].capacity.used
            self.running_on.append((self.fleet.now_s + LEASE_S, used))
            self.fleet.kill(name)

    @rule(name=name)
    def start(self, name):
        self.kill(name)
        self.fleet.start(name)

    @rule(name=name, duration_s=st.sampled_from([1.0, 8.0, 20.0]))
    def lose(self, name, duration_s):
        """Remove an instance from the platform; the others take over its share."""
        self.kill(name)
        list_instances(self.fleet, sorted(self.fleet.processes))
        self.wait(duration_s)

    @rule(one=name, other=name, between_s=st.sampled_from([0.0, 1.5]))
    def start_two(self, one, other, between_s):
        self.start(one)
        self.wait(between_s)
        self.start(other)
        self.wait(3.0)

    @rule(name=name)
    def leave(self, name):
        if name in self.fleet.processes:
            node = self.fleet.node(name)
            self.fleet.carry_out(name, node.leave(self.fleet.now_s))

    @rule(name=name, kept=st.integers(0, 2))
    def release(self, name, kept):
        if name in self.fleet.processes:
            capacity = self.fleet.processes[name].capacity
            capacity.used = min(capacity.used, kept)

    @rule(name=name)
    def pause_or_resume(self, name):
        process = self.fleet.processes.get(name)
        if process is not None and process.paused:
            self.fleet.resume(name)
        elif process is not None:
            self.fleet.pause(name)

    @rule(one=name, other=name, both=st.booleans())
    def cut(self, one, other, both):
        self.fleet.network.cut.add((one, other))
        if both:
            self.fleet.network.cut.add((other, one))

    @rule(loss=st.sampled_from([0.0, 0.2]), down=st.booleans())
    def disturb(self, loss, down):
        self.fleet.network.loss = loss
        self.fleet.store.down = down
        self.fleet.store.lose_answers = 1

    @rule()
    def heal(self):
        self.fleet.network.heal()

    @invariant()
    def limit_holds(self):
        now_s = self.fleet.now_s
        ended = sum(used for until_s, used in self.running_on if until_s > now_s)
        assert in_use(self.fleet) + ended <= LIMIT

    def teardown(self):
        """After the last fault everybody holds shares again."""
        self.fleet.network.heal()
        self.fleet.store.down = False
        self.fleet.store.lose_answers = 0
        list_instances(self.fleet, self.names)
        for name in self.names:
            process = self.fleet.processes.get(name)
            if process is None or process.node.leaving:
                self.start(name)
            elif process.paused:
                self.fleet.resume(name)
        for _ in range(12):
            self.wait(5.0)
            for name in self.names:
                self.release(name, 0)
        shares = [p.node.shares for p in self.fleet.processes.values()]
        assert not any(s.in_transition for s in shares), epochs(self.fleet)
        held = [s.share(UPSTREAM, LIMIT, 0, 0.0).request_slots for s in shares]
        assert sum(held) == LIMIT, held


SharesMachine.TestCase.settings = settings(
    max_examples=25, stateful_step_count=25, deadline=None, derandomize=True
)
SharesMachineTest = SharesMachine.TestCase
