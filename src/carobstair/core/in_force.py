"""Queries to all peers for the number of the ticket in force there."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass

from carobstair.core.effects import Effect, InForceResult, Send
from carobstair.core.messages import InForceQuery

__all__ = ["InForceQueries"]


@dataclass(slots=True)
class _Query:
    until_s: float
    waiting: set[str]
    found: dict[str, int]


class InForceQueries:
    """Collects the answers to each query until all peers answered or it timed out.

    Parameters
    ----------
    limit_s : float
        Time-out of a query.
    """

    def __init__(self, limit_s: float):
        self._limit_s = limit_s
        self._queries: dict[int, _Query] = {}
        self._last = 0

    def ask(
        self, own: str, in_force: int, last_in_force: Mapping[str, int], now_s: float
    ) -> tuple[int, list[Effect]]:
        """Start a query to all live peers.

        Parameters
        ----------
        last_in_force : Mapping of str to int
            By live peer, the number in its last heartbeat. It is the result for a
            peer that does not answer.

        Returns
        -------
        tuple of (int, list of Effect)
            Number of the query, which the `InForceResult` effect repeats.
        """
        self._last += 1
        found = {**last_in_force, own: in_force}
        self._queries[self._last] = _Query(
            now_s + self._limit_s, set(last_in_force), found
        )
        query = InForceQuery(self._last)
        effects: list[Effect] = [Send(name, query) for name in sorted(last_in_force)]
        return self._last, effects + self.finish(now_s)

    def answer(
        self, request: int, sender: str, in_force: int, now_s: float
    ) -> list[Effect]:
        """Handle a peer's answer."""
        query = self._queries.get(request)
        if query is None or sender not in query.waiting:
            return []
        query.waiting.discard(sender)
        query.found[sender] = in_force
        return self.finish(now_s)

    def finish(self, now_s: float) -> list[Effect]:
        """Return the results of the queries that are complete or timed out."""
        done = [
            number
            for number, query in self._queries.items()
            if not query.waiting or now_s >= query.until_s
        ]
        return [InForceResult(n, self._queries.pop(n).found) for n in done]
