"""Measures CPU time per relayed token, request and keyed action of a real router.

One router relays answers of one engine stand-in. CPU time and resident memory of the
router process are read from its metrics page. Idle CPU time is measured first and
subtracted; short and long answers give two equations for the cost of a request and
of a token. The last line scales these costs to the target size of the design.
"""

from __future__ import annotations

import asyncio
import os
import sys
import time
from collections import Counter
from dataclasses import dataclass
from itertools import count
from pathlib import Path

from prometheus_client.parser import text_string_to_metric_families

from carobstair.load.client import Client
from carobstair.load.plan import PlannedAction, PlannedChat
from fleet import Fleet, FleetPlan, PlannedUpstream, key_of

ROUTER, MODEL, SERVICE, WORKSPACE = "entry-1", "model", "ledger", "callers"
SLOTS = 64
IDLE_S, PHASE_S, SETTLE_S = 10.0, 15.0, 3.0
SHORT_TOKENS, LONG_TOKENS = 2, 200
# Load of one of 370 nodes, the target size in docs/design.md.
NODE_TOKENS_PER_S, NODE_REQUESTS_PER_S = 1_300_000 / 370, 2_800 / 370
PLAN = FleetPlan(
    routers=((ROUTER, "zone-a"),),
    upstreams=(
        PlannedUpstream(
            "engine-1",
            MODEL,
            "engine",
            "zone-a",
            SLOTS,
            SLOTS,
            (),
            (
                *("--cold-s", "0", "--max-running", str(SLOTS)),
                *("--base-interval-ms", "20", "--interval-ms-per-request", "0"),
            ),
        ),
        PlannedUpstream("ledger-1", SERVICE, "service", "zone-a", SLOTS, SLOTS),
    ),
    workspaces={WORKSPACE: 1.0},
)
NUMBERS = count(1)


@dataclass(frozen=True)
class Reading:
    """One scrape of the router's metrics page."""

    at_s: float
    cpu_s: float
    kernel_s: float
    resident_bytes: float
    tokens: float
    requests: float


@dataclass(frozen=True)
class Phase:
    """Cost of one kind of load, with the idle cost included."""

    name: str
    seconds: float
    cpu_s: float
    kernel_s: float
    tokens: float
    requests: float
    resident_bytes: float

    @property
    def core_fraction(self) -> float:
        """Fraction of a core in use."""
        return self.cpu_s / self.seconds


async def read(fleet: Fleet) -> Reading:
    """Scrape the router."""
    found: Counter[str] = Counter()
    for family in text_string_to_metric_families(await fleet.metrics(ROUTER)):
        for sample in family.samples:
            found[sample.name] += sample.value
    intervals = found["carobstair_token_interval_seconds_count"]
    return Reading(
        time.monotonic(),
        found["process_cpu_seconds_total"],
        kernel_s(fleet.processes[ROUTER].pid),
        found["process_resident_memory_bytes"],
        # The last interval of each answer ends with its closing event.
        intervals,
        found["carobstair_requests_total"],
    )


def kernel_s(pid: int) -> float:
    """Return the CPU seconds that a process has spent in system calls."""
    # The name, which may hold spaces, ends with the last bracket; the system time
    # is the 15th field of the line, the 13th after the name.
    fields = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    return int(fields[12]) / os.sysconf("SC_CLK_TCK")


async def measure(
    fleet: Fleet, name: str, seconds: float, make_request, clients: int
) -> Phase:
    """Run closed-loop clients and return the router's cost between two scrapes."""
    stop = asyncio.Event()

    async def loop(client: Client) -> None:
        while not stop.is_set():
            outcome = await client.send(make_request())
            if outcome.result != "answered":
                raise RuntimeError(f"{outcome.result}: {outcome.detail}")

    client = Client(
        fleet.session, [fleet.address(ROUTER)], {WORKSPACE: key_of(WORKSPACE)}
    )
    async with asyncio.TaskGroup() as group:
        for _ in range(clients):
            group.create_task(loop(client))
        await asyncio.sleep(SETTLE_S)
        begin = await read(fleet)
        await asyncio.sleep(seconds)
        end = await read(fleet)
        stop.set()
    return Phase(
        name,
        end.at_s - begin.at_s,
        end.cpu_s - begin.cpu_s,
        end.kernel_s - begin.kernel_s,
        end.tokens - begin.tokens,
        end.requests - begin.requests,
        end.resident_bytes,
    )


def chat(tokens: int):
    """Return a function that creates chats with answers of one length."""

    def make_request() -> PlannedChat:
        number = next(NUMBERS)
        prompt = f"{number} answer_tokens={tokens}"
        return PlannedChat(0.0, number, WORKSPACE, 0, MODEL, prompt, tokens)

    return make_request


def action() -> PlannedAction:
    """Return a new keyed action."""
    number = next(NUMBERS)
    return PlannedAction(0.0, number, WORKSPACE, 0, SERVICE, "holds", f"key-{number}")


def costs(idle: Phase, short: Phase, long: Phase) -> tuple[float, float]:
    """Return CPU seconds per token and per request.

    Parameters
    ----------
    idle, short, long : Phase
        Phases without load, with short and with long answers.
    """
    short_cpu_s, long_cpu_s = (
        short.cpu_s - idle.core_fraction * short.seconds,
        long.cpu_s - idle.core_fraction * long.seconds,
    )
    determinant = short.tokens * long.requests - long.tokens * short.requests
    per_token = (
        short_cpu_s * long.requests - long_cpu_s * short.requests
    ) / determinant
    per_request = (short.tokens * long_cpu_s - long.tokens * short_cpu_s) / determinant
    return per_token, per_request


async def run() -> int:
    """Measure all phases and print them."""
    async with Fleet(PLAN) as fleet:
        await asyncio.sleep(SETTLE_S)
        idle = await measure(fleet, "idle", IDLE_S, None, 0)
        short = await measure(fleet, "short", PHASE_S, chat(SHORT_TOKENS), 8)
        long = await measure(fleet, "long", PHASE_S, chat(LONG_TOKENS), 16)
        actions = await measure(fleet, "actions", PHASE_S, action, 4)
    print(
        f"{'phase':<9}{'tokens/s':>10}{'requests/s':>12}{'core':>8}{'kernel':>8}{'MB':>8}"
    )
    for phase in (idle, short, long, actions):
        print(
            f"{phase.name:<9}{phase.tokens / phase.seconds:>10.0f}"
            f"{phase.requests / phase.seconds:>12.1f}{phase.core_fraction:>8.1%}"
            f"{phase.kernel_s / max(phase.cpu_s, 1e-9):>8.0%}"
            f"{phase.resident_bytes / 1e6:>8.1f}"
        )
    per_token, per_request = costs(idle, short, long)
    per_action = (
        actions.cpu_s - idle.core_fraction * actions.seconds
    ) / actions.requests
    print(f"CPU per relayed token {per_token * 1e6:.0f} us")
    print(f"CPU per chat request {per_request * 1e3:.2f} ms")
    print(f"CPU per keyed action {per_action * 1e3:.2f} ms")
    cores = NODE_TOKENS_PER_S * per_token + NODE_REQUESTS_PER_S * per_request
    print(
        f"at {NODE_TOKENS_PER_S:.0f} tokens/s and {NODE_REQUESTS_PER_S:.1f} requests/s "
        f"of one node of 370: {cores:.2f} cores"
    )
    return 0


if __name__ == "__main__":
    sys.exit(asyncio.run(run()))
