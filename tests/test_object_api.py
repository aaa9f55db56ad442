"""Tests of the object API client and the store driver against the stand-in."""

import asyncio
import unittest

from carobstair.core.store_calls import (
    StoreCalls,
    StoreOutcome,
    WatchChange,
    WatchClose,
    WatchEnded,
    WatchOpen,
)
from carobstair.net.http import HttpServer
from carobstair.net.store import StoreDriver
from carobstair.platform import ObjectApi
from carobstair.settings import PlatformSettings
from carobstair.standins.object_api import HISTORY_LIMIT, ObjectStore, make_app

TIMEOUT_S = 30.0


class StoreDriverTest(unittest.IsolatedAsyncioTestCase):
    """Guards against HTTP answers that are mapped to the wrong outcome."""

    async def asyncSetUp(self):
        self.store = ObjectStore()
        self.server = HttpServer(make_app(self.store), "127.0.0.1", 0)
        self.serving = asyncio.create_task(self.server.serve())
        address = f"http://127.0.0.1:{self.server.port}"
        self.api = ObjectApi(PlatformSettings(address=address, timeout_s=TIMEOUT_S))
        self.answers: asyncio.Queue = asyncio.Queue()
        self.events: asyncio.Queue = asyncio.Queue()
        self.driver = StoreDriver(
            self.api, self.answers.put_nowait, self.events.put_nowait
        )
        self.calls = StoreCalls()

    async def asyncTearDown(self):
        self.driver.close()
        await self.api.close()
        self.server.stop()
        await self.serving

    async def ask(self, call):
        self.driver.carry_out(call)
        answer = await asyncio.wait_for(self.answers.get(), TIMEOUT_S)
        self.assertEqual(answer.call, call.call)
        return answer

    async def event(self):
        return await asyncio.wait_for(self.events.get(), TIMEOUT_S)

    def create(self, name, value=b"1"):
        return self.calls.create(name, value, lambda answer, now_s: [])

    def get(self, name):
        return self.calls.get(name, lambda answer, now_s: [])

    async def test_conditional_writes_and_reads(self):
        created = await self.ask(self.create("tickets/1"))
        self.assertTrue(created.ok)
        again = await self.ask(self.create("tickets/1", b"2"))
        self.assertIs(again.outcome, StoreOutcome.CONFLICT)
        missing = await self.ask(self.get("tickets/2"))
        self.assertIs(missing.outcome, StoreOutcome.MISSING)
        listing = self.calls.list("tickets/", "", lambda answer, now_s: [])
        listed = await self.ask(listing)
        self.assertEqual([o.value for o in listed.objects], [b"1"])
        self.assertEqual(listed.version, created.version)

    async def test_lost_answer_is_unavailable_and_the_write_took_effect(self):
        self.store.lose_answers = 1
        lost = await self.ask(self.create("a"))
        self.assertIs(lost.outcome, StoreOutcome.UNAVAILABLE)
        found = await self.ask(self.get("a"))
        self.assertEqual(found.objects[0].value, b"1")

    async def test_refused_connection_is_not_sent(self):
        self.server.stop()
        await self.serving
        answer = await self.ask(self.create("a"))
        self.assertIs(answer.outcome, StoreOutcome.NOT_SENT)

    async def test_unreadable_answer_is_unavailable(self):
        self.store.instances = [{"zone": "without a name"}]
        call = self.calls.instances(lambda answer, now_s: [])
        answer = await self.ask(call)
        self.assertIs(answer.outcome, StoreOutcome.UNAVAILABLE)

    async def test_watch_reports_changes_until_it_is_closed(self):
        self.driver.carry_out(WatchOpen(7, "tickets/", 0))
        await self.store.write("other", b"x")
        await self.store.write("tickets/1", b"1")
        change = await self.event()
        self.assertIsInstance(change, WatchChange)
        self.assertEqual((change.watch, change.stored.value), (7, b"1"))
        self.driver.carry_out(WatchClose(7))
        await self.store.write("tickets/2", b"2")
        self.driver.carry_out(WatchOpen(8, "tickets/", 0))
        watches = {(await self.event()).watch for _ in range(2)}
        self.assertEqual(watches, {8})

    async def test_watch_from_before_the_history_expires(self):
        for number in range(HISTORY_LIMIT + 5):
            await self.store.write(f"tickets/{number}", b"")
        self.driver.carry_out(WatchOpen(7, "tickets/", 1))
        self.assertEqual(await self.event(), WatchEnded(7, expired=True))
