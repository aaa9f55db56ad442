"""A part of prompts that crashes engines, in long and in short answers."""

import asyncio
import itertools
import random
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent / "lib"))

from documents import KEY, configuration, route  # noqa: E402
from harness import Deployment, Engine, call, run_case, trouble  # noqa: E402

CONTACT_S = 3.0
# Bound of the rule, and the crash from which it counts.
MOST_AFTER = 3
COUNTED_CRASH = 5
# A part that crashes each engine which begins to write an answer on it.
BAD_PART = "bad0c0de"
# From the first event to the crash, and from the crash to the engine's return.
CRASH_AFTER_S = 0.1
BACK_AFTER_S = 3.0
# A step takes 3.79 ms and an event holds 5 tokens.
EVENT_GAP_S = 0.019
PREFILL_S = 0.05
# Events of an answer, by route, as on the sheet of the deployment.
EVENTS = {"question": 58, "tag": 4}
SOUND_PER_S = 15.0
BAD_PER_S = 1.0
LENGTH_S = 25.0


async def case(deployment: Deployment) -> list[str]:
    """Play the case."""
    store, record = deployment.store, deployment.record
    streams = {"service": "llm", "sticky": True, "targetGapMs": 400}
    routes = [
        route("question", "streaming", timeoutMs=12000, **streams),
        route("tag", "streaming", timeoutMs=3000, **streams),
    ]
    store.put("config", "main", configuration(1, routes))
    engines = [
        Engine(f"e{n}", store, record, service="llm", zone="ab"[n % 2])
        for n in range(5)
    ]
    crashes: list[float] = []
    # Monotonic times at which requests with the part reached engines.
    reached: list[float] = []
    returns: set[asyncio.Task] = set()

    async def crash(engine: Engine) -> None:
        born_ms = engine.born_ms
        await asyncio.sleep(CRASH_AFTER_S)
        if engine.born_ms != born_ms or not engine.listens:
            # Another request has ended this incarnation.
            return
        engine.stop()
        crashes.append(time.monotonic())
        record.write(f"{engine.name} crashes, number {len(crashes)}")
        await asyncio.sleep(BACK_AFTER_S)
        await engine.boot()
        record.write(f"{engine.name} is back")

    def serve(engine: Engine):
        async def run(request, writer) -> bool:
            prefix = request.headers["carobstair-prompt-prefix"].split(",")
            parts = [part.partition(":")[0] for part in prefix]
            is_bad = BAD_PART in parts[:-1]
            if is_bad:
                reached.append(time.monotonic())
            await asyncio.sleep(PREFILL_S)
            chunked = ("Transfer-Encoding: chunked", "Content-Type: text/event-stream")
            writer.write(engine.head(request, *chunked))
            for number in range(1, EVENTS[request.target.split("/")[1]] + 1):
                event = f"id: {number}\ndata: five tokens of text\n\n".encode()
                writer.write(b"%x\r\n%s\r\n" % (len(event), event))
                await writer.drain()
                if number == 1 and is_bad and trouble():
                    task = asyncio.create_task(crash(engine))
                    returns.add(task)
                    task.add_done_callback(returns.discard)
                await asyncio.sleep(EVENT_GAP_S)
            writer.write(b"0\r\n\r\n")
            return True

        return run

    for engine in engines:
        engine.run = serve(engine)
    await deployment.start(engines, routers=2)

    numbers = itertools.count(1)
    rng = random.Random(45)
    clients: set[asyncio.Task] = set()

    async def ask(path: str, is_bad: bool) -> None:
        number = next(numbers)
        attempt_id = f"{number:016x}"
        middle = BAD_PART if is_bad else f"d0c{rng.randrange(6):05x}"
        router = rng.choice(deployment.routers)
        headers = {
            "Carobstair-Attempt-Id": attempt_id,
            "Carobstair-Deadline-Ms": "12000" if path == "question" else "3000",
            "Carobstair-Key": KEY,
            "Carobstair-Model": "m",
            "Carobstair-Token-Counts": f"826,{5 * EVENTS[path]}",
            "Carobstair-Prompt-Prefix": f"5c1e07a2:198,{middle}:410,{number:08x}:218",
        }
        kind = "bad" if is_bad else "sound"
        try:
            answer = await call(router.front, "POST", f"/{path}/x", headers, b"{}")
        except (OSError, TimeoutError) as error:
            record.write(f"{kind} {attempt_id} at {router.name}: {error!r}")
            return
        record.write(
            f"{kind} {path} {attempt_id} at {router.name}: {answer.status}, "
            f"{'whole' if answer.complete else 'cut'}"
        )

    async def send(per_s: float, is_bad: bool) -> None:
        while True:
            await asyncio.sleep(rng.expovariate(per_s))
            path = rng.choice(sorted(EVENTS))
            task = asyncio.create_task(ask(path, is_bad))
            clients.add(task)
            task.add_done_callback(clients.discard)

    senders = [asyncio.create_task(send(SOUND_PER_S, False))]
    await asyncio.sleep(CONTACT_S)
    senders.append(asyncio.create_task(send(BAD_PER_S, True)))
    await asyncio.sleep(LENGTH_S)
    for sender in senders:
        sender.cancel()
    await asyncio.sleep(1.0)
    for task in (*returns, *clients):
        task.cancel()

    late = []
    if len(crashes) >= COUNTED_CRASH:
        from_s = crashes[COUNTED_CRASH - 1] + CONTACT_S
        late = [at_s for at_s in reached if at_s > from_s]
    summary = (
        f"{len(crashes)} crashes; of {len(reached)} requests with the part that "
        f"reached engines, {len(late)} did later than {CONTACT_S} s after the fifth"
    )
    record.write(summary)
    return [summary] if len(late) > MOST_AFTER else []


if __name__ == "__main__":
    run_case(__file__, case)
