"""Program ``carobstair-report``: reports service level burn rates of the fleet."""

from __future__ import annotations

import asyncio
import contextlib
import time
from dataclasses import dataclass
from pathlib import Path
from typing import Annotated

import cyclopts

from carobstair.cli.program import EXIT_FAILED, fail, make_app, read_settings
from carobstair.cli.program import run as run_program
from carobstair.report.burn import DAY_S, make_report
from carobstair.report.explain import explain as explain_request
from carobstair.report.explain import read_lines
from carobstair.report.history import (
    History,
    HistoryLocked,
    HistoryWriter,
    read_history,
)
from carobstair.report.render import render_html, render_json, render_text
from carobstair.report.scrape import scrape_all
from carobstair.report.settings import ReportSettings

__all__ = ["main"]

app = make_app("carobstair-report", "Report burn rates and budgets of the fleet.")


@cyclopts.Parameter(name="*")
@dataclass(frozen=True)
class OutputOptions:
    """Options for the output of the report.

    Attributes
    ----------
    as_json : bool
        Print JSON instead of text.
    html : Path, optional
        Also write one self-contained HTML page to this file.
    everything : bool
        Include rows without a bad event.
    """

    as_json: Annotated[bool, cyclopts.Parameter(name="--json")] = False
    html: Path | None = None
    everything: Annotated[bool, cyclopts.Parameter(name="--all")] = False


@app.default
def check(*, settings: Path, check_settings: bool = False) -> None:
    """Check the settings; everything else requires a command.

    Parameters
    ----------
    settings : Path
        INI file.
    check_settings : bool
        Print the effective settings with secrets hidden.
    """
    read_settings(settings, ReportSettings, check_settings)


@app.command
def collect(history: Path, *, settings: Path, seconds: float | None = None) -> None:
    """Scrape all routers periodically and append the scrapes to a history file.

    Parameters
    ----------
    history : Path
        JSON-lines file.
    settings : Path
        INI file.
    seconds : float, optional
        How long to collect; until interrupted if not given.
    """
    loaded = read_settings(settings, ReportSettings)
    try:
        writer = HistoryWriter(history, loaded.report.history_days * DAY_S)
        with contextlib.closing(writer):
            asyncio.run(_collect(loaded, writer, seconds))
    except HistoryLocked as error:
        fail(f"{history}: {error}", EXIT_FAILED)
    except OSError as error:
        fail(f"{history}: {error.strerror}", EXIT_FAILED)
    except KeyboardInterrupt:
        pass


@app.command
def show(history: Path, *, settings: Path, output: OutputOptions | None = None) -> None:
    """Print a report of a history file.

    Parameters
    ----------
    history : Path
        JSON-lines file written by collect.
    settings : Path
        INI file.
    """
    loaded = read_settings(settings, ReportSettings)
    try:
        scrape_history = read_history(history)
    except OSError as error:
        fail(f"{history}: {error.strerror}", EXIT_FAILED)
    _print_report(scrape_history, loaded, output or OutputOptions())


@app.command
def once(
    *, settings: Path, seconds: float = 30.0, output: OutputOptions | None = None
) -> None:
    """Print a report of two scrapes.

    Parameters
    ----------
    settings : Path
        INI file.
    seconds : float
        Time between the scrapes.
    """
    loaded = read_settings(settings, ReportSettings)
    scrape_history = History()
    scrape_history.add(asyncio.run(scrape_all(loaded.report)))
    time.sleep(max(0.0, seconds))
    scrape_history.add(asyncio.run(scrape_all(loaded.report)))
    _print_report(scrape_history, loaded, output or OutputOptions())


@app.command
def explain(request_id: str, *logs: Path) -> None:
    """Print a timeline of one request from the logs of several processes.

    Parameters
    ----------
    request_id : str
        Request id as sent by the caller.
    logs : Path
        Log files; each is named after its process unless its lines name the process.
    """
    lines = []
    for path in logs:
        try:
            with path.open(encoding="utf-8", errors="replace") as file:
                lines += read_lines(path.stem, file)
        except OSError as error:
            fail(f"{path}: {error.strerror}", EXIT_FAILED)
    for text in explain_request(request_id, lines):
        print(text)


def main() -> None:
    """Run the program."""
    run_program(app)


async def _collect(
    settings: ReportSettings, writer: HistoryWriter, seconds: float | None
) -> None:
    start_s = time.monotonic()
    rounds = 0
    while True:
        writer.append(await scrape_all(settings.report))
        rounds += 1
        next_s = start_s + rounds * settings.report.interval_s
        if seconds is not None and next_s > start_s + seconds:
            return
        await asyncio.sleep(max(0.0, next_s - time.monotonic()))


def _print_report(
    history: History, settings: ReportSettings, output: OutputOptions
) -> None:
    report = make_report(history, settings)
    if output.html is not None:
        try:
            output.html.write_text(render_html(report), encoding="utf-8")
        except OSError as error:
            fail(f"{output.html}: {error.strerror}", EXIT_FAILED)
    text = render_json(report) if output.as_json else None
    print(text or render_text(report, output.everything))


if __name__ == "__main__":
    main()
