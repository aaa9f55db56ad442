"""Requests of a load run, determined by the settings and their seed."""

from __future__ import annotations

import heapq
import math
import random
from collections.abc import Iterator
from dataclasses import dataclass, replace
from itertools import count

from carobstair.load.settings import LoadSettings, WorkspaceLoad

__all__ = ["PlannedAction", "PlannedChat", "PlannedRequest", "make_plan"]

# A repeated action is sent at most this long after the original.
MAX_REPEAT_DELAY_S = 0.2


@dataclass(frozen=True, slots=True)
class PlannedRequest:
    """A request of the plan.

    Attributes
    ----------
    at_s : float
        Time at which it is due, in seconds from the start of the run.
    router : int
        Index of the router to which it is sent.
    """

    at_s: float
    number: int
    workspace: str
    router: int


@dataclass(frozen=True, slots=True)
class PlannedChat(PlannedRequest):
    """A streamed chat request."""

    model: str
    prompt: str
    tokens: int


@dataclass(frozen=True, slots=True)
class PlannedAction(PlannedRequest):
    """An action on a plain service, sent with an idempotency key."""

    service: str
    path: str
    key: str


def make_plan(settings: LoadSettings) -> Iterator[PlannedRequest]:
    """Yield the requests of a run in order of their due times.

    Parameters
    ----------
    settings : LoadSettings
        Equal settings yield equal plans.
    """
    planner = _Planner(settings)
    pending: list[tuple[float, int, PlannedRequest]] = []
    for request in planner.arrivals():
        while pending and pending[0][0] <= request.at_s:
            yield heapq.heappop(pending)[2]
        yield request
        repeat = planner.repeat_of(request)
        if repeat is not None:
            heapq.heappush(pending, (repeat.at_s, repeat.number, repeat))
    while pending:
        yield heapq.heappop(pending)[2]


class _Planner:
    def __init__(self, settings: LoadSettings):
        self._settings = settings
        self._random = random.Random(settings.load.seed)
        self._numbers = count()
        self._names = sorted(settings.workspace)
        self._weights = [settings.workspace[name].weight for name in self._names]
        self._router_weights = settings.load.effective_router_weights()

    def arrivals(self) -> Iterator[PlannedRequest]:
        at_s = self._interval_s()
        while at_s < self._settings.load.seconds:
            yield self._request(at_s)
            at_s += self._interval_s()

    def repeat_of(self, request: PlannedRequest) -> PlannedRequest | None:
        load = self._settings.workspace[request.workspace]
        if not isinstance(request, PlannedAction):
            return None
        if self._random.random() >= load.repeat_fraction:
            return None
        return replace(
            request,
            at_s=request.at_s + self._random.random() * MAX_REPEAT_DELAY_S,
            number=next(self._numbers),
            router=(request.router + 1) % len(self._router_weights),
        )

    def _interval_s(self) -> float:
        return self._random.expovariate(self._settings.load.rate_per_s)

    def _request(self, at_s: float) -> PlannedRequest:
        name = self._random.choices(self._names, self._weights)[0]
        load = self._settings.workspace[name]
        router = self._random.choices(
            range(len(self._router_weights)), self._router_weights
        )[0]
        common = (at_s, next(self._numbers), name, router)
        if self._random.random() < load.action_fraction:
            key = f"{name}-{self._random.getrandbits(64):016x}"
            return PlannedAction(*common, load.service, load.action_path, key)
        tokens = self._tokens(load)
        return PlannedChat(*common, load.model, self._prompt(load, tokens), tokens)

    def _tokens(self, load: WorkspaceLoad) -> int:
        drawn = self._random.lognormvariate(math.log(load.median_tokens), load.sigma)
        return max(1, min(load.max_tokens, round(drawn)))

    def _prompt(self, load: WorkspaceLoad, tokens: int) -> str:
        words = (f"w{self._random.randrange(10_000)}" for _ in range(load.prompt_words))
        # The engine stand-in reads the length of its answer from this marker.
        return " ".join((*words, f"answer_tokens={tokens}"))
