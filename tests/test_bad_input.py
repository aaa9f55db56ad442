"""Tests of input that makes no sense and of grants that have lapsed."""

import math
import random
import time
import unittest
from types import SimpleNamespace
from unittest import mock

from carobstair.core.bad_input import BadInputDeltas, BadInputSource, bad_input_counts
from carobstair.core.capacity import CapacityNode, CapacitySettings
from carobstair.core.messages import PoolTotals, TotalsRow, TotalsUpdate
from carobstair.core.state import FleetState, Upstream, UpstreamKind
from carobstair.net.events import UpstreamLeft
from carobstair.net.services import ServiceCaller


class BadInputTest(unittest.TestCase):
    """Guards against dropped input that no counter shows."""

    def test_counts_follow_what_was_dropped(self):
        node = CapacityNode(("a", 1), CapacitySettings(), random.Random(1))
        rows = [TotalsRow("w", math.nan, 0.0, True)]
        update = TotalsUpdate(1, 1, [PoolTotals("draft", rows)])
        node.on_message("b", update, 0.0)
        self.assertEqual(bad_input_counts(node)[BadInputSource.TOTALS], 1)

    def test_news_are_increases_only(self):
        deltas = BadInputDeltas()
        load = BadInputSource.LOAD
        self.assertEqual(deltas.take({load: 3}), {load: 3})
        self.assertEqual(deltas.take({load: 3}), {})
        self.assertEqual(deltas.take({load: 1}), {})
        self.assertEqual(deltas.take({load: 2}), {load: 1})


class LapsedGrantTest(unittest.IsolatedAsyncioTestCase):
    """Guards against a call on a slot that others hold, after a pause."""

    async def test_nothing_is_sent_on_a_lapsed_grant(self):
        kind = UpstreamKind.SERVICE
        upstream = Upstream("l1", "ledger", kind, "http://127.0.0.1:9", "z")
        capacity = mock.Mock(state=FleetState(1, {}, {"l1": upstream}))
        capacity.is_valid = lambda grant: time.monotonic() < grant.expires_s
        client = mock.AsyncMock()
        caller = ServiceCaller(capacity, client, mock.Mock(), mock.Mock())
        grant = SimpleNamespace(offer=SimpleNamespace(upstream="l1"), expires_s=0.0)
        with self.assertRaises(UpstreamLeft):
            await caller.send(mock.Mock(), grant, "id", 1.0)
        client.call.assert_not_called()
