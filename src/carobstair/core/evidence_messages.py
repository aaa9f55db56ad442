"""Messages by which routers tell each other what ended under prompt segments."""

from __future__ import annotations

import msgspec

__all__ = ["EvidenceAck", "EvidenceItem", "EvidenceNews", "SegmentEvidence"]


class SegmentEvidence(msgspec.Struct, frozen=True, array_like=True):
    """Prompt segments under which upstreams ended, and segments that were answered.

    Attributes
    ----------
    ends : list of (str, int, str, list of str)
        Id and start time of each ended upstream, the request that had been sent
        there, and shared segments of its prompt.
    sound : list of str
        Segments that an upstream has answered and outlived.
    wants_refused : bool
        Whether the receiver is asked for the segments that it refuses.
    is_summary : bool
        Whether the ends are of segments that the sender has refused for some time.
    refused : list of str
        Segments that the sender refuses from now on.
    delays_s : list of float
        For each of the ends, the time that it followed the first byte of the answer.
    survived : list of str
        Segments that an upstream has outlived by more than such a time.
    tried : list of str
        Refused segments that the sender tries again now.
    """

    ends: list[tuple[str, int, str, list[str]]] = []
    sound: list[str] = []
    wants_refused: bool = False
    is_summary: bool = False
    refused: list[str] = []
    delays_s: list[float] = []
    survived: list[str] = []
    tried: list[str] = []


class EvidenceItem(msgspec.Struct, frozen=True, array_like=True):
    """What one router has learnt within a short time.

    Attributes
    ----------
    source : str
        Router that learnt it, whoever passes it on.
    incarnation, sequence : int
        Identify the item among those of its source.
    age_s : float
        Time since the source sent it first.
    ages_s : list of float
        For each of the ends, how much earlier the source learnt of it.
    """

    source: str
    incarnation: int
    sequence: int
    age_s: float
    evidence: SegmentEvidence
    ages_s: list[float] = []


class EvidenceNews(msgspec.Struct, frozen=True, array_like=True):
    """Items on their way to all routers; answered with an `EvidenceAck`.

    Attributes
    ----------
    number : int
        Identifies the message among those of its sender.
    reach : int
        To whom the receiver passes the items on: 0 for nobody, 1 for its zone, 2 for
        its zone and the collectors of the others.
    held_s : float
        Time since the message was sent first.
    """

    number: int
    reach: int
    held_s: float
    items: list[EvidenceItem]


class EvidenceAck(msgspec.Struct, frozen=True, array_like=True):
    """States that an `EvidenceNews` was received.

    Attributes
    ----------
    number : int
    held_s : float
        As in the message, which tells by how much the answer is late.
    """

    number: int
    held_s: float
