"""Targets with several readings, which reach a service of another route."""

import asyncio
import random
import re
import unittest

from carobstair.core.routing import AmbiguousTarget, read_path
from edge_test_case import EdgeCase
from platform_standins import make_config, make_route

PIECES = (
    *("/", "/", "/", "a", "b", "board", "api", "admin", ".", "..", "~", "é", ";", " "),
    *("%2F", "%2f", "%5C", "%2E", "%2e%2E", "%25", "%252F", "%00", "%7E", "%61", "%3B"),
    *("%C3%A9", "%C0%AF", "%FF", "%20", "%4", "%", "\\", "#", "//", "=", "@", "%41"),
)
EXAMPLES = 2_000


def remove_dot_segments(path):
    """Return a path by RFC 3986, section 5.2.4."""
    output = []
    segments = path.split("/")[1:]
    for number, segment in enumerate(segments):
        is_last = number == len(segments) - 1
        if segment == "..":
            output[-1:] = []
        if segment in (".", ".."):
            output += [""] if is_last else []
        else:
            output.append(segment)
    return "/" + "/".join(output)


def decode_unreserved(match):
    """Return the character of an escape if it is unreserved, else the escape."""
    character = chr(int(match[1], 16))
    return character if re.fullmatch("[A-Za-z0-9._~-]", character) else match[0]


def all_readings(raw):
    """Return the paths that an upstream may read in a target.

    It decodes escapes of unreserved characters, by RFC 3986, section 6.2.2.2. It may
    decode the others as well, once or twice, take a backslash for a slash, and remove
    dot segments.
    """
    texts = {re.sub("%([0-9A-Fa-f]{2})", decode_unreserved, raw.decode("latin-1"))}
    for _ in range(2):
        texts |= {
            re.sub("%([0-9A-Fa-f]{2})", lambda m: chr(int(m[1], 16)), t) for t in texts
        }
    texts |= {text.replace("\\", "/") for text in texts}
    texts = {re.split("[#\x00]", text)[0] for text in texts}
    return texts | {remove_dot_segments(text) for text in texts}


class ReadPathTest(unittest.TestCase):
    """Guards against a target that is matched as one path and read as another."""

    def find_prefix(self, prefixes, path):
        found = [p for p in prefixes if path.startswith(p)]
        return max(found, key=len, default=None)

    def check_examples(self, seed, examples):
        rng = random.Random(seed)
        read = 0
        for _ in range(examples):
            raw = "/" + "".join(rng.choices(PIECES, k=rng.randint(1, 7)))
            words = [rng.choice(("a", "board", "api", "admin", "b")) for _ in range(4)]
            prefixes = ["/", f"/{words[0]}/", f"/{words[0]}/{words[1]}/"]
            prefixes.append(f"/{words[2]}/{words[3]}/")
            raw = raw.encode()
            try:
                path = read_path(raw)
            except AmbiguousTarget:
                continue
            read += 1
            matched = self.find_prefix(prefixes, path)
            for reading in all_readings(raw):
                with self.subTest(raw=raw, reading=reading):
                    self.assertEqual(self.find_prefix(prefixes, reading), matched)
        self.assertGreater(read, examples / 50)

    def test_no_reading_of_a_target_has_another_route(self):
        self.check_examples(1, EXAMPLES)

    def test_escapes_of_unreserved_characters_do_not_matter(self):
        for raw in (b"/board/%31", b"/bo%61rd/1", b"/%62oard/1"):
            with self.subTest(raw):
                self.assertTrue(read_path(raw).startswith("/bo"))
        self.assertEqual(read_path(b"/caf%C3%A9/%7Ex%20y"), "/café/~x%20y")

    def test_ambiguous_targets_have_no_path(self):
        for raw in (
            *(b"/a%2Fb", b"/a%2fb", b"/a%5Cb", b"/a\\b", b"/a/../b", b"/a/%2e%2E/b"),
            *(
                b"/a/.",
                b"/a%00b",
                b"/a%252Fb",
                b"/a%C0%AFb",
                b"/a%FF",
                b"/a%4",
                b"/a#b",
            ),
            *(b"http://other.test/a", b"*", b"a/b", b"", b"/a b", b"/a%"),
        ):
            with self.subTest(raw), self.assertRaises(AmbiguousTarget):
                read_path(raw)


class PublicRouteTest(EdgeCase):
    """Guards against requests without a key that reach a route that needs one."""

    async def test_encoded_slash_does_not_lead_to_a_public_route(self):
        routes = [make_route("/api/"), make_route("/api/board/", public=True)]
        await self.start_upstreams("ok", config=make_config(routes=routes))
        for path in ("/api/board%2F1", "/api/board%2f1", "/api/board%5C1"):
            with self.subTest(path):
                status = await self.get_status(path)
                self.assertEqual(status, 400)
        self.assertEqual(self.upstream_request_count(), 0)
        self.assertEqual(await self.get_status("/api/board/1"), 200)

    async def get_status(self, path):
        """Return the status of a request without a key, sent as it is."""
        reader, writer = await asyncio.open_connection("127.0.0.1", self.server.port)
        writer.write(
            f"GET {path} HTTP/1.1\r\nHost: api.test\r\nCarobstair-Attempt-Id: i\r\n"
            "Connection: close\r\n\r\n".encode()
        )
        answer = await asyncio.wait_for(reader.read(), 4.0)
        writer.close()
        return int(answer.split()[1])


if __name__ == "__main__":
    unittest.main()
