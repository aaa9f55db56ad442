"""Registered upstreams, and which of them may receive requests.

Every entry and removal carries the stamp of its last change in the store. An older
stamp never replaces a newer one, whether it came from the store or from a peer. What
upstreams say of themselves in their responses is kept for each incarnation.
"""

from __future__ import annotations

import math
from collections.abc import Iterable
from dataclasses import dataclass, field

from carobstair.core.store_stamp import Stamp

__all__ = ["DirectorySettings", "ListedUpstream", "UpstreamDirectory", "UpstreamEntry"]


# How long an incarnation that has left the list is remembered as leaving.
LEAVING_MEMORY_S = 60.0


@dataclass(frozen=True, slots=True)
class UpstreamEntry:
    """Registration of an upstream in the store.

    Attributes
    ----------
    born_ms : int
        Unix time of its start; a restart under the same id has a different one.
    cold_s : float
        Remaining cold period when the entry was read.
    version : str
        Version of its software; empty if the entry names none.
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
    version: str = ""


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
    leaving_use_s : float
        How long an upstream that says it is leaving is still used if its service
        has no other.
    evacuation_grace_s : float
        How long a zone stays evacuated although a store that was restored from a
        copy no longer says so; operators write their entries again.
    """

    removal_grace_s: float = 2.0
    restored_zone_cold_s: float = 3.2
    leaving_use_s: float = 1.0
    evacuation_grace_s: float = 5.0


@dataclass(slots=True)
class ListedUpstream:
    """A known upstream with its revision and its cold and removal times."""

    entry: UpstreamEntry
    revision: Stamp
    cold_until_s: float
    usable_until_s: float | None = None

    @property
    def upstream_id(self) -> str:
        """Id under which the upstream registered."""
        return self.entry.upstream_id


# Id and start time of an upstream.
Incarnation = tuple[str, int]


