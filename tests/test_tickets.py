"""Tests of filing and distributing tickets, on virtual time."""

import unittest

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, precondition, rule

from carobstair.core.refusals import Ran
from carobstair.core.state import (
    AvailabilityZone,
    Ticket,
    Upstream,
    UpstreamKind,
    UpstreamState,
)
from carobstair.core.store_calls import InstanceEntry, StoreAnswer, StoreOutcome
from carobstair.core.tickets import TicketLog, ticket_name
from carobstair.models import JsonCodec
from carobstair.standins.agent_fleet import AgentFleet

IN_FORCE_LIMIT_S = 4.0


def zone_ticket(submission_id: str, in_service: bool = True, number: int = 0) -> Ticket:
    """Return a ticket that sets the state of zone z0."""
    zones = {"z0": AvailabilityZone("z0", in_service)}
    return Ticket(number, submission_id, "tester", zones=zones)


def fleet_of(count: int, seed: int = 1) -> AgentFleet:
    """Return a fleet over three zones, 5 s after its start."""
    fleet = AgentFleet({f"n{i}": f"z{i % 3}" for i in range(count)}, seed)
    fleet.start_all()
    fleet.run(5.0)
    return fleet


def file(fleet: AgentFleet, name: str, ticket: Ticket):
    """File a ticket, wait for the outcome and return it."""
    filing = fleet.file(name, ticket)
    fleet.run_until(lambda: filing in fleet.settled, 15.0)
    return fleet.settled[filing]


def numbers_in_force(fleet: AgentFleet) -> set[int]:
    """Return the numbers in force over all processes."""
    return {p.node.state.number for p in fleet.processes.values()}


def wait_in_force(fleet: AgentFleet, number: int) -> float:
    """Wait until a ticket is in force everywhere, for 4 s at most."""
    return fleet.run_until(
        lambda: min(numbers_in_force(fleet)) >= number, IN_FORCE_LIMIT_S
    )


class FilingTest(unittest.TestCase):
    """Guards against races with two winners, untrue refusals and duplicate tickets."""

    def test_race_has_one_winner_and_one_refusal_that_names_it(self):
        fleet = fleet_of(3)
        # Equal delays let both read the list before either writes.
        fleet.network.delay_s = (0.002, 0.002)
        filings = [
            fleet.file("n0", zone_ticket("a")),
            fleet.file("n1", zone_ticket("b")),
        ]
        fleet.run(2.0)
        first, second = sorted(
            (fleet.settled[f] for f in filings), key=lambda s: s.refusal is not None
        )
        self.assertEqual(first.number, 1)
        self.assertEqual(second.refusal.status, 409)
        self.assertIs(second.refusal.kind.ran, Ran.NO)
        winner = JsonCodec.decode_ticket(fleet.store.objects[ticket_name(1)].value)
        self.assertIn(f"submission_id {winner.submission_id} by", second.refusal.detail)
        self.assertNotIn(ticket_name(2), fleet.store.objects)

    def test_lost_answer_is_settled_without_a_second_ticket(self):
        fleet = fleet_of(3)
        fleet.store.lose_answers = 1
        self.assertEqual(file(fleet, "n0", zone_ticket("a")).number, 1)
        self.assertEqual(file(fleet, "n1", zone_ticket("b")).number, 2)
        self.assertEqual(len(fleet.node("n0").state.submissions), 2)

    def test_same_submission_gets_the_first_number_on_any_router(self):
        fleet = fleet_of(3)
        file(fleet, "n0", zone_ticket("a"))
        file(fleet, "n1", zone_ticket("b"))
        self.assertEqual(file(fleet, "n2", zone_ticket("a", False)).number, 1)
        self.assertEqual(numbers_in_force(fleet), {2})

    def test_stated_number_must_be_the_next_one(self):
        fleet = fleet_of(3)
        file(fleet, "n0", zone_ticket("a"))
        for number in (1, 3):
            refusal = file(fleet, "n1", zone_ticket("b", number=number)).refusal
            self.assertEqual((refusal.status, refusal.kind.ran), (409, Ran.NO))
            self.assertTrue(refusal.detail.startswith("number:"))
        self.assertEqual(file(fleet, "n1", zone_ticket("b", number=2)).number, 2)

    def test_store_outage_is_refused_as_not_run(self):
        fleet = fleet_of(3)
        fleet.store.down = True
        refusal = file(fleet, "n0", zone_ticket("a")).refusal
        self.assertEqual((refusal.status, refusal.kind.ran), (503, Ran.NO))
        fleet.store.down = False
        fleet.run(30.0)
        self.assertEqual(numbers_in_force(fleet), {0})

    def test_outage_during_the_write_leaves_the_outcome_unknown(self):
        fleet = fleet_of(1)
        node = fleet.node("n0")
        (read,) = node.file(1, zone_ticket("a"), fleet.now_s)
        listed = StoreAnswer(read.call, StoreOutcome.OK)
        (create,) = node.on_store_answer(listed, fleet.now_s)
        fleet.store.down = True
        lost = StoreAnswer(create.call, StoreOutcome.UNAVAILABLE)
        fleet.carry_out("n0", node.on_store_answer(lost, fleet.now_s))
        fleet.run_until(lambda: 1 in fleet.settled, 15.0)
        self.assertIs(fleet.settled[1].refusal.kind.ran, Ran.UNKNOWN)
        self.assertIn("submission_id a", fleet.settled[1].refusal.detail)

    def test_write_that_takes_effect_late_is_not_repeated(self):
        fleet = fleet_of(1)
        node = fleet.node("n0")
        (read,) = node.file(1, zone_ticket("a"), fleet.now_s)
        listed = StoreAnswer(read.call, StoreOutcome.OK)
        (create,) = node.on_store_answer(listed, fleet.now_s)
        lost = StoreAnswer(create.call, StoreOutcome.UNAVAILABLE)
        (get,) = node.on_store_answer(lost, fleet.now_s)
        missing = StoreAnswer(get.call, StoreOutcome.MISSING)
        again = node.on_store_answer(missing, fleet.now_s)
        fleet.store.answer(create)
        fleet.carry_out("n0", again)
        fleet.run(1.0)
        self.assertEqual(fleet.settled[1].number, 1)
        self.assertEqual(set(fleet.store.objects), {ticket_name(1), "fleet-epoch"})


