"""Simulated load: open loop at a rate, or closed loop with a number of clients."""

from __future__ import annotations

import random
from typing import TYPE_CHECKING

from carobstair.core.fairness import engine_cost_tokens
from carobstair.core.queueing import MAX_HINT_TOKENS, WaitingRequest
from carobstair.scenario.action_caller import ActionCaller
from carobstair.scenario.gateway import Exchange
from carobstair.scenario.plan import LoadSpec

if TYPE_CHECKING:
    from carobstair.scenario.world import World

__all__ = ["LoadGenerator"]

RETRY_DELAY_S = 0.5
BYTES_PER_TOKEN = 4
BLOCK_TOKENS = 128


class LoadGenerator:
    """Sends the requests of one load specification.

    Parameters
    ----------
    world : World
    load : LoadSpec
    number : int
        Index of the load in the scenario; part of its random seed.
    """

    def __init__(self, world: World, load: LoadSpec, number: int):
        self._world = world
        self._load = load
        self._number = number
        self._random = random.Random(f"{world.scenario.seed}/load/{number}")
        self._sent = 0

    def start(self) -> None:
        """Schedule the first request of the load or of each client."""
        clock, load = self._world.clock, self._load
        if load.per_s > 0:
            clock.at(load.start_s + self._interarrival_s(), self._arrive)
        for client in range(load.clients):
            start_s = load.start_s + self._random.random()
            clock.at(start_s, lambda client=client: self._start_next(client))

    def _arrive(self) -> None:
        if self._world.clock.now_s >= self._load.end_s:
            return
        self._send(self._sent, lambda outcome: None)
        self._world.clock.after(self._interarrival_s(), self._arrive)

    def _interarrival_s(self) -> float:
        return self._random.expovariate(self._load.per_s)

    def _start_next(self, client: int) -> None:
        if self._world.clock.now_s < self._load.end_s:
            self._send(client, lambda outcome: self._on_client_end(client, outcome))

    def _on_client_end(self, client: int, outcome: str) -> None:
        delay_s = 0.0 if outcome == "answered" else RETRY_DELAY_S
        delay_s += 2 * self._world.network.delay_s()
        self._world.clock.after(delay_s, lambda: self._start_next(client))

    def _send(self, choice: int, on_end) -> None:
        world = self._world
        self._sent += 1
        if self._load.idempotent:
            key = f"{self._load.workspace}/{self._number}-{self._sent}"
            ActionCaller(world, self._load, key, self._random).start()
            return
        exchange = self._make_exchange(on_end)
        world.log.opened(exchange)
        router = world.choose_router(self._load.through, choice)
        if router is None:
            world.clock.after(
                world.network.delay_s(), lambda: exchange.end("unreachable")
            )
            return
        router.run(lambda: router.submit(exchange))

    def _make_exchange(self, on_end) -> Exchange:
        load, world = self._load, self._world
        output = self._random.randint(*load.output_tokens)
        inputs = self._random.randint(*load.input_tokens)
        hint = min(MAX_HINT_TOKENS, max(1, int(output * load.hint_factor)))
        request_id = f"{load.workspace}-{self._number}-{self._sent}"
        now_s = world.clock.now_s
        request = WaitingRequest(
            request_id,
            load.pool,
            load.workspace,
            load.work_class,
            engine_cost_tokens(hint, inputs),
            inputs + hint,
            inputs * BYTES_PER_TOKEN,
            now_s,
            now_s + load.deadline_s,
            self._make_prefix(inputs),
        )
        exchange = Exchange(request, output, inputs, now_s, on_end)
        exchange.on_end = lambda outcome: self._close(exchange, outcome, on_end)
        return exchange

    def _make_prefix(self, input_tokens: int) -> tuple[int, ...]:
        blocks = min(16, input_tokens // BLOCK_TOKENS)
        prefix_number = (
            self._random.randrange(self._load.prefixes)
            if self._load.prefixes
            else -self._sent
        )
        return tuple(
            hash((self._number, prefix_number, block)) & 0xFFFFFFFF
            for block in range(blocks)
        )

    def _close(self, exchange: Exchange, outcome: str, on_end) -> None:
        self._world.log.closed(exchange, outcome, self._world.clock.now_s)
        on_end(outcome)
