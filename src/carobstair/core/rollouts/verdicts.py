"""When a router writes the verdict on an order to the store."""

from __future__ import annotations

from carobstair.core.rollouts.effects import Effect, WriteStatus, order_event
from carobstair.core.rollouts.orders import OrderState, Phase, RolloutState

__all__ = ["due_write"]

# Routers write a verdict one after the other, so that one write is usually enough.
WRITER_INTERVAL_S = 0.25
MAX_WRITERS = 8
# A status that is not seen is written again after this time.
WRITE_RETRY_S = 0.8
# Routers write at the deadline if no collector has decided.
LAST_WRITE_S = 0.3


def due_write(state: OrderState, own_rank: int, now_s: float) -> list[Effect]:
    """Return the write of a verdict that the store does not show yet.

    Parameters
    ----------
    own_rank : int
        Rank of this router among those that are heard.
    """
    order = state.order
    delay_s = WRITER_INTERVAL_S * min(own_rank, MAX_WRITERS)
    effects: list[Effect] = []
    is_undecided = state.verdict is RolloutState.RUNNING
    if is_undecided and state.age_s(now_s) >= order.duration_s - LAST_WRITE_S:
        is_full = state.phase is Phase.FULL
        state.verdict = RolloutState.COMPLETED if is_full else RolloutState.ROLLED_BACK
        effects.append(
            order_event("rollout_deadline", state, verdict=str(state.verdict))
        )
    if state.verdict is RolloutState.RUNNING:
        return effects
    if state.write_after_s is None:
        state.write_after_s = now_s + delay_s
    if now_s >= state.write_after_s:
        state.write_after_s = now_s + WRITE_RETRY_S + delay_s
        effects.append(
            WriteStatus(order.service, order.target, state.verdict, order.stamp)
        )
    return effects
