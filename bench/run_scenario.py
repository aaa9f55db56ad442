"""Runs scenario files against real processes and prints a line per expectation.

Usage: PYTHONPATH=src python bench/run_scenario.py scenarios/FILE...

Faults that need the simulated network, such as partitions, message loss and silent
links, are rejected. Measures that can't be observed from outside the processes are
printed as not measured.
"""

from __future__ import annotations

import asyncio
import signal
import sys
from collections import Counter
from pathlib import Path

import aiohttp
import cyclopts

from carobstair.scenario.expectations import evaluate
from carobstair.scenario.log import RunLog, Sample
from carobstair.scenario.parser import ScenarioError, read_scenario
from carobstair.scenario.plan import FaultEvent, FaultKind, Scenario
from fleet import Fleet, FleetPlan, PlannedUpstream
from real_callers import RealCallers

SAMPLE_S = 0.25
MEASURED = frozenset(
    {
        "gap",
        "unserved",
        "utilisation",
        "first-token",
        "outcomes",
        "broken-answers",
        "cold-overloads",
        "over-limit",
        "new-work",
        "force-time",
        "tickets",
        "refusal-delay",
    }
)


def plan_of(scenario: Scenario) -> FleetPlan:
    """Return the processes that a scenario needs."""
    return FleetPlan(
        tuple((r.name, r.zone) for r in scenario.routers),
        tuple(
            PlannedUpstream(
                e.name,
                e.pool,
                str(e.kind),
                e.zone,
                e.max_requests,
                e.cold_limit,
                arguments=(
                    "--max-running",
                    str(e.max_requests),
                    "--cold-s",
                    str(e.cold_s),
                    "--cold-bears",
                    str(e.cold_bears),
                    "--base-interval-ms",
                    str(e.base_interval_s * 1000),
                    "--load-lag-s",
                    str(e.load_lag_s),
                ),
            )
            for e in scenario.engines
        ),
        {w.name: w.weight for w in scenario.workspaces},
    )


