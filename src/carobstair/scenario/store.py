"""Simulated object API with delay, outages, lost answers and watches."""

from __future__ import annotations

import random
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass

from carobstair.core.state import FleetState, Ticket
from carobstair.core.store_calls import (
    InstanceEntry,
    StoreAnswer,
    StoreCreate,
    StoredObject,
    StoreOutcome,
    WatchChange,
    WatchEnded,
    WatchOpen,
)
from carobstair.core.tickets import TICKET_PREFIX, ticket_name
from carobstair.models import JsonCodec
from carobstair.scenario.clock import VirtualClock
from carobstair.scenario.network import Network
from carobstair.standins.memory_store import MemoryStore

__all__ = ["STORE", "SimStore", "StoreClient", "StoreDelete"]

STORE = "store"
CALL_DELAY_RANGE_S = (0.002, 0.008)
CALL_TIMEOUT_S = 1.0
WATCH_HEARTBEAT_S = 5.0
# The platform's instance list still shows an instance this long after its end.
INSTANCE_LIST_LAG_S = 10.0


@dataclass(frozen=True, slots=True)
class StoreDelete:
    """Deletes an object if it still has this version."""

    call: int
    name: str
    version: int


@dataclass(slots=True, eq=False)
class StoreClient:
    """A process's connection to the store.

    Attributes
    ----------
    deliver_answer, deliver_watch : callable
        Called with the answer to a call or with an event of a watch.
    """

    name: str
    deliver_answer: Callable[[StoreAnswer], None]
    deliver_watch: Callable[[WatchChange | WatchEnded], None]


