"""Obtains permits for sends to upstreams that limit their requests."""

from __future__ import annotations

import asyncio
import math
import time
from collections.abc import Callable, Collection
from dataclasses import dataclass, field

from carobstair.core.messages import Envelope
from carobstair.core.rate_limits import (
    Incarnation,
    IssuedPermit,
    PermitAnswer,
    PermitDesk,
    PermitRequest,
    PermitReturn,
    RateNews,
    StatedRate,
)
from carobstair.logs import get_logger
from carobstair.net.peers import PeerTransport

__all__ = ["Permit", "PermitExchange", "log_rate"]

logger = get_logger(__name__)

# A timer that fires later shows that this process was late, not the peer.
LATE_TIMER_S = 0.1


@dataclass(frozen=True, slots=True)
class Permit:
    """Permission for one send.

    Attributes
    ----------
    issuer : str
        Router that issued it; empty if the upstream has no limit.
    valid_until_s : float
        Monotonic time by which the send has to happen.
    """

    upstream: Incarnation
    issuer: str = ""
    valid_until_s: float = math.inf


@dataclass(slots=True)
class PermitExchange:
    """Carries the messages of a `PermitDesk`.

    Parameters
    ----------
    desk : PermitDesk
    count : callable
        Called with the outcome of each request for a permit.
    """

    desk: PermitDesk
    count: Callable[[str], None] = lambda outcome: None
    _transport: PeerTransport | None = None
    _peers: Callable[[], Collection[str]] = frozenset
    _answers: dict[int, asyncio.Future[IssuedPermit]] = field(default_factory=dict)

    def attach(
        self, transport: PeerTransport, peers: Callable[[], Collection[str]]
    ) -> None:
        """Start to exchange messages with other routers.

        Parameters
        ----------
        peers : callable
            Returns the names of all peers.
        """
        self._transport, self._peers = transport, peers
        transport.subscribe(RateNews, self._on_news)
        transport.subscribe(PermitRequest, self._on_request)
        transport.subscribe(PermitAnswer, self._on_answer)
        transport.subscribe(PermitReturn, self._on_return)

    async def acquire(
        self, upstream: Incarnation, wait_until_s: float
    ) -> Permit | None:
        """Return a permit when it is valid, or None if there is none in time."""
        if not self.desk.rates.is_limited(upstream):
            return Permit(upstream)
        now_s = time.monotonic()
        asked = self.desk.ask(upstream, max(0.0, wait_until_s - now_s), now_s)
        if isinstance(asked, IssuedPermit):
            issuer, issued = self.desk.name, asked
        else:
            issuer, request = asked
            issued = await self._ask(issuer, request)
        if issued is None or not issued.granted:
            self.count("unanswered" if issued is None else "refused")
            return None
        self.count("issued")
        valid_s = time.monotonic() + issued.delay_s
        permit = Permit(upstream, issuer, valid_s + self.desk.settings.lifetime_s)
        if issued.delay_s > 0.0:
            try:
                await asyncio.sleep(issued.delay_s)
            except asyncio.CancelledError:
                self.give_back(permit)
                raise
        return permit

    def give_back(self, permit: Permit) -> None:
        """Return a permit that is not used."""
        if permit.issuer == self.desk.name:
            self.desk.take_back(permit.upstream)
        elif permit.issuer and self._transport is not None:
            self._transport.send(permit.issuer, PermitReturn(*permit.upstream))

    def announce(self, upstream: Incarnation) -> None:
        """Tell all peers what an upstream has stated."""
        if self._transport is not None:
            self._transport.send_all(self._peers(), self.desk.news_of(upstream))

    def on_peer_heard(self, peer: str) -> None:
        """Tell a router that has started or returned what upstreams have stated."""
        news = self.desk.news()
        if news is not None:
            self._transport.send(peer, news)

    async def _ask(self, router: str, request: PermitRequest) -> IssuedPermit | None:
        loop = asyncio.get_running_loop()
        answer = self._answers[request.number] = loop.create_future()
        timeout_s = self.desk.answer_timeout_s(request)
        due_s = loop.time() + timeout_s
        if not self._transport.send(router, request):
            due_s = loop.time()
        try:
            await asyncio.wait({answer}, timeout=max(0.0, due_s - loop.time()))
            late = loop.time() - due_s > LATE_TIMER_S
            if late and not answer.done():
                # Answers that arrived before the timer are handled after it.
                await asyncio.wait({answer}, timeout=LATE_TIMER_S)
        except asyncio.CancelledError:
            if answer.done() and answer.result().granted:
                upstream = request.rate.upstream, request.rate.born_ms
                self.give_back(Permit(upstream, router))
            raise
        finally:
            del self._answers[request.number]
        if answer.done():
            return answer.result()
        if not late:
            logger.info(
                "permit_unanswered", peer=router, upstream=request.rate.upstream
            )
            self.desk.on_silence(router, time.monotonic())
        return None

    # Messages

    def _on_news(self, envelope: Envelope, news: RateNews) -> None:
        changed = self.desk.merge(envelope.sender, news.rows, time.monotonic())
        for row in news.rows:
            if row.upstream in changed:
                log_rate(
                    row.upstream, self.desk.rates.find((row.upstream, row.born_ms))
                )

    def _on_request(self, envelope: Envelope, request: PermitRequest) -> None:
        answer = self.desk.on_request(envelope.sender, request, time.monotonic())
        self._transport.send(envelope.sender, answer)

    def _on_answer(self, envelope: Envelope, answer: PermitAnswer) -> None:
        self.desk.on_answer(envelope.sender, answer, time.monotonic())
        waiting = self._answers.get(answer.number)
        if waiting is not None and not waiting.done():
            waiting.set_result(IssuedPermit(answer.granted, answer.delay_s))
        elif answer.granted:
            upstream = answer.rate.upstream, answer.rate.born_ms
            self.give_back(Permit(upstream, envelope.sender))

    def _on_return(self, envelope: Envelope, returned: PermitReturn) -> None:
        self.desk.take_back((returned.upstream, returned.born_ms))


def log_rate(upstream_id: str, rate: StatedRate) -> None:
    """Log a change of the rate that an upstream accepts."""
    logger.info(
        "upstream_limit_changed",
        upstream=upstream_id,
        limit_per_s=round(rate.per_s, 3) if rate.is_limit else "none",
        version=rate.version,
        told_by=rate.source or None,
    )
