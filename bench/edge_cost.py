"""Measures the processor time of the edge router per request and relayed event.

The router runs in this process, on the event loop that routers use; engines, services
and callers run in a second one, so that `time.process_time` counts the router alone.
Streams of two lengths give the cost of a request and of an event. With `--profile` the
functions of one kind of load are listed by their own time, and nothing is measured.

    python bench/edge_cost.py [--profile plain|stream|event|handed]
"""

from __future__ import annotations

import argparse
import asyncio
import cProfile
import multiprocessing
import os
import pstats
import random
import statistics
import sys
import time
from types import SimpleNamespace

import msgspec

from carobstair.core.directory import UpstreamDirectory
from carobstair.core.dispatch import Dispatcher
from carobstair.core.engine_load import LoadTracker, PlacementSettings
from carobstair.core.fair_admission import FairAdmission
from carobstair.core.fleet_view import FleetView, StateKind, StoreChange
from carobstair.core.handoff import HandoffDecision, HandoffPeers, HandoffSettings
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
from carobstair.edge.handoff_driver import Handoff
from carobstair.edge.handoff_server import RELAYED_PAUSE_S
from carobstair.edge.measured_selector import measured_loop
from carobstair.edge.metrics import EdgeMetrics
from carobstair.edge.relay import Relay
from carobstair.edge.server import EVENT_PAUSE_S, CallerServer
from carobstair.logs import LineWriter, configure_logging
from carobstair.platform.documents import decode_routing, decode_upstream
from carobstair.platform.headers import PlatformDialect
from edge_cost_load import LONG_EVENTS, PHASES, SHORT_EVENTS, peers_main

ENGINES, PLAIN_INSTANCES = 56, 4
WARM_UP = 200
# The lowest of several repetitions is least disturbed by other processes.
REPEATS = 7
# Functions in a profile.
LISTED = 45


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
    gate = ArrivalGate()
    peers = HandoffPeers("a")
    handoff = Handoff(
        HandoffDecision(HandoffSettings(), peers, 2000, True),
        SimpleNamespace(utilisation=lambda: 1.0),
        app.refusals,
        app._metrics,
        rng,
    )
    host = "127.0.0.1"
    servers = {
        "callers": CallerServer(app, host, 0, gate, app.refusals),
        "busy": CallerServer(app, host, 0, gate, app.refusals, None, handoff),
        "handoff": CallerServer(serve_for_peers(app), host, 0, gate, app.refusals),
    }
    for server in servers.values():
        # Each is used by some of the phases only.
        server.idle_timeout_s = 3600.0
    return servers, guard, peers


def serve_for_peers(app):
    """Return the application of the hand-off port, as `HandoffPort` serves it."""

    async def serve(scope, receive, send):
        scope[EVENT_PAUSE_S] = RELAYED_PAUSE_S
        await app(scope, receive, send)

    return serve


class AlwaysBusy(LoopUtilisation):
    """Measure that sheds all new streams."""

    @property
    def value(self):
        """Utilisation of a saturated router."""
        return 1.0


async def state_utilisation(peers, port):
    """Have an idle peer of the own zone state its load, as its digests do."""
    while True:
        peers.note("r1", "a", "127.0.0.1", port, 0.1, time.monotonic())
        await asyncio.sleep(0.02)


async def measure(pipe, profiled, only):
    """Run the phases and print the processor time of each."""
    loop = asyncio.get_running_loop()
    engine_port, peer_port = await loop.run_in_executor(None, pipe.recv)
    servers, guard, peers = make_router(engine_port, LoopUtilisation())
    serving = [asyncio.create_task(server.serve()) for server in servers.values()]
    serving.append(asyncio.create_task(state_utilisation(peers, peer_port)))
    pipe.send({name: server.port for name, server in servers.items()})

    async def run(name, requests):
        pipe.send((name, requests))
        return await loop.run_in_executor(None, pipe.recv)

    costs_us = {}
    for name, phase in PHASES.items():
        if only and name not in only:
            continue
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
        shorter = {"handed-long": "handed", "taken-long": "taken"}
        for name in ("long", "paced", "handed-long", "taken-long"):
            short = shorter.get(name, "stream")
            if name in costs_us and short in costs_us:
                event_us = (costs_us[name] - costs_us[short]) / events
                print(f"event ({name}): {event_us:.1f} us")
    pipe.send(None)
    for task in serving:
        task.cancel()
    await asyncio.gather(*serving, return_exceptions=True)


def main():
    """Measure the costs and print them."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--profile", choices=["event", *PHASES])
    parser.add_argument("--only", nargs="*", choices=PHASES, help="kinds of load")
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
            runner.run(measure(pipe, profiled, arguments.only))
        peers.join(5.0)


if __name__ == "__main__":
    sys.exit(main())
