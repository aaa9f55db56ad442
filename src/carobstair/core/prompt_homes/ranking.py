"""Rank of engines for a prompt part by weighted rendezvous hashing."""

from __future__ import annotations

import math
from collections import OrderedDict
from collections.abc import Collection, Iterable, Mapping
from dataclasses import dataclass, field

import xxhash

from carobstair.core.prompt_homes.settings import HomeSettings
from carobstair.core.prompt_homes.weight_steps import WeightSteps

__all__ = ["EngineRanking"]

HASH_RANGE = 2.0**64


@dataclass(slots=True)
class EngineRanking:
    """Ranks the engines of one service for each part, and keeps the first ranks.

    The rank of an engine depends on its id, its weight and the part only, so engines
    that come and go move no parts but their own. Engines that may not be used now
    keep their ranks and are passed over.
    """

    settings: HomeSettings = HomeSettings()
    steps: WeightSteps = field(init=False)
    # Hash seeds of the engines that were seen, by upstream id.
    _seeds: dict[str, int] = field(default_factory=dict)
    _weighed_s: float = -math.inf
    _ranks: OrderedDict[str, tuple[str, ...]] = field(default_factory=OrderedDict)

    def __post_init__(self) -> None:
        self.steps = WeightSteps(self.settings)

    def __len__(self) -> int:
        """Return the number of parts whose ranks are kept."""
        return len(self._ranks)

    def homes(
        self, key: str, zones: Mapping[str, str], cold: Collection[str] = ()
    ) -> list[str]:
        """Return the engines of the first ranks that may be used, homes first.

        The second home is the next in rank in another zone than the first, if one of
        the kept ranks is: if a zone is lost, each part keeps a home.

        Parameters
        ----------
        zones : mapping
            Zones of the engines that may be used, by upstream id.
        cold : collection of str
            Those that are homes only if all engines are cold.
        """
        ranks = self._ranks
        ranked = ranks.get(key)
        if ranked is None:
            ranked = self._rank(key)
        else:
            ranks.move_to_end(key)
        usable = [u for u in ranked if u in zones and u not in cold]
        if len(usable) < 2:
            usable = self._rank_all(key, zones, cold)
        return self._order(usable, zones)

    def update(
        self,
        upstream_ids: Collection[str],
        capacities: Mapping[str, float],
        now_s: float,
    ) -> None:
        """Add engines that are new, and adapt the weights to what engines take."""
        for upstream_id in upstream_ids:
            if upstream_id not in self._seeds:
                self._seeds[upstream_id] = _seed(upstream_id)
                self._ranks.clear()
        if now_s - self._weighed_s >= self.settings.weights_s:
            self._weighed_s = now_s
            if self.steps.update(capacities):
                self._ranks.clear()

    def keep(self, upstream_ids: Collection[str]) -> None:
        """Drop engines that are not given; no part of another engine moves."""
        for upstream_id in [u for u in self._seeds if u not in upstream_ids]:
            del self._seeds[upstream_id]
        self.steps.keep(upstream_ids)

    def _order(self, usable: list[str], zones: Mapping[str, str]) -> list[str]:
        first_zone = zones[usable[0]]
        for index in range(1, len(usable)):
            if zones[usable[index]] != first_zone:
                if index > 1:
                    usable.insert(1, usable.pop(index))
                break
        return usable

    def _rank(self, key: str) -> tuple[str, ...]:
        settings = self.settings
        ranked = tuple(self._sorted(key, self._seeds)[: settings.ranks_kept])
        self._ranks[key] = ranked
        if len(self._ranks) > settings.max_keys:
            self._ranks.popitem(last=False)
        return ranked

    def _rank_all(
        self, key: str, zones: Mapping[str, str], cold: Collection[str]
    ) -> list[str]:
        """Rank the usable engines alone, as hardly any of the kept ranks is usable."""
        warm = [u for u in zones if u not in cold]
        return self._sorted(key, warm or zones)[: self.settings.ranks_kept]

    def _sorted(self, key: str, upstream_ids: Iterable[str]) -> list[str]:
        seeds, weights = self._seeds, self.steps.weights
        digest, log, data = xxhash.xxh64_intdigest, math.log, key.encode()
        scored = []
        for upstream_id in upstream_ids:
            # Exponentially distributed, so that the part of the keys for which an
            # engine comes first is proportional to its weight.
            seed = seeds.get(upstream_id) or _seed(upstream_id)
            score = -log((digest(data, seed) + 0.5) / HASH_RANGE)
            if upstream_id in weights:
                score /= weights[upstream_id]
            scored.append((score, upstream_id))
        scored.sort()
        return [upstream_id for _, upstream_id in scored]


def _seed(upstream_id: str) -> int:
    return xxhash.xxh64_intdigest(upstream_id.encode())
