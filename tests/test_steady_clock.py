"""Tests of the clock that stands still while the machine doesn't run a test."""

import asyncio
import time
import unittest

from steady_clock import MAX_PAUSE_S, occupy, steady_clock

wall_s = time.monotonic


class SteadyClockTest(unittest.IsolatedAsyncioTestCase):
    """Guards against tests that time out on a stalled machine, or pass on slow code."""

    async def test_stall_does_not_use_up_a_time_out(self):
        with steady_clock():
            async with asyncio.timeout(0.3):
                began_s = time.monotonic()
                await asyncio.sleep(0.01)
                time.sleep(0.5)
                await asyncio.sleep(0.01)
            self.assertLess(time.monotonic() - began_s, 0.3)

    async def test_work_uses_up_a_time_out(self):
        with steady_clock():
            began_s = time.monotonic()
            with self.assertRaises(TimeoutError):
                async with asyncio.timeout(0.1):
                    occupy(0.2)
                    await asyncio.sleep(0.01)
            self.assertGreaterEqual(time.monotonic() - began_s, 0.2)

    async def test_waits_count_in_full(self):
        with steady_clock():
            began_s, began_wall_s = time.monotonic(), wall_s()
            for _ in range(10):
                await asyncio.sleep(0.02)
            self.assertGreaterEqual(time.monotonic() - began_s, 0.2)
            self.assertGreaterEqual(wall_s() - began_wall_s, 0.2 - 10 * MAX_PAUSE_S)

    async def test_time_never_goes_back(self):
        times = []
        with steady_clock():
            for pause_s in (0.0, 0.02, 0.0, 0.001):
                times.append(time.monotonic())
                time.sleep(pause_s)
                times.append(time.monotonic())
                await asyncio.sleep(pause_s)
        self.assertEqual(times, sorted(times))
        self.assertIs(time.monotonic, wall_s)


if __name__ == "__main__":
    unittest.main()
