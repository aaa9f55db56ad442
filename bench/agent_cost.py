"""Measures CPU time and traffic of the agent node against the size of the fleet.

Run with ``python bench/agent_cost.py``; it uses virtual time and takes about a
minute. The CPU time is that of the node's own methods on this machine, without the
network.
"""

from __future__ import annotations

import sys
import time

from carobstair.core.agent import AgentNode
from carobstair.core.state import Ticket, Upstream, UpstreamKind
from carobstair.standins.agent_fleet import AgentFleet

SIZES = (3, 6, 12, 24, 48, 96)
UPSTREAMS_PER_NODE = 600 / 370
SETTLE_S = 10.0
WINDOW_S = 10.0


class CpuTimeMeter:
    """Sums the CPU time spent in the entry points of all nodes."""

    def __init__(self) -> None:
        self.cpu_time_s = 0.0
        for name in ("tick", "on_message", "on_store_answer", "on_watch"):
            self._wrap(name)

    def _wrap(self, name: str) -> None:
        method = getattr(AgentNode, name)

        def measured(*arguments):
            began_s = time.process_time()
            try:
                return method(*arguments)
            finally:
                self.cpu_time_s += time.process_time() - began_s

        setattr(AgentNode, name, measured)


def upstreams(count: int) -> dict[str, Upstream]:
    """Return engines that each have a wanted version."""
    return {
        f"e{i}": Upstream(
            f"e{i}",
            "draft",
            UpstreamKind.ENGINE,
            "http://h:1",
            f"z{i % 4}",
            wanted_versions=("v1",),
        )
        for i in range(count)
    }


def main() -> int:
    """Print a table and return the exit status."""
    meter = CpuTimeMeter()
    print("nodes  upstreams  cpu of a core per node  bytes/node/s  messages/node/s")
    for size in SIZES:
        fleet = AgentFleet({f"n{i}": f"z{i % 4}" for i in range(size)}, seed=size)
        fleet.start_all()
        fleet.run(SETTLE_S)
        count = round(size * UPSTREAMS_PER_NODE)
        fleet.file("n0", Ticket(0, "a", upstreams=upstreams(count)))
        fleet.run(SETTLE_S)
        fleet.sent_messages.clear()
        fleet.count_bytes = True
        meter.cpu_time_s = 0.0
        fleet.run(WINDOW_S)
        per_node_s = size * WINDOW_S
        cpu = meter.cpu_time_s / per_node_s
        sent = fleet.sent_bytes.total() / per_node_s
        messages = fleet.sent_messages.total() / per_node_s
        print(f"{size:5d}  {count:9d}  {cpu:22.3%}  {sent:12.0f}  {messages:.2f}")
    return 0


if __name__ == "__main__":
    sys.exit(main())
