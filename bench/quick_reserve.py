"""Measures the cost and the benefit of slots reserved for quick requests.

Two workspaces keep all slots busy with long requests while one of them or a third
sends quick requests, on virtual time with a fixed seed.
"""

from __future__ import annotations

from dataclasses import dataclass

from capacity_sim import Fleet, FleetPlan, closed_loop, poisson
from carobstair.core.allocator import AllocatorSettings
from carobstair.core.capacity import CapacitySettings
from carobstair.core.reserve import QuickReserveSettings

WARM_UP_S, END_S = 30.0, 150.0
QUICK_REQUESTS_PER_S, QUICK_TOKENS = 3.0, 12


@dataclass(frozen=True)
class Case:
    """A fleet and the range of the lengths of long answers."""

    nodes: int
    engines: int
    slots: int
    lengths: tuple[int, int]


CASES = (
    Case(3, 3, 8, (60, 300)),
    Case(6, 5, 8, (300, 700)),
    Case(6, 5, 16, (300, 700)),
    Case(6, 9, 8, (300, 700)),
)


def measure(case: Case, fraction: float, from_busy: bool) -> tuple[float, float, float]:
    """Return p50 and p95 of the time to the first token, and the idle fraction.

    Parameters
    ----------
    from_busy : bool
        Whether the quick requests come from a workspace that also sends long ones.
    """
    settings = CapacitySettings(
        allocator=AllocatorSettings(quick=QuickReserveSettings(fraction))
    )
    plan = FleetPlan(
        nodes=case.nodes,
        engines=case.engines,
        slots=case.slots,
        weights={"flood": 1.0, "bulk": 1.0, "agents": 1.0},
        settings=settings,
    )
    fleet = Fleet(plan)
    all_nodes = list(fleet.nodes)
    closed_loop(fleet, "flood", 80, case.lengths, all_nodes[:1])
    closed_loop(fleet, "bulk", 80, case.lengths, all_nodes)
    quick_workspace = "bulk" if from_busy else "agents"
    poisson(fleet, quick_workspace, QUICK_REQUESTS_PER_S, QUICK_TOKENS, all_nodes)
    fleet.run(WARM_UP_S)
    fleet.reset_measurements()
    found = fleet.run(END_S)
    times = found.quick_first_token_s(quick_workspace)
    idle = found.idle_waiting_slot_s / found.slot_s
    return times[len(times) // 2], times[int(len(times) * 0.95)], idle


def main() -> None:
    """Print a table."""
    print("routers engines slots questions_of  fraction  p50_s  p95_s  idle")
    for case in CASES:
        for from_busy in (False, True):
            for fraction in (0.0, 0.1):
                p50, p95, idle = measure(case, fraction, from_busy)
                print(
                    f"{case.nodes:7} {case.engines:7} {case.slots:5} "
                    f"{'a drafter' if from_busy else 'a third':>12} {fraction:9} "
                    f"{p50:6.3f} {p95:6.3f} {idle:6.2%}"
                )


if __name__ == "__main__":
    main()
