"""Drives the agent node of a simulated router."""

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
SEEDS = 3


class RouterControl:
    """Membership, epoch and tickets of one router process.

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
            [f"seed {name}" for name in others[:SEEDS]],
            AgentSettings(),
            random.Random(seed),
            JsonCodec(),
            router.node.shares,
            _view(router.node),
        )
        self._client = StoreClient(
            router.name,
            lambda answer: self._event(
                lambda now_s: self.node.on_store_answer(answer, now_s)
            ),
            lambda event: self._event(lambda now_s: self.node.on_watch(event, now_s)),
        )
        self._settled: dict[int, Callable[[FilingFinished], None]] = {}
        self._last_filing = 0
        router.repeat(TICK_S, lambda: self.carry_out(self.node.tick(router.now_s)))
        router.repeat(PEER_REFRESH_S, self._refresh_peers)

    def receive(self, envelope: Envelope, payload) -> None:
        """Take in a peer's message."""
        self.carry_out(
            self.node.on_message(
                envelope.sender, envelope.incarnation, payload, self._router.now_s
            )
        )

    def file(self, ticket: Ticket, on_end: Callable[[FilingFinished], None]) -> None:
        """File a ticket."""
        self._last_filing += 1
        self._settled[self._last_filing] = on_end
        self.carry_out(self.node.file(self._last_filing, ticket, self._router.now_s))

    def note_leaving(self, upstream: str, leaving: bool) -> None:
        """Take in whether a load report says that an upstream leaves."""
        self.carry_out(self.node.note_leaving(upstream, leaving))

    def leave(self) -> None:
        """Begin a graceful shutdown."""
        self.carry_out(self.node.leave(self._router.now_s))

    def announce_departure(self) -> None:
        """Tell the peers that this process ends."""
        self.carry_out(self.node.announce_departure(self._router.now_s))

    def close(self) -> None:
        """Close the links to the store, as the end of the process does."""
        self._router.world.store.forget(self._client)

    def carry_out(self, effects: Iterable[Effect]) -> None:
        """Carry out what the agent node asks for."""
        for effect in effects:
            self._do(effect)

    @singledispatchmethod
    def _do(self, effect) -> None:
        """Links and log lines need nothing here."""

    @_do.register
    def _(self, effect: Send) -> None:
        self._router.send(effect.to.removeprefix("seed "), effect.payload)

    @_do.register
    def _(self, effect: StateChanged) -> None:
        router = self._router
        router.world.log.note_state(router, effect.state, router.now_s)
        effects = router.node.set_state(effect.state, router.now_s)
        router.gateway.carry_out(effects)

    @_do.register
    def _(self, effect: FilingFinished) -> None:
        self._settled.pop(effect.filing)(effect)

    @_do.register(StoreCall)
    def _(self, effect) -> None:
        self._router.world.store.call(self._client, effect)

    @_do.register
    def _(self, effect: WatchOpen) -> None:
        self._router.world.store.open_watch(self._client, effect)

    @_do.register
    def _(self, effect: WatchClose) -> None:
        self._router.world.store.close_watch(self._client, effect.watch)

    def _event(self, event: Callable[[float], list[Effect]]) -> None:
        router = self._router
        router.run(lambda: self.carry_out(event(router.now_s)))

    def _refresh_peers(self) -> None:
        self._router.node.live_peers = self.node.live_peers()


def _view(node) -> CapacityView:
    return node if hasattr(node, "allocator") else EmptyCapacityView()
