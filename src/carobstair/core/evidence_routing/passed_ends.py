"""Ends of upstreams that a router has passed on already."""

from __future__ import annotations

from collections import OrderedDict
from dataclasses import dataclass, field

import msgspec

from carobstair.core.evidence_messages import EvidenceItem
from carobstair.core.evidence_routing.routing_settings import RoutingSettings

__all__ = ["PassedEnds"]

# Key of an end without segments: only that the upstream has ended is news.
NO_SEGMENT = ""


@dataclass(slots=True)
class PassedEnds:
    """Removes from items what adds nothing to items that were passed on before.

    An upstream counts once against a segment, however many requests it broke off: in
    a large fleet, hundreds share the first segments of their prompts.
    """

    settings: RoutingSettings = RoutingSettings()
    # Requests by upstream, its start time and segment; no more than count.
    _requests: OrderedDict[tuple[str, int, str], set[str]] = field(
        default_factory=OrderedDict
    )

    def trim(self, item: EvidenceItem) -> EvidenceItem | None:
        """Return what is left of an item, or None if it is nothing."""
        evidence = item.evidence
        rows, delays_s, ages_s = [], [], []
        for index, (upstream, born_ms, request_id, segments) in enumerate(
            evidence.ends
        ):
            new = [
                segment
                for segment in segments or [NO_SEGMENT]
                if self._is_new((upstream, born_ms, segment), request_id)
            ]
            if not new:
                continue
            kept = [segment for segment in new if segment != NO_SEGMENT]
            rows.append((upstream, born_ms, request_id, kept))
            delays_s.append(_at(evidence.delays_s, index))
            ages_s.append(_at(item.ages_s, index))
        others = (evidence.sound, evidence.refused, evidence.survived, evidence.tried)
        if not rows and not any(others):
            return None
        trimmed = msgspec.structs.replace(evidence, ends=rows, delays_s=delays_s)
        return msgspec.structs.replace(item, evidence=trimmed, ages_s=ages_s)

    def _is_new(self, key: tuple[str, int, str], request_id: str) -> bool:
        requests = self._requests.setdefault(key, set())
        self._requests.move_to_end(key)
        if len(self._requests) > self.settings.max_passed:
            self._requests.popitem(last=False)
        full = len(requests) >= self.settings.requests_per_end
        if full or request_id in requests:
            return False
        requests.add(request_id)
        return True


def _at(values: list[float], index: int) -> float:
    """Return a value of a list that may be too short, as in malformed messages."""
    return values[index] if index < len(values) else 0.0
