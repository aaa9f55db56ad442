"""Room at the engines of a service, from what the router knows of their load."""

from __future__ import annotations

import math
from collections.abc import Callable, Collection, Mapping
from dataclasses import dataclass, field

from carobstair.core.dispatch import Dispatcher
from carobstair.core.engine_load import PromptShape
from carobstair.core.share_messages import PoolDemand

__all__ = ["EngineLoad", "EngineRoom"]

# Reading the load of all engines takes far longer than a decision; within this time a
# router of a fleet sends few requests.
LOAD_TTL_S = 0.05
# Engines with a free slot that are tried for one request.
TRIED_ENGINES = 3
# Homes with a free slot that are added to the engines drawn: a part has two.
HOME_CHOICES = 2
# Shared part of a prompt for which the engines that hold it are looked up.
MIN_HELD_TOKENS = 512
# Backlog of a single engine that counts towards the mean, in seconds. An engine that
# nearly stalls would otherwise stand for the whole service.
MAX_ENGINE_WAIT_S = 0.5
# Requests of a single engine that count towards the mean, relative to its slots.
MAX_ENGINE_LOAD = 1.5
# Part of the objective within which the first token is to be expected.
OBJECTIVE_PART = 0.8


@dataclass(slots=True)
class EngineLoad:
    """Load of the healthy engines of a service that do not limit their requests.

    Attributes
    ----------
    engines, slots : int
    own : dict
        Requests of this router by engine.
    backlog_tokens : int
        Prompt tokens of these requests that engines with a free slot have not read.
    slots_used : float
        Requests of all routers relative to the slots, as this router sees them.
    wait_s : float
        Mean time for which the prompts of all routers wait to be read.
    read_tokens_per_s : float
        Rate at which all of them read prompts.
    target_wait_s : float
        Mean wait at which they are at their target load.
    free : dict
        Free slots by engine.
    full : frozenset of str
        Engines without a free slot.
    excess : dict
        Requests beyond the slots by engine; negative if some are free.
    least_excess : float
        Requests beyond the slots, and one more, at the last of the half of the full
        engines that has the fewest, relative to its slots.
    """

    engines: int = 0
    slots: int = 0
    own: dict[str, int] = field(default_factory=dict)
    backlog_tokens: int = 0
    slots_used: float = 0.0
    wait_s: float = 0.0
    read_tokens_per_s: float = 1.0
    target_wait_s: float = 1.0
    free: dict[str, int] = field(default_factory=dict)
    excess: dict[str, int] = field(default_factory=dict)
    full: frozenset[str] = frozenset()
    least_excess: float = 0.0


@dataclass(slots=True)
class _ReadLoad:
    load: EngineLoad
    others: PoolDemand | None
    at_s: float


