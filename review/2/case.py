"""Entries of another writer whose bytes can't be read."""

import asyncio
import itertools
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent / "lib"))

from documents import KEY, configuration, route  # noqa: E402
from harness import Deployment, Engine, call, run_case, trouble  # noqa: E402

CONTACT_S = 3.0
TIMEOUT_S = 1.0
LATE_S = 0.5
# The rule speaks of more than half; fewer requests than this show nothing.
FEWEST = 20
# Below valueBytes of the settings, 1,048,576. Three entries, each written as often as
# an engine writes its own.
ENTRY_BYTES = 1_000_000
ENTRIES = 3
WRITE_INTERVAL_S = 1.2
REQUESTS_PER_S = 20.0
LENGTH_S = 24.0


async def case(deployment: Deployment) -> list[str]:
    """Play the case."""
    store, record = deployment.store, deployment.record
    reads = route("read", "safe", timeoutMs=1000 * TIMEOUT_S, maxAttempts=2)
    store.put("config", "main", configuration(1, [reads]))
    engines = [Engine(f"e{n}", store, record, zone="ab"[n]) for n in range(2)]
    await deployment.start(engines, routers=2)
    await asyncio.sleep(CONTACT_S)

    numbers = itertools.count(1)
    # How long each request waited for its answer.
    waits_s: list[float] = []
    clients: set[asyncio.Task] = set()

    async def read(router) -> None:
        attempt_id = f"{next(numbers):016x}"
        headers = {
            "Carobstair-Attempt-Id": attempt_id,
            "Carobstair-Deadline-Ms": "10000",
            "Carobstair-Key": KEY,
        }
        sent_s = time.monotonic()
        status = 0
        try:
            answer = await call(router.front, "GET", "/read/x", headers)
            status = answer.status
        except (OSError, TimeoutError) as error:
            record.write(f"{attempt_id} at {router.name}: {error!r}")
            if isinstance(error, OSError) and not isinstance(error, TimeoutError):
                return
        waits_s.append(time.monotonic() - sent_s)
        record.write(
            f"{attempt_id} at {router.name}: {status} after {waits_s[-1]:.2f} s"
        )

    async def write() -> None:
        for number in itertools.count(1):
            for entry in range(ENTRIES):
                name = f"odd-{entry}"
                depth = ENTRY_BYTES // 2 - number
                raw = b"[" * depth + b"]" * depth
                store.raw_specs.pop(f"raw-{name}-{number - 1}", None)
                store.raw_specs[f"raw-{name}-{number}"] = raw
                store.put("servers", name, f"raw-{name}-{number}")
            record.write(f"another writer writes {ENTRIES} entries, time {number}")
            await asyncio.sleep(WRITE_INTERVAL_S)

    writer = asyncio.create_task(write()) if trouble() else None
    until_s = time.monotonic() + LENGTH_S
    routers = itertools.cycle(deployment.routers)
    while time.monotonic() < until_s:
        task = asyncio.create_task(read(next(routers)))
        clients.add(task)
        task.add_done_callback(clients.discard)
        await asyncio.sleep(1.0 / REQUESTS_PER_S)
    if writer is not None:
        writer.cancel()
    if clients:
        await asyncio.wait(clients, timeout=20.0)

    open_at_timeout = [w for w in waits_s if w > TIMEOUT_S]
    late = [w for w in open_at_timeout if w > TIMEOUT_S + LATE_S]
    summary = (
        f"of {len(waits_s)} requests {len(open_at_timeout)} had no answer at the "
        f"route's timeout, and {len(late)} of these none {LATE_S} s later; the longest "
        f"wait was {max(waits_s):.1f} s"
    )
    record.write(summary)
    is_broken = len(open_at_timeout) >= FEWEST and 2 * len(late) > len(open_at_timeout)
    return [summary] if is_broken else []


if __name__ == "__main__":
    run_case(__file__, case)
