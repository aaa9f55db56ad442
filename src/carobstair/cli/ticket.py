"""Program ``carobstair-ticket``: file change tickets and read what is in force."""

from __future__ import annotations

import json
import sys
import time
import urllib.error
import urllib.request
from pathlib import Path

from pydantic import Field

from carobstair.cli.program import make_app, read_settings, run
from carobstair.models import ModelError, TicketModel, parse_model
from carobstair.settings import ProgramSettings, Section

__all__ = ["main"]

EXIT_REFUSED = 1
TIMEOUT_S = 30.0
WAIT_STEP_S = 0.2

app = make_app("carobstair-ticket", "File and read change tickets.")


class OperatorSettings(Section):
    """Section ``[operator]``: where and as whom to file."""

    address: str = Field(pattern=r"^https?://\S+$")
    api_key: str = Field(min_length=1)


class TicketSettings(ProgramSettings):
    """All settings of ``carobstair-ticket``."""

    operator: OperatorSettings


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
    read_settings(settings, TicketSettings, check_settings)


@app.command
def file(ticket: Path, *, settings: Path) -> None:
    """File a ticket from a JSON file and print its number."""
    _print(_call(_load(settings), "POST", "/operator/tickets", ticket.read_bytes()))


@app.command
def show(number: int, *, settings: Path) -> None:
    """Print a ticket that is in force."""
    _print(_call(_load(settings), "GET", f"/operator/tickets/{number}"))


@app.command
def in_force(*, settings: Path) -> None:
    """Print the number in force on each instance."""
    _print(_call(_load(settings), "GET", "/operator/in-force"))


@app.command
def status(number: int, *, settings: Path, wait: float = 0.0) -> None:
    """Print on which instances a ticket is in force; fail if not on all.

    Parameters
    ----------
    number : int
        Number of the ticket.
    settings : Path
        INI file.
    wait : float
        Seconds to wait for it.
    """
    loaded = _load(settings)
    until_s = time.monotonic() + wait
    while True:
        found = _call(loaded, "GET", "/operator/in-force")["instances"]
        behind = sorted(name for name, held in found.items() if held < number)
        if not behind or time.monotonic() >= until_s:
            break
        time.sleep(WAIT_STEP_S)
    in_force_on = sorted(set(found) - set(behind))
    _print({"number": number, "in_force_on": in_force_on, "behind": behind})
    if behind:
        sys.exit(EXIT_REFUSED)


@app.command
def validate(ticket: Path) -> None:
    """Check a ticket without filing it."""
    try:
        parse_model(TicketModel, ticket.read_bytes())
    except ModelError as error:
        print(f"{ticket}: {error}", file=sys.stderr)
        sys.exit(EXIT_REFUSED)
    print(f"{ticket}: valid")


def main() -> None:
    """Run the program."""
    run(app)


def _load(path: Path) -> OperatorSettings:
    return read_settings(path, TicketSettings).operator


def _call(
    settings: OperatorSettings, method: str, path: str, data: bytes | None = None
):
    request = urllib.request.Request(
        settings.address.rstrip("/") + path,
        data=data,
        method=method,
        headers={"Authorization": f"Bearer {settings.api_key}"},
    )
    try:
        with urllib.request.urlopen(request, timeout=TIMEOUT_S) as response:
            return json.load(response)
    except urllib.error.HTTPError as error:
        print(error.read().decode("utf-8", "replace"), file=sys.stderr)
    except OSError as error:
        print(f"{settings.address}: {error}", file=sys.stderr)
    sys.exit(EXIT_REFUSED)


def _print(document) -> None:
    print(json.dumps(document, indent=2, sort_keys=True))


if __name__ == "__main__":
    main()
