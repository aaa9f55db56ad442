"""Tests of upstreams that state how many requests they accept from all routers."""

import asyncio
import time
import unittest

from carobstair.core.engine_load import PromptShape
from edge_test_case import EdgeCase
from test_directory import make_entry
from test_send_limits import POOL, make_dispatcher

LIMIT_PER_S = 4.0


class LimitedUpstreamTest(EdgeCase):
    """Guards against more requests to an upstream than it says it accepts."""

    async def send_load(self, per_s, for_s):
        """Send requests at a steady rate; return statuses, waits and Retry-After."""

        async def call(number):
            began_s = time.monotonic()
            status, headers, _ = await self.call("/safe/x", attempt_id=f"id{number}")
            took_s = time.monotonic() - began_s
            return status, took_s, headers.get("Retry-After")

        calls = []
        for number in range(int(per_s * for_s)):
            calls.append(asyncio.create_task(call(number)))
            await asyncio.sleep(1 / per_s)
        return await asyncio.gather(*calls)

    async def test_burst_does_not_exceed_the_stated_rate(self):
        await self.start_upstreams("ok_limited")
        results = await self.send_load(25, 3.0)
        arrivals_s = self.upstreams[0].arrivals_s
        since_s = arrivals_s[0] + 0.5
        counted = [s for s in arrivals_s if since_s <= s < since_s + 2.0]
        self.assertLessEqual(len(counted), LIMIT_PER_S * 2.0 + 5)
        self.assertGreaterEqual(len(counted), 0.9 * LIMIT_PER_S * 2.0 - 1)
        refused = [r for r in results if r[0] != 200]
        self.assertEqual({status for status, *_ in refused}, {503})
        self.assertTrue(all(retry_after for *_, retry_after in refused))


class LimitedPlacementTest(unittest.TestCase):
    """Guards against short prompts that take the few sends which long ones need."""

    LONG = PromptShape(12_000, 300)
    SHORT = PromptShape(800, 300)

    def setUp(self):
        self.dispatcher = make_dispatcher(started_s=-10.0)
        for number in range(2):
            entry = make_entry(f"u{number}")
            self.dispatcher.directory.put(entry, number + 1, 0.0)
        self.dispatcher.rates.note_response(("u0", 1), 3.0, 0.0, 0.5)

    def choose(self, prompt, max_wait_s=1.0):
        chosen = self.dispatcher.choose(POOL, prompt, (), 1.0, max_wait_s)
        return chosen and chosen.upstream_id

    def use_permits(self, count, upstream="u0"):
        for _ in range(count):
            self.dispatcher.permits.ask((upstream, 1), 9.0, 1.0)

    def test_long_prompts_go_to_the_limited_engine(self):
        self.assertEqual(self.choose(self.LONG), "u0")
        self.assertEqual(self.choose(self.SHORT), "u1")

    def test_short_prompts_take_sends_rather_than_wait_long(self):
        self.dispatcher.loads.note_peer("r1", [("u1", 30_000, 5)])
        self.assertEqual(self.choose(self.SHORT), "u0")

    def test_long_prompts_go_elsewhere_when_the_sends_are_used_up(self):
        self.use_permits(6)
        self.assertEqual(self.choose(self.LONG, max_wait_s=0.3), "u1")

    def test_refused_at_once_if_no_engine_has_a_send_in_time(self):
        self.dispatcher.rates.note_response(("u1", 1), 2.0, 0.0, 0.5)
        self.assertEqual(self.dispatcher.permit_wait_s("model", (), 1.0), 0.0)
        for upstream in ("u0", "u1"):
            self.use_permits(6, upstream)
        self.assertIsNone(self.choose(self.LONG, max_wait_s=0.3))
        wait_s = self.dispatcher.permit_wait_s("model", (), 1.0)
        self.assertAlmostEqual(wait_s, 2.0)


if __name__ == "__main__":
    unittest.main()
