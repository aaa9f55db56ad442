"""Routers, a store and a ledger on virtual time, all with seeded faults."""

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
    """Probability of each fault per step."""

    store_lost: float = 0.03
    store_late: float = 0.03
    store_answer_lost: float = 0.05
    ledger_refuses: float = 0.08
    unreachable: float = 0.05
    ledger_answer_lost: float = 0.05
    ledger_late: float = 0.04
    ledger_crossed: float = 0.03
    slot_refused: float = 0.03
    peer_lost: float = 0.1


@dataclass
class Call:
    """One request of a caller and what came of it."""

    key: str
    body: str
    deadline_s: float
    leaves: bool
    machine: object = None
    result: object = None
    answered_s: float = -1.0


@dataclass
class Send:
    """One send to the ledger, and whether it ran, if only later."""

    key: str
    sent_s: float
    ran: bool = False


@dataclass
class Run:
    """A machine at work in one incarnation of a router."""

    key: str
    machine: object
    callers: list = field(default_factory=list)
    effects: deque = field(default_factory=deque)
    finished: bool = False


class Router:
    """One router process; `alive` ends with its incarnation."""

    def __init__(self, name, incarnation, seed):
        self.name, self.alive, self.cut = name, True, False
        attempts = LocalAttempts((name, incarnation), random.Random(f"{seed}{name}"))
        limits = ActionRegistryLimits(max_active=500, max_outcome_bytes=400)
        self.registry = ActionRegistry(attempts, ActionSettings(), limits)
        self.runs = {}


