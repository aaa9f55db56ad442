"""Simulated fleet of agent nodes, with seeded delay, loss and partitions."""

from __future__ import annotations

import heapq
import itertools
import random
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field
from functools import singledispatchmethod

from carobstair.core.agent import AgentNode, AgentSettings
from carobstair.core.effects import (
    EpochLearned,
    FilingFinished,
    InForceResult,
    Send,
    SendOrder,
    StateChanged,
    Warn,
)
from carobstair.core.messages import PeerAddress, encode
from carobstair.core.orders import OrderOutcome
from carobstair.core.share_coordinator import CapacityView, EmptyCapacityView
from carobstair.core.shares import ShareTable
from carobstair.core.state import Ticket
from carobstair.core.store_calls import (
    StoreAnswer,
    StoreCall,
    StoredObject,
    StoreOutcome,
    WatchChange,
    WatchClose,
    WatchEnded,
    WatchOpen,
)
from carobstair.models import JsonCodec
from carobstair.standins.memory_store import MemoryStore

__all__ = ["AgentFleet", "Network"]

TICK_S = 0.05
LAPSE_S = 11.0
STORE_TIMEOUT_S = 1.0
WATCH_HEARTBEAT_S = 5.0


@dataclass
class Network:
    """Faults of the network between nodes and to the object API.

    Attributes
    ----------
    cut : set of (str, str)
        Directed links, as (sender, receiver), on which every message is lost.
    no_store : set of str
        Instances that cannot reach the object API.
    silent_watches : bool
        Watches stay open but deliver no changes or heartbeats.
    """

    loss: float = 0.0
    delay_s: tuple[float, float] = (0.0005, 0.003)
    cut: set[tuple[str, str]] = field(default_factory=set)
    no_store: set[str] = field(default_factory=set)
    silent_watches: bool = False

    def split(self, one: list[str], other: list[str]) -> None:
        """Cut all links between two groups, in both directions."""
        for a in one:
            for b in other:
                self.cut |= {(a, b), (b, a)}

    def heal(self) -> None:
        """Remove all faults except the delay."""
        self.cut.clear()
        self.no_store.clear()
        self.loss = 0.0
        self.silent_watches = False


@dataclass
class _Process:
    node: AgentNode
    address: PeerAddress
    capacity: CapacityView
    paused: bool = False
    backlog: list[Callable[[], None]] = field(default_factory=list)


