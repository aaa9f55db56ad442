"""Choice of the upstream for a request that is about to be granted a slot."""

from __future__ import annotations

import random
from collections import OrderedDict
from collections.abc import Iterable, Sequence
from dataclasses import dataclass

import xxhash

__all__ = ["CacheEvent", "Candidate", "Placement", "PrefixIndex", "prefix_hashes"]

BLOCK_CHARACTERS = 512
MAX_BLOCKS = 16
DEFAULT_MAX_ENTRIES = 50_000
# Loads are compared in this many steps; within one step the zone decides.
LOAD_STEPS = 4


@dataclass(frozen=True, slots=True)
class Candidate:
    """An upstream with a free slot."""

    upstream: str
    free_slots: int
    used_slots: int
    same_zone: bool = False


@dataclass(frozen=True, slots=True)
class CacheEvent:
    """A numbered change of an engine's prefix cache."""

    number: int
    cached: tuple[int, ...] = ()
    evicted: tuple[int, ...] = ()


def prefix_hashes(prompt: str) -> tuple[int, ...]:
    """Return the hashes of a prompt's leading blocks, each over the whole prefix."""
    digest = xxhash.xxh3_64()
    hashes = []
    for start in range(0, len(prompt) - BLOCK_CHARACTERS + 1, BLOCK_CHARACTERS):
        digest.update(prompt[start : start + BLOCK_CHARACTERS].encode())
        hashes.append(digest.intdigest())
        if len(hashes) == MAX_BLOCKS:
            break
    return tuple(hashes)


class PrefixIndex:
    """Bounded, approximate index of the prefix blocks that each upstream caches.

    Parameters
    ----------
    max_entries : int, optional
        Largest number of blocks, over all upstreams.
    """

    def __init__(self, max_entries: int = DEFAULT_MAX_ENTRIES):
        self._max_entries = max_entries
        self._entries: OrderedDict[tuple[str, int], None] = OrderedDict()
        self._blocks: dict[str, set[int]] = {}
        self._positions: dict[str, tuple[str, int]] = {}
        self.gap_count = 0

    def __len__(self) -> int:
        return len(self._entries)

    def position(self, upstream: str) -> int:
        """Return the number of the last event that was applied from an upstream."""
        return self._positions.get(upstream, ("", 0))[1]

    def on_events(
        self, upstream: str, incarnation: str, events: Sequence[CacheEvent]
    ) -> None:
        """Apply events, which may be late, repeated or incomplete.

        A gap may hide evictions, so all entries of the upstream are dropped.
        """
        known, last = self._positions.get(upstream, ("", 0))
        if known != incarnation:
            # Blocks that this process recorded itself may predate the restart.
            if known:
                self.forget(upstream)
            last = 0
        for event in sorted(events, key=lambda e: e.number):
            if event.number <= last:
                continue
            if last and event.number > last + 1:
                self.gap_count += 1
                self.forget(upstream)
            last = event.number
            self.note_evicted(upstream, event.evicted)
            self.note_cached(upstream, event.cached)
        self._positions[upstream] = (incarnation, last)

    def note_cached(self, upstream: str, hashes: Iterable[int]) -> None:
        """Record that an upstream caches blocks; the oldest entries are evicted."""
        blocks = self._blocks.setdefault(upstream, set())
        for block in hashes:
            self._entries[(upstream, block)] = None
            self._entries.move_to_end((upstream, block))
            blocks.add(block)
        while len(self._entries) > self._max_entries:
            (name, block), _ = self._entries.popitem(last=False)
            self._blocks[name].discard(block)

    def note_evicted(self, upstream: str, hashes: Iterable[int]) -> None:
        """Record that an upstream evicted blocks."""
        for block in hashes:
            self._entries.pop((upstream, block), None)
            self._blocks.get(upstream, set()).discard(block)

    def forget(self, upstream: str) -> None:
        """Drop all of an upstream's entries, as after its restart."""
        for block in self._blocks.pop(upstream, ()):
            del self._entries[(upstream, block)]
        self._positions.pop(upstream, None)

    def keep_only(self, upstreams: Iterable[str]) -> None:
        """Drop the entries of all other upstreams."""
        for name in set(self._blocks) | set(self._positions):
            if name not in upstreams:
                self.forget(name)

    def cached_blocks(self, upstream: str, hashes: Sequence[int]) -> int:
        """Return how many leading blocks an upstream caches."""
        for count, block in enumerate(hashes):
            if (upstream, block) not in self._entries:
                return count
        return len(hashes)


class Placement:
    """Chooses the longest cached prefix first, then by load and zone.

    Parameters
    ----------
    index : PrefixIndex
    generator : random.Random
        Breaks ties, so that processes don't all choose the same upstream.
    """

    def __init__(self, index: PrefixIndex, generator: random.Random):
        self._index = index
        self._generator = generator

    def choose(
        self, candidates: Sequence[Candidate], prefix: Sequence[int]
    ) -> str | None:
        """Return the best upstream's name, or None without candidates."""
        if not candidates:
            return None
        return max(candidates, key=lambda c: self._score(c, prefix)).upstream

    def _score(self, candidate: Candidate, prefix: Sequence[int]) -> tuple:
        used, free = candidate.used_slots, max(1, candidate.free_slots)
        load = used / (used + free)
        return (
            self._index.cached_blocks(candidate.upstream, prefix) if prefix else 0,
            -int(load * LOAD_STEPS),
            candidate.same_zone,
            -load,
            self._generator.random(),
        )
