"""Tests of the request rates that upstreams state for all routers together."""

import unittest

from carobstair.core.rate_limits import NO_LIMIT, StatedRates
from carobstair.platform.headers import PlatformDialect

UPSTREAM = ("u1", 1)


class RateHeaderTest(unittest.TestCase):
    """Guards against belief in rates that are no plain positive number."""

    def read(self, value):
        headers = [] if value is None else [(b"server-limit", value)]
        metadata = PlatformDialect().read_response(200, headers)
        return metadata.rate_per_s, metadata.rate_unreadable

    def test_plain_decimal_numbers_are_read(self):
        for value, rate in ((b"3", 3.0), (b" 3.25 ", 3.25), (b"0.5", 0.5)):
            with self.subTest(value):
                self.assertEqual(self.read(value), (rate, False))

    def test_absence_is_not_malformed(self):
        self.assertEqual(self.read(None), (None, False))

    def test_other_values_state_nothing(self):
        for value in (
            b"",
            b"0",
            b"0.0",
            b"-1",
            b"+1",
            b"1e3",
            b"nan",
            b"inf",
            b"1_0",
            b"3 per second",
            b"3,4",
            b"\xd9\xa3",
            b"9" * 400,
            b"0." + b"0" * 400 + b"1",
        ):
            with self.subTest(value):
                self.assertEqual(self.read(value), (None, True))


class StatementTest(unittest.TestCase):
    """Guards against a limit that late, old or repeated responses end or bring back."""

    def setUp(self):
        self.rates = StatedRates()

    def limit(self):
        return self.rates.limit_per_s(UPSTREAM)

    def test_unlimited_upstreams_cost_no_memory(self):
        self.assertIsNone(self.rates.note_response(UPSTREAM, None, 0.0, 0.1))
        self.assertEqual(self.rates.known(), {})

    def test_response_to_an_earlier_request_does_not_end_a_limit(self):
        self.rates.note_response(UPSTREAM, 3.0, 1.0, 2.0)
        self.rates.note_response(UPSTREAM, None, 1.9, 2.5)
        self.assertEqual(self.limit(), 3.0)
        self.rates.note_response(UPSTREAM, None, 2.1, 2.6)
        self.assertEqual(self.limit(), NO_LIMIT)

    def test_response_to_an_earlier_request_does_not_raise_a_limit(self):
        self.rates.note_response(UPSTREAM, 3.0, 1.0, 2.0)
        self.rates.note_response(UPSTREAM, 6.0, 1.9, 2.5)
        self.assertEqual(self.limit(), 3.0)
        self.rates.note_response(UPSTREAM, 2.0, 1.9, 2.6)
        self.assertEqual(self.limit(), 2.0)

    def test_same_rate_is_no_change(self):
        self.assertIsNotNone(self.rates.note_response(UPSTREAM, 3.0, 1.0, 2.0))
        self.assertIsNone(self.rates.note_response(UPSTREAM, 3.01, 2.1, 2.2))

    def test_restarted_upstream_has_no_limit(self):
        self.rates.note_response(UPSTREAM, 3.0, 1.0, 2.0)
        self.assertEqual(self.rates.limit_per_s(("u1", 2)), NO_LIMIT)
        self.rates.keep({("u1", 2)})
        self.assertEqual(self.rates.known(), {})

    def test_peers_come_to_the_same_statement_in_any_order(self):
        statements = [(3.0, 1), (NO_LIMIT, 2), (5.0, 2), (4.0, 3), (NO_LIMIT, 3)]
        for order in (statements, statements[::-1], statements[2:] + statements[:2]):
            rates = StatedRates()
            for per_s, version in order * 2:
                rates.merge(UPSTREAM, per_s, version, "r1", 1.0)
            self.assertEqual(rates.limit_per_s(UPSTREAM), 4.0)

    def test_repeated_statement_of_a_peer_is_no_change(self):
        self.assertTrue(self.rates.merge(UPSTREAM, 3.0, 1, "r1", 1.0))
        self.assertFalse(self.rates.merge(UPSTREAM, 3.0, 1, "r2", 1.0))


if __name__ == "__main__":
    unittest.main()
