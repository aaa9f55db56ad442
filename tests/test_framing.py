"""Tests of what marks the end of a message's body."""

import unittest

from carobstair.core.framing import (
    Framing,
    FramingError,
    request_framing,
    response_framing,
)


def make_headers(text):
    """Return the headers in a text with lines ``name: value``."""
    pairs = (line.partition(":")[::2] for line in text.splitlines())
    return [(name.encode(), value.encode()) for name, value in pairs]


class ResponseFramingTest(unittest.TestCase):
    """Guards against responses whose end is taken for another one."""

    def test_order_of_the_rules(self):
        for method, status, text, framing in (
            ("GET", 200, "", Framing.CONNECTION_END),
            ("GET", 200, "Content-Length: 5", Framing.LENGTH),
            ("GET", 200, "content-length:5 ", Framing.LENGTH),
            ("GET", 200, "Content-Length: 5, 5", Framing.LENGTH),
            ("GET", 200, "Content-Length: 5\nContent-Length: 5", Framing.LENGTH),
            ("GET", 200, "Transfer-Encoding: chunked", Framing.CHUNKED),
            ("GET", 200, "TRANSFER-ENCODING:  Chunked ", Framing.CHUNKED),
            ("GET", 200, "Transfer-Encoding: , chunked,", Framing.CHUNKED),
            ("HEAD", 200, "Content-Length: 5", Framing.NONE),
            ("HEAD", 200, "Transfer-Encoding: gzip", Framing.NONE),
            ("GET", 204, "", Framing.NONE),
            ("GET", 304, "Content-Length: 5", Framing.NONE),
            ("GET", 102, "Transfer-Encoding: chunked", Framing.NONE),
            ("POST", 500, "", Framing.CONNECTION_END),
        ):
            with self.subTest(method=method, status=status, text=text):
                headers = make_headers(text)
                self.assertIs(response_framing(method, status, headers), framing)

    def test_what_has_no_single_meaning_is_an_error(self):
        for text in (
            "Transfer-Encoding: gzip",
            "Transfer-Encoding: gzip, chunked",
            "Transfer-Encoding: gzip\nTransfer-Encoding: chunked",
            "Transfer-Encoding: chunked, gzip",
            "Transfer-Encoding: chunked, chunked",
            "Transfer-Encoding: chunked;q=1",
            "Transfer-Encoding: chunked\t",
            "Transfer-Encoding: identity",
            "Transfer-Encoding:",
            "Transfer-Encoding: chunked\nContent-Length: 5",
            "Content-Length: 5\nContent-Length: 6",
            "Content-Length: 5, 6",
            "Content-Length: +5",
            "Content-Length: 0x5",
            "Content-Length:",
        ):
            with self.subTest(text), self.assertRaises(FramingError):
                response_framing("GET", 200, make_headers(text))


class RequestFramingTest(unittest.TestCase):
    """Guards against requests that a router and an upstream would read differently."""

    def test_accepted(self):
        for version, text, framing in (
            ("1.1", "", Framing.NONE),
            ("1.1", "Content-Length: 0", Framing.NONE),
            ("1.0", "Content-Length: 5", Framing.LENGTH),
            ("1.1", "Content-Length: 5", Framing.LENGTH),
            ("1.1", "Transfer-Encoding: Chunked ", Framing.CHUNKED),
        ):
            with self.subTest(text):
                self.assertIs(request_framing(version, make_headers(text)), framing)

    def test_refused(self):
        for version, text in (
            ("1.1", "Transfer-Encoding: gzip, chunked"),
            ("1.1", "Transfer-Encoding: gzip\nTransfer-Encoding: chunked"),
            ("1.1", "Transfer-Encoding: chunked, chunked"),
            ("1.1", "Transfer-Encoding: xchunked"),
            ("1.1", "Transfer-Encoding: chunked\nContent-Length: 5"),
            ("1.1", "Content-Length: 5\nContent-Length: 6"),
            ("1.0", "Transfer-Encoding: chunked"),
            ("0.9", ""),
            ("2.0", ""),
        ):
            with self.subTest(text), self.assertRaises(FramingError):
                request_framing(version, make_headers(text))
