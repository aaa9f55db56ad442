"""Plays requests for upstreams that limit their rate on a whole fleet, on virtual time.

Every router has its own `PermitDesk`; messages take a hop and may be lost. Upstreams
begin to state their rate at one moment, and count what arrives. A request goes to the
upstream with the shortest wait for a permit, and is refused if none is short enough.
"""

from __future__ import annotations

import heapq
import itertools
import random
from collections.abc import Callable
from dataclasses import dataclass, field

from carobstair.core.messages import encode
from carobstair.core.rate_limits import (
    IssuedPermit,
    PermitAnswer,
    PermitDesk,
    PermitRequest,
    PermitReturn,
    RateNews,
)

__all__ = ["PermitLoadPlan", "PermitReport", "RouterFault", "play_permits"]

HOP_S = 0.002
RESPONSE_S = 0.05
WINDOW_S = 4.0
# After this time without messages a router is no longer heard.
SILENCE_S = 1.0


@dataclass(frozen=True, slots=True)
class RouterFault:
    """A time during which routers are frozen, stopped or cut off from the others.

    Attributes
    ----------
    how : str
        ``freeze``: nothing is handled, and all of it later; ``restart``: the state is
        lost; ``cut``: messages to and from the other routers are lost.
    routers : range
        Numbers of the routers.
    """

    how: str
    begin_s: float
    end_s: float
    routers: range


@dataclass(frozen=True, slots=True)
class PermitLoadPlan:
    """A load, and the fleet that it is played on.

    Attributes
    ----------
    rate_per_s : float
        What each upstream states that it accepts.
    load : float
        Requests relative to what all upstreams accept.
    pinned : int
        Routers that receive all requests; 0 for all routers alike.
    limited_s : float
        When the upstreams begin to state their rate.
    """

    routers: int = 8
    upstreams: int = 4
    rate_per_s: float = 3.0
    load: float = 3.0
    pinned: int = 0
    limited_s: float = 2.0
    seconds: float = 16.0
    max_wait_s: float = 0.3
    faults: tuple[RouterFault, ...] = ()
    seed: int = 1


@dataclass(slots=True)
class PermitReport:
    """What upstreams received and routers did.

    Attributes
    ----------
    arrivals_s : dict
        Times of arrival by upstream.
    told_s : dict
        When each router first knew of each limit.
    """

    plan: PermitLoadPlan
    arrivals_s: dict[str, list[float]] = field(default_factory=dict)
    told_s: dict[tuple[int, str], float] = field(default_factory=dict)
    refused: int = 0
    messages: int = 0
    bytes: int = 0

    def most_in_window(self, begin_s: float) -> int:
        """Return the most requests that an upstream got in a window after a time."""
        most = 0
        for times in self.arrivals_s.values():
            counted = sorted(t for t in times if t >= begin_s)
            first = 0
            for last, time_s in enumerate(counted):
                while time_s - counted[first] >= WINDOW_S:
                    first += 1
                most = max(most, last - first + 1)
        return most

    def used_part(self, begin_s: float) -> float:
        """Return the part of the rates that was used from a time to the end."""
        count = sum(
            sum(t >= begin_s for t in times) for times in self.arrivals_s.values()
        )
        plan = self.plan
        allowed = plan.rate_per_s * (plan.seconds - begin_s) * plan.upstreams
        return count / allowed


@dataclass(slots=True)
class _Request:
    router: int
    until_s: float
    upstream: str = ""
    answered: bool = False


