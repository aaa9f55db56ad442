"""Stand-ins and router processes for the cases of this review.

Everything here needs the standard library only. Routers run as the deploy file starts
them; each has a loopback address of its own, as machines have.
"""

from __future__ import annotations

import asyncio
import contextlib
import itertools
import json
import os
import shutil
import signal
import socket
import sys
import tempfile
import time
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from pathlib import Path

__all__ = [
    "ROOT",
    "Answer",
    "Deployment",
    "Engine",
    "Record",
    "Request",
    "Router",
    "Store",
    "call",
    "free_ports",
    "read_answer",
    "run_case",
    "trouble",
]

ROOT = Path(__file__).resolve().parent.parent.parent
READY_LIMIT_S = 20.0
CASE_LIMIT_S = 110.0
# More than this, and the case's own process might make requests late.
MOST_OWN_LAG_S = 0.25
# Of the case's process; run.sh turns it into 1. A Python error gives 1 by itself.
BROKEN_STATUS = 10
# The figures of a small deployment, as the platform's page on settings shows them.
SETTINGS = """
nodeName = "{name}"
role = "router"
machineClass = "front"
serves = ["front","control"]
ipAddress = "{host}"
zone = "{zone}"
region = "r"
internalPortRange = [{peer}, {last_peer}]
seedNodes = [{seeds}]
bootstrap = true
discoverySource = "platform"
entryKind = "vip"
heartbeatMs = 1200
[zones]
a = "r"
b = "r"
[listen]
front = "{host}:{front}"
ready = "{host}:{ready}"
control = "{host}:{control}"
[limits]
cpuShare = 0.537
cpuCores = 2
memoryMb = 300
maxFds = 4100
linkMbps = 1000.0
diskMb = 0
[faultTolerance]
machines = 2
zones = 1
regions = 0
[bounds]
contactMs = 3000
drainTimeoutMs = 2000
graceS = 8
lossSlackMs = 200
configApplyMs = 2000
rollbackSlackMs = 250
outerMs = 5000
retryBudgetRatio = 0.2
retryWindowS = 10
retrySlack = 56
coldOvershoot = 1.5
coldSlack = 5
evacuateMs = 5000
recoveryS = 12
[platform]
address = "{store}"
form = "objects"
writesPerS = 400
readsPerS = 2000
historyS = 20
valueBytes = 1048576
"""


def trouble() -> bool:
    """Return whether the case is to play its disruption."""
    return os.environ.get("TROUBLE", "1") != "0"


class Record:
    """Writes what was sent, answered and run to a file, a line for each.

    Parameters
    ----------
    path : Path
    """

    def __init__(self, path: Path):
        self._file = path.open("w")
        self._began_s = time.monotonic()

    def write(self, text: str) -> None:
        """Write one line with the seconds since the start."""
        at_s = time.monotonic() - self._began_s
        self._file.write(f"{at_s:8.3f} {text}\n")
        self._file.flush()

    def at(self, monotonic_s: float) -> str:
        """Return a monotonic time in seconds since the start, as text."""
        return f"{monotonic_s - self._began_s:.3f}"


@dataclass
class Request:
    """A request as a stand-in received it."""

    method: str
    target: str
    headers: dict[str, str]
    body: bytes
    peer: str = ""

    @property
    def attempt_id(self) -> str:
        """Id of the client's attempt."""
        return self.headers.get("carobstair-attempt-id", "")


Respond = Callable[[Request, asyncio.StreamWriter], Awaitable[bool]]


class HttpServer:
    """Minimal HTTP/1.1 server on loopback."""

    def __init__(self, host: str = "127.0.0.1"):
        self.host = host
        self.port = 0
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()

    @property
    def address(self) -> str:
        """HOST:PORT."""
        return f"{self.host}:{self.port}"

    @property
    def listens(self) -> bool:
        """Whether the server is up."""
        return self._server is not None

    async def start(self) -> None:
        """Listen; a server that was stopped gets its port again."""
        self._server = await asyncio.start_server(
            self._serve, self.host, self.port, limit=2**20
        )
        self.port = self._server.sockets[0].getsockname()[1]

    def stop(self) -> None:
        """Close the listening socket and reset all connections."""
        if self._server is not None:
            self._server.close()
            self._server = None
        for writer in list(self._writers):
            writer.transport.abort()

    async def _serve(self, reader, writer) -> None:
        self._writers.add(writer)
        try:
            while True:
                request = await self._read_request(reader, writer)
                if not self.listens:
                    # Accepted just before the server was stopped.
                    writer.transport.abort()
                    break
                if not await self.respond(request, writer):
                    break
                await writer.drain()
        except (OSError, asyncio.IncompleteReadError):
            pass
        finally:
            self._writers.discard(writer)
            writer.close()

    async def _read_request(self, reader, writer) -> Request:
        head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").split("\r\n")
        method, target, _ = head[0].split(" ")
        headers = {}
        for line in head[1:]:
            if line:
                name, _, value = line.partition(":")
                headers[name.strip().lower()] = value.strip()
        body = await reader.readexactly(int(headers.get("content-length", 0)))
        peer = writer.get_extra_info("peername")[0]
        return Request(method, target, headers, body, peer)

    async def respond(self, request: Request, writer: asyncio.StreamWriter) -> bool:
        """Respond to a request; return whether to keep the connection."""
        raise NotImplementedError


