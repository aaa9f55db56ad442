"""Where the chunks of a request's body begin and end, by RFC 9112, section 7.1.

A parser calls back for each chunk, so that a byte in chunks of one byte costs many
times what it costs in large ones. `ChunkedBody` hands the parser several chunks as
one. It joins only what is plainly valid; all else goes to the parser unchanged, which
alone decides whether a body is valid.
"""

from __future__ import annotations

import re

__all__ = ["ChunkedBody"]

LINE_END = b"\r\n"
# Larger chunks cost little by themselves, and joining copies them.
MAX_JOINED_CHUNK_BYTES = 4 * 1024
# Larger sizes are refused by the parser.
MAX_SIZE = 2**64
DIGITS = re.compile(rb"[0-9a-fA-F]*")
TOKEN = rb"[!#$%&'*+.^_`|~0-9A-Za-z-]*"
QUOTED = rb'(?:"(?:[\t !#-\[\]-~\x80-\xff]|\\[\t -~\x80-\xff])*")?'
EXTENSIONS = rb"(?:;%s(?:=%s%s)?)*(?<!;)" % (TOKEN, TOKEN, QUOTED)
# A size line that the parser accepts.
PLAIN_LINE = re.compile(rb"([0-9a-fA-F]{1,7})%s\r\n" % EXTENSIONS)
# Chunks of 1 to 15 bytes without extensions, read without a step in Python for each.
SMALL_DATA = b"|".join(
    rb"(?<=[%x%X]\r\n)(?s:.){%d}" % (size, size, size) for size in range(1, 16)
)
SMALL_CHUNK = re.compile(rb"0{0,6}[1-9a-fA-F]\r\n(%s)\r\n" % SMALL_DATA)
SMALL_CHUNKS = re.compile(rb"(?:0{0,6}[1-9a-fA-F]\r\n(?:%s)\r\n)+" % SMALL_DATA)


class ChunkedBody:
    """Follows a chunked body up to its last chunk, and joins small chunks."""

    __slots__ = ("_chunk_bytes", "_in_line", "_is_size_read", "_size", "is_ended")

    def __init__(self):
        # Whether the last chunk was read; trailers and an empty line may follow.
        self.is_ended = False
        # Rest of a chunk that has begun, with its line end.
        self._chunk_bytes = 0
        # A size line that has begun: the size so far, and whether its digits are over.
        self._in_line = False
        self._size = 0
        self._is_size_read = False

    def take(self, data: bytes) -> tuple[bytes, int]:
        """Return what the parser is to read next, and what part of data that is.

        Parameters
        ----------
        data : bytes
            What follows the data that was taken before.

        Returns
        -------
        tuple of (bytes, int)
            Input for the parser, and the number of bytes of data that it stands for:
            all, or those up to the last chunk.
        """
        pieces = []
        position = 0
        while position < len(data) and not self.is_ended:
            if not self._chunk_bytes and not self._in_line:
                body, end = _join_chunks(data, position)
                if body:
                    pieces.append(b"%x\r\n%s\r\n" % (len(body), body))
                    position = end
                    continue
            end = self._pass(data, position)
            pieces.append(data[position:end])
            position = end
        if self.is_ended and data.startswith(LINE_END, position):
            pieces.append(LINE_END)
            position += len(LINE_END)
        return b"".join(pieces), position

    def _pass(self, data: bytes, begin: int) -> int:
        """Return the end of the rest of a chunk or size line."""
        if self._chunk_bytes:
            size = min(self._chunk_bytes, len(data) - begin)
            self._chunk_bytes -= size
            return begin + size
        self._in_line = True
        if not self._is_size_read:
            digits_end = DIGITS.match(data, begin).end()
            digits = data[begin:digits_end]
            size = (self._size << 4 * len(digits)) + int(digits or b"0", 16)
            self._size = min(size, MAX_SIZE)
            self._is_size_read = digits_end < len(data)
        end = data.find(b"\n", begin) + 1
        if not end:
            return len(data)
        self._in_line = self._is_size_read = False
        self.is_ended = not self._size
        self._chunk_bytes = self._size and self._size + len(LINE_END)
        self._size = 0
        return end


def _join_chunks(data: bytes, begin: int) -> tuple[bytes, int]:
    """Return the content of the plain chunks at a position, and their end."""
    parts: list[bytes] = []
    while True:
        small = SMALL_CHUNKS.match(data, begin)
        if small is not None:
            parts += SMALL_CHUNK.findall(data, begin, small.end())
            begin = small.end()
        match = PLAIN_LINE.match(data, begin)
        if match is None:
            break
        line, size = match[0], int(match[1], 16)
        if not 0 < size <= MAX_JOINED_CHUNK_BYTES:
            break
        first = begin
        # Most clients send chunks of one size, whose lines are the same.
        while data.startswith(line, begin):
            end = begin + len(line) + size
            if not data.startswith(LINE_END, end):
                break
            parts.append(data[begin + len(line) : end])
            begin = end + len(LINE_END)
        if begin == first:
            break
    return b"".join(parts), begin
