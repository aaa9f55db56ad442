"""Checks that the burn-rate report names a slow workspace within one window.

Starts three routers and their stand-ins, sends load of four workspaces, stalls the
engine of one of them in short bursts, and collects scrapes with
``carobstair-report``. Exits with 0 if a fast or slow alarm names this workspace
within one window (5 min) of the injection, neither another workspace nor the fleet
as a whole has an alarm, the reported start of the alarm is right, and a router that
is stopped afterwards is reported as down.
"""

from __future__ import annotations

import asyncio
import json
import sys
import time

from carobstair.load.runner import run_load
from carobstair.load.settings import LoadSection, LoadSettings, WorkspaceLoad
from fleet import Fleet, FleetPlan, PlannedUpstream, key_of

ZONES = ("zone-a", "zone-b", "zone-c")
# The limits of cold engines ramp up in about 8 s, during which requests are late.
WARM_UP_S, HEALTHY_S, WINDOW_S, SCRAPE_S = 12.0, 15.0, 300.0, 2.0
# The slots of the plot are two scrapes wide, and the queue grows only gradually.
START_TOLERANCE_S = 15.0
STALLED_S, RUNNING_S = 0.9, 0.1
SLOWED, SLOW_ENGINE = "slowed", "engine-slow"
WEIGHTS = {SLOWED: 1.0, "large-1": 10.0, "large-2": 10.0, "large-3": 10.0}
PLAN = FleetPlan(
    routers=tuple((f"entry-{n + 1}", zone) for n, zone in enumerate(ZONES)),
    upstreams=(
        *(
            PlannedUpstream(
                f"engine-{n + 1}", "busy", "engine", zone, arguments=("--cold-s", "1")
            )
            for n, zone in enumerate(ZONES)
        ),
        PlannedUpstream(
            SLOW_ENGINE, "rare", "engine", "zone-a", arguments=("--cold-s", "1")
        ),
    ),
    workspaces=dict.fromkeys(WEIGHTS, 1.0),
)


def load_settings(fleet: Fleet) -> LoadSettings:
    """Return a load of which 1/31 is that of the slowed workspace."""
    return LoadSettings(
        load=LoadSection(
            routers=[fleet.address(name) for name, _ in PLAN.routers],
            rate_per_s=31.0,
            seconds=WARM_UP_S + HEALTHY_S + WINDOW_S,
            seed=3,
            progress_s=15.0,
        ),
        workspace={
            name: WorkspaceLoad(
                key=key_of(name),
                weight=weight,
                model="rare" if name == SLOWED else "busy",
                median_tokens=8,
                sigma=0.3,
            )
            for name, weight in WEIGHTS.items()
        },
    )


async def stall_in_bursts(fleet: Fleet) -> None:
    """Stall the engine of the slowed workspace in bursts until cancelled."""
    url = fleet.upstream_address(SLOW_ENGINE) + "/control"
    while True:
        await fleet.put_json(url, {"stalled": True})
        await asyncio.sleep(STALLED_S)
        await fleet.put_json(url, {"stalled": False})
        await asyncio.sleep(RUNNING_S)


class Reporter:
    """Runs ``carobstair-report`` as an operator does."""

    def __init__(self, fleet: Fleet):
        self._settings = fleet.folder / "report.ini"
        self._history = fleet.folder / "history.jsonl"
        self.page = fleet.folder / "report.html"
        routers = ", ".join(f"{n}={fleet.address(n)}" for n, _ in PLAN.routers)
        self._settings.write_text(
            f"[report]\nrouters = {routers}\ninterval_s = {SCRAPE_S}\n"
        )

    async def collect(self) -> None:
        """Collect scrapes until cancelled."""
        process = await self._start("collect", self._history)
        try:
            await process.wait()
        finally:
            if process.returncode is None:
                process.terminate()
                await process.wait()

    async def show(self, *options) -> str:
        """Return the output of the report."""
        process = await self._start("show", self._history, *options)
        output, _ = await process.communicate()
        return output.decode()

    async def _start(self, command: str, *arguments) -> asyncio.subprocess.Process:
        return await asyncio.create_subprocess_exec(
            sys.executable,
            "-m",
            "carobstair.cli.report",
            command,
            *map(str, arguments),
            "--settings",
            str(self._settings),
            stdout=asyncio.subprocess.PIPE,
        )


def alarmed(document: dict, section: str) -> list[dict]:
    """Return the rows of a section of the report that have an alarm."""
    return [row for row in document[section] if row["alarms"]]


async def wait_for_alarm(reporter: Reporter, began_s: float) -> tuple[float, dict]:
    """Return the seconds until a fast or slow alarm, and the report that shows it."""
    while True:
        document = json.loads(await reporter.show("--json"))
        elapsed_s = time.monotonic() - began_s
        alarms = {name for row in document["rows"] for name in row["alarms"]}
        if alarms & {"fast", "slow"} or elapsed_s > WINDOW_S:
            return elapsed_s, document
        await asyncio.sleep(SCRAPE_S)


async def run_checks() -> int:
    """Run the checks and return the exit status."""
    async with Fleet(PLAN) as fleet:
        reporter = Reporter(fleet)
        tasks = [asyncio.create_task(run_load(load_settings(fleet)))]
        await asyncio.sleep(WARM_UP_S)
        tasks.append(asyncio.create_task(reporter.collect()))
        await asyncio.sleep(HEALTHY_S)
        before = json.loads(await reporter.show("--json"))
        injected_s = time.monotonic()
        injected_at_s = time.time()
        tasks.append(asyncio.create_task(stall_in_bursts(fleet)))
        elapsed_s, during = await wait_for_alarm(reporter, injected_s)
        await fleet.end(PLAN.routers[-1][0])
        await asyncio.sleep(3 * SCRAPE_S)
        text = await reporter.show("--html", reporter.page)
        page = reporter.page.read_text()
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
    print(text)
    alarm_rows = alarmed(during, "rows")
    alarmed_workspaces = {row["workspace"] for row in alarm_rows}
    start_errors_s = [row["since_s"] - injected_at_s for row in alarm_rows]
    checks = {
        "no alarm before the injection": not alarmed(before, "rows"),
        "only the slowed workspace has alarms": alarmed_workspaces == {SLOWED},
        "the alarm came within one window": elapsed_s <= WINDOW_S,
        "the reported start is right": all(
            abs(error_s) <= START_TOLERANCE_S for error_s in start_errors_s
        ),
        "the fleet as a whole has no alarm": not alarmed(during, "fleet"),
        "a stopped router is shown as down": f"router {PLAN.routers[-1][0]}: down"
        in text,
        "the HTML page names the workspace": f"<td>{SLOWED}</td>" in page,
    }
    print(f"\nfirst fast or slow alarm {elapsed_s:.1f} s after the injection")
    for row, start_error_s in zip(alarm_rows, start_errors_s, strict=True):
        alarms = "+".join(row["alarms"])
        print(
            f"{alarms} on {row['objective']}: reported start {start_error_s:+.1f} s off"
        )
    for name, passed in checks.items():
        print(f"{'ok' if passed else 'FAILED'}: {name}")
    return 0 if all(checks.values()) else 1


if __name__ == "__main__":
    sys.exit(asyncio.run(run_checks()))
