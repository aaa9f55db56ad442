"""A caller of one keyed action, who repeats it until there is an outcome."""

from __future__ import annotations

import random
from typing import TYPE_CHECKING

from carobstair.core.action_records import Outcome
from carobstair.core.refusals import Ran, Refusal
from carobstair.scenario.actions import KeyedCall
from carobstair.scenario.log import EndedAction
from carobstair.scenario.plan import LoadSpec

if TYPE_CHECKING:
    from carobstair.scenario.world import World

__all__ = ["KeyedCaller"]

REPEAT_S = (0.2, 1.0)
# Part of the callers that lose patience and ask a second router meanwhile.
IMPATIENT = 0.3
PATIENCE_S = (0.0, 0.03)
CALL_DEADLINE_S = 8.0


class KeyedCaller:
    """Asks for one action under one key.

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
        self._born_s = world.clock.now_s
        self._ended = False
        world.log.open_actions[self._record] = self._born_s

    def ask(self) -> None:
        """Call the action, and now and then a second time at once."""
        self._call()
        if self._random.random() < IMPATIENT:
            patience_s = self._random.uniform(*PATIENCE_S)
            self._world.clock.after(patience_s, self._call)

    def _call(self) -> None:
        world, load = self._world, self._load
        if self._ended:
            return
        router = world.choose_router(load.through, self._random.randrange(1000))
        if router is None:
            self._again()
            return
        deadline_s = world.clock.now_s + CALL_DEADLINE_S
        call = KeyedCall(
            self._record, load.pool, load.workspace, deadline_s, self._take
        )
        router.run(lambda: router.actions.call(call))
        # A caller waits no longer than the deadline, even for a paused router.
        world.clock.at(deadline_s + 1.0, lambda: call.end(None))

    def _take(self, result: Outcome | Refusal | None) -> None:
        if isinstance(result, Outcome):
            self._end(True, False)
        elif self._world.clock.now_s > self._born_s + self._load.deadline_s:
            not_run = isinstance(result, Refusal) and result.kind.ran is Ran.NO
            self._end(False, not_run)
        else:
            self._again()

    def _again(self) -> None:
        self._world.clock.after(self._random.uniform(*REPEAT_S), self._call)

    def _end(self, answered: bool, said_not_run: bool) -> None:
        if self._ended:
            return
        self._ended = True
        log, now_s = self._world.log, self._world.clock.now_s
        del log.open_actions[self._record]
        log.actions.append(
            EndedAction(self._record, self._born_s, now_s, answered, said_not_run)
        )
