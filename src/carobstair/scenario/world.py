"""Simulated fleet: routers, upstreams, store, network and callers."""

from __future__ import annotations

import random

from carobstair.core.capacity import CapacityNode
from carobstair.scenario.clock import VirtualClock
from carobstair.scenario.engine import Attempt, SimEngine
from carobstair.scenario.faults import apply_fault
from carobstair.scenario.load_generator import LoadGenerator
from carobstair.scenario.log import RunLog
from carobstair.scenario.network import Network
from carobstair.scenario.plan import Scenario
from carobstair.scenario.router import NodeFactory, SimRouter
from carobstair.scenario.store import SimStore
from carobstair.scenario.ticket_operator import Operator

__all__ = ["World", "run_world"]

SAMPLE_S = 0.1


class World:
    """State of one simulated run of a scenario.

    Parameters
    ----------
    scenario : Scenario
    make_node : callable, optional
        Creates the decision node of a router.
    """

    def __init__(self, scenario: Scenario, make_node: NodeFactory = CapacityNode):
        self.scenario = scenario
        self._make_node = make_node
        self.generator = random.Random(f"{scenario.seed}/world")
        self.clock = VirtualClock()
        links = random.Random(f"{scenario.seed}/links")
        self.network = Network(self.clock, scenario.link, links)
        self.log = RunLog(scenario)
        self.store = SimStore(
            self.clock, self.network, random.Random(f"{scenario.seed}/store")
        )
        self.store.write_initial_state(scenario.initial_state())
        self.engines = {
            spec.name: SimEngine(spec, self.clock, self.log.charge, self.generator)
            for spec in scenario.engines
        }
        self.routers: dict[str, SimRouter] = {}
        self._submissions = 0
        self._incarnations: dict[str, int] = {}
        for spec in scenario.routers:
            self.start_router(spec.name)
        for number, load in enumerate(scenario.loads):
            LoadGenerator(self, load, number).start()
        for fault in scenario.faults:
            self.clock.at(fault.at_s, lambda fault=fault: apply_fault(self, fault))
        self.clock.every(SAMPLE_S, lambda: self.log.sample(self), SAMPLE_S)

    def router_names(self) -> list[str]:
        """Return the names of all routers in the scenario."""
        return [spec.name for spec in self.scenario.routers]

    def start_router(self, name: str) -> SimRouter:
        """Start or restart a router, as a new incarnation without state."""
        self._incarnations[name] = self._incarnations.get(name, 0) + 1
        spec = next(r for r in self.scenario.routers if r.name == name)
        router = SimRouter(self, spec, self._incarnations[name], self._make_node)
        self.routers[name] = router
        self.store.list_instance(name)
        return router

    def choose_router(self, through: tuple[str, ...], choice: int) -> SimRouter | None:
        """Return the router that the load balancer picks for a caller.

        Ready routers of `through` are preferred over other ready ones; None means that
        no router is ready.
        """
        preferred = [self.routers[name] for name in through or self.router_names()]
        ready = [r for r in preferred if r.is_ready]
        if not ready:
            ready = [r for r in self.routers.values() if r.is_ready]
        return ready[choice % len(ready)] if ready else None

    def receive(self, name: str, data: bytes) -> None:
        """Deliver a peer message to a router."""
        router = self.routers[name]
        router.run(lambda: router.receive(data))

    def dispatch(self, router: SimRouter, name: str, attempt: Attempt) -> None:
        """Send an attempt to an upstream; it fails if the connection is refused."""
        engine = self.engines[name]
        if not self.network.connected(router.name, name):
            return

        def arrive() -> None:
            if router.is_dead:
                return
            if not engine.admit(attempt):
                attempt.on_failed()

        self.clock.after(self.network.delay_s(), arrive)

    def reply(self, router: SimRouter, action) -> None:
        """Deliver a message from an upstream on an open connection, in order."""
        # A constant delay keeps the tokens of a stream in order.
        delay_s = self.scenario.link.delay_s
        self.clock.after(delay_s, lambda: router.run(action))

    def cancel(self, name: str, attempt_id: str) -> None:
        """Cancel an attempt on an upstream after its connection has closed."""
        self.clock.after(
            self.network.delay_s(), lambda: self.engines[name].cancel(attempt_id)
        )

    def cancel_from(self, router: SimRouter, name: str, attempt_id: str) -> None:
        """Cancel an attempt on an upstream if the router can reach it."""
        if self.network.connected(router.name, name):
            self.cancel(name, attempt_id)

    def poll_load(self, router: SimRouter, name: str) -> None:
        """Request an upstream's load report for a router."""
        if not self.network.connected(router.name, name):
            return
        delay_s = 2 * self.network.delay_s()

        def read() -> None:
            report = self.engines[name].report()
            if report is not None:
                router.run(lambda: router.on_load_report(name, report))

        self.clock.after(delay_s, read)

    def file(self, change: tuple[str, ...], through: str) -> None:
        """File a ticket as an operator, with retries until it is accepted."""
        self._submissions += 1
        Operator(self, change, through, f"submission-{self._submissions}").file()

    def poll_cache(self, router: SimRouter, name: str) -> None:
        """Request an upstream's cache events for a router."""
        if not self.network.connected(router.name, name):
            return

        def read() -> None:
            engine = self.engines[name]
            if not engine.is_down:
                incarnation, events = str(engine.incarnation), engine.cache_events()
                router.run(
                    lambda: router.node.on_cache_events(name, incarnation, events)
                )

        self.clock.after(2 * self.network.delay_s(), read)

    def run(self) -> RunLog:
        """Run the scenario to its end and return its log."""
        self.clock.run_until(self.scenario.duration_s)
        self.log.finish(self)
        return self.log


def run_world(scenario: Scenario, make_node: NodeFactory = CapacityNode) -> RunLog:
    """Simulate a scenario and return its log."""
    return World(scenario, make_node).run()
