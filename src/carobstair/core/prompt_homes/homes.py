"""The homes of requests' shared parts, and counts of where requests were sent."""

from __future__ import annotations

import math
import random
from collections import OrderedDict
from collections.abc import Callable, Collection, Mapping, Sequence
from dataclasses import dataclass, field
from typing import Protocol

from carobstair.core.prompt_homes.demand import PartDemand
from carobstair.core.prompt_homes.load_balance import LoadBalance
from carobstair.core.prompt_homes.ranking import EngineRanking
from carobstair.core.prompt_homes.settings import HomeSettings
from carobstair.core.prompt_homes.terms import HomeTerms

__all__ = ["HomeCounts", "PromptHomes"]


class KeyedPrompt(Protocol):
    """What is read of a `PromptShape`."""

    prompt_tokens: int
    segments: Sequence[tuple[str, int]]


@dataclass(slots=True)
class HomeCounts:
    """Sends of requests that have homes, since the start.

    Attributes
    ----------
    first, second, elsewhere : int
        Sends to the first home, to the second, and to other engines.
    repeated_tokens : int
        Tokens of shared parts that were sent to an engine not known to hold them,
        while another was known to.
    """

    first: int = 0
    second: int = 0
    elsewhere: int = 0
    repeated_tokens: int = 0


@dataclass(slots=True)
class PromptHomes:
    """Homes of shared prompt parts, by service.

    Parameters
    ----------
    settings : HomeSettings
    zone : str
        Zone of this router.
    """

    settings: HomeSettings
    zone: str
    enabled: bool = False
    counts: HomeCounts = field(default_factory=HomeCounts)
    demand: PartDemand = field(init=False)
    _rankings: dict[str, EngineRanking] = field(default_factory=dict)
    _balances: dict[str, LoadBalance] = field(default_factory=dict)
    # First ranks at the last choice, by key, for the counts.
    _chosen: OrderedDict[str, list[str]] = field(default_factory=OrderedDict)

    def __post_init__(self) -> None:
        self.demand = PartDemand(self.settings)

    def enable(self) -> bool:
        """Let placement use homes from now on; return whether it did not before."""
        was_enabled, self.enabled = self.enabled, True
        return not was_enabled

    def key(self, prompt: KeyedPrompt) -> tuple[str, int] | None:
        """Return the key of a prompt's shared part and its tokens, if it has homes."""
        segments = prompt.segments
        if len(segments) < 2:
            return None
        if len(segments) == 2:
            key, tokens = segments[0]
        else:
            shared = segments[:-1]
            key = "/".join([segment for segment, _ in shared])
            tokens = sum([tokens for _, tokens in shared])
        return (key, tokens) if tokens >= self.settings.min_tokens else None

    def terms(
        self,
        service: str,
        keyed: tuple[str, int],
        prompt: KeyedPrompt,
        zones: Mapping[str, str],
        cold: Collection[str],
        rng: random.Random,
    ) -> HomeTerms:
        """Return what homes change in the costs of engines for a request.

        Parameters
        ----------
        keyed : tuple of (str, int)
            As returned by `key`.
        zones : mapping
            Zones of the engines that may be used, by upstream id; at least one.
        cold : collection of str
            Engines among them that are cold.
        """
        key, shared_tokens = keyed
        settings, balance = self.settings, self._balance(service)
        homes = self._ranking(service).homes(key, zones, cold)
        self._chosen[key] = homes
        if len(self._chosen) > settings.max_keys:
            self._chosen.popitem(last=False)
        prices = settings.rank_prices
        needed = min(self.demand.homes_needed(prompt.segments[-2][0]), len(homes))
        preferred = ""
        spare_requests = balance.spare_requests
        bound_requests = balance.bound_requests
        if needed > 1:
            # At random, as all routers would choose the one of the least stated load,
            # which is known late.
            preferred = homes[int(needed * rng.random())]
            prices = (*prices[:1] * needed, *prices[1:])
            spare_requests = bound_requests = math.inf
        discounts = {u: 1.0 - p for u, p in zip(homes, prices, strict=False)}
        if needed == 1 < len(homes) and zones[homes[1]] == self.zone != zones[homes[0]]:
            discounts[homes[1]] = 1.0 - settings.near_second_price
        return HomeTerms(
            discounts,
            preferred,
            settings.spread_s,
            # Callers may state segments that are longer than the prompt.
            max(0, prompt.prompt_tokens - shared_tokens),
            settings.report_lifetime_s,
            settings.backlog_part,
            spare_requests,
            bound_requests,
            settings.balance_s,
        )

    def is_due(self, service: str, now_s: float) -> bool:
        """Return whether what placement knows of a service should be read again."""
        return self._balance(service).is_due(now_s)

    def update(
        self,
        service: str,
        running: Mapping[str, int],
        capacities: Mapping[str, float],
        now_s: float,
    ) -> None:
        """Adapt to the engines that may be used.

        Parameters
        ----------
        running : mapping
            Requests at each engine, by upstream id.
        capacities : mapping
            What each engine takes, in any unit, of those for which it is estimated.
        """
        self._balance(service).update(running.values(), now_s)
        self.demand.update(now_s)
        self._ranking(service).update(running, capacities, now_s)

    def note_send(
        self,
        upstream_id: str,
        prompt: KeyedPrompt,
        uncached_tokens: int,
        is_held_elsewhere: Callable[[str], bool],
    ) -> None:
        """Count the send of a request.

        Parameters
        ----------
        uncached_tokens : int
            Tokens of the prompt that the engine is not known to hold.
        is_held_elsewhere : callable
            Returns whether another engine is known to hold a segment.
        """
        keyed = self.key(prompt)
        if keyed is None:
            return
        self.demand.note(prompt.segments[-2][0])
        homes = self._chosen.get(keyed[0], ())
        counts = self.counts
        if homes and homes[0] == upstream_id:
            counts.first += 1
        elif len(homes) > 1 and homes[1] == upstream_id:
            counts.second += 1
        else:
            counts.elsewhere += 1
        # Of the uncached tokens, those beyond the request's own segment are shared.
        repeated = uncached_tokens - max(0, prompt.prompt_tokens - keyed[1])
        if repeated > 0 and is_held_elsewhere(prompt.segments[-2][0]):
            counts.repeated_tokens += repeated

    def keep(self, upstream_ids: Collection[str]) -> None:
        """Drop the engines that are gone."""
        for ranking in self._rankings.values():
            ranking.keep(upstream_ids)

    def _balance(self, service: str) -> LoadBalance:
        balance = self._balances.get(service)
        if balance is None:
            balance = self._balances[service] = LoadBalance(self.settings)
        return balance

    def _ranking(self, service: str) -> EngineRanking:
        ranking = self._rankings.get(service)
        if ranking is None:
            ranking = self._rankings[service] = EngineRanking(self.settings)
        return ranking
