"""Pool of persistent connections to upstreams."""

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

__all__ = ["PoolFull", "ConnectionPool"]

# Idle connections are closed this long before the upstream would close them, so
# that no request is sent while the upstream closes the connection.
IDLE_MARGIN_S = 0.7
# Used if an upstream sends no keep-alive timeout.
DEFAULT_KEEP_ALIVE_S = 4.0


class PoolFull(Exception):
    """The limit on connections from this router to an upstream is reached."""


@dataclass(slots=True)
class _UpstreamConnections:
    idle: deque[UpstreamConnection] = field(default_factory=deque)
    open: int = 0


@dataclass(slots=True)
class ConnectionPool:
    """Connections to upstreams, grouped by upstream incarnation."""

    _upstreams: dict[tuple[str, int], _UpstreamConnections] = field(
        default_factory=dict
    )
    # Connections that had not sent everything when they were last looked at.
    _unsent: set[UpstreamConnection] = field(default_factory=set)

    def note_sent(self, connection: UpstreamConnection) -> None:
        """Note a connection to which a request has been written."""
        if connection.unsent_bytes:
            self._unsent.add(connection)

    def unsent_bytes(self) -> int:
        """Return what the transports of all connections have not sent."""
        unsent_bytes = 0
        for connection in list(self._unsent) if self._unsent else ():
            size_bytes = connection.unsent_bytes
            unsent_bytes += size_bytes
            if not size_bytes and not connection.is_sending:
                self._unsent.discard(connection)
        return unsent_bytes

    async def acquire(self, entry: UpstreamEntry, limit: int) -> UpstreamConnection:
        """Return an idle connection, or open a new one.

        Parameters
        ----------
        limit : int
            Maximum connections of this router to the upstream; 0 for no limit.

        Raises
        ------
        ConnectionBroken, PoolFull
        """
        upstream = self._upstreams.setdefault(
            _incarnation_key(entry), _UpstreamConnections()
        )
        now_s = time.monotonic()
        while upstream.idle:
            connection = upstream.idle.pop()
            is_usable = connection.usable and not _expired(connection, now_s)
            if is_usable and not connection.has_input():
                return connection
            self._discard(upstream, connection)
        if limit and upstream.open >= limit:
            raise PoolFull(entry.upstream_id)
        upstream.open += 1
        try:
            return await connect(entry.host, entry.port)
        except BaseException:
            upstream.open -= 1
            raise

    def full_upstreams(self, limit: int) -> set[str]:
        """Return the ids of upstreams at the limit that have no idle connection.

        Parameters
        ----------
        limit : int
            As for `acquire`.
        """
        if not limit:
            return set()
        return {
            upstream_id
            for (upstream_id, _), upstream in self._upstreams.items()
            if upstream.open >= limit and not upstream.idle
        }

    def release(self, entry: UpstreamEntry, connection: UpstreamConnection) -> None:
        """Return a connection to the pool, or close it if it can't be reused."""
        upstream = self._upstreams.setdefault(
            _incarnation_key(entry), _UpstreamConnections()
        )
        now_s = time.monotonic()
        connection.mark_idle(now_s)
        if connection.usable and not _expired(connection, now_s):
            upstream.idle.append(connection)
        else:
            self._discard(upstream, connection)

    def drop(self, entry: UpstreamEntry, connection: UpstreamConnection) -> None:
        """Close a connection and abort any request in progress on it."""
        upstream = self._upstreams.setdefault(
            _incarnation_key(entry), _UpstreamConnections()
        )
        self._discard(upstream, connection)

    def prune(self, incarnations: set[tuple[str, int]]) -> None:
        """Close idle connections that have expired or whose upstream is gone."""
        now_s = time.monotonic()
        for key, upstream in list(self._upstreams.items()):
            gone = key not in incarnations
            for connection in list(upstream.idle):
                if gone or not connection.usable or _expired(connection, now_s):
                    upstream.idle.remove(connection)
                    self._discard(upstream, connection)
            if gone and upstream.open <= 0:
                del self._upstreams[key]

    def _discard(
        self, upstream: _UpstreamConnections, connection: UpstreamConnection
    ) -> None:
        upstream.open -= 1
        connection.abort()


def _incarnation_key(entry: UpstreamEntry) -> tuple[str, int]:
    return entry.upstream_id, entry.born_ms


def _expired(connection: UpstreamConnection, now_s: float) -> bool:
    limit_s = connection.idle_timeout_s
    if limit_s is None:
        limit_s = DEFAULT_KEEP_ALIVE_S
    elif limit_s > 0:
        limit_s = max(0.0, limit_s - IDLE_MARGIN_S)
    return now_s - connection.idle_since_s >= limit_s


__all__ += ["ConnectionBroken"]
