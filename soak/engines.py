"""Engine stand-ins that register in the store and record the requests they run."""

from __future__ import annotations

import asyncio
import itertools
import time
import zlib
from collections.abc import Callable
from dataclasses import dataclass, field

from carobstair.standins.proxy import TcpProxy
from platform_standins import SEAL, HttpStandIn, StoreStandIn, make_upstream_entry

__all__ = ["COLD_PER_S", "COLD_START_S", "EVENTS_PER_STREAM", "Arrival", "Engine"]

COLD_PER_S = 5.0
COLD_START_S = 2.0
EVENTS_PER_STREAM = 12
EVENT_GAP_S = 0.03
PROCESSING_S = 0.02

_incarnation_numbers = itertools.count(1)


@dataclass(frozen=True, slots=True)
class Arrival:
    """A request that an engine started to run.

    Attributes
    ----------
    router : str
        Router to which the caller sent it.
    segments : tuple of str
        Shared segments of its prompt.
    """

    request_id: str
    router: str
    engine_id: str
    at_s: float
    segments: tuple[str, ...] = ()


def shared_segments(headers: dict[str, str]) -> tuple[str, ...]:
    """Return the ids of all segments of a prompt but the last."""
    entries = headers.get("carobstair-prompt-prefix", "").split(",")
    return tuple(entry.partition(":")[0] for entry in entries[:-1])


