"""Measures false removals and detection time of the membership against message loss.

Run with ``python bench/membership.py``; it uses virtual time and takes about a
minute.
"""

from __future__ import annotations

import statistics
import sys

from carobstair.core.members import MemberStatus
from carobstair.standins.agent_fleet import AgentFleet

NODES = 24
LOSSES = (0.0, 0.05, 0.1, 0.2)
SEEDS = (1, 2, 3)
SETTLE_S = 20.0
FAULT_FREE_S = 120.0
DETECT_LIMIT_S = 60.0


def false_dead_views(fleet: AgentFleet) -> set[tuple[str, str]]:
    """Return (observer, member) where the observer considers a running member dead."""
    return {
        (name, other)
        for name, process in fleet.processes.items()
        for other, member in process.node.membership.members.items()
        if member.status >= MemberStatus.DEAD and other in fleet.processes
    }


def false_removals(fleet: AgentFleet) -> tuple[int, float]:
    """Return count and node-seconds of views that have a running member as dead."""
    removals, previous, dead_s = 0, set(), 0.0
    for _ in range(int(FAULT_FREE_S / 0.1)):
        fleet.run(0.1)
        current = false_dead_views(fleet)
        removals += len(current - previous)
        dead_s += 0.1 * len(current)
        previous = current
    return removals, dead_s


def detection_s(fleet: AgentFleet, victim: str) -> list[float]:
    """Kill a router and return the sorted detection times of the other routers."""
    fleet.kill(victim)
    began_s = fleet.now_s
    found: dict[str, float] = {}
    while len(found) < len(fleet.processes):
        if fleet.now_s > began_s + DETECT_LIMIT_S:
            raise TimeoutError(f"{victim} was not detected as dead by all routers")
        fleet.run(0.05)
        for name, process in fleet.processes.items():
            if name not in found and victim not in process.node.live_peers():
                found[name] = fleet.now_s - began_s
    return sorted(found.values())


def main() -> int:
    """Print a table and return the exit status."""
    print(
        f"{NODES} nodes, {len(SEEDS)} seeds, {FAULT_FREE_S:.0f} s without a fault each"
    )
    print("loss  false removals  dead node-s (of all)  detected p50 / last (s)  msgs/s")
    for loss in LOSSES:
        removals, dead_s, times, messages = 0, 0.0, [], 0.0
        for seed in SEEDS:
            zones = {f"n{i}": f"z{i % 3}" for i in range(NODES)}
            fleet = AgentFleet(zones, seed)
            fleet.start_all()
            fleet.run(SETTLE_S)
            fleet.network.loss = loss
            fleet.sent_messages.clear()
            count, seconds = false_removals(fleet)
            messages += fleet.sent_messages.total() / NODES / FAULT_FREE_S / len(SEEDS)
            removals, dead_s = removals + count, dead_s + seconds
            times += detection_s(fleet, "n5")
        views_s = NODES * (NODES - 1) * FAULT_FREE_S * len(SEEDS)
        print(
            f"{loss:4.0%}  {removals:14d}  {dead_s:9.1f} ({dead_s / views_s:.4%})"
            f"  {statistics.median(times):.2f} / {max(times):.2f}  {messages:.2f}"
        )
    return 0


if __name__ == "__main__":
    sys.exit(main())
