"""One router process on virtual time."""

from __future__ import annotations

import random
from collections.abc import Callable
from typing import TYPE_CHECKING

import msgspec

from carobstair.core.capacity import CapacityNode, CapacitySettings
from carobstair.core.messages import (
    OutcomeAnswer,
    OutcomeQuery,
    PeerAddress,
    decode,
    encode,
)
from carobstair.core.shares import MemberId
from carobstair.scenario.actions import SimActions
from carobstair.scenario.control import RouterControl
from carobstair.scenario.gateway import Exchange, SimGateway
from carobstair.scenario.plan import RouterSpec

if TYPE_CHECKING:
    from carobstair.scenario.world import World

__all__ = ["NodeFactory", "SimRouter"]

TICK_S = 0.05
LOAD_POLL_S = 0.5
CACHE_POLL_S = 1.0
BALANCER_LAG_S = 1.0
PEER_PORT, HTTP_PORT = 7000, 8000
# Coalesces the arrivals of one moment into one message per allocator.
DEMAND_DELAY_S = 0.002

NodeFactory = Callable[[MemberId, CapacitySettings, random.Random], CapacityNode]
"""Makes the decision node of a router; a baseline has the same methods."""


class SimRouter:
    """A router process: its node, its gateway and its control.

    Parameters
    ----------
    world : World
    spec : RouterSpec
    incarnation : int
    make_node : callable
    """

    def __init__(
        self,
        world: World,
        spec: RouterSpec,
        incarnation: int,
        make_node: NodeFactory,
    ):
        self.world = world
        self.name = spec.name
        self.zone = spec.zone
        self.address = PeerAddress(
            spec.name, incarnation, spec.name, PEER_PORT, HTTP_PORT, spec.zone
        )
        seed = f"{world.scenario.seed}/{spec.name}/{incarnation}"
        self.node = make_node(
            (spec.name, incarnation), CapacitySettings(), random.Random(seed)
        )
        self.gateway = SimGateway(self)
        self.control = RouterControl(self)
        self.actions = SimActions(self)
        self.is_dead = False
        self._paused_until_s = 0.0
        self._frozen: list[Callable[[], None]] = []
        self._sequence = 0
        self._demand_planned = False
        phase_s = world.generator.random() * TICK_S
        self._repeat(TICK_S, self._tick, phase_s)
        self._repeat(LOAD_POLL_S, self._poll_loads, phase_s)
        self._repeat(CACHE_POLL_S, self._poll_caches, phase_s)

    @property
    def now_s(self) -> float:
        """Monotonic time of this process."""
        return self.world.clock.now_s

    @property
    def is_paused(self) -> bool:
        """Whether the process is frozen now."""
        return self.now_s < self._paused_until_s

    @property
    def is_ready(self) -> bool:
        """Whether the load balancer sends callers here."""
        return not self.is_dead and self.control.node.unready_reason() is None

    def run(self, action: Callable[[], None]) -> None:
        """Run an action of this process: now, after its pause, or never."""
        if self.is_dead:
            return
        if self.is_paused:
            self._frozen.append(action)
        else:
            action()

    def pause(self, duration_s: float) -> None:
        """Freeze the process; what arrives is handled after it wakes."""
        self._paused_until_s = self.now_s + duration_s
        self.world.clock.after(duration_s, self._wake)

    def kill(self) -> None:
        """End the process without a word; all connections close."""
        if self.is_dead:
            return
        self.is_dead = True
        self.gateway.close()
        self.actions.close()
        self.control.close()
        self.world.store.drop_instance(
            self.name, lambda: self.world.routers[self.name] is self
        )

    def stop(self) -> None:
        """Shut down gracefully: become unready, finish requests, announce departure."""
        self.control.leave()
        self.world.clock.after(BALANCER_LAG_S, lambda: self.run(self._drain))

    def _drain(self) -> None:
        if self.gateway.is_idle and self.actions.is_idle:
            self.control.announce_departure()
            self.kill()
        else:
            self.world.clock.after(TICK_S, lambda: self.run(self._drain))

    def submit(self, exchange: Exchange) -> None:
        """Take in a caller's request."""
        self.gateway.submit(exchange)

    def send(self, to: str, payload: msgspec.Struct) -> None:
        """Send a payload to a peer."""
        self._sequence += 1
        own = self.address
        epoch = self.node.shares.epoch.number
        data = encode(payload, own.instance, own.incarnation, epoch, self._sequence)
        self.world.network.send(
            self.name, to, len(data), lambda: self.world.receive(to, data)
        )

    def receive(self, data: bytes) -> None:
        """Take in a peer's message."""
        envelope, payload = decode(data)
        if isinstance(payload, OutcomeQuery):
            self.actions.on_query(envelope, payload)
        elif isinstance(payload, OutcomeAnswer):
            self.actions.on_answer(envelope, payload)
        self.control.receive(envelope, payload)
        effects = self.node.on_message(envelope.sender, payload, self.now_s)
        self.gateway.carry_out(effects)

    def plan_demand(self) -> None:
        """Announce demand shortly if there is something to tell."""
        if self.node.demand_due and not self._demand_planned:
            self._demand_planned = True
            self.world.clock.after(DEMAND_DELAY_S, lambda: self.run(self._flush_demand))

    def _flush_demand(self) -> None:
        self._demand_planned = False
        self.gateway.carry_out(self.node.flush_demand(self.now_s))

    def _tick(self) -> None:
        self.gateway.check_streams()
        self.gateway.carry_out(self.node.tick(self.now_s))

    def _poll_loads(self) -> None:
        for name in self.node.estimated_upstreams():
            self.world.poll_load(self, name)

    def _poll_caches(self) -> None:
        for name in self.node.held_upstreams():
            self.world.poll_cache(self, name)

    def on_load_report(self, name: str, report) -> None:
        """Take in an upstream's load report."""
        self.control.note_leaving(name, report.leaving)
        effects = self.node.on_load_report(name, report, self.now_s)
        self.gateway.carry_out(effects)

    def _wake(self) -> None:
        if self.is_dead or self.is_paused:
            return
        frozen, self._frozen = self._frozen, []
        for action in frozen:
            action()

    def _repeat(
        self, interval_s: float, action: Callable[[], None], first_s: float
    ) -> None:
        def run() -> None:
            if not self.is_dead:
                action()
                self.world.clock.after(interval_s, lambda: self.run(run))

        self.world.clock.after(first_s, lambda: self.run(run))

    def repeat(self, interval_s: float, action: Callable[[], None]) -> None:
        """Run an action of this process periodically."""
        self._repeat(interval_s, action, self.world.generator.random() * interval_s)