class _Fleet:
    """Routers, upstreams and the events between them."""

    def __init__(self, plan: PermitLoadPlan):
        self.plan = plan
        self.rng = random.Random(plan.seed)
        self.report = PermitReport(plan, {f"u{n}": [] for n in range(plan.upstreams)})
        self.names = [f"r{n}" for n in range(plan.routers)]
        self.heard = [set(range(plan.routers)) - {n} for n in range(plan.routers)]
        self.desks = [self._make_desk(n) for n in range(plan.routers)]
        self.waiting: dict[tuple[int, int], _Request] = {}
        self.now_s = 0.0
        self._events: list[tuple[float, int, int, Callable[[], None]]] = []
        self._order = itertools.count()

    def _make_desk(self, router: int) -> PermitDesk:
        return PermitDesk(
            self.names[router],
            others=lambda: [self.names[n] for n in self.heard[router]],
            count_routers=lambda: self.plan.routers,
        )

    # Events

    def at(self, time_s: float, router: int, action: Callable[[], None]) -> None:
        """Run an action of a router at a time; -1 for actions of no router."""
        heapq.heappush(self._events, (time_s, next(self._order), router, action))

    def run(self) -> PermitReport:
        """Play the plan."""
        plan = self.plan
        for fault in plan.faults:
            self._schedule(fault)
        rate = plan.load * plan.rate_per_s * plan.upstreams
        time_s = 0.0
        while (time_s := time_s + self.rng.expovariate(rate)) < plan.seconds:
            router = self.rng.randrange(plan.pinned or plan.routers)
            self.at(time_s, router, lambda r=router: self._arrive(r))
        while self._events:
            time_s, order, router, action = heapq.heappop(self._events)
            self.now_s = time_s
            fault = self._fault_of(router)
            if fault is None:
                action()
            elif fault.how == "freeze":
                heapq.heappush(self._events, (fault.end_s, order, router, action))
        return self.report

    def _fault_of(self, router: int) -> RouterFault | None:
        """Return the fault for which a router does not run now."""
        for fault in self.plan.faults:
            within = fault.begin_s <= self.now_s < fault.end_s
            if within and router in fault.routers and fault.how != "cut":
                return fault
        return None

    def _is_cut(self, sender: int, receiver: int) -> bool:
        return any(
            fault.begin_s <= self.now_s < fault.end_s
            and (sender in fault.routers) != (receiver in fault.routers)
            for fault in self.plan.faults
            if fault.how == "cut"
        )

    def _schedule(self, fault: RouterFault) -> None:
        if fault.how == "restart":
            for router in fault.routers:
                self.at(fault.end_s, -1, lambda r=router: self._restart(r))
        if fault.end_s - fault.begin_s > SILENCE_S:
            self.at(fault.begin_s + SILENCE_S, -1, lambda: self._lose(fault))
        self.at(fault.end_s + 10 * HOP_S, -1, lambda: self._hear_again(fault))

    def _restart(self, router: int) -> None:
        self.desks[router] = self._make_desk(router)
        for key in [key for key in self.waiting if key[0] == router]:
            del self.waiting[key]

    def _pairs(self, fault: RouterFault) -> list[tuple[int, int]]:
        others = [n for n in range(self.plan.routers) if n not in fault.routers]
        return [(n, other) for n in fault.routers for other in others]

    def _lose(self, fault: RouterFault) -> None:
        for router, other in self._pairs(fault):
            self.heard[router].discard(other)
            self.heard[other].discard(router)

    def _hear_again(self, fault: RouterFault) -> None:
        for router, other in self._pairs(fault):
            for own, peer in ((router, other), (other, router)):
                self.heard[own].add(peer)
                news = self.desks[own].news()
                if news is not None:
                    self._send(own, peer, news)

    # Messages

    def _send(self, sender: int, receiver: int, payload) -> None:
        self.report.messages += 1
        self.report.bytes += len(encode(payload, self.names[sender], 1, 0, 1))
        if not self._is_cut(sender, receiver):
            self.at(
                self.now_s + HOP_S,
                receiver,
                lambda: self._receive(sender, receiver, payload),
            )

    def _receive(self, sender: int, receiver: int, payload) -> None:
        desk, name = self.desks[receiver], self.names[sender]
        if isinstance(payload, RateNews):
            desk.merge(name, payload.rows, self.now_s)
            self._note_told(receiver)
        elif isinstance(payload, PermitRequest):
            answer = desk.on_request(name, payload, self.now_s)
            self._send(receiver, sender, answer)
        elif isinstance(payload, PermitReturn):
            desk.take_back((payload.upstream, payload.born_ms))
        elif isinstance(payload, PermitAnswer):
            desk.on_answer(name, payload, self.now_s)
            request = self.waiting.pop((receiver, payload.number), None)
            if request is not None:
                issued = IssuedPermit(payload.granted, payload.delay_s)
                self._apply(request, issued)
            elif payload.granted:
                self._send(receiver, sender, PermitReturn(payload.rate.upstream, 1))

    def _note_told(self, router: int) -> None:
        for upstream, _ in self.desks[router].rates.limited():
            self.report.told_s.setdefault((router, upstream), self.now_s)

    # Requests

    def _arrive(self, router: int) -> None:
        self._place(_Request(router, self.now_s + self.plan.max_wait_s))

    def _place(self, request: _Request) -> None:
        router, desk = request.router, self.desks[request.router]
        left_s = max(0.0, request.until_s - self.now_s)
        waits = [
            (desk.wait_s((upstream, 1), self.now_s), self.rng.random(), upstream)
            for upstream in self.report.arrivals_s
        ]
        wait_s, _, request.upstream = min(waits)
        if wait_s > left_s:
            self.report.refused += 1
            return
        upstream = request.upstream, 1
        if not desk.rates.is_limited(upstream):
            self._apply(request, IssuedPermit(True, 0.0))
            return
        asked = desk.ask(upstream, left_s, self.now_s)
        if isinstance(asked, IssuedPermit):
            self._apply(request, asked)
            return
        receiver, message = asked
        self.waiting[router, message.number] = request
        self._send(router, self.names.index(receiver), message)
        self.at(
            self.now_s + desk.answer_timeout_s(message),
            router,
            lambda: self._time_out(desk, receiver, (router, message.number)),
        )

    def _time_out(self, desk: PermitDesk, receiver: str, key: tuple[int, int]) -> None:
        request = self.waiting.pop(key, None)
        if request is not None:
            desk.on_silence(receiver, self.now_s)
            self._place(request)

    def _apply(self, request: _Request, issued: IssuedPermit) -> None:
        if not issued.granted:
            self._place(request)
            return
        sent_s = self.now_s + issued.delay_s
        valid_until_s = sent_s + self.desks[request.router].settings.lifetime_s
        self.at(sent_s, request.router, lambda: self._deliver(request, valid_until_s))

    def _deliver(self, request: _Request, valid_until_s: float) -> None:
        if self.now_s > valid_until_s:
            self._place(request)
            return
        sent_s, plan = self.now_s, self.plan
        self.report.arrivals_s[request.upstream].append(sent_s)
        rate = plan.rate_per_s if sent_s >= plan.limited_s else None
        self.at(
            sent_s + RESPONSE_S,
            request.router,
            lambda: self._respond(request, rate, sent_s),
        )

    def _respond(self, request: _Request, rate: float | None, sent_s: float) -> None:
        desk, upstream = self.desks[request.router], (request.upstream, 1)
        changed = desk.rates.note_response(upstream, rate, sent_s, self.now_s)
        if changed is not None:
            self._note_told(request.router)
            for peer in self.heard[request.router]:
                self._send(request.router, peer, desk.news_of(upstream))


def play_permits(plan: PermitLoadPlan) -> PermitReport:
    """Play a load on a fleet."""
    return _Fleet(plan).run()
