"""Queues of the requests that wait at a gateway, and their classification."""

from __future__ import annotations

import math
from collections import OrderedDict
from collections.abc import Iterator
from dataclasses import dataclass, field, replace
from enum import StrEnum
from itertools import islice

from carobstair.core.messages import DemandEntry
from carobstair.core.refusals import refuse

__all__ = [
    "ClassLimits",
    "GatewayQueue",
    "WaitingRequest",
    "WorkClass",
    "classify",
    "with_valid_estimates",
]

DEFAULT_OUTPUT_TOKENS = 256
MAX_HINT_TOKENS = 200_000
MAX_KV_TOKENS = 2**40
# An offer may be bound to any of the first requests, so that an allocator has to
# reserve KV tokens for the largest of them.
HEAD_REQUESTS = 4


class WorkClass(StrEnum):
    """Class of a request within its workspace."""

    QUICK = "quick"
    LONG = "long"


@dataclass(frozen=True, slots=True)
class ClassLimits:
    """Largest token hints with which a request is classified as quick."""

    quick_output_tokens: int = 128
    quick_input_tokens: int = 2_000


def valid_hint_tokens(hint: object, default: int = DEFAULT_OUTPUT_TOKENS) -> int:
    """Return a hint as a number of tokens, or the default if it is invalid."""
    if isinstance(hint, bool) or not isinstance(hint, int | float):
        return default
    if not 0 < hint <= MAX_HINT_TOKENS:
        return default
    return int(hint)


def with_valid_estimates(request: WaitingRequest) -> WaitingRequest:
    """Return a request with valid estimates; the same object if they were valid."""
    cost, kv = request.cost_tokens, request.kv_tokens
    if math.isfinite(cost) and cost >= 0.0 and 0 <= kv <= MAX_KV_TOKENS:
        return request
    valid_kv = kv if 0 <= kv <= MAX_KV_TOKENS else DEFAULT_OUTPUT_TOKENS
    is_valid_cost = math.isfinite(cost) and cost >= 0.0
    valid_cost = cost if is_valid_cost else float(DEFAULT_OUTPUT_TOKENS)
    return replace(request, cost_tokens=valid_cost, kv_tokens=valid_kv)


def classify(output_tokens: int, input_tokens: int, limits: ClassLimits) -> WorkClass:
    """Return the work class of a request by its token hints."""
    short = (
        output_tokens <= limits.quick_output_tokens
        and input_tokens <= limits.quick_input_tokens
    )
    return WorkClass.QUICK if short else WorkClass.LONG


@dataclass(slots=True)
class WaitingRequest:
    """A request that waits for a grant.

    Attributes
    ----------
    cost_tokens : float
        Estimated service in weighted tokens.
    kv_tokens : int
        KV-cache tokens to reserve: input plus the output hint.
    prefix : tuple of int
        Hashes of the prompt's leading blocks, longest prefix last.
    excluded : frozenset of str
        Upstreams at which an attempt of this request has failed.
    """

    request_id: str
    pool: str
    workspace: str
    work_class: WorkClass
    cost_tokens: float
    kv_tokens: int
    size_bytes: int
    enqueued_s: float
    deadline_s: float
    prefix: tuple[int, ...] = ()
    excluded: frozenset[str] = field(default_factory=frozenset)


_Key = tuple[str, str, str]


