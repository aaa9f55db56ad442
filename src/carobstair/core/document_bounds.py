"""Bounds on documents that other programs write to the store."""

from __future__ import annotations

import re

__all__ = ["is_within_bounds"]

MAX_DOCUMENT_BYTES = 256 * 1024
# Far below the depth at which decoders give up, wherever they are called.
MAX_NESTING = 32
# Strings are removed first, so that the brackets in them don't count.
STRING = re.compile(rb'"(?:[^"\\]++|\\.)*+"', re.DOTALL)
AS_BRACKETS = bytes.maketrans(b"{}", b"[]")
NO_BRACKETS = bytes(set(range(256)) - set(b"[]{}"))


def is_within_bounds(document: bytes) -> bool:
    """Return whether a JSON document is text, not too long nor nested too deeply."""
    if len(document) > MAX_DOCUMENT_BYTES or not _is_text(document):
        return False
    if document.count(b"[") + document.count(b"{") <= MAX_NESTING:
        return True
    brackets = STRING.sub(b"", document).translate(AS_BRACKETS, NO_BRACKETS)
    # Each pass removes the innermost containers.
    for _ in range(MAX_NESTING):
        brackets = brackets.replace(b"[]", b"")
    return not brackets


def _is_text(document: bytes) -> bool:
    try:
        document.decode()
    except UnicodeDecodeError:
        return False
    return True