class RealRun:
    """One scenario on real processes.

    Parameters
    ----------
    fleet : Fleet
    scenario : Scenario
    """

    def __init__(self, fleet: Fleet, scenario: Scenario):
        self.fleet = fleet
        self.scenario = scenario
        self.log = RunLog(scenario)
        began_s = asyncio.get_running_loop().time()
        self.callers = RealCallers(fleet, scenario, began_s)
        self._engines = [e.name for e in scenario.engines]
        self._seen: dict[str, Counter] = {name: Counter() for name in self._engines}
        self._out_zones: set[str] = set()
        self._tasks: set[asyncio.Task] = set()
        for name in self._engines:
            for times in (self.log.admissions, self.log.overloads, self.log.over_limit):
                times[name] = []

    async def run(self) -> RunLog:
        """Run load, faults and sampling concurrently and return the log."""
        samplers = [
            asyncio.create_task(self._repeat(self._sample)),
            asyncio.create_task(self._repeat(self._check_ready)),
        ]
        async with asyncio.TaskGroup() as group:
            group.create_task(self.callers.run())
            for fault in self.scenario.faults:
                group.create_task(self._inject(fault))
        for task in samplers:
            task.cancel()
        await asyncio.gather(*samplers, return_exceptions=True)
        self.log.ended, self.log.outcomes = self.callers.ended, self.callers.outcomes
        self.log.live_routers = set(self.fleet.processes) & set(self.fleet.http_ports)
        return self.log

    # Observation

    async def _repeat(self, action) -> None:
        while True:
            await action()
            await asyncio.sleep(SAMPLE_S)

    async def _check_ready(self) -> None:
        """Update the set of unready routers as a load balancer does."""
        names = list(self.fleet.http_ports)
        states = await asyncio.gather(*(self._is_ready(name) for name in names))
        self.callers.unready = {
            n for n, ok in zip(names, states, strict=True) if not ok
        }

    async def _is_ready(self, name: str) -> bool:
        timeout = aiohttp.ClientTimeout(total=1.0)
        try:
            url = self.fleet.address(name) + "/readyz"
            async with self.fleet.session.get(url, timeout=timeout) as response:
                return response.status == 200
        except (aiohttp.ClientError, TimeoutError):
            return False

    async def _sample(self) -> None:
        capacity, running = Counter(), Counter()
        for spec in self.scenario.engines:
            url = self.fleet.upstream_address(spec.name) + "/control"
            control = await self.fleet.get_json(url)
            self._record_control(spec.name, spec.max_requests, control)
            if spec.zone not in self._out_zones:
                capacity[spec.pool] += spec.max_requests
                running[spec.pool] += min(control["running"], spec.max_requests)
        waiting = frozenset(k for k, n in self.callers.waiting.items() if n > 0)
        self.log.samples.append(
            Sample(
                self.callers.now_s,
                dict(self.callers.service),
                waiting,
                dict(capacity),
                dict(running),
                {},
            )
        )

    def _record_control(self, name: str, limit: int, control: dict) -> None:
        seen, now_s = self._seen[name], self.callers.now_s
        for key, times in (
            ("admitted", self.log.admissions[name]),
            ("fallen", self.log.overloads[name]),
        ):
            times += [now_s] * (control[key] - seen[key])
            seen[key] = control[key]
        if control["peak_running"] > max(limit, seen["peak_running"]):
            self.log.over_limit[name].append(now_s)
            seen["peak_running"] = control["peak_running"]

    # Faults

    async def _inject(self, fault: FaultEvent) -> None:
        await asyncio.sleep(max(0.0, fault.at_s - self.callers.now_s))
        await getattr(self, "_" + fault.kind.replace("-", "_"))(fault)

    async def _kill(self, fault: FaultEvent) -> None:
        for name in fault.names:
            await self.fleet.end(name, signal.SIGKILL)

    async def _restart(self, fault: FaultEvent) -> None:
        await self._kill(fault)
        for name in fault.names:
            self.fleet.start_router(name)

    async def _stop(self, fault: FaultEvent) -> None:
        for name in fault.names:
            await self.fleet.end(name)

    async def _pause(self, fault: FaultEvent) -> None:
        for name in fault.names:
            self.fleet.processes[name].send_signal(signal.SIGSTOP)
        await asyncio.sleep(fault.value)
        for name in fault.names:
            self.fleet.processes[name].send_signal(signal.SIGCONT)

    async def _crash(self, fault: FaultEvent) -> None:
        await self._control_engines(fault, {"restart": True})

    async def _stall(self, fault: FaultEvent) -> None:
        await self._control_engines(fault, {"stalled": True})
        await asyncio.sleep(fault.value)
        await self._control_engines(fault, {"stalled": False})

    async def _notice(self, fault: FaultEvent) -> None:
        await self._control_engines(fault, {"leaving": True})

    async def _control_engines(self, fault: FaultEvent, document: dict) -> None:
        for name in fault.names:
            url = self.fleet.upstream_address(name) + "/control"
            await self.fleet.put_json(url, dict(document))

    async def _store_down(self, fault: FaultEvent) -> None:
        url = self.fleet.store_address + "/control"
        await self.fleet.put_json(url, {"down": True})
        await asyncio.sleep(fault.value)
        await self.fleet.put_json(url, {"down": False})

    async def _store_slow(self, fault: FaultEvent) -> None:
        url = self.fleet.store_address + "/control"
        await self.fleet.put_json(url, {"delay_s": fault.value})
        await asyncio.sleep(fault.duration_s)
        await self.fleet.put_json(url, {"delay_s": 0.0})

    async def _ticket(self, fault: FaultEvent) -> None:
        ticket = self._ticket_document(fault.change)
        router = fault.names[0] if fault.names else None
        while True:
            try:
                number = await self.fleet.file_ticket(ticket, router)
                break
            except (RuntimeError, aiohttp.ClientError):
                await asyncio.sleep(0.5)
        self.log.accepted_s[number] = self.callers.now_s
        if fault.change[0] == "zone":
            change = self._out_zones.add if fault.change[2] == "out" else None
            (change or self._out_zones.discard)(fault.change[1])
        task = asyncio.create_task(self._track_ticket(number))
        self._tasks.add(task)

    def _ticket_document(self, change: tuple[str, ...]) -> dict:
        kind, name, value = change
        first = self.fleet.first_ticket()
        submission = {"submission_id": "-".join((*change, f"{self.callers.now_s:.3f}"))}
        if kind == "zone":
            return {"zones": {name: {"in_service": value == "in"}}, **submission}
        if kind == "workspace":
            state = {**first["workspaces"][name], "weight": float(value)}
            return {"workspaces": {name: state}, **submission}
        state = {**first["upstreams"][name], "state": value}
        return {"upstreams": {name: state}, **submission}

    async def _track_ticket(self, number: int) -> None:
        """Record the time at which each router has a ticket in force."""
        reached = self.log.in_force_s[number]
        routers = set(self.fleet.http_ports)
        while set(reached) != routers:
            for name in routers - set(reached):
                try:
                    found = await self.fleet.in_force(name)
                except aiohttp.ClientError:
                    continue
                in_force_number = found["instances"].get(name, 0)
                if in_force_number >= number:
                    reached[name] = self.callers.now_s
            await asyncio.sleep(0.05)


async def run_file(path: Path) -> int:
    """Run a scenario file and return the number of failed expectations."""
    scenario = read_scenario(path)
    supported = {k for k in FaultKind if hasattr(RealRun, "_" + k.replace("-", "_"))}
    for fault in scenario.faults:
        if fault.kind not in supported:
            raise ValueError(f"{path}: {fault.kind} needs the simulated network")
    async with Fleet(plan_of(scenario)) as fleet:
        log = await RealRun(fleet, scenario).run()
    failed = 0
    for verdict in evaluate(log):
        if verdict.expectation.measure not in MEASURED:
            print(f"{scenario.name}: not measured {verdict.expectation.text}")
            continue
        failed += not verdict.holds
        print(f"{scenario.name}: {verdict}")
    print(f"{scenario.name}: outcomes {dict(log.outcomes)}", flush=True)
    return failed


def main(*files: Path) -> int:
    """Run scenario files one after another."""
    try:
        return 1 if sum(asyncio.run(run_file(path)) for path in files) else 0
    except (ScenarioError, ValueError) as error:
        print(error, file=sys.stderr)
        return 2


if __name__ == "__main__":
    app = cyclopts.App(name="run_scenario", result_action="return_value")
    app.default(main)
    sys.exit(app())
