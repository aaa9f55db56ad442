"""Decides which new streams are handed off, and to which peer."""

from __future__ import annotations

import random
from dataclasses import dataclass

from carobstair.core.handoff.peers import HandoffPeer, HandoffPeers
from carobstair.core.handoff.settings import HandoffSettings

__all__ = ["HandoffDecision"]


@dataclass(slots=True)
class HandoffDecision:
    """Hands off a part of the new streams that grows with the own utilisation.

    Answers more requests of one workspace than this router has processor time for,
    while its peers are idle: a refused caller would return to this router.

    Parameters
    ----------
    settings : HandoffSettings
    peers : HandoffPeers
    max_open_requests : int
        Limit on open requests of this router.
    enabled : bool
    stopping : bool
        A router that stops finishes what it has and hands nothing off.
    """

    settings: HandoffSettings
    peers: HandoffPeers
    max_open_requests: int
    enabled: bool = False
    stopping: bool = False

    def part(self, utilisation: float | None, open_handoffs: int) -> float:
        """Return the largest part of the new streams that is handed off."""
        settings = self.settings
        if not self.enabled or self.stopping or utilisation is None:
            return 0.0
        if utilisation <= settings.part_from:
            return 0.0
        if open_handoffs >= settings.open_share * self.max_open_requests:
            return 0.0
        return _ramp(utilisation, settings.part_from, settings.part_until)

    def choose(
        self, utilisation: float, part: float, rng: random.Random, now_s: float
    ) -> HandoffPeer | None:
        """Return the peer that gets a stream, or None if it is served here.

        Parameters
        ----------
        part : float
            See `part`; reduced where the chosen peer is hardly idler.
        """
        draw = rng.random()
        if draw >= part:
            return None
        peer = self.peers.choose(rng, now_s)
        if peer is None:
            return None
        settings = self.settings
        gain = utilisation - self.peers.expected(peer)
        advantage = _ramp(gain, settings.min_gain, settings.full_gain)
        return peer if draw < part * advantage else None


def _ramp(value: float, low: float, high: float) -> float:
    """Return 0 up to `low`, 1 from `high` on, and a linear rise between them."""
    return min(1.0, max(0.0, (value - low) / (high - low)))
