"""Registered upstreams, and which of them may receive requests.

Every entry and removal carries the store revision of its last change. An older
revision never replaces a newer one, whether it came from the store or from a peer.
"""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, field

__all__ = ["DirectorySettings", "ListedUpstream", "UpstreamDirectory", "UpstreamEntry"]


@dataclass(frozen=True, slots=True)
class UpstreamEntry:
    """Registration of an upstream in the store.

    Attributes
    ----------
    born_ms : int
        Unix time of its start; a restart under the same id has a different one.
    cold_s : float
        Remaining cold period when the entry was read.
    """

    upstream_id: str
    service: str
    host: str
    port: int
    zone: str
    slots: int
    draining: bool
    cold_s: float
    born_ms: int


@dataclass(frozen=True, slots=True)
class DirectorySettings:
    """Times of the upstream directory.

    Attributes
    ----------
    removal_grace_s : float
        How long an upstream that disappeared from the list during or just after a
        store outage is still used. The platform restores expired entries within
        two seconds of the store's recovery; entries not restored by then are gone.
    restored_zone_cold_s : float
        How long the upstreams of a zone count as cold after the zone's evacuation
        has ended: two heartbeats of 1.2 s plus the lag of the list.
    """

    removal_grace_s: float = 2.0
    restored_zone_cold_s: float = 3.2


@dataclass(slots=True)
class ListedUpstream:
    """A known upstream with its revision and its cold and removal times."""

    entry: UpstreamEntry
    revision: int
    cold_until_s: float
    usable_until_s: float | None = None

    @property
    def upstream_id(self) -> str:
        """Id under which the upstream registered."""
        return self.entry.upstream_id


@dataclass(slots=True)
class UpstreamDirectory:
    """Upstreams by id and by service, evacuated zones and cold periods."""

    settings: DirectorySettings = DirectorySettings()
    _upstreams: dict[str, ListedUpstream] = field(default_factory=dict)
    _by_service: dict[str, dict[str, ListedUpstream]] = field(default_factory=dict)
    _removed_revisions: dict[str, int] = field(default_factory=dict)
    _evacuated_zones: dict[str, int] = field(default_factory=dict)
    _zone_cold_until_s: dict[str, float] = field(default_factory=dict)

    def put(self, entry: UpstreamEntry, revision: int, now_s: float) -> bool:
        """Add or update an entry; return whether it was newer than the known one."""
        known = self._upstreams.get(entry.upstream_id)
        if revision <= self._removed_revisions.get(entry.upstream_id, -1):
            return False
        if known is not None and revision <= known.revision:
            if known.usable_until_s is not None and revision == known.revision:
                known.usable_until_s = None
            return False
        cold_until_s = now_s + entry.cold_s if entry.cold_s > 0 else 0.0
        if known is not None and known.entry.born_ms == entry.born_ms:
            cold_until_s = max(cold_until_s, known.cold_until_s)
        if known is not None:
            self._by_service[known.entry.service].pop(entry.upstream_id, None)
        listed = ListedUpstream(entry, revision, cold_until_s)
        self._upstreams[entry.upstream_id] = listed
        self._by_service.setdefault(entry.service, {})[entry.upstream_id] = listed
        return True

    def remove(self, upstream_id: str, revision: int, grace_until_s: float | None):
        """Remove an upstream that is no longer listed.

        Parameters
        ----------
        grace_until_s : float or None
            Monotonic time until which it may still be used, because the store was
            unavailable; None removes it at once.
        """
        known = self._upstreams.get(upstream_id)
        if known is None or known.revision > revision:
            return
        if grace_until_s is not None:
            if known.usable_until_s is None:
                known.usable_until_s = grace_until_s
            return
        self._drop(upstream_id, revision)

    def remove_unlisted(
        self, listed: Iterable[str], revision: int, grace_until_s: float | None
    ) -> None:
        """Remove the upstreams that are missing from a complete list."""
        present = set(listed)
        for upstream_id in [u for u in self._upstreams if u not in present]:
            self.remove(upstream_id, revision, grace_until_s)

    def set_evacuated(self, zones: Iterable[str], now_s: float) -> None:
        """Replace the set of evacuated zones, whose upstreams receive no requests."""
        current = set(zones)
        for zone in set(self._evacuated_zones) - current:
            del self._evacuated_zones[zone]
            self._zone_cold_until_s[zone] = now_s + self.settings.restored_zone_cold_s
        for zone in current:
            self._evacuated_zones[zone] = 1

    @property
    def evacuated(self) -> frozenset[str]:
        """Zones whose upstreams receive no requests."""
        return frozenset(self._evacuated_zones)

    def mark_cold(self, upstream_id: str, until_s: float) -> None:
        """Treat an upstream as cold until a time."""
        known = self._upstreams.get(upstream_id)
        if known is not None:
            known.cold_until_s = max(known.cold_until_s, until_s)

    def find(self, upstream_id: str) -> ListedUpstream | None:
        """Return an upstream by its id."""
        return self._upstreams.get(upstream_id)

    def is_usable(self, entry: UpstreamEntry, now_s: float) -> bool:
        """Return whether this incarnation of an upstream may receive requests now."""
        known = self._upstreams.get(entry.upstream_id)
        if known is None or known.entry.born_ms != entry.born_ms:
            return False
        if known.entry.draining or known.entry.zone in self._evacuated_zones:
            return False
        if known.usable_until_s is not None and now_s >= known.usable_until_s:
            self._drop(entry.upstream_id, known.revision)
            return False
        return True

    def is_cold(self, entry: UpstreamEntry, now_s: float) -> bool:
        """Return whether an upstream counts as cold; an unknown one does."""
        known = self._upstreams.get(entry.upstream_id)
        if known is None or now_s < known.cold_until_s:
            return True
        return now_s < self._zone_cold_until_s.get(known.entry.zone, 0.0)

    def usable(self, service: str, now_s: float) -> list[UpstreamEntry]:
        """Return the upstreams of a service that may receive requests."""
        warm, cold = self.warm_and_cold(service, now_s)
        return warm + cold

    def warm_and_cold(
        self, service: str, now_s: float
    ) -> tuple[list[UpstreamEntry], list[UpstreamEntry]]:
        """Return the usable upstreams of a service, warm ones and cold ones apart.

        Called for each request, so it makes a single pass over the list.
        """
        warm: list[UpstreamEntry] = []
        cold: list[UpstreamEntry] = []
        evacuated, zone_cold_until_s = self._evacuated_zones, self._zone_cold_until_s
        for listed in list(self._by_service.get(service, {}).values()):
            entry = listed.entry
            if entry.draining or entry.zone in evacuated:
                continue
            if listed.usable_until_s is not None and now_s >= listed.usable_until_s:
                self._drop(entry.upstream_id, listed.revision)
                continue
            cold_until_s = max(
                listed.cold_until_s, zone_cold_until_s.get(entry.zone, 0.0)
            )
            (cold if now_s < cold_until_s else warm).append(entry)
        return warm, cold

    def usable_and_listed_count(
        self, service: str, now_s: float
    ) -> tuple[list[UpstreamEntry], int]:
        """Return the usable upstreams of a service, and the number of listed ones."""
        listed = len(self._by_service.get(service, ()))
        return self.usable(service, now_s), listed

    def ids(self) -> list[str]:
        """Return the ids of all known upstreams."""
        return list(self._upstreams)

    def _drop(self, upstream_id: str, revision: int) -> None:
        known = self._upstreams.pop(upstream_id)
        self._by_service[known.entry.service].pop(upstream_id, None)
        self._removed_revisions[upstream_id] = max(revision, known.revision)
