"""Network addresses in documents that other programs write."""

from __future__ import annotations

import re

__all__ = ["is_host", "parse_address"]

LABEL = r"[A-Za-z0-9](?:[A-Za-z0-9-]{0,61}[A-Za-z0-9])?"
# Names and IPv4 addresses, or an IPv6 address.
HOST = re.compile(rf"(?:{LABEL}\.)*{LABEL}|[0-9A-Fa-f:.]*:[0-9A-Fa-f:.]*")
ADDRESS = re.compile(
    r"(?:\[(?P<v6>[^\]]{2,64})\]|(?P<host>[^:\[\]]{1,253})):(?P<port>[0-9]{1,5})"
)
MAX_PORT = 65535


def is_host(text: str) -> bool:
    """Return whether a text is a host name or an IP address."""
    return HOST.fullmatch(text) is not None


def parse_address(text: str) -> tuple[str, int] | None:
    """Return host and port of ``HOST:PORT``, or None if it is malformed."""
    match = ADDRESS.fullmatch(text)
    if match is None:
        return None
    host, port = match["v6"] or match["host"], int(match["port"])
    if not is_host(host) or not 0 < port <= MAX_PORT:
        return None
    return host, port
