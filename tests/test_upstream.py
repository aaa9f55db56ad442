"""Tests of calls to upstreams over real sockets, through a proxy stand-in."""

import asyncio
import json
import time
import unittest

from carobstair.core.state import Upstream, UpstreamKind
from carobstair.net.events import (
    AnswerMismatch,
    EventReader,
    NotSent,
    ProgressLimits,
    StreamBroken,
    UpstreamRefused,
    read_chunks,
)
from carobstair.net.http import HttpServer
from carobstair.net.upstream import UpstreamClient
from carobstair.settings import GatewaySettings
from carobstair.standins import engine, ledger
from carobstair.standins.proxy import TcpProxy
from steady_clock import steady_clock

SETTINGS = GatewaySettings(progress_timeout_s=0.3, first_token_timeout_s=0.5)


def lower(headers):
    """Return headers with names in lower case."""
    return [(name.lower(), value) for name, value in headers]


class UpstreamCase(unittest.IsolatedAsyncioTestCase):
    """Base class with an upstream stand-in behind a proxy, and a client."""

    async def serve(self, app):
        self.enterContext(steady_clock())
        server = HttpServer(app, "127.0.0.1", 0)
        task = asyncio.create_task(server.serve())
        self.proxy = TcpProxy("127.0.0.1", server.port)
        await self.proxy.start()
        self.client = UpstreamClient(SETTINGS)

        async def close():
            await self.client.close()
            await self.proxy.close()
            server.stop()
            await task

        self.addAsyncCleanup(close)
        address = f"http://127.0.0.1:{self.proxy.port}"
        return Upstream("u", "pool", UpstreamKind.SERVICE, address, "zone")


class ServiceCallTest(UpstreamCase):
    """Guards against duplicate sends and false "not run" at a plain service."""

    async def asyncSetUp(self):
        self.ledger = ledger.Ledger(ledger.LedgerSettings(port=1))
        self.upstream = await self.serve(ledger.make_app(self.ledger))

    async def call(self, method="POST", timeout_s=5.0):
        args = (self.upstream, "id-1", method, "/holds", {}, b"x", timeout_s)
        return await self.client.call(*args)

    async def test_lost_answer_is_never_sent_again(self):
        for method in ("POST", "PUT", "DELETE"):
            with self.subTest(method):
                await self.call(method)
                ran = len(self.ledger.journal)
                self.ledger.drop_answers = 1.0
                with self.assertRaises(StreamBroken):
                    await self.call(method)
                self.ledger.drop_answers = 0.0
                await self.call(method)
                self.proxy.cut_answers = True
                with self.assertRaises(StreamBroken):
                    await self.call(method)
                self.proxy.cut_answers = False
                self.assertEqual(len(self.ledger.journal), ran + 3)

    async def test_crossed_answer_is_dropped_with_its_connection(self):
        self.ledger.cross_answers = 1
        with self.assertRaises(AnswerMismatch):
            await self.call()
        answer = await self.call()
        self.assertEqual(json.loads(answer.body)["number"], 2)
        self.assertEqual(self.proxy.accepted, 2)

    async def test_only_a_stated_refusal_counts_as_not_run(self):
        self.ledger.refuse = 1.0
        with self.assertRaises(UpstreamRefused):
            await self.call()
        self.ledger.refuse_body = {}
        answer = await self.call()
        self.assertEqual(answer.status, 503)

    async def test_encoded_body_passes_through(self):
        self.ledger.answer_headers = {"Content-Encoding": "gzip"}
        answer = await self.call()
        self.assertIn(("content-encoding", "gzip"), lower(answer.headers))
        self.assertEqual(json.loads(answer.body)["number"], 1)

    async def test_silent_connection_loses_the_answer_and_the_next_call_works(self):
        self.proxy.silence_new = True
        with self.assertRaises(StreamBroken):
            await self.call(timeout_s=0.3)
        self.proxy.silence_new = False
        self.assertEqual((await self.call()).status, 200)

    async def test_refused_connection_is_not_sent(self):
        await self.proxy.close()
        with self.assertRaises(NotSent):
            await self.call()


class StreamTest(UpstreamCase):
    """Guards against missing and repeated tokens when a stream breaks."""

    async def asyncSetUp(self):
        settings = engine.EngineSettings(port=1, cold_s=0.0)
        self.engine = engine.Engine(settings)
        self.upstream = await self.serve(engine.make_app(self.engine))
        prompt = "answer_tokens=30"
        message = {"role": "user", "content": prompt}
        self.body = json.dumps({"messages": [message]}).encode()
        self.expected_tokens = [
            engine.answer_token(f"user: {prompt}", n) for n in range(1, 31)
        ]

    async def read(
        self, tokens, after, until=lambda: float("inf"), on_tenth_token=None
    ):
        deadline_s = time.monotonic() + 60
        stream = self.client.stream(
            self.upstream, f"id-{after}", self.body, after, until, deadline_s
        )
        async for chunk in stream:
            tokens.append(chunk.document["choices"][0]["delta"].get("content", ""))
            if on_tenth_token is not None and len(tokens) == 10:
                on_tenth_token()

    async def test_silent_stream_is_resumed_without_gap_or_repeat(self):
        for fault in (
            self.proxy.silence_open,
            self.proxy.cut_open,
            self.engine.restart,
        ):
            with self.subTest(fault.__name__):
                tokens = []
                with self.assertRaises(StreamBroken):
                    await self.read(tokens, 0, on_tenth_token=fault)
                await self.read(tokens, len(tokens))
                self.assertEqual(tokens, [*self.expected_tokens, ""])

    async def test_stalled_engine_is_noticed_before_the_first_token(self):
        self.engine.stalled = True
        with self.assertRaisesRegex(StreamBroken, "no token in time"):
            await self.read([], 0)
        self.engine.stalled = False

    async def test_use_ends_with_the_lease(self):
        with self.assertRaisesRegex(StreamBroken, "lease"):
            await self.read([], 0, until=lambda: 0.0)


class NumberedChunksTest(unittest.IsolatedAsyncioTestCase):
    """Guards against accepting answers that have a gap, a repeat or no end."""

    async def chunks(self, *events):
        reader = asyncio.StreamReader()
        reader.readany = lambda: reader.read(7)
        for event in events:
            reader.feed_data(event)
        reader.feed_eof()
        limits = ProgressLimits(5.0, 5.0, lambda: float("inf"))
        found = read_chunks(EventReader(reader, limits), 0)
        return [chunk.number async for chunk in found]

    def event(self, number, finish=None):
        choice = {"delta": {}, "finish_reason": finish}
        text = json.dumps({"choices": [choice]})
        return f": comment\n\nid: {number}\ndata: {text}\n\n".encode()

    async def test_complete_answer(self):
        done = b"data: [DONE]\n\n"
        found = await self.chunks(self.event(1), self.event(2, "stop"), done)
        self.assertEqual(found, [1, 2])

    async def test_gap_repeat_and_missing_end_are_errors(self):
        one, two, three = self.event(1), self.event(2), self.event(3, "stop")
        done = b"data: [DONE]\n\n"
        for events in ([one, three, done], [one, one, two], [one, two], [one, done]):
            with self.assertRaises(StreamBroken):
                await self.chunks(*events)


if __name__ == "__main__":
    unittest.main()
