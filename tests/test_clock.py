"""Tests of leases and deadlines of a process on a machine that is suspended."""

import json
import time
import unittest
from types import SimpleNamespace
from unittest import mock

from carobstair import clock
from carobstair.net.capacity import CapacityDriver
from carobstair.net.events import StreamBroken
from carobstair.standins import engine
from test_upstream import UpstreamCase


def suspend(seconds):
    """Return a context in which the machine has been suspended for a time."""
    difference_s = clock._START_DIFFERENCE_S - seconds
    return mock.patch.object(clock, "_START_DIFFERENCE_S", difference_s)


class SuspendedClockTest(unittest.TestCase):
    """Guards against permissions that outlive their time in a suspended process."""

    def test_clock_runs_on_and_never_back(self):
        before_s = clock.now_s()
        self.assertAlmostEqual(before_s, time.monotonic(), delta=0.5)
        with suspend(20.0):
            self.assertGreater(clock.now_s(), before_s + 19.9)
            self.assertAlmostEqual(clock.suspended_s(), 20.0, delta=0.5)

    def test_grant_is_unusable_after_its_lease_ran_out_in_a_suspension(self):
        # The monotonic clock stands still meanwhile, and other routers have been
        # given the slot.
        grant = SimpleNamespace(expires_s=clock.now_s() + 5.0)
        capacity = CapacityDriver.__new__(CapacityDriver)
        self.assertTrue(capacity.is_valid(grant))
        with suspend(20.0):
            self.assertFalse(capacity.is_valid(grant))


class SuspendedStreamTest(UpstreamCase):
    """Guards against reading on under a lease that ran out in a suspension."""

    async def test_stream_ends_with_the_lease(self):
        settings = engine.EngineSettings(port=1, cold_s=0.0)
        upstream = await self.serve(engine.make_app(engine.Engine(settings)))
        until_s = clock.now_s() + 5.0
        message = {"role": "user", "content": "answer_tokens=200"}
        body = json.dumps({"messages": [message]}).encode()
        chunks = self.client.stream(
            upstream, "a1", body, 0, lambda: until_s, clock.now_s() + 5.0
        )
        await anext(chunks)
        with suspend(20.0), self.assertRaises(StreamBroken) as caught:
            for _ in range(150):
                await anext(chunks)
        self.assertIn("lease", str(caught.exception))


if __name__ == "__main__":
    unittest.main()
