"""Program ``carobstair-load``: generates open-loop load on a fleet."""

from __future__ import annotations

import asyncio
import json
import sys
from pathlib import Path
from typing import Annotated

import cyclopts

from carobstair.cli.program import EXIT_FAILED, make_app, read_settings
from carobstair.cli.program import run as run_program
from carobstair.load.runner import Progress, run_load
from carobstair.load.settings import LoadSettings

__all__ = ["main"]

app = make_app("carobstair-load", "Send open-loop load and measure the answers.")


@app.default
def send(
    *,
    settings: Path,
    check_settings: bool = False,
    as_json: Annotated[bool, cyclopts.Parameter(name="--json")] = False,
    quiet: bool = False,
) -> None:
    """Send the planned load; exit with 1 if an answer was cut or incomplete.

    Parameters
    ----------
    settings : Path
        INI file.
    check_settings : bool
        Print the effective settings with secrets hidden, and exit.
    as_json : bool
        Print JSON instead of a table.
    quiet : bool
        Don't print progress to standard error.
    """
    loaded = read_settings(settings, LoadSettings, check_settings)
    progress = _discard_progress if quiet else _print_progress
    results = asyncio.run(run_load(loaded, progress))
    text = json.dumps(results.document(), indent=2) if as_json else results.table()
    print(text)
    if results.faults():
        sys.exit(EXIT_FAILED)


def main() -> None:
    """Run the program."""
    run_program(app)


def _discard_progress(progress: Progress) -> None:
    pass


def _print_progress(progress: Progress) -> None:
    counts = ", ".join(
        f"{count} {name}" for name, count in sorted(progress.results.results().items())
    )
    print(
        f"{progress.elapsed_s:.0f} s: sent {progress.sent}, open {progress.open}"
        f"{', ' if counts else ''}{counts}",
        file=sys.stderr,
    )


if __name__ == "__main__":
    main()
