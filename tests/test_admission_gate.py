"""Tests of the driver that lets requests wait for room at the engines."""

import asyncio
import time
import unittest
from types import SimpleNamespace
from unittest import mock

from carobstair.core.admission import (
    AdmissionDecision,
    AdmissionRequest,
    AdmissionSettings,
    EngineLoad,
)
from carobstair.core.refusals import Refusal
from carobstair.edge.admission_gate import AdmissionGate
from carobstair.edge.exchange import CallerLeft
from edge_test_case import EdgeCase
from platform_standins import make_config
from steady_clock import steady_clock

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

    async def asyncSetUp(self):
        self.enterContext(steady_clock())

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

    async def test_failure_of_one_request_does_not_stop_the_others(self):
        waits = [self.wait() for _ in range(2)]
        await asyncio.sleep(0)
        errors = iter((ValueError("of the first"),))

        def reconsider(request, tick_s, now_s):
            for error in errors:
                raise error
            return ADMITTED

        self.gate.admission.reconsider = reconsider
        async with asyncio.timeout(1.0):
            first, second = await asyncio.gather(*waits, return_exceptions=True)
        self.assertIsInstance(first, ValueError)
        self.assertTrue(second.admitted)

    async def test_caller_that_left_a_cancelled_request_does_not_stop_the_others(self):
        waits = [self.wait() for _ in range(2)]
        await asyncio.sleep(0)
        self.gate._held[0].outcome.cancel()
        self.gate._held[0].caller_closed = lambda: True
        self.gate._held[1].caller_closed = lambda: False
        self.gate.tick(time.monotonic())
        self.decision = ADMITTED
        async with asyncio.timeout(1.0):
            first, second = await asyncio.gather(*waits, return_exceptions=True)
        self.assertIsInstance(first, asyncio.CancelledError)
        self.assertTrue(second.admitted)

    async def test_request_ends_in_time_if_nothing_is_decided(self):
        with mock.patch.object(AdmissionGate, "tick", side_effect=ValueError):
            async with asyncio.timeout(1.0):
                self.assertFalse((await self.wait(0.05)).admitted)
        await self.check_ended("refused")


class WorkConservingEdgeTest(EdgeCase):
    """Guards against refusals by a configured throughput while engines are idle."""

    async def start_engine(self):
        service = {
            "name": "plain",
            "healthPath": "/health",
            "maxConnections": 90,
            "engine": {"slots": 8, "kvCapacityTokens": 100_000},
        }
        limits = {"maxHeaderBytes": 16384, "maxBodyBytes": 1000, "tokensPerS": 100.0}
        config = make_config(services=[service], limits=limits)
        await self.start_upstreams("ok", config=config)

    async def count_answered(self, requests=60):
        statuses = []
        for number in range(requests):
            status, _, _ = await self.call(
                "/safe/x",
                attempt_id=f"id{number}",
                **{"Carobstair-Token-Counts": "1000,10"},
            )
            statuses.append(status)
        return statuses.count(200)

    async def test_requests_beyond_the_share_are_answered_by_idle_engines(self):
        await self.start_engine()
        self.app._admission.conserve_work("plain")
        self.assertEqual(await self.count_answered(), 60)

    async def test_setting_is_off_unless_it_is_given(self):
        await self.start_engine()
        self.assertFalse(self.app._admission.conserves_work("plain"))


if __name__ == "__main__":
    unittest.main()
