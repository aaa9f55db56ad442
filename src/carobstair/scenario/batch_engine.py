"""Model engine with batch slots, chunked prefill and a bounded queue, on virtual time.

Each step of the engine decodes one token for every running request whose prompt has
been read, and reads a chunk of the prompts of the others. A step takes longer the more
requests run and the more prompt tokens it reads, as with continuous batching.
"""

from __future__ import annotations

from collections import OrderedDict, deque
from collections.abc import Callable
from dataclasses import dataclass, field

from carobstair.core.engine_load import PromptShape

__all__ = ["BatchEngine", "BatchEngineSpec", "EngineJob"]


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
    """

    prompt: PromptShape
    on_first_token: Callable[[float], None]
    on_end: Callable[[float], None]
    unread_tokens: int = 0
    left_tokens: int = 0
    cancelled: bool = False


@dataclass(slots=True)
class BatchEngine:
    """An engine; `step` advances it and returns the time of the next step."""

    name: str
    spec: BatchEngineSpec
    waiting: deque[EngineJob] = field(default_factory=deque)
    running: list[EngineJob] = field(default_factory=list)
    read_tokens: int = 0
    rejected: int = 0
    _kept: OrderedDict[str, int] = field(default_factory=OrderedDict)
    _kept_tokens: int = 0

    def submit(self, job: EngineJob) -> bool:
        """Accept a request; return False if the queue is full."""
        if len(self.waiting) >= self.spec.queue:
            self.rejected += 1
            return False
        self.waiting.append(job)
        return True

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
                self._admit(job)
        budget = spec.chunk_tokens
        for job in self.running:
            taken = min(budget, job.unread_tokens)
            job.unread_tokens -= taken
            budget -= taken
        read = spec.chunk_tokens - budget
        self.read_tokens += read
        ends_s = now_s + spec.step_s + spec.step_s_per_request * len(self.running)
        ends_s += read / spec.prefill_tokens_per_s
        for job in [j for j in self.running if j.unread_tokens == 0]:
            if job.left_tokens == job.prompt.output_tokens:
                job.on_first_token(ends_s)
            job.left_tokens -= 1
            if job.left_tokens <= 0:
                self.running.remove(job)
                job.on_end(ends_s)
        return ends_s

    def _admit(self, job: EngineJob) -> None:
        unread = job.prompt.prompt_tokens
        for segment, tokens in job.prompt.segments:
            if segment not in self._kept:
                break
            self._kept.move_to_end(segment)
            unread -= tokens
        for segment, tokens in job.prompt.segments:
            self._kept_tokens += tokens - self._kept.pop(segment, 0)
            self._kept[segment] = tokens
        while self._kept_tokens > self.spec.kv_tokens:
            self._kept_tokens -= self._kept.popitem(last=False)[1]
        job.unread_tokens = max(1, unread)
        job.left_tokens = max(1, job.prompt.output_tokens)
        self.running.append(job)
