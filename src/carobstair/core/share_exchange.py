"""Decides which messages about demand a router sends, and applies those of others."""

from __future__ import annotations

import math
from collections.abc import Collection, Mapping
from dataclasses import dataclass, field

import msgspec

from carobstair.core.fair_admission import FairAdmission
from carobstair.core.share_collector import (
    CollectorChoice,
    ShareCollector,
    ShareSettings,
    ranked_collectors,
)
from carobstair.core.share_messages import ShareReport, ShareTotals, ZoneTotals

__all__ = ["EARLY_PART", "LOADED", "ShareExchange", "ShareMessage"]

# Routers of each zone that are sent the sums: a collector may have stopped, and its
# successor is not known in other zones yet.
CANDIDATES = 2

# Load of engines, relative to their target, from which on sums are exchanged more
# often: a surge then fills them before the next sums arrive.
LOADED = 0.5
# A tick that is due within this part of its interval is not put off to the next check.
EARLY_PART = 0.2

ShareMessage = tuple[Collection[str], msgspec.Struct]
"""Receivers and payload of a message."""


@dataclass(slots=True)
class ShareExchange:
    """One router's part in the exchange of demand.

    Parameters
    ----------
    name, zone : str
    admission : FairAdmission
    settings : ShareSettings
    """

    name: str
    zone: str
    admission: FairAdmission
    settings: ShareSettings = ShareSettings()
    _collector: ShareCollector = field(init=False)
    _choice: CollectorChoice = field(init=False)
    _ticked_s: float = -math.inf

    def __post_init__(self) -> None:
        self._collector = ShareCollector(self.settings)
        self._choice = CollectorChoice(self.settings)

    def interval_s(self, routers: Mapping[str, Collection[str]]) -> float:
        """Return the interval of messages while engines are not loaded.

        Parameters
        ----------
        routers : mapping
            Names of the routers that are heard, by zone, without this one.
        """
        return self.settings.scaled_interval_s(len(routers.get(self.zone, ())) + 1)

    def check_interval_s(self, routers: Mapping[str, Collection[str]]) -> float:
        """Return the time until the next call of `is_due`.

        Parameters
        ----------
        routers : mapping
            See `interval_s`.
        """
        if not self._may_be_loaded:
            return self.interval_s(routers)
        in_zone = len(routers.get(self.zone, ())) + 1
        return self.settings.scaled_loaded_interval_s(in_zone)

    def is_due(self, routers: Mapping[str, Collection[str]], now_s: float) -> bool:
        """Return whether messages are due.

        They are at each check while engines are loaded, as a surge is seen too late
        otherwise.

        Parameters
        ----------
        routers : mapping
            See `interval_s`.
        """
        if not self._may_be_loaded:
            return True
        if self.admission.is_loaded(LOADED) or self._collector.is_loaded(LOADED):
            return True
        due_s = (1.0 - EARLY_PART) * self.interval_s(routers)
        return now_s - self._ticked_s >= due_s

    @property
    def _may_be_loaded(self) -> bool:
        """Whether engines of a pool that conserves work have requests."""
        return self.admission.may_be_loaded or self._collector.is_loaded(0.0)

    def tick(
        self, routers: Mapping[str, Collection[str]], now_s: float
    ) -> list[ShareMessage]:
        """Return the messages that are due.

        Parameters
        ----------
        routers : mapping
            See `interval_s`.
        """
        self._ticked_s = now_s
        in_zone = routers.get(self.zone, ())
        collector = self._choice.choose(self.zone, self.name, in_zone, now_s)
        pools = self.admission.report(now_s)
        messages: list[ShareMessage] = []
        if collector == self.name:
            self._collector.note_report(self.name, pools, now_s)
        else:
            messages.append(((collector,), ShareReport(pools)))
        self._collector.expire(self.interval_s(routers), now_s)
        if self._collector.reporters:
            messages += self._collected(routers, now_s)
        return messages

    def _collected(
        self, routers: Mapping[str, Collection[str]], now_s: float
    ) -> list[ShareMessage]:
        in_zone = [*routers.get(self.zone, ()), self.name]
        collectors = set(self._collector.collectors)
        # The routers of a zone may have passed over the first one.
        for zone, names in {**routers, self.zone: in_zone}.items():
            collectors |= set(ranked_collectors(zone, names)[:CANDIDATES])
        collectors -= {self.name}
        messages: list[ShareMessage] = []
        if collectors:
            totals = ZoneTotals(self.zone, self._collector.zone_totals())
            messages.append((sorted(collectors), totals))
        fleet = self._collector.fleet_totals()
        for router in self._collector.reporters:
            share_totals = self._collector.totals_for(router, fleet)
            if router == self.name:
                self.admission.note_totals(share_totals, now_s)
            else:
                messages.append(((router,), share_totals))
        return messages

    def on_report(self, sender: str, report: ShareReport, now_s: float) -> None:
        """Collect the report of a router."""
        self._collector.note_report(sender, report.pools, now_s)

    def on_zone_totals(self, sender: str, totals: ZoneTotals, now_s: float) -> None:
        """Collect the sums of another collector."""
        self._collector.note_zone(sender, totals.zone, totals.pools, now_s)

    def on_totals(self, sender: str, totals: ShareTotals, now_s: float) -> None:
        """Apply what the collector says of the other routers."""
        self._choice.note_answer(sender, now_s)
        self.admission.note_totals(totals, now_s)
