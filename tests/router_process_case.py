"""Base class for tests of the real router program with a store and an upstream."""

import asyncio
import contextlib
import os
import sys
import tempfile
import unittest
from pathlib import Path

import aiohttp

from carobstair.platform.boot import BOOT_VARIABLE
from platform_standins import StoreStandIn, make_config, make_upstream_entry
from test_boot import BOOT, free_ports


class RouterProcessCase(unittest.IsolatedAsyncioTestCase):
    """Test case with one router process.

    Attributes
    ----------
    GRACE_S : float
        Time between the signals that end the process.
    """

    GRACE_S = 3.0

    def make_upstream(self):
        """Return the upstream of the router, which is not started."""
        raise NotImplementedError

    def make_config(self):
        """Return the configuration of the router."""
        return make_config()

    def make_boot(self, text):
        """Return the settings of the process, given the usual ones."""
        return text

    async def asyncSetUp(self):
        self.store = await StoreStandIn().start()
        self.upstream = await self.make_upstream().start()
        self.store.put("servers", "u0", make_upstream_entry(self.upstream.port))
        self.store.put("config", "main", self.make_config())
        folder = self.enterContext(tempfile.TemporaryDirectory())
        self.peer, self.front, self.ready = free_ports(3)
        text = BOOT.format(
            peer=self.peer,
            last=self.peer + 15,
            front=self.front,
            ready=self.ready,
            store=self.store.port,
        )
        path = Path(folder) / "node.toml"
        path.write_text(
            self.make_boot(text).replace("graceS = 3", f"graceS = {self.GRACE_S}")
        )
        self.process = await asyncio.create_subprocess_exec(
            sys.executable,
            "-m",
            "carobstair.cli.router",
            env=os.environ | {BOOT_VARIABLE: str(path)},
            stdout=asyncio.subprocess.DEVNULL,
        )
        self.kept = aiohttp.ClientSession()
        await self.wait_until_ready()

    async def asyncTearDown(self):
        await self.kept.close()
        if self.process.returncode is None:
            self.process.kill()
        await self.process.wait()
        await self.store.stop()
        await self.upstream.stop()

    async def wait_until_ready(self):
        for _ in range(300):
            with contextlib.suppress(aiohttp.ClientError):
                url = f"http://127.0.0.1:{self.ready}/v1/ready"
                async with self.kept.get(url) as response:
                    if response.status == 200:
                        return
            await asyncio.sleep(0.05)
        self.fail("the router was not ready within 15 s")
