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

SETTINGS_TEMPLATE = """
nodeName = "{name}"
zone = "{zone}"
ipAddress = "127.0.0.1"
internalPortRange = [{peer}, {last}]
seedNodes = [{seed_nodes}]
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
    """Return the first port of `count` consecutive ports that were free when checked.

    The ports are below the kernel's ephemeral port range, so that no outgoing
    connection takes one of them.
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
    """A router process with its settings file and its proxy to the store."""

    name: str
    zone: str
    folder: Path
    peer_port: int
    store_proxy: TcpProxy
    seed_nodes: list[str] = field(default_factory=list)
    incarnation: int = 0
    cold_slack: int = 5
    process: asyncio.subprocess.Process | None = None

    @property
    def front_port(self) -> int:
        """Port on which the router accepts callers."""
        return self.peer_port + 2

    @property
    def ready_port(self) -> int:
        """Port of the readiness endpoint."""
        return self.peer_port + 3

    @property
    def running(self) -> bool:
        """Whether the process has been started and has not exited."""
        return self.process is not None and self.process.returncode is None

    def write_settings(self) -> Path:
        """Write the settings file and return its path."""
        path = self.folder / f"{self.name}.toml"
        text = SETTINGS_TEMPLATE.format(
            name=self.name,
            zone=self.zone,
            peer=self.peer_port,
            last=self.peer_port + 1,
            seed_nodes=", ".join(f'"{node}"' for node in self.seed_nodes),
            front=self.front_port,
            ready=self.ready_port,
            grace=GRACE_S,
            cold_slack=self.cold_slack,
            store=self.store_proxy.port,
        )
        path.write_text(text)
        return path

    async def start(self) -> None:
        """Start the process as a new incarnation."""
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
        """Send a signal to the process, if it is running."""
        with contextlib.suppress(ProcessLookupError):
            if self.running:
                self.process.send_signal(number)

    async def wait_exited(self, timeout_s: float) -> bool:
        """Wait for the process to exit; return False on timeout."""
        try:
            await asyncio.wait_for(self.process.wait(), timeout_s)
        except TimeoutError:
            return False
        return True
