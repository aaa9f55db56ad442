"""A fleet that follows one roll-out order, on simulated time.

Routers are real controllers with real gates; requests, upstreams, links and the store
are modelled. Everything is drawn from one seed.
"""

import heapq
import itertools
import random
from dataclasses import dataclass, field

from carobstair.core.directory import UpstreamDirectory, UpstreamEntry
from carobstair.core.rollouts import (
    AnswerOutcome,
    LogEvent,
    RolloutController,
    RolloutNews,
    RolloutOrder,
    RolloutReport,
    RolloutSettings,
    RolloutState,
    SendMessage,
    VersionGate,
    WriteStatus,
)
from carobstair.core.store_stamp import Stamp

SERVICE = "pool"
LINK_S = 0.002
STORE_S = 0.004
# A watch that returned changes pauses for up to this time.
MAX_WATCH_LAG_S = 0.4


@dataclass
class Population:
    """Answers of the new version; the old one gives the usual ones.

    Attributes
    ----------
    bad_part, slow_part : float
        Parts of the answers that fail, and that are three times as slow.
    from_part : float
        Part of the order's duration after which it is so.
    min_load : float
        Load of the upstream, relative to the old ones, above which it is so.
    routes : tuple of str
        Routes on which it is so; all if empty.
    failing_upstreams : int
        Number of upstreams of each version that fail a third of their answers.
    usual_bad : float
        Part of all other answers that fail.
    """

    bad_part: float = 0.0
    slow_part: float = 0.0
    from_part: float = 0.0
    min_load: float = 0.0
    routes: tuple = ()
    failing_upstreams: int = 0
    usual_bad: float = 0.001

    @property
    def is_bad(self):
        """Whether the version must be rolled back."""
        return self.bad_part > 0 or self.slow_part > 0


@dataclass
class Load:
    """Requests a second by route, with their prompt tokens and usual first byte."""

    rates: dict = field(
        default_factory=lambda: {"large": 146.0, "small": 241.0, "middle": 258.0}
    )
    tokens: dict = field(
        default_factory=lambda: {"large": 6000, "small": 400, "middle": 1400}
    )
    first_s: dict = field(
        default_factory=lambda: {"large": 0.28, "small": 0.08, "middle": 0.12}
    )


