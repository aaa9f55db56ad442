"""The requests of a run, fixed by the seed before any is sent."""

from __future__ import annotations

import heapq
import math
import random
from collections.abc import Iterator
from dataclasses import dataclass, replace
from itertools import count

from carobstair.load.settings import LoadSettings, WorkspaceLoad

__all__ = ["PlannedAction", "PlannedChat", "PlannedRequest", "make_plan"]

# A client that loses patience asks again within this time.
REPEAT_WITHIN_S = 0.2


@dataclass(frozen=True, slots=True)
class PlannedRequest:
    """One request of the plan.

    Attributes
    ----------
    at_s : float
        When it is to be sent, in seconds from the start of the run.
    router : int
        Index of the router that it is sent to.
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
    """A keyed action on a plain service."""

    service: str
    path: str
    key: str


def make_plan(settings: LoadSettings) -> Iterator[PlannedRequest]:
    """Yield the requests of a run in the order of their times.

    Parameters
    ----------
    settings : LoadSettings
        The same settings give the same plan.
    """
    planner = _Planner(settings)
    pending: list[tuple[float, int, PlannedRequest]] = []
    for request in planner.arrivals():
        while pending and pending[0][0] <= request.at_s:
            yield heapq.heappop(pending)[2]
        yield request
        again = planner.repeat_of(request)
        if again is not None:
            heapq.heappush(pending, (again.at_s, again.number, again))
    while pending:
        yield heapq.heappop(pending)[2]


class _Planner:
    def __init__(self, settings: LoadSettings):
        self._settings = settings
        self._random = random.Random(settings.load.seed)
        self._numbers = count()
        self._names = sorted(settings.workspace)
        self._weights = [settings.workspace[name].weight for name in self._names]
        self._spread = settings.load.spread()

    def arrivals(self) -> Iterator[PlannedRequest]:
        at_s = self._gap_s()
        while at_s < self._settings.load.seconds:
            yield self._request(at_s)
            at_s += self._gap_s()

    def repeat_of(self, request: PlannedRequest) -> PlannedRequest | None:
        load = self._settings.workspace[request.workspace]
        if not isinstance(request, PlannedAction):
            return None
        if self._random.random() >= load.repeat_fraction:
            return None
        return replace(
            request,
            at_s=request.at_s + self._random.random() * REPEAT_WITHIN_S,
            number=next(self._numbers),
            router=(request.router + 1) % len(self._spread),
        )

    def _gap_s(self) -> float:
        return self._random.expovariate(self._settings.load.rate_per_s)

    def _request(self, at_s: float) -> PlannedRequest:
        name = self._random.choices(self._names, self._weights)[0]
        load = self._settings.workspace[name]
        router = self._random.choices(range(len(self._spread)), self._spread)[0]
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
        # Engines that know this mark, as the stand-in does, answer at this length.
        return " ".join((*words, f"answer_tokens={tokens}"))
