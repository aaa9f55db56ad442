"""A revoked key after the store's answers to two watches were lost."""

import asyncio
import itertools
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent / "lib"))

from documents import KEY, configuration, route  # noqa: E402
from harness import Deployment, Engine, call, run_case, trouble  # noqa: E402

CONTACT_S = 3.0
CONFIG_APPLY_S = 2.0
OUTER_S = 5.0
# The longest span of lost answers in the site file, and the largest share.
LOST_FOR_S = 4.5
LOST_SHARE = 0.35
REVOKED_KEY = "k7b2ex5wa5xwyhks8nbk"
# Requests are sent until this long after the new version was acknowledged.
WATCHED_S = 24.0


async def case(deployment: Deployment) -> list[str]:
    """Play the case."""
    store, record = deployment.store, deployment.record
    reads = route("read", "safe", maxAttempts=2)
    store.put("config", "main", configuration(1, [reads], (KEY, REVOKED_KEY)))
    engines = [Engine(f"e{n}", store, record, zone="ab"[n]) for n in range(2)]
    await deployment.start(engines, routers=2)
    await asyncio.sleep(1.0)

    lost_until_s = time.monotonic() + LOST_FOR_S
    answers_before = store.answers

    def lose(request, document) -> bool:
        if time.monotonic() > lost_until_s:
            return False
        return "/config?watch=" in request.target and bool(document["events"])

    if trouble():
        store.lose = lose
    await asyncio.sleep(0.1)
    store.put("config", "main", configuration(2, [reads]))
    acknowledged_s = time.monotonic()
    record.write("version 2 without the revoked key acknowledged")
    await asyncio.sleep(lost_until_s - time.monotonic())
    store.lose = None
    answers = store.answers - answers_before
    record.write(
        f"store: {store.lost} of {answers} answers lost in {LOST_FOR_S} s, "
        "none from here on"
    )
    if trouble() and not 0 < store.lost <= LOST_SHARE * answers:
        raise RuntimeError("the share of lost answers is not the one intended")
    quiet_s = max(lost_until_s, time.monotonic())
    judged_s = max(quiet_s + CONTACT_S, acknowledged_s + CONFIG_APPLY_S + OUTER_S)
    await asyncio.sleep(max(0.0, judged_s - time.monotonic()))
    record.write("from here on requests are judged")

    broken = []
    number = itertools.count(1)
    while time.monotonic() < acknowledged_s + WATCHED_S:
        for router in deployment.routers:
            sent_s = time.monotonic()
            attempt_id = f"{next(number):016x}"
            headers = {
                "Carobstair-Attempt-Id": attempt_id,
                "Carobstair-Deadline-Ms": "1000",
                "Carobstair-Key": REVOKED_KEY,
            }
            answer = await call(router.front, "GET", "/read/x", headers)
            after_s = sent_s - acknowledged_s
            ran = [e.name for e in engines if attempt_id in {run[0] for run in e.runs}]
            record.write(
                f"{router.name} answers {attempt_id} with {answer.status}, sent "
                f"{after_s:.2f} s after the acknowledgement, run by {ran}"
            )
            if ran:
                broken.append(
                    f"{attempt_id} with the revoked key ran at {ran[0]}, sent by "
                    f"{router.name} {after_s:.2f} s after the acknowledgement"
                )
        await asyncio.sleep(0.25)
    return broken


if __name__ == "__main__":
    run_case(__file__, case)
