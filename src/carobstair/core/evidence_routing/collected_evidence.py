"""What a router has learnt since it last told the others."""

from __future__ import annotations

from dataclasses import dataclass, field

from carobstair.core.evidence_messages import SegmentEvidence

__all__ = ["CollectedEvidence", "size"]


@dataclass(slots=True)
class CollectedEvidence:
    """Joins messages with evidence into one."""

    _messages: list[tuple[SegmentEvidence, float]] = field(default_factory=list)

    def __bool__(self) -> bool:
        return bool(self._messages)

    def add(self, evidence: SegmentEvidence, now_s: float) -> None:
        """Add what was learnt now."""
        self._messages.append((evidence, now_s))

    def take(
        self, now_s: float, max_segments: int
    ) -> tuple[SegmentEvidence, list[float]]:
        """Return one message, and the age of each of its ends.

        What is beyond a number of segments is left for the next one.
        """
        taken = room = 0
        while taken < len(self._messages) and room < max_segments:
            room += size(self._messages[taken][0])
            taken += 1
        messages = self._messages[:taken]
        del self._messages[:taken]
        sound = _joined(evidence.sound for evidence, _ in messages)
        cleared = set(sound)
        rows, delays_s, ages_s = [], [], []
        for evidence, at_s in messages:
            for index, (*end, segments) in enumerate(evidence.ends):
                # A receiver would answer that these are sound, as it was just told.
                rows.append((*end, [s for s in segments if s not in cleared]))
                has_delay = index < len(evidence.delays_s)
                delays_s.append(evidence.delays_s[index] if has_delay else 0.0)
                ages_s.append(now_s - at_s)
        joined = SegmentEvidence(
            rows,
            sound,
            refused=_joined(evidence.refused for evidence, _ in messages),
            delays_s=delays_s,
            survived=_joined(evidence.survived for evidence, _ in messages),
            tried=_joined(evidence.tried for evidence, _ in messages),
        )
        return joined, ages_s


def size(evidence: SegmentEvidence) -> int:
    """Return the number of segments in a message, and its rows."""
    rows = sum(1 + len(segments) for *_, segments in evidence.ends)
    lists = (evidence.sound, evidence.refused, evidence.survived, evidence.tried)
    return rows + sum(map(len, lists))


def _joined(lists) -> list[str]:
    """Return each entry once, in the order of the first ones."""
    return list(dict.fromkeys(entry for entries in lists for entry in entries))
