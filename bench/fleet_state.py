"""Checks tickets and membership on real processes, with restarts and an outage.

Run with ``python bench/fleet_state.py``; it takes about a minute and exits with 1
if a ticket was late, was reverted or was written twice.
"""

from __future__ import annotations

import asyncio
import json
import signal
import sys
import time
from dataclasses import dataclass, field

from fleet import OPERATOR_KEY, Fleet, FleetPlan, PlannedUpstream

ZONES = ("lac", "ariana", "ben-arous")
ROUTERS = 6
IN_FORCE_LIMIT_S = 4.0
CATCH_UP_S = 15.0
TICKETS = 10
PLAN = FleetPlan(
    routers=tuple((f"entry-{i + 1}", ZONES[i % 3]) for i in range(ROUTERS)),
    upstreams=(
        PlannedUpstream("engine-1", "proposals", "engine", "lac"),
        PlannedUpstream("engine-2", "proposals", "engine", "ariana"),
    ),
    workspaces={"agents": 1.0},
)
NAMES = [name for name, _ in PLAN.routers]


@dataclass
class Findings:
    """Measurements and failed checks."""

    rows: dict[str, str] = field(default_factory=dict)
    failures: list[str] = field(default_factory=list)

    def check(self, holds: bool, text: str) -> None:
        """Record a check, with the text to print if it failed."""
        if not holds:
            self.failures.append(text)


async def zone_ticket(fleet: Fleet, router: str, in_service: bool) -> int:
    """File a ticket about a zone at a router."""
    ticket = {"zones": {"ariana": {"in_service": in_service}}}
    return await fleet.file_ticket(ticket, router)


async def wait_in_force(
    fleet: Fleet, number: int, limit_s: float, names: list[str]
) -> float | None:
    """Return the time until every named router has a ticket in force, or None."""
    began_s = time.monotonic()
    while time.monotonic() < began_s + limit_s:
        in_force_numbers = [(await fleet.in_force(name))["number"] for name in names]
        if min(in_force_numbers) >= number:
            return time.monotonic() - began_s
        await asyncio.sleep(0.02)
    return None


async def run_ticket_command(fleet: Fleet, *arguments: str) -> tuple[int, str]:
    """Run ``carobstair-ticket`` and return its exit status and its output."""
    path = fleet.folder / "ticket.ini"
    address = fleet.address(NAMES[0])
    path.write_text(f"[operator]\naddress = {address}\napi_key = {OPERATOR_KEY}\n")
    process = await asyncio.create_subprocess_exec(
        sys.executable,
        "-m",
        "carobstair.cli.ticket",
        *arguments,
        "--settings",
        str(path),
        stdout=asyncio.subprocess.PIPE,
        stderr=asyncio.subprocess.STDOUT,
    )
    output, _ = await process.communicate()
    return process.returncode, output.decode()


async def plain_tickets(fleet: Fleet, findings: Findings) -> None:
    """File tickets at all routers in turn."""
    times = []
    for i in range(TICKETS):
        number = await zone_ticket(fleet, NAMES[i % ROUTERS], i % 2 == 1)
        took_s = await wait_in_force(fleet, number, IN_FORCE_LIMIT_S, NAMES)
        findings.check(took_s is not None, f"ticket {number} was late")
        times.append(took_s or IN_FORCE_LIMIT_S)
    findings.rows["in force everywhere, worst of 10 (s)"] = f"{max(times):.3f}"


async def ticket_race(fleet: Fleet, findings: Findings) -> None:
    """File two tickets with the same number at once; one must be refused."""
    number = (await fleet.in_force(NAMES[0]))["number"] + 1
    body = {"zones": {"ariana": {"in_service": True}}, "number": number}
    results = await asyncio.gather(
        *(fleet.file_ticket({**body, "author": n}, n) for n in NAMES[:2]),
        return_exceptions=True,
    )
    winners = [r for r in results if r == number]
    refused = [str(r) for r in results if isinstance(r, RuntimeError)]
    findings.check(len(winners) == 1, f"race: {results}")
    refusal_correct = (
        len(refused) == 1 and "'ran': 'no'" in refused[0] and "by entry-" in refused[0]
    )
    findings.check(refusal_correct, f"race: {refused}")
    findings.rows["race for one number"] = f"{len(winners)} winner"


async def lost_answer(fleet: Fleet, findings: Findings) -> None:
    """File a ticket while the store drops the answer to the ticket's write."""
    before = (await fleet.in_force(NAMES[0]))["number"]
    await fleet.put_json(fleet.store_address + "/control", {"lose_answers": 1})
    number = await zone_ticket(fleet, NAMES[2], True)
    findings.check(number == before + 1, f"lost answer: {number} after {before}")
    took_s = await wait_in_force(fleet, number, IN_FORCE_LIMIT_S, NAMES)
    findings.check(took_s is not None, "ticket with a lost answer was late")