class TicketLogTest(unittest.TestCase):
    """Guards against a log that returns to an older state or skips a ticket."""

    def test_older_snapshot_and_older_ticket_change_nothing(self):
        log = TicketLog(JsonCodec())
        first = JsonCodec.encode_ticket(zone_ticket("a", True, 1))
        log.apply([first])
        snapshot = log.snapshot()
        log.apply([JsonCodec.encode_ticket(zone_ticket("b", False, 2))])
        state = log.state
        self.assertFalse(log.restore(snapshot))
        self.assertEqual(log.apply([first]), [])
        self.assertIs(log.state, state)

    def test_ticket_after_an_unreadable_one_is_not_taken(self):
        log = TicketLog(JsonCodec())
        third = JsonCodec.encode_ticket(zone_ticket("c", True, 3))
        with self.assertRaises(ValueError):
            log.apply([JsonCodec.encode_ticket(zone_ticket("a", True, 1)), b"{", third])
        self.assertEqual(log.state.number, 1)


class DistributionTest(unittest.TestCase):
    """Guards against tickets that are late, lost or reverted."""

    def test_in_force_everywhere_when_all_watches_are_silent(self):
        fleet = fleet_of(6)
        fleet.network.silent_watches = True
        fleet.store.answer(create_call(fleet, zone_ticket("a", number=1)))
        wait_in_force(fleet, 1)
        fleet.run(15.0)
        self.assertGreater(fleet.warnings["ticket_watch_silent"], 0)

    def test_in_force_everywhere_through_loss(self):
        fleet = fleet_of(24)
        fleet.network.loss = 0.2
        file(fleet, "n0", zone_ticket("a"))
        wait_in_force(fleet, 1)

    def test_start_without_state_takes_it_from_peers_while_the_store_is_down(self):
        fleet = fleet_of(6)
        file(fleet, "n0", zone_ticket("a"))
        fleet.run(1.0)
        epoch = fleet.node("n1").shares.epoch
        fleet.store.down = True
        fleet.start("n0")
        fleet.run(5.0)
        self.assertEqual(fleet.node("n0").state.number, 1)
        self.assertEqual(fleet.node("n0").shares.epoch, epoch)
        self.assertIsNone(fleet.node("n0").unready_reason())

    def test_start_without_store_and_peers_says_why_it_is_unready(self):
        fleet = AgentFleet({"n0": "z0", "n1": "z1"}, 1)
        fleet.store.down = True
        fleet.start("n0")
        fleet.run(5.0)
        reason = fleet.node("n0").unready_reason()
        self.assertIn("the object API is unavailable", reason)
        self.assertIn("0 live peers", reason)
        fleet.store.down = False
        fleet.store.answer(create_call(fleet, zone_ticket("a", number=1)))
        fleet.run(10.0)
        self.assertIsNone(fleet.node("n0").unready_reason())

    def test_start_reads_the_snapshot_and_not_every_ticket(self):
        fleet = fleet_of(3)
        for i in range(45):
            file(fleet, "n0", zone_ticket(f"s{i}"))
        fleet.run(10.0)
        before = fleet.node("n1").state
        for name in fleet.zones:
            fleet.kill(name)
        fleet.start("n1")
        fleet.run(5.0)
        log = fleet.node("n1").log
        self.assertEqual(log.state, before)
        self.assertIsNone(log.ticket(1))
        fleet.start("n2")
        fleet.run(5.0)
        self.assertEqual(fleet.node("n2").log.digest, log.digest)

    def test_store_calls_do_not_grow_with_the_fleet(self):
        rates = []
        for count in (6, 24):
            fleet = fleet_of(count)
            fleet.run(20.0)
            fleet.store.calls.clear()
            fleet.run(60.0)
            rates.append(fleet.store.calls.total())
        self.assertLessEqual(rates[1], rates[0] * 1.1)

    def test_return_of_the_store_causes_no_thundering_herd(self):
        fleet = fleet_of(24)
        fleet.store.down = True
        fleet.run(60.0)
        fleet.store.down = False
        fleet.store.calls.clear()
        fleet.run(1.0)
        # Six watchers make at most three calls each, as does the epoch's writer.
        self.assertLessEqual(fleet.store.calls.total(), 6 * 3 + 3)
        file(fleet, "n0", zone_ticket("a"))
        wait_in_force(fleet, 1)

    def test_in_force_lists_every_live_instance(self):
        fleet = fleet_of(6)
        file(fleet, "n0", zone_ticket("a"))
        fleet.run(1.0)
        number, effects = fleet.node("n3").query_in_force(fleet.now_s)
        fleet.carry_out("n3", effects)
        fleet.run(1.0)
        self.assertEqual(fleet.in_force_results[-1].query, number)
        self.assertEqual(
            fleet.in_force_results[-1].numbers, dict.fromkeys(fleet.zones, 1)
        )