@dataclass(eq=False)
class Engine(HttpStandIn):
    """Engine behind a TCP proxy; each start is a new incarnation.

    Parameters
    ----------
    name : str
    zone : str
    store : StoreStandIn
    arrivals : list of Arrival
        List to which requests that run are appended.
    """

    name: str
    zone: str
    store: StoreStandIn
    arrivals: list[Arrival]
    engine_id: str = ""
    cold_until_s: float = 0.0
    cold_spans: list[tuple[str, float, float]] = field(default_factory=list)
    proxy: TcpProxy | None = None
    up: bool = False
    # Whether responses say that the engine leaves, and until when it wants none.
    announces_leaving: bool = False
    pause_until_s: float = 0.0
    # Until when it closes the connection cleanly within some of its answers.
    truncates_until_s: float = 0.0
    # Requests a second that it takes from all routers, and the times of each limit.
    limit_per_s: float | None = None
    limits: list[tuple[str, float, float, float]] = field(default_factory=list)
    # When it first said so to each router, and the pauses that it asked for.
    announced: dict[tuple[str, str], float] = field(default_factory=dict)
    pauses: list[tuple[str, str, float, float]] = field(default_factory=list)
    last_entry: dict | None = None
    # Segments that end an engine which begins to answer them, for all engines.
    bad_segments: set[str] = field(default_factory=set)
    on_bad_segment: Callable[[Engine, str], None] = lambda engine, segment: None

    def __post_init__(self):
        super().__init__()

    async def boot(self, cold: bool) -> None:
        """Start a new incarnation and register it."""
        if self._server is None:
            await self.start()
            self.proxy = TcpProxy("127.0.0.1", self.port)
        if self.proxy.port == 0 or self.proxy.refuses:
            await self.proxy.start()
        born = next(_incarnation_numbers)
        self.engine_id = f"{self.name}-{born}"
        self.up = True
        self.cold_until_s = 0.0
        self.announces_leaving = False
        self.pause_until_s = 0.0
        self.limit_per_s = None
        if cold:
            self.become_cold()
        self._put_entry(self._entry(born))

    def become_cold(self) -> None:
        """Become cold without updating the store entry."""
        now_s = time.monotonic()
        self.cold_until_s = now_s + COLD_START_S
        self.cold_spans.append((self.engine_id, now_s, self.cold_until_s))

    def set_limit(self, per_s: float) -> None:
        """Begin to name a limit."""
        self.limit_per_s = per_s
        self._limited_since_s = time.monotonic()

    def end_limit(self) -> None:
        """Name no limit any more."""
        if self.limit_per_s is not None:
            span = self._limited_since_s, time.monotonic()
            self.limits.append((self.engine_id, self.limit_per_s, *span))
            self.limit_per_s = None

    def crash(self) -> None:
        """Reset all connections and refuse new ones; the entry stays in the store."""
        self.up = False
        self.proxy.refuse()
        self.proxy.cut_open()

    def report_draining(self) -> None:
        """Mark the store entry as draining."""
        self._put_entry(self._entry(1, state="draining"))

    def remove_entry(self, engine_id: str | None = None) -> None:
        """Delete the store entry of an incarnation, by default the latest."""
        name = engine_id or self.engine_id
        if name == self.engine_id:
            self.last_entry = None
        if ("servers", name) in self.store.objects:
            self.store.delete("servers", name)

    def write_entry_again(self) -> None:
        """Write the entry that a restored store may lack, and drop outdated ones."""
        for kind, name in list(self.store.objects):
            if kind != "servers" or not name.startswith(f"{self.name}-"):
                continue
            if name != self.engine_id or self.last_entry is None:
                self.store.delete("servers", name)
        if self.last_entry is not None:
            self.store.put("servers", self.engine_id, self.last_entry)

    def _put_entry(self, entry: dict) -> None:
        self.last_entry = entry
        self.store.put("servers", self.engine_id, entry)

    def _entry(self, born: int, **changes) -> dict:
        remaining_ms = max(0, int((self.cold_until_s - time.monotonic()) * 1000))
        return make_upstream_entry(
            self.proxy.port,
            zone=self.zone,
            coldRemainingMs=remaining_ms,
            born=born,
            **changes,
        )

    async def respond(self, request, writer):
        """Run a request, or answer 421 if it expects another incarnation."""
        request_id = request.headers["carobstair-attempt-id"]
        head = f"Carobstair-Attempt-Id: {request_id}\r\n"
        if request.headers.get("carobstair-expect-instance") != self.engine_id:
            writer.write(
                f"HTTP/1.1 421 X\r\n{head}Carobstair-Not-Executed: 1\r\n"
                "Content-Length: 0\r\n\r\n".encode()
            )
            return True
        router = request.headers.get("x-soak-router", "")
        now_s = time.monotonic()
        if now_s < self.pause_until_s:
            left_s = self.pause_until_s - now_s
            self.pauses.append((router, self.engine_id, now_s, self.pause_until_s))
            writer.write(
                f"HTTP/1.1 503 X\r\n{head}Carobstair-Not-Executed: 1\r\n"
                f"Retry-After: {left_s:.3f}\r\nContent-Length: 0\r\n\r\n".encode()
            )
            return True
        if self.announces_leaving:
            self.announced.setdefault((router, self.engine_id), now_s)
            head += "Server-Leaving: 1\r\n"
        if self.limit_per_s is not None:
            head += f"Server-Limit: {self.limit_per_s:.1f}\r\n"
        segments = shared_segments(request.headers)
        arrival = Arrival(request_id, router, self.engine_id, now_s, segments)
        self.arrivals.append(arrival)
        head += f"Carobstair-Response-Seal: {SEAL}\r\n"
        for segment in self.bad_segments.intersection(segments):
            head += "Transfer-Encoding: chunked\r\n"
            writer.write(f"HTTP/1.1 200 X\r\n{head}\r\n".encode())
            await asyncio.sleep(PROCESSING_S)
            self.on_bad_segment(self, segment)
            return False
        if "/stream/" in request.target or "/resume/" in request.target:
            return await self._run_stream(request, head, writer)
        await asyncio.sleep(PROCESSING_S)
        body = f"{request_id} from {self.engine_id}".encode()
        unframed, truncated = self._shape(request_id)
        if not unframed:
            head += f"Content-Length: {len(body)}\r\n"
            # Without a length nothing would tell that the rest is missing.
            body = body[:-5] if truncated else body
        writer.write(f"HTTP/1.1 200 X\r\n{head}\r\n".encode() + body)
        await writer.drain()
        return not unframed and not truncated

    def _shape(self, request_id: str) -> tuple[bool, bool]:
        """Return whether an answer has no length and chunks, and whether it is cut."""
        number = zlib.crc32(request_id.encode())
        truncates = time.monotonic() < self.truncates_until_s
        return number % 3 == 0, truncates and number // 3 % 2 == 0

    async def _run_stream(self, request, head: str, writer):
        request_id = request.headers["carobstair-attempt-id"]
        unframed, truncated = self._shape(request_id)
        head += "Content-Type: text/event-stream\r\n"
        if not unframed:
            head += "Transfer-Encoding: chunked\r\n"
        writer.write(f"HTTP/1.1 200 X\r\n{head}\r\n".encode())
        first = int(request.headers.get("last-event-id", 0)) + 1
        for number in range(first, EVENTS_PER_STREAM + 1):
            event = f"id: {number}\ndata: {request_id}\n\n".encode()
            cut = truncated and number > EVENTS_PER_STREAM // 2
            part = event[:-3] if cut else event
            writer.write(part if unframed else b"%x\r\n%s\r\n" % (len(part), part))
            await writer.drain()
            if cut:
                return False
            await asyncio.sleep(EVENT_GAP_S)
        if unframed:
            return False
        writer.write(b"0\r\n\r\n")
        await writer.drain()
        return True
