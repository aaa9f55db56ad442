"""Peers of the own zone to which requests may be handed off."""

from __future__ import annotations

import math
import random
from dataclasses import dataclass, field

from carobstair.core.handoff.settings import HandoffSettings

__all__ = ["HandoffPeer", "HandoffPeers"]

MAX_PORT = 65_535
# Pairs that are looked at for a request; more cost more than serving it.
MAX_PAIRS = 3


@dataclass(slots=True, eq=False)
class HandoffPeer:
    """What is known of one peer.

    Attributes
    ----------
    stated : float
        Utilisation by the last digest.
    handed_since : int
        Requests handed to the peer since then.
    open_requests : int
        Requests that are handed to the peer at present.
    unanswered : int
        Those of them whose answers have not begun.
    heard_s : float
        Last sign of life, or when the first of the unanswered requests was sent.
    """

    name: str
    host: str
    port: int
    stated: float = 0.0
    handed_since: int = 0
    open_requests: int = 0
    unanswered: int = 0
    heard_s: float = -math.inf
    paused_until_s: float = -math.inf


@dataclass(slots=True)
class HandoffPeers:
    """Chooses the idler of two peers that are drawn at random.

    Answers the load of a workspace whose callers all reach one router: it is spread
    over the zone. With stale loads, the idlest of all would get everything.

    Parameters
    ----------
    zone : str
        Own zone; peers of others are not used.
    settings : HandoffSettings
    """

    zone: str
    settings: HandoffSettings = HandoffSettings()
    _peers: dict[str, HandoffPeer] = field(default_factory=dict)
    _list: list[HandoffPeer] = field(default_factory=list)

    def note(
        self,
        name: str,
        zone: str,
        host: str,
        port: int,
        utilisation: float | None,
        now_s: float,
    ) -> None:
        """Record the digest of a peer.

        A port of 0 is that of a peer that takes nothing: one of an older release, one
        where the hand-off is off, or one that stops.
        """
        if zone != self.zone or utilisation is None or not 0 < port <= MAX_PORT:
            self.forget(name)
            return
        peer = self._peers.get(name)
        if peer is None or (peer.host, peer.port) != (host, port):
            self._peers[name] = peer = HandoffPeer(name, host, port)
            self._list = list(self._peers.values())
        peer.stated, peer.handed_since, peer.heard_s = utilisation, 0, now_s

    def forget(self, name: str) -> None:
        """Discard a peer that has left or fallen silent."""
        if self._peers.pop(name, None) is not None:
            self._list = list(self._peers.values())

    def expected(self, peer: HandoffPeer) -> float:
        """Return the utilisation of a peer with what was handed to it since."""
        per_request = self.settings.utilisation_per_request
        return peer.stated + per_request * peer.handed_since

    def choose(self, rng: random.Random, now_s: float) -> HandoffPeer | None:
        """Return a peer that may get a request, or None if none was found."""
        peers = self._list
        count = len(peers)
        for _ in range(min(MAX_PAIRS, count)):
            first = peers[int(rng.random() * count)]
            second = peers[int(rng.random() * count)]
            if self.expected(second) < self.expected(first):
                first, second = second, first
            if self._is_eligible(first, now_s):
                return first
            if self._is_eligible(second, now_s):
                return second
        return None

    def _is_eligible(self, peer: HandoffPeer, now_s: float) -> bool:
        settings = self.settings
        return (
            self.expected(peer) <= settings.max_peer_utilisation
            and peer.open_requests < settings.max_per_peer
            and now_s >= peer.paused_until_s
            and (not peer.unanswered or now_s - peer.heard_s <= settings.max_unheard_s)
        )

    def begin(self, peer: HandoffPeer, now_s: float) -> None:
        """Record that a request is sent to a peer."""
        if not peer.unanswered:
            peer.heard_s = max(peer.heard_s, now_s)
        peer.open_requests += 1
        peer.unanswered += 1
        peer.handed_since += 1

    def note_answer(self, peer: HandoffPeer, now_s: float) -> None:
        """Record that the answer to a request has begun."""
        peer.unanswered -= 1
        peer.heard_s = now_s

    def end(self, peer: HandoffPeer, answer_began: bool) -> None:
        """Record the end of a request."""
        peer.open_requests -= 1
        if not answer_began:
            peer.unanswered -= 1

    def note_failure(self, peer: HandoffPeer, now_s: float) -> None:
        """Record that a connect to a peer failed."""
        peer.paused_until_s = now_s + self.settings.failure_pause_s