class SimStore:
    """A versioned object store that several processes call and watch.

    Parameters
    ----------
    clock : VirtualClock
    network : Network
    generator : random.Random
    """

    def __init__(self, clock: VirtualClock, network: Network, generator: random.Random):
        self._clock = clock
        self._network = network
        self._generator = generator
        self._objects = MemoryStore()
        self._watches: dict[tuple[StoreClient, int], WatchOpen] = {}
        self._down_until_s = 0.0
        self._slow_until_s = 0.0
        self._slow_delay_s = 0.0
        self._loss_until_s = 0.0
        self._loss = 0.0
        self.state = FleetState()
        self.accepted_s: dict[int, float] = {}
        self.calls: Counter[str] = Counter()
        clock.every(WATCH_HEARTBEAT_S, self._send_heartbeats, WATCH_HEARTBEAT_S)

    @property
    def is_down(self) -> bool:
        """Whether the store is unavailable to all processes."""
        return self._clock.now_s < self._down_until_s

    def start_outage(self, duration_s: float) -> None:
        """Answer no calls for a time and end all watches."""
        self._down_until_s = self._clock.now_s + duration_s
        self._break_watches(list(self._watches))

    def start_slowdown(self, delay_s: float, duration_s: float) -> None:
        """Delay answers for a time."""
        self._slow_delay_s, self._slow_until_s = delay_s, self._clock.now_s + duration_s

    def lose_answers(self, fraction: float, duration_s: float) -> None:
        """Drop a fraction of the answers for a time; the calls still take effect."""
        self._loss, self._loss_until_s = fraction, self._clock.now_s + duration_s

    def write_initial_state(self, state: FleetState) -> None:
        """Write the first ticket, before any process starts."""
        self._call(StoreCreate(0, ticket_name(1), _first_ticket(state)))

    def read(self, name: str) -> bytes | None:
        """Return the current value of an object, for use in tests."""
        stored = self._objects.objects.get(name)
        return None if stored is None else stored.value

    def names(self, prefix: str) -> list[str]:
        """Return the sorted names of the objects with a prefix, for use in tests."""
        return sorted(n for n in self._objects.objects if n.startswith(prefix))

    def list_instance(self, name: str, leaving: bool = False) -> None:
        """Add a process to the platform's instance list, or update its entry."""
        entries = {e.name: e for e in self._objects.instances}
        entries[name] = InstanceEntry(name, leaving)
        self._objects.instances = tuple(entries.values())

    def drop_instance(self, name: str, still_gone: Callable[[], bool]) -> None:
        """Remove a process from the instance list, after the lag of the list."""

        def drop() -> None:
            if still_gone():
                self._objects.instances = tuple(
                    e for e in self._objects.instances if e.name != name
                )

        self._clock.after(INSTANCE_LIST_LAG_S, drop)

    def call(self, client: StoreClient, call) -> None:
        """Execute a call; deliver its answer, or ``UNAVAILABLE`` after a timeout."""
        self.calls[client.name] += 1
        extra_s = self._slow_delay_s if self._clock.now_s < self._slow_until_s else 0.0
        request_s, response_s = (
            self._delay_s() + extra_s / 2,
            self._delay_s() + extra_s / 2,
        )

        def arrive() -> None:
            unreachable = not self._network.connected(client.name, STORE)
            if self.is_down or unreachable:
                self._deliver_timeout(client, call, request_s)
                return
            answer = self._call(call)
            if self._loses_answer() or request_s + response_s > CALL_TIMEOUT_S:
                self._deliver_timeout(client, call, request_s)
            else:
                self._clock.after(response_s, lambda: client.deliver_answer(answer))

        self._clock.after(request_s, arrive)

    def open_watch(self, client: StoreClient, watch: WatchOpen) -> None:
        """Open a watch, which reports changes under a prefix after a version."""
        self.calls[client.name] += 1
        key = (client, watch.watch)
        self._watches[key] = watch
        if not self._can_reach(client):
            self._break_watches([key])
            return
        for stored in self._objects.history:
            if stored.version > watch.since and stored.name.startswith(watch.prefix):
                self._deliver_event(
                    key, WatchChange(watch.watch, stored.version, stored)
                )

    def close_watch(self, client: StoreClient, number: int) -> None:
        """Close a watch."""
        self._watches.pop((client, number), None)

    def close_watches(self, client: StoreClient) -> None:
        """Close all watches of a process that has ended."""
        self._watches = {k: w for k, w in self._watches.items() if k[0] is not client}

    def _call(self, call) -> StoreAnswer:
        if isinstance(call, StoreDelete):
            return self._delete(call)
        before = len(self._objects.history)
        answer = self._objects.answer(call)
        for stored in self._objects.history[before:]:
            self._note_written(stored)
        return answer

    def _delete(self, call: StoreDelete) -> StoreAnswer:
        found = self._objects.objects.get(call.name)
        if found is None or found.version != call.version:
            return StoreAnswer(call.call, StoreOutcome.CONFLICT)
        del self._objects.objects[call.name]
        return StoreAnswer(call.call, StoreOutcome.OK)

    def _note_written(self, stored: StoredObject) -> None:
        if stored.name.startswith(TICKET_PREFIX):
            self.state = self.state.apply(JsonCodec.decode_ticket(stored.value))
            self.accepted_s[self.state.number] = self._clock.now_s
        for key, watch in list(self._watches.items()):
            if stored.name.startswith(watch.prefix):
                self._deliver_event(
                    key, WatchChange(watch.watch, stored.version, stored)
                )

    def _deliver_timeout(self, client: StoreClient, call, waited_s: float) -> None:
        answer = StoreAnswer(call.call, StoreOutcome.UNAVAILABLE)
        left_s = max(0.0, CALL_TIMEOUT_S - waited_s)
        self._clock.after(left_s, lambda: client.deliver_answer(answer))

    def _loses_answer(self) -> bool:
        is_losing = self._clock.now_s < self._loss_until_s
        return is_losing and self._generator.random() < self._loss

    def _deliver_event(self, key: tuple[StoreClient, int], event) -> None:
        if self._can_reach(key[0]):
            self._clock.after(self._delay_s(), lambda: key[0].deliver_watch(event))

    def _send_heartbeats(self) -> None:
        for key, watch in list(self._watches.items()):
            if self._can_reach(key[0]):
                self._deliver_event(
                    key, WatchChange(watch.watch, self._objects.version)
                )
            else:
                self._break_watches([key])

    def _break_watches(self, keys: list[tuple[StoreClient, int]]) -> None:
        for key in keys:
            ended = WatchEnded(self._watches.pop(key).watch)
            self._clock.after(
                self._delay_s(),
                lambda client=key[0], ended=ended: client.deliver_watch(ended),
            )

    def _can_reach(self, client: StoreClient) -> bool:
        return not self.is_down and self._network.connected(client.name, STORE)

    def _delay_s(self) -> float:
        return self._generator.uniform(*CALL_DELAY_RANGE_S)


def _first_ticket(state: FleetState) -> bytes:
    ticket = Ticket(1, "founding", "", state.workspaces, state.upstreams, state.zones)
    return JsonCodec.encode_ticket(ticket)
