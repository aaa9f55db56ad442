"""Simulated routers, record store and ledger service, with seeded fault injection."""

import heapq
import itertools
import random
from collections import deque
from dataclasses import dataclass, field

from carobstair.core import action_events as ev
from carobstair.core.action_phases import ActionSettings, Phase
from carobstair.core.action_records import (
    LocalAttempts,
    Outcome,
    OwnerState,
    decode_record,
    encode_record,
)
from carobstair.core.action_registry import ActionRegistry, ActionRegistryLimits
from carobstair.core.refusals import Refusal, refuse

STORE_TIMEOUT_S = 1.0
SEND_TIMEOUT_S = 5.0


@dataclass
class Faults:
    """Probability of each fault at each step where it can occur."""

    store_request_lost: float = 0.03
    store_request_late: float = 0.03
    store_answer_lost: float = 0.05
    ledger_refuses: float = 0.08
    ledger_unreachable: float = 0.05
    ledger_answer_lost: float = 0.05
    ledger_request_late: float = 0.04
    ledger_answer_mismatched: float = 0.03
    slot_refused: float = 0.03
    peer_query_lost: float = 0.1


@dataclass
class Call:
    """One request of a caller and its result."""

    key: str
    body: str
    deadline_s: float
    disconnects: bool
    machine: object = None
    result: object = None
    answered_s: float = -1.0


@dataclass
class Send:
    """One send to the ledger, and whether it has run, possibly after its time-out."""

    key: str
    sent_s: float
    ran: bool = False


@dataclass
class ActionRun:
    """An action machine that runs in one incarnation of a router."""

    key: str
    machine: object
    callers: list = field(default_factory=list)
    effects: deque = field(default_factory=deque)
    finished: bool = False


class Router:
    """One incarnation of a router; `alive` becomes false when it is killed."""

    def __init__(self, name, incarnation, seed):
        self.name, self.alive, self.partitioned = name, True, False
        attempts = LocalAttempts((name, incarnation), random.Random(f"{seed}{name}"))
        limits = ActionRegistryLimits(max_active=500, max_outcome_bytes=400)
        self.registry = ActionRegistry(attempts, ActionSettings(), limits)
        self.runs = {}


