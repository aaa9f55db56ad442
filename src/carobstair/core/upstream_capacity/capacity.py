"""Estimates of what each upstream of one service can take."""

from __future__ import annotations

import math
from collections.abc import Collection
from dataclasses import dataclass, field

from carobstair.core.upstream_capacity.record import UpstreamRecord
from carobstair.core.upstream_capacity.settings import CapacitySettings
from carobstair.core.upstream_capacity.wait_model import WaitModel

__all__ = ["Incarnation", "UpstreamCapacity"]

# Id and start time of an upstream.
Incarnation = tuple[str, int]

# Weight of a new request in the mean of the tokens that a request holds.
HELD_WEIGHT = 0.02
# Bound of a relative speed, in both directions: beyond it, an upstream gets next to
# no requests or all of them.
MAX_SPEED = 8.0
# A larger one is hardly true, and costs the same.
MAX_SLOWDOWN = 20.0
# Concurrency of an upstream that has reported no slots.
UNKNOWN_SLOTS = 8


@dataclass(slots=True)
class UpstreamCapacity:
    """Speed, slowdown and concurrency by incarnation, for one service.

    Attributes
    ----------
    typical : UpstreamRecord
        Coefficients of an upstream of which nothing is known.
    fill, near_fill, near_wait_s : float
        Load of all upstreams and of those in the own zone when last measured:
        requests relative to the concurrency, and the mean wait for queued prompts.
    mean_held_tokens : float
        Tokens that one request holds in an engine's memory, on average.
    """

    settings: CapacitySettings = CapacitySettings()
    typical: UpstreamRecord = field(default_factory=UpstreamRecord)
    fill: float = 0.0
    near_fill: float = 0.0
    near_wait_s: float = 0.0
    mean_held_tokens: float = 0.0
    _model: WaitModel = field(init=False)
    _records: dict[Incarnation, UpstreamRecord] = field(default_factory=dict)
    _mean_speed: float = 1.0
    _refreshed_s: float = -math.inf
    _filled_s: float = -math.inf

    def __post_init__(self) -> None:
        self._model = WaitModel(self.settings.prefill_tokens_per_s)
        self._update_typical()

    @property
    def base_s(self) -> float:
        """Time to the first byte of an upstream without load."""
        return self._model.expected_s(0.0, 0.0)

    def record(self, incarnation: Incarnation) -> UpstreamRecord:
        """Return the record of an incarnation, which is that of the mean at first."""
        record = self._records.get(incarnation)
        if record is None:
            typical = self.typical
            record = self._records[incarnation] = UpstreamRecord(
                token_s=typical.token_s,
                backlog_token_s=typical.backlog_token_s,
                concurrency=typical.concurrency,
                running_s=typical.running_s,
            )
        return record

    # Evidence

    def note_first_byte(
        self,
        incarnation: Incarnation,
        uncached_tokens: int,
        running_at_send: int,
        waited_s: float,
        now_s: float,
    ) -> float:
        """Record the time to the first byte of an own request.

        Parameters
        ----------
        uncached_tokens : int
            Prompt tokens that were to be read before the first token: the request's
            own, and those known to be queued ahead of it.
        running_at_send : int
            Requests at the upstream when this one was sent.

        Returns
        -------
        float
            The wait to expect at the service's mean upstream, slowed as this one.
        """
        waited_s = max(0.0, waited_s)
        settings, record = self.settings, self.record(incarnation)
        slowdown = record.slowdown_at(settings, now_s)
        expected_s = self._model.expected_s(uncached_tokens, running_at_send) * slowdown
        record.add_wait(expected_s, waited_s, settings, now_s)
        self._model.note(uncached_tokens, running_at_send, waited_s / slowdown)
        if slowdown <= settings.max_transient_slowdown * record.usual_slowdown:
            own_s = uncached_tokens * record.token_s
            late = (
                waited_s - own_s > settings.objective_s
                and waited_s > settings.late_factor * expected_s
            )
            record.adapt_limit(running_at_send, late, settings, now_s)
        self._update(record, now_s)
        return expected_s

    def note_peer_wait(
        self,
        incarnation: Incarnation,
        expected_s: float,
        waited_s: float,
        slowdown: float,
        now_s: float,
    ) -> None:
        """Record the time to the first byte of a peer's request.

        The coefficients follow with the next refresh.
        """
        record = self.record(incarnation)
        record.add_wait(expected_s, waited_s, self.settings, now_s)
        record.add_slowdown(min(slowdown, MAX_SLOWDOWN), self.settings, now_s)

    def note_report(
        self,
        incarnation: Incarnation,
        running: int,
        waiting: int,
        slots: int,
        slowdown: float | None,
        now_s: float,
    ) -> None:
        """Record the load that an upstream reported."""
        record = self.record(incarnation)
        record.add_occupancy(running + waiting, slots, self.settings, now_s)
        if slowdown is not None:
            slowdown = min(slowdown, MAX_SLOWDOWN)
            record.add_slowdown(slowdown, self.settings, now_s)
        if slots > 0:
            self.typical.slots = slots
        self._update(record, now_s)

    def note_held(self, tokens: int) -> None:
        """Record the tokens that a request holds with its whole answer."""
        weight = HELD_WEIGHT if self.mean_held_tokens else 1.0
        self.mean_held_tokens += weight * (tokens - self.mean_held_tokens)

    def keep(self, incarnations: Collection[Incarnation]) -> None:
        """Drop the incarnations that are not given."""
        for incarnation in [i for i in self._records if i not in incarnations]:
            del self._records[incarnation]

    # Estimates

    def read_tokens_per_s(self, incarnation: Incarnation, now_s: float) -> float:
        """Return the rate at which an incarnation reads prompts now."""
        return 1.0 / self._token_s(self._records.get(incarnation), now_s)

    def concurrency(self, incarnation: Incarnation, slots: int, now_s: float) -> float:
        """Return the requests up to which first tokens keep their objective."""
        record = self._records.get(incarnation)
        if record is None:
            return float(slots)
        return record.limit_at(slots, self.settings, now_s)

    def relative_speed(self, incarnation: Incarnation, now_s: float) -> float:
        """Return the speed at this moment relative to the service's mean (1.0)."""
        self.refresh(now_s)
        record = self._records.get(incarnation)
        if record is None:
            return 1.0
        slowdown = record.slowdown_at(self.settings, now_s)
        return self._speed(record, now_s) / (slowdown * self._mean_speed)

    def incarnations(self) -> list[Incarnation]:
        """Return the incarnations of which something is known."""
        return list(self._records)

    def refresh(self, now_s: float) -> None:
        """Compute the coefficients anew, as estimates change with time alone."""
        if now_s - self._refreshed_s < self.settings.refresh_s:
            return
        self._refreshed_s = now_s
        self._update_typical()
        total = 0.0
        for record in self._records.values():
            self._update(record, now_s)
            total += record.speed / record.slowdown_at(self.settings, now_s)
        self._mean_speed = total / len(self._records) if self._records else 1.0

    def wants_fill(self, now_s: float) -> bool:
        """Return whether the fill is to be measured again, and assume that it is."""
        if now_s - self._filled_s < self.settings.fill_s:
            return False
        self._filled_s = now_s
        return True

    def _update_typical(self) -> None:
        typical, settings = self.typical, self.settings
        typical.token_s = self._model.token_s
        typical.backlog_token_s = settings.backlog_weight * typical.token_s
        typical.concurrency = float(typical.slots or UNKNOWN_SLOTS)
        typical.running_s = settings.full_s / typical.concurrency

    def _update(self, record: UpstreamRecord, now_s: float) -> None:
        settings = self.settings
        slowdown = record.slowdown_at(settings, now_s)
        record.speed = self._speed(record, now_s)
        record.token_s = self._model.token_s * slowdown / record.speed
        record.late_s = record.late_at(settings, now_s)
        # Among upstreams of usual speeds, the balance follows from their fill.
        slow = max(0.0, slowdown / record.speed - settings.usual_ratio)
        record.wait_s = record.late_s + self._model.base_s * slow
        record.transient = slowdown / record.usual_slowdown
        record.backlog_token_s = settings.backlog_weight * record.token_s
        slots = record.slots or self.typical.slots or UNKNOWN_SLOTS
        record.concurrency = record.limit_at(slots, settings, now_s)
        record.running_s = settings.full_s * record.transient / record.concurrency

    def _token_s(self, record: UpstreamRecord | None, now_s: float) -> float:
        if record is None:
            return self._model.token_s
        slowdown = record.slowdown_at(self.settings, now_s)
        return self._model.token_s * slowdown / self._speed(record, now_s)

    def _speed(self, record: UpstreamRecord, now_s: float) -> float:
        speed = record.speed_at(self.settings, now_s)
        return min(max(speed, 1.0 / MAX_SPEED), MAX_SPEED)