class GatewayQueue:
    """FIFO queues per pool, workspace and class, bounded per workspace."""

    def __init__(self) -> None:
        self._queues: dict[_Key, OrderedDict[str, WaitingRequest]] = {}
        self._counts: dict[str, int] = {}
        self._bytes: dict[str, int] = {}
        # No request expires before this time, so that most scans can be skipped.
        self._earliest_s = math.inf

    def __len__(self) -> int:
        return sum(self._counts.values())

    def __iter__(self) -> Iterator[WaitingRequest]:
        for queue in self._queues.values():
            yield from queue.values()

    def push(
        self,
        request: WaitingRequest,
        max_requests: int,
        max_bytes: int,
        at_front: bool = False,
    ) -> None:
        """Add a request.

        Parameters
        ----------
        at_front : bool, optional
            For a request that has already waited; the bounds don't apply to it.

        Raises
        ------
        Refusal
            ``queue-full`` if the workspace has reached a bound.
        """
        workspace = request.workspace
        count = self._counts.get(workspace, 0)
        size_bytes = self._bytes.get(workspace, 0) + request.size_bytes
        if not at_front and (count >= max_requests or size_bytes > max_bytes):
            raise refuse("queue-full", f"{count} requests are waiting")
        queue = self._queues.setdefault(_key(request), OrderedDict())
        queue[request.request_id] = request
        if at_front:
            queue.move_to_end(request.request_id, last=False)
        self._earliest_s = min(self._earliest_s, request.deadline_s)
        self._counts[workspace] = count + 1
        self._bytes[workspace] = size_bytes

    def pop(
        self,
        pool: str,
        workspace: str,
        work_class: str,
        upstream: str,
        kv_tokens: int = MAX_KV_TOKENS,
    ) -> WaitingRequest | None:
        """Remove and return the first request that may go to an upstream.

        Parameters
        ----------
        kv_tokens : int, optional
            KV-cache tokens reserved by the offer; larger requests are skipped.
        """
        queue = self._queues.get((pool, workspace, work_class), {})
        for request in queue.values():
            if upstream not in request.excluded and request.kv_tokens <= kv_tokens:
                self.remove(request)
                return request
        return None

    def remove(self, request: WaitingRequest) -> bool:
        """Remove a request; return whether it was waiting."""
        key = _key(request)
        queue = self._queues.get(key)
        if queue is None or queue.pop(request.request_id, None) is None:
            return False
        if not queue:
            del self._queues[key]
        self._counts[request.workspace] -= 1
        self._bytes[request.workspace] -= request.size_bytes
        if not self._counts[request.workspace]:
            del self._counts[request.workspace], self._bytes[request.workspace]
        return True

    def expired(self, now_s: float) -> list[WaitingRequest]:
        """Return the requests whose deadline has passed."""
        if now_s < self._earliest_s:
            return []
        late = [request for request in self if request.deadline_s <= now_s]
        later = (r.deadline_s for r in self if r.deadline_s > now_s)
        self._earliest_s = min(later, default=math.inf)
        return late

    def waiting(self, pool: str, workspace: str) -> int:
        """Return how many requests of a workspace wait for a pool."""
        return sum(len(self._queues.get((pool, workspace, c), ())) for c in WorkClass)

    def backlogged(self) -> set[tuple[str, str]]:
        """Return (pool, workspace) of all waiting requests."""
        return {(pool, workspace) for pool, workspace, _ in self._queues}

    def entry(self, pool: str, workspace: str, work_class: str) -> DemandEntry:
        """Return the demand of one queue, with none waiting if it is empty."""
        key = (pool, workspace, work_class)
        queue = self._queues.get(key)
        return self._entry(key, queue) if queue else DemandEntry(*key, 0, 0.0, 0)

    def demand(self) -> list[DemandEntry]:
        """Return the demand to announce: one entry per non-empty queue."""
        return [self._entry(key, queue) for key, queue in self._queues.items()]

    def _entry(self, key: _Key, queue: OrderedDict[str, WaitingRequest]) -> DemandEntry:
        first = list(islice(queue.values(), HEAD_REQUESTS))
        head = first[0]
        return DemandEntry(
            *key,
            len(queue),
            head.cost_tokens,
            max(request.kv_tokens for request in first),
            list(head.prefix),
            sorted(head.excluded),
        )


def _key(request: WaitingRequest) -> _Key:
    return (request.pool, request.workspace, request.work_class)
