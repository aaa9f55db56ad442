"""Exchange of the evidence against prompt segments with the other routers."""

from __future__ import annotations

import asyncio
import math
import time
from collections.abc import Callable, Collection
from dataclasses import dataclass

from carobstair.core.evidence_routing import EvidenceRouter
from carobstair.core.messages import (
    Envelope,
    EvidenceAck,
    EvidenceNews,
    SegmentEvidence,
)
from carobstair.edge.crash_guard import CrashGuard
from carobstair.logs import get_logger
from carobstair.net.peers import PeerTransport

__all__ = ["EvidenceExchange"]

logger = get_logger(__name__)

# Peers that a router asks for the refused segments when it starts or returns.
MAX_ASKED_PEERS = 3
ASK_INTERVAL_S = 5.0


@dataclass(slots=True)
class EvidenceExchange:
    """Sends evidence to all peers, and refused segments to those that return.

    Parameters
    ----------
    guard : CrashGuard
    transport : PeerTransport
    peers : callable
        Returns the names of all peers.
    router : EvidenceRouter, optional
        Decides which peers pass evidence on; without it, this router sends it to
        each of them at once.
    routing_peers : callable
        Returns the names of the peers that are heard and pass evidence on, by zone.
    present_peers : callable
        Returns the names of the peers that have not fallen silent.
    """

    guard: CrashGuard
    transport: PeerTransport
    peers: Callable[[], Collection[str]]
    router: EvidenceRouter | None = None
    routing_peers: Callable[[], dict[str, list[str]]] = dict
    present_peers: Callable[[], Collection[str]] = frozenset
    _asked_since_s: float = -math.inf
    _asked_peers: int = 0
    _timer: asyncio.TimerHandle | None = None

    def __post_init__(self) -> None:
        self.guard.announce = self._announce
        self.transport.subscribe(SegmentEvidence, self._on_evidence)
        if self.router is not None:
            self.transport.subscribe(EvidenceNews, self._on_news)
            self.transport.subscribe(EvidenceAck, self._on_ack)

    def on_peer_heard(self, peer: str) -> None:
        """Tell a peer what is refused, and ask a few of the first peers heard."""
        now_s = time.monotonic()
        if now_s - self._asked_since_s > ASK_INTERVAL_S:
            self._asked_since_s, self._asked_peers = now_s, 0
        self._asked_peers += 1
        message = self.guard.summary(self._asked_peers <= MAX_ASKED_PEERS)
        if message is not None:
            self.transport.send(peer, message)
        if self.router is not None:
            self.router.note_returned(peer, now_s)
            self._arm()

    def _announce(self, message: SegmentEvidence) -> None:
        if self.router is None or message.tried:
            # The next router by rank tries a segment a moment later.
            self.transport.send_all(self.peers(), message)
        else:
            self.router.announce(message, time.monotonic())
            self._arm()

    def _on_evidence(self, envelope: Envelope, message: SegmentEvidence) -> None:
        answer = self.guard.merge(envelope.sender, message)
        if answer is not None:
            self.transport.send(envelope.sender, answer)

    def _on_news(self, envelope: Envelope, news: EvidenceNews) -> None:
        # First of all: the sender repeats it until then.
        self.transport.send(envelope.sender, EvidenceAck(news.number, news.held_s))
        now_s = time.monotonic()
        for learnt in self.router.on_news(news, now_s):
            is_late = learnt.age_s > self.router.settings.late_s
            answer = self.guard.merge(
                learnt.source, learnt.evidence, learnt.ages_s, is_late
            )
            if answer is not None:
                self.router.confirm_sound(answer.sound, now_s)
        self._arm()

    def _on_ack(self, envelope: Envelope, ack: EvidenceAck) -> None:
        self.router.on_ack(envelope.sender, ack, time.monotonic())

    def _arm(self) -> None:
        """Set the timer for what is due next."""
        due_s = self.router.due_s()
        if self._timer is not None:
            if due_s is not None and self._timer.when() <= due_s:
                return
            self._timer.cancel()
            self._timer = None
        if due_s is not None:
            loop = asyncio.get_running_loop()
            self._timer = loop.call_at(due_s, self._tick)

    def _tick(self) -> None:
        self._timer = None
        routers = self.routing_peers()
        routing = {name for names in routers.values() for name in names}
        others = frozenset(self.present_peers()) - routing
        now_s = time.monotonic()
        for receivers, payload in self.router.tick(routers, others, now_s):
            self.transport.send_all(receivers, payload)
        dropped = self.router.take_dropped()
        if dropped:
            # At most one line for each send.
            logger.warning("evidence_not_passed_on", items=dropped)
        self._arm()