class FleetSimulation:
    """One run of an order.

    Parameters
    ----------
    routers, upstreams : int
        Number of routers, and of upstreams of each version.
    """

    def __init__(
        self,
        population,
        routers=8,
        seed=1,
        duration_s=12.0,
        load=None,
        upstreams=28,
        settings=None,
        new_from_s=0.0,
    ):
        self.population, self.duration_s = population, duration_s
        self.rng = random.Random(seed)
        self.load = load or Load()
        self.settings = settings or RolloutSettings()
        self.now_s = 0.0
        self._queue, self._order = [], itertools.count()
        self.directory = UpstreamDirectory()
        self.failing = set()
        self.new_count, self.new_from_s = upstreams, new_from_s
        for number in range(upstreams):
            self.add_upstream(f"old{number}", "v1")
        for version in ("old", "new"):
            numbers = self.rng.sample(range(upstreams), population.failing_upstreams)
            self.failing |= {f"{version}{number}" for number in numbers}
        if new_from_s is not None:
            self.at(new_from_s, self._add_new)
        self.controllers, self.gates, self.lost = {}, {}, set()
        for number in range(routers):
            self.start_router(f"r{number}")
        # The store: one object, with what each write answered.
        self.revision, self.status = 5, None
        self.writes, self.store_up, self.lose_answers = [], True, False
        self.exposed = self.requests = self.bad = 0
        self.bad_at_verdict = None
        self.fiftieth_bad_s = None
        self.sent_late = 0
        self.served_old_after_s = 0.0
        self.old_after_completed = 0
        self.verdict_s = None
        self.events = []
        self.recent = {}
        self.order = RolloutOrder(SERVICE, "v2", duration_s, Stamp(0, 5))

    # Parts

    def add_upstream(self, name, version):
        """List an upstream."""
        entry = UpstreamEntry(name, SERVICE, "h", 1, "a", 16, False, 0.0, 1, version)
        self.directory.put(entry, Stamp(0, 1), self.now_s)

    def _add_new(self):
        for number in range(self.new_count):
            self.add_upstream(f"new{number}", "v2")

    def start_router(self, name, incarnation=1):
        """Start a router, or start it again."""
        controller = RolloutController(name, incarnation, self.settings)
        self.controllers[name] = controller
        self.gates[name] = VersionGate(self.directory, controller, self.settings)
        self.at(self.rng.uniform(0, 0.2), lambda: self._tick(name, controller))

    def lose_router(self, name):
        """End a router; its requests end with it."""
        self.lost.add(name)

    def at(self, delay_s, action):
        """Run an action after a delay."""
        heapq.heappush(self._queue, (self.now_s + delay_s, next(self._order), action))

    @property
    def present(self):
        """Names of the routers that run."""
        return [name for name in self.controllers if name not in self.lost]

    # Run

    def run(self, until_s=None):
        """Give the order at time 0 and run to the deadline, or to another time."""
        if self.now_s == 0.0:
            self.publish()
            for route in self.load.rates:
                self._schedule_request(route)
        end_s = until_s if until_s is not None else self.duration_s
        while self._queue and self._queue[0][0] <= end_s:
            self.now_s, _, action = heapq.heappop(self._queue)
            action()
        self.now_s = end_s
        return self

    def publish(self, is_first=False):
        """Show the object to all routers, each after the lag of its watch."""
        order = RolloutOrder(
            SERVICE, self.order.target, self.order.duration_s, Stamp(0, self.revision)
        )
        status = self.status
        for name in self.present:
            lag_s = self.rng.uniform(0.0, MAX_WATCH_LAG_S)
            self.at(lag_s, lambda n=name: self._show(n, order, status, is_first))

    def _show(self, name, order, status, is_first):
        if name in self.lost:
            return
        self.controllers[name].on_order(order, status, self.now_s, is_first)

    def _tick(self, name, controller):
        if name in self.lost or self.controllers[name] is not controller:
            return
        others = [n for n in self.present if n != name]
        for effect in controller.tick(others, len(others), self.now_s):
            if isinstance(effect, SendMessage):
                for receiver in effect.receivers:
                    self.at(
                        LINK_S,
                        lambda r=receiver, e=effect: self._receive(
                            name, controller.incarnation, r, e.payload
                        ),
                    )
            elif isinstance(effect, WriteStatus):
                self.at(STORE_S, lambda e=effect: self._write(name, e))
            elif isinstance(effect, LogEvent):
                self.events.append((self.now_s, name, effect))
        interval_s = self.settings.scaled_interval_s(len(others) + 1)
        self.at(
            interval_s * self.rng.uniform(0.9, 1.1),
            lambda: self._tick(name, controller),
        )

    def _receive(self, sender, incarnation, receiver, payload):
        if receiver in self.lost or sender in self.lost:
            return
        controller = self.controllers[receiver]
        if isinstance(payload, RolloutReport):
            controller.on_report(sender, incarnation, payload, self.now_s)
        elif isinstance(payload, RolloutNews):
            controller.on_news(sender, payload, self.now_s)

    def _write(self, name, effect):
        if not self.store_up:
            return
        accepted = effect.stamp.revision == self.revision
        self.writes.append((self.now_s, name, effect.state, accepted))
        if not accepted:
            return
        self.revision += 1
        self.status = effect.state
        self.verdict_s = self.now_s
        self.bad_at_verdict = self.bad
        if not self.lose_answers:
            order = RolloutOrder(
                SERVICE, effect.target, self.duration_s, Stamp(0, self.revision)
            )
            self.at(STORE_S, lambda: self._show(name, order, self.status, False))
        self.publish()

    # Requests

    def _schedule_request(self, route):
        delay_s = self.rng.expovariate(self.load.rates[route])
        self.at(delay_s, lambda: self._request(route))

    def _request(self, route):
        self._schedule_request(route)
        name = self.rng.choice(self.present)
        entry = self._choose(name)
        self.requests += 1
        if entry is None:
            return
        is_new = entry.version == "v2"
        if is_new:
            self.exposed += 1
            late_s = self.settings.rollback_s
            if self.fiftieth_bad_s is not None:
                self.sent_late += self.now_s > self.fiftieth_bad_s + late_s
        elif self.status is RolloutState.COMPLETED:
            self.old_after_completed += 1
        tracked = self.controllers[name].begin_answer(
            SERVICE, route, entry.version, entry.upstream_id, self.load.tokens[route]
        )
        self._answer(name, route, entry, is_new, tracked)

    def _choose(self, name):
        groups = self.gates[name].groups(SERVICE, self.rng.random(), self.now_s)
        if groups is None:
            groups = [[e.upstream_id for e in self.directory.listed(SERVICE)]]
        for group in groups:
            if group:
                chosen = self.rng.choice(sorted(group))
                return self.directory.find(chosen).entry
        return None

    def _answer(self, name, route, entry, is_new, tracked):
        rng, population = self.rng, self.population
        first_s = self.load.first_s[route] * rng.lognormvariate(0.0, 0.35)
        is_bad = rng.random() < population.usual_bad
        if entry.upstream_id in self.failing:
            is_bad = is_bad or rng.random() < 0.3
        if is_new and self._applies(route, entry):
            is_bad = is_bad or rng.random() < population.bad_part
            if rng.random() < population.slow_part:
                first_s *= 3.0
                self.at(first_s, self._count_bad)
        rest_s = rng.expovariate(1.0)
        if is_bad:
            is_broken = rng.random() < 0.3
            outcome = AnswerOutcome.BROKEN if is_broken else AnswerOutcome.FAILED
            if is_new:
                self.at(first_s, self._count_bad)
            if not is_broken:
                self._later(first_s, name, tracked, None, outcome)
                return
            rest_s *= 0.3
        else:
            outcome = AnswerOutcome.GOOD
        self._later(first_s, name, tracked, first_s, None)
        self._later(first_s + min(rest_s, 4.0), name, tracked, None, outcome)

    def _applies(self, route, entry):
        """Return whether the new version's fault shows in this request."""
        population = self.population
        if population.routes and route not in population.routes:
            return False
        if self.now_s < population.from_part * self.duration_s:
            return False
        if population.min_load <= 0:
            return True
        # Load of this upstream over the last second, relative to the usual one.
        sent = self.recent.setdefault(entry.upstream_id, [])
        sent.append(self.now_s)
        while sent[0] < self.now_s - 1.0:
            sent.pop(0)
        usual = sum(self.load.rates.values()) / self.new_count
        return len(sent) >= population.min_load * usual

    def _count_bad(self):
        self.bad += 1
        if self.bad == 50:
            self.fiftieth_bad_s = self.now_s

    def _later(self, delay_s, name, tracked, first_s, outcome):
        if tracked is None:
            return

        def note():
            if name in self.lost:
                return
            if first_s is not None:
                tracked.note_first(first_s)
            if outcome is not None:
                tracked.end(outcome)

        self.at(delay_s, note)

    # Results

    @property
    def bound(self):
        """Requests that a bad version may get."""
        settings = self.settings
        return settings.exposure_share * self.requests + settings.exposure_slack

    def summary(self):
        """Return the figures of the run as one line."""
        verdict_s = None if self.verdict_s is None else round(self.verdict_s, 2)
        return (
            f"{self.status} at {verdict_s} exposed {self.exposed}/{self.bound:.0f}"
            f" bad {self.bad_at_verdict} late {self.sent_late}"
            f" old after {self.old_after_completed} writes {len(self.writes)}"
        )
