"""Simulated upstreams: a model engine with continuous batching and a plain service."""

from __future__ import annotations

import random
from collections import OrderedDict, deque
from collections.abc import Callable
from dataclasses import dataclass

from carobstair.core.fairness import engine_cost_tokens, service_cost_tokens
from carobstair.core.limits import LoadReport
from carobstair.core.placement import CacheEvent
from carobstair.core.state import UpstreamKind
from carobstair.scenario.clock import VirtualClock
from carobstair.scenario.plan import EngineSpec

__all__ = ["Attempt", "SimEngine"]

BLOCK_TOKENS = 128
MAX_CACHE_EVENTS = 200
CACHE_EVENT_LAG_S = 1.0
# Fraction of the cache events that is never published.
CACHE_EVENT_LOSS = 0.05


@dataclass(slots=True, eq=False)
class Attempt:
    """One attempt to serve a request on one upstream.

    Attributes
    ----------
    router : str
        Name of the router that sent it.
    next_token : int
        Number of the next token to produce, counted from 1.
    on_admitted : callable
        Called when the upstream accepts the attempt.
    on_token : callable
        Called for each token with its number and the number of input tokens that
        were found in the cache.
    on_executed : callable
        Called when a plain service has executed the call.
    on_failed : callable
        Called when the connection is refused or closed by the upstream.
    output_dropped : bool
        Whether the upstream runs the attempt but its output never arrives.
    """

    attempt_id: str
    router: str
    pool: str
    workspace: str
    next_token: int
    last_token: int
    input_tokens: int
    prefix: tuple[int, ...]
    on_admitted: Callable[[], None]
    on_token: Callable[[int, int], None]
    on_failed: Callable[[], None]
    cached_tokens: int = 0
    output_dropped: bool = False
    on_executed: Callable[[], None] = lambda: None


