"""An order with what one router counts and collects for it."""

from __future__ import annotations

from dataclasses import dataclass

from carobstair.core.rollout_messages import OrderReport
from carobstair.core.rollouts.collector import OrderCollector
from carobstair.core.rollouts.counts import AnswerLedger
from carobstair.core.rollouts.orders import OrderState

__all__ = ["Rollout"]


@dataclass(slots=True)
class Rollout:
    """One order at one router; a new order starts with empty counts."""

    state: OrderState
    ledger: AnswerLedger
    collector: OrderCollector

    def report(self, now_s: float) -> OrderReport:
        """Return what this router reports to the collectors."""
        state = self.state
        return OrderReport(
            state.order.service,
            state.order.target,
            (state.started.era, state.started.revision),
            state.age_s(now_s),
            state.phase,
            self.ledger.at_old,
            self.ledger.report_rows(),
        )
