"""Messages that were sent and not acknowledged yet."""

from __future__ import annotations

from collections.abc import Collection, Sequence
from dataclasses import dataclass, field

import msgspec

from carobstair.core.evidence_messages import EvidenceAck, EvidenceItem, EvidenceNews
from carobstair.core.evidence_routing.routing_settings import RoutingSettings

__all__ = ["NewsOutbox", "Receivers"]

# A message is sent again after so many times the mean time of an acknowledgement:
# routers under load answer late, and would be sent the same over and over.
ACK_TIMES = 4.0
# Of the latest time in that mean.
ACK_WEIGHT = 0.125


@dataclass(slots=True)
class Receivers:
    """Routers that a message is sent to until they acknowledge it.

    Attributes
    ----------
    waiting : set of str
    spares : list of str
        Tried one by one while none has acknowledged it.
    acknowledged : bool
        Whether one has.
    must_answer : bool
        Whether the sender looks for another way if none does.
    """

    waiting: set[str]
    spares: list[str] = field(default_factory=list)
    acknowledged: bool = False
    must_answer: bool = False

    @classmethod
    def ranked(cls, names: Sequence[str], settings: RoutingSettings) -> Receivers:
        """Return the first routers of a zone, the next ones to be spares."""
        first, rest = names[: settings.candidates], names[settings.candidates :]
        return cls(set(first), list(rest[: settings.max_spares]))


@dataclass(slots=True)
class _Sent:
    news: EvidenceNews
    groups: list[Receivers]
    first_s: float
    due_s: float
    sends: int = 1

    def is_answered(self) -> bool:
        """Return whether each group that must answer has."""
        return all(group.acknowledged or not group.must_answer for group in self.groups)


@dataclass(slots=True)
class NewsOutbox:
    """Numbers messages and sends them again, a bounded number of times."""

    settings: RoutingSettings = RoutingSettings()
    _sent: dict[int, _Sent] = field(default_factory=dict)
    _number: int = 0
    # Mean time of an acknowledgement.
    _ack_s: float | None = None
    # Messages that no router of a group has acknowledged.
    _unanswered: list[EvidenceNews] = field(default_factory=list)

    def send(
        self,
        items: list[EvidenceItem],
        reach: int,
        groups: list[Receivers],
        now_s: float,
    ) -> list[tuple[Collection[str], EvidenceNews]]:
        """Return a message with its receivers, if there are any."""
        receivers = sorted(name for group in groups for name in group.waiting)
        if not receivers or not items:
            return []
        self._number += 1
        news = EvidenceNews(self._number, reach, 0.0, items)
        due_s = now_s + self._resend_s()
        self._sent[self._number] = _Sent(news, groups, now_s, due_s)
        return [(receivers, news)]

    def _resend_s(self) -> float:
        settings = self.settings
        usual_s = ACK_TIMES * (self._ack_s or 0.0)
        return min(max(settings.resend_s, usual_s), settings.max_resend_s)

    @property
    def transit_s(self) -> float:
        """Estimate of the time of a message from this router to the next."""
        return (self._ack_s or 0.0) / 2

    def on_ack(self, sender: str, ack: EvidenceAck, now_s: float) -> None:
        """Record that a router has received a message."""
        sent = self._sent.get(ack.number)
        if sent is None:
            return
        ack_s = max(0.0, now_s - sent.first_s - ack.held_s)
        known_s = ack_s if self._ack_s is None else self._ack_s
        self._ack_s = known_s + ACK_WEIGHT * (ack_s - known_s)
        for group in sent.groups:
            if sender in group.waiting:
                group.waiting.discard(sender)
                group.acknowledged = True
        if not any(group.waiting for group in sent.groups):
            del self._sent[ack.number]

    def due_s(self) -> float | None:
        """Return when the next message is sent again, or None for never."""
        return min((sent.due_s for sent in self._sent.values()), default=None)

    def take_unanswered(self) -> list[EvidenceNews]:
        """Return the messages for which the sender has to look for another way."""
        unanswered, self._unanswered = self._unanswered, []
        return unanswered

    def resend(self, now_s: float) -> list[tuple[Collection[str], EvidenceNews]]:
        """Return the messages that are due with those who have not answered."""
        messages: list[tuple[Collection[str], EvidenceNews]] = []
        for number, sent in list(self._sent.items()):
            if sent.due_s > now_s:
                continue
            if sent.sends >= self.settings.max_sends:
                del self._sent[number]
                continue
            if sent.sends == self.settings.answered_sends and not sent.is_answered():
                self._unanswered.append(sent.news)
            sent.sends += 1
            sent.due_s = now_s + self._resend_s()
            for group in sent.groups:
                if group.spares and not group.acknowledged:
                    group.waiting.add(group.spares.pop(0))
            receivers = sorted(name for group in sent.groups for name in group.waiting)
            held_s = now_s - sent.first_s
            news = msgspec.structs.replace(sent.news, held_s=held_s)
            messages.append((receivers, news))
        return messages
