"""Exchange of the evidence against prompt segments with the other routers."""

from __future__ import annotations

import math
import time
from collections.abc import Callable, Collection
from dataclasses import dataclass

from carobstair.core.messages import Envelope, SegmentEvidence
from carobstair.edge.crash_guard import CrashGuard
from carobstair.net.peers import PeerTransport

__all__ = ["EvidenceExchange"]

# Peers that a router asks for the refused segments when it starts or returns.
MAX_ASKED_PEERS = 3
ASK_INTERVAL_S = 5.0


@dataclass(slots=True)
class EvidenceExchange:
    """Sends evidence to all peers at once, and refused segments to those that return.

    Parameters
    ----------
    guard : CrashGuard
    transport : PeerTransport
    peers : callable
        Returns the names of all peers.
    """

    guard: CrashGuard
    transport: PeerTransport
    peers: Callable[[], Collection[str]]
    _asked_since_s: float = -math.inf
    _asked_peers: int = 0

    def __post_init__(self) -> None:
        self.guard.announce = self._announce
        self.transport.subscribe(SegmentEvidence, self._on_evidence)

    def on_peer_heard(self, peer: str) -> None:
        """Tell a peer what is refused, and ask a few of the first peers heard."""
        now_s = time.monotonic()
        if now_s - self._asked_since_s > ASK_INTERVAL_S:
            self._asked_since_s, self._asked_peers = now_s, 0
        self._asked_peers += 1
        message = self.guard.summary(self._asked_peers <= MAX_ASKED_PEERS)
        if message is not None:
            self.transport.send(peer, message)

    def _announce(self, message: SegmentEvidence) -> None:
        self.transport.send_all(self.peers(), message)

    def _on_evidence(self, envelope: Envelope, message: SegmentEvidence) -> None:
        answer = self.guard.merge(envelope.sender, message)
        if answer is not None:
            self.transport.send(envelope.sender, answer)