async def outage(fleet: Fleet, findings: Findings) -> None:
    """Kill and restart a router while the store is down, then restore the store."""
    before = (await fleet.in_force(NAMES[0]))["number"]
    await fleet.put_json(fleet.store_address + "/control", {"down": True})
    try:
        await zone_ticket(fleet, NAMES[1], True)
        findings.check(False, "a ticket was accepted without a store")
    except RuntimeError as error:
        findings.check("'ran': 'no'" in str(error), f"outage: {error}")
    await fleet.end(NAMES[0], signal.SIGKILL)
    began_s = time.monotonic()
    fleet.start_router(NAMES[0])
    await fleet.wait_ready(NAMES[0])
    ready_s = time.monotonic() - began_s
    findings.rows["start from peers without a store (s)"] = f"{ready_s:.2f}"
    in_force_number = (await fleet.in_force(NAMES[0]))["number"]
    findings.check(
        in_force_number == before, f"start from peers: {in_force_number}, not {before}"
    )
    await fleet.put_json(fleet.store_address + "/control", {"down": False})
    number = await zone_ticket(fleet, NAMES[0], True)
    took_s = await wait_in_force(fleet, number, CATCH_UP_S, NAMES)
    findings.check(took_s is not None, "no convergence after the outage")


async def paused_router(fleet: Fleet, findings: Findings) -> None:
    """Pause a router, file a ticket, and check that the router catches up."""
    process = fleet.processes[NAMES[3]]
    process.send_signal(signal.SIGSTOP)
    try:
        number = await zone_ticket(fleet, NAMES[1], True)
        others = [n for n in NAMES if n != NAMES[3]]
        took_s = await wait_in_force(fleet, number, IN_FORCE_LIMIT_S, others)
        findings.check(took_s is not None, "late while one router was paused")
        await asyncio.sleep(8.0)
        status, text = await run_ticket_command(fleet, "status", str(number))
        findings.rows["status while one is paused"] = f"exit {status}"
        listed = json.loads(text)["in_force_on"]
        findings.check(listed == others, f"status: {text}")
    finally:
        process.send_signal(signal.SIGCONT)
    took_s = await wait_in_force(fleet, number, CATCH_UP_S, NAMES)
    findings.check(took_s is not None, "the paused router did not catch up")
    findings.rows["paused router caught up after (s)"] = f"{took_s or -1:.2f}"
    status, text = await run_ticket_command(
        fleet, "status", str(number), "--wait", "20"
    )
    findings.check(status == 0 and "6 of 6" in text, f"status --wait: {text}")


async def orders(fleet: Fleet, findings: Findings) -> None:
    """Set wanted versions of both engines and check the orders that arrive."""
    engines = {u.name: fleet.upstream_state(u) for u in PLAN.upstreams}
    for i, state in enumerate(engines.values()):
        state.update(wanted_versions=["base-2"], checks_fencing=i == 0)
    began_s = time.monotonic()
    await fleet.file_ticket({"upstreams": engines})
    received: list[list] = []
    while time.monotonic() < began_s + CATCH_UP_S:
        urls = [fleet.upstream_address(name) + "/control" for name in engines]
        received = [(await fleet.get_json(url))["orders"] for url in urls]
        if all(received):
            findings.rows["orders given after (s)"] = (
                f"{time.monotonic() - began_s:.2f}"
            )
            break
        await asyncio.sleep(0.05)
    await asyncio.sleep(5.0)
    received = [(await fleet.get_json(url))["orders"] for url in urls]
    expected = [{"versions": ["base-2"], "role": ""}]
    findings.check(received == [expected, expected], f"orders: {received}")


async def snapshot(fleet: Fleet, findings: Findings) -> None:
    """Restart a router after a snapshot and read a ticket that precedes it."""
    for i in range(TICKETS):
        await zone_ticket(fleet, NAMES[1], i % 2 == 1)
    await asyncio.sleep(3.0)
    stored = await fleet.get_json(fleet.store_address + "/objects/snapshot")
    findings.rows["snapshot at ticket"] = str(stored["number"])
    await fleet.end(NAMES[0], signal.SIGKILL)
    fleet.start_router(NAMES[0])
    await fleet.wait_ready(NAMES[0])
    status, text = await run_ticket_command(fleet, "show", "1")
    findings.check(status == 0 and '"workspaces"' in text, f"show 1: {text}")


async def store_calls(fleet: Fleet, findings: Findings) -> None:
    """Count the store calls during ten seconds without tickets or faults."""
    url = fleet.store_address + "/control"
    before = (await fleet.get_json(url))["calls"]
    await asyncio.sleep(10.0)
    after = (await fleet.get_json(url))["calls"]
    rate = (sum(after.values()) - sum(before.values())) / 10.0
    findings.rows["store calls per second"] = f"{rate:.1f}"


CHECKS = (
    plain_tickets,
    ticket_race,
    lost_answer,
    outage,
    paused_router,
    orders,
    snapshot,
    store_calls,
)


async def run() -> int:
    """Run all checks and return the exit status."""
    findings = Findings()
    async with Fleet(PLAN) as fleet:
        for check in CHECKS:
            await check(fleet, findings)
        in_force_numbers = {(await fleet.in_force(n))["number"] for n in NAMES}
        findings.check(len(in_force_numbers) == 1, f"not converged: {in_force_numbers}")
        exits = [await fleet.end(name) for name in NAMES]
        findings.check(not any(exits), f"exit statuses {exits}")
    width = max(map(len, findings.rows))
    for name, value in findings.rows.items():
        print(f"{name:<{width}}  {value}")
    for text in findings.failures:
        print("failed:", text)
    print("failed" if findings.failures else "all checks held")
    return 1 if findings.failures else 0


if __name__ == "__main__":
    sys.exit(asyncio.run(run()))
