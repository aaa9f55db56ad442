"""Signals at any moment of the life of a real router process."""

import asyncio
import os
import signal
import sys
import tempfile
import unittest
from pathlib import Path

import aiohttp

from carobstair.platform.boot import BOOT_VARIABLE
from platform_standins import StoreStandIn, make_config
from test_boot import BOOT, free_ports

ROOT = Path(__file__).resolve().parent.parent
# The program as the platform starts it, and as it is installed.
PROGRAMS = {
    "deployed": (sys.executable, "deploy/router.py"),
    "installed": (
        sys.executable,
        "-c",
        "from carobstair.programs import router; router()",
    ),
}
NOT_FOR_THE_END = (signal.SIGHUP, signal.SIGUSR1, signal.SIGUSR2, signal.SIGCONT)


class SignalCase(unittest.IsolatedAsyncioTestCase):
    """Test case with a store and the settings of a router."""

    async def asyncSetUp(self):
        self.store = await StoreStandIn().start()
        self.addAsyncCleanup(self.store.stop)
        self.store.put("config", "main", make_config())
        folder = self.enterContext(tempfile.TemporaryDirectory())
        peer, front, self.ready = free_ports(3)
        self.path = Path(folder) / "node.toml"
        self.text = BOOT.format(
            peer=peer,
            last=peer + 15,
            front=front,
            ready=self.ready,
            store=self.store.port,
        )
        self.path.write_text(self.text)

    async def start(self, program):
        """Start a router; return once it has reached its first line."""
        environment = os.environ | {BOOT_VARIABLE: str(self.path)}
        self.process = await asyncio.create_subprocess_exec(
            *PROGRAMS[program],
            cwd=ROOT,
            env=environment,
            stdout=asyncio.subprocess.PIPE,
        )
        self.lines = []
        self.reading = asyncio.create_task(self.read_lines())
        while not self.catches(signal.SIGHUP):
            self.assertIsNone(self.process.returncode)
            await asyncio.sleep(0.001)

    def catches(self, number):
        """Return whether the process has a handler for a signal."""
        status = Path(f"/proc/{self.process.pid}/status").read_text()
        caught = int(status.partition("SigCgt:")[2].split()[0], 16)
        return bool(caught >> (number - 1) & 1)

    async def read_lines(self):
        async for line in self.process.stdout:
            self.lines.append(line.decode())

    async def is_ready(self):
        try:
            async with (
                aiohttp.ClientSession() as session,
                session.get(f"http://127.0.0.1:{self.ready}/v1/ready") as response,
            ):
                return response.status == 200
        except aiohttp.ClientError:
            return False

    async def signal_until_ready(self):
        """Send signals all the while; fail if the process ends."""
        for turn in range(1500):
            self.assertIsNone(self.process.returncode)
            self.process.send_signal(NOT_FOR_THE_END[turn % len(NOT_FOR_THE_END)])
            await asyncio.sleep(0.01)
            if turn % 20 == 0 and await self.is_ready():
                return
        self.fail("the router was not ready within 15 s")

    async def end(self):
        """End the process; return its code."""
        self.process.send_signal(signal.SIGTERM)
        code = await asyncio.wait_for(self.process.wait(), 6.0)
        await self.reading
        return code


class StartTest(SignalCase):
    """Guards against processes that a signal for another purpose ends."""

    async def test_signals_during_the_start_do_not_end_it(self):
        for program in PROGRAMS:
            with self.subTest(program):
                await self.start(program)
                await self.signal_until_ready()
                self.assertEqual(await self.end(), 0)

    async def test_settings_that_change_during_the_start_are_in_force(self):
        await self.start("deployed")
        # The first lines come once the settings have been read.
        while not self.lines:
            await asyncio.sleep(0.001)
        self.path.write_text(self.text.replace("graceS = 3", "graceS = 2"))
        self.process.send_signal(signal.SIGHUP)
        await self.signal_until_ready()
        self.assertEqual(await self.end(), 0)
        reloads = [line for line in self.lines if "settings_reloaded" in line]
        self.assertTrue(any("applied=stop" in line for line in reloads))

    async def test_process_that_is_told_to_end_in_its_start_ends(self):
        await self.start("deployed")
        self.process.send_signal(signal.SIGTERM)
        await asyncio.wait_for(self.process.wait(), 3.0)
        self.reading.cancel()


class StopTest(SignalCase):
    """Guards against signals that cut a stop short, or keep it from its end."""

    async def test_signals_during_the_stop_change_nothing(self):
        await self.start("installed")
        await self.signal_until_ready()
        self.process.send_signal(signal.SIGTERM)
        for number in (*NOT_FOR_THE_END, signal.SIGTERM):
            self.process.send_signal(number)
            await asyncio.sleep(0.02)
        self.assertEqual(await asyncio.wait_for(self.process.wait(), 6.0), 0)
        await self.reading


if __name__ == "__main__":
    unittest.main()
