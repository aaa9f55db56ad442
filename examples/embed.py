"""Embeds the capacity decisions of `carobstair.core` in a program, without a network.

Two workspaces with weights 1 and 3 always have requests waiting for one engine with
two slots. Time is virtual, so a minute of service is simulated at once.
"""

from __future__ import annotations

import random
from collections import Counter
from itertools import count

from carobstair.core import (
    CapacityNode,
    CapacitySettings,
    Epoch,
    FleetState,
    Granted,
    HeldGrant,
    PeerAddress,
    Ticket,
    Upstream,
    UpstreamKind,
    WaitingRequest,
    WorkClass,
    Workspace,
)

WEIGHTS = {"small": 1.0, "large": 3.0}
MODEL, REQUEST_TOKENS, REQUEST_S = "model", 10.0, 1.0
WAITING, SLOTS, STEP_S = 5, 2, 0.5


def make_node() -> CapacityNode:
    """Return the only node of a fleet, whose state in force has one engine."""
    node = CapacityNode(("embedded", 1), CapacitySettings(), random.Random(1))
    own = PeerAddress("embedded", 1, "127.0.0.1", 8081, 8080, "zone-a")
    node.shares.learn(Epoch(1, (own,)), 0.0)
    engine = Upstream(
        "engine",
        MODEL,
        UpstreamKind.ENGINE,
        "http://127.0.0.1:9000",
        "zone-a",
        cold_limit=SLOTS,
        max_requests=SLOTS,
    )
    workspaces = {
        name: Workspace(name, weight, pools=frozenset({MODEL}))
        for name, weight in WEIGHTS.items()
    }
    first = Ticket(1, "first", workspaces=workspaces, upstreams={"engine": engine})
    node.set_state(FleetState().apply(first), 0.0)
    return node


def serve(seconds: float) -> Counter[str]:
    """Return the weighted tokens that each workspace received.

    Parameters
    ----------
    seconds : float
        Duration in virtual time.
    """
    node, served, numbers = make_node(), Counter(), count(1)
    running: list[tuple[float, HeldGrant]] = []
    now_s = 0.0
    while now_s < seconds:
        effects = []
        for workspace in WEIGHTS:
            while node.queue.waiting(MODEL, workspace) < WAITING:
                request = make_request(f"r-{next(numbers)}", workspace, now_s)
                effects += node.enqueue(request, now_s)
        for end_s, grant in [item for item in running if item[0] <= now_s]:
            running.remove((end_s, grant))
            node.charge(grant, REQUEST_TOKENS)
            served[grant.offer.workspace] += REQUEST_TOKENS
            effects += node.release(grant, now_s)
        effects += node.tick(now_s)
        if node.demand_due:
            effects += node.flush_demand(now_s)
        for effect in effects:
            if isinstance(effect, Granted):
                running.append((now_s + REQUEST_S, effect.grant))
        now_s += STEP_S
    return served


def make_request(request_id: str, workspace: str, now_s: float) -> WaitingRequest:
    """Return a request that waits for the engine."""
    return WaitingRequest(
        request_id,
        MODEL,
        workspace,
        WorkClass.LONG,
        REQUEST_TOKENS,
        kv_tokens=20,
        size_bytes=100,
        enqueued_s=now_s,
        deadline_s=now_s + 1_000.0,
    )


if __name__ == "__main__":
    for name, tokens in sorted(serve(60.0).items()):
        print(f"{name} (weight {WEIGHTS[name]:g}): {tokens:.0f} weighted tokens")
