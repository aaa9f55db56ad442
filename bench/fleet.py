"""Starts and stops a fleet of real processes on free loopback ports."""

from __future__ import annotations

import asyncio
import hashlib
import json
import signal
import socket
import subprocess
import sys
import tempfile
from dataclasses import dataclass, field
from pathlib import Path

import aiohttp

__all__ = ["Fleet", "FleetPlan", "PlannedUpstream", "key_of"]

OPERATOR_KEY = "demo-operator-key"
MAX_SCALED_REQUESTS = 8
START_TIMEOUT_S = 30.0
END_TIMEOUT_S = 45.0


@dataclass(frozen=True)
class PlannedUpstream:
    """An upstream stand-in with its pool, zone, limits and command-line arguments."""

    name: str
    pool: str
    kind: str
    zone: str
    max_requests: int = 8
    cold_limit: int = 2
    routes: tuple[dict, ...] = ()
    arguments: tuple[str, ...] = ()


@dataclass(frozen=True)
class FleetPlan:
    """Processes to start.

    Attributes
    ----------
    routers : tuple of (str, str)
        Name and availability zone of each router.
    workspaces : dict
        Weight by name; the key of a workspace is `key_of` its name.
    settings : dict
        Values by section that are added to the settings of every router.
    """

    routers: tuple[tuple[str, str], ...]
    upstreams: tuple[PlannedUpstream, ...]
    workspaces: dict[str, float]
    settings: dict[str, dict[str, str]] = field(default_factory=dict)

    @classmethod
    def from_ticket(
        cls,
        ticket: dict,
        workspaces: tuple[str, ...],
        engine_arguments: tuple[str, ...] = (),
    ) -> FleetPlan:
        """Return a deployment scaled down to one machine.

        Parameters
        ----------
        ticket : dict
            First ticket of the deployment.
        workspaces : tuple of str
            Workspaces of the ticket to keep.
        engine_arguments : tuple of str, optional
            Command-line arguments of the engine stand-ins.

        Returns
        -------
        FleetPlan
            One router and one engine in each zone, and one service.
        """
        zones = list(ticket["zones"])
        found = ticket["upstreams"].items()
        engines = [
            next(n for n, u in found if u["kind"] == "engine" and u["zone"] == zone)
            for zone in zones
        ]
        service = next(n for n, u in found if u["kind"] == "service")
        return cls(
            tuple((f"entry-{n + 1}", zone) for n, zone in enumerate(zones)),
            tuple(
                PlannedUpstream(
                    name,
                    upstream["pool"],
                    upstream["kind"],
                    upstream["zone"],
                    # Routers, stand-ins and callers share the few cores of one machine.
                    min(MAX_SCALED_REQUESTS, upstream["max_requests"]),
                    upstream["cold_limit"],
                    tuple(upstream.get("routes", ())),
                    engine_arguments if upstream["kind"] == "engine" else (),
                )
                for name, upstream in found
                if name in (*engines, service)
            ),
            {name: ticket["workspaces"][name]["weight"] for name in workspaces},
        )


def key_of(workspace: str) -> str:
    """Return the API key of a workspace."""
    return f"key-of-{workspace}"


def free_ports(count: int) -> list[int]:
    """Return loopback ports that are currently free."""
    sockets = [socket.create_server(("127.0.0.1", 0)) for _ in range(count)]
    ports = [s.getsockname()[1] for s in sockets]
    for s in sockets:
        s.close()
    return ports


