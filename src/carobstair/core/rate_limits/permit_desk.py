"""One router's part in keeping the fleet's sends within the rates of upstreams.

For each upstream one router is in charge, the first by rendezvous hashing among those
that are present. The others ask it for a permit before each send. A permit covers one
send for a short time, so nothing needs to be taken back from a router that fails.

Routers may disagree on who is in charge, or find that it does not answer. The sum
stays bounded all the same: substitutes issue a part of the rate, and so does a router
to which only a minority of the fleet is present.
"""

from __future__ import annotations

from collections.abc import Callable, Collection
from dataclasses import dataclass, field

from carobstair.core.permit_messages import (
    PermitAnswer,
    PermitRequest,
    RateNews,
    RateRow,
)
from carobstair.core.rate_limits.permit_issuer import IssuedPermit, PermitIssuer
from carobstair.core.rate_limits.stated_rates import Incarnation, StatedRates
from carobstair.core.shares import rendezvous_rank

__all__ = ["PermitDesk", "PermitOutlook", "PermitSettings"]


@dataclass(frozen=True, slots=True)
class PermitSettings:
    """Settings of the permits for upstreams with a stated rate.

    Attributes
    ----------
    burst : float
        Permits that an upstream saves up while nobody asks for them.
    substitute_part : float
        Part of the rate that a router issues in place of one that does not answer
        its peers: that router may still answer others.
    lifetime_s : float
        How long a permit may be used: late sends add to those of other permits.
    min_answer_s, max_answer_s : float
        Bounds of the time in which a request for a permit is answered. Within them it
        is the time that the send can wait.
    avoid_s, max_avoid_s : float
        How long a router that does not answer is passed over, at first and at most;
        it doubles with each time.
    """

    burst: float = 2.0
    substitute_part: float = 0.5
    lifetime_s: float = 0.5
    min_answer_s: float = 0.05
    max_answer_s: float = 0.25
    avoid_s: float = 1.0
    max_avoid_s: float = 8.0


@dataclass(frozen=True, slots=True)
class PermitOutlook:
    """Expected wait for a permit, and time between two permits for all routers."""

    wait_s: float
    interval_s: float


@dataclass(slots=True)
class _Avoided:
    until_s: float
    avoid_s: float


