"""Choice of an upstream for work that has already been chosen."""

from __future__ import annotations

import random
from collections import OrderedDict
from collections.abc import Iterable, Sequence
from dataclasses import dataclass

import xxhash

__all__ = ["Candidate", "Placement", "PrefixIndex", "prefix_hashes"]

BLOCK_CHARACTERS = 512
MAX_BLOCKS = 16
DEFAULT_MAX_ENTRIES = 50_000


@dataclass(frozen=True, slots=True)
class Candidate:
    """An upstream with a free slot."""

    upstream: str
    free_slots: int
    used_slots: int


def prefix_hashes(prompt: str) -> tuple[int, ...]:
    """Return the hashes of a prompt's leading blocks, each over all before it."""
    digest = xxhash.xxh3_64()
    hashes = []
    for start in range(0, len(prompt) - BLOCK_CHARACTERS + 1, BLOCK_CHARACTERS):
        digest.update(prompt[start : start + BLOCK_CHARACTERS].encode())
        hashes.append(digest.intdigest())
        if len(hashes) == MAX_BLOCKS:
            break
    return tuple(hashes)


class PrefixIndex:
    """Bounded approximate record of which upstream caches which prefix block."""

    def __init__(self, max_entries: int = DEFAULT_MAX_ENTRIES):
        self._max_entries = max_entries
        self._seen: OrderedDict[tuple[str, int], None] = OrderedDict()

    def __len__(self) -> int:
        return len(self._seen)

    def note_cached(self, upstream: str, hashes: Iterable[int]) -> None:
        """Record that an upstream holds blocks; the oldest entries make room."""
        for block in hashes:
            self._seen[(upstream, block)] = None
            self._seen.move_to_end((upstream, block))
        while len(self._seen) > self._max_entries:
            self._seen.popitem(last=False)

    def note_evicted(self, upstream: str, hashes: Iterable[int]) -> None:
        """Record that an upstream dropped blocks."""
        for block in hashes:
            self._seen.pop((upstream, block), None)

    def forget(self, upstream: str) -> None:
        """Drop all of an upstream's entries, as after its restart."""
        for key in [key for key in self._seen if key[0] == upstream]:
            del self._seen[key]

    def cached_blocks(self, upstream: str, hashes: Sequence[int]) -> int:
        """Return how many leading blocks an upstream holds."""
        for count, block in enumerate(hashes):
            if (upstream, block) not in self._seen:
                return count
        return len(hashes)


class Placement:
    """Chooses by cached prefix first, then by load.

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
        best = max(
            candidates,
            key=lambda c: (
                self._index.cached_blocks(c.upstream, prefix),
                -c.used_slots / (c.used_slots + c.free_slots),
                self._generator.random(),
            ),
        )
        return best.upstream
