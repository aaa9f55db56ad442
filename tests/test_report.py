"""Tests of the burn report: windows, budgets, restarts, gaps and renderings."""

import json
import re
import tempfile
import unittest
from pathlib import Path

from carobstair.metrics import RouterMetrics
from carobstair.report.burn import DAY_S, make_report
from carobstair.report.history import (
    History,
    HistoryLocked,
    HistoryWriter,
    ScrapeRound,
    read_history,
)
from carobstair.report.render import render_html, render_json, render_text
from carobstair.report.settings import ReportSection, ReportSettings
from carobstair.report.tallies import (
    MetricsPageError,
    Objective,
    RouterTallies,
    SeriesKey,
    Tally,
    parse_metrics_page,
)

SETTINGS = ReportSettings(
    report=ReportSection(routers=["r-1=http://127.0.0.1:1", "r-2=http://127.0.0.1:2"])
)
START_S = 1_800_000_000.0


def key(workspace, objective=Objective.FIRST_TOKEN):
    """Return the key of a workspace's series."""
    return SeriesKey(workspace, "quick", objective)


def tallies(started_s, **counts):
    """Return the tallies of a router from (bad, total) by workspace."""
    return RouterTallies(
        started_s, {key(name): Tally(*pair) for name, pair in counts.items()}
    )


def build_history(rounds):
    """Return a history with these rounds added."""
    history = History()
    for found in rounds:
        history.add(found)
    history.downsample()
    return history


def row_of(report, workspace):
    """Return the row of a workspace."""
    return next(row for row in report.rows if row.key == key(workspace))


def window_of(row, name):
    """Return the burn over a window."""
    return next(item for item in row.windows if item.window.name == name)


class TestBurn(unittest.TestCase):
    """Guards against missed and false alarms, and wrong rates and budgets."""

    def test_slow_week_of_a_small_workspace_shows_though_the_fleet_is_healthy(self):
        # Users once missed a slow week of a workspace: no fleet-wide graph showed it.
        slow_from_hour, rounds = 24, []
        late = 0.0
        for hour in range(7 * 24 + 1):
            late += 8.0 if hour > slow_from_hour else 0.0
            counts = {"small": (late, 100.0 * hour), "large": (0.0, 9_900.0 * hour)}
            found = {"r-1": tallies(START_S - 5.0, **counts)}
            rounds.append(ScrapeRound(START_S + 3600.0 * hour, found))
        report = make_report(build_history(rounds), SETTINGS)
        small = row_of(report, "small")
        self.assertIs(report.rows[0], small)
        self.assertEqual(small.alarms, ("long",))
        self.assertAlmostEqual(window_of(small, "3d").burn, 0.08 / 0.05)
        self.assertAlmostEqual(small.budget.left, 1 - 144 * 8 / (168 * 100 * 0.05))
        self.assertEqual(small.share, 1.0)
        slot_s = 2 * 3600.0
        self.assertLessEqual(
            abs(small.since_s - (START_S + slow_from_hour * 3600)), slot_s
        )
        fleet = next(r for r in report.fleet if r.key.objective is small.key.objective)
        self.assertEqual(fleet.alarms, ())
        self.assertLess(window_of(fleet, "3d").burn, 0.1)
        self.assertEqual(row_of(report, "large").since_s, None)

    def test_fast_alarm_needs_both_windows_and_ends_after_the_short_one(self):
        def alarms(bad_minutes):
            bad, rounds = 0.0, []
            for minute in range(121):
                bad += 100.0 if minute in bad_minutes else 0.0
                found = {"r-1": tallies(START_S - 5, w=(bad, 100.0 * minute))}
                rounds.append(ScrapeRound(START_S + 60.0 * minute, found))
            return row_of(make_report(build_history(rounds), SETTINGS), "w").alarms

        self.assertIn("fast", alarms(range(70, 121)))
        self.assertNotIn("fast", alarms(range(60, 115)))
        self.assertNotIn("fast", alarms(range(116, 121)))
        self.assertIn("slow", alarms(range(60, 121)))

    def test_short_recovery_does_not_move_the_start_of_the_burn(self):
        # One good slot of 6 s once moved the reported start by five minutes.
        bad, rounds = 0.0, []
        for minute in range(121):
            bad += 50.0 if minute > 60 and minute not in (90, 117, 118) else 0.0
            found = {"r-1": tallies(START_S - 5, w=(bad, 100.0 * minute))}
            rounds.append(ScrapeRound(START_S + 60.0 * minute, found))
        row = row_of(make_report(build_history(rounds), SETTINGS), "w")
        self.assertLessEqual(abs(row.since_s - (START_S + 3600.0)), 120.0)

    def test_few_events_raise_no_alarm(self):
        rounds = [
            ScrapeRound(START_S + 60.0 * n, {"r-1": tallies(START_S, w=(n, n))})
            for n in range(5)
        ]
        row = row_of(make_report(build_history(rounds), SETTINGS), "w")
        self.assertAlmostEqual(window_of(row, "5m").burn, 20.0)
        self.assertEqual(row.alarms, ())

    def test_empty_history_single_scrape_and_unreached_router_are_noted(self):
        empty = make_report(History(), SETTINGS)
        self.assertIn("no scrape yet", empty.notes[0])
        found = {"r-1": tallies(START_S, w=(0, 50)), "r-2": "no answer in time"}
        report = make_report(
            build_history([ScrapeRound(START_S + 60, found)]), SETTINGS
        )
        self.assertEqual(
            report.notes,
            [
                "one scrape only: rates need a second one",
                "router r-2: never reached: no answer in time",
            ],
        )
        for shown in (empty, report):
            for render in (render_text, render_json, render_html):
                self.assertIn(shown.notes[0], render(shown))


