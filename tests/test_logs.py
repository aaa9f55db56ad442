"""Tests of log lines: one per event, with a limit on repeated events."""

import io
import unittest

import structlog

from carobstair.logs import RateLimit, configure_logging, get_logger


class TestLogLines(unittest.TestCase):
    """Guards against unparsable or forged log lines and against floods of one event."""

    def setUp(self):
        self.stream = io.StringIO()
        self.now_s = 0.0
        configure_logging(
            zone="zone-a",
            stream=self.stream,
            limit=RateLimit(limit=3, interval_s=10.0),
            clock=lambda: self.now_s,
        )
        self.addCleanup(structlog.reset_defaults)
        self.logger = get_logger("module-1")

    def lines(self):
        return self.stream.getvalue().splitlines()

    def test_an_event_with_line_breaks_and_a_traceback_is_one_line(self):
        # A caller's text with a line break must not forge a log line.
        try:
            raise ValueError("first\nevent=forged")
        except ValueError as error:
            self.logger.error(
                "request_failed",
                request_id="r-1",
                workspace="w",
                upstream="u",
                error=None,
                detail="a\nevent=forged",
                exc_info=error,
            )
        (line,) = self.lines()
        for part in (
            "level=error module=module-1 event=request_failed",
            "request_id=r-1",
            "workspace=w",
            "upstream=u",
            "zone=zone-a",
        ):
            self.assertIn(part, line)
        self.assertNotIn("error=", line)

    def test_a_flood_of_one_event_is_suppressed_and_counted(self):
        for _ in range(50):
            self.logger.info("attempt_failed", upstream="u")
        self.logger.info("other_event")
        self.assertEqual(len(self.lines()), 4)
        self.now_s = 10.0
        self.logger.info("other_event")
        suppressed, other = self.lines()[4:]
        self.assertIn("event=events_suppressed", suppressed)
        self.assertIn("suppressed_event=attempt_failed", suppressed)
        self.assertIn("count=47", suppressed)
        self.assertIn("event=other_event", other)
        self.logger.info("attempt_failed", upstream="u")
        self.assertIn("event=attempt_failed", self.lines()[-1])

    def test_a_flood_of_refusals_leaves_room_for_other_outcomes(self):
        for _ in range(50):
            self.logger.info("request_ended", outcome="overloaded")
        self.logger.info("request_ended", outcome="broken", request_id="r-9")
        self.assertIn("request_id=r-9", self.lines()[-1])


if __name__ == "__main__":
    unittest.main()
