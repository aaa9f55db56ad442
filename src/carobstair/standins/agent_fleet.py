"""Fleet of agent nodes on virtual time, with seeded delay, loss and partitions."""

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
    """Faults of the links.

    Attributes
    ----------
    cut : set of (str, str)
        Directed links, by instance, on which every message is lost.
    no_store : set of str
        Instances that can't reach the object API.
    silent_watches : bool
        Watches stay open and report nothing.
    """

    loss: float = 0.0
    delay_s: tuple[float, float] = (0.0005, 0.003)
    cut: set[tuple[str, str]] = field(default_factory=set)
    no_store: set[str] = field(default_factory=set)
    silent_watches: bool = False

    def split(self, one: list[str], other: list[str]) -> None:
        """Cut all links between two groups, both ways."""
        for a in one:
            for b in other:
                self.cut |= {(a, b), (b, a)}

    def heal(self) -> None:
        """End all partitions and losses."""
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
    """Runs agent nodes against a memory store on virtual time.

    Parameters
    ----------
    zones : dict of str to str
        Availability zone by instance.
    seed : int
    settings : AgentSettings, optional
    make_capacity : callable, optional
        Returns the capacity view of a process from its share table. It is called
        at each start; a ``tick`` method of the view runs before the node's.
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
        self.found: list[InForceResult] = []
        self.orders: list[tuple[float, str, SendOrder]] = []
        self.order_s = 2.0
        # Incarnation by upstream; one that is missing here gives no load report.
        self.incarnations: dict[str, str] = {}
        self.warnings: Counter = Counter()
        self.sent_messages: Counter = Counter()
        self.sent_bytes: Counter = Counter()
        self.count_bytes = False
        self._random = random.Random(seed)
        self._events: list = []
        self._order = itertools.count()
        self._incarnations = itertools.count(1)
        self._ports = {name: 1000 + i for i, name in enumerate(zones)}
        self._watches: dict[tuple[str, int, int], WatchOpen] = {}
        self._filings = itertools.count(1)
        self._at(WATCH_HEARTBEAT_S, self._beat_watches)

    # Processes

    def start(self, name: str) -> AgentNode:
        """Start a process without state, for the first time or again."""
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
        self._at(self._random.random() * TICK_S, lambda: self._tick(process))
        return node

    def start_all(self) -> None:
        """Start every process."""
        for name in self.zones:
            self.start(name)

    def kill(self, name: str) -> None:
        """End a process at once."""
        self.processes.pop(name, None)
        self._watches = {k: w for k, w in self._watches.items() if k[0] != name}

    def pause(self, name: str) -> None:
        """Stop a process; what arrives waits."""
        self.processes[name].paused = True

    def resume(self, name: str) -> None:
        """Let a paused process go on."""
        process = self.processes[name]
        process.paused = False
        backlog, process.backlog = process.backlog, []
        for action in backlog:
            action()

    def node(self, name: str) -> AgentNode:
        """Return the node of a running process."""
        return self.processes[name].node

    def carry_out(self, name: str, effects: list) -> None:
        """Carry out the effects of a node's method."""
        for effect in effects:
            self._do(effect, self.processes[name])

    def file(self, name: str, ticket: Ticket) -> int:
        """File a ticket at a router; `settled` holds the outcome later."""
        filing = next(self._filings)
        node = self.node(name)
        self.carry_out(name, node.file(filing, ticket, self.now_s))
        return filing

    # Time

    def run(self, duration_s: float) -> None:
        """Let virtual time pass."""
        end_s = self.now_s + duration_s
        while self._events and self._events[0][0] <= end_s:
            self.now_s, _, action = heapq.heappop(self._events)
            action()
        self.now_s = end_s

    def run_until(self, condition: Callable[[], bool], limit_s: float) -> float:
        """Let time pass until a condition holds and return how long that took.

        Raises
        ------
        TimeoutError
            If it does not hold within `limit_s` of virtual time.
        """
        began_s = self.now_s
        while not condition():
            if self.now_s >= began_s + limit_s:
                raise TimeoutError(f"not within {limit_s} s of virtual time")
            self.run(TICK_S)
        return self.now_s - began_s

    def _at(self, delay_s: float, action: Callable[[], None]) -> None:
        entry = (self.now_s + delay_s, next(self._order), action)
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
        self._at(TICK_S, lambda: self._tick(process))

    def _deliver(self, process: _Process, event: Callable[[], list]) -> None:
        """Hand an event to a process unless it has ended meanwhile."""
        name = process.address.instance
        if self.processes.get(name) is not process:
            return
        if process.paused:
            process.backlog.append(lambda: self._deliver(process, event))
        else:
            self.carry_out(name, event())

    # Effects

    @singledispatchmethod
    def _do(self, effect, process: _Process) -> None:
        pass

    @_do.register
    def _(self, effect: Warn, process: _Process) -> None:
        self.warnings[effect.event] += 1

    @_do.register
    def _(self, effect: FilingFinished, process: _Process) -> None:
        self.settled[effect.filing] = effect

    @_do.register
    def _(self, effect: InForceResult, process: _Process) -> None:
        self.found.append(effect)

    @_do.register
    def _(self, effect: SendOrder, process: _Process) -> None:
        name = process.address.instance
        self.orders.append((self.now_s, name, effect))

        def event() -> list:
            node = process.node
            node.orders.on_answer(effect.order, OrderOutcome.DONE, self.now_s)
            return []

        self._at(self.order_s, lambda: self._deliver(process, event))

    @_do.register(StateChanged)
    @_do.register(EpochLearned)
    def _(self, effect, process: _Process) -> None:
        pass

    @_do.register
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
        self._at(self._delay_s(), lambda: self._receive(name, source, effect.payload))

    def _receive(self, name: str, source: PeerAddress, payload) -> None:
        target = self.processes.get(name)
        if target is None:
            return

        def event() -> list:
            return target.node.on_message(
                source.instance, source.incarnation, payload, self.now_s
            )

        self._deliver(target, event)

    @_do.register(WatchOpen)
    def _(self, effect: WatchOpen, process: _Process) -> None:
        key = (process.address.instance, process.address.incarnation, effect.watch)
        self.store.calls["WatchOpen"] += 1
        self._watches[key] = effect
        for stored in self.store.history:
            if stored.version > effect.since and stored.name.startswith(effect.prefix):
                self._tell(key, WatchChange(effect.watch, stored.version, stored))

    @_do.register(WatchClose)
    def _(self, effect: WatchClose, process: _Process) -> None:
        key = (process.address.instance, process.address.incarnation, effect.watch)
        self._watches.pop(key, None)

    @_do.register(StoreCall)
    def _(self, effect, process: _Process) -> None:
        self._at(self._delay_s(), lambda: self._call_store(effect, process))

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
                self._tell_all(stored)
        event = lambda: process.node.on_store_answer(answer, self.now_s)  # noqa: E731
        self._at(delay_s, lambda: self._deliver(process, event))

    def _tell_all(self, stored: StoredObject) -> None:
        for key, watch in list(self._watches.items()):
            if stored.name.startswith(watch.prefix):
                self._tell(key, WatchChange(watch.watch, stored.version, stored))

    def _beat_watches(self) -> None:
        for key, watch in list(self._watches.items()):
            if self.store.down or key[0] in self.network.no_store:
                del self._watches[key]
                self._tell(key, WatchEnded(watch.watch))
            else:
                self._tell(key, WatchChange(watch.watch, self.store.version))
        self._at(WATCH_HEARTBEAT_S, self._beat_watches)

    def _tell(self, key: tuple[str, int, int], event: WatchChange | WatchEnded) -> None:
        process = self.processes.get(key[0])
        if process is None or process.address.incarnation != key[1]:
            return
        if self.network.silent_watches and isinstance(event, WatchChange):
            return
        deliver = lambda: process.node.on_watch(event, self.now_s)  # noqa: E731
        self._at(self._delay_s(), lambda: self._deliver(process, deliver))

    def _delay_s(self) -> float:
        return self._random.uniform(*self.network.delay_s)