class Store(HttpServer):
    """The platform's store: objects, lists and watches, loses nothing.

    Attributes
    ----------
    lose : callable, optional
        Given a request and what it answers, returns whether the answer is lost. A
        connection on which an answer is lost returns nothing further.
    """

    def __init__(self) -> None:
        super().__init__()
        self.objects: dict[tuple[str, str], dict] = {}
        self.events: list[tuple[str, int, dict]] = []
        self.revision = 1
        self.lose: Callable[[Request, dict], bool] | None = None
        self.answers = 0
        self.lost = 0
        # Sent with all answers once the store was restored from a copy.
        self.era: int | None = None
        # Bytes that are sent in place of specs, by a text that stands for each.
        self.raw_specs: dict[str, bytes] = {}
        # Kind and peer of each watch that waits, with its monotonic end.
        self.watches: dict[int, tuple[str, str, float]] = {}
        self._numbers = itertools.count()
        self._changed = asyncio.Event()

    def put(self, kind: str, name: str, spec: object) -> None:
        """Write an object, as the operator or an engine does."""
        known = self.objects.get((kind, name))
        if known is not None and known["spec"] == spec:
            return
        self.revision += 1
        metadata = {"name": name, "revision": self.revision}
        stored = {"metadata": metadata, "spec": spec, "status": None}
        self.objects[kind, name] = stored
        self._note(kind, {"object": stored, "deleted": False})

    def delete(self, kind: str, name: str) -> None:
        """Remove an object."""
        stored = self.objects.pop((kind, name))
        self.revision += 1
        metadata = {"name": name, "revision": self.revision}
        self._note(kind, {"object": stored | {"metadata": metadata}, "deleted": True})

    def copy(self) -> tuple[dict, int]:
        """Return a copy from which the store can be restored."""
        return dict(self.objects), self.revision

    async def restore(self, copy: tuple[dict, int], away_s: float) -> None:
        """Be away for a moment and come back from a copy, in the next era."""
        self.stop()
        await asyncio.sleep(away_s)
        self.objects, self.revision = dict(copy[0]), copy[1]
        self.events.clear()
        self.era = (self.era or 0) + 1
        await self.start()

    def _note(self, kind: str, event: dict) -> None:
        # A watch gets the last change of each object.
        name = event["object"]["metadata"]["name"]
        self.events = [
            known
            for known in self.events
            if (known[0], known[2]["object"]["metadata"]["name"]) != (kind, name)
        ]
        self.events.append((kind, self.revision, event))
        self._changed.set()
        self._changed = asyncio.Event()

    async def respond(self, request, writer) -> bool:
        """Respond to a call after the 4 ms that an answer takes."""
        await asyncio.sleep(0.004)
        path, _, query = request.target.partition("?")
        options = dict(part.split("=") for part in query.split("&") if part)
        kind, _, name = path.removeprefix("/v1/objects/").partition("/")
        if request.method == "GET":
            status, document = await self._read(kind, name, options, request.peer)
        else:
            status, document = self._write(request, kind, name)
        self.answers += 1
        if self.lose is not None and self.lose(request, document):
            self.lost += 1
            # The connection stays open and returns nothing further.
            await asyncio.Event().wait()
        body = json.dumps(document).encode()
        for text, raw in self.raw_specs.items():
            body = body.replace(json.dumps(text).encode(), raw, 1)
        era = "" if self.era is None else f"Store-Era: {self.era}\r\n"
        head = (
            f"HTTP/1.1 {status} X\r\nContent-Type: application/json\r\n{era}"
            f"Content-Length: {len(body)}\r\n\r\n"
        )
        writer.write(head.encode() + body)
        return True

    async def _read(self, kind, name, options, peer) -> tuple[int, dict]:
        if name:
            stored = self.objects.get((kind, name))
            return (200, stored) if stored else (404, {})
        if "watch" not in options:
            entries = [o for (k, _), o in sorted(self.objects.items()) if k == kind]
            page = {"entries": entries, "hasMore": False, "currentRev": self.revision}
            return 200, page
        since = int(options["watch"])
        if since > self.revision:
            return 410, {}
        until_s = time.monotonic() + int(options["waitMs"]) / 1000
        number = next(self._numbers)
        self.watches[number] = kind, peer, until_s
        try:
            while True:
                events = [e for k, r, e in self.events if k == kind and r > since]
                left_s = until_s - time.monotonic()
                if events or left_s <= 0:
                    return 200, {"events": events, "currentRev": self.revision}
                with contextlib.suppress(TimeoutError):
                    await asyncio.wait_for(self._changed.wait(), left_s)
        finally:
            del self.watches[number]

    def _write(self, request, kind, name) -> tuple[int, dict]:
        if request.method == "DELETE":
            if (kind, name) not in self.objects:
                return 404, {}
            self.delete(kind, name)
            return 200, {}
        document = json.loads(request.body)
        name = name or document["metadata"]["name"]
        if request.method == "POST" and (kind, name) in self.objects:
            return 409, self.objects[kind, name]
        self.put(kind, name, document["spec"])
        return 200, self.objects[kind, name]


