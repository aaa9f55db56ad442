"""Tests of orders to upstreams and the leases under them, on virtual time."""

import random
import unittest
from collections import Counter
from dataclasses import replace

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from carobstair.core.leases import Lease, LeaseSettings
from carobstair.core.state import Ticket, Upstream, UpstreamKind
from carobstair.core.store_calls import (
    StoreAnswer,
    StoreCalls,
    StoredObject,
    StoreOutcome,
)
from carobstair.standins.agent_fleet import AgentFleet

SLOTS = 2


def engine(name: str, checks_fencing: bool, versions=("v1",)) -> Upstream:
    """Return an engine that wants versions of a model."""
    return Upstream(
        name,
        "draft",
        UpstreamKind.ENGINE,
        "http://h:1",
        "z0",
        checks_fencing=checks_fencing,
        wanted_versions=versions,
    )


def fleet_with(engines: list[Upstream], seed: int = 1) -> AgentFleet:
    """Return four routers on which a ticket with these engines is in force."""
    fleet = AgentFleet({f"n{i}": "z0" for i in range(4)}, seed)
    fleet.start_all()
    fleet.run(3.0)
    fleet.incarnations = {e.name: "1" for e in engines}
    fleet.file("n0", Ticket(0, "a", upstreams={e.name: e for e in engines}))
    fleet.run(1.0)
    return fleet


def leases(fleet: AgentFleet) -> list:
    """Return every lease that some process knows."""
    found = []
    for process in fleet.processes.values():
        manager = process.node.orders
        found += [job.lease for job in manager._jobs.values()] + manager._slots
    return found


def holders(fleet: AgentFleet) -> Counter:
    """Return per lease how many processes hold it."""
    return Counter(x.name for x in leases(fleet) if x.is_held(fleet.now_s))


class OrderTest(unittest.TestCase):
    """Guards against orders that are repeated, missing or too many at a time."""

    def test_each_wanted_state_is_ordered_once(self):
        engines = [engine(f"e{i}", i % 2 == 0) for i in range(6)]
        fleet = fleet_with(engines)
        most = 0
        for _ in range(600):
            fleet.run(0.1)
            most = max(most, sum(1 for name in holders(fleet) if "slots" in name))
        counts = Counter(order.upstream for _, _, order in fleet.orders)
        self.assertEqual(counts, {e.name: 1 for e in engines})
        self.assertEqual(most, SLOTS)
        fleet.store.calls.clear()
        fleet.run(10.0)
        self.assertEqual(holders(fleet), Counter())
        self.assertEqual(fleet.store.calls["StoreUpdate"], 0)

    def test_new_wish_and_new_incarnation_are_ordered_again(self):
        fleet = fleet_with([engine("e0", True)])
        fleet.run(10.0)
        wish = replace(engine("e0", True), wanted_versions=("v2",))
        fleet.file("n1", Ticket(0, "b", upstreams={"e0": wish}))
        fleet.run(10.0)
        fleet.incarnations["e0"] = "2"
        fleet.run(10.0)
        versions = [order.versions for _, _, order in fleet.orders]
        self.assertEqual(versions, [("v1",), ("v2",), ("v2",)])
        numbers = [order.fencing for _, _, order in fleet.orders]
        self.assertEqual(numbers, sorted(set(numbers)))

    def test_upstream_that_ignores_fencing_waits_for_the_former_lease(self):
        for checks_fencing in (False, True):
            fleet = fleet_with([engine("e0", checks_fencing)])
            fleet.order_s = 60.0
            fleet.run_until(lambda f=fleet: f.orders, 10.0)
            ordered_s, orderer, _ = fleet.orders[0]
            fleet.run(1.0)
            killed_s = fleet.now_s
            fleet.kill(orderer)
            fleet.run_until(lambda f=fleet: len(f.orders) > 1, 60.0)
            again_s, _, again = fleet.orders[1]
            self.assertGreater(again.fencing, fleet.orders[0][2].fencing)
            # The slot's lease of the dead process lapses by itself; the other
            # slot serves the new orderer.
            if checks_fencing:
                self.assertLess(again_s, killed_s + 12.0)
            else:
                self.assertGreaterEqual(again_s, ordered_s + 15.0)


