"""Control plane of a simulated router: drives its agent node."""

from __future__ import annotations

import random
from collections.abc import Callable, Iterable
from functools import singledispatchmethod
from typing import TYPE_CHECKING

from carobstair.core.agent import AgentNode, AgentSettings
from carobstair.core.effects import Effect, FilingFinished, Send, StateChanged
from carobstair.core.messages import Envelope
from carobstair.core.share_coordinator import CapacityView, EmptyCapacityView
from carobstair.core.state import Ticket
from carobstair.core.store_calls import StoreCall, WatchClose, WatchOpen
from carobstair.models import JsonCodec
from carobstair.scenario.store import StoreClient

if TYPE_CHECKING:
    from carobstair.scenario.router import SimRouter

__all__ = ["RouterControl"]

TICK_S = 0.05
PEER_REFRESH_S = 0.25
MAX_SEEDS = 3


class RouterControl:
    """Runs membership, epochs and tickets for one router process.

    Parameters
    ----------
    router : SimRouter
    """

    def __init__(self, router: SimRouter):
        self._router = router
        world, address = router.world, router.address
        others = [n for n in world.router_names() if n != router.name]
        seed = f"{world.scenario.seed}/{address.instance}/{address.incarnation}/agent"
        self.node = AgentNode(
            address,
            [f"seed {name}" for name in others[:MAX_SEEDS]],
            AgentSettings(),
            random.Random(seed),
            JsonCodec(),
            router.node.shares,
            _capacity_view(router.node),
        )
        self._client = StoreClient(
            router.name,
            lambda answer: self._handle_event(
                lambda now_s: self.node.on_store_answer(answer, now_s)
            ),
            lambda event: self._handle_event(
                lambda now_s: self.node.on_watch(event, now_s)
            ),
        )
        self._filing_callbacks: dict[int, Callable[[FilingFinished], None]] = {}
        self._last_filing = 0
        router.repeat(TICK_S, lambda: self.carry_out(self.node.tick(router.now_s)))
        router.repeat(PEER_REFRESH_S, self._refresh_peers)

    def receive(self, envelope: Envelope, payload) -> None:
        """Handle a message from a peer."""
        self.carry_out(
            self.node.on_message(
                envelope.sender, envelope.incarnation, payload, self._router.now_s
            )
        )

    def file(self, ticket: Ticket, on_end: Callable[[FilingFinished], None]) -> None:
        """File a ticket; `on_end` receives the result."""
        self._last_filing += 1
        self._filing_callbacks[self._last_filing] = on_end
        self.carry_out(self.node.file(self._last_filing, ticket, self._router.now_s))

    def note_leaving(self, upstream: str, leaving: bool) -> None:
        """Record whether an upstream's load report says that it is leaving."""
        self.carry_out(self.node.note_leaving(upstream, leaving))

    def leave(self) -> None:
        """Begin a graceful shutdown."""
        self.carry_out(self.node.leave(self._router.now_s))

    def announce_departure(self) -> None:
        """Notify the peers that this process is about to exit."""
        self.carry_out(self.node.announce_departure(self._router.now_s))

    def close(self) -> None:
        """Close the store watches, as when the process exits."""
        self._router.world.store.close_watches(self._client)

    def carry_out(self, effects: Iterable[Effect]) -> None:
        """Execute the effects that the agent node returned."""
        for effect in effects:
            self._execute(effect)

    @singledispatchmethod
    def _execute(self, effect) -> None:
        """Ignore an effect without a handler: links and log lines are not simulated."""

    @_execute.register
    def _(self, effect: Send) -> None:
        self._router.send(effect.to.removeprefix("seed "), effect.payload)

    @_execute.register
    def _(self, effect: StateChanged) -> None:
        router = self._router
        router.world.log.note_state(router, effect.state, router.now_s)
        effects = router.node.set_state(effect.state, router.now_s)
        router.gateway.carry_out(effects)

    @_execute.register
    def _(self, effect: FilingFinished) -> None:
        self._filing_callbacks.pop(effect.filing)(effect)

    @_execute.register(StoreCall)
    def _(self, effect) -> None:
        self._router.world.store.call(self._client, effect)

    @_execute.register
    def _(self, effect: WatchOpen) -> None:
        self._router.world.store.open_watch(self._client, effect)

    @_execute.register
    def _(self, effect: WatchClose) -> None:
        self._router.world.store.close_watch(self._client, effect.watch)

    def _handle_event(self, event: Callable[[float], list[Effect]]) -> None:
        router = self._router
        router.run(lambda: self.carry_out(event(router.now_s)))

    def _refresh_peers(self) -> None:
        self._router.node.live_peers = self.node.live_peers()


def _capacity_view(node) -> CapacityView:
    return node if hasattr(node, "allocator") else EmptyCapacityView()
