"""Tests of the limits on slow bodies and on open requests of one workspace."""

import asyncio
import unittest
from unittest import mock

import falcon.asgi
import falcon.testing

from carobstair.core.refusals import Refusal
from carobstair.core.state import Workspace
from carobstair.net.app import make_app
from carobstair.net.gateway import Gateway
from carobstair.net.http import DisconnectGuard
from carobstair.settings import GatewaySettings, RouterSettings

TIMEOUT_S = 20.0


def router_settings(**gateway) -> RouterSettings:
    """Return settings of a router that is never started."""
    return RouterSettings(
        instance={"name": "a", "zone": "z"},
        platform={"address": "http://127.0.0.1:9"},
        gateway=GatewaySettings(**gateway),
    )


class OpenRequestsTest(unittest.TestCase):
    """Guards against one workspace taking all connections of a router."""

    def test_bound_is_per_workspace_and_ends_with_the_requests(self):
        dependencies = [mock.Mock() for _ in range(5)]
        gateway = Gateway(router_settings(), *dependencies)
        small = Workspace("small", 1.0, max_connections=2)
        for _ in range(2):
            gateway.open(small)
        with self.assertRaises(Refusal) as caught:
            gateway.open(small)
        self.assertEqual(caught.exception.kind.name, "too-many-connections")
        self.assertEqual(caught.exception.status, 429)
        gateway.open(Workspace("other", 1.0, max_connections=1))
        gateway.close(small)
        gateway.open(small)
        self.assertEqual(gateway.running, 3)


class SlowBodyTest(unittest.IsolatedAsyncioTestCase):
    """Guards against callers that hold a request open with an unfinished body."""

    async def test_body_that_does_not_start_or_stops_is_refused(self):
        first_part = {"type": "http.request", "body": b"{", "more_body": True}
        for parts in ([], [first_part]):
            with self.subTest(parts=len(parts)):
                status, body = await self.send_body(parts)
                self.assertEqual(status, 408)
                self.assertIn(b'"ran": "no"', body)

    async def send_body(self, parts):
        """Send parts of a body and then nothing; return the answer."""
        settings = router_settings(body_timeout_s=0.02, operator_key="key")
        app = make_app(mock.Mock(closing=False), mock.Mock(), mock.Mock(), settings)
        scope = falcon.testing.create_scope(
            path="/operator/tickets",
            method="POST",
            headers={"Authorization": "Bearer key"},
            content_length=10,
        )
        remaining, sent = iter(parts), []

        async def send(message):
            sent.append(message)

        async def receive():
            for part in remaining:
                return part
            await asyncio.Event().wait()

        guarded = DisconnectGuard(app, settings.gateway.body_timeout_s)
        async with asyncio.timeout(TIMEOUT_S):
            await guarded(scope, receive, send)
        return sent[0]["status"], sent[1]["body"]
