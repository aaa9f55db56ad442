"""Waits of the edge router for an upstream that takes a request."""

import asyncio
import time
from unittest import mock

from carobstair.core.dispatch import Dispatcher
from carobstair.edge.upstream_connection import ConnectionBroken
from edge_test_case import EdgeCase, wait_until
from platform_standins import make_config, make_upstream_entry


class UnreachableUpstreamsTest(EdgeCase):
    """Guards against requests that use up their time on connects."""

    CONNECT_TIMEOUT_S = 0.3

    async def connect_in_vain(self, host, port):
        """Fail as a connect to a machine without power does."""
        await asyncio.sleep(self.CONNECT_TIMEOUT_S)
        raise ConnectionBroken("connect timed out")

    async def test_request_is_refused_after_two_connects_that_timed_out(self):
        config = make_config()
        for route in config["routes"]:
            route["timeoutMs"] = 8000
        await self.start_upstreams(*["ok"] * 8, config=config)
        with (
            mock.patch("carobstair.edge.connection_pool.connect", self.connect_in_vain),
            mock.patch("carobstair.edge.relay.CONNECT_TIMEOUT_S", 0.3),
        ):
            start_s = time.monotonic()
            status, headers, _ = await self.call("/unsafe/x", "POST", 8000)
        self.assertEqual(status, 503)
        self.assertIn("Retry-After", headers)
        self.assertLess(time.monotonic() - start_s, 3 * self.CONNECT_TIMEOUT_S)


class RefusedConnectsTest(EdgeCase):
    """Guards against refusals while an upstream is left that takes the request."""

    async def test_upstream_is_found_behind_many_that_refuse_connections(self):
        await self.start_upstreams("ok")
        for number in range(30):
            self.store.put("servers", f"gone{number}", make_upstream_entry(1))
        await wait_until(lambda: len(self.directory.ids()) == 31)
        status, _, _ = await self.call("/safe/x")
        self.assertEqual(status, 200)


class FullUpstreamsTest(EdgeCase):
    """Guards against a router that is busy with looking for free connections."""

    UPSTREAMS = 3
    LIMIT = 4

    async def asyncSetUp(self):
        await super().asyncSetUp()
        services = [{"name": "plain", "healthPath": "/health", "maxConnections": 2}]
        config = make_config(services=services)
        await self.start_upstreams(*["hang"] * self.UPSTREAMS, config=config)
        number = self.UPSTREAMS * self.LIMIT
        self.open_calls = [
            asyncio.create_task(self.call("/safe/x", attempt_id=f"open{n}"))
            for n in range(number)
        ]
        await wait_until(lambda: self.upstream_request_count() == number)

    async def asyncTearDown(self):
        for call in self.open_calls:
            call.cancel()
        await asyncio.gather(*self.open_calls, return_exceptions=True)
        await super().asyncTearDown()

    async def timed_call(self, number):
        """Return the status of a call and how long it took."""
        start_s = time.monotonic()
        status, _, _ = await self.call("/safe/x", attempt_id=f"id{number}")
        return status, time.monotonic() - start_s

    async def test_full_upstreams_are_not_tried_one_by_one(self):
        choices = []
        original_choose = Dispatcher.choose

        def choose(*args):
            choices.append(args)
            return original_choose(*args)

        with mock.patch.object(Dispatcher, "choose", choose):
            status, took_s = await self.timed_call(0)
        self.assertEqual(status, 503)
        # One in each interval of 20 ms of the wait, which is 80 ms.
        self.assertLessEqual(len(choices), 6)
        self.assertLess(took_s, 0.3)

    async def test_request_that_too_many_wait_before_is_refused_at_once(self):
        waited = []
        record_end = self.app._record_end

        def record(*args):
            # From the arrival at the router, without the caller's connect.
            waited.append(time.monotonic() - args[-1])
            record_end(*args)

        with (
            mock.patch("carobstair.edge.relay.MAX_WAITING_REQUESTS", 2),
            mock.patch.object(self.app, "_record_end", record),
        ):
            results = await asyncio.gather(*map(self.timed_call, range(6)))
        self.assertEqual({status for status, _ in results}, {503})
        waited.sort()
        self.assertEqual(len(waited), 6)
        self.assertLess(waited[3], 0.07)
        self.assertGreater(waited[4], 0.07)
