"""Small stand-ins for the platform, its engines and clients, on loopback addresses.

They need the standard library only. Each follows PROTOCOL.md and DEPLOY.md of the
users' pages as far as the cases need it, and behaves soundly where a case does not ask
for a disruption.
"""

from __future__ import annotations

import asyncio
import contextlib
import itertools
import json
import os
import random
import signal
import socket
import tempfile
import time
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from pathlib import Path
from urllib.parse import parse_qsl, unquote

__all__ = [
    "Answer",
    "Client",
    "Engine",
    "LagMonitor",
    "Record",
    "Request",
    "Router",
    "Store",
    "free_ports",
    "has_trouble",
    "main",
    "read_headers",
    "wait_until_ready",
]

ROOT = Path(__file__).resolve().parent.parent.parent
SEAL = "3e1b.07.5a2"
MAX_HEAD_BYTES = 64 * 1024

# The settings of a machine of altyn-carobstair, with fewer machines.
SETTINGS = """\
nodeName = "{name}"
role = "router"
machineClass = "front"
serves = ["front","control"]
ipAddress = "127.0.0.1"
zone = "{zone}"
region = "r"
internalPortRange = [{internal},{internal_last}]
seedNodes = [{seeds}]
bootstrap = true
lossCounts = false
discoverySource = "platform"
entryKind = "vip"
heartbeatMs = 1200
contracts = [{contracts}]
[zones]
a = "r"
b = "r"
[listen]
front = "127.0.0.1:{front}"
ready = "127.0.0.1:{ready}"
control = "127.0.0.1:{control}"
[limits]
cpuShare = 0.537
cpuCores = 2
memoryMb = {memory_mb}
maxFds = {max_fds}
linkMbps = 1000.0
diskMb = 0
[faultTolerance]
machines = 2
zones = 1
regions = 0
[bounds]
seedLagS = 3
reuseAfterS = 2
contactMs = 3000
ackMs = 4000
catchUpS = 4
drainTimeoutMs = 2000
graceS = 8
lossSlackMs = 200
configApplyMs = 2000
rollbackSlackMs = 250
outerMs = 5000
failClosed = false
revocationMs = 5000
retryBudgetRatio = 0.2
retryWindowS = 10
retrySlack = 56
coldOvershoot = 1.5
coldSlack = 5
evacuateMs = 5000
recoveryS = 12
passMs = 120
reuseWindowS = 10
quotaWindowS = 4
[platform]
address = "127.0.0.1:{store}"
form = "objects"
writesPerS = 400
readsPerS = 2000
historyS = 20
valueBytes = 1048576
minTtlMs = 1000
"""
BASE_CONTRACTS = (
    "base",
    "drain",
    "config",
    "cost",
    "retry",
    "recover",
    "engine",
    "stream",
    "tenants",
    "places",
    "platform",
)


def has_trouble() -> bool:
    """Return whether the disruption of the case is to be brought about."""
    return os.environ.get("TROUBLE", "1") != "0"


BLOCK_PORTS = 12
FIRST_PORT, LAST_PORT = 18_000, 32_000
# Sockets on the last port of each block given, so that no other script takes the block.
_reservations: list[socket.socket] = []


def free_ports() -> list[int]:
    """Return a block of ports below the ephemeral range, for this script alone.

    The last one is in use; the others were free just now.
    """
    blocks = list(range(FIRST_PORT, LAST_PORT - BLOCK_PORTS, BLOCK_PORTS))
    random.shuffle(blocks)
    for first in blocks:
        *ports, last = range(first, first + BLOCK_PORTS)
        try:
            reservation = socket.create_server(("127.0.0.1", last))
        except OSError:
            continue
        try:
            for port in ports:
                with socket.create_server(("127.0.0.1", port)):
                    pass
        except OSError:
            reservation.close()
            continue
        _reservations.append(reservation)
        return [*ports, last]
    raise OSError("no free ports")


class Record:
    """Writes what was sent, answered and run to a file, with seconds since the start.

    Parameters
    ----------
    path : Path
    """

    def __init__(self, path: Path):
        self._file = path.open("w")
        self._began_s = time.monotonic()

    def __call__(self, text: str) -> None:
        """Write one line."""
        self._file.write(f"{time.monotonic() - self._began_s:8.3f} {text}\n")
        self._file.flush()

    def show(self, text: str) -> None:
        """Write one line and print it."""
        self(text)
        print(text, flush=True)


