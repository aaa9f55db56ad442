"""Connections to upstreams that are kept for further requests."""

from __future__ import annotations

import time
from collections import deque
from dataclasses import dataclass, field

from carobstair.core.directory import UpstreamEntry
from carobstair.edge.upstream_connection import (
    ConnectionBroken,
    UpstreamConnection,
    connect,
)

__all__ = ["PoolFull", "UpstreamPool"]

# Idle connections are dropped this long before the upstream would close them, so
# that no request crosses its close.
IDLE_MARGIN_S = 0.7
# Used where an upstream names no idle time.
DEFAULT_IDLE_S = 4.0


class PoolFull(Exception):
    """An upstream has as many connections of this router as it may."""


@dataclass(slots=True)
class _Connections:
    idle: deque[UpstreamConnection] = field(default_factory=deque)
    open: int = 0


@dataclass(slots=True)
class UpstreamPool:
    """Connections by incarnation of an upstream."""

    _upstreams: dict[tuple[str, int], _Connections] = field(default_factory=dict)

    async def acquire(self, entry: UpstreamEntry, limit: int) -> UpstreamConnection:
        """Return a connection on which nothing is under way.

        Parameters
        ----------
        limit : int
            Connections that this router may have to the upstream.

        Raises
        ------
        ConnectionBroken, PoolFull
        """
        known = self._upstreams.setdefault(_key(entry), _Connections())
        now_s = time.monotonic()
        while known.idle:
            connection = known.idle.pop()
            if connection.usable and not _expired(connection, now_s):
                return connection
            self._discard(known, connection)
        if limit and known.open >= limit:
            raise PoolFull(entry.upstream_id)
        known.open += 1
        try:
            return await connect(entry.host, entry.port)
        except BaseException:
            known.open -= 1
            raise

    def release(self, entry: UpstreamEntry, connection: UpstreamConnection) -> None:
        """Keep a connection whose answer has ended, if it may be used again."""
        known = self._upstreams.setdefault(_key(entry), _Connections())
        now_s = time.monotonic()
        connection.finish(now_s)
        if connection.usable and not _expired(connection, now_s):
            known.idle.append(connection)
        else:
            self._discard(known, connection)

    def drop(self, entry: UpstreamEntry, connection: UpstreamConnection) -> None:
        """Close a connection with whatever runs on it."""
        known = self._upstreams.setdefault(_key(entry), _Connections())
        self._discard(known, connection)

    def keep(self, incarnations: set[tuple[str, int]]) -> None:
        """Close idle connections to upstreams that are gone, and old ones."""
        now_s = time.monotonic()
        for key, known in list(self._upstreams.items()):
            gone = key not in incarnations
            for connection in list(known.idle):
                if gone or not connection.usable or _expired(connection, now_s):
                    known.idle.remove(connection)
                    self._discard(known, connection)
            if gone and known.open <= 0:
                del self._upstreams[key]

    def _discard(self, known: _Connections, connection: UpstreamConnection) -> None:
        known.open -= 1
        connection.close()


def _key(entry: UpstreamEntry) -> tuple[str, int]:
    return entry.upstream_id, entry.born_ms


def _expired(connection: UpstreamConnection, now_s: float) -> bool:
    limit_s = connection.idle_limit_s
    if limit_s is None:
        limit_s = DEFAULT_IDLE_S
    elif limit_s > 0:
        limit_s = max(0.0, limit_s - IDLE_MARGIN_S)
    return now_s - connection.idle_since_s >= limit_s


__all__ += ["ConnectionBroken"]
