"""Named defects that scenarios must notice.

Each replaces one method of the decision code, or one rule of the simulated
gateway, for the time of a run.
"""

from collections.abc import Iterator
from contextlib import contextmanager
from unittest.mock import PropertyMock, patch

from carobstair.core.allocator import Allocator
from carobstair.core.demand import Demand, DemandKey, DemandTable
from carobstair.core.effects import FilingFinished
from carobstair.core.estimates import LimitTracker
from carobstair.core.membership import Membership
from carobstair.core.queueing import GatewayQueue, WorkClass
from carobstair.core.refusals import CATALOGUE, refuse
from carobstair.core.shares import Epoch, ShareTable, SlotShare
from carobstair.core.state import FleetState
from carobstair.core.store_calls import StoreAnswer, StoreCreate
from carobstair.core.tickets import TicketFiling, TicketLog
from carobstair.core.totals import ServiceTotals
from carobstair.scenario.engine import SimEngine
from carobstair.scenario.gateway import SimGateway
from carobstair.scenario.router import SimRouter
from carobstair.standins.memory_store import MemoryStore

__all__ = ["DEFECTS", "defect"]

LATE_S = 2.0
SHORT_EXPIRY_S = 0.5


def _whole_limit(
    epoch, owner, upstream, max_requests, max_kv_tokens, quick
) -> SlotShare:
    return SlotShare(max_requests, max_kv_tokens, 0)


def _order_by_name(allocator: Allocator, pool: str, *rest) -> list[DemandKey]:
    return [
        (pool, workspace, work_class)
        for workspace in sorted(allocator.demand.workspaces(pool))
        for work_class in WorkClass
    ]


def _quick_last(allocator: Allocator, pool: str, *rest) -> list[DemandKey]:
    ordered = _ORDER(allocator, pool, *rest)
    return sorted(ordered, key=lambda key: key[2] == WorkClass.QUICK)


def _longest_first(table: DemandTable, *key: str) -> list[Demand]:
    return sorted(_OF(table, *key), key=lambda d: (-d.unoffered, d.gateway))


def _configured_limits(
    tracker: LimitTracker, name: str, now_s: float
) -> tuple[int, int]:
    upstream = tracker._state.upstreams[name]
    return upstream.max_requests, upstream.max_kv_tokens


def _learn_first(table: ShareTable, epoch: Epoch, now_s: float) -> bool:
    return table.epoch.number == 0 and _LEARN(table, epoch, now_s)


def _push_without_bound(
    queue, request, max_requests, max_bytes, at_front=False
) -> None:
    _PUSH(queue, request, 10**9, 10**12, at_front)


def _expired_late(queue: GatewayQueue, now_s: float) -> list:
    return _EXPIRED(queue, now_s - LATE_S)


def _apply_first(log: TicketLog, tickets) -> list[bytes]:
    return _APPLY(log, tickets) if log.state.number == 0 else []


def _doubt_is_refusal(filing: TicketFiling, job, answer, now_s: float) -> list:
    if answer.ok:
        return _ON_CREATE(filing, job, answer, now_s)
    return [FilingFinished(job.filing, refusal=refuse("ticket-not-written"))]


def _resume_at_start(engine: SimEngine, attempt) -> None:
    attempt.next_token = 1
    _PREFILL(engine, attempt)


def _refuse_untruly(gateway: SimGateway, exchange, outcome: str) -> None:
    if outcome in CATALOGUE:
        exchange.end(outcome)
    _END(gateway, exchange, outcome)


def _overwrite_records(store: MemoryStore, call) -> StoreAnswer:
    if isinstance(call, StoreCreate) and call.name.startswith("actions/"):
        store.objects.pop(call.name, None)
    return _ANSWER(store, call)


_ORDER = Allocator._order
_OF = DemandTable.of
_ANSWER = MemoryStore.answer
_LEARN = ShareTable.learn
_PUSH = GatewayQueue.push
_EXPIRED = GatewayQueue.expired
_APPLY = TicketLog.apply
_ON_CREATE = TicketFiling._on_create
_PREFILL = SimEngine._prefill
_END = SimGateway._end

DEFECTS = {
    "shares that ignore the epoch": (Epoch, "share", _whole_limit),
    "order without fairness": (Allocator, "_order", _order_by_name),
    "quick requests last": (Allocator, "_order", _quick_last),
    "longest queue first": (DemandTable, "of", _longest_first),
    "fairness without exchange": (ServiceTotals, "merge", lambda *a: 0),
    "no cold limit": (LimitTracker, "limits", _configured_limits),
    "epoch that never changes": (ShareTable, "learn", _learn_first),
    "grants that lapse at once": (
        Allocator,
        "_grant_expiry_s",
        PropertyMock(return_value=SHORT_EXPIRY_S),
    ),
    "zones and leaving ignored": (FleetState, "accepts_work", lambda *a: True),
    "action records that replace others": (MemoryStore, "answer", _overwrite_records),
    "queue without bound": (GatewayQueue, "push", _push_without_bound),
    "deadlines noticed late": (GatewayQueue, "expired", _expired_late),
    "tickets stuck": (TicketLog, "apply", _apply_first),
    "doubtful ticket refused": (TicketFiling, "_on_create", _doubt_is_refusal),
    "no peer believed alive": (Membership, "live", lambda *a: set()),
    "no progress deadline": (SimGateway, "check_streams", lambda *a: None),
    "answers start again": (SimEngine, "_prefill", _resume_at_start),
    "untrue refusals": (SimGateway, "_end", _refuse_untruly),
    "shutdown cuts": (SimRouter, "stop", SimRouter.kill),
}


@contextmanager
def defect(name: str) -> Iterator[None]:
    """Switch a defect on."""
    owner, method, replacement = DEFECTS[name]
    with patch.object(owner, method, replacement):
        yield
