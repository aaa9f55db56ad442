"""Tests that the event loop never waits outside of its selector.

On the steady clock of the other tests, a call that blocks takes no time.
"""

import asyncio
import contextlib
import resource
import time
import unittest
from unittest import mock

import edge_test_case
from edge_test_case import EdgeCase, wait_until
from platform_standins import make_config, make_route

# A call that blocks in each of them is seen this often; other waits of the thread, for
# memory or a lock, are few.
REPETITIONS = 40
MAX_OTHER_WAITS = REPETITIONS // 2
PATIENCE_MS = 60_000


def count_waits():
    """Return how often this thread has given up the processor by itself."""
    return resource.getrusage(resource.RUSAGE_THREAD).ru_nvcsw


def make_patient_config(version=1):
    """Return a configuration whose time-outs a stalled machine doesn't reach."""
    routes = [
        make_route("/stream/", kind="streaming", timeoutMs=PATIENCE_MS),
        make_route(f"/other{version}/", timeoutMs=PATIENCE_MS),
    ]
    return make_config(version, routes=routes)


class WaitCounter:
    """Counts the waits of an event loop's thread outside of its selector."""

    def __init__(self, selector):
        self.selector = selector
        self.outside = 0
        self._select = selector.select
        self._since = count_waits()

    def select(self, timeout=None):
        """Wait for events; these waits are not counted."""
        self.note()
        events = self._select(timeout)
        self._since = count_waits()
        return events

    def note(self):
        """Add the waits since the last call of the selector."""
        waits = count_waits()
        self.outside += waits - self._since
        self._since = waits


@contextlib.contextmanager
def counted_waits():
    """Count the waits of the running event loop outside of its selector."""
    selector = asyncio.get_running_loop()._selector
    counter = WaitCounter(selector)
    with mock.patch.object(selector, "select", counter.select):
        yield counter
    counter.note()


class BlockingCallTest(EdgeCase):
    """Guards against a call that blocks the event loop without work.

    Examples are `time.sleep` and a socket call that waits. Waits are counted and not
    measured, so the speed of the machine and its other work don't matter.
    """

    async def asyncSetUp(self):
        real_clock = mock.patch.object(
            edge_test_case, "steady_clock", contextlib.nullcontext
        )
        with real_clock:
            await super().asyncSetUp()
        # Debug mode logs slow turns.
        asyncio.get_running_loop().set_debug(False)
        await self.start_upstreams("stream", config=make_patient_config())

    async def stream(self):
        for number in range(REPETITIONS):
            status, _, body = await self.call(
                "/stream/x", "POST", PATIENCE_MS, attempt_id=f"id{number}"
            )
            self.assertEqual((status, body.count(b"data: part")), (200, 5))

    async def refuse(self):
        for _ in range(REPETITIONS):
            status, _, _ = await self.call("/unknown/x", deadline_ms=PATIENCE_MS)
            self.assertEqual(status, 404)

    async def change_configuration(self):
        for version in range(2, 2 + REPETITIONS):
            self.store.put("config", "main", make_patient_config(version))
            await wait_until(lambda v=version: self.view.version >= v, 60.0)

    async def count(self, act):
        with counted_waits() as counter:
            await act()
        return counter.outside

    async def block(self):
        for _ in range(REPETITIONS):
            time.sleep(0.001)
            await asyncio.sleep(0.001)

    async def test_count_shows_calls_that_block(self):
        self.assertGreaterEqual(await self.count(self.block), REPETITIONS)

    async def test_nothing_blocks_the_event_loop(self):
        for act in (self.stream, self.refuse, self.change_configuration):
            with self.subTest(act.__name__):
                self.assertLess(await self.count(act), MAX_OTHER_WAITS)


if __name__ == "__main__":
    unittest.main()
