"""Measures size and cost of the metrics page against the number of workspaces.

Every workspace has answered requests of both classes, which gives the largest
possible page. The last columns are the time that the report takes to read the page
and the bytes that a scrape adds to its history when every series has changed.
"""

from __future__ import annotations

import json
import tempfile
import time
from contextlib import closing
from pathlib import Path

from carobstair.metrics import RouterMetrics
from carobstair.report.history import HistoryWriter, ScrapeRound
from carobstair.report.tallies import parse_metrics_page

WORKSPACES = (16, 55, 550)
REPEATS = 5


def filled_metrics(count: int) -> RouterMetrics:
    """Return metrics of workspaces that have answered requests of both classes."""
    metrics = RouterMetrics()
    for number in range(count):
        name = f"workspace-{number}"
        for work_class in ("quick", "long"):
            metrics.requests.labels(name, work_class, "answered").inc()
            metrics.first_token_s.labels(name, work_class).observe(0.3)
            metrics.token_interval_s.labels(name, work_class).observe(0.03)
        metrics.served_tokens.labels("model", name).inc()
    return metrics


def best_ms(work) -> float:
    """Return the shortest duration of several runs, in milliseconds."""
    times = []
    for _ in range(REPEATS):
        began_s = time.perf_counter()
        work()
        times.append(time.perf_counter() - began_s)
    return min(times) * 1000.0


def main() -> None:
    """Print one row per number of workspaces."""
    print("workspaces  page kB  render ms  read ms  history kB")
    for count in WORKSPACES:
        metrics = filled_metrics(count)
        page = metrics.render()
        series = parse_metrics_page(page.decode())
        with tempfile.TemporaryDirectory() as folder:
            path = Path(folder) / "history.jsonl"
            with closing(HistoryWriter(path, 1.0)) as writer:
                writer.append(ScrapeRound(0.0, {"entry-1": series}))
            json.loads(path.read_text())
            added = path.stat().st_size
        text = page.decode()
        print(
            f"{count:>10}{len(page) / 1e3:>9.1f}{best_ms(metrics.render):>11.1f}"
            f"{best_ms(lambda text=text: parse_metrics_page(text)):>9.1f}"
            f"{added / 1e3:>12.1f}"
        )


if __name__ == "__main__":
    main()