class Simulation:
    """Event loop in virtual time that executes the effects of all action machines."""

    def __init__(self, seed, routers=4, faults=None):
        self.random = random.Random(seed)
        self.faults = faults or Faults()
        self.seed, self.now_s = seed, 0.0
        self._heap, self._order = [], itertools.count()
        self._incarnations = itertools.count(1)
        self.store, self.version, self.store_down = {}, 0, False
        self.store_calls = {"read": 0, "write": 0}
        self.journal = []
        self.sends = []
        self.answered_actions = {}
        self.calls = []
        self.routers = {}
        for number in range(routers):
            self.start(f"r{number}")

    def schedule(self, delay_s, action):
        """Schedule a function to be called after a delay."""
        item = (self.now_s + delay_s, next(self._order), action)
        heapq.heappush(self._heap, item)

    def run(self, until_s=float("inf")):
        """Process the scheduled events up to a time."""
        while self._heap and self._heap[0][0] <= until_s:
            self.now_s, _, action = heapq.heappop(self._heap)
            action()

    def fault_occurs(self, name):
        """Return whether a fault occurs, drawn with its probability."""
        return self.random.random() < getattr(self.faults, name)

    def start(self, name):
        """Start a router, or restart it in a new incarnation."""
        self.routers[name] = Router(name, next(self._incarnations), self.seed)

    def kill(self, name):
        """Kill a router; its callers lose their connections."""
        router = self.routers[name]
        router.alive = False
        for run in router.runs.values():
            for call in run.callers:
                call.result = call.result or "connection lost"

    def call(self, name, key, body="b", timeout_s=20.0, disconnects=False):
        """Send a keyed action to a router."""
        router = self.routers[name]
        call = Call(key, body, self.now_s + timeout_s, disconnects)
        self.calls.append(call)
        try:
            cached = router.registry.cached_outcome(key, body, self.now_s)
            if cached is not None:
                return self._complete_call(call, cached)
            call.machine = router.registry.join(key, body, call.deadline_s)
        except Refusal as refusal:
            return self._complete_call(call, refusal)
        run = router.runs.get(key)
        if run is None or run.machine is not call.machine:
            run = router.runs[key] = ActionRun(key, call.machine)
            run.effects.extend(call.machine.begin())
            run.callers.append(call)
            self._advance(router, run)
        elif run.finished:
            return self._complete_call(call, run.machine.result)
        else:
            run.callers.append(call)
        self.schedule(timeout_s, lambda: self._on_deadline(router, run, call))

    # Action machines

    def _on_deadline(self, router, run, call):
        if call.result is not None or not router.alive:
            return
        is_only_caller = len(run.callers) == 1
        if call.disconnects:
            call.result = "caller left"
        else:
            self._complete_call(call, run.machine.deadline_refusal(is_only_caller))
        run.callers.remove(call)
        if is_only_caller and not run.finished:
            run.machine.abandon()

    def _complete_call(self, call, result):
        if call.result is None:
            call.result, call.answered_s = result, self.now_s

    def _advance(self, router, run):
        while run.effects and router.alive:
            effect = run.effects.popleft()
            if isinstance(effect, ev.Finish):
                run.finished = True
                for call in run.callers:
                    self._complete_call(call, effect.result)
            elif not isinstance(effect, ev.ReleaseSlot):
                self._execute(effect, router, run)
                return
        if router.alive and run.machine.phase is Phase.ENDED:
            if router.runs.get(run.key) is run:
                del router.runs[run.key]
            router.registry.close(run.key, run.machine, self.now_s)

    def _schedule_event(self, delay_s, router, run, event):
        def deliver():
            if router.alive:
                if isinstance(event, ev.Answered):
                    self.answered_actions[run.key] = (router, run.machine.body_hash)
                run.effects.extend(run.machine.on(event, self.now_s, self.now_s))
                self._advance(router, run)

        self.schedule(delay_s, deliver)

    def _execute(self, effect, router, run):
        match effect:
            case ev.Wait(delay_s):
                self._schedule_event(delay_s, router, run, ev.DelayElapsed())
            case ev.AcquireSlot():
                event = ev.SlotGranted()
                if self.fault_occurs("slot_refused"):
                    event = ev.SlotRefused(refuse("queue-full"))
                self._schedule_event(self.random.random(), router, run, event)
            case ev.SendAction(send_id):
                self._send_action(send_id, router, run)
            case ev.QueryOwner(instance, attempt_id):
                self._query_owners(instance, attempt_id, router, run)
            case _:
                self._call_store(effect, router, run)

    # Store

    def _call_store(self, effect, router, run):
        kind = "read" if isinstance(effect, ev.ReadRecord) else "write"
        self.store_calls[kind] += 1
        lost = (
            self.store_down
            or router.partitioned
            or self.fault_occurs("store_request_lost")
        )
        no_answer = ev.StoreNoAnswer()
        if lost:
            self._schedule_event(STORE_TIMEOUT_S, router, run, no_answer)
        elif self.fault_occurs("store_request_late"):
            # The call takes effect after the router has stopped waiting for the answer.
            delay_s = STORE_TIMEOUT_S + self.random.expovariate(0.5)
            self.schedule(delay_s, lambda: self._apply_store_call(effect, run.key))
            self._schedule_event(STORE_TIMEOUT_S, router, run, no_answer)
        else:
            answer_lost = self.fault_occurs("store_answer_lost")

            def apply():
                event = self._apply_store_call(effect, run.key)
                if answer_lost:
                    self._schedule_event(STORE_TIMEOUT_S, router, run, no_answer)
                else:
                    self._schedule_event(0.002, router, run, event)

            self.schedule(0.002 + 0.01 * self.random.random(), apply)

    def _apply_store_call(self, effect, key):
        found = self.store.get(key)
        match effect:
            case ev.ReadRecord():
                if found is None:
                    return ev.RecordMissing()
                return ev.RecordFound(decode_record(found[1]), found[0])
            case ev.CreateRecord(record) if found is None:
                return self._put_record(key, record)
            case ev.UpdateRecord(record, version) if found and found[0] == version:
                return self._put_record(key, record)
            case ev.DeleteRecord(version) if found and found[0] == version:
                del self.store[key]
                return ev.WriteAccepted(0)
        return ev.WriteConflict()

    def _put_record(self, key, record):
        self.version += 1
        self.store[key] = (self.version, encode_record(record))
        return ev.WriteAccepted(self.version)

    # Ledger

    def _send_action(self, send_id, router, run):
        send = Send(run.key, self.now_s)
        self.sends.append(send)
        delay_s = 0.01 + 0.2 * self.random.random()
        if self.fault_occurs("ledger_unreachable"):
            self._schedule_event(delay_s, router, run, ev.NotRun("connect"))
        elif self.fault_occurs("ledger_refuses"):
            self._schedule_event(delay_s, router, run, ev.NotRun("503", reached=True))
        elif self.fault_occurs("ledger_request_late"):
            # The request arrives after the router has stopped waiting.
            self.schedule(SEND_TIMEOUT_S + 1.0, lambda: self._append_to_journal(send))
            self._schedule_event(SEND_TIMEOUT_S, router, run, ev.AnswerLost("late"))
        elif self.fault_occurs("ledger_answer_lost") or self.fault_occurs(
            "ledger_answer_mismatched"
        ):
            self.schedule(delay_s, lambda: self._append_to_journal(send))
            self._schedule_event(
                delay_s, router, run, ev.AnswerLost("lost or mismatched")
            )
        else:
            self.schedule(
                delay_s / 2,
                lambda: self._deliver_answer(delay_s / 2, router, run, send),
            )

    def _deliver_answer(self, delay_s, router, run, send):
        number = self._append_to_journal(send)
        outcome = Outcome(200, [("N", str(number))], b"%d" % number)
        self._schedule_event(delay_s, router, run, ev.Answered(outcome))

    def _append_to_journal(self, send):
        send.ran = True
        self.journal.append(send.key)
        return len(self.journal)

    # Queries between routers

    def _query_owners(self, instance, attempt_id, router, run):
        names = (
            [instance] if instance else [n for n in self.routers if n != router.name]
        )
        precedence = [OwnerState.DONE, OwnerState.LOST, OwnerState.RUNNING]
        precedence += [OwnerState.SILENT, OwnerState.NOT_SENT, OwnerState.NONE]
        answers = [self._query_router(n, attempt_id, router, run.key) for n in names]
        answer = min(answers, key=lambda a: precedence.index(a.state))
        self._schedule_event(0.5 * self.random.random(), router, run, answer)

    def _query_router(self, name, attempt_id, router, key):
        other = self.routers[name]
        if (
            not other.alive
            or other.partitioned
            or router.partitioned
            or self.fault_occurs("peer_query_lost")
        ):
            return ev.OwnerAnswer(OwnerState.SILENT)
        return other.registry.answer(key, attempt_id, self.now_s)
