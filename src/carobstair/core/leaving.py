"""Upstreams reported as leaving by the instance list or their load reports."""

from __future__ import annotations

from collections.abc import Iterable

import xxhash

from carobstair.core.messages import LeavingEntry

__all__ = ["LeavingTable"]


class LeavingTable:
    """Leaving status by upstream and source, merged by sequence number.

    Merging is idempotent and independent of order, so lost, repeated or reordered
    notices are harmless.
    """

    def __init__(self) -> None:
        self._entries: dict[tuple[str, str], LeavingEntry] = {}
        self.digest = 0

    def entries(self) -> list[LeavingEntry]:
        """Return all entries."""
        return [entry for _, entry in sorted(self._entries.items())]

    def leaving(self) -> frozenset[str]:
        """Return the upstreams that at least one source reports as leaving."""
        return frozenset(e.upstream for e in self._entries.values() if e.leaving)

    def record(self, source: str, upstream: str, leaving: bool) -> list[LeavingEntry]:
        """Apply a source's report on one upstream and return the changed entries."""
        known = self._entries.get((upstream, source))
        if known is None and not leaving:
            return []
        if known is not None and known.leaving == leaving:
            return []
        sequence = known.sequence + 1 if known else 1
        return self.merge([LeavingEntry(upstream, source, sequence, leaving)])

    def record_list(self, source: str, leaving: Iterable[str]) -> list[LeavingEntry]:
        """Apply a source's complete list and return the changed entries."""
        leaving_now = set(leaving)
        known = {upstream for upstream, origin in self._entries if origin == source}
        changed: list[LeavingEntry] = []
        for upstream in sorted(leaving_now | known):
            changed += self.record(source, upstream, upstream in leaving_now)
        return changed

    def merge(self, entries: Iterable[LeavingEntry]) -> list[LeavingEntry]:
        """Merge entries and return those that changed the table."""
        changed = []
        for entry in entries:
            key = (entry.upstream, entry.source)
            known = self._entries.get(key)
            if known is None or _precedence(entry) > _precedence(known):
                self._entries[key] = entry
                changed.append(entry)
        if changed:
            text = repr([tuple(_fields(e)) for e in self.entries()])
            self.digest = xxhash.xxh3_64_intdigest(text.encode())
        return changed


def _precedence(entry: LeavingEntry) -> tuple[int, bool]:
    # At equal sequence numbers, leaving wins: sending an upstream no work is the
    # safe choice.
    return (entry.sequence, entry.leaving)


def _fields(entry: LeavingEntry) -> tuple[str, str, int, bool]:
    return (entry.upstream, entry.source, entry.sequence, entry.leaving)