class World:
    """Event loop on virtual time that carries out the effects of all machines."""

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
        self.recorded = {}
        self.calls = []
        self.routers = {}
        for number in range(routers):
            self.start(f"r{number}")

    def at(self, delay_s, action):
        """Do something later."""
        item = (self.now_s + delay_s, next(self._order), action)
        heapq.heappush(self._heap, item)

    def run(self, until_s=float("inf")):
        """Let time pass."""
        while self._heap and self._heap[0][0] <= until_s:
            self.now_s, _, action = heapq.heappop(self._heap)
            action()

    def chance(self, name):
        """Return whether a fault strikes."""
        return self.random.random() < getattr(self.faults, name)

    def start(self, name):
        """Start a router, in a new incarnation if it was there before."""
        self.routers[name] = Router(name, next(self._incarnations), self.seed)

    def kill(self, name):
        """End a router at once; its callers lose their connections."""
        router = self.routers[name]
        router.alive = False
        for run in router.runs.values():
            for call in run.callers:
                call.result = call.result or "connection lost"

    def call(self, name, key, body="b", patience_s=20.0, leaves=False):
        """Send a keyed action to a router."""
        router = self.routers[name]
        call = Call(key, body, self.now_s + patience_s, leaves)
        self.calls.append(call)
        try:
            known = router.registry.cached_outcome(key, body, self.now_s)
            if known is not None:
                return self._answer(call, known)
            call.machine = router.registry.join(key, body, call.deadline_s)
        except Refusal as refusal:
            return self._answer(call, refusal)
        run = router.runs.get(key)
        if run is None or run.machine is not call.machine:
            run = router.runs[key] = Run(key, call.machine)
            run.effects.extend(call.machine.begin())
            run.callers.append(call)
            self._advance(router, run)
        elif run.finished:
            return self._answer(call, run.machine.result)
        else:
            run.callers.append(call)
        self.at(patience_s, lambda: self._out_of_time(router, run, call))

    # Machines

    def _out_of_time(self, router, run, call):
        if call.result is not None or not router.alive:
            return
        only = len(run.callers) == 1
        if call.leaves:
            call.result = "caller left"
        else:
            self._answer(call, run.machine.deadline_refusal(only))
        run.callers.remove(call)
        if only and not run.finished:
            run.machine.abandon()

    def _answer(self, call, result):
        if call.result is None:
            call.result, call.answered_s = result, self.now_s

    def _advance(self, router, run):
        while run.effects and router.alive:
            effect = run.effects.popleft()
            if isinstance(effect, ev.Finish):
                run.finished = True
                for call in run.callers:
                    self._answer(call, effect.result)
            elif not isinstance(effect, ev.ReleaseSlot):
                self._do(effect, router, run)
                return
        if router.alive and run.machine.phase is Phase.ENDED:
            if router.runs.get(run.key) is run:
                del router.runs[run.key]
            router.registry.close(run.key, run.machine, self.now_s)

    def _event(self, delay_s, router, run, event):
        def deliver():
            if router.alive:
                if isinstance(event, ev.Answered):
                    self.recorded[run.key] = (router, run.machine.body_hash)
                run.effects.extend(run.machine.on(event, self.now_s, self.now_s))
                self._advance(router, run)

        self.at(delay_s, deliver)

    def _do(self, effect, router, run):
        match effect:
            case ev.Wait(delay_s):
                self._event(delay_s, router, run, ev.DelayElapsed())
            case ev.AcquireSlot():
                event = ev.SlotGranted()
                if self.chance("slot_refused"):
                    event = ev.SlotRefused(refuse("queue-full"))
                self._event(self.random.random(), router, run, event)
            case ev.SendAction(send_id):
                self._send(send_id, router, run)
            case ev.QueryOwner(instance, attempt_id):
                self._ask(instance, attempt_id, router, run)
            case _:
                self._store(effect, router, run)

    # Store

    def _store(self, effect, router, run):
        kind = "read" if isinstance(effect, ev.ReadRecord) else "write"
        self.store_calls[kind] += 1
        lost = self.store_down or router.cut or self.chance("store_lost")
        doubtful = ev.StoreNoAnswer()
        if lost:
            self._event(STORE_TIMEOUT_S, router, run, doubtful)
        elif self.chance("store_late"):
            # Takes effect when the caller no longer waits for the answer.
            delay_s = STORE_TIMEOUT_S + self.random.expovariate(0.5)
            self.at(delay_s, lambda: self._apply(effect, run.key))
            self._event(STORE_TIMEOUT_S, router, run, doubtful)
        else:
            answer_lost = self.chance("store_answer_lost")

            def apply():
                event = self._apply(effect, run.key)
                if answer_lost:
                    self._event(STORE_TIMEOUT_S, router, run, doubtful)
                else:
                    self._event(0.002, router, run, event)

            self.at(0.002 + 0.01 * self.random.random(), apply)

    def _apply(self, effect, key):
        found = self.store.get(key)
        match effect:
            case ev.ReadRecord():
                if found is None:
                    return ev.RecordMissing()
                return ev.RecordFound(decode_record(found[1]), found[0])
            case ev.CreateRecord(record) if found is None:
                return self._put(key, record)
            case ev.UpdateRecord(record, version) if found and found[0] == version:
                return self._put(key, record)
            case ev.DeleteRecord(version) if found and found[0] == version:
                del self.store[key]
                return ev.WriteAccepted(0)
        return ev.WriteConflict()

    def _put(self, key, record):
        self.version += 1
        self.store[key] = (self.version, encode_record(record))
        return ev.WriteAccepted(self.version)

    # Ledger

    def _send(self, send_id, router, run):
        send = Send(run.key, self.now_s)
        self.sends.append(send)
        delay_s = 0.01 + 0.2 * self.random.random()
        if self.chance("unreachable"):
            self._event(delay_s, router, run, ev.NotRun("connect"))
        elif self.chance("ledger_refuses"):
            self._event(delay_s, router, run, ev.NotRun("503", reached=True))
        elif self.chance("ledger_late"):
            # The packet arrives after the router stopped waiting.
            self.at(SEND_TIMEOUT_S + 1.0, lambda: self._journal(send))
            self._event(SEND_TIMEOUT_S, router, run, ev.AnswerLost("late"))
        elif self.chance("ledger_answer_lost") or self.chance("ledger_crossed"):
            self.at(delay_s, lambda: self._journal(send))
            self._event(delay_s, router, run, ev.AnswerLost("lost or crossed"))
        else:
            self.at(delay_s / 2, lambda: self._answered(delay_s / 2, router, run, send))

    def _answered(self, delay_s, router, run, send):
        number = self._journal(send)
        outcome = Outcome(200, [("N", str(number))], b"%d" % number)
        self._event(delay_s, router, run, ev.Answered(outcome))

    def _journal(self, send):
        send.ran = True
        self.journal.append(send.key)
        return len(self.journal)

    # Other routers

    def _ask(self, instance, attempt_id, router, run):
        names = (
            [instance] if instance else [n for n in self.routers if n != router.name]
        )
        best = [OwnerState.DONE, OwnerState.LOST, OwnerState.RUNNING]
        best += [OwnerState.SILENT, OwnerState.NOT_SENT, OwnerState.NONE]
        answers = [self._ask_one(n, attempt_id, router, run.key) for n in names]
        answer = min(answers, key=lambda a: best.index(a.state))
        self._event(0.5 * self.random.random(), router, run, answer)

    def _ask_one(self, name, attempt_id, router, key):
        other = self.routers[name]
        if not other.alive or other.cut or router.cut or self.chance("peer_lost"):
            return ev.OwnerAnswer(OwnerState.SILENT)
        return other.registry.answer(key, attempt_id, self.now_s)
