"""Measures control traffic and CPU time per node, and their growth with the fleet.

All nodes run in one process on virtual time; messages are encoded and decoded. The
load per node is that of the target size of the design: 2800 requests/s over 370
nodes, 600 engines, 550 workspaces of which a tenth is backlogged, 9 models.
"""

from __future__ import annotations

import argparse
import math
import time
from dataclasses import dataclass

from capacity_sim import Fleet, FleetPlan, closed_loop, poisson

SIZES = (3, 6, 12, 24, 48)
TARGET_NODES = 370
REQUESTS_PER_NODE_S = 2800 / 370
ENGINES_PER_NODE = 600 / 370
WORKSPACES_PER_NODE = 550 / 370
BACKLOGGED_FRACTION = 0.1
MODELS = 9
BUDGET_BYTES_PER_S = 30_000
BUDGET_CPU = 0.015


@dataclass(frozen=True)
class Cost:
    """Control overhead of one node.

    Attributes
    ----------
    bytes_per_s : dict
        Bytes sent per second, by kind of message.
    cpu : float
        Fraction of a core in use.
    """

    nodes: int
    bytes_per_s: dict[str, float]
    cpu: float
    messages_per_s: float

    @property
    def total_bytes_per_s(self) -> float:
        """Bytes sent per second."""
        return sum(self.bytes_per_s.values())


def measure(nodes: int, warm_up_s: float, measured_s: float) -> Cost:
    """Run a fleet of a size and return the cost per node."""
    engines = max(3, round(nodes * ENGINES_PER_NODE))
    count = max(4, round(nodes * WORKSPACES_PER_NODE))
    backlogged = max(2, round(count * BACKLOGGED_FRACTION))
    names = [f"workspace-{i:03}" for i in range(count)]
    models = tuple(f"model-{i}" for i in range(min(MODELS, engines)))
    plan = FleetPlan(
        nodes, engines, 8, 8, weights=dict.fromkeys(names, 1.0), pools=models
    )
    fleet = Fleet(plan)
    all_nodes = list(fleet.nodes)
    for index, name in enumerate(names):
        if index < backlogged:
            entry_nodes = all_nodes if index % 2 else all_nodes[:1]
            closed_loop(
                fleet, name, 2 * 8 * engines // backlogged, (150, 400), entry_nodes
            )
        else:
            per_s = 0.5 * nodes * REQUESTS_PER_NODE_S / (count - backlogged)
            poisson(fleet, name, per_s, 20, all_nodes)
    fleet.run(warm_up_s)
    fleet.reset_measurements()
    fleet.control_s = 0.0
    found = fleet.run(warm_up_s + measured_s)
    per_node_s = nodes * measured_s
    return Cost(
        nodes,
        {kind: size / per_node_s for kind, size in sorted(found.peer_bytes.items())},
        fleet.control_s / per_node_s,
        found.peer_messages / per_node_s,
    )


def growth_exponent(sizes: list[float], values: list[float]) -> float:
    """Return the exponent of a power law fitted by least squares on logarithms."""
    xs, ys = [math.log(x) for x in sizes], [math.log(max(y, 1e-9)) for y in values]
    mean_x, mean_y = sum(xs) / len(xs), sum(ys) / len(ys)
    covariance = sum((x - mean_x) * (y - mean_y) for x, y in zip(xs, ys, strict=True))
    return covariance / sum((x - mean_x) ** 2 for x in xs)


def main() -> None:
    """Print a table, growth exponents and the values expected at the target size."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--sizes", type=int, nargs="+", default=list(SIZES))
    parser.add_argument("--warm-up-s", type=float, default=15.0)
    parser.add_argument("--measured-s", type=float, default=20.0)
    arguments = parser.parse_args()
    costs = []
    for nodes in arguments.sizes:
        began_s = time.perf_counter()
        cost = measure(nodes, arguments.warm_up_s, arguments.measured_s)
        costs.append(cost)
        print(
            f"{nodes:4} nodes: {cost.total_bytes_per_s:8.0f} B/s sent per node, "
            f"{cost.messages_per_s:6.1f} messages/s, {cost.cpu:.3%} of a core "
            f"({time.perf_counter() - began_s:.0f} s)"
        )
        kinds = sorted(cost.bytes_per_s.items(), key=lambda item: -item[1])
        print("     ", ", ".join(f"{kind} {size:.0f}" for kind, size in kinds))
    if len(costs) > 1:
        print_growth(costs)


def print_growth(costs: list[Cost]) -> None:
    """Print growth exponents and extrapolate from the largest size to the target."""
    sizes = [float(cost.nodes) for cost in costs]
    last = costs[-1]
    for name, values, budget in (
        ("bytes/s", [c.total_bytes_per_s for c in costs], BUDGET_BYTES_PER_S),
        ("CPU", [c.cpu for c in costs], BUDGET_CPU),
    ):
        exponent = growth_exponent(sizes, values)
        extrapolated = values[-1] * (TARGET_NODES / last.nodes) ** exponent
        print(
            f"{name}: grows with nodes^{exponent:.2f}; {extrapolated:.4g} at "
            f"{TARGET_NODES} nodes, budget {budget:g}"
        )


if __name__ == "__main__":
    main()
