"""Questions to all peers about which ticket is in force there."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass

from carobstair.core.effects import Effect, InForceFound, Send
from carobstair.core.messages import InForceQuery

__all__ = ["InForceQueries"]


@dataclass(slots=True)
class _Query:
    until_s: float
    waiting: set[str]
    found: dict[str, int]


class InForceQueries:
    """Gathers answers until all peers have answered or the time is over.

    Parameters
    ----------
    limit_s : float
        How long the peers have.
    """

    def __init__(self, limit_s: float):
        self._limit_s = limit_s
        self._queries: dict[int, _Query] = {}
        self._last = 0

    def ask(
        self, own: str, in_force: int, heard: Mapping[str, int], now_s: float
    ) -> tuple[int, list[Effect]]:
        """Ask all peers.

        Parameters
        ----------
        heard : Mapping of str to int
            Per live peer the number last heard, which stands where none answers.

        Returns
        -------
        tuple of (int, list of Effect)
            Number of the question, which an `InForceFound` answers.
        """
        self._last += 1
        found = {**heard, own: in_force}
        self._queries[self._last] = _Query(now_s + self._limit_s, set(heard), found)
        query = InForceQuery(self._last)
        effects: list[Effect] = [Send(name, query) for name in sorted(heard)]
        return self._last, effects + self.finish(now_s)

    def answer(
        self, request: int, sender: str, in_force: int, now_s: float
    ) -> list[Effect]:
        """Take in a peer's answer."""
        query = self._queries.get(request)
        if query is None or sender not in query.waiting:
            return []
        query.waiting.discard(sender)
        query.found[sender] = in_force
        return self.finish(now_s)

    def finish(self, now_s: float) -> list[Effect]:
        """Return the questions that are answered or out of time."""
        done = [
            number
            for number, query in self._queries.items()
            if not query.waiting or now_s >= query.until_s
        ]
        return [InForceFound(n, self._queries.pop(n).found) for n in done]
