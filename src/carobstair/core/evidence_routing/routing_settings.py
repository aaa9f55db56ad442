"""Settings of the way that evidence takes."""

from __future__ import annotations

from dataclasses import dataclass

__all__ = ["RoutingSettings"]


@dataclass(frozen=True, slots=True)
class RoutingSettings:
    """Times and bounds of the messages with evidence.

    Attributes
    ----------
    first_delay_s : float
        How long news are collected before they are sent, after a quiet time: all
        attempts that an ended upstream breaks off at one router are seen within it.
    delay_s : float
        Least time between two sends of a router; what comes meanwhile is joined.
    resend_s, max_resend_s : float
        Time after which a message that was not acknowledged is sent again: some times
        the usual time of an acknowledgement, within these bounds.
    max_sends : int
        How often a message is sent to a router that does not acknowledge it.
    answered_sends : int
        If none of the collectors of a router's zone has acknowledged a message after
        so many sends, the router passes it on like a collector.
    candidates : int
        Collectors of each zone: each passes everything on, so one may be lost.
    max_spares : int
        Further routers of a zone that are tried if none of its collectors answers.
    direct_routers : int
        Fleets of up to so many other routers need no collectors.
    max_segments : int
        Segments in one message, some 70 kB; the rest follows in the next.
    kept_s, max_kept : float, int
        How long and how many items are kept for routers that are heard again.
    max_known, max_waiting : int
        Items that are recognised when they arrive again, and that wait to be passed on.
    requests_per_end : int
        Requests under which the end of an upstream is passed on for each segment: as
        many as `EvidenceSettings.requests_to_refuse`.
    max_passed : int
        Pairs of upstreams and segments that are known to have been passed on.
    late_s : float
        Age from which on news may have missed trials that followed them.
    sound_s : float
        Time in which a segment is not said to be sound a second time.
    """

    first_delay_s: float = 0.01
    delay_s: float = 0.05
    resend_s: float = 0.15
    max_resend_s: float = 0.45
    max_sends: int = 4
    answered_sends: int = 2
    candidates: int = 2
    max_spares: int = 2
    direct_routers: int = 16
    max_segments: int = 2000
    kept_s: float = 60.0
    max_kept: int = 256
    max_known: int = 4096
    max_waiting: int = 1024
    requests_per_end: int = 2
    max_passed: int = 8192
    late_s: float = 1.0
    sound_s: float = 1.0