class LeavingTest(unittest.TestCase):
    """Guards against new work for a zone or upstream that is leaving."""

    def setUp(self):
        self.fleet = fleet_of(6)
        upstream = Upstream("e1", "draft", UpstreamKind.ENGINE, "http://h:1", "z1")
        ticket = Ticket(0, "a", upstreams={"e1": upstream})
        file(self.fleet, "n0", ticket)
        self.fleet.run(1.0)

    def states(self):
        nodes = [p.node for p in self.fleet.processes.values()]
        return {n.state.upstreams["e1"].state for n in nodes}

    def test_only_routers_of_a_zone_out_of_service_are_unready(self):
        file(self.fleet, "n1", zone_ticket("b", False))
        wait_in_force(self.fleet, 2)
        unready = {
            name
            for name, p in self.fleet.processes.items()
            if p.node.unready_reason() == "zone z0 is out of service by ticket"
        }
        self.assertEqual(unready, {"n0", "n3"})
        file(self.fleet, "n1", zone_ticket("c", True))
        wait_in_force(self.fleet, 3)
        self.assertIsNone(self.fleet.node("n0").unready_reason())

    def test_instance_list_takes_an_upstream_out_and_back(self):
        for leaving, state in (
            (True, UpstreamState.LEAVING),
            (False, UpstreamState.LIVE),
        ):
            self.fleet.store.instances = (InstanceEntry("e1", leaving),)
            self.fleet.run_until(lambda s=state: self.states() == {s}, IN_FORCE_LIMIT_S)

    def test_load_report_takes_an_upstream_out_and_another_router_brings_it_back(self):
        for name, leaving, state in (
            ("n2", True, UpstreamState.LEAVING),
            ("n4", False, UpstreamState.LIVE),
        ):
            effects = self.fleet.node(name).note_leaving("e1", leaving)
            self.fleet.carry_out(name, effects)
            self.fleet.run_until(lambda s=state: self.states() == {s}, IN_FORCE_LIMIT_S)


