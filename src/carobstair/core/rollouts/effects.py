"""What the controller of roll-outs asks its driver to do."""

from __future__ import annotations

from dataclasses import dataclass

import msgspec

from carobstair.core.rollouts.collector import Decision
from carobstair.core.rollouts.orders import OrderState, RolloutState
from carobstair.core.store_stamp import Stamp

__all__ = [
    "Effect",
    "LogEvent",
    "SendMessage",
    "WriteStatus",
    "decision_event",
    "order_event",
]

# Routes in one log line.
MAX_LOGGED_ROUTES = 8


@dataclass(frozen=True, slots=True)
class SendMessage:
    """A message to send."""

    receivers: tuple[str, ...]
    payload: msgspec.Struct


@dataclass(frozen=True, slots=True)
class WriteStatus:
    """A status to write, if the object still has the stamp."""

    service: str
    target: str
    state: RolloutState
    stamp: Stamp


@dataclass(frozen=True, slots=True)
class LogEvent:
    """An event to log with its fields."""

    event: str
    fields: dict[str, object]


Effect = SendMessage | WriteStatus | LogEvent


def order_event(event: str, known: OrderState, **fields: object) -> LogEvent:
    """Return an event about an order."""
    order = known.order
    named = {"service": order.service, "version": order.target}
    named["revision"] = order.stamp.revision
    return LogEvent(event, named | fields)


def decision_event(
    event: str, known: OrderState, decision: Decision, age_s: float
) -> LogEvent:
    """Return an event about a decision, with the counts that led to it."""
    counts = decision.counts
    begun = sorted(counts.begun.items())[:MAX_LOGGED_ROUTES]
    return order_event(
        event,
        known,
        phase=decision.phase.name.lower(),
        share=round(decision.share, 3),
        verdict=str(decision.verdict),
        reason=decision.reason,
        age_s=round(age_s, 2),
        requests=counts.requests,
        exposed=counts.exposed,
        bad=counts.bad,
        begun=",".join(f"{route}:{number}" for route, number in begun),
    )
