"""Measures the processor time of the edge router per request and relayed event.

The router runs in this process, on the event loop that routers use; engines, services
and callers run in a second one, so that `time.process_time` counts the router alone.
Streams of two lengths give the cost of a request and of an event. With `--profile` the
functions of one kind of load are listed by their own time, and nothing is measured.

    python bench/edge_cost.py [--profile plain|stream|event]
"""

from __future__ import annotations

import argparse
import asyncio
import contextlib
import cProfile
import multiprocessing
import os
import pstats
import random
import statistics
import sys
import time
from dataclasses import dataclass

import msgspec

from carobstair.core.directory import UpstreamDirectory
from carobstair.core.dispatch import Dispatcher
from carobstair.core.engine_load import LoadTracker, PlacementSettings
from carobstair.core.fair_admission import FairAdmission
from carobstair.core.fleet_view import FleetView, StateKind, StoreChange
from carobstair.core.overload import OverloadGuard, OverloadSettings
from carobstair.core.router_load import LoopUtilisation
from carobstair.core.send_limits import (
    ColdSendLimit,
    ResendLimit,
    SendLimitSettings,
)
from carobstair.core.upstream_health import UpstreamHealth
from carobstair.edge.app import EdgeApp
from carobstair.edge.arrival_gate import ArrivalGate
from carobstair.edge.connection_pool import ConnectionPool
from carobstair.edge.measured_selector import measured_loop
from carobstair.edge.metrics import EdgeMetrics
from carobstair.edge.relay import Relay
from carobstair.edge.server import CallerServer
from carobstair.logs import LineWriter, configure_logging
from carobstair.platform.documents import decode_routing, decode_upstream
from carobstair.platform.headers import PlatformDialect

ENGINES, PLAIN_INSTANCES = 56, 4
SHORT_EVENTS, LONG_EVENTS = 2, 102
EVENT_INTERVAL_S = 0.004
CALLERS = 8
REQUESTS = {"plain": 1000, "stream": 600, "long": 64, "shed": 1000, "head": 600}
WARM_UP = 200
# The lowest of several repetitions is least disturbed by other processes.
REPEATS = 7
# Functions in a profile.
LISTED = 45
BODY = b"x" * 512
EVENT = b'id: %d\ndata: {"choices":[{"delta":{"content":"word"}}]}\n\n'


@dataclass(frozen=True)
class Phase:
    """One kind of load."""

    path: str
    events: int
    requests: int


PHASES = {
    "plain": Phase("/plain/x", 0, REQUESTS["plain"]),
    "stream": Phase("/stream/x", SHORT_EVENTS, REQUESTS["stream"]),
    "long": Phase("/stream/x", LONG_EVENTS, REQUESTS["long"]),
    # Streams pause between reads, as those of a busy router do.
    "paced": Phase("/stream/x", LONG_EVENTS, REQUESTS["long"]),
    "shed": Phase("/stream/x", SHORT_EVENTS, REQUESTS["shed"]),
    # The body arrives after the head, so the router can't refuse the request unread.
    "head": Phase("/stream/x", SHORT_EVENTS, REQUESTS["head"]),
}


class Engine(asyncio.Protocol):
    """Answers requests with events, or with a short body on other paths."""

    def __init__(self):
        self.data = b""
        self.transport = None

    def connection_made(self, transport):
        """Keep the transport."""
        self.transport = transport

    def data_received(self, data):
        """Answer a request once it has arrived whole."""
        self.data += data
        head, end, body = self.data.partition(b"\r\n\r\n")
        if not end or len(body) < len(BODY):
            return
        self.data = b""
        lines = dict(
            line.split(b": ", 1) for line in head.lower().split(b"\r\n")[1:] if line
        )
        answer = (
            b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
            b"Carobstair-Attempt-Id: %s\r\nCarobstair-Response-Seal: c2VhbA\r\n"
            b"Carobstair-Engine-Load: 4,0,16\r\nKeep-Alive: timeout=30\r\n"
            % lines[b"carobstair-attempt-id"]
        )
        if head.startswith(b"POST /plain/"):
            body = b"{}" * 64
            length = b"Content-Length: %d\r\n\r\n" % len(body)
            self.transport.write(answer + length + body)
            return
        answer += b"Transfer-Encoding: chunked\r\n\r\n"
        events = int(lines[b"x-events"])
        self.send_event(answer, 0, events)

    def send_event(self, head, number, events):
        """Send an event and schedule the next one."""
        event = EVENT % number
        data = head + b"%x\r\n%s\r\n" % (len(event), event)
        if number + 1 == events:
            self.transport.write(data + b"0\r\n\r\n")
            return
        self.transport.write(data)
        asyncio.get_running_loop().call_later(
            EVENT_INTERVAL_S, self.send_event, b"", number + 1, events
        )


