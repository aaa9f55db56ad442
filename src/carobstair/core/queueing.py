"""Requests that wait at a gateway, by pool, workspace and work class."""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Iterator
from dataclasses import dataclass, field
from enum import StrEnum

from carobstair.core.messages import DemandEntry
from carobstair.core.refusals import refuse

__all__ = ["ClassLimits", "GatewayQueue", "WaitingRequest", "WorkClass", "classify"]

DEFAULT_OUTPUT_TOKENS = 256
MAX_HINT_TOKENS = 200_000


class WorkClass(StrEnum):
    """Class of a request within its workspace."""

    QUICK = "quick"
    LONG = "long"


@dataclass(frozen=True, slots=True)
class ClassLimits:
    """Hints up to which a request counts as quick."""

    quick_output_tokens: int = 128
    quick_input_tokens: int = 2_000


def sane_hint_tokens(hint: object, default: int = DEFAULT_OUTPUT_TOKENS) -> int:
    """Return a usable number of tokens for any hint a caller may send."""
    if isinstance(hint, bool) or not isinstance(hint, int | float):
        return default
    if not 0 < hint <= MAX_HINT_TOKENS:
        return default
    return int(hint)


def classify(output_tokens: int, input_tokens: int, limits: ClassLimits) -> WorkClass:
    """Return the class that a request's hints put it in."""
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
        Upstreams that failed this request already.
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
    """Bounded first-in-first-out queues per pool, workspace and class."""

    def __init__(self) -> None:
        self._queues: dict[_Key, OrderedDict[str, WaitingRequest]] = {}
        self._counts: dict[str, int] = {}
        self._bytes: dict[str, int] = {}

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
            For a request that waited already; bounds don't apply to it.

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
        self._counts[workspace] = count + 1
        self._bytes[workspace] = size_bytes

    def pop(
        self, pool: str, workspace: str, work_class: str, upstream: str
    ) -> WaitingRequest | None:
        """Take out the first request that may go to an upstream."""
        queue = self._queues.get((pool, workspace, work_class), {})
        for request in queue.values():
            if upstream not in request.excluded:
                self.remove(request)
                return request
        return None

    def remove(self, request: WaitingRequest) -> bool:
        """Take out a request; return whether it was waiting."""
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
        return [request for request in self if request.deadline_s <= now_s]

    def waiting(self, pool: str, workspace: str) -> int:
        """Return how many requests of a workspace wait for a pool."""
        return sum(len(self._queues.get((pool, workspace, c), ())) for c in WorkClass)

    def backlogged(self) -> set[tuple[str, str]]:
        """Return (pool, workspace) of everything that waits."""
        return {(pool, workspace) for pool, workspace, _ in self._queues}

    def demand(self) -> list[DemandEntry]:
        """Return the demand to announce: one entry per non-empty queue."""
        return [self._entry(key, queue) for key, queue in self._queues.items()]

    def _entry(self, key: _Key, queue: OrderedDict[str, WaitingRequest]) -> DemandEntry:
        head = next(iter(queue.values()))
        return DemandEntry(
            *key,
            len(queue),
            head.cost_tokens,
            head.kv_tokens,
            list(head.prefix),
            sorted(head.excluded),
        )


def _key(request: WaitingRequest) -> _Key:
    return (request.pool, request.workspace, request.work_class)
