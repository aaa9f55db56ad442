"""Simulated network with delay, loss, duplication, reordering and partitions."""

from __future__ import annotations

import random
from collections import Counter
from collections.abc import Callable, Iterable

from carobstair.scenario.clock import VirtualClock
from carobstair.scenario.plan import LinkSpec

__all__ = ["Network"]

REORDER_DELAY_S = 0.3


class Network:
    """Carries messages between named endpoints.

    Parameters
    ----------
    clock : VirtualClock
    link : LinkSpec
    generator : random.Random
    """

    def __init__(self, clock: VirtualClock, link: LinkSpec, generator: random.Random):
        self._clock = clock
        self._generator = generator
        self._cut: set[tuple[str, str]] = set()
        self.link = link
        self.loss = link.loss
        self.sent_bytes: Counter[str] = Counter()
        self.sent_messages: Counter[str] = Counter()

    def cut(self, sources: Iterable[str], targets: Iterable[str]) -> None:
        """Block all traffic from one group of endpoints to another."""
        targets = list(targets)
        self._cut |= {(a, b) for a in sources for b in targets}

    def heal(self) -> None:
        """End all partitions."""
        self._cut.clear()

    def connected(self, source: str, target: str) -> bool:
        """Return whether two endpoints reach each other in both directions."""
        return (source, target) not in self._cut and (target, source) not in self._cut

    def delay_s(self) -> float:
        """Return a random one-way delay in seconds."""
        jitter_s = self.link.jitter_s * self._generator.random()
        return self.link.delay_s + jitter_s

    def send(
        self, source: str, target: str, size_bytes: int, deliver: Callable[[], None]
    ) -> None:
        """Send a message, which may be lost, duplicated or reordered."""
        self.sent_bytes[source] += size_bytes
        self.sent_messages[source] += 1
        if (source, target) in self._cut or self._generator.random() < self.loss:
            return
        copies = 1 + (self._generator.random() < self.link.duplicate)
        for _ in range(copies):
            delay_s = self.delay_s()
            if self._generator.random() < self.link.reorder:
                delay_s += REORDER_DELAY_S * self._generator.random()
            self._clock.after(delay_s, deliver)