class SimEngine:
    """A model engine with continuous batching, or a plain service.

    Parameters
    ----------
    spec : EngineSpec
    clock : VirtualClock
    charge : callable
        Called with pool, workspace and weighted tokens of the service that the
        upstream actually gave.
    """

    def __init__(
        self,
        spec: EngineSpec,
        clock: VirtualClock,
        charge: Callable[[str, str, float], None],
        generator: random.Random,
    ):
        self.spec = spec
        self._clock = clock
        self._charge = charge
        self._generator = generator
        self.incarnation = 1
        # Engines are already warm when the simulated fleet starts.
        self._cold_until_s = 0.0
        self._down_until_s = 0.0
        self.running: dict[str, Attempt] = {}
        self._decoding: dict[str, Attempt] = {}
        self._stepping = False
        self._stalled_until_s = 0.0
        self._cache: OrderedDict[int, None] = OrderedDict()
        self._events: deque[tuple[float, CacheEvent]] = deque(maxlen=MAX_CACHE_EVENTS)
        self._last_event = 0
        self._reports: list[tuple[float, LoadReport]] = []
        self.leaving = False
        self.admissions: list[float] = []
        self.overloads: list[float] = []
        self.overload_crashes: list[float] = []
        self.over_limit: list[float] = []

    @property
    def is_down(self) -> bool:
        """Whether the engine is down and refuses connections."""
        return self._clock.now_s < self._down_until_s

    @property
    def is_cold(self) -> bool:
        """Whether the engine is still warming up and takes only a reduced load."""
        return self._clock.now_s < self._cold_until_s

    def current_capacity(self) -> int:
        """Return how many requests the engine can run now."""
        if self.is_down or self._clock.now_s < self._stalled_until_s:
            return 0
        return self.spec.cold_bears if self.is_cold else self.spec.max_requests

    def crash(self) -> None:
        """Lose all state, then restart cold as a new incarnation."""
        now_s = self._clock.now_s
        self.incarnation += 1
        self._down_until_s = now_s + self.spec.down_s
        self._cold_until_s = self._down_until_s + self.spec.cold_s
        interrupted, self.running, self._decoding = list(self.running.values()), {}, {}
        self._cache.clear()
        self._events.clear()
        self._last_event = 0
        self._reports.clear()
        for attempt in interrupted:
            attempt.on_failed()

    def make_cold(self) -> None:
        """Become cold without a restart, so that no report shows it."""
        self._cold_until_s = self._clock.now_s + self.spec.cold_s

    def stall(self, duration_s: float) -> None:
        """Stop producing output for a time, keeping connections open."""
        self._stalled_until_s = self._clock.now_s + duration_s

    def admit(self, attempt: Attempt) -> bool:
        """Accept an attempt; return False if the connection is refused."""
        if self.is_down:
            return False
        now_s = self._clock.now_s
        self.admissions.append(now_s)
        attempt.on_admitted()
        self.running[attempt.attempt_id] = attempt
        count = len(self.running)
        if count > self.spec.max_requests:
            self.over_limit.append(now_s)
        if self.is_cold and count > self.spec.cold_bears:
            self.overloads.append(now_s)
            self.overload_crashes.append(now_s)
            self.crash()
            return True
        self._prefill(attempt)
        return True

    def cancel(self, attempt_id: str) -> None:
        """Cancel an attempt."""
        self.running.pop(attempt_id, None)
        self._decoding.pop(attempt_id, None)

    def report(self) -> LoadReport | None:
        """Return the load as it was `load_lag_s` ago, or None while down."""
        if self.is_down:
            return None
        kv_tokens = sum(a.input_tokens + a.last_token for a in self.running.values())
        now_s = self._clock.now_s
        report = LoadReport(
            str(self.incarnation),
            len(self.running),
            kv_tokens,
            self._reports_loading(),
            self.leaving,
        )
        self._reports.append((now_s, report))
        lagged = [r for r in self._reports if r[0] <= now_s - self.spec.load_lag_s]
        if not lagged:
            return report
        self._reports = self._reports[len(lagged) - 1 :]
        return lagged[-1][1]

    def cache_events(self) -> list[CacheEvent]:
        """Return the published cache events, delayed and with some missing."""
        latest_s = self._clock.now_s - CACHE_EVENT_LAG_S
        return [event for at_s, event in self._events if at_s <= latest_s]

    def _publish(self, cached: tuple[int, ...], evicted: tuple[int, ...]) -> None:
        if not cached and not evicted:
            return
        self._last_event += 1
        if self._generator.random() >= CACHE_EVENT_LOSS:
            event = CacheEvent(self._last_event, cached, evicted)
            self._events.append((self._clock.now_s, event))

    def _reports_loading(self) -> bool:
        return self.is_cold and self._cold_until_s == (
            self._down_until_s + self.spec.cold_s
        )

    def _prefill(self, attempt: Attempt) -> None:
        attempt.cached_tokens = self._cache_prompt(attempt)
        uncached = attempt.input_tokens + attempt.next_token - 1 - attempt.cached_tokens
        delay_s = max(0, uncached) / self.spec.prefill_tokens_per_s
        if self.spec.kind is UpstreamKind.SERVICE:
            delay_s = self.spec.service_s * (0.5 + self._generator.random())
            self._clock.after(delay_s, lambda: self._finish_call(attempt, delay_s))
            return
        self._clock.after(delay_s, lambda: self._start_decoding(attempt))

    def _finish_call(self, attempt: Attempt, duration_s: float) -> None:
        if self.running.get(attempt.attempt_id) is not attempt:
            return
        self.cancel(attempt.attempt_id)
        self._charge(attempt.pool, attempt.workspace, service_cost_tokens(duration_s))
        attempt.on_executed()
        if not attempt.output_dropped:
            attempt.on_token(attempt.last_token, 0)

    def _start_decoding(self, attempt: Attempt) -> None:
        if self.running.get(attempt.attempt_id) is not attempt:
            return
        cost = engine_cost_tokens(0, attempt.input_tokens, attempt.cached_tokens)
        self._charge(attempt.pool, attempt.workspace, cost)
        self._decoding[attempt.attempt_id] = attempt
        if not self._stepping:
            self._stepping = True
            self._clock.after(self._interval_s(), self._step)

    def _interval_s(self) -> float:
        spec, batch = self.spec, len(self.running)
        excess = max(0, batch - spec.max_requests)
        interval_s = spec.base_interval_s
        interval_s += spec.interval_per_request_s * (batch + 4 * excess)
        return interval_s * (spec.cold_factor if self.is_cold else 1.0)

    def _step(self) -> None:
        now_s = self._clock.now_s
        if now_s < self._stalled_until_s:
            self._clock.at(self._stalled_until_s, self._step)
            return
        for attempt in list(self._decoding.values()):
            self._produce(attempt)
        self._stepping = bool(self._decoding)
        if self._stepping:
            self._clock.after(self._interval_s(), self._step)

    def _produce(self, attempt: Attempt) -> None:
        number = attempt.next_token
        attempt.next_token += 1
        self._charge(attempt.pool, attempt.workspace, 1.0)
        if number >= attempt.last_token:
            self.cancel(attempt.attempt_id)
        if not attempt.output_dropped:
            attempt.on_token(number, attempt.cached_tokens)

    def _cache_prompt(self, attempt: Attempt) -> int:
        cached = 0
        for block in attempt.prefix:
            if block not in self._cache:
                break
            cached += 1
        for block in attempt.prefix:
            self._cache[block] = None
            self._cache.move_to_end(block)
        evicted = []
        while len(self._cache) > self.spec.cache_blocks:
            evicted.append(self._cache.popitem(last=False)[0])
        self._publish(attempt.prefix[cached:], tuple(evicted))
        return min(cached * BLOCK_TOKENS, attempt.input_tokens)