class Caller:
    """Sends requests on one kept connection."""

    def __init__(self, port):
        self.port = port
        self.number = 0

    async def open(self):
        """Connect to the router."""
        self.reader, self.writer = await asyncio.open_connection("127.0.0.1", self.port)
        return self

    async def call(self, phase, split):
        """Send a request and read its response; return the status."""
        self.number += 1
        request_id = b"c%x-%d" % (id(self), self.number)
        head = (
            b"POST %s HTTP/1.1\r\nHost: api.test\r\nContent-Type: application/json\r\n"
            b"Carobstair-Key: key%d\r\nCarobstair-Attempt-Id: %s\r\n"
            b"Carobstair-Deadline-Ms: 10000\r\nCarobstair-Token-Counts: 2368,120\r\n"
            b"Carobstair-Prompt-Prefix: s%d:900,t%d:800,%s:668\r\nX-Events: %d\r\n"
            b"Carobstair-Length-Hint: 110\r\nContent-Length: %d\r\n\r\n"
        ) % (
            phase.path.encode(),
            self.number % 30,
            request_id,
            self.number % 12,
            self.number % 70,
            request_id,
            phase.events,
            len(BODY),
        )
        if split:
            self.writer.write(head)
            await asyncio.sleep(0.002)
            self.writer.write(BODY)
        else:
            self.writer.write(head + BODY)
        answer = await self.reader.readuntil(b"\r\n\r\n")
        lines = answer.lower().split(b"\r\n")
        lengths = [line for line in lines if line.startswith(b"content-length:")]
        if lengths:
            await self.reader.readexactly(int(lengths[0].split(b":")[1]))
        else:
            while await self.reader.readuntil(b"\r\n") != b"0\r\n":
                pass
            await self.reader.readuntil(b"\r\n")
        return int(answer.split(b" ", 2)[1])