@dataclass(slots=True)
class UpstreamDirectory:
    """Upstreams by id and by service, evacuated zones and cold periods."""

    settings: DirectorySettings = DirectorySettings()
    _upstreams: dict[str, ListedUpstream] = field(default_factory=dict)
    _by_service: dict[str, dict[str, ListedUpstream]] = field(default_factory=dict)
    _removed_revisions: dict[str, Stamp] = field(default_factory=dict)
    # Monotonic time until which each zone is evacuated.
    _evacuated_zones: dict[str, float] = field(default_factory=dict)
    _zone_cold_until_s: dict[str, float] = field(default_factory=dict)
    # What incarnations said of themselves, with monotonic times.
    _leaving_since_s: dict[Incarnation, float] = field(default_factory=dict)
    _paused_until_s: dict[Incarnation, float] = field(default_factory=dict)

    def put(self, entry: UpstreamEntry, revision: Stamp, now_s: float) -> bool:
        """Add or update an entry; return whether it was newer than the known one."""
        known = self._upstreams.get(entry.upstream_id)
        removed = self._removed_revisions.get(entry.upstream_id)
        if removed is not None and revision <= removed:
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

    def remove(self, upstream_id: str, revision: Stamp, grace_until_s: float | None):
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
        self, listed: Iterable[str], revision: Stamp, grace_until_s: float | None
    ) -> None:
        """Remove the upstreams that are missing from a complete list."""
        present = set(listed)
        for upstream_id in [u for u in self._upstreams if u not in present]:
            self.remove(upstream_id, revision, grace_until_s)

    def set_evacuated(self, zones: Iterable[str], now_s: float) -> None:
        """Replace the set of evacuated zones, whose upstreams receive no requests."""
        current = set(zones)
        for zone in set(self._evacuated_zones) - current:
            ends_s = self._evacuated_zones[zone]
            if ends_s == math.inf:
                del self._evacuated_zones[zone]
                ends_s = now_s
            cold_until_s = ends_s + self.settings.restored_zone_cold_s
            self._zone_cold_until_s[zone] = cold_until_s
        for zone in current:
            self._evacuated_zones[zone] = math.inf

    def keep_evacuated(self, now_s: float) -> None:
        """Keep zones evacuated for a while although the store may no longer say so."""
        until_s = now_s + self.settings.evacuation_grace_s
        for zone in self._evacuated_zones:
            self._evacuated_zones[zone] = until_s

    def keep_draining(self, now_s: float) -> None:
        """Keep draining upstreams unused although the store may call them ready."""
        # Not even if their service has no other: they have been draining for longer.
        since_s = now_s - self.settings.leaving_use_s
        for listed in self._upstreams.values():
            if listed.entry.draining:
                self.note_leaving(listed.entry, since_s)

    def note_leaving(self, entry: UpstreamEntry, now_s: float) -> bool:
        """Record that an incarnation says it is leaving; return whether it is new."""
        return self.note_leaving_incarnation(entry.upstream_id, entry.born_ms, now_s)

    def note_leaving_incarnation(
        self, upstream_id: str, born_ms: int, now_s: float
    ) -> bool:
        """Like `note_leaving`, for an incarnation that may not be listed."""
        key = upstream_id, born_ms
        if key in self._leaving_since_s:
            return False
        self._leaving_since_s[key] = now_s
        return True

    def is_leaving(self, incarnation: Incarnation) -> bool:
        """Return whether an incarnation, also one that is gone, said it is leaving."""
        return incarnation in self._leaving_since_s

    def leaving(self) -> list[Incarnation]:
        """Return the listed incarnations that say they are leaving."""
        return [key for key in self._leaving_since_s if self._is_listed(key)]

    def note_pause(self, entry: UpstreamEntry, until_s: float) -> None:
        """Record until when an incarnation wants no requests from this router."""
        key = entry.upstream_id, entry.born_ms
        self._paused_until_s[key] = max(until_s, self._paused_until_s.get(key, 0.0))

    def paused_until_s(self, service: str, now_s: float) -> float | None:
        """Return when the first paused upstream of a service can be used again.

        None if an upstream can be used now or none is paused.
        """
        listed = self._by_service.get(service, {}).values()
        if not self._paused_until_s or self.usable(service, now_s):
            return None
        ends_s = [
            self._paused_until_s.get((u.upstream_id, u.entry.born_ms), 0.0)
            for u in listed
            if not u.entry.draining and not self._is_evacuated(u.entry.zone, now_s)
        ]
        return min((end_s for end_s in ends_s if end_s > now_s), default=None)

    def discard_ended(self, now_s: float) -> None:
        """Drop what is known of incarnations that have ended or resumed."""
        for key, until_s in list(self._paused_until_s.items()):
            if now_s >= until_s:
                del self._paused_until_s[key]
        for zone, until_s in list(self._evacuated_zones.items()):
            if now_s >= until_s:
                del self._evacuated_zones[zone]
        # A restored store may list an incarnation again some seconds after it left.
        for key, since_s in list(self._leaving_since_s.items()):
            if now_s - since_s > LEAVING_MEMORY_S and not self._is_listed(key):
                del self._leaving_since_s[key]

    def _is_listed(self, key: Incarnation) -> bool:
        known = self._upstreams.get(key[0])
        return known is not None and known.entry.born_ms == key[1]

    def _is_evacuated(self, zone: str, now_s: float) -> bool:
        return now_s < self._evacuated_zones.get(zone, -math.inf)

    @property
    def evacuated(self) -> frozenset[str]:
        """Zones that the store lists as evacuated."""
        return frozenset(
            zone
            for zone, until_s in self._evacuated_zones.items()
            if until_s == math.inf
        )

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
        if known.entry.draining or self._is_evacuated(known.entry.zone, now_s):
            return False
        key = entry.upstream_id, entry.born_ms
        if now_s < self._paused_until_s.get(key, 0.0):
            return False
        leaving_since_s = self._leaving_since_s.get(key)
        use_s = self.settings.leaving_use_s
        if leaving_since_s is not None and now_s - leaving_since_s >= use_s:
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

    def listed(self, service: str) -> list[UpstreamEntry]:
        """Return all known upstreams of a service."""
        return [u.entry for u in self._by_service.get(service, {}).values()]

    def services(self) -> set[str]:
        """Return the services that have a known upstream."""
        return {service for service, known in self._by_service.items() if known}

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
        leaving: list[UpstreamEntry] = []
        zone_cold_until_s = self._zone_cold_until_s
        evacuated = {z for z in self._evacuated_zones if self._is_evacuated(z, now_s)}
        paused_until_s, leaving_since_s = self._paused_until_s, self._leaving_since_s
        for listed in list(self._by_service.get(service, {}).values()):
            entry = listed.entry
            if entry.draining or entry.zone in evacuated:
                continue
            if paused_until_s or leaving_since_s:
                key = entry.upstream_id, entry.born_ms
                if now_s < paused_until_s.get(key, 0.0):
                    continue
                if key in leaving_since_s:
                    leaving.append(entry)
                    continue
            if listed.usable_until_s is not None and now_s >= listed.usable_until_s:
                self._drop(entry.upstream_id, listed.revision)
                continue
            cold_until_s = max(
                listed.cold_until_s, zone_cold_until_s.get(entry.zone, 0.0)
            )
            (cold if now_s < cold_until_s else warm).append(entry)
        if leaving and not warm:
            warm = [entry for entry in leaving if self.is_usable(entry, now_s)]
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

    def _drop(self, upstream_id: str, revision: Stamp) -> None:
        known = self._upstreams.pop(upstream_id)
        self._by_service[known.entry.service].pop(upstream_id, None)
        self._removed_revisions[upstream_id] = max(revision, known.revision)
