"""Simulated caller that retries one action, under one key, until it has an outcome."""

from __future__ import annotations

import random
from typing import TYPE_CHECKING

from carobstair.core.action_records import Outcome
from carobstair.core.refusals import Ran, Refusal
from carobstair.scenario.actions import ActionCall
from carobstair.scenario.log import ActionResult
from carobstair.scenario.plan import LoadSpec

if TYPE_CHECKING:
    from carobstair.scenario.world import World

__all__ = ["ActionCaller"]

RETRY_DELAY_RANGE_S = (0.2, 1.0)
# Fraction of callers that send a duplicate, to a router chosen anew, before the answer.
DUPLICATE_FRACTION = 0.3
DUPLICATE_DELAY_RANGE_S = (0.0, 0.03)
CALL_TIMEOUT_S = 8.0


class ActionCaller:
    """Requests one action under one idempotency key.

    Parameters
    ----------
    world : World
    load : LoadSpec
    key : str
    generator : random.Random
    """

    def __init__(
        self, world: World, load: LoadSpec, key: str, generator: random.Random
    ):
        self._world = world
        self._load = load
        self._record = f"actions/{key}"
        self._random = generator
        self._created_s = world.clock.now_s
        self._ended = False
        world.log.open_actions[self._record] = self._created_s

    def start(self) -> None:
        """Send the first call and, for some callers, a duplicate shortly after."""
        self._call()
        if self._random.random() < DUPLICATE_FRACTION:
            duplicate_delay_s = self._random.uniform(*DUPLICATE_DELAY_RANGE_S)
            self._world.clock.after(duplicate_delay_s, self._call)

    def _call(self) -> None:
        world, load = self._world, self._load
        if self._ended:
            return
        router = world.choose_router(load.through, self._random.randrange(1000))
        if router is None:
            self._retry()
            return
        deadline_s = world.clock.now_s + CALL_TIMEOUT_S
        call = ActionCall(
            self._record, load.pool, load.workspace, deadline_s, self._on_result
        )
        router.run(lambda: router.actions.call(call))
        # A paused router cannot report the deadline, so the caller gives up on its own.
        world.clock.at(deadline_s + 1.0, lambda: call.end(None))

    def _on_result(self, result: Outcome | Refusal | None) -> None:
        if isinstance(result, Outcome):
            self._end(True, False)
        elif self._world.clock.now_s > self._created_s + self._load.deadline_s:
            not_run = isinstance(result, Refusal) and result.kind.ran is Ran.NO
            self._end(False, not_run)
        else:
            self._retry()

    def _retry(self) -> None:
        self._world.clock.after(self._random.uniform(*RETRY_DELAY_RANGE_S), self._call)

    def _end(self, answered: bool, said_not_run: bool) -> None:
        if self._ended:
            return
        self._ended = True
        log, now_s = self._world.log, self._world.clock.now_s
        del log.open_actions[self._record]
        log.actions.append(
            ActionResult(self._record, self._created_s, now_s, answered, said_not_run)
        )
