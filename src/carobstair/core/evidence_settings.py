"""Settings of the evidence against prompt segments."""

from __future__ import annotations

from dataclasses import dataclass

__all__ = ["EvidenceSettings"]


@dataclass(frozen=True, slots=True)
class EvidenceSettings:
    """Thresholds, times and bounds of the evidence.

    Attributes
    ----------
    ends_to_refuse : int
        Number of upstreams that must have ended under a segment before it is
        refused.
    max_chance : float
        Bound on the probability that upstreams which end at random would have ended
        under the segment as often.
    unseen_s : float
        Time of upstreams added to what a router has observed: one that has just
        started has seen little else than the ends.
    burst_gap_s, max_burst_s : float
        Ends that follow each other within the first, for up to the second, count as
        one: many upstreams that end at the same moment have another cause.
    requests_to_refuse : int
        Number of requests under which they must have ended: the retries of one
        request don't tell its segments apart.
    survival_s : float
        An upstream that lives for this long after the first byte of an answer did
        not end under it, and clears the segments of its prompt.
    outlived_factor, outlived_margin_s : float
        An upstream that outlives an answer by more than the first times the median
        delay of the ends under a segment, plus the second, speaks for the segment.
    unconfirmed_s : float
        How long an attempt that broke off is kept while it is unknown whether its
        upstream has ended. Store entries of ended upstreams lapse after 3 s.
    ended_s : float
        How long an ended upstream is remembered, for attempts that end later.
    silence_s : float
        Silence after which an open attempt at an ended upstream counts as broken.
    evidence_s, refused_s : float
        How long a segment that is not refused is kept after its last end, and a
        refused one after its last request.
    sound_s : float
        How long a segment counts as sound after an answer.
    in_flight_s : float
        Ends within this time after the refusal began are of requests that had been
        sent before.
    trial_delays_s : tuple of float
        Delay of the next trial request after the last end, by the number of trials
        that failed. After the last one there are no more: each ends an upstream.
        The first one is not delayed while another segment explains the ends too.
    trial_timeout_s : float
        Time after which a trial without a result is repeated.
    max_exposures : int
        Answers for each upstream of which it is unknown whether it outlived them.
    max_segments, max_sound : int
        Bounds of the memory; the segments updated least recently are dropped.
    """

    ends_to_refuse: int = 4
    max_chance: float = 0.0002
    unseen_s: float = 0.5
    burst_gap_s: float = 0.03
    max_burst_s: float = 0.2
    requests_to_refuse: int = 2
    survival_s: float = 3.5
    outlived_factor: float = 1.5
    outlived_margin_s: float = 0.1
    unconfirmed_s: float = 4.0
    ended_s: float = 60.0
    silence_s: float = 1.0
    evidence_s: float = 600.0
    refused_s: float = 3600.0
    sound_s: float = 300.0
    in_flight_s: float = 1.0
    trial_delays_s: tuple[float, ...] = (5.0, 120.0, 1200.0)
    trial_timeout_s: float = 30.0
    max_exposures: int = 256
    max_segments: int = 1024
    max_sound: int = 8192
