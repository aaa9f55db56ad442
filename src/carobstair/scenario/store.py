"""The object API on virtual time: delay, outages, lost answers and watches."""

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
DELAY_S = (0.002, 0.008)
CALL_TIMEOUT_S = 1.0
WATCH_BEAT_S = 5.0
# The platform's list drops an instance this long after its end.
LIST_LAG_S = 10.0


@dataclass(frozen=True, slots=True)
class StoreDelete:
    """Remove an object if it still has this version."""

    call: int
    name: str
    version: int


@dataclass(slots=True, eq=False)
class StoreClient:
    """A process's link to the store.

    Attributes
    ----------
    deliver_answer, deliver_watch : callable
        Take the answer of a call or an event of a watch.
    """

    name: str
    deliver_answer: Callable[[StoreAnswer], None]
    deliver_watch: Callable[[WatchChange | WatchEnded], None]


class SimStore:
    """A versioned store that several processes call and watch.

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
        self._slow_s = 0.0
        self._lossy_until_s = 0.0
        self._loss = 0.0
        self.state = FleetState()
        self.accepted_s: dict[int, float] = {}
        self.calls: Counter[str] = Counter()
        clock.every(WATCH_BEAT_S, self._beat, WATCH_BEAT_S)

    @property
    def is_down(self) -> bool:
        """Whether no call gets through."""
        return self._clock.now_s < self._down_until_s

    def go_down(self, duration_s: float) -> None:
        """Answer no call for a time; watches break."""
        self._down_until_s = self._clock.now_s + duration_s
        self._break_watches(list(self._watches))

    def go_slow(self, delay_s: float, duration_s: float) -> None:
        """Answer late for a time."""
        self._slow_s, self._slow_until_s = delay_s, self._clock.now_s + duration_s

    def lose_answers(self, fraction: float, duration_s: float) -> None:
        """Lose answers for a time, also of writes that took effect."""
        self._loss, self._lossy_until_s = fraction, self._clock.now_s + duration_s

    def found(self, state: FleetState) -> None:
        """Write the first ticket before any process runs."""
        self._call(StoreCreate(0, ticket_name(1), _first_ticket(state)))

    def read(self, name: str) -> bytes | None:
        """Return an object as it is now, for checks."""
        stored = self._objects.objects.get(name)
        return None if stored is None else stored.value

    def names(self, prefix: str) -> list[str]:
        """Return the names of the objects of a prefix, for checks."""
        return sorted(n for n in self._objects.objects if n.startswith(prefix))

    def list_instance(self, name: str, leaving: bool = False) -> None:
        """Put a process into the platform's instance list."""
        entries = {e.name: e for e in self._objects.instances}
        entries[name] = InstanceEntry(name, leaving)
        self._objects.instances = tuple(entries.values())

    def drop_instance(self, name: str, still_gone: Callable[[], bool]) -> None:
        """Take a process out of the instance list, after the list's lag."""

        def drop() -> None:
            if still_gone():
                self._objects.instances = tuple(
                    e for e in self._objects.instances if e.name != name
                )

        self._clock.after(LIST_LAG_S, drop)

    def call(self, client: StoreClient, call) -> None:
        """Carry out a process's call and deliver the answer, if any, in time."""
        self.calls[client.name] += 1
        late_s = self._slow_s if self._clock.now_s < self._slow_until_s else 0.0
        reaches_s, back_s = self._delay_s() + late_s / 2, self._delay_s() + late_s / 2

        def arrive() -> None:
            lost = not self._network.connected(client.name, STORE)
            if self.is_down or lost:
                self._time_out(client, call, reaches_s)
                return
            answer = self._call(call)
            if self._is_lost() or reaches_s + back_s > CALL_TIMEOUT_S:
                self._time_out(client, call, reaches_s)
            else:
                self._clock.after(back_s, lambda: client.deliver_answer(answer))

        self._clock.after(reaches_s, arrive)

    def open_watch(self, client: StoreClient, watch: WatchOpen) -> None:
        """Report the changes of a prefix from a version on."""
        self.calls[client.name] += 1
        key = (client, watch.watch)
        self._watches[key] = watch
        if not self._reaches(client):
            self._break_watches([key])
            return
        for stored in self._objects.history:
            if stored.version > watch.since and stored.name.startswith(watch.prefix):
                self._tell(key, WatchChange(watch.watch, stored.version, stored))

    def close_watch(self, client: StoreClient, number: int) -> None:
        """End a watch."""
        self._watches.pop((client, number), None)

    def forget(self, client: StoreClient) -> None:
        """End all watches of a process that is gone."""
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
                self._tell(key, WatchChange(watch.watch, stored.version, stored))

    def _time_out(self, client: StoreClient, call, waited_s: float) -> None:
        answer = StoreAnswer(call.call, StoreOutcome.UNAVAILABLE)
        left_s = max(0.0, CALL_TIMEOUT_S - waited_s)
        self._clock.after(left_s, lambda: client.deliver_answer(answer))

    def _is_lost(self) -> bool:
        lossy = self._clock.now_s < self._lossy_until_s
        return lossy and self._generator.random() < self._loss

    def _tell(self, key: tuple[StoreClient, int], event) -> None:
        if self._reaches(key[0]):
            self._clock.after(self._delay_s(), lambda: key[0].deliver_watch(event))

    def _beat(self) -> None:
        for key, watch in list(self._watches.items()):
            if self._reaches(key[0]):
                self._tell(key, WatchChange(watch.watch, self._objects.version))
            else:
                self._break_watches([key])

    def _break_watches(self, keys: list[tuple[StoreClient, int]]) -> None:
        for key in keys:
            ended = WatchEnded(self._watches.pop(key).watch)
            self._clock.after(
                self._delay_s(),
                lambda client=key[0], ended=ended: client.deliver_watch(ended),
            )

    def _reaches(self, client: StoreClient) -> bool:
        return not self.is_down and self._network.connected(client.name, STORE)

    def _delay_s(self) -> float:
        return self._generator.uniform(*DELAY_S)


def _first_ticket(state: FleetState) -> bytes:

    ticket = Ticket(1, "founding", "", state.workspaces, state.upstreams, state.zones)
    return JsonCodec.encode_ticket(ticket)
