"""Measures the CPU time of one node's decisions as the fleet state grows.

One node of an epoch holds shares; requests arrive, are granted and end. The result
is the CPU time per request of enqueueing, allocation, charges and release.
"""

from __future__ import annotations

import random
import time

from carobstair.core.capacity import CapacityNode, CapacitySettings
from carobstair.core.effects import Granted
from carobstair.core.messages import PeerAddress, PoolTotals, TotalsRow, TotalsUpdate
from carobstair.core.queueing import WaitingRequest, WorkClass
from carobstair.core.shares import Epoch
from carobstair.core.state import FleetState, Upstream, UpstreamKind, Workspace

MODELS = 9
REQUESTS = 2000
# (workspaces, upstreams, members), up to the target size of the design.
SIZES = ((16, 12, 6), (64, 60, 24), (550, 600, 24), (550, 600, 370))


def make_node(workspaces: int, upstreams: int, members: int) -> CapacityNode:
    """Return a node with shares in a fleet with a tenth of workspaces backlogged."""
    models = [f"model-{i}" for i in range(MODELS)]
    state = FleetState(
        1,
        {
            f"w{i}": Workspace(f"w{i}", 1.0, pools=frozenset(models))
            for i in range(workspaces)
        },
        {
            f"e{i}": Upstream(
                f"e{i}",
                models[i % MODELS],
                UpstreamKind.ENGINE,
                "http://h",
                "z",
                cold_limit=8,
                max_requests=8,
            )
            for i in range(upstreams)
        },
    )
    node = CapacityNode(("n0", 1), CapacitySettings(), random.Random(1))
    peers = tuple(PeerAddress(f"n{i}", 1, "h", 1, 2, "z") for i in range(members))
    node.live_peers = frozenset(p.instance for p in peers[1:])
    node.shares.learn(Epoch(1, peers), 0.0)
    for peer in peers:
        node.shares.acknowledge((peer.instance, 1), 1, 0.0)
    node.set_state(state, 0.0)
    rows = [TotalsRow(f"w{i}", 100.0, 0.0, True) for i in range(workspaces // 10)]
    for peer in peers[1:20]:
        update = TotalsUpdate(1, 1, [PoolTotals(m, rows) for m in models])
        node.totals.merge(peer.instance, update, 0.0)
    return node


def measure(workspaces: int, upstreams: int, members: int) -> tuple[float, float]:
    """Return the CPU time in microseconds per request and per idle tick."""
    node = make_node(workspaces, upstreams, members)
    generator = random.Random(2)
    running: list = []
    now_s, number = 0.0, 0

    def carry_out(effects: list) -> None:
        running.extend(e.grant for e in effects if isinstance(e, Granted))

    def step() -> None:
        nonlocal now_s, number
        now_s += 0.01
        number += 1
        workspace = f"w{generator.randrange(max(2, workspaces // 10))}"
        request = WaitingRequest(
            f"r{number}",
            f"model-{generator.randrange(MODELS)}",
            workspace,
            WorkClass.LONG,
            200.0,
            300,
            100,
            now_s,
            now_s + 1e6,
        )
        carry_out(node.enqueue(request, now_s))
        # Ending two requests for each arrival keeps the queues short.
        for _ in range(2 if len(running) > 4 else 0):
            grant = running.pop(generator.randrange(len(running)))
            for _ in range(20):
                node.charge(grant, 10.0)
            carry_out(node.release(grant, now_s))

    for _ in range(200):
        step()
    began_s = time.process_time()
    for _ in range(REQUESTS):
        step()
    per_request_s = (time.process_time() - began_s) / REQUESTS
    began_s = time.process_time()
    for index in range(400):
        node.tick(now_s + 0.05 * index)
    return per_request_s * 1e6, (time.process_time() - began_s) / 400 * 1e6


def main() -> None:
    """Print a table."""
    print("workspaces upstreams members  us_per_request  us_per_tick")
    for size in SIZES:
        per_request, per_tick = measure(*size)
        print(
            f"{size[0]:10} {size[1]:9} {size[2]:7} {per_request:15.0f} {per_tick:12.0f}"
        )


if __name__ == "__main__":
    main()
