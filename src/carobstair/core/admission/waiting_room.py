"""Bounded queue of requests that wait at a router until an engine has room."""

from __future__ import annotations

from collections.abc import Collection
from dataclasses import dataclass, field

from carobstair.core.admission.request import AdmissionRequest
from carobstair.core.admission.settings import AdmissionSettings

__all__ = ["WaitingRequest", "WaitingRoom"]

Key = tuple[str, str]
# A lower share does not count, to divide by.
MIN_SHARE_PER_S = 1.0


@dataclass(slots=True, eq=False)
class WaitingRequest:
    """A request that waits.

    Attributes
    ----------
    request_id : int
        Number that is unique at this router.
    share : float
        Share of its workspace, in tokens a second.
    latest_s : float
        Monotonic time after which its first token would be late.
    priority : int
        0 is the most urgent.
    """

    request_id: int
    asked: AdmissionRequest
    share: float
    arrived_s: float
    latest_s: float
    priority: int = 0

    @property
    def key(self) -> Key:
        """Pool and workspace."""
        return self.asked.pool, self.asked.workspace


@dataclass(slots=True)
class WaitingRoom:
    """Requests that wait, in the order in which they should begin.

    First comes the workspace that has begun least relative to its share, so that large
    and small requests are not told apart, and of its requests that can still be on time
    the most urgent kind, in order of arrival.

    Parameters
    ----------
    settings : AdmissionSettings
    """

    settings: AdmissionSettings
    _queues: dict[Key, list[WaitingRequest]] = field(default_factory=dict)
    # Tokens begun relative to the share, in seconds, of workspaces that wait.
    _begun_s: dict[Key, float] = field(default_factory=dict)
    _count: int = 0

    def __len__(self) -> int:
        return self._count

    def offer(self, request: WaitingRequest, now_s: float) -> WaitingRequest | None:
        """Add a request; return the one that must be refused for it, if any.

        That is the request itself if it is late already, or if the room is full and no
        workspace has more waiting than its own. Else it is the last of the workspace
        that has the most.
        """
        if request.latest_s <= now_s or self.settings.max_waiting <= 0:
            return request
        refused = None
        if self._count >= self.settings.max_waiting:
            longest = max(self._queues.values(), key=len)
            if len(longest) <= len(self._queues.get(request.key, ())) + 1:
                return request
            refused = longest[-1]
            self.remove(refused.request_id)
        queue = self._queues.get(request.key)
        if queue is None:
            queue = self._queues[request.key] = []
            # One that has not waited gains nothing from the time before.
            least_s = min(self._begun_s.values(), default=0.0)
            self._begun_s[request.key] = least_s
        place = len(queue)
        while place and queue[place - 1].priority > request.priority:
            place -= 1
        queue.insert(place, request)
        self._count += 1
        return refused

    def next(self, now_s: float, passed: Collection[Key] = ()) -> WaitingRequest | None:
        """Return the request that should begin next, which stays in the room.

        Parameters
        ----------
        passed : collection
            Pools and workspaces that are passed over.
        """
        keys = [key for key in self._queues if key not in passed]
        for key in sorted(keys, key=self._begun_s.__getitem__):
            for request in self._queues[key]:
                if request.latest_s > now_s:
                    return request
        return None

    def begin(self, request: WaitingRequest) -> None:
        """Remove a request that begins, and count it for its workspace."""
        share = max(request.share, MIN_SHARE_PER_S)
        self._begun_s[request.key] += request.asked.tokens / share
        self.remove(request.request_id)

    def remove(self, request_id: int) -> bool:
        """Remove a request; return whether it waited."""
        for key, queue in self._queues.items():
            for request in queue:
                if request.request_id == request_id:
                    queue.remove(request)
                    self._count -= 1
                    if not queue:
                        del self._queues[key], self._begun_s[key]
                    return True
        return False

    def expired(self, now_s: float) -> list[WaitingRequest]:
        """Remove and return the requests that would be late."""
        late = [r for q in self._queues.values() for r in q if r.latest_s <= now_s]
        for request in late:
            self.remove(request.request_id)
        return late

    def clear(self) -> list[WaitingRequest]:
        """Remove and return all requests."""
        waiting = [request for queue in self._queues.values() for request in queue]
        self._queues.clear()
        self._begun_s.clear()
        self._count = 0
        return waiting
