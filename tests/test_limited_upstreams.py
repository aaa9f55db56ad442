"""Tests of upstreams that state how many requests they accept from all routers."""

import asyncio
import time
import unittest

from edge_test_case import EdgeCase

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


if __name__ == "__main__":
    unittest.main()
