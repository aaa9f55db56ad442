"""Weighs which of several prompt segments ends upstreams."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass

from carobstair.core.segment_record import Incarnation, SegmentRecord

__all__ = ["Observation", "Suspect"]

# A router may have missed the evidence of so many ends.
MAX_UNSHARED_ENDS = 1


@dataclass(frozen=True, slots=True)
class Observation:
    """What a router knows of the upstreams that began to answer a segment.

    Attributes
    ----------
    survivors : frozenset of Incarnation
        Upstreams that seem to have outlived it.
    is_living : bool
        Whether any upstream that has answered it seems to live.
    exposed_share : float
        Share of the observed time of all upstreams after they began to answer it.
    other_ends : int
        Upstreams that ended meanwhile and had not answered it.
    """

    survivors: frozenset[Incarnation] = frozenset()
    is_living: bool = False
    exposed_share: float = 0.0
    other_ends: int = 0


@dataclass(frozen=True, slots=True)
class Suspect:
    """A segment with enough ends to be refused, if nothing else explains them.

    Attributes
    ----------
    survivors : int
        Number of upstreams that have outlived an answer.
    is_living : bool
        Whether any upstream that has answered it seems to live.
    needed_ends : int
        Number of ends that must have no other explanation.
    """

    segment: str
    record: SegmentRecord
    survivors: int
    is_living: bool
    needed_ends: int
    is_refused: bool

    def order(self) -> tuple[bool, int, int, bool, int, bool]:
        """Return a sort key: of segments with as many ends, those with few answers."""
        return (
            self.survivors > 0,
            -len(self.record.ends),
            self.survivors,
            self.is_living,
            self.record.unproven_answers,
            not self.is_refused,
        )

    def has_enough(self, explained: Iterable[Incarnation]) -> bool:
        """Return whether enough ends have no other explanation."""
        return len(self.record.ends.keys() - explained) >= self.needed_ends

    def shared_ends(self, others: Iterable[Suspect]) -> frozenset[Incarnation]:
        """Return the ends that one of the others explains, if that is nearly all."""
        if self.record.by_operator:
            return frozenset()
        for other in others:
            shared = frozenset(self.record.ends.keys() & other.record.ends.keys())
            if len(self.record.ends) - len(shared) <= MAX_UNSHARED_ENDS:
                return shared
        return frozenset()