class TestHistory(unittest.TestCase):
    """Guards against events that are lost or counted twice between scrapes."""

    def total(self, rounds, workspace="w"):
        history = build_history(rounds)
        kept = history.increments.get((key(workspace), "r-1"), [])
        return sum(item.tally.total for item in kept), history

    def test_a_restart_adds_what_was_counted_since_and_nothing_twice(self):
        total, history = self.total(
            [
                ScrapeRound(START_S, {"r-1": tallies(START_S - 900, w=(0, 500))}),
                ScrapeRound(START_S + 60, {"r-1": tallies(START_S - 900, w=(0, 530))}),
                ScrapeRound(START_S + 120, {"r-1": "refused"}),
                # The new process has already counted more than the old one.
                ScrapeRound(START_S + 180, {"r-1": tallies(START_S + 130, w=(0, 540))}),
                ScrapeRound(START_S + 240, {"r-1": tallies(START_S + 130, w=(0, 550))}),
            ]
        )
        self.assertEqual(total, 30 + 540 + 10)
        status = history.routers["r-1"]
        self.assertEqual((status.restarts, status.failed, status.error), (1, 1, ""))
        after = history.increments[(key("w"), "r-1")][1]
        self.assertEqual((after.from_s, after.until_s), (START_S + 130, START_S + 180))

    def test_removed_and_returned_workspace_leaves_the_counts_of_others_alone(self):
        rounds = [
            ScrapeRound(START_S, {"r-1": tallies(START_S - 9, w=(0, 500), x=(0, 90))}),
            ScrapeRound(START_S + 60, {"r-1": tallies(START_S - 9, w=(0, 500))}),
            ScrapeRound(
                START_S + 120, {"r-1": tallies(START_S - 9, w=(0, 510), x=(0, 7))}
            ),
        ]
        self.assertEqual(self.total(rounds)[0], 10)

    def test_a_router_that_joins_counts_from_its_start(self):
        total, _ = self.total(
            [
                ScrapeRound(START_S, {"r-2": tallies(START_S - 9)}),
                ScrapeRound(START_S + 60, {"r-1": tallies(START_S + 20, w=(1, 40))}),
            ]
        )
        self.assertEqual(total, 40)

    def test_downsampling_keeps_every_event(self):
        rounds = [
            ScrapeRound(
                START_S + 60.0 * n, {"r-1": tallies(START_S - 9, w=(n, 7.0 * n))}
            )
            for n in range(2 * 1440)
        ]
        total, history = self.total(rounds)
        self.assertAlmostEqual(total, 7.0 * (2 * 1440 - 1))
        self.assertLess(len(history.increments[(key("w"), "r-1")]), 2 * 1440 / 2)

    def test_truncated_line_is_skipped_and_reopening_drops_only_old_rounds(self):
        with tempfile.TemporaryDirectory() as folder:
            path = Path(folder) / "history.jsonl"
            writer = HistoryWriter(path, DAY_S)
            for day in range(4):
                counts = {"w": (day, 10.0 * day), "idle": (0, 3)}
                found = {"r-1": tallies(START_S, **counts), "r-2": "refused"}
                writer.append(ScrapeRound(START_S + DAY_S * day, found))
            with self.assertRaises(HistoryLocked):
                HistoryWriter(path, DAY_S)
            writer.close()
            complete = read_history(path)
            text = path.read_text()
            self.assertEqual(text.count('"idle"'), 1)
            path.write_text(text[:-20])
            truncated = read_history(path)
            self.assertEqual((truncated.rounds, truncated.bad_lines), (3, 1))
            path.write_text(text)
            HistoryWriter(path, 1.5 * DAY_S).close()
            pruned = read_history(path)
        self.assertEqual((complete.rounds, pruned.rounds), (4, 2))
        kept = pruned.increments[(key("w"), "r-1")]
        self.assertEqual([item.tally for item in kept], [Tally(1, 10)])
        self.assertNotIn((key("idle"), "r-1"), pruned.increments)


