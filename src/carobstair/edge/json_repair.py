"""Reads JSON documents of which single values are malformed or nested too deeply.

A strict decoder rejects a whole page for one such value, and the sound entries beside
it would be lost.
"""

from __future__ import annotations

import re
from collections.abc import Iterator

import msgspec

__all__ = ["repair_document"]

# Strings are matched as a whole, so that the signs in them don't count.
TOKEN = re.compile(rb'"(?:[^"\\]|\\.)*"|[\[\]{},]', re.DOTALL)
KEY = re.compile(rb'\s*("(?:[^"\\]|\\.)*")\s*:', re.DOTALL)
CLOSING = {b"{": b"}", b"[": b"]"}
_VALUE = msgspec.json.Decoder(msgspec.Raw)
_STRING = msgspec.json.Decoder(str)


def repair_document(data: bytes, levels: int) -> bytes:
    """Return a document in which each unreadable value is null.

    Parameters
    ----------
    data : bytes
    levels : int
        Containers within containers up to which values are judged one by one. A
        value further inside makes the one that it belongs to unreadable.

    Raises
    ------
    ValueError
        If the document is not a whole JSON value.
    """
    if _is_readable(data):
        return data
    text = data.strip()
    if levels == 0 or text[:1] not in CLOSING:
        return b"null"
    opening = text[:1]
    parts = [
        _repair_member(part, levels)
        if opening == b"{"
        else repair_document(part, levels - 1)
        for part in _children(text)
    ]
    return opening + b",".join(filter(None, parts)) + CLOSING[opening]


def _repair_member(part: bytes, levels: int) -> bytes | None:
    """Return a repaired member of an object, or None if its key is unreadable."""
    match = KEY.match(part)
    if match is None:
        return None
    try:
        _STRING.decode(match[1])
    except msgspec.DecodeError:
        return None
    return match[1] + b":" + repair_document(part[match.end() :], levels - 1)


def _is_readable(data: bytes) -> bool:
    try:
        _VALUE.decode(data)
    except (msgspec.DecodeError, RecursionError):
        return False
    return True


def _children(container: bytes) -> Iterator[bytes]:
    """Yield the elements of an array, or the members of an object."""
    depth, begin = 0, 1
    for match in TOKEN.finditer(container):
        token = match[0]
        if token in (b"{", b"["):
            depth += 1
        elif token in (b"}", b"]"):
            depth -= 1
            if depth == 0:
                if container[begin : match.start()].strip():
                    yield container[begin : match.start()]
                if container[match.end() :].strip():
                    raise ValueError("data after the end of the document")
                return
        elif token == b"," and depth == 1:
            yield container[begin : match.start()]
            begin = match.end()
    raise ValueError("the document ends too early")
