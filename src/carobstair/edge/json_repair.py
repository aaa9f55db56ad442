"""Reads JSON documents of which single values are malformed or nested too deeply.

A strict decoder rejects a whole page for one such value, and the sound entries beside
it would be lost. Nor does it say where such a value ends, so that is found here, in
one pass over the document and in short steps, as the values may be large.
"""

from __future__ import annotations

import re
import time
from collections.abc import Generator, Iterator

import msgspec

__all__ = ["RepairSteps", "repair_document"]

# Each step yields nothing; the last one returns the repaired document.
RepairSteps = Generator[None, None, bytes]

# Duration of a step, and how many tokens or bytes of a value are read between two
# looks at the clock.
STEP_S = 0.005
TOKENS_PER_LOOK = 256
BYTES_PER_LOOK = 65536
_STRING = rb'"(?:[^"\\]++|(?:\\.)++)*+"'
_PLAIN = rb'(?:[^\[\]{}"]++|' + _STRING + rb")"
# Small containers without others in them, and those with none but these.
_FLAT = rb"[\[{]" + _PLAIN + rb"{0,16}+[\]}]"
_SHALLOW = rb"[\[{](?:" + _PLAIN + rb"|" + _FLAT + rb"){0,16}+[\]}]"
CONTAINER = re.compile(_FLAT + rb"|" + _SHALLOW, re.DOTALL)
# Runs of values are matched as a whole, so that few tokens are left. They are bounded,
# as nothing else happens during a match.
TOKEN = re.compile(
    rb"(?:" + _PLAIN + rb"|" + _FLAT + rb"|" + _SHALLOW + rb"){1,256}+"
    rb"|([\[{]++)|([\]}]++)",
    re.DOTALL,
)
OPENING, CLOSING = 1, 2
SPACE = re.compile(rb"[ \t\r\n]*+")
TEXT = re.compile(rb'(?:[^\[\]{}",]++|' + _STRING + rb")*+", re.DOTALL)
STRING = re.compile(_STRING, re.DOTALL)
_VALUE = msgspec.json.Decoder(msgspec.Raw)
_KEY = msgspec.json.Decoder(str)


def repair_document(data: bytes, levels: int) -> RepairSteps:
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
    repair = _Repair(data)
    yield from repair.value(levels)
    if repair.skip_space() < len(data):
        raise ValueError("data after the end of the document")
    return repair.result()


class _Repair:
    """Position in a document, and the changes before it.

    A change is the begin and the end of what it replaces, and the replacement.
    """

    def __init__(self, data: bytes):
        self._data = data
        self._at = 0
        self._tokens = 0
        self._changes: list[tuple[int, int, bytes]] = []
        self._begin_step()

    def result(self) -> bytes:
        """Return the document with all changes."""
        parts, at = [], 0
        for begin, end, replacement in self._changes:
            parts += [self._data[at:begin], replacement]
            at = end
        return b"".join([*parts, self._data[at:]])

    def skip_space(self) -> int:
        """Skip white space; return the position after it."""
        self._at = SPACE.match(self._data, self._at).end()
        return self._at

    def value(self, levels: int) -> Iterator[None]:
        """Read one value; containers are read member by member."""
        begin = self.skip_space()
        sign = self._data[begin : begin + 1]
        if levels > 0 and sign == b"{":
            yield from self._members(b"}", levels, keyed=True)
        elif levels > 0 and sign == b"[":
            yield from self._members(b"]", levels, keyed=False)
        else:
            yield from self._skip_value()
            if not _is_readable(self._data[begin : self._at]):
                self._changes.append((begin, self._at, b"null"))

    def _members(self, closing: bytes, levels: int, keyed: bool) -> Iterator[None]:
        self._take()
        # Begin of the member with the comma that parts it from others.
        begin, kept = self._at, 0
        sign = self._sign()
        if sign == closing:
            self._take()
        while sign != closing:
            changes = len(self._changes)
            value_begin = self._at
            is_kept = not keyed or self._key()
            yield from self.value(levels - 1)
            if self._is_step_over(self._at - value_begin):
                yield
                self._begin_step()
            end = self._at
            sign = self._sign()
            self._take()
            if sign not in (b",", closing):
                raise ValueError(f"neither a comma nor an end at {self._at - 1}")
            if is_kept:
                kept += 1
            else:
                # The member goes with its key.
                del self._changes[changes:]
                last = end if kept or sign == closing else self._at
                self._changes.append((begin, last, b""))
            begin = self._at if kept == 0 else self._at - 1

    def _key(self) -> bool:
        """Read a key with its colon; return whether it is readable."""
        self.skip_space()
        match = STRING.match(self._data, self._at)
        if match is None:
            raise ValueError(f"no key at {self._at}")
        self._at = match.end()
        if self._sign() != b":":
            raise ValueError(f"no colon at {self._at}")
        self._take()
        return _is_text(match[0])

    def _sign(self) -> bytes:
        """Return the next character that is no white space."""
        at = self.skip_space()
        sign = self._data[at : at + 1]
        if not sign:
            raise ValueError("the document ends too early")
        return sign

    def _take(self) -> None:
        self._at += 1

    def _skip_value(self) -> Iterator[None]:
        """Skip what stands before the next comma or end of a container."""
        while self._sign() not in b",]}":
            self._at = TEXT.match(self._data, self._at).end()
            if self._data[self._at : self._at + 1] in (b"[", b"{"):
                yield from self._skip_container()
            elif self._data[self._at : self._at + 1] == b'"':
                raise ValueError("a string without end")
            elif self.skip_space() == len(self._data):
                return

    def _skip_container(self) -> Iterator[None]:
        depth = 0
        for match in TOKEN.finditer(self._data, self._at):
            begin, end = match.span()
            kind = match.lastindex
            if kind == OPENING:
                depth += end - begin
            elif kind == CLOSING:
                if depth <= end - begin:
                    self._at = begin + depth
                    return
                depth -= end - begin
            elif depth == 0:
                # It begins a run of values that are nested in few others.
                self._at = CONTAINER.match(self._data, begin).end()
                return
            if self._is_step_over():
                yield
                self._begin_step()
        raise ValueError("the document ends too early")

    def _is_step_over(self, size_bytes: int = 0) -> bool:
        self._tokens += 1
        if size_bytes < BYTES_PER_LOOK and self._tokens % TOKENS_PER_LOOK:
            return False
        return time.perf_counter() >= self._step_end_s

    def _begin_step(self) -> None:
        self._step_end_s = time.perf_counter() + STEP_S


def _is_readable(data: bytes) -> bool:
    try:
        _VALUE.decode(data)
    except (msgspec.DecodeError, RecursionError):
        return False
    return True


def _is_text(data: bytes) -> bool:
    try:
        _KEY.decode(data)
    except msgspec.DecodeError:
        return False
    return True