class Engine(HttpServer):
    """An engine that registers itself in the store and answers requests.

    Parameters
    ----------
    name : str
        Id, also of later incarnations.
    store : Store
    record : Record
    service, zone : str
    """

    def __init__(self, name, store, record, service="plain", zone="a"):
        super().__init__()
        self.name, self.store, self.record = name, store, record
        self.service, self.zone = service, zone
        self.born_ms = 0
        # Id, path and monotonic time of each request that ran.
        self.runs: list[tuple[str, str, float]] = []
        self.run: Respond = self.answer_whole
        self.slots = 64
        # Monotonic time until which it is cold.
        self.cold_until_s = 0.0

    async def boot(self) -> None:
        """Start a new incarnation and register it."""
        await self.start()
        self.born_ms = time.time_ns() // 1_000_000
        self.register()

    def register(self, state: str = "ready") -> None:
        """Write the entry in the store."""
        now_s = time.monotonic()
        entry = {
            "service": self.service,
            "address": self.address,
            "zone": self.zone,
            "version": "v1",
            "slots": self.slots,
            "state": state,
            "coldRemainingMs": max(0, round(1000 * (self.cold_until_s - now_s))),
            "sequence": 1,
            "born": self.born_ms,
        }
        self.store.put("servers", self.name, entry)

    async def respond(self, request, writer) -> bool:
        """Run a request, or answer 421 if it expects another instance."""
        if request.headers.get("carobstair-expect-instance") != self.name:
            writer.write(
                b"HTTP/1.1 421 Misdirected Request\r\n"
                b"Carobstair-Not-Executed: 1\r\n"
                + f"Carobstair-Attempt-Id: {request.attempt_id}\r\n".encode()
                + b"Content-Length: 0\r\n\r\n"
            )
            return True
        self.runs.append((request.attempt_id, request.target, time.monotonic()))
        self.record.write(
            f"{self.name} runs {request.attempt_id} {request.target} for "
            f"{request.headers.get('carobstair-tenant', '-')}"
        )
        return await self.run(request, writer)

    def head(self, request: Request, *lines: str, status: int = 200) -> bytes:
        """Return the head of a sealed answer."""
        fixed = (
            f"HTTP/1.1 {status} X",
            f"Carobstair-Attempt-Id: {request.attempt_id}",
            f"Carobstair-Response-Seal: {self.name}.{request.attempt_id}",
        )
        return ("\r\n".join((*fixed, *lines)) + "\r\n\r\n").encode()

    async def answer_whole(self, request, writer) -> bool:
        """Work for 20 ms and answer 800 bytes."""
        await asyncio.sleep(0.02)
        body = request.attempt_id.encode().ljust(800, b".")
        writer.write(self.head(request, "Content-Length: 800") + body)
        return True


