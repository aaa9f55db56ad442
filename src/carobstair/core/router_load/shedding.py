"""Part of new requests that a busy router refuses while its peers are idle."""

from __future__ import annotations

import math
import random
from dataclasses import dataclass, field
from typing import NamedTuple

from carobstair.core.router_load.peers import PeerUtilisation
from carobstair.core.router_load.utilisation import LoopUtilisation

__all__ = ["NOTHING_SHED", "EarlyShedding", "EarlySheddingSettings", "ShedParts"]


class ShedParts(NamedTuple):
    """Parts of new requests that are refused, by how early they are."""

    first: float
    last: float


NOTHING_SHED = ShedParts(0.0, 0.0)


@dataclass(frozen=True, slots=True)
class EarlySheddingSettings:
    """Thresholds of the early load shedding.

    Attributes
    ----------
    first_from, first_until : float
        Utilisation from which new streams are shed, and at which all of them are. The
        load of a stream follows its admission by seconds; a steeper rise oscillates.
    last_from, last_until : float
        The same for what is shed last: requests other than streams, which cost a tenth
        as much, and requests of callers that have no further retry.
    max_last : float
        Largest part of the latter that is shed. Below 1, as a second refusal costs
        more than a late answer.
    min_gain, full_gain : float
        Difference to the median utilisation of the peers from which requests are shed,
        and at which the parts are as above.
    min_retry_after_s, max_retry_after_s : float
        Retry-After of a request that is to reach a peer: a tenth of the shortest
        objective at most, spread so that requests refused together do not return
        together.
    returned_after_s : float
        A caller that states so much less time than its route's time-out has been
        refused before. Set it only where first attempts state the whole time-out; the
        deadlines of most callers are their own.
    pause_from, pause_until : float
        Utilisation from which streams pause after each relayed part, and at which they
        do so for `max_event_pause_s`: before anything is refused.
    max_event_pause_s : float
        Events that arrive meanwhile are relayed together, in one read and one write.
        A fifth of the 200 ms within which an event has to reach its caller.
    """

    first_from: float = 0.7
    first_until: float = 0.92
    last_from: float = 0.9
    last_until: float = 1.0
    max_last: float = 0.9
    min_gain: float = 0.1
    full_gain: float = 0.3
    min_retry_after_s: float = 0.01
    max_retry_after_s: float = 0.03
    returned_after_s: float = math.inf
    pause_from: float = 0.4
    pause_until: float = 0.7
    max_event_pause_s: float = 0.04


@dataclass(slots=True)
class EarlyShedding:
    """Decides on refusals by the utilisation of this router and of its peers.

    Parameters
    ----------
    settings : EarlySheddingSettings
    enabled : bool
    own : LoopUtilisation, optional
        Nothing is shed without it.
    """

    settings: EarlySheddingSettings = EarlySheddingSettings()
    enabled: bool = False
    own: LoopUtilisation | None = None
    peers: PeerUtilisation = field(default_factory=PeerUtilisation)

    def utilisation(self) -> float | None:
        """Return the utilisation of this router, or None if it is not measured."""
        return None if self.own is None else self.own.value

    def peer_advantage(self, now_s: float) -> float:
        """Return how much idler the peers are, from 0 to 1 (as in the settings)."""
        own = self.utilisation()
        if not self.enabled or own is None:
            return 0.0
        median = self.peers.median(now_s)
        if median is None:
            return 0.0
        settings = self.settings
        return _ramp(own - median, settings.min_gain, settings.full_gain)

    def parts(self, now_s: float) -> ShedParts:
        """Return the parts of new requests that are to be refused."""
        own = self.utilisation()
        settings = self.settings
        if not self.enabled or own is None or own <= settings.first_from:
            return NOTHING_SHED
        advantage = self.peer_advantage(now_s)
        if advantage <= 0.0:
            return NOTHING_SHED
        first = _ramp(own, settings.first_from, settings.first_until)
        last = _ramp(own, settings.last_from, settings.last_until)
        return ShedParts(advantage * first, advantage * settings.max_last * last)

    def event_pause_s(self) -> float:
        """Return how long a stream is not read after a part of it was relayed."""
        own = self.utilisation()
        settings = self.settings
        if not self.enabled or own is None or own <= settings.pause_from:
            return 0.0
        fraction = _ramp(own, settings.pause_from, settings.pause_until)
        return settings.max_event_pause_s * fraction

    def is_returned(
        self, caller_timeout_s: float | None, timeout_s: float | None
    ) -> bool:
        """Return whether a caller was refused before, by the time that it has left.

        Parameters
        ----------
        caller_timeout_s : float or None
            Time that the caller still waits for the response, as it states.
        timeout_s : float or None
            Time-out of the request's route.
        """
        if not timeout_s or caller_timeout_s is None:
            return False
        return timeout_s - caller_timeout_s >= self.settings.returned_after_s

    def retry_after_s(self, rng: random.Random) -> float:
        """Return the wait after which a refused caller is to reach a peer."""
        settings = self.settings
        return rng.uniform(settings.min_retry_after_s, settings.max_retry_after_s)


def _ramp(value: float, low: float, high: float) -> float:
    """Return 0 up to `low`, 1 from `high` on, and a linear rise between them."""
    return min(1.0, max(0.0, (value - low) / (high - low)))
