"""The path of a request's target, for matching what is forwarded as it came.

The upstream gets the target unchanged. Routes are matched against its path in the
normal form of RFC 3986, section 6.2.2: escapes of unreserved characters and of others
than ASCII are decoded, those of reserved characters are not. A target that the upstream
may read as another path than the one that was matched is ambiguous.
"""

from __future__ import annotations

import re

__all__ = ["AmbiguousTarget", "read_path"]

# Escapes of slash, backslash and percent sign, which the next reader may decode once
# more or not at all; of control characters; and incomplete ones.
AMBIGUOUS_ESCAPE = re.compile(
    rb"%(?:2f|5c|25|[01][0-9a-f]|7f)|%(?![0-9a-f]{2})", re.IGNORECASE
)
ESCAPE = re.compile(rb"%([0-9a-f]{2})", re.IGNORECASE)
UNRESERVED = frozenset(
    b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789-._~"
)
DOT_SEGMENT = re.compile(r"/\.{1,2}(?=/|$)")
# Some readers take a backslash for a slash.
UNUSUAL = re.compile(rb"[\\#\x00-\x20\x7f]")


class AmbiguousTarget(ValueError):
    """A target has more than one reading; the message is returned to the caller."""


def read_path(raw_path: bytes) -> str:
    """Return the path of a target in origin form, without its query.

    Parameters
    ----------
    raw_path : bytes
        As received.

    Raises
    ------
    AmbiguousTarget
    """
    if not raw_path.startswith(b"/"):
        raise AmbiguousTarget("the target has to begin with a slash")
    if UNUSUAL.search(raw_path):
        raise AmbiguousTarget("a character in the path has more than one reading")
    if b"%" in raw_path:
        if AMBIGUOUS_ESCAPE.search(raw_path):
            raise AmbiguousTarget("an escape in the path has more than one reading")
        raw_path = ESCAPE.sub(_decode_escape, raw_path)
    try:
        path = raw_path.decode()
    except UnicodeDecodeError:
        raise AmbiguousTarget("the path is not UTF-8") from None
    if DOT_SEGMENT.search(path):
        raise AmbiguousTarget("a path with dot segments")
    return path


def _decode_escape(match: re.Match[bytes]) -> bytes:
    value = int(match[1], 16)
    if value in UNRESERVED or value >= 0x80:
        return bytes((value,))
    return match[0].upper()