class TestMetricsPages(unittest.TestCase):
    """Guards against metrics pages that are misread or accepted when incomplete."""

    def test_a_page_of_the_router_gives_the_tallies(self):
        metrics = RouterMetrics()
        for waited_s in (0.1, 0.63, 0.65, 3.0):
            metrics.first_token_s.labels("w", "quick").observe(waited_s)
        for interval_s in (0.05, 0.059, 0.061):
            metrics.token_interval_s.labels("w", "quick").observe(interval_s)
        refusals = (("deadline-exceeded", "no"), ("answer-lost", "unknown"))
        for name, ran in refusals:
            metrics.refusals.labels("w", "quick", name, ran).inc()
        metrics.refusals_untrue.labels("w", "quick").inc()
        for outcome in ("answered", "answered", "broken", "refused", "cancelled"):
            metrics.requests.labels("w", "quick", outcome).inc()
        found = parse_metrics_page(metrics.render().decode()).tallies
        self.assertEqual(
            {k.objective: (t.bad, t.total) for k, t in found.items()},
            {
                Objective.FIRST_TOKEN: (3, 5),
                Objective.TOKEN_INTERVAL: (1, 3),
                Objective.WHOLE: (1, 3),
                Objective.TRUTH: (1, 2),
            },
        )

    def test_empty_and_truncated_pages_are_errors_not_zeros(self):
        page = RouterMetrics().render().decode()
        for text in ("", "<html>", page[: page.index("process_start_time")]):
            with self.assertRaises(MetricsPageError):
                parse_metrics_page(text)


class TestRenderings(unittest.TestCase):
    """Guards against unescaped names and external resources in the HTML report."""

    def test_html_escapes_names_and_loads_nothing(self):
        rounds = [
            ScrapeRound(
                START_S + 60.0 * n, {"r-1": tallies(START_S, **{"<b>": (n, 9 * n)})}
            )
            for n in range(30)
        ]
        report = make_report(build_history(rounds), SETTINGS)
        page = render_html(report)
        self.assertNotIn("<b>quick", page)
        self.assertNotIn("<td><b></td>", page)
        self.assertEqual(page.count("<svg "), 4)
        self.assertIsNone(re.search(r"(src|href)\s*=|url\(|@import|<script", page))
        document = json.loads(render_json(report))
        self.assertEqual(document["rows"][0]["workspace"], "<b>")
        self.assertIn("3d", document["rows"][0]["burn"])


if __name__ == "__main__":
    unittest.main()