class AgentFleet:
    """Runs agent nodes against a `MemoryStore` on virtual time.

    Parameters
    ----------
    zones : dict of str to str
        Availability zone by instance.
    seed : int
    settings : AgentSettings, optional
    make_capacity : callable, optional
        Returns the capacity view of a process for its share table. Called at each
        start; if the view has a ``tick`` method, it is called before the node's.
    """

    def __init__(
        self,
        zones: dict[str, str],
        seed: int,
        settings: AgentSettings | None = None,
        make_capacity: Callable[[ShareTable], CapacityView] = lambda _: (
            EmptyCapacityView()
        ),
    ):
        self.zones = dict(zones)
        self.settings = settings or AgentSettings()
        self._make_capacity = make_capacity
        self.network = Network()
        self.store = MemoryStore()
        self.now_s = 0.0
        self.processes: dict[str, _Process] = {}
        self.settled: dict[int, FilingFinished] = {}
        self.in_force_results: list[InForceResult] = []
        self.orders: list[tuple[float, str, SendOrder]] = []
        self.order_s = 2.0
        # Incarnation by upstream; upstreams missing here give no load report.
        self.incarnations: dict[str, str] = {}
        self.warnings: Counter = Counter()
        self.sent_messages: Counter = Counter()
        self.sent_bytes: Counter = Counter()
        self.count_bytes = False
        self._random = random.Random(seed)
        self._events: list = []
        self._event_numbers = itertools.count()
        self._incarnations = itertools.count(1)
        self._ports = {name: 1000 + i for i, name in enumerate(zones)}
        self._watches: dict[tuple[str, int, int], WatchOpen] = {}
        self._filing_numbers = itertools.count(1)
        self._schedule(WATCH_HEARTBEAT_S, self._send_watch_heartbeats)

    # Processes

    def start(self, name: str) -> AgentNode:
        """Start a process without state; kill a running one of the same name first."""
        self.kill(name)
        incarnation = next(self._incarnations)
        port = self._ports.setdefault(name, 1000 + len(self._ports))
        address = PeerAddress(name, incarnation, "h", port, 1, self.zones[name])
        seeds = [f"seed {n}" for n in sorted(self.zones) if n != name][:3]
        shares = ShareTable((name, incarnation), LAPSE_S)
        capacity = self._make_capacity(shares)
        node = AgentNode(
            address,
            seeds,
            self.settings,
            random.Random(f"{self._random.random()}/{name}"),
            JsonCodec(),
            shares,
            capacity,
        )
        process = _Process(node, address, capacity)
        self.processes[name] = process
        self._schedule(self._random.random() * TICK_S, lambda: self._tick(process))
        return node

    def start_all(self) -> None:
        """Start every process."""
        for name in self.zones:
            self.start(name)

    def kill(self, name: str) -> None:
        """Kill a process, without a graceful shutdown."""
        self.processes.pop(name, None)
        self._watches = {k: w for k, w in self._watches.items() if k[0] != name}

    def pause(self, name: str) -> None:
        """Pause a process; events for it are queued until `resume`."""
        self.processes[name].paused = True

    def resume(self, name: str) -> None:
        """Resume a paused process and deliver the queued events."""
        process = self.processes[name]
        process.paused = False
        backlog, process.backlog = process.backlog, []
        for action in backlog:
            action()

    def node(self, name: str) -> AgentNode:
        """Return the node of a running process."""
        return self.processes[name].node

    def carry_out(self, name: str, effects: list) -> None:
        """Carry out the effects that a method of a node returned."""
        for effect in effects:
            self._execute(effect, self.processes[name])

    def file(self, name: str, ticket: Ticket) -> int:
        """File a ticket at a router; its outcome will appear in `settled`."""
        filing = next(self._filing_numbers)
        node = self.node(name)
        self.carry_out(name, node.file(filing, ticket, self.now_s))
        return filing

    # Time

    def run(self, duration_s: float) -> None:
        """Advance virtual time and run the events that become due."""
        end_s = self.now_s + duration_s
        while self._events and self._events[0][0] <= end_s:
            self.now_s, _, action = heapq.heappop(self._events)
            action()
        self.now_s = end_s

    def run_until(self, condition: Callable[[], bool], limit_s: float) -> float:
        """Advance time until a condition holds and return the time that took.

        Raises
        ------
        TimeoutError
            If the condition does not hold within `limit_s` of virtual time.
        """
        began_s = self.now_s
        while not condition():
            if self.now_s >= began_s + limit_s:
                raise TimeoutError(
                    f"condition not met within {limit_s} s of virtual time"
                )
            self.run(TICK_S)
        return self.now_s - began_s

    def _schedule(self, delay_s: float, action: Callable[[], None]) -> None:
        entry = (self.now_s + delay_s, next(self._event_numbers), action)
        heapq.heappush(self._events, entry)

    def _tick(self, process: _Process) -> None:
        if self.processes.get(process.address.instance) is not process:
            return
        if not process.paused:
            if hasattr(process.capacity, "tick"):
                process.capacity.tick()
            for upstream in process.node.orders.upstreams_to_poll():
                if upstream in self.incarnations:
                    incarnation = self.incarnations[upstream]
                    process.node.orders.note_incarnation(upstream, incarnation)
            effects = process.node.tick(self.now_s)
            self.carry_out(process.address.instance, effects)
        self._schedule(TICK_S, lambda: self._tick(process))

    def _deliver(self, process: _Process, event: Callable[[], list]) -> None:
        """Deliver an event to a process unless the process has ended."""
        name = process.address.instance
        if self.processes.get(name) is not process:
            return
        if process.paused:
            process.backlog.append(lambda: self._deliver(process, event))
        else:
            self.carry_out(name, event())

    # Effects

    @singledispatchmethod
    def _execute(self, effect, process: _Process) -> None:
        pass

    @_execute.register
    def _(self, effect: Warn, process: _Process) -> None:
        self.warnings[effect.event] += 1

    @_execute.register
    def _(self, effect: FilingFinished, process: _Process) -> None:
        self.settled[effect.filing] = effect

    @_execute.register
    def _(self, effect: InForceResult, process: _Process) -> None:
        self.in_force_results.append(effect)

    @_execute.register
    def _(self, effect: SendOrder, process: _Process) -> None:
        name = process.address.instance
        self.orders.append((self.now_s, name, effect))

        def event() -> list:
            node = process.node
            node.orders.on_answer(effect.order, OrderOutcome.DONE, self.now_s)
            return []

        self._schedule(self.order_s, lambda: self._deliver(process, event))

    @_execute.register(StateChanged)
    @_execute.register(EpochLearned)
    def _(self, effect, process: _Process) -> None:
        pass

    @_execute.register
    def _(self, effect: Send, process: _Process) -> None:
        source = process.address
        name = effect.to.removeprefix("seed ")
        self.sent_messages[source.instance] += 1
        if self.count_bytes:
            data = encode(effect.payload, source.instance, source.incarnation, 0, 1)
            self.sent_bytes[source.instance] += len(data)
        lost = self._random.random() < self.network.loss
        if lost or (source.instance, name) in self.network.cut:
            return
        self._schedule(
            self._delay_s(), lambda: self._receive(name, source, effect.payload)
        )

    def _receive(self, name: str, source: PeerAddress, payload) -> None:
        target = self.processes.get(name)
        if target is None:
            return

        def event() -> list:
            return target.node.on_message(
                source.instance, source.incarnation, payload, self.now_s
            )

        self._deliver(target, event)

    @_execute.register(WatchOpen)
    def _(self, effect: WatchOpen, process: _Process) -> None:
        key = (process.address.instance, process.address.incarnation, effect.watch)
        self.store.calls["WatchOpen"] += 1
        self._watches[key] = effect
        for stored in self.store.history:
            if stored.version > effect.since and stored.name.startswith(effect.prefix):
                self._notify_watch(
                    key, WatchChange(effect.watch, stored.version, stored)
                )

    @_execute.register(WatchClose)
    def _(self, effect: WatchClose, process: _Process) -> None:
        key = (process.address.instance, process.address.incarnation, effect.watch)
        self._watches.pop(key, None)

    @_execute.register(StoreCall)
    def _(self, effect, process: _Process) -> None:
        self._schedule(self._delay_s(), lambda: self._call_store(effect, process))

    def _call_store(self, call, process: _Process) -> None:
        unreachable = process.address.instance in self.network.no_store
        if unreachable or self.store.down:
            self.store.calls[type(call).__name__] += self.store.down
            answer = StoreAnswer(call.call, StoreOutcome.UNAVAILABLE)
            delay_s = STORE_TIMEOUT_S
        else:
            before = len(self.store.history)
            answer, delay_s = self.store.answer(call), self._delay_s()
            for stored in self.store.history[before:]:
                self._notify_watches(stored)
        event = lambda: process.node.on_store_answer(answer, self.now_s)  # noqa: E731
        self._schedule(delay_s, lambda: self._deliver(process, event))

    def _notify_watches(self, stored: StoredObject) -> None:
        for key, watch in list(self._watches.items()):
            if stored.name.startswith(watch.prefix):
                self._notify_watch(
                    key, WatchChange(watch.watch, stored.version, stored)
                )

    def _send_watch_heartbeats(self) -> None:
        for key, watch in list(self._watches.items()):
            if self.store.down or key[0] in self.network.no_store:
                del self._watches[key]
                self._notify_watch(key, WatchEnded(watch.watch))
            else:
                self._notify_watch(key, WatchChange(watch.watch, self.store.version))
        self._schedule(WATCH_HEARTBEAT_S, self._send_watch_heartbeats)

    def _notify_watch(
        self, key: tuple[str, int, int], event: WatchChange | WatchEnded
    ) -> None:
        process = self.processes.get(key[0])
        if process is None or process.address.incarnation != key[1]:
            return
        if self.network.silent_watches and isinstance(event, WatchChange):
            return
        deliver = lambda: process.node.on_watch(event, self.now_s)  # noqa: E731
        self._schedule(self._delay_s(), lambda: self._deliver(process, deliver))

    def _delay_s(self) -> float:
        return self._random.uniform(*self.network.delay_s)
