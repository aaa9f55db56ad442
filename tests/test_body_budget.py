"""Tests of the bound on the memory that bodies take."""

import asyncio
import unittest
from pathlib import Path

from carobstair.edge.body_budget import SMALL_BODY_BYTES, BodyBudget, BudgetExceeded
from platform_standins import UpstreamStandIn, make_config, make_route, make_script
from router_process_case import RouterProcessCase

LARGE = 4 * SMALL_BODY_BYTES


class BodyBudgetTest(unittest.IsolatedAsyncioTestCase):
    """Guards against bodies that fill the memory, wait for ever or overtake others."""

    def setUp(self):
        self.budget = BodyBudget(2 * LARGE)

    async def start(self, *sizes):
        tasks = [asyncio.create_task(self.budget.acquire(size)) for size in sizes]
        await asyncio.sleep(0)
        return tasks

    async def test_bodies_wait_in_order_until_there_is_room(self):
        await self.start(LARGE, LARGE)
        waiting = await self.start(LARGE, LARGE // 2)
        self.assertFalse(any(task.done() for task in waiting))
        self.budget.release(LARGE // 2)
        await asyncio.sleep(0)
        # The smaller one would fit, but came later.
        self.assertFalse(any(task.done() for task in waiting))
        self.budget.release(LARGE)
        await asyncio.sleep(0)
        self.assertEqual([task.done() for task in waiting], [True, True])
        self.assertEqual(self.budget.held_bytes, 2 * LARGE)

    async def test_small_bodies_do_not_wait(self):
        await self.start(LARGE, LARGE, LARGE)
        (small,) = await self.start(SMALL_BODY_BYTES)
        self.assertEqual(small.result(), 0)

    async def test_more_than_will_fit_is_refused_at_once(self):
        await self.start(*[LARGE] * 4)
        with self.assertRaises(BudgetExceeded):
            await self.budget.acquire(LARGE)

    async def test_body_beyond_the_budget_is_read_alone(self):
        (task,) = await self.start(10 * LARGE)
        self.budget.release(task.result())
        self.assertEqual(self.budget.held_bytes, 0)

    async def test_cancelled_bodies_hold_and_block_nothing(self):
        await self.start(LARGE, LARGE)
        first, second = await self.start(LARGE, LARGE)
        first.cancel()
        await asyncio.sleep(0)
        self.budget.release(LARGE)
        # Cancelled after it was admitted and before it went on.
        second.cancel()
        await asyncio.gather(first, second, return_exceptions=True)
        self.budget.release(LARGE)
        self.assertEqual(self.budget.held_bytes, 0)
        await asyncio.wait_for(self.budget.acquire(2 * LARGE), 1)


class WorkingUpstream(UpstreamStandIn):
    """An upstream that works on each upload for a while."""

    def __init__(self):
        super().__init__(make_script("ok"))

    async def respond(self, request, writer):
        """Respond after two seconds to uploads, and at once to others."""
        if len(request.body) > SMALL_BODY_BYTES:
            await asyncio.sleep(2.0)
        return await self._ok(request, writer)


class UploadProcessTest(RouterProcessCase):
    """Guards against uploads within the limit that end the process by its memory."""

    BODY_BYTES = 4_000_000
    MAX_KB = 300_000

    def make_upstream(self):
        """Return an upstream that holds on to uploads."""
        return WorkingUpstream()

    def make_config(self):
        """Return a configuration with the time for uploads."""
        routes = [make_route("/unsafe/", kind="unsafe", timeoutMs=20_000)]
        return make_config(routes=routes, limits={"maxBodyBytes": 4_194_304})

    def make_boot(self, text):
        """Return the settings with the memory of a machine."""
        return text.replace("unknown = 1", "memoryMb = 300")

    def memory_kb(self):
        """Return the largest resident size that the process has had."""
        status = Path(f"/proc/{self.process.pid}/status").read_text()
        return int(status.partition("VmHWM:")[2].split()[0])

    async def upload(self, number):
        await asyncio.sleep(0.03 * number)
        headers = {
            "Host": "api.test",
            "Carobstair-Attempt-Id": f"id{number}",
            "Carobstair-Key": "key1",
        }

        async def parts():
            for _ in range(20):
                yield b"x" * (self.BODY_BYTES // 20)
                await asyncio.sleep(0.05)

        headers["Content-Length"] = str(self.BODY_BYTES)
        url = f"http://127.0.0.1:{self.front}/unsafe/x"
        async with self.kept.post(url, headers=headers, data=parts()) as response:
            await response.read()
            return response.status

    async def upload_at_once(self, callers):
        """Return the statuses of uploads that overlap."""
        uploads = [asyncio.create_task(self.upload(n)) for n in range(callers)]
        return await asyncio.gather(*uploads)

    async def test_uploads_beyond_the_memory_wait(self):
        self.assertEqual(await self.upload_at_once(44), [200] * 44)
        self.assertLess(self.memory_kb(), self.MAX_KB)

    async def test_uploads_that_would_wait_too_long_are_refused(self):
        statuses = await self.upload_at_once(70)
        self.assertLessEqual(set(statuses), {200, 503})
        self.assertGreaterEqual(statuses.count(200), 44)
        self.assertLess(self.memory_kb(), self.MAX_KB)


if __name__ == "__main__":
    unittest.main()
