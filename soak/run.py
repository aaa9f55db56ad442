"""Randomized soak: real router processes on loopback, with faults from outside.

    python soak/run.py --seeds 1-50 --seconds 30

A run is made of a seed: the same seed draws the same faults at the same times.
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

from checks import find_violations  # noqa: E402
from clock import HARNESS, watch_own_lag  # noqa: E402
from faults import draw_faults, play  # noqa: E402
from world import SoakPlan, World  # noqa: E402

__all__ = ["main", "run_seed"]

# Within this time all routers serve again after the last fault.
RECOVERY_S = 12.0
LAST_REQUESTS = 20

app = cyclopts.App("soak", help="Randomized soak of the edge router.")


async def run_seed(plan: SoakPlan, folder: Path) -> tuple[list[str], str]:
    """Play one seed; return what was broken and a line of figures."""
    world = World(plan, folder)
    faults = draw_faults(plan.seed, plan.seconds)
    sender = None
    lag = asyncio.create_task(watch_own_lag(world.disturbed))
    try:
        await world.start()
        sender = asyncio.create_task(world.callers.run())
        await play(world, faults)
        broken = await _recover(world)
    finally:
        lag.cancel()
        if sender is not None:
            sender.cancel()
            await world.callers.close()
        await world.close()
    broken += find_violations(world)
    return broken, _figures(world, len(faults))


async def _recover(world: World) -> list[str]:
    for router in world.routers:
        router.signal(signal.SIGCONT)
        if not router.running:
            await router.start()
    late = await world.until_ready(RECOVERY_S)
    if late:
        return [f"recovery: {', '.join(late)} not ready after {RECOVERY_S:.0f} s"]
    # Upstreams that were cold or unreachable at the end come back meanwhile.
    await asyncio.sleep(3.0)
    world.callers.keys = ["key1"]
    tasks = [
        world.callers.send(world.routers[n % len(world.routers)], "safe")
        for n in range(LAST_REQUESTS)
    ]
    attempts = await asyncio.gather(*tasks)
    return [
        f"recovery: {a.request_id} at {a.router} got {a.status} {a.error}"
        for a in attempts
        if a.status != 200
    ]


def _figures(world: World, faults: int) -> str:
    statuses = Counter(str(a.status) for a in world.callers.attempts)
    told = " ".join(f"{status}:{count}" for status, count in sorted(statuses.items()))
    busy = ", machine too busy at times" if world.disturbed.any(HARNESS) else ""
    return f"{faults} faults, {len(world.arrivals)} runs, answers {told}{busy}"


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
    """Play seeds one after the other; the status is 1 if a promise was broken.

    Parameters
    ----------
    seeds : str
        Numbers and ranges, separated by commas.
    regressions : bool
        Play the seeds that once broke something instead, each with its length.
    seconds : float
        Length of the time with faults.
    routers, engines : int
        How many of each.
    keep : Path, optional
        Where logs of seeds that broke something are left.
    """
    # Ends the routers too when the soak itself is ended.
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
            broken, figures = asyncio.run(run_seed(plan, folder))
        took_s = time.monotonic() - began_s
        verdict = f"{len(broken)} BROKEN" if broken else "held"
        print(f"seed {seed}: {verdict}, {figures}, {took_s:.0f} s", flush=True)
        for text in broken[:10]:
            print(f"  {text}", flush=True)
        failed += bool(broken)
    sys.exit(1 if failed else 0)


if __name__ == "__main__":
    app()
