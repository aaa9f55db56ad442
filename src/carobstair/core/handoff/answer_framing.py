"""Finds the end of an answer in the bytes that a peer sends.

Only the framing is followed. An answer whose end its bytes don't show is rejected: if
its connection broke, it would look complete.
"""

from __future__ import annotations

import re

__all__ = ["AnswerError", "AnswerFraming"]

# As for the heads of requests.
MAX_HEAD_BYTES = 32 * 1024
MAX_CHUNK_LINE_BYTES = 64
# Of a head in lower case.
STATUS = re.compile(rb"http/1\.1 ([2-5][0-9]{2}) ")
LENGTH = re.compile(rb"\r\ncontent-length: *([0-9]{1,15}) *(?=\r\n)")
# These headers in any spelling, but not others whose names begin like theirs.
LENGTH_NAME = re.compile(rb"\r\ncontent-length(?![!#-'*+.0-9^-z|~-])")
CODING_NAME = re.compile(rb"\r\ntransfer-encoding(?![!#-'*+.0-9^-z|~-])")
CHUNKED = b"\r\ntransfer-encoding: chunked\r\n"
CLOSE = b"\r\nconnection: close\r\n"
CHUNK_LINE = re.compile(rb"([0-9a-fA-F]{1,8})\r")
STATUSES_WITHOUT_BODY = frozenset({204, 304})


class AnswerError(ValueError):
    """Bytes that are no answer whose end can be found."""


class AnswerFraming:
    """Follows the framing of one answer.

    Attributes
    ----------
    status : int
        0 until the head is complete.
    closes : bool
        Whether the answer says that its connection is closed after it.
    """

    __slots__ = ("_chunked", "_head", "_is_last", "_left", "_line", "closes", "status")

    def __init__(self):
        self.status = 0
        self.closes = False
        self._chunked = False
        self._head = b""
        # Bytes left of the body, or of a chunk with its line end.
        self._left = 0
        self._line = b""
        self._is_last = False

    def feed(self, data: bytes) -> int:
        """Return the number of bytes up to the answer's end, or -1 if it goes on.

        Raises
        ------
        AnswerError
        """
        position = 0
        if not self.status:
            position = self._feed_head(data)
            if position < 0:
                return -1
        if self._chunked:
            return self._feed_chunks(data, position)
        end = position + self._left
        if end <= len(data):
            return end
        self._left = end - len(data)
        return -1

    def _feed_head(self, data: bytes) -> int:
        known_bytes = len(self._head)
        head = self._head + data
        end = head.find(b"\r\n\r\n", max(0, known_bytes - 3))
        if max(end, 0) > MAX_HEAD_BYTES or (end < 0 and len(head) > MAX_HEAD_BYTES):
            raise AnswerError("a head that is too large")
        if end < 0:
            self._head = head
            return -1
        self._head = b""
        self._read_head(head[: end + 2].lower())
        return end + 4 - known_bytes

    def _read_head(self, head: bytes) -> None:
        match = STATUS.match(head)
        if match is None:
            raise AnswerError("no final answer")
        self.closes = CLOSE in head
        self._chunked = CHUNKED in head
        lengths = LENGTH.findall(head)
        if len(lengths) > 1 or len(LENGTH_NAME.findall(head)) != len(lengths):
            raise AnswerError("an unclear length")
        if len(CODING_NAME.findall(head)) != self._chunked:
            raise AnswerError("an unknown transfer encoding")
        status = int(match[1])
        if status in STATUSES_WITHOUT_BODY:
            self._chunked = False
        elif self._chunked == bool(lengths):
            raise AnswerError("neither a length nor chunks, or both")
        elif lengths:
            self._left = int(lengths[0])
        self.status = status

    def _feed_chunks(self, data: bytes, position: int) -> int:
        size = len(data)
        while True:
            if self._left:
                if size - position < self._left:
                    self._left -= size - position
                    return -1
                position += self._left
                self._left = 0
            if position >= size:
                return -1
            end = data.find(b"\n", position)
            line = self._line + data[position : end if end >= 0 else size]
            if len(line) > MAX_CHUNK_LINE_BYTES:
                raise AnswerError("a chunk without a size")
            if end < 0:
                self._line = line
                return -1
            self._line = b""
            position = end + 1
            if self._is_last:
                if line != b"\r":
                    raise AnswerError("a trailer")
                return position
            match = CHUNK_LINE.fullmatch(line)
            if match is None:
                raise AnswerError("a chunk without a size")
            chunk_bytes = int(match[1], 16)
            if chunk_bytes:
                self._left = chunk_bytes + 2
            else:
                self._is_last = True