@dataclass(slots=True)
class PermitDesk:
    """Chooses whom to ask for permits, and issues those of this router's upstreams.

    Parameters
    ----------
    name : str
        Name of this router.
    settings : PermitSettings
    others : callable
        Returns the names of the other routers that have not fallen silent.
    count_routers : callable
        Returns the number of routers that are known to exist, this one included.
    """

    name: str
    settings: PermitSettings = PermitSettings()
    others: Callable[[], Collection[str]] = frozenset
    count_routers: Callable[[], int] = lambda: 1
    # A router that stops leaves the upstreams to the others.
    is_leaving: bool = False
    rates: StatedRates = field(default_factory=StatedRates)
    _issuer: PermitIssuer = field(init=False)
    _substitute_issuer: PermitIssuer = field(init=False)
    # When each upstream has a permit again, by the last answer.
    _free_s: dict[Incarnation, float] = field(default_factory=dict)
    _avoided: dict[str, _Avoided] = field(default_factory=dict)
    _ranked: dict[str, list[str]] = field(default_factory=dict)
    _ranked_routers: frozenset[str] = field(default_factory=frozenset)
    _last_number: int = 0

    def __post_init__(self) -> None:
        self._issuer = PermitIssuer(self.settings.burst)
        self._substitute_issuer = PermitIssuer(self.settings.burst)

    # Requests of this router

    def ask(
        self, upstream: Incarnation, max_wait_s: float, now_s: float
    ) -> IssuedPermit | tuple[str, PermitRequest]:
        """Return a permit if this router issues it, or whom to ask with which message.

        Parameters
        ----------
        max_wait_s : float
            How long the send can wait.
        """
        router, is_substitute = self._in_charge(upstream[0], now_s)
        if router == self.name:
            issued = self._issue(upstream, max_wait_s, is_substitute, now_s)
            self._note_issued(upstream, issued, now_s)
            return issued
        self._last_number += 1
        return router, PermitRequest(
            self._last_number, self._row(upstream), max_wait_s, is_substitute
        )

    def on_answer(self, router: str, answer: PermitAnswer, now_s: float) -> None:
        """Apply what the router in charge says."""
        self._avoided.pop(router, None)
        self.merge(router, [answer.rate], now_s)
        upstream = answer.rate.upstream, answer.rate.born_ms
        self._note_issued(upstream, IssuedPermit(answer.granted, answer.delay_s), now_s)

    def answer_timeout_s(self, request: PermitRequest) -> float:
        """Return how long to wait for the answer to a request."""
        settings = self.settings
        bounded_s = min(request.max_wait_s, settings.max_answer_s)
        return max(bounded_s, settings.min_answer_s)

    def on_silence(self, router: str, now_s: float) -> None:
        """Pass over a router that did not answer in time."""
        known = self._avoided.get(router)
        if known is None:
            avoid_s = self.settings.avoid_s
        elif known.until_s > now_s:
            # Several requests waited for the same answer.
            return
        else:
            avoid_s = min(2.0 * known.avoid_s, self.settings.max_avoid_s)
        self._avoided[router] = _Avoided(now_s + avoid_s, avoid_s)

    def outlook(self, upstream: Incarnation, now_s: float) -> PermitOutlook:
        """Return what is to be expected of an upstream that limits its requests."""
        interval_s = 1.0 / self.rates.limit_per_s(upstream)
        return PermitOutlook(self.wait_s(upstream, now_s), interval_s)

    def wait_s(self, upstream: Incarnation, now_s: float) -> float:
        """Return the expected wait for a permit, by the last answer."""
        if not self.rates.is_limited(upstream):
            return 0.0
        return max(0.0, self._free_s.get(upstream, 0.0) - now_s)

    def _note_issued(
        self, upstream: Incarnation, issued: IssuedPermit, now_s: float
    ) -> None:
        wait_s = issued.delay_s
        if issued.granted and wait_s > 0.0:
            wait_s += 1.0 / self.rates.limit_per_s(upstream)
        self._free_s[upstream] = now_s + wait_s

    # Requests of others

    def on_request(
        self, sender: str, request: PermitRequest, now_s: float
    ) -> PermitAnswer:
        """Issue a permit to another router, or refuse it."""
        self.merge(sender, [request.rate], now_s)
        upstream = request.rate.upstream, request.rate.born_ms
        issued = self._issue(upstream, request.max_wait_s, request.is_substitute, now_s)
        row = self._row(upstream)
        return PermitAnswer(request.number, row, issued.granted, issued.delay_s)

    def take_back(self, upstream: Incarnation) -> None:
        """Take back a permit that was not used."""
        self._issuer.take_back(upstream)

    def _issue(
        self,
        upstream: Incarnation,
        max_wait_s: float,
        is_substitute: bool,
        now_s: float,
    ) -> IssuedPermit:
        if not self.rates.is_limited(upstream):
            return IssuedPermit(True, 0.0)
        per_s = self.rates.limit_per_s(upstream) * self._present_part()
        issuer = self._issuer
        if is_substitute:
            issuer = self._substitute_issuer
            per_s *= self.settings.substitute_part
        return issuer.issue(upstream, per_s, max_wait_s, now_s)

    def _present_part(self) -> float:
        """Return the part of each rate that this side of a partition may issue."""
        known, reached = self.count_routers(), len(self.others()) + 1
        return 1.0 if 2 * reached > known else reached / known

    # Statements

    def merge(self, sender: str, rows: Collection[RateRow], now_s: float) -> list[str]:
        """Apply a peer's statements; return the upstreams whose rate changed."""
        return [
            row.upstream
            for row in rows
            if row.version > 0
            and row.per_s > 0.0
            and self.rates.merge(
                (row.upstream, row.born_ms), row.per_s, row.version, sender, now_s
            )
        ]

    def news(self) -> RateNews | None:
        """Return all statements for a router that has started or returned."""
        rows = [self._row(upstream) for upstream in self.rates.known()]
        return RateNews(rows) if rows else None

    def news_of(self, upstream: Incarnation) -> RateNews:
        """Return the statement of one incarnation."""
        return RateNews([self._row(upstream)])

    def keep(self, upstreams: set[Incarnation], now_s: float) -> None:
        """Drop what is known of incarnations that are gone."""
        self.rates.keep(upstreams)
        self._issuer.keep(upstreams)
        self._substitute_issuer.keep(upstreams)
        for upstream in set(self._free_s) - upstreams:
            del self._free_s[upstream]
        for router, avoided in list(self._avoided.items()):
            if now_s - avoided.until_s > self.settings.max_avoid_s:
                del self._avoided[router]

    def _row(self, upstream: Incarnation) -> RateRow:
        known = self.rates.find(upstream)
        version = 0 if known is None else known.version
        return RateRow(*upstream, version, self.rates.limit_per_s(upstream))

    # Who is in charge

    def _in_charge(self, upstream_id: str, now_s: float) -> tuple[str, bool]:
        """Return the router to ask, and whether it stands in for another one."""
        ranked = self._rank(upstream_id)
        for position, router in enumerate(ranked):
            avoided = self._avoided.get(router)
            if avoided is None or avoided.until_s <= now_s:
                return router, position > 0
        return self.name, True

    def _rank(self, upstream_id: str) -> list[str]:
        routers = frozenset(self.others())
        if not routers or not self.is_leaving:
            routers |= {self.name}
        if routers != self._ranked_routers:
            self._ranked_routers, self._ranked = routers, {}
        ranked = self._ranked.get(upstream_id)
        if ranked is None:
            ranked = rendezvous_rank(f"permits\0{upstream_id}", routers)
            self._ranked[upstream_id] = ranked
        return ranked
