"""Thresholds of the hand-off of requests to idle peers."""

from __future__ import annotations

from dataclasses import dataclass

__all__ = ["HandoffSettings"]


@dataclass(frozen=True, slots=True)
class HandoffSettings:
    """Thresholds and limits of the hand-off.

    Attributes
    ----------
    part_from, part_until : float
        Utilisation from which a part of the new streams is handed off, and from which
        all of them are: the point at which requests would be shed otherwise.
    min_gain, full_gain : float
        Difference to the utilisation of the chosen peer from which requests are handed
        off, and at which the part is as above; as for the load shedding.
    max_peer_utilisation : float
        A peer that is busier gets nothing: it would soon hand off by itself.
    utilisation_per_request : float
        Added to what a peer states for each request handed to it since. A stream takes
        about 1 ms of processor time, most of it in the first third of a second.
    max_unheard_s : float
        A peer that was sent requests, and of which neither an answer nor a digest has
        come for so long, gets no more: it may be frozen. First tokens of loaded engines
        take half of it.
    failure_pause_s : float
        How long a peer gets nothing after a connect to it failed.
    max_per_peer : int
        Connections to one peer, each of which carries one request at a time.
    open_share : float
        Part of the limit on open requests that may be handed off at a time. Each takes
        two descriptors.
    """

    part_from: float = 0.45
    part_until: float = 0.7
    min_gain: float = 0.1
    full_gain: float = 0.3
    max_peer_utilisation: float = 0.5
    utilisation_per_request: float = 0.003
    max_unheard_s: float = 1.0
    failure_pause_s: float = 1.0
    max_per_peer: int = 64
    open_share: float = 0.25