async def run_peers(pipe):
    """Serve as engines, and send the load that the router's process asks for."""
    loop = asyncio.get_running_loop()
    server = await loop.create_server(Engine, "127.0.0.1", 0)
    pipe.send(server.sockets[0].getsockname()[1])
    router_port = await loop.run_in_executor(None, pipe.recv)
    callers = [await Caller(router_port).open() for _ in range(CALLERS)]
    while True:
        order = await loop.run_in_executor(None, pipe.recv)
        if order is None:
            return
        name, requests = order
        statuses = set()

        async def send(caller, name=name, count=requests // CALLERS, seen=statuses):
            for _ in range(count):
                seen.add(await caller.call(PHASES[name], name == "head"))

        await asyncio.gather(*map(send, callers))
        pipe.send(sorted(statuses))


def peers_main(pipe):
    """Run the second process."""
    asyncio.run(run_peers(pipe))


def make_documents(port):
    """Return the configuration and the upstreams' entries as stored documents."""
    engine = {"slots": 16, "kvCapacityTokens": 547_257}
    routes = [
        ("stream", "streaming", "engine", 10_000, 250),
        ("plain", "safe", "plain", 2_500, 200),
    ]
    config = {
        "version": 1,
        "routes": [
            {
                "name": name,
                "host": "api.test",
                "pathPrefix": f"/{name}/",
                "kind": kind,
                "timeoutMs": timeout_ms,
                "targetLatencyMs": target_ms,
                "priority": 1,
                "service": service,
                "maxAttempts": 2,
                "resumable": kind == "streaming",
            }
            for name, kind, service, timeout_ms, target_ms in routes
        ],
        "services": [
            {"name": "engine", "maxConnections": 670, "engine": engine},
            {"name": "plain", "maxConnections": 90},
        ],
        "limits": {"tokensPerS": 1e8},
        "tenants": [{"name": f"w{n}", "apiKeys": [f"key{n}"]} for n in range(30)],
    }
    upstreams = {
        f"{service}-{number}": {
            "service": service,
            "address": f"127.0.0.1:{port}",
            "zone": "abcd"[number % 4],
            "version": "v1",
            "slots": 16,
            "state": "ready",
            "coldRemainingMs": 0,
            "sequence": 1,
            "born": 1,
        }
        for service, count in (("engine", ENGINES), ("plain", PLAIN_INSTANCES))
        for number in range(count)
    }
    return config, upstreams


def make_router(engine_port, utilisation):
    """Return the application, its server and its guard."""
    directory = UpstreamDirectory()
    view = FleetView(directory, decode_routing, decode_upstream)
    config, upstreams = make_documents(engine_port)
    now_s = time.monotonic()
    change = StoreChange("main", 2, msgspec.json.encode(config))
    view.apply(StateKind.ROUTING, [change], None, now_s)
    changes = [
        StoreChange(name, 3 + number, msgspec.json.encode(entry))
        for number, (name, entry) in enumerate(upstreams.items())
    ]
    view.apply(StateKind.UPSTREAMS, changes, None, now_s)
    settings, rng = SendLimitSettings(), random.Random(1)
    dispatcher = Dispatcher(
        "r0",
        directory,
        LoadTracker(PlacementSettings(), "a"),
        UpstreamHealth(),
        ColdSendLimit(settings, -10.0),
        ResendLimit(settings),
        rng,
        frozenset({"r0"}),
    )
    guard = OverloadGuard(OverloadSettings(), utilisation)
    relay = Relay(dispatcher, ConnectionPool(), PlatformDialect())
    relay.responses.event_pause_s = guard.early.event_pause_s
    app = EdgeApp(
        view,
        relay,
        FairAdmission(),
        PlatformDialect(),
        EdgeMetrics(),
        rng,
        2000,
        lambda: False,
        guard,
    )
    server = CallerServer(app, "127.0.0.1", 0, ArrivalGate(), app.refusals)
    return app, server, guard


class AlwaysBusy(LoopUtilisation):
    """Measure that sheds all new streams."""

    @property
    def value(self):
        """Utilisation of a saturated router."""
        return 1.0


async def measure(pipe, profiled):
    """Run the phases and print the processor time of each."""
    loop = asyncio.get_running_loop()
    engine_port = await loop.run_in_executor(None, pipe.recv)
    app, server, guard = make_router(engine_port, LoopUtilisation())
    serving = asyncio.create_task(server.serve())
    pipe.send(server.port)

    async def run(name, requests):
        pipe.send((name, requests))
        return await loop.run_in_executor(None, pipe.recv)

    costs_us = {}
    for name, phase in PHASES.items():
        if name == "paced":
            guard.enable_redirect()
            guard.early.own = AlwaysBusy()
        if name in ("shed", "head"):
            guard.early.peers.note("r1", 0.1)
        await run(name, min(WARM_UP, phase.requests))
        if profiled:
            if profiled == name:
                profile = cProfile.Profile()
                profile.enable()
                await run(name, phase.requests)
                profile.disable()
                pstats.Stats(profile).sort_stats("tottime").print_stats(LISTED)
            continue
        repeats = []
        for _ in range(REPEATS):
            began_s, began = time.process_time(), os.times()
            statuses = await run(name, phase.requests)
            repeats.append(time.process_time() - began_s)
            ended = os.times()
            kernel = (ended.system - began.system) / (
                ended.user - began.user + ended.system - began.system
            )
        costs_us[name] = 1e6 * min(repeats) / phase.requests
        print(
            f"{name}: {costs_us[name]:.0f} us a request (median "
            f"{1e6 * statistics.median(repeats) / phase.requests:.0f}, "
            f"{kernel:.0%} in the kernel), statuses {statuses}"
        )
    if costs_us:
        events = LONG_EVENTS - SHORT_EVENTS
        for name in ("long", "paced"):
            event_us = (costs_us[name] - costs_us["stream"]) / events
            print(f"event ({name}): {event_us:.1f} us")
    pipe.send(None)
    serving.cancel()
    with contextlib.suppress(asyncio.CancelledError):
        await serving


def main():
    """Measure the costs and print them."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--profile", choices=["plain", "stream", "event", "shed"])
    arguments = parser.parse_args()
    profiled = "long" if arguments.profile == "event" else arguments.profile
    with open("/dev/null", "w") as null:
        configure_logging("info", "a", LineWriter(null.fileno()))
        context = multiprocessing.get_context("spawn")
        pipe, remote = context.Pipe()
        peers = context.Process(target=peers_main, args=(remote,), daemon=True)
        peers.start()
        utilisation = LoopUtilisation()
        with asyncio.Runner(loop_factory=lambda: measured_loop(utilisation)) as runner:
            runner.run(measure(pipe, profiled))
        peers.join(5.0)


if __name__ == "__main__":
    sys.exit(main())
