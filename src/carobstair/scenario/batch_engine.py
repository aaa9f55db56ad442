"""Model engine with batch slots, chunked prefill and a bounded queue, on virtual time.

Each step of the engine decodes one token for every running request whose prompt has
been read, and reads a chunk of the prompts of the others. A step takes longer the more
requests run and the more prompt tokens it reads, as with continuous batching.
"""

from __future__ import annotations

from collections import OrderedDict, deque
from collections.abc import Callable, Sequence
from dataclasses import dataclass, field

from carobstair.core.engine_load import PromptShape

__all__ = ["BatchEngine", "BatchEngineSpec", "EngineJob"]


# Interval of the mean speed; slowdowns last for several of it.
SPEED_SAMPLE_S = 0.05


@dataclass(frozen=True, slots=True)
class BatchEngineSpec:
    """Sizes and times of an engine.

    Attributes
    ----------
    slots, queue : int
        Requests that run at the same time, and that wait beyond them.
    step_s, step_s_per_request : float
        Time of a decode step, and its increase for each running request.
    prefill_tokens_per_s : float
    chunk_tokens : int
        Prompt tokens read in one step.
    kv_tokens : int
        Tokens of the prompt segments that are kept.
    """

    slots: int = 16
    queue: int = 33
    step_s: float = 0.00379
    step_s_per_request: float = 0.0000893
    prefill_tokens_per_s: float = 56_600.0
    chunk_tokens: int = 2048
    kv_tokens: int = 440_000


@dataclass(slots=True, eq=False)
class EngineJob:
    """A request at an engine.

    Attributes
    ----------
    on_first_token, on_end : callable
        Called with the virtual time.
    arrived_s, slot_s : float
        When it arrived at the engine, and when it got a slot.
    """

    prompt: PromptShape
    on_first_token: Callable[[float], None]
    on_end: Callable[[float], None]
    unread_tokens: int = 0
    left_tokens: int = 0
    cancelled: bool = False
    arrived_s: float = 0.0
    slot_s: float = 0.0


@dataclass(slots=True)
class BatchEngine:
    """An engine; `step` advances it and returns the time of the next step.

    Attributes
    ----------
    speed : float
        Speed relative to `spec`, which the engine does not report.
    slowdowns : sequence of (float, float, float)
        Periods in which neighbours slow it down: begin, end and factor.
    work_tokens : int
        Tokens read, and twice the tokens written.
    on_shared_read : callable
        Called with a segment that is not the last of its prompt, and its tokens, when
        it is to be read.
    """

    name: str
    spec: BatchEngineSpec
    speed: float = 1.0
    slowdowns: Sequence[tuple[float, float, float]] = ()
    work_tokens: int = 0
    waiting: deque[EngineJob] = field(default_factory=deque)
    running: list[EngineJob] = field(default_factory=list)
    read_tokens: int = 0
    rejected: int = 0
    on_shared_read: Callable[[str, int], None] = lambda segment, tokens: None
    _kept: OrderedDict[str, int] = field(default_factory=OrderedDict)
    _kept_tokens: int = 0

    def submit(self, job: EngineJob) -> bool:
        """Accept a request; return False if the queue is full."""
        if len(self.waiting) >= self.spec.queue:
            self.rejected += 1
            return False
        self.waiting.append(job)
        return True

    def holds(self, segment: str) -> bool:
        """Return whether a segment is kept."""
        return segment in self._kept

    @property
    def idle(self) -> bool:
        """Whether no request runs or waits."""
        return not self.running and not self.waiting

    def step(self, now_s: float) -> float:
        """Run one step; return the time at which it ends."""
        spec = self.spec
        self.running = [job for job in self.running if not job.cancelled]
        while self.waiting and len(self.running) < spec.slots:
            job = self.waiting.popleft()
            if not job.cancelled:
                job.slot_s = now_s
                self._admit(job)
        budget = spec.chunk_tokens
        for job in self.running:
            taken = min(budget, job.unread_tokens)
            job.unread_tokens -= taken
            budget -= taken
        read = spec.chunk_tokens - budget
        self.read_tokens += read
        step_s = spec.step_s + spec.step_s_per_request * len(self.running)
        step_s += read / spec.prefill_tokens_per_s
        ends_s = now_s + step_s * self.slowdown_at(now_s) / self.speed
        self.work_tokens += read
        for job in [j for j in self.running if j.unread_tokens == 0]:
            if job.left_tokens == job.prompt.output_tokens:
                job.on_first_token(ends_s)
            job.left_tokens -= 1
            self.work_tokens += 2
            if job.left_tokens <= 0:
                self.running.remove(job)
                job.on_end(ends_s)
        return ends_s

    def slowdown_at(self, now_s: float) -> float:
        """Return the slowdown by neighbours."""
        for begin_s, end_s, factor in self.slowdowns:
            if begin_s <= now_s < end_s:
                return factor
        return 1.0

    def mean_speed(self, seconds: float) -> float:
        """Return the mean speed up to a time, with the slowdowns."""
        steps = max(1, round(seconds / SPEED_SAMPLE_S))
        times = (step * SPEED_SAMPLE_S for step in range(steps))
        return self.speed * sum(1.0 / self.slowdown_at(t) for t in times) / steps

    def _admit(self, job: EngineJob) -> None:
        unread = job.prompt.prompt_tokens
        for segment, tokens in job.prompt.segments:
            if segment not in self._kept:
                break
            self._kept.move_to_end(segment)
            unread -= tokens
        for segment, tokens in job.prompt.segments[:-1]:
            if segment not in self._kept:
                self.on_shared_read(segment, tokens)
        for segment, tokens in job.prompt.segments:
            self._kept_tokens += tokens - self._kept.pop(segment, 0)
            self._kept[segment] = tokens
        while self._kept_tokens > self.spec.kv_tokens:
            self._kept_tokens -= self._kept.popitem(last=False)[1]
        job.unread_tokens = max(1, unread)
        job.left_tokens = max(1, job.prompt.output_tokens)
        self.running.append(job)
