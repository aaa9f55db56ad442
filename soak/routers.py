"""Router processes that the soak starts, pauses, kills and restarts."""

from __future__ import annotations

import asyncio
import contextlib
import os
import signal
import socket
import sys
from dataclasses import dataclass, field
from pathlib import Path

from carobstair.platform.boot import BOOT_VARIABLE
from carobstair.standins.proxy import TcpProxy

__all__ = ["GRACE_S", "Router", "free_port_block"]

GRACE_S = 4

SETTINGS = """
nodeName = "{name}"
zone = "{zone}"
ipAddress = "127.0.0.1"
internalPortRange = [{peer}, {last}]
seedNodes = [{seeds}]
[listen]
front = "127.0.0.1:{front}"
ready = "127.0.0.1:{ready}"
[bounds]
graceS = {grace}
coldSlack = {cold_slack}
[platform]
address = "127.0.0.1:{store}"
"""


def free_port_block(count: int) -> int:
    """Return the first of some ports in a row that were free a moment ago.

    They lie below the range from which the kernel takes ports of its own.
    """
    for first in range(20_000 + os.getpid() % 500 * 20, 32_000, count):
        try:
            for port in range(first, first + count):
                with socket.create_server(("127.0.0.1", port)):
                    pass
        except OSError:
            continue
        return first
    raise OSError("no free ports")


@dataclass(eq=False)
class Router:
    """One router: its settings file, its link to the store and its process."""

    name: str
    zone: str
    folder: Path
    peer_port: int
    store_link: TcpProxy
    seeds: list[str] = field(default_factory=list)
    incarnation: int = 0
    cold_slack: int = 5
    process: asyncio.subprocess.Process | None = None

    @property
    def front_port(self) -> int:
        """Port for callers."""
        return self.peer_port + 2

    @property
    def ready_port(self) -> int:
        """Port of the readiness page."""
        return self.peer_port + 3

    @property
    def running(self) -> bool:
        """Whether the process exists."""
        return self.process is not None and self.process.returncode is None

    def write_settings(self) -> Path:
        """Write the settings file and return its path."""
        path = self.folder / f"{self.name}.toml"
        text = SETTINGS.format(
            name=self.name,
            zone=self.zone,
            peer=self.peer_port,
            last=self.peer_port + 1,
            seeds=", ".join(f'"{seed}"' for seed in self.seeds),
            front=self.front_port,
            ready=self.ready_port,
            grace=GRACE_S,
            cold_slack=self.cold_slack,
            store=self.store_link.port,
        )
        path.write_text(text)
        return path

    async def start(self) -> None:
        """Start a new incarnation."""
        self.incarnation += 1
        path = self.write_settings()
        log = self.folder / f"{self.name}.log"
        with log.open("ab") as out:
            self.process = await asyncio.create_subprocess_exec(
                sys.executable,
                "-m",
                "carobstair.cli.router",
                env=os.environ | {BOOT_VARIABLE: str(path)},
                stdout=out,
                stderr=out,
            )

    def signal(self, number: signal.Signals) -> None:
        """Send a signal to the process, if it is there."""
        with contextlib.suppress(ProcessLookupError):
            if self.running:
                self.process.send_signal(number)

    async def gone(self, timeout_s: float) -> bool:
        """Wait for the end of the process; return whether it came in time."""
        try:
            await asyncio.wait_for(self.process.wait(), timeout_s)
        except TimeoutError:
            return False
        return True
