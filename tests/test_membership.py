"""Tests of the membership, on virtual time."""

import unittest

from carobstair.core.agent import AgentSettings
from carobstair.core.members import MembershipSettings, MemberStatus
from carobstair.core.messages import MemberUpdate
from carobstair.standins.agent_fleet import AgentFleet

FORGET_S = 60.0


def fleet_of(count: int, seed: int = 1) -> AgentFleet:
    """Return a fleet that has started and in which all know each other."""
    settings = AgentSettings(membership=MembershipSettings(forget_s=FORGET_S))
    zones = {f"n{i}": f"z{i % 3}" for i in range(count)}
    fleet = AgentFleet(zones, seed, settings)
    fleet.start_all()
    fleet.run_until(lambda: views(fleet) == {count - 1}, 30.0)
    return fleet


def views(fleet: AgentFleet) -> set[int]:
    """Return how many live peers each process sees."""
    return {len(p.node.live_peers()) for p in fleet.processes.values()}


class MembershipTest(unittest.TestCase):
    """Guards against members that are removed wrongly, late or for good."""

    def test_one_way_and_partial_partitions_remove_nobody(self):
        fleet = fleet_of(6)
        fleet.network.cut = {("n0", "n1"), ("n3", "n4"), ("n4", "n3")}
        for _ in range(60):
            fleet.run(0.5)
            self.assertEqual(views(fleet), {5})

    def test_process_that_can_only_send_is_removed_and_comes_back(self):
        fleet = fleet_of(6)
        fleet.network.cut = {(f"n{i}", "n0") for i in range(1, 6)}
        others = [fleet.node(f"n{i}") for i in range(1, 6)]
        fleet.run_until(lambda: not any("n0" in n.live_peers() for n in others), 20.0)
        fleet.network.heal()
        fleet.run_until(lambda: views(fleet) == {5}, 20.0)

    def test_dead_process_is_noticed_by_all(self):
        fleet = fleet_of(24)
        fleet.kill("n5")
        # One probe round until it is probed, then the suspicion time and the
        # spread of the news.
        fleet.run_until(lambda: views(fleet) == {22}, 10.0)

    def test_sides_of_a_long_partition_find_each_other_again(self):
        fleet = fleet_of(6)
        fleet.network.split(["n0", "n1", "n2"], ["n3", "n4", "n5"])
        fleet.run(3 * FORGET_S)
        self.assertEqual(views(fleet), {2})
        fleet.network.heal()
        fleet.run_until(lambda: views(fleet) == {5}, 20.0)

    def test_restart_under_the_same_address_replaces_the_old_process(self):
        fleet = fleet_of(6)
        fleet.start("n2")

        def seen() -> set[int]:
            others = [fleet.node(f"n{i}").membership for i in (0, 1, 3, 4, 5)]
            return {other.members["n2"].address.incarnation for other in others}

        fleet.run_until(lambda: seen() == {7} and views(fleet) == {5}, 10.0)

    def test_third_of_the_fleet_leaving_at_once(self):
        fleet = fleet_of(24)
        for i in range(8):
            fleet.kill(f"n{i}")
        fleet.run_until(lambda: views(fleet) == {15}, 20.0)

    def test_messages_per_process_and_news_per_message_do_not_grow(self):
        rates = []
        for count in (6, 24):
            fleet = fleet_of(count)
            fleet.run(10.0)
            fleet.sent_messages.clear()
            fleet.run(20.0)
            rates.append(fleet.sent_messages.total() / count)
        self.assertLessEqual(rates[1], 1.1 * rates[0])
        membership = fleet.node("n0").membership
        for name in membership.members:
            membership._dissemination.add(name, 24)
        self.assertEqual(len(membership._take_updates("n1")), 8)

    def test_forgotten_process_is_gone_from_the_view(self):
        fleet = fleet_of(3)
        fleet.carry_out("n2", fleet.node("n2").announce_departure(fleet.now_s))
        fleet.kill("n2")
        fleet.run(FORGET_S + 10.0)
        self.assertNotIn("n2", fleet.node("n0").membership.members)

    def test_process_that_learns_of_a_newer_incarnation_is_unready(self):
        fleet = fleet_of(3)
        node = fleet.node("n0")
        address = fleet.processes["n0"].address
        newer = type(address)(
            "n0", 99, address.host, address.peer_port, address.http_port, "z0"
        )
        update = MemberUpdate(newer, 0, int(MemberStatus.ALIVE))
        node.membership._merge(update, fleet.now_s)
        self.assertIn("newer process", node.unready_reason())
