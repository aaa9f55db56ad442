"""Bounds on documents that other programs write to the store."""

from __future__ import annotations

import re

__all__ = ["is_within_bounds"]

MAX_DOCUMENT_BYTES = 256 * 1024
# Far below the depth at which decoders give up, wherever they are called.
MAX_NESTING = 32
# Strings are matched as a whole, so that the brackets in them don't count.
TOKEN = re.compile(rb'"(?:[^"\\]|\\.)*"|[\[\]{}]', re.DOTALL)


def is_within_bounds(document: bytes) -> bool:
    """Return whether a JSON document is text, not too long nor nested too deeply."""
    if len(document) > MAX_DOCUMENT_BYTES or not _is_text(document):
        return False
    if document.count(b"[") + document.count(b"{") <= MAX_NESTING:
        return True
    depth = 0
    for match in TOKEN.finditer(document):
        if match[0] in (b"{", b"["):
            depth += 1
            if depth > MAX_NESTING:
                return False
        elif match[0] in (b"}", b"]"):
            depth -= 1
    return True


def _is_text(document: bytes) -> bool:
    try:
        document.decode()
    except UnicodeDecodeError:
        return False
    return True
