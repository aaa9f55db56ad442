"""Upstreams that leave by the instance list or by their own load reports."""

from __future__ import annotations

from collections.abc import Iterable

import xxhash

from carobstair.core.messages import LeavingEntry

__all__ = ["LeavingTable"]


class LeavingTable:
    """What each source says about each upstream, merged by sequence number.

    Merging is idempotent and gives the same table in any order, so that lost,
    repeated and reordered notices do no harm.
    """

    def __init__(self) -> None:
        self._entries: dict[tuple[str, str], LeavingEntry] = {}
        self.digest = 0

    def entries(self) -> list[LeavingEntry]:
        """Return all entries."""
        return [entry for _, entry in sorted(self._entries.items())]

    def leaving(self) -> frozenset[str]:
        """Return the upstreams that at least one source says are leaving."""
        return frozenset(e.upstream for e in self._entries.values() if e.leaving)

    def note(self, source: str, upstream: str, leaving: bool) -> list[LeavingEntry]:
        """Take in what a source says and return the entries that changed."""
        known = self._entries.get((upstream, source))
        if known is None and not leaving:
            return []
        if known is not None and known.leaving == leaving:
            return []
        sequence = known.sequence + 1 if known else 1
        return self.merge([LeavingEntry(upstream, source, sequence, leaving)])

    def note_list(self, source: str, leaving: Iterable[str]) -> list[LeavingEntry]:
        """Take in the whole list of a source and return the changed entries."""
        now = set(leaving)
        before = {upstream for upstream, origin in self._entries if origin == source}
        changed: list[LeavingEntry] = []
        for upstream in sorted(now | before):
            changed += self.note(source, upstream, upstream in now)
        return changed

    def merge(self, entries: Iterable[LeavingEntry]) -> list[LeavingEntry]:
        """Take in entries and return those that were news."""
        news = []
        for entry in entries:
            key = (entry.upstream, entry.source)
            known = self._entries.get(key)
            if known is None or _rank(entry) > _rank(known):
                self._entries[key] = entry
                news.append(entry)
        if news:
            text = repr([tuple(_fields(e)) for e in self.entries()])
            self.digest = xxhash.xxh3_64_intdigest(text.encode())
        return news


def _rank(entry: LeavingEntry) -> tuple[int, bool]:
    # Of two entries with one number, the one that says leaving wins: giving an
    # upstream no work is the safe side.
    return (entry.sequence, entry.leaving)


def _fields(entry: LeavingEntry) -> tuple[str, str, int, bool]:
    return (entry.upstream, entry.source, entry.sequence, entry.leaving)