def create_call(fleet: AgentFleet, ticket: Ticket):
    """Return the call by which a router outside the fleet would write a ticket."""
    node = next(iter(fleet.processes.values())).node
    data = JsonCodec.encode_ticket(ticket)
    return node._calls.create(ticket_name(ticket.number), data, lambda a, t: [])


class TicketMachine(RuleBasedStateMachine):
    """Faults in any order: no router reverts, and all converge afterwards."""

    names = tuple(f"n{i}" for i in range(6))
    name = st.sampled_from(names)

    def __init__(self):
        super().__init__()
        self.fleet = fleet_of(len(self.names))
        self.highest: dict[tuple, int] = {}
        self.filed = 0

    @rule(duration_s=st.sampled_from([0.01, 0.2, 1.0, 5.0]))
    def wait(self, duration_s):
        self.fleet.run(duration_s)

    @rule(name=name, lost=st.booleans())
    def file(self, name, lost):
        if name in self.fleet.processes:
            self.filed += 1
            self.fleet.store.lose_answers = int(lost)
            self.fleet.file(name, zone_ticket(f"s{self.filed}"))

    @rule(name=name)
    def restart(self, name):
        self.fleet.start(name)

    @rule(name=name)
    def kill(self, name):
        self.fleet.kill(name)

    @rule(side=st.sets(name, min_size=1, max_size=5), store=st.booleans())
    def split(self, side, store):
        others = set(self.names) - side
        self.fleet.network.split(sorted(side), sorted(others))
        if not store:
            self.fleet.network.no_store |= side

    @rule(one=name, other=name)
    def cut_one_way(self, one, other):
        self.fleet.network.cut.add((one, other))

    @rule(down=st.booleans(), silent=st.booleans())
    def disturb_store(self, down, silent):
        self.fleet.store.down = down
        self.fleet.network.silent_watches = silent

    @precondition(lambda self: self.fleet.store.version > 1)
    @rule(part=st.floats(0.0, 1.0))
    def read_stale(self, part):
        self.fleet.store.reads_from = int(self.fleet.store.version * part)

    @rule()
    def heal(self):
        self.fleet.network.heal()
        self.fleet.store.reads_from = None

    @invariant()
    def never_reverts(self):
        for name, process in self.fleet.processes.items():
            key = (name, process.address.incarnation)
            number = process.node.state.number
            assert number >= self.highest.get(key, 0)
            self.highest[key] = number

    @invariant()
    def accepted_tickets_are_written_once(self):
        decode = JsonCodec.decode_ticket
        stored = [
            decode(o.value).submission_id
            for name, o in self.fleet.store.objects.items()
            if name.startswith("tickets/")
        ]
        assert len(stored) == len(set(stored)), stored
        for settled in self.fleet.settled.values():
            if settled.refusal is None:
                assert ticket_name(settled.number) in self.fleet.store.objects
            elif settled.refusal.kind.ran is Ran.NO:
                assert f"s{settled.filing}" not in stored, settled

    def teardown(self):
        """After the last fault all agree, within the bound of 4 s per ticket."""
        self.fleet.network.heal()
        self.fleet.store.down = False
        self.fleet.store.lose_answers = 0
        self.fleet.store.reads_from = None
        for name in self.names:
            if name not in self.fleet.processes:
                self.fleet.start(name)
        self.fleet.run(30.0)
        outcome = file(self.fleet, "n0", zone_ticket("last"))
        assert outcome.refusal is None, outcome
        wait_in_force(self.fleet, outcome.number)
        nodes = [p.node for p in self.fleet.processes.values()]
        assert len({n.log.digest for n in nodes}) == 1
        assert {len(n.live_peers()) for n in nodes} == {5}
        assert self.fleet.warnings["ticket_digest_differs"] == 0


TicketMachine.TestCase.settings = settings(
    max_examples=25, stateful_step_count=25, deadline=None, derandomize=True
)
TicketMachineTest = TicketMachine.TestCase
