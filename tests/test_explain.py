"""Tests of the explanation of a request's outcome from log lines."""

import contextlib
import io
import tempfile
import unittest
from pathlib import Path

from carobstair.cli.report import explain as explain_command
from carobstair.report.explain import explain, read_lines


def line(second, event, **fields):
    """Return a log line as the routers write it."""
    text = " ".join(f"{name}={value}" for name, value in fields.items())
    return f"timestamp=2026-01-01T00:00:{second:06.3f}Z level=info event={event} {text}"


FIRST_LOG = [
    line(0.2, "router_started", instance="front-1"),
    line(0.5, "router_stopping"),
    line(1, "router_started", instance="front-1"),
    line(2, "state_changed", kind="routing", version=3, revision=41, names="main"),
    line(3, "state_changed", kind="upstreams", version=3, revision=44, names="u1,u2"),
    line(4, "store_lost", kind="routing"),
    line(4.5, "peer_lost", peer="front-2"),
    line(5, "attempt_failed", request_id="id1", upstream="u1", outcome="unknown"),
    line(
        5.1,
        "request_ended",
        request_id="id1",
        upstream="u1",
        outcome="answer-lost",
        detail='"closed by \\"it\\""',
    ),
    "Traceback (most recent call last):",
]
SECOND_LOG = [
    line(5.5, "attempt_failed", request_id="id2", upstream="u1", detail="refused"),
    line(9.9, "attempt_failed", request_id="id3", upstream="u1", detail="late"),
]


class ExplainTest(unittest.TestCase):
    """Guards against failed requests whose cause can't be found in the logs."""

    def explanation(self, request_id="id1"):
        lines = [*read_lines("front-1", FIRST_LOG), *read_lines("front-2", SECOND_LOG)]
        return "\n".join(explain(request_id, lines))

    def test_steps_are_in_order_with_their_details(self):
        explanation = self.explanation()
        self.assertLess(
            explanation.index("attempt_failed"), explanation.index("request_ended")
        )
        self.assertIn('detail=closed by "it"', explanation)

    def test_limits_of_upstreams_are_shown_while_they_last(self):
        log = [
            line(1, "upstream_limit_changed", upstream="u1", limit_per_s=2.5),
            line(
                2, "upstream_limit_changed", upstream="u2", limit_per_s=3, told_by="r2"
            ),
            line(3, "upstream_limited", upstream="u1", limit_per_s=2.5, sent_in_4s=4),
            line(4, "upstream_limit_changed", upstream="u2", limit_per_s="none"),
            line(5, "request_ended", request_id="id1", outcome="upstreams-limited"),
        ]
        text = "\n".join(explain("id1", read_lines("r1", log)))
        self.assertIn(
            "limit of u1: 2.5 a second, 4.0 s old, told by its response; "
            "4 sends of this router in 4 s",
            text,
        )
        self.assertNotIn("limit of u2", text)
        text = "\n".join(explain("id1", read_lines("r1", [*log[:3], log[-1]])))
        self.assertIn("limit of u2: 3 a second, 3.0 s old, told by r2", text)

    def test_state_known_to_the_process_is_shown_with_its_age(self):
        explanation = self.explanation()
        self.assertIn("in force: version 3, revision 41, 3.0 s old", explanation)
        self.assertIn("news of u1: version 3, revision 44, 2.0 s old", explanation)
        self.assertIn("store: store_lost 1.0 s before", explanation)
        self.assertIn("peers not heard: front-2", explanation)
        self.assertIn("router_started 4.0 s before", explanation)
        # Events of an earlier process say nothing about this one.
        self.assertNotIn("router_stopping", explanation)

    def test_failures_of_others_at_the_same_upstream_are_counted(self):
        # One failed at another router 0.5 s later; the third is outside the 2 s.
        self.assertIn(
            "1 other failures at u1 within 2 s, on 1 routers", self.explanation()
        )

    def test_line_with_a_prefix_names_its_process(self):
        (found,) = read_lines("all", ["12.5 front-7: " + SECOND_LOG[0]])
        self.assertEqual(found.process, "front-7")

    def test_unknown_request_is_reported(self):
        self.assertIn("no line", self.explanation("id9"))

    def test_command_reads_files(self):
        with tempfile.TemporaryDirectory() as folder:
            path = Path(folder) / "front-1.log"
            path.write_text("\n".join(FIRST_LOG))
            out = io.StringIO()
            with contextlib.redirect_stdout(out):
                explain_command("id1", path)
        self.assertIn("front-1 request_ended", out.getvalue())


if __name__ == "__main__":
    unittest.main()
