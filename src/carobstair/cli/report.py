"""Program ``carobstair-report``: service level burn of the fleet."""

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
from carobstair.report.history import History, HistoryBusy, HistoryWriter, read_history
from carobstair.report.render import render_html, render_json, render_text
from carobstair.report.scrape import scrape_all
from carobstair.report.settings import ReportSettings

__all__ = ["main"]

app = make_app("carobstair-report", "Report burn rates and budgets of the fleet.")


@cyclopts.Parameter(name="*")
@dataclass(frozen=True)
class Output:
    """How the report is shown.

    Attributes
    ----------
    as_json : bool
        Print JSON instead of text.
    html : Path, optional
        Also write one self-contained HTML page to this file.
    everything : bool
        Also list rows without a bad event.
    """

    as_json: Annotated[bool, cyclopts.Parameter(name="--json")] = False
    html: Path | None = None
    everything: Annotated[bool, cyclopts.Parameter(name="--all")] = False


@app.default
def check(*, settings: Path, check_settings: bool = False) -> None:
    """Check the settings; a command is needed for all else.

    Parameters
    ----------
    settings : Path
        INI file.
    check_settings : bool
        Print the settings in effect, secrets hidden.
    """
    read_settings(settings, ReportSettings, check_settings)


@app.command
def collect(history: Path, *, settings: Path, seconds: float | None = None) -> None:
    """Scrape all routers at intervals and append the scrapes to a history file.

    Parameters
    ----------
    history : Path
        JSON-lines file.
    settings : Path
        INI file.
    seconds : float, optional
        How long to collect; until ended if not given.
    """
    loaded = read_settings(settings, ReportSettings)
    try:
        writer = HistoryWriter(history, loaded.report.history_days * DAY_S)
        with contextlib.closing(writer):
            asyncio.run(_collect(loaded, writer, seconds))
    except HistoryBusy as error:
        fail(f"{history}: {error}", EXIT_FAILED)
    except OSError as error:
        fail(f"{history}: {error.strerror}", EXIT_FAILED)
    except KeyboardInterrupt:
        pass


@app.command
def show(history: Path, *, settings: Path, output: Output | None = None) -> None:
    """Report from a history file.

    Parameters
    ----------
    history : Path
        JSON-lines file that collect wrote.
    settings : Path
        INI file.
    """
    loaded = read_settings(settings, ReportSettings)
    try:
        found = read_history(history)
    except OSError as error:
        fail(f"{history}: {error.strerror}", EXIT_FAILED)
    _show(found, loaded, output or Output())


@app.command
def once(
    *, settings: Path, seconds: float = 30.0, output: Output | None = None
) -> None:
    """Report from two scrapes.

    Parameters
    ----------
    settings : Path
        INI file.
    seconds : float
        Time between the scrapes.
    """
    loaded = read_settings(settings, ReportSettings)
    found = History()
    found.add(asyncio.run(scrape_all(loaded.report)))
    time.sleep(max(0.0, seconds))
    found.add(asyncio.run(scrape_all(loaded.report)))
    _show(found, loaded, output or Output())


@app.command
def explain(request_id: str, *logs: Path) -> None:
    """Tell the story of one request from the logs of several processes.

    Parameters
    ----------
    request_id : str
        As the caller sent it.
    logs : Path
        Log files; a file's name is that of its process unless lines name it.
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
    begin_s = time.monotonic()
    number = 0
    while True:
        writer.append(await scrape_all(settings.report))
        number += 1
        next_s = begin_s + number * settings.report.interval_s
        if seconds is not None and next_s > begin_s + seconds:
            return
        await asyncio.sleep(max(0.0, next_s - time.monotonic()))


def _show(history: History, settings: ReportSettings, output: Output) -> None:
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
