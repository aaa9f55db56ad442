"""What is known of one prompt segment under which upstreams ended."""

from __future__ import annotations

import math
from dataclasses import dataclass, field
from statistics import median_high

from carobstair.core.evidence_settings import EvidenceSettings

__all__ = ["Incarnation", "SegmentRecord"]

# Id and start time (Unix time in ms) of an upstream.
Incarnation = tuple[str, int]

# Ends that are kept for each segment; more of them show nothing new.
MAX_ENDS = 64


@dataclass(slots=True)
class SegmentRecord:
    """Ends of upstreams under a segment, and whether it is refused.

    Attributes
    ----------
    ends : dict of Incarnation to float
        Ended upstreams with the monotonic times of their ends.
    requests : set of str
        Requests under which they ended; no more than are needed.
    delays_s : list of float
        For each end, the time from the first byte of an answer to it.
    survivors : set of Incarnation
        Upstreams that have outlived an answer by more than that time; for one at a
        peer, the name of the peer.
    confirmed : bool
        Refused by another router, which may have seen the ends one by one.
    alternatives : frozenset of Incarnation
        Ends that another segment explains as well, which is not refused.
    """

    ends: dict[Incarnation, float] = field(default_factory=dict)
    requests: set[str] = field(default_factory=set)
    updated_s: float = 0.0
    refused_since_s: float | None = None
    held_until_s: float = 0.0
    by_operator: bool = False
    confirmed: bool = False
    delays_s: list[float] = field(default_factory=list)
    survivors: set[Incarnation] = field(default_factory=set)
    alternatives: frozenset[Incarnation] = frozenset()
    # Answers that ended with their connections.
    unproven_answers: int = 0
    _bursts: int = 0
    _burst_began_s: float = -math.inf
    _last_end_s: float = -math.inf

    def add_end(
        self,
        upstream: Incarnation,
        request_id: str,
        sent_s: float,
        at_s: float,
        delay_s: float,
        settings: EvidenceSettings,
    ) -> bool:
        """Add the end of an upstream under a request; return whether it is new.

        Parameters
        ----------
        sent_s : float
            Monotonic time at which the request was sent.
        delay_s : float
            Time from the first byte of the answer to the end.
        """
        is_new = self._add_request(request_id, settings)
        if upstream in self.ends or len(self.ends) >= MAX_ENDS:
            return is_new
        gap_s, length_s = abs(at_s - self._last_end_s), at_s - self._burst_began_s
        # What was sent after an end did not end with it.
        if (
            sent_s >= self._last_end_s
            or gap_s > settings.burst_gap_s
            or length_s > settings.max_burst_s
        ):
            self._bursts += 1
            self._burst_began_s = at_s
        self._last_end_s = max(at_s, self._last_end_s)
        self.ends[upstream] = at_s
        self.delays_s.append(delay_s)
        return True

    def _add_request(self, request_id: str, settings: EvidenceSettings) -> bool:
        full = len(self.requests) >= settings.requests_to_refuse
        if full or request_id in self.requests:
            return False
        self.requests.add(request_id)
        return True

    def outlived_after_s(self, settings: EvidenceSettings) -> float:
        """Return how long after an answer began its upstream has to live."""
        delay_s = median_high(self.delays_s) if self.delays_s else 0.0
        outlived_s = settings.outlived_factor * delay_s + settings.outlived_margin_s
        return min(outlived_s, settings.survival_s)

    def suffices(self, settings: EvidenceSettings) -> bool:
        """Return whether there are enough ends to refuse the segment."""
        return (self.by_operator or self.confirmed) or (
            self._bursts >= settings.ends_to_refuse
            and len(self.requests) >= settings.requests_to_refuse
        )

    def is_unlikely_chance(
        self, other_ends: int, exposed_share: float, settings: EvidenceSettings
    ) -> bool:
        """Return whether upstreams that end by chance hardly explain the ends.

        Parameters
        ----------
        other_ends : int
            Ends of upstreams that did not follow an answer to the segment.
        exposed_share : float
            Share of the observed time of all upstreams in which they had answered it.
        """
        own, total = len(self.ends), len(self.ends) + other_ends
        share = min(1.0, exposed_share)
        chance = sum(
            math.comb(total, ends) * share**ends * (1.0 - share) ** (total - ends)
            for ends in range(own, total + 1)
        )
        return chance < settings.max_chance

    def next_trial_s(self, settings: EvidenceSettings) -> float | None:
        """Return when the segment may be tried again, or None for never."""
        if self.by_operator:
            return None
        failed = self._failed_trials(settings.in_flight_s)
        if failed >= len(settings.trial_delays_s):
            return None
        if self._is_ambiguous(settings):
            return max(self.refused_since_s, self.held_until_s)
        last_end_s = max(self.ends.values())
        return max(last_end_s + settings.trial_delays_s[failed], self.held_until_s)

    def trial_hold_s(self, settings: EvidenceSettings) -> float:
        """Return how long the result of a trial is awaited before the next."""
        if self._is_ambiguous(settings):
            # The answer, and the time for which its upstream has to outlive it.
            return settings.survival_s + settings.in_flight_s
        return settings.trial_timeout_s

    def _is_ambiguous(self, settings: EvidenceSettings) -> bool:
        return bool(self.alternatives) and not self._failed_trials(settings.in_flight_s)

    def _failed_trials(self, in_flight_s: float) -> int:
        settled_s = self.refused_since_s + in_flight_s
        return sum(
            at_s > settled_s
            for upstream, at_s in self.ends.items()
            if upstream not in self.alternatives
        )
