"""Recognises bytes that are exactly one request, whoever parses them.

Connections between routers carry requests of many callers, one after the other. If a
caller's bytes held more than one request by the parser of the peer, the second one
would be answered to another caller.
"""

from __future__ import annotations

import re

__all__ = ["is_single_request"]

# Each line ends with CR and LF, has a name without white space before its colon, and no
# control characters; none continues the line before. Parsers agree on such heads.
HEAD = re.compile(
    rb"(?:GET|POST|PUT|DELETE|PATCH) [!-~]+ HTTP/1\.1\r\n"
    rb"(?:[!#-'*+.\-0-9A-Z^-z|~]+:[\t -~\x80-\xff]*\r\n)+\r\n"
)
# Headers that change the framing, what follows the request, or that ask for more than
# an answer.
UNUSUAL = re.compile(
    rb"\n(?:connection|proxy-connection|keep-alive|transfer-encoding|te|trailer|expect"
    rb"|upgrade):",
    re.IGNORECASE,
)
LENGTH = re.compile(rb"\ncontent-length:([^\r]*)\r", re.IGNORECASE)
DIGITS = re.compile(rb"[ \t]*([0-9]{1,9})[ \t]*")


def is_single_request(data: bytes) -> bool:
    """Return whether data is one whole request that leaves its connection open."""
    match = HEAD.match(data)
    if match is None:
        return False
    head_bytes = match.end()
    if UNUSUAL.search(data, 0, head_bytes) is not None:
        return False
    lengths = LENGTH.findall(data, 0, head_bytes)
    if not lengths:
        return len(data) == head_bytes
    digits = DIGITS.fullmatch(lengths[0])
    if len(lengths) > 1 or digits is None:
        return False
    return len(data) == head_bytes + int(digits[1])