@dataclass(slots=True)
class EngineRoom:
    """Answers whether an engine would begin a request within its objective.

    Engines that stall or fail are left out. What the router sends, and what ends, after
    the load was read is counted.

    Parameters
    ----------
    dispatcher : Dispatcher
    others : callable
        Returns what all other routers report of a service, None if unknown.
    applies : callable
        Returns whether requests of a service are placed by the room of its engines.
    unseen_part : callable
        Returns the part of the requests at engines that others may have placed since.
    """

    dispatcher: Dispatcher
    others: Callable[[str, float], PoolDemand | None] = lambda *args: None
    applies: Callable[[str], bool] = lambda service: True
    unseen_part: Callable[[float], float] = lambda now_s: 0.0
    _loads: dict[str, _ReadLoad] = field(default_factory=dict)

    def __post_init__(self) -> None:
        self.dispatcher.narrow = self.narrow

    def load(self, service: str, now_s: float) -> EngineLoad:
        """Return the load of a service's engines, at most `LOAD_TTL_S` old.

        It is never older than the sums of the other routers.
        """
        others = self.others(service, now_s)
        known = self._loads.get(service)
        if (
            known is None
            or now_s - known.at_s >= LOAD_TTL_S
            or known.others is not others
        ):
            load = self._read(service, others, now_s)
            known = self._loads[service] = _ReadLoad(load, others, now_s)
        return known.load

    def read(self, service: str, now_s: float) -> EngineLoad:
        """Return the load of a service's engines as it is now."""
        self._loads.pop(service, None)
        return self.load(service, now_s)

    def own_running(self, service: str, now_s: float) -> int:
        """Return the requests that this router has at a service's engines now."""
        own_running = self.dispatcher.loads.own_running
        return sum(own_running(name) for name in self.load(service, now_s).excess)

    def has_room(
        self,
        service: str,
        prompt: PromptShape,
        objective_s: float,
        now_s: float,
    ) -> bool:
        """Return whether some engine has a free slot and begins in time."""
        load = self.load(service, now_s)
        if not load.free:
            return False
        loads, rng = self.dispatcher.loads, self.dispatcher.rng
        names = list(load.free)
        limit_s = OBJECTIVE_PART * objective_s
        for name in rng.sample(names, min(TRIED_ENGINES, len(names))):
            sent = loads.own_running(name) - load.own.get(name, 0)
            if sent >= load.free[name]:
                continue
            unread = loads.uncached_tokens(name, prompt)
            if load.wait_s + unread / loads.settings.prefill_tokens_per_s <= limit_s:
                return True
        return False

    def narrow(
        self,
        service: str,
        ids: set[str],
        prompt: PromptShape,
        now_s: float,
        homes: Collection[str] = (),
    ) -> Collection[str]:
        """Return the engines, of some, at which a request should be placed.

        Two remain, chosen at random by how much less load they have, the second one
        among those that hold the shared part of the prompt: what is known of the load
        is some tenths of a second old, and all routers would send to the engine that
        had the least then. Homes that have a free slot remain as well.

        Parameters
        ----------
        homes : collection of str, optional
            Engines that most likely hold the shared part, in order of rank.
        """
        if not self.applies(service):
            return ids
        if self.dispatcher.loads.has_capacity_estimates(service):
            # Placement by capacity weighs full engines against prompts that they hold.
            return ids
        load = self.load(service, now_s)
        names = [name for name in load.excess if name in ids]
        if not names:
            return ids
        rng = self.dispatcher.rng
        levels = self._levels(load, names)
        weights = self._weights(load, levels, now_s)
        chosen = set(ids).difference(names)
        chosen.update(self._free_homes(load, levels, homes, now_s))
        chosen.update(rng.choices(names, list(weights.values())))
        holders = self._holders(prompt, [n for n in names if weights[n] > 0]) or names
        chosen.update(rng.choices(holders, [weights[name] for name in holders]))
        return sorted(chosen)

    def _free_homes(
        self,
        load: EngineLoad,
        levels: Mapping[str, int],
        homes: Collection[str],
        now_s: float,
    ) -> list[str]:
        """Return the first homes with a free slot that others have not filled since."""
        if not homes:
            return []
        unseen = self.unseen_part(now_s) * load.slots * load.slots_used / load.engines
        free = [name for name in homes if levels.get(name, 0) + unseen < 0]
        return free[:HOME_CHOICES]

    def _holders(self, prompt: PromptShape, names: list[str]) -> list[str]:
        """Return the engines that hold all of a prompt but its last segment."""
        if len(prompt.segments) < 2:
            return []
        own_tokens = prompt.segments[-1][1]
        if prompt.prompt_tokens - own_tokens < MIN_HELD_TOKENS:
            return []
        uncached_tokens = self.dispatcher.loads.uncached_tokens
        return [n for n in names if uncached_tokens(n, prompt) <= own_tokens]

    def _levels(self, load: EngineLoad, names: list[str]) -> dict[str, int]:
        """Return the requests beyond the slots, with those sent since."""
        own_running = self.dispatcher.loads.own_running
        return {
            name: load.excess[name] + own_running(name) - load.own.get(name, 0)
            for name in names
        }

    def _weights(
        self, load: EngineLoad, levels: Mapping[str, int], now_s: float
    ) -> dict[str, float]:
        """Return how often engines should get a request, in relative terms.

        All routers together then fill them up to the same level with what they send
        before they know of each other's requests.
        """
        requests = load.slots * load.slots_used
        left = 1.0 + self.unseen_part(now_s) * requests
        full, total = -math.inf, 0.0
        for index, level in enumerate(sorted(levels.values())):
            if index * level - total >= left:
                break
            total += level
            full = (left + total) / (index + 1)
        return {name: max(full - level, 0.0) for name, level in levels.items()}

    def wait_s(self, service: str, hold_s: float, now_s: float) -> float:
        """Return the wait for a slot and for the prompts that are read before.

        Parameters
        ----------
        hold_s : float
            Mean time that a request holds its slot.
        """
        load = self.load(service, now_s)
        if load.free or not load.engines:
            return load.wait_s
        return load.wait_s + hold_s * load.least_excess

    def _read(
        self, service: str, others: PoolDemand | None, now_s: float
    ) -> EngineLoad:
        dispatcher = self.dispatcher
        loads, settings = dispatcher.loads, dispatcher.loads.settings
        limited = {upstream_id for upstream_id, _ in dispatcher.rates.limited()}
        entries = {
            entry.upstream_id: entry
            for entry in dispatcher.in_use(service, now_s)
            if entry.upstream_id not in limited
        }
        own = {name: (tokens, running) for name, tokens, running in loads.own_rows()}
        present = {name: self._present(name, own, others, now_s) for name in entries}
        # An engine whose queue is known is silent without being stalled.
        stalls_s = {
            name: stall_s
            for name, stall_s in loads.stall_durations_s(entries, now_s).items()
            if present[name] <= entries[name].slots
        }
        healthy = dispatcher.health.preferred(entries, stalls_s, now_s)
        load = EngineLoad(target_wait_s=settings.target_wait_s)
        cap_tokens = int(MAX_ENGINE_WAIT_S * settings.prefill_tokens_per_s)
        used = 0.0
        backlog = 0
        excess: list[tuple[float, str]] = []
        for name in sorted(healthy):
            slots = entries[name].slots
            tokens, running = own.get(name, (0, 0))
            load.slots += slots
            load.excess[name] = present[name] - slots
            if running:
                load.own[name] = running
            used += min(present[name], MAX_ENGINE_LOAD * slots)
            if present[name] < slots:
                load.free[name] = slots - present[name]
                # Prompts that wait for a slot count as requests, not once more here.
                load.backlog_tokens += min(tokens, cap_tokens)
                backlog += min(loads.backlog_tokens(name), cap_tokens)
            else:
                excess.append(((present[name] - slots + 1) / max(1, slots), name))
        load.engines = len(healthy)
        load.full = frozenset(healthy - load.free.keys())
        if excess:
            excess.sort()
            half = excess[: len(excess) // 2 + 1]
            load.least_excess = half[-1][0]
        load.slots_used = used / max(1, load.slots)
        load.read_tokens_per_s = settings.prefill_tokens_per_s * max(1, len(healthy))
        if others is not None:
            backlog = load.backlog_tokens + others.backlog_tokens
        load.wait_s = backlog / load.read_tokens_per_s
        return load

    def _present(
        self,
        name: str,
        own: Mapping[str, tuple[int, int]],
        others: PoolDemand | None,
        now_s: float,
    ) -> int:
        """Return the requests of all routers at an engine."""
        if others is None:
            return self.dispatcher.loads.occupancy(name, now_s)
        return own.get(name, (0, 0))[1] + others.engines.get(name, 0)