@dataclass(eq=False)
class Router:
    """One router process, started with the command of the deploy file."""

    name: str
    host: str
    zone: str
    ports: list[int]
    folder: Path
    store_address: str
    seeds: list[str]
    record: Record
    process: asyncio.subprocess.Process | None = None

    @property
    def front(self) -> tuple[str, int]:
        """Address for clients."""
        return self.host, self.ports[0]

    async def start(self) -> None:
        """Write the settings file and start the process."""
        front, ready, control, peer = self.ports
        path = self.folder / f"{self.name}.toml"
        path.write_text(
            SETTINGS.format(
                name=self.name,
                host=self.host,
                zone=self.zone,
                peer=peer,
                last_peer=peer + 1,
                seeds=", ".join(f'"{s}:{control}"' for s in self.seeds),
                front=front,
                ready=ready,
                control=control,
                store=self.store_address,
            )
        )
        kept = {k: os.environ[k] for k in ("PATH", "HOME", "LANG") if k in os.environ}
        with (self.folder / f"{self.name}.log").open("ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                "python3",
                "deploy/router.py",
                cwd=ROOT,
                env=kept
                | {
                    "CAROBSTAIR_BOOT": str(path),
                    "PYTHONPATH": str(ROOT / "target" / "deps"),
                    "PYTHONDONTWRITEBYTECODE": "1",
                },
                stdout=log,
                stderr=log,
            )
        self.record.write(f"{self.name} started")

    @property
    def running(self) -> bool:
        """Whether the process is there."""
        return self.process is not None and self.process.returncode is None

    def signal(self, number: signal.Signals) -> None:
        """Send a signal to the process, if it is there."""
        with contextlib.suppress(ProcessLookupError):
            if self.running:
                self.process.send_signal(number)

    async def ready(self) -> bool:
        """Return whether the process says that it is ready."""
        try:
            answer = await call(
                (self.host, self.ports[1]), "GET", "/v1/ready", timeout_s=1.0
            )
        except (OSError, TimeoutError):
            return False
        return answer.status == 200

    def log(self) -> str:
        """Return what the process has written."""
        return (self.folder / f"{self.name}.log").read_text(errors="replace")


@dataclass
class Answer:
    """What a client saw.

    Attributes
    ----------
    status : int
        0 if the connection ended before a head.
    complete : bool
        Whether the whole body arrived, by its framing.
    """

    status: int = 0
    headers: dict[str, str] = field(default_factory=dict)
    body: bytes = b""
    complete: bool = False
    error: str = ""


async def read_answer(reader: asyncio.StreamReader, pace: float = 0.0) -> Answer:
    """Read one answer.

    Parameters
    ----------
    pace : float
        Bytes a second that the client takes; 0 for no limit.
    """
    answer = Answer()
    try:
        head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").split("\r\n")
        answer.status = int(head[0].split(" ")[1])
        for line in head[1:]:
            if line:
                name, _, value = line.partition(":")
                answer.headers[name.strip().lower()] = value.strip()
        if "chunked" in answer.headers.get("transfer-encoding", ""):
            while True:
                size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
                answer.body += await _read(reader, size, pace, answer)
                await reader.readexactly(2)
                if size == 0:
                    break
        else:
            length = int(answer.headers.get("content-length", 0))
            await _read(reader, length, pace, answer)
        answer.complete = True
    except (OSError, asyncio.IncompleteReadError, asyncio.LimitOverrunError) as error:
        answer.error = type(error).__name__
    return answer


async def _read(reader, size: int, pace: float, answer: Answer) -> bytes:
    """Read into the answer's body, at a pace."""
    step = max(1, int(pace / 50)) if pace else size
    while size:
        part = await reader.read(min(step, size))
        if not part:
            raise asyncio.IncompleteReadError(b"", size)
        answer.body += part
        size -= len(part)
        if pace:
            await asyncio.sleep(len(part) / pace)
    return b""


async def call(
    address: tuple[str, int],
    method: str,
    target: str,
    headers: dict[str, str] | None = None,
    body: bytes = b"",
    timeout_s: float = 20.0,
) -> Answer:
    """Send a request on a connection of its own and read the answer.

    Raises
    ------
    OSError
        If there is no connection.
    TimeoutError
    """
    async with asyncio.timeout(timeout_s):
        reader, writer = await asyncio.open_connection(*address)
        try:
            lines = [f"{method} {target} HTTP/1.1"]
            lines += [
                f"{n}: {v}" for n, v in {"Host": "api.test", **(headers or {})}.items()
            ]
            if body or method == "POST":
                lines.append(f"Content-Length: {len(body)}")
            writer.write(("\r\n".join(lines) + "\r\n\r\n").encode() + body)
            return await read_answer(reader)
        finally:
            writer.close()