class LeaseTest(unittest.TestCase):
    """Guards against a holder that counts its lease too long."""

    def test_lease_counts_from_before_the_write_was_sent(self):
        calls = StoreCalls()
        lease = Lease("x", ("n0", 1), LeaseSettings(), calls, random.Random(1))
        (read,) = lease.tick(True, 0.0)
        calls.answer(StoreAnswer(read.call, StoreOutcome.MISSING), 0.0)
        (write,) = lease.tick(True, 1.0)
        calls.answer(StoreAnswer(write.call, StoreOutcome.OK, 1), 9.0)
        self.assertTrue(lease.is_held(15.9))
        self.assertFalse(lease.is_held(16.0))

    def test_lost_renewal_is_counted_from_the_write_that_the_object_shows(self):
        calls = StoreCalls()
        lease = Lease("x", ("n0", 1), LeaseSettings(), calls, random.Random(1))
        (read,) = lease.tick(True, 0.0)
        calls.answer(StoreAnswer(read.call, StoreOutcome.MISSING), 0.0)
        (write,) = lease.tick(True, 0.0)
        calls.answer(StoreAnswer(write.call, StoreOutcome.OK, 1), 0.0)
        (renewal,) = lease.tick(True, 6.0)
        lost = StoreAnswer(renewal.call, StoreOutcome.UNAVAILABLE)
        (read,) = calls.answer(lost, 7.0)
        shown = StoredObject("x", 2, renewal.value)
        calls.answer(StoreAnswer(read.call, StoreOutcome.OK, 2, (shown,)), 8.0)
        self.assertTrue(lease.is_held(20.9))
        self.assertFalse(lease.is_held(21.0))


class LeaseMachine(RuleBasedStateMachine):
    """Faults in any order: a lease has one holder, and the orders get done."""

    names = tuple(f"n{i}" for i in range(4))
    name = st.sampled_from(names)

    def __init__(self):
        super().__init__()
        self.engines = [engine(f"e{i}", False) for i in range(3)]
        self.fleet = fleet_with(self.engines)

    @rule(duration_s=st.sampled_from([0.1, 1.0, 5.0, 20.0]))
    def wait(self, duration_s):
        end_s = self.fleet.now_s + duration_s
        while self.fleet.now_s < end_s:
            self.fleet.run(0.1)
            self.one_holder()

    @rule(name=name)
    def pause_or_resume(self, name):
        if self.fleet.processes[name].paused:
            self.fleet.resume(name)
        else:
            self.fleet.pause(name)

    @rule(name=name)
    def restart(self, name):
        self.fleet.start(name)

    @rule(count=st.integers(1, 3), down=st.booleans())
    def disturb_store(self, count, down):
        self.fleet.store.lose_answers = count
        self.fleet.store.down = down

    @rule(side=st.sets(name, min_size=1, max_size=3))
    def split(self, side):
        self.fleet.network.split(sorted(side), sorted(set(self.names) - side))

    @rule()
    def heal(self):
        self.fleet.network.heal()

    @rule(number=st.integers(0, 2), version=st.integers(2, 5))
    def turn_over(self, number, version):
        self.fleet.incarnations[f"e{number}"] = str(version)

    @rule(delay_s=st.sampled_from([2.0, 20.0]))
    def slow_orders(self, delay_s):
        self.fleet.order_s = delay_s

    @invariant()
    def one_holder(self):
        found = holders(self.fleet)
        assert all(count == 1 for count in found.values()), found

    def teardown(self):
        """After the last fault every wanted state has been ordered."""
        self.fleet.network.heal()
        self.fleet.store.down = False
        self.fleet.store.lose_answers = 0
        self.fleet.order_s = 1.0
        for name in self.names:
            if self.fleet.processes[name].paused:
                self.fleet.resume(name)
        self.wait(90.0)
        assert not holders(self.fleet)
        for wish in self.engines:
            data = self.fleet.store.objects[f"orders/{wish.name}"].value.decode()
            done = f'"done":"{self.fleet.incarnations[wish.name]}/v1/"'
            assert done in data and '"held":false' in data, data


LeaseMachine.TestCase.settings = settings(
    max_examples=20, stateful_step_count=20, deadline=None, derandomize=True
)
LeaseMachineTest = LeaseMachine.TestCase
