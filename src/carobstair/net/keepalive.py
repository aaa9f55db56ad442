"""Socket options by which the kernel ends dead connections."""

from __future__ import annotations

import socket

__all__ = ["set_keepalive"]


def set_keepalive(
    sock: socket.socket,
    idle_s: int,
    interval_s: int,
    probes: int,
    unacked_timeout_ms: int,
) -> None:
    """Probe an idle connection, and bound how long sent data stays unacknowledged.

    Options that the system does not know are left out.
    """
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    for name, value in (
        ("TCP_KEEPIDLE", idle_s),
        ("TCP_KEEPINTVL", interval_s),
        ("TCP_KEEPCNT", probes),
        ("TCP_USER_TIMEOUT", unacked_timeout_ms),
    ):
        option = getattr(socket, name, None)
        if option is not None:
            sock.setsockopt(socket.IPPROTO_TCP, option, value)
