"""Randomized soak test: router processes on loopback under injected faults.

    python soak/run.py --seeds 1-50 --seconds 30

The seed determines the faults of a run and the times at which they are injected.
"""

from __future__ import annotations

import asyncio
import signal
import sys
import tempfile
import time
from collections import Counter
from pathlib import Path

import cyclopts

ROOT = Path(__file__).resolve().parent.parent
sys.path[:0] = [str(ROOT / "tests"), str(ROOT / "soak")]

from checks import ENDS_UNTIL_KNOWN, SETTLE_S, find_violations  # noqa: E402
from disruptions import HARNESS, monitor_harness_lag  # noqa: E402
from faults import draw_faults, inject  # noqa: E402
from world import SoakPlan, World  # noqa: E402

__all__ = ["main", "run_seed"]

# All routers must be ready again within this time after the last fault.
RECOVERY_LIMIT_S = 12.0
RECOVERY_REQUESTS = 20

app = cyclopts.App("soak", help="Randomized soak of the edge router.")


async def run_seed(plan: SoakPlan, folder: Path) -> tuple[list[str], str]:
    """Run one seed; return the violations and a summary line."""
    world = World(plan, folder)
    faults = draw_faults(plan.seed, plan.seconds)
    caller_task = None
    lag_monitor = asyncio.create_task(monitor_harness_lag(world.disruptions))
    try:
        await world.start()
        caller_task = asyncio.create_task(world.callers.run())
        await inject(world, faults)
        violations = await _recover(world)
    finally:
        lag_monitor.cancel()
        if caller_task is not None:
            caller_task.cancel()
            await world.callers.close()
        await world.close()
    violations += find_violations(world)
    return violations, _summary(world, len(faults))


async def _recover(world: World) -> list[str]:
    _stop_unknown_segment(world)
    for router in world.routers:
        router.signal(signal.SIGCONT)
        if not router.running:
            await router.start()
    not_ready = await world.wait_ready(RECOVERY_LIMIT_S)
    if not_ready:
        return [
            f"recovery: {', '.join(not_ready)} not ready after {RECOVERY_LIMIT_S:.0f} s"
        ]
    # Gives upstreams that were cold or unreachable time to recover.
    await asyncio.sleep(3.0)
    world.callers.keys = ["key1"]
    tasks = [
        world.callers.send(world.routers[n % len(world.routers)], "safe")
        for n in range(RECOVERY_REQUESTS)
    ]
    attempts = await asyncio.gather(*tasks)
    return [
        f"recovery: {a.request_id} at {a.router} got {a.status} {a.error}"
        for a in attempts
        if a.status != 200
    ]


def _stop_unknown_segment(world: World) -> None:
    """Stop bad prompts, a fault that lasts, unless the routers must know them."""
    segment = world.callers.bad_segment
    ends_s = [at_s for ended, at_s in world.segment_ends if ended == segment]
    known = len(ends_s) >= ENDS_UNTIL_KNOWN
    if not known or time.monotonic() - ends_s[-1] < 2 * SETTLE_S:
        world.callers.bad_segment = None


def _summary(world: World, faults: int) -> str:
    statuses = Counter(str(a.status) for a in world.callers.attempts)
    counts = " ".join(f"{status}:{count}" for status, count in sorted(statuses.items()))
    busy = (
        ", machine overloaded at times"
        if world.disruptions.ever_disrupted(HARNESS)
        else ""
    )
    return f"{faults} faults, {len(world.arrivals)} runs, answers {counts}{busy}"


def _seeds(text: str, seconds: float) -> list[tuple[int, float]]:
    seeds: list[int] = []
    for part in text.split(","):
        first, _, last = part.partition("-")
        seeds += range(int(first), int(last or first) + 1)
    return [(seed, seconds) for seed in seeds]


def _regressions() -> list[tuple[int, float]]:
    lines = (ROOT / "soak" / "regressions.txt").read_text().splitlines()
    words = [line.split() for line in lines if line and not line.startswith("#")]
    return [(int(seed), float(seconds)) for seed, seconds, *_ in words]


@app.default
def main(
    *,
    seeds: str = "1",
    regressions: bool = False,
    seconds: float = 30.0,
    routers: int = 4,
    engines: int = 5,
    keep: Path | None = None,
) -> None:
    """Run seeds one after the other; the exit status is 1 on any violation.

    Parameters
    ----------
    seeds : str
        Seeds and ranges of seeds, separated by commas.
    regressions : bool
        Run the seeds of regressions.txt instead, each with its own duration.
    seconds : float
        Duration of the fault injection.
    routers, engines : int
        Number of each.
    keep : Path, optional
        Directory in which the settings and logs of each seed are kept.
    """
    # Turns SIGTERM into KeyboardInterrupt, so that the routers are stopped too.
    signal.signal(signal.SIGTERM, signal.default_int_handler)
    failed = 0
    for seed, length_s in _regressions() if regressions else _seeds(seeds, seconds):
        with tempfile.TemporaryDirectory() as temporary:
            folder = Path(temporary)
            if keep is not None:
                folder = keep / f"seed-{seed}"
                folder.mkdir(parents=True, exist_ok=True)
            plan = SoakPlan(seed, length_s, routers, engines)
            began_s = time.monotonic()
            violations, summary = asyncio.run(run_seed(plan, folder))
        took_s = time.monotonic() - began_s
        verdict = f"{len(violations)} VIOLATIONS" if violations else "passed"
        print(f"seed {seed}: {verdict}, {summary}, {took_s:.0f} s", flush=True)
        for text in violations[:10]:
            print(f"  {text}", flush=True)
        failed += bool(violations)
    sys.exit(1 if failed else 0)


if __name__ == "__main__":
    app()