class LagMonitor:
    """Measures how late the turns of the stand-ins' event loop are."""

    def __init__(self):
        self.max_lag_s = 0.0
        self._task = asyncio.create_task(self._measure())

    async def _measure(self) -> None:
        while True:
            due_s = time.monotonic() + 0.02
            await asyncio.sleep(0.02)
            self.max_lag_s = max(self.max_lag_s, time.monotonic() - due_s)

    def stop(self, limit_s: float) -> float:
        """Return the largest lag; raise RuntimeError if it is beyond the limit."""
        self._task.cancel()
        if self.max_lag_s > limit_s:
            raise RuntimeError(f"the stand-ins were {self.max_lag_s:.3f} s late")
        return self.max_lag_s


@dataclass(slots=True)
class Request:
    """A request as a server received it."""

    method: str
    target: str
    headers: dict[str, str]
    body: bytes = b""
    arrived_s: float = 0.0

    @property
    def attempt_id(self) -> str:
        """Id of the client's attempt."""
        return self.headers.get("carobstair-attempt-id", "")


class Server:
    """HTTP/1.1 server that passes each request to `respond`."""

    def __init__(self):
        self.port = 0
        self._server: asyncio.Server | None = None
        self._tasks: set[asyncio.Task] = set()

    async def start(self, port: int = 0) -> None:
        """Listen on a port, by default a free one."""
        self._server = await asyncio.start_server(
            self._serve, "127.0.0.1", port, limit=MAX_HEAD_BYTES
        )
        self.port = self._server.sockets[0].getsockname()[1]

    async def stop(self) -> None:
        """Close the listening socket and all connections."""
        if self._server is not None:
            self._server.close()
        for task in list(self._tasks):
            task.cancel()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        task = asyncio.current_task()
        self._tasks.add(task)
        try:
            while True:
                request = await read_request(reader)
                if not await self.respond(request, writer):
                    break
        except (OSError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            self._tasks.discard(task)
            writer.close()

    async def respond(self, request: Request, writer: asyncio.StreamWriter) -> bool:
        """Answer a request; return whether the connection stays open."""
        raise NotImplementedError


async def read_request(reader: asyncio.StreamReader) -> Request:
    """Read one request with its body."""
    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
    first, *lines = head.split("\r\n")
    method, target, _ = first.split(" ", 2)
    headers = read_headers(lines)
    request = Request(method, target, headers, arrived_s=time.monotonic())
    if headers.get("transfer-encoding", "").lower() == "chunked":
        parts = []
        while size := int(await reader.readuntil(b"\r\n"), 16):
            parts.append(await reader.readexactly(size))
            await reader.readexactly(2)
        await reader.readexactly(2)
        request.body = b"".join(parts)
    else:
        size = int(headers.get("content-length", 0))
        if size:
            request.body = await reader.readexactly(size)
    return request


def read_headers(lines: list[str]) -> dict[str, str]:
    """Return headers by name in lower case; the last one of a name counts."""
    pairs = (line.partition(":") for line in lines if line)
    return {name.strip().lower(): value.strip() for name, _, value in pairs}


class Store(Server):
    """The platform's store: objects by kind and name, lists, watches and writes."""

    def __init__(self):
        super().__init__()
        self.revision = 10
        self._objects: dict[tuple[str, str], dict] = {}
        self._events: list[tuple[int, str, dict]] = []
        self._changed = asyncio.Event()
        self._watching: set[asyncio.StreamWriter] = set()
        self._silent_until_s = 0.0

    def put(self, kind: str, name: str, spec: object) -> None:
        """Write an object, as the operator and engines do."""
        self.revision += 1
        metadata = {
            "name": name,
            "revision": self.revision,
            "created": self.revision,
            "finalizers": [],
            "deleting": False,
        }
        stored = {"metadata": metadata, "spec": spec, "status": None}
        self._objects[kind, name] = stored
        self._note(kind, stored, False)

    def delete(self, kind: str, name: str) -> bool:
        """Remove an object; return whether there was one."""
        stored = self._objects.pop((kind, name), None)
        if stored is None:
            return False
        self.revision += 1
        metadata = stored["metadata"] | {"revision": self.revision}
        self._note(kind, stored | {"metadata": metadata}, True)
        return True

    def fall_silent(self, duration_s: float) -> None:
        """Answer nothing for a time; calls of that time are never answered."""
        self._silent_until_s = time.monotonic() + duration_s

    async def _lose_answer(self) -> None:
        # A connection on which a response is lost returns nothing further.
        await asyncio.Event().wait()

    def cut_watches(self) -> int:
        """End the connections of all watches that wait; return their number."""
        waiting, self._watching = self._watching, set()
        for writer in waiting:
            writer.close()
        return len(waiting)

    def names(self, kind: str) -> list[str]:
        """Return the names of the objects of a kind."""
        return sorted(name for k, name in self._objects if k == kind)

    def _note(self, kind: str, stored: dict, deleted: bool) -> None:
        event = {"object": stored, "deleted": deleted}
        self._events.append((self.revision, kind, event))
        self._changed.set()
        self._changed = asyncio.Event()

    async def respond(self, request: Request, writer: asyncio.StreamWriter) -> bool:
        """Answer a call."""
        if time.monotonic() < self._silent_until_s:
            await self._lose_answer()
        path, _, query = request.target.partition("?")
        options = dict(parse_qsl(query))
        rest = unquote(path.removeprefix("/v1/objects/"))
        kind, _, name = rest.partition("/")
        if request.method != "GET":
            status, document = self._write(request, kind, name)
        elif name:
            found = self._objects.get((kind, name))
            status, document = (404, {}) if found is None else (200, found)
        elif "watch" in options:
            self._watching.add(writer)
            try:
                status, document = await self._watch(kind, options)
            finally:
                self._watching.discard(writer)
            if writer.is_closing():
                return False
        else:
            status, document = self._list(kind, options.get("after", ""))
        if time.monotonic() < self._silent_until_s:
            await self._lose_answer()
        body = json.dumps(document).encode()
        writer.write(
            f"HTTP/1.1 {status} X\r\nContent-Type: application/json\r\n"
            f"Content-Length: {len(body)}\r\n\r\n".encode()
            + body
        )
        await writer.drain()
        return True

    def _list(self, kind: str, after: str) -> tuple[int, dict]:
        names = [name for name in self.names(kind) if name > after]
        page = [self._objects[kind, name] for name in names[:500]]
        return 200, {
            "entries": page,
            "hasMore": len(names) > 500,
            "currentRev": self.revision,
        }

    async def _watch(self, kind: str, options: dict[str, str]) -> tuple[int, dict]:
        since = int(options["watch"])
        if since > self.revision:
            return 410, {}
        due_s = time.monotonic() + min(30_000, int(options.get("waitMs", 0))) / 1000
        while True:
            events = [e for r, k, e in self._events if k == kind and r > since]
            left_s = due_s - time.monotonic()
            if events or left_s <= 0:
                return 200, {"events": events, "currentRev": self.revision}
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(self._changed.wait(), left_s)

    def _write(self, request: Request, kind: str, name: str) -> tuple[int, dict]:
        if request.method == "DELETE":
            return (200, {}) if self.delete(kind, name) else (404, {})
        document = json.loads(request.body)
        if request.method == "POST":
            name = document["metadata"]["name"]
            if (kind, name) in self._objects:
                return 409, self._objects[kind, name]
        elif (kind, name) not in self._objects:
            return 404, {}
        self.put(kind, name, document.get("spec"))
        return 200, self._objects[kind, name]


Handler = Callable[["Engine", Request, asyncio.StreamWriter], Awaitable[bool]]


@dataclass(slots=True)
class Run:
    """A request that an engine ran."""

    engine: str
    attempt_id: str
    at_s: float
    tenant: str
    target: str


class Engine(Server):
    """An engine that registers in the store and answers by a handler.

    Parameters
    ----------
    store : Store
    service : str
    engine_id : str
    handler : callable
        Answers a request that the engine has accepted.
    zone : str
    """

    _born = itertools.count(int(time.time() * 1000))

    def __init__(
        self,
        store: Store,
        service: str,
        engine_id: str,
        handler: Handler,
        record: Record,
        zone: str = "a",
    ):
        super().__init__()
        self.engine_id = engine_id
        self.runs: list[Run] = []
        self._store = store
        self._service = service
        self._handler = handler
        self._record = record
        self._zone = zone
        self._started_ms = next(self._born)

    async def start(self, port: int = 0) -> None:
        """Listen and register."""
        await super().start(port)
        self.register()

    def register(self, state: str = "ready", **changes: object) -> None:
        """Write the entry in the list of engines."""
        entry = {
            "service": self._service,
            "address": f"127.0.0.1:{self.port}",
            "zone": self._zone,
            "version": "v1",
            "slots": 64,
            "state": state,
            "coldRemainingMs": 0,
            "sequence": 1,
            "born": self._started_ms,
        }
        self._store.put("servers", self.engine_id, entry | changes)

    async def respond(self, request: Request, writer: asyncio.StreamWriter) -> bool:
        """Run a request that is meant for this engine."""
        expected = request.headers.get("carobstair-expect-instance")
        if expected not in (None, self.engine_id):
            await self.answer(
                request, writer, 421, b"", "Carobstair-Not-Executed: 1\r\n", False
            )
            return True
        tenant = request.headers.get("carobstair-tenant", "")
        run = Run(
            self.engine_id,
            request.attempt_id,
            time.monotonic(),
            tenant,
            request.target,
        )
        self.runs.append(run)
        self._record(
            f"engine {self.engine_id} runs {request.attempt_id} {request.target} "
            f"tenant={tenant} body={len(request.body)}"
        )
        return await self._handler(self, request, writer)

    async def answer(
        self,
        request: Request,
        writer: asyncio.StreamWriter,
        status: int,
        body: bytes,
        extra: str = "",
        sealed: bool = True,
    ) -> None:
        """Send a whole answer."""
        seal = f"Carobstair-Response-Seal: {SEAL}\r\n" if sealed else ""
        writer.write(
            f"HTTP/1.1 {status} X\r\nCarobstair-Attempt-Id: {request.attempt_id}\r\n"
            f"{seal}{extra}Content-Length: {len(body)}\r\n\r\n".encode()
            + body
        )
        await writer.drain()


@dataclass(slots=True)
class Answer:
    """What a client saw of an attempt.

    Attributes
    ----------
    status : int
        0 if the connection ended without the head of an answer.
    whole : bool
        Whether the body arrived whole, by its framing.
    """

    attempt_id: str
    sent_s: float
    status: int = 0
    headers: dict[str, str] = field(default_factory=dict)
    body: bytes = b""
    whole: bool = False
    error: str = ""
    ended_s: float = 0.0

    @property
    def served(self) -> bool:
        """Whether this is a success with the engine's signature and whole body."""
        sealed = "carobstair-response-seal" in self.headers
        return 200 <= self.status < 300 and sealed and self.whole


class Client:
    """Sends requests, each on a new connection.

    Parameters
    ----------
    record : Record
    host : str
        Host header.
    """

    _ids = itertools.count(1)

    def __init__(self, record: Record, host: str = "api.example"):
        self._record = record
        self._host = host

    async def send(
        self,
        port: int,
        method: str,
        path: str,
        body: bytes = b"",
        deadline_ms: int = 1000,
        headers: dict[str, str] | None = None,
        label: str = "",
    ) -> Answer:
        """Send a request and return what came back until the deadline."""
        attempt_id = f"{next(self._ids):08x}{os.urandom(4).hex()}"
        answer = Answer(attempt_id, time.monotonic())
        fields = {
            "Host": self._host,
            "Carobstair-Attempt-Id": attempt_id,
            "Carobstair-Deadline-Ms": str(deadline_ms),
            "Connection": "close",
        } | (headers or {})
        if method != "GET":
            fields["Content-Length"] = str(len(body))
        lines = "".join(f"{name}: {value}\r\n" for name, value in fields.items())
        head = f"{method} {path} HTTP/1.1\r\n{lines}\r\n".encode()
        self._record(
            f"client sends {attempt_id} {label} {method} {path} to {port} "
            f"body={len(body)} deadline={deadline_ms}"
        )
        # The client waits a little longer, so that an answer at the deadline is seen.
        try:
            async with asyncio.timeout(deadline_ms / 1000 + 0.5):
                await self._exchange(port, head, body, answer)
        except TimeoutError:
            answer.error = "no answer by the deadline"
        except (OSError, ValueError, asyncio.IncompleteReadError) as error:
            answer.error = f"{type(error).__name__}: {error}"
        answer.ended_s = time.monotonic()
        self._record(
            f"client has {attempt_id} {label} status={answer.status} "
            f"whole={answer.whole} body={len(answer.body)} "
            f"took={answer.ended_s - answer.sent_s:.3f} {answer.error}"
        )
        return answer

    async def _exchange(
        self, port: int, head: bytes, body: bytes, answer: Answer
    ) -> None:
        reader, writer = await asyncio.open_connection("127.0.0.1", port)
        try:
            writer.write(head + body)
            sending = asyncio.create_task(writer.drain())
            try:
                await read_answer(reader, answer)
            finally:
                sending.cancel()
                with contextlib.suppress(OSError, asyncio.CancelledError):
                    await sending
        finally:
            writer.close()

    async def send_on(
        self,
        connection: tuple[asyncio.StreamReader, asyncio.StreamWriter],
        method: str,
        path: str,
        body: bytes = b"",
        deadline_ms: int = 1000,
        headers: dict[str, str] | None = None,
        label: str = "",
    ) -> Answer:
        """Send a request on a kept connection, which stays open if it was answered."""
        reader, writer = connection
        attempt_id = f"{next(self._ids):08x}{os.urandom(4).hex()}"
        answer = Answer(attempt_id, time.monotonic())
        fields = {
            "Host": self._host,
            "Carobstair-Attempt-Id": attempt_id,
            "Carobstair-Deadline-Ms": str(deadline_ms),
            "Content-Length": str(len(body)),
        } | (headers or {})
        lines = "".join(f"{name}: {value}\r\n" for name, value in fields.items())
        self._record(f"client sends {attempt_id} {label} {method} {path}")
        try:
            async with asyncio.timeout(deadline_ms / 1000 + 0.5):
                writer.write(f"{method} {path} HTTP/1.1\r\n{lines}\r\n".encode())
                writer.write(body)
                await read_answer(reader, answer)
        except TimeoutError:
            answer.error = "no answer by the deadline"
        except (OSError, ValueError, asyncio.IncompleteReadError) as error:
            answer.error = f"{type(error).__name__}: {error}"
        answer.ended_s = time.monotonic()
        self._record(
            f"client has {attempt_id} {label} status={answer.status} "
            f"whole={answer.whole} took={answer.ended_s - answer.sent_s:.3f} "
            f"{answer.error}"
        )
        return answer


async def read_answer(reader: asyncio.StreamReader, answer: Answer) -> None:
    """Read an answer into its record."""
    head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1")
    first, *lines = head.split("\r\n")
    answer.status = int(first.split(" ")[1])
    answer.headers = read_headers(lines)
    if answer.headers.get("transfer-encoding", "").lower() == "chunked":
        while size := int(await reader.readuntil(b"\r\n"), 16):
            answer.body += await reader.readexactly(size)
            await reader.readexactly(2)
        await reader.readexactly(2)
    else:
        size = int(answer.headers.get("content-length", 0))
        answer.body = await reader.readexactly(size)
    answer.whole = True


class Router:
    """A router process, started with the command of the deploy file.

    Parameters
    ----------
    name : str
    store_port : int
    folder : Path
        For its settings and log.
    record : Record
    seeds : list of str
        Control addresses of some machines.
    zone : str
    memory_mb, max_fds : int
    contracts : tuple of str
        Parts of the rules that are in force.
    """

    def __init__(
        self,
        name: str,
        store_port: int,
        folder: Path,
        record: Record,
        seeds: list[str] | None = None,
        zone: str = "a",
        memory_mb: int = 300,
        max_fds: int = 4100,
        contracts: tuple[str, ...] = BASE_CONTRACTS,
    ):
        self.name = name
        ports = free_ports()
        self.internal, self.front, self.ready, self.control = (
            ports[0],
            ports[8],
            ports[9],
            ports[10],
        )
        self.log = folder / f"{name}.log"
        self.process: asyncio.subprocess.Process | None = None
        self._record = record
        self._path = folder / f"{name}.toml"
        self._path.write_text(
            SETTINGS.format(
                name=name,
                zone=zone,
                internal=ports[0],
                internal_last=ports[7],
                seeds=",".join(f'"{seed}"' for seed in seeds or []),
                contracts=",".join(f'"{name}"' for name in contracts),
                front=self.front,
                ready=self.ready,
                control=self.control,
                memory_mb=memory_mb,
                max_fds=max_fds,
                store=store_port,
            )
        )

    async def start(self) -> None:
        """Start the process."""
        environment = {
            name: os.environ[name] for name in ("PATH", "LANG") if name in os.environ
        }
        environment |= {
            "HOME": os.environ.get("HOME", "/"),
            "CAROBSTAIR_BOOT": str(self._path),
            "PYTHONPATH": str(ROOT / "target" / "deps"),
            "PYTHONDONTWRITEBYTECODE": "1",
        }
        with self.log.open("ab") as out:
            self.process = await asyncio.create_subprocess_exec(
                "python3",
                "deploy/router.py",
                cwd=ROOT,
                env=environment,
                stdout=out,
                stderr=out,
            )
        self._record(f"router {self.name} started, process {self.process.pid}")

    def signal(self, number: signal.Signals) -> None:
        """Send a signal to the process if it runs."""
        if self.process is not None and self.process.returncode is None:
            self._record(f"router {self.name} gets {number.name}")
            with contextlib.suppress(ProcessLookupError):
                self.process.send_signal(number)

    async def kill(self) -> None:
        """End the process and wait for its end."""
        self.signal(signal.SIGCONT)
        self.signal(signal.SIGKILL)
        if self.process is not None:
            await self.process.wait()

    def touch_settings(self) -> None:
        """Write the settings file again, as for a change that means nothing here."""
        text = self._path.read_text()
        changed = self._path.with_suffix(".new")
        changed.write_text(text + "\n# changed\n")
        changed.replace(self._path)

    def memory_bytes(self) -> int:
        """Return the resident memory of the process; 0 if it has ended."""
        try:
            text = Path(f"/proc/{self.process.pid}/statm").read_text()
        except OSError:
            return 0
        return int(text.split()[1]) * os.sysconf("SC_PAGE_SIZE")

    async def is_ready(self) -> bool:
        """Ask for readiness as the platform does."""
        try:
            async with asyncio.timeout(1.0):
                reader, writer = await asyncio.open_connection("127.0.0.1", self.ready)
                writer.write(b"GET /v1/ready HTTP/1.1\r\nHost: x\r\n\r\n")
                line = await reader.readline()
                writer.close()
        except (OSError, TimeoutError):
            return False
        return b" 200 " in line


async def wait_until_ready(routers: list[Router], limit_s: float = 20.0) -> bool:
    """Wait until all routers are ready; return whether they are."""
    until_s = time.monotonic() + limit_s
    while time.monotonic() < until_s:
        if all([await router.is_ready() for router in routers]):
            return True
        await asyncio.sleep(0.1)
    return False


def main(
    folder: Path, case: Callable[[Record, Path, list[Router]], Awaitable[bool]]
) -> int:
    """Run a case; return 1 if its rule was broken, 0 if it held, 2 if it could not run.

    Parameters
    ----------
    folder : Path
        Folder of the case, in which the record is written.
    case : callable
        Gets the record, a temporary folder and a list to which it adds each router
        before it starts it. Returns whether the rule held.
    """
    record = Record(folder / "record.txt")
    record.show(f"disruption: {'on' if has_trouble() else 'off'}")

    async def run() -> bool:
        routers: list[Router] = []
        # A script that is terminated ends its routers too.
        loop, task = asyncio.get_running_loop(), asyncio.current_task()
        for number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(number, task.cancel)
        with tempfile.TemporaryDirectory() as temporary:
            try:
                async with asyncio.timeout(115.0):
                    return await case(record, Path(temporary), routers)
            finally:
                for router in routers:
                    await router.kill()
                    if os.environ.get("KEEP_LOGS"):
                        target = Path(os.environ["KEEP_LOGS"]) / router.log.name
                        target.write_bytes(router.log.read_bytes())

    try:
        held = asyncio.run(run())
    except (Exception, asyncio.CancelledError) as error:  # noqa: BLE001
        record.show(f"the case could not run: {type(error).__name__}: {error}")
        return 2
    record.show("the rule held" if held else "the rule was broken")
    return 0 if held else 1
