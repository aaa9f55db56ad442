"""Evidence against prompt segments in messages between routers."""

import unittest
from unittest import mock

from carobstair.core.evidence_settings import EvidenceSettings
from carobstair.core.messages import decode, encode
from carobstair.edge.crash_guard import CrashGuard
from carobstair.edge.evidence_exchange import MAX_ASKED_PEERS, EvidenceExchange

ENDS = EvidenceSettings().ends_to_refuse


class Network:
    """Delivers messages between routers at once, encoded as on the wire."""

    def __init__(self):
        self.handlers = {}
        self.messages = 0

    def add(self, name):
        """Return the transport of a router."""
        transport = mock.Mock()
        transport.subscribe.side_effect = lambda _, h: self.handlers.update({name: h})
        transport.send.side_effect = lambda to, m: self.deliver(name, [to], m)
        transport.send_all.side_effect = lambda to, m: self.deliver(name, to, m)
        return transport

    def deliver(self, sender, receivers, message):
        """Pass a message to the handlers of its receivers."""
        data = encode(message, sender, 1, 0, 1)
        for receiver in receivers:
            self.messages += 1
            self.handlers[receiver](*decode(data))


class EvidenceExchangeTest(unittest.TestCase):
    """Guards against routers that don't learn what others know of a segment."""

    def setUp(self):
        self.now_s = 0.0
        clock = mock.patch(
            "carobstair.edge.crash_guard.time.monotonic", lambda: self.now_s
        )
        clock.start()
        self.addCleanup(clock.stop)
        self.network = Network()
        self.guards, self.exchanges = {}, {}
        for name in ("r0", "r1", "r2"):
            self.add_router(name)

    def add_router(self, name):
        """Add a router that knows all others."""
        self.guards[name] = guard = CrashGuard(mock.Mock())
        self.exchanges[name] = EvidenceExchange(
            guard,
            self.network.add(name),
            lambda: [n for n in self.guards if n != name],
        )

    def end_upstream(self, router, number, *segments, after_s=0.1):
        """End an upstream under a request at one router."""
        self.now_s += after_s
        evidence = self.guards[router].evidence
        request_id = f"id{number}"
        evidence.merge_end((f"e{number}", 1), request_id, segments, "", self.now_s)
        self.guards[router].publish()

    def refusing(self, segment):
        """Return the routers that refuse a segment."""
        return [n for n, g in self.guards.items() if g.refusals.is_refused([segment])]

    def test_ends_at_different_routers_refuse_the_segment_at_all(self):
        for number in range(ENDS):
            self.assertEqual(self.refusing("bad"), [])
            self.end_upstream(f"r{number % 3}", number, "first", "bad")
        self.assertEqual(self.refusing("bad"), ["r0", "r1", "r2"])

    def test_answer_at_one_router_clears_the_segment_at_all(self):
        for number in range(ENDS):
            self.end_upstream("r0", number, "new")
        self.guards["r2"].refusals.clear(["new"], 1.0)
        self.guards["r2"].publish()
        self.assertEqual(self.refusing("new"), [])

    def test_router_that_knows_a_segment_as_sound_says_so(self):
        self.guards["r1"].refusals.clear(["hot"], 0.0)
        for number in range(ENDS):
            self.end_upstream("r0", number, "hot")
        self.assertEqual(self.refusing("hot"), [])
        self.assertTrue(self.guards["r0"].refusals.is_sound("hot"))

    def test_routers_that_were_told_of_a_sound_segment_are_corrected(self):
        # r1 knows it as sound and tells r0 only, whose evidence r2 has counted too.
        self.guards["r1"].refusals.clear(["rare"], 0.0)
        self.end_upstream("r0", 1, "rare")
        self.assertTrue(self.guards["r2"].refusals.is_sound("rare"))

    def test_router_that_hears_of_all_ends_at_once_refuses_with_the_others(self):
        late = self.guards["r2"].refusals
        with mock.patch.object(late, "settings", EvidenceSettings(burst_gap_s=9.0)):
            for number in range(ENDS):
                self.end_upstream("r0", number, "bad")
        self.assertEqual(self.refusing("bad"), ["r0", "r1", "r2"])

    def test_router_that_starts_asks_a_few_peers(self):
        for number in range(ENDS):
            self.end_upstream("r0", number, "bad")
        self.add_router("r3")
        self.assertNotIn("r3", self.refusing("bad"))
        self.exchanges["r3"].on_peer_heard("r1")
        self.assertIn("r3", self.refusing("bad"))

    def test_router_without_evidence_asks_only_the_first_peers(self):
        for _ in range(10):
            self.exchanges["r0"].on_peer_heard("r1")
        self.assertEqual(self.network.messages, MAX_ASKED_PEERS)

    def test_peer_that_returns_is_told_what_is_refused(self):
        names, self.guards = self.guards, {"r0": self.guards["r0"]}
        for number in range(ENDS):
            self.end_upstream("r0", number, "bad")
        self.guards = names
        for _ in range(MAX_ASKED_PEERS + 1):
            self.exchanges["r0"].on_peer_heard("r1")
        self.assertEqual(self.refusing("bad"), ["r0", "r1"])

    def test_summary_defers_trials(self):
        for number in range(ENDS):
            self.end_upstream("r0", number, "bad")
        self.add_router("r3")
        self.exchanges["r3"].on_peer_heard("r0")
        check = self.guards["r3"].refusals.check
        self.assertIsNotNone(check(["bad"], 60.0, lambda segment: True))


if __name__ == "__main__":
    unittest.main()