class Fleet:
    """Processes of one fleet.

    Parameters
    ----------
    plan : FleetPlan
    """

    def __init__(self, plan: FleetPlan):
        self.plan = plan
        self._temporary_directory = tempfile.TemporaryDirectory(prefix="carobstair-")
        self.folder = Path(self._temporary_directory.name)
        ports = iter(free_ports(1 + 2 * len(plan.routers) + len(plan.upstreams)))
        self.store_port = next(ports)
        self.http_ports = {name: next(ports) for name, _ in plan.routers}
        self.peer_ports = {name: next(ports) for name, _ in plan.routers}
        self.upstream_ports = {u.name: next(ports) for u in plan.upstreams}
        self.processes: dict[str, subprocess.Popen] = {}
        self.session: aiohttp.ClientSession | None = None

    def address(self, router: str) -> str:
        """Return the address of a router for callers."""
        return f"http://127.0.0.1:{self.http_ports[router]}"

    def upstream_address(self, name: str) -> str:
        """Return the address of an upstream stand-in."""
        return f"http://127.0.0.1:{self.upstream_ports[name]}"

    @property
    def store_address(self) -> str:
        """Address of the object API stand-in."""
        return f"http://127.0.0.1:{self.store_port}"

    async def __aenter__(self) -> Fleet:
        """Start all processes and wait until the routers are ready."""
        timeout = aiohttp.ClientTimeout(total=120)
        connector = aiohttp.TCPConnector(limit=0)
        self.session = aiohttp.ClientSession(timeout=timeout, connector=connector)
        try:
            self._spawn_module(
                "store", "carobstair.standins.object_api", "--port", self.store_port
            )
            for upstream in self.plan.upstreams:
                self._spawn_upstream(upstream)
            await self._wait_for(self.store_address + "/control")
            await self.set_instances()
            for name, _ in self.plan.routers:
                self.start_router(name)
            for name, _ in self.plan.routers:
                await self._wait_for(self.address(name) + "/healthz")
            await self.file_ticket(self.first_ticket())
            for name, _ in self.plan.routers:
                await self._wait_for(self.address(name) + "/readyz")
        except BaseException:
            await self.__aexit__()
            raise
        return self

    async def __aexit__(self, *exc_info) -> None:
        """Stop all processes and remove the working directory."""
        for name in list(self.processes):
            await self.end(name)
        if self.session is not None:
            await self.session.close()
        self._temporary_directory.cleanup()

    def first_ticket(self) -> dict:
        """Return the ticket that contains the whole plan."""
        pools = sorted({u.pool for u in self.plan.upstreams})
        zones = {zone for _, zone in self.plan.routers}
        zones |= {u.zone for u in self.plan.upstreams}
        return {
            "author": "demo",
            "workspaces": {
                name: {
                    "weight": weight,
                    "pools": pools,
                    "key_hashes": [hashlib.sha256(key_of(name).encode()).hexdigest()],
                }
                for name, weight in self.plan.workspaces.items()
            },
            "upstreams": {u.name: self.upstream_state(u) for u in self.plan.upstreams},
            "zones": {zone: {"in_service": True} for zone in sorted(zones)},
        }

    def upstream_state(self, upstream: PlannedUpstream) -> dict:
        """Return the fields of an upstream in a ticket."""
        return {
            "pool": upstream.pool,
            "kind": upstream.kind,
            "address": self.upstream_address(upstream.name),
            "zone": upstream.zone,
            "cold_limit": upstream.cold_limit,
            "max_requests": upstream.max_requests,
            "routes": list(upstream.routes),
        }

    async def set_instances(self) -> None:
        """Set the platform's list of live instances."""
        instances = [
            {"name": name, "zone": zone, "state": "live"}
            for name, zone in self.plan.routers
        ]
        url = self.store_address + "/instances"
        async with self.session.put(url, json={"instances": instances}):
            pass

    async def file_ticket(self, ticket: dict, router: str | None = None) -> int:
        """File a ticket and return its number."""
        url = self.address(router or self.plan.routers[0][0]) + "/operator/tickets"
        headers = {"Authorization": f"Bearer {OPERATOR_KEY}"}
        async with self.session.post(url, json=ticket, headers=headers) as response:
            document = await response.json(content_type=None)
            if response.status != 201:
                raise RuntimeError(f"ticket refused: {document}")
            return document["number"]

    async def in_force(self, router: str) -> dict:
        """Return the in-force document of a router."""
        headers = {"Authorization": f"Bearer {OPERATOR_KEY}"}
        url = self.address(router) + "/operator/in-force"
        async with self.session.get(url, headers=headers) as response:
            return await response.json()

    async def get_json(self, url: str) -> dict:
        """Get a JSON document, such as the control page of a stand-in."""
        async with self.session.get(url) as response:
            return await response.json(content_type=None)

    async def put_json(self, url: str, document: dict) -> None:
        """Put a JSON document, such as settings for the control page of a stand-in."""
        async with self.session.put(url, json=document) as response:
            await response.read()

    async def metrics(self, router: str) -> str:
        """Return a router's metrics page."""
        async with self.session.get(self.address(router) + "/metrics") as response:
            return await response.text()

    def start_router(self, name: str) -> None:
        """Start a router, for the first time or again."""
        path = self.folder / f"{name}.ini"
        path.write_text(self._settings_text(name))
        self._spawn_module(name, "carobstair.cli.router", "--settings", path)

    async def wait_ready(self, name: str) -> None:
        """Wait until a router reports that it is ready."""
        await self._wait_for(self.address(name) + "/readyz")

    def start_upstream(self, name: str) -> None:
        """Start an upstream stand-in again."""
        found = next(u for u in self.plan.upstreams if u.name == name)
        self._spawn_upstream(found)

    async def end(self, name: str, signal_number: int = signal.SIGTERM) -> int | None:
        """Send a signal to a process and return its exit status."""
        process = self.processes.pop(name, None)
        if process is None:
            return None
        process.send_signal(signal_number)
        try:
            return await asyncio.wait_for(
                asyncio.to_thread(process.wait), END_TIMEOUT_S
            )
        except TimeoutError:
            process.kill()
            return process.wait()

    def log_of(self, name: str) -> str:
        """Return the log output of a process."""
        return (self.folder / f"{name}.log").read_text()

    def _spawn_upstream(self, upstream: PlannedUpstream) -> None:
        module = "engine" if upstream.kind == "engine" else "ledger"
        self._spawn_module(
            upstream.name,
            f"carobstair.standins.{module}",
            "--port",
            self.upstream_ports[upstream.name],
            *upstream.arguments,
        )

    def _spawn_module(self, name: str, module: str, *arguments) -> None:
        command = [sys.executable, "-m", module, *map(str, arguments)]
        with open(self.folder / f"{name}.log", "ab") as log:
            self.processes[name] = subprocess.Popen(
                command, stdin=subprocess.DEVNULL, stdout=log, stderr=log
            )

    def _settings_text(self, name: str) -> str:
        zone = dict(self.plan.routers)[name]
        seeds = [f"127.0.0.1:{p}" for n, p in self.peer_ports.items() if n != name][:3]
        sections = {
            "instance": {
                "name": name,
                "zone": zone,
                "http_port": self.http_ports[name],
                "peer_port": self.peer_ports[name],
            },
            "platform": {"address": self.store_address},
            "peers": {"seeds": ", ".join(seeds)},
            "gateway": {"operator_key": OPERATOR_KEY},
        }
        for section, values in self.plan.settings.items():
            sections.setdefault(section, {}).update(values)
        lines = []
        for section, values in sections.items():
            lines.append(f"[{section}]")
            lines += [f"{key} = {value}" for key, value in values.items()]
        return "\n".join(lines) + "\n"

    async def _wait_for(self, url: str) -> None:
        async with asyncio.timeout(START_TIMEOUT_S):
            while True:
                self._check_running()
                try:
                    async with self.session.get(url) as response:
                        if response.status == 200:
                            return
                except aiohttp.ClientError:
                    pass
                await asyncio.sleep(0.1)

    def _check_running(self) -> None:
        for name, process in self.processes.items():
            if process.poll() is not None:
                raise RuntimeError(f"{name} exited early: {self.log_of(name)[-2000:]}")


def dump(document: dict) -> str:
    """Return a document as readable JSON."""
    return json.dumps(document, indent=2, sort_keys=True)
