"""Tests of the driver that lets requests wait for room at the engines."""

import asyncio
import time
import unittest
from types import SimpleNamespace

from carobstair.core.admission import (
    AdmissionDecision,
    AdmissionRequest,
    AdmissionSettings,
    EngineLoad,
)
from carobstair.core.refusals import Refusal
from carobstair.edge.admission_gate import AdmissionGate
from carobstair.edge.exchange import CallerLeft

REFUSED = AdmissionDecision(False, 1.0, 2.0, retry_after_s=0.01)
ADMITTED = AdmissionDecision(True, 1.0, 2.0)


class AdmissionGateTest(unittest.IsolatedAsyncioTestCase):
    """Guards against requests that wait in vain, or after their callers have left."""

    def setUp(self):
        self.decision = REFUSED
        self.draining = False
        self.caller_closed = False
        self.outcomes = []
        admission = SimpleNamespace(
            settings=AdmissionSettings(max_waiting=2),
            reconsider=lambda request, tick_s, now_s: self.decision,
        )
        self.gate = AdmissionGate(
            admission,
            lambda: self.draining,
            lambda pool, outcome: self.outcomes.append(outcome),
        )

    def wait(self, allowed_s=5.0):
        return asyncio.create_task(
            self.gate.wait(
                lambda now_s: AdmissionRequest("m", "team", 1.0, 1.0, EngineLoad),
                REFUSED,
                time.monotonic() + allowed_s,
                0,
                lambda: self.caller_closed,
            )
        )

    async def check_ended(self, outcome):
        self.assertEqual(len(self.gate.waiting), 0)
        self.assertEqual(self.outcomes, [outcome])

    async def test_request_begins_as_soon_as_there_is_room(self):
        task = self.wait()
        await asyncio.sleep(0.03)
        self.assertFalse(task.done())
        self.decision = ADMITTED
        self.assertTrue((await task).admitted)
        await self.check_ended("begun")

    async def test_request_that_would_be_late_is_refused(self):
        self.assertFalse((await self.wait(0.03)).admitted)
        await self.check_ended("refused")

    async def test_request_of_a_caller_that_left_is_removed(self):
        task = self.wait()
        await asyncio.sleep(0)
        self.caller_closed = True
        with self.assertRaises(CallerLeft):
            await task
        await self.check_ended("left")

    async def test_cancelled_request_is_removed_at_once(self):
        task = self.wait()
        await asyncio.sleep(0)
        task.cancel()
        with self.assertRaises(asyncio.CancelledError):
            await task
        await self.check_ended("left")

    async def test_stop_refuses_what_waits(self):
        task = self.wait()
        await asyncio.sleep(0)
        self.draining = True
        with self.assertRaises(Refusal) as caught:
            await task
        self.assertEqual(caught.exception.kind.name, "shutting-down")
        self.assertIsNone(self.gate.may_wait(REFUSED, 1.0, 0.0))

    async def test_request_that_cannot_begin_in_time_does_not_wait(self):
        self.assertIsNotNone(self.gate.may_wait(REFUSED, 0.1, 0.0))
        self.assertIsNone(self.gate.may_wait(REFUSED, 0.01, 0.0))


if __name__ == "__main__":
    unittest.main()