def free_ports(hosts: list[str], count: int) -> list[int]:
    """Return consecutive ports that are free on all hosts."""
    for first in range(21_000 + os.getpid() % 400 * 20, 32_000, count):
        with contextlib.ExitStack() as stack:
            try:
                for host in hosts:
                    for port in range(first, first + count):
                        stack.enter_context(socket.create_server((host, port)))
            except OSError:
                continue
        return list(range(first, first + count))
    raise OSError("no free ports")


class Deployment:
    """A store, engines and routers; ends all of them.

    Parameters
    ----------
    folder : Path
        Temporary folder for settings and logs.
    record : Record
    """

    def __init__(self, folder: Path, record: Record):
        self.folder, self.record = folder, record
        self.store = Store()
        self.engines: list[Engine] = []
        self.routers: list[Router] = []

    async def start(self, engines: list[Engine], routers: int) -> None:
        """Start everything and wait until all routers are ready.

        Raises
        ------
        TimeoutError
            If a router is not ready in time.
        """
        self.engines = engines
        for engine in engines:
            await engine.boot()
        hosts = [f"127.0.{10 + n}.1" for n in range(routers)]
        # The last two are the internal range.
        ports = free_ports(hosts, 5)[:4]
        for number, host in enumerate(hosts):
            router = Router(
                f"front-{number + 1}",
                host,
                "ab"[number % 2],
                ports,
                self.folder,
                self.store.address,
                hosts[:3],
                self.record,
            )
            self.routers.append(router)
            await router.start()
        async with asyncio.timeout(READY_LIMIT_S):
            for router in self.routers:
                while not await router.ready():
                    await asyncio.sleep(0.05)
                self.record.write(f"{router.name} ready")

    async def close(self) -> None:
        """End all processes and stand-ins."""
        for router in self.routers:
            router.signal(signal.SIGCONT)
            router.signal(signal.SIGKILL)
        for router in self.routers:
            if router.process is not None:
                await router.process.wait()
        for server in (*self.engines, self.store):
            server.stop()


async def _measure_lag(lags_s: list[float]) -> None:
    """Record by how much the event loop of the stand-ins is late."""
    while True:
        due_s = time.monotonic() + 0.05
        await asyncio.sleep(0.05)
        lags_s[0] = max(lags_s[0], time.monotonic() - due_s)


def run_case(file: str, case: Callable[[Deployment], Awaitable[list[str]]]) -> None:
    """Play a case and exit: 10 if the rule was broken, 0 if it held, 2 if neither.

    Parameters
    ----------
    file : str
        Path of the case's module, beside which the record is written.
    case : callable
        Plays the case and returns what breaks the rule, a line each.
    """
    record = Record(Path(file).resolve().parent / "record.txt")
    folder = Path(tempfile.mkdtemp(prefix="review-"))

    async def play() -> list[str]:
        deployment = Deployment(folder, record)
        loop, task = asyncio.get_running_loop(), asyncio.current_task()
        for number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(number, task.cancel)
        lags_s = [0.0]
        monitor = asyncio.create_task(_measure_lag(lags_s))
        try:
            await deployment.store.start()
            async with asyncio.timeout(CASE_LIMIT_S):
                broken = await case(deployment)
        finally:
            monitor.cancel()
            await deployment.close()
        record.write(f"the stand-ins were late by {max(lags_s):.2f} s at most")
        if max(lags_s) > MOST_OWN_LAG_S:
            raise RuntimeError("the stand-ins were too late to judge")
        return broken

    try:
        record.write(f"TROUBLE={int(trouble())}")
        broken = asyncio.run(play())
    except BaseException as error:
        record.write(f"could not run: {type(error).__name__}: {error}")
        keep = os.environ.get("KEEP_LOGS")
        if keep:
            shutil.copytree(folder, keep, dirs_exist_ok=True)
        sys.exit(2)
    keep = os.environ.get("KEEP_LOGS")
    if keep:
        shutil.copytree(folder, keep, dirs_exist_ok=True)
    shutil.rmtree(folder, ignore_errors=True)
    for line in broken:
        record.write(f"BROKEN {line}")
    verdict = "the rule was broken" if broken else "the rule held"
    record.write(verdict)
    print(verdict, *broken[:5], sep="\n  ")
    sys.exit(BROKEN_STATUS if broken else 0)
