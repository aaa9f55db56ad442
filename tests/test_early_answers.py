"""Answers that come before the upload has been read, and statuses that are none."""

import asyncio
import itertools
import time
import unittest

import aiohttp

from carobstair.core.state import Upstream, UpstreamKind
from carobstair.core.upstream_health import UpstreamHealth
from carobstair.net.events import UpstreamError
from carobstair.net.upstream import UpstreamClient
from carobstair.settings import GatewaySettings
from carobstair.standins.proxy import reset_connection
from edge_test_case import EdgeCase
from platform_standins import SEAL, HttpStandIn, make_config, make_upstream_entry

# More than the sockets of both sides hold.
UPLOAD = bytes(4_000_000)
PART = b"id: 1\ndata: part\n\n"


class EarlyUpstream(HttpStandIn):
    """Answers each request by its head, and resets the connection a while later.

    Attributes
    ----------
    status : str
    length : int or None
        Stated length of the body, if any.
    wait_s : float
        Time from the answer to the reset; the rest of the upload is never read.
    """

    def __init__(self, wait_s=0.0, status="200", length=None):
        super().__init__()
        self.wait_s, self.status, self.length = wait_s, status, length
        self.requests = 0

    async def _serve_request(self, reader, writer):
        head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").lower()
        self.requests += 1
        names = dict(line.split(": ", 1) for line in head.split("\r\n") if ": " in line)
        lines = [f"HTTP/1.1 {self.status} X", f"Carobstair-Response-Seal: {SEAL}"]
        for name in ("carobstair-attempt-id", "x-request-id"):
            lines += [f"{name}: {names[name]}"] if name in names else []
        if self.length is not None:
            lines.append(f"Content-Length: {self.length}")
        writer.write("\r\n".join([*lines, "", ""]).encode() + PART)
        await asyncio.sleep(self.wait_s)
        reset_connection(writer)
        return False


class EarlyAnswerCase(EdgeCase):
    """Test case with one upstream that answers early."""

    numbers = itertools.count()

    async def start_early(self, upstream):
        """Start the upstream."""
        config = make_config()
        config["limits"]["maxBodyBytes"] = 2 * len(UPLOAD)
        for route in config["routes"]:
            # Shortens the wait for another upstream, of which there is none.
            route["targetLatencyMs"] = 20
        self.upstreams.append(await upstream.start())
        self.store.put("servers", "u0", make_upstream_entry(upstream.port))
        self.store.put("config", "main", config)
        while self.view.version < 1 or not self.directory.ids():
            await asyncio.sleep(0.01)

    async def get_answer(self, path, body=UPLOAD):
        """Return the status, None if the answer is not whole."""
        url = f"http://127.0.0.1:{self.server.port}{path}"
        headers = {
            "Host": "api.test",
            "Carobstair-Attempt-Id": f"id{next(self.numbers)}",
            "Carobstair-Key": "key1",
            "Carobstair-Deadline-Ms": "3000",
        }
        try:
            async with self.session.post(url, data=body, headers=headers) as response:
                await response.read()
                return response.status
        except aiohttp.ClientError:
            return None


async def call_service(port, body):
    """Call a plain service as the product's own interface does."""
    client = UpstreamClient(GatewaySettings())
    address = f"http://127.0.0.1:{port}"
    upstream = Upstream("s0", "pool", UpstreamKind.SERVICE, address, "a")
    try:
        return await client.call(upstream, "id1", "POST", "/x", {}, body, 2.0)
    finally:
        await client.close()


class ResetUploadTest(EarlyAnswerCase):
    """Guards against a part of an answer that is delivered as whole.

    An engine answered a long upload at once, without a length, and reset the
    connection while the upload was still being written.
    """

    async def test_part_of_an_early_answer_is_not_whole(self):
        upstream = EarlyUpstream()
        await self.start_early(upstream)
        for upstream.wait_s in (0.0, 0.001, 0.02, 0.2):
            for path in ("/safe/x", "/unsafe/x", "/stream/x", "/resume/x"):
                with self.subTest(path, wait_s=upstream.wait_s):
                    self.dispatcher.health = UpstreamHealth()
                    before = upstream.requests
                    self.assertNotEqual(await self.get_answer(path), 200)
                    self.assertGreater(upstream.requests, before)

    async def test_part_is_not_whole_for_the_other_interface(self):
        for wait_s in (0.0, 0.001, 0.02, 0.2):
            upstream = await EarlyUpstream(wait_s).start()
            with self.subTest(wait_s=wait_s), self.assertRaises(UpstreamError):
                await call_service(upstream.port, UPLOAD)
            await upstream.stop()


class InvalidStatusTest(EarlyAnswerCase):
    """Guards against answers whose status is none, such as 000."""

    async def test_answer_with_an_invalid_status_is_refused_at_once(self):
        upstream = EarlyUpstream(1.5, length=len(PART))
        await self.start_early(upstream)
        for upstream.status in ("000", "007", "099", "600", "999"):
            for path in ("/unsafe/x", "/stream/x"):
                with self.subTest(path, status=upstream.status):
                    self.dispatcher.health = UpstreamHealth()
                    began_s = time.monotonic()
                    self.assertEqual(await self.get_answer(path, b"x"), 502)
                    self.assertLess(time.monotonic() - began_s, 1.0)

    async def test_invalid_status_is_no_answer_for_the_other_interface(self):
        for status in ("000", "007", "099", "600", "999"):
            upstream = await EarlyUpstream(1.5, status, len(PART)).start()
            began_s = time.monotonic()
            with self.subTest(status=status):
                with self.assertRaises(UpstreamError):
                    await call_service(upstream.port, b"x")
                self.assertLess(time.monotonic() - began_s, 1.0)
            await upstream.stop()


if __name__ == "__main__":
    unittest.main()
