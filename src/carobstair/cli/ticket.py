"""Program ``carobstair-ticket``: file change tickets and read what is in force.

Exit statuses: 0 done; 1 refused, and nothing was written; 2 wrong argument or
settings; 3 not in force on every instance; 4 no answer, or an outcome that is
not known.
"""

from __future__ import annotations

import http.client
import json
import sys
import time
import urllib.error
import urllib.request
import uuid
from dataclasses import dataclass
from pathlib import Path

from pydantic import Field

from carobstair.cli.program import EXIT_FAILED, fail, make_app, read_settings, run
from carobstair.models import ModelError, TicketModel, encode_ticket, parse_model
from carobstair.settings import ProgramSettings, Section

__all__ = ["main"]

EXIT_BEHIND = 3
EXIT_UNKNOWN = 4
TIMEOUT_S = 30.0
WAIT_STEP_S = 0.2
FILE_ATTEMPTS = 3
RETRY_S = 1.0

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


@dataclass
class CallError(Exception):
    """A call that the router refused, or that had no answer."""

    text: str
    ran: str = "unknown"

    @property
    def status(self) -> int:
        """Exit status of the program."""
        return EXIT_FAILED if self.ran == "no" else EXIT_UNKNOWN


@app.command
def file(ticket: Path, *, settings: Path) -> None:
    """File a ticket from a JSON file and print its number.

    An outcome that is not known is settled by filing again with the same
    submission id, which cannot file the ticket twice.

    Parameters
    ----------
    ticket : Path
        JSON file; without a submission_id it gets one.
    settings : Path
        INI file.
    """
    loaded = _load(settings)
    model = _read_ticket(ticket)
    submission_id = model.submission_id or uuid.uuid4().hex
    data = encode_ticket(model.model_copy(update={"submission_id": submission_id}))
    for attempt in range(1, FILE_ATTEMPTS + 1):
        try:
            answer = _call(loaded, "POST", "/operator/tickets", data)
            _print({**answer, "submission_id": submission_id})
            return
        except CallError as error:
            if error.ran == "no" or attempt == FILE_ATTEMPTS:
                fail(f"{error.text} (submission_id {submission_id})", error.status)
        time.sleep(RETRY_S * attempt)


@app.command
def show(number: int, *, settings: Path) -> None:
    """Print a ticket that is in force."""
    _print(_read(_load(settings), f"/operator/tickets/{number}"))


@app.command
def in_force(*, settings: Path) -> None:
    """Print the number in force on each instance."""
    _print(_read(_load(settings), "/operator/in-force"))


@app.command
def status(number: int, *, settings: Path, wait: float = 0.0) -> None:
    """Print on how many and which instances a ticket is in force.

    Ends with 3 if it is not in force on all.

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
        found = _read(loaded, "/operator/in-force")["instances"]
        behind = {name: held for name, held in found.items() if held < number}
        if not behind or time.monotonic() >= until_s:
            break
        time.sleep(WAIT_STEP_S)
    _print(
        {
            "number": number,
            "in_force": f"{len(found) - len(behind)} of {len(found)} instances",
            "in_force_on": sorted(set(found) - set(behind)),
            "behind": behind,
        }
    )
    if behind:
        sys.exit(EXIT_BEHIND)


@app.command
def validate(ticket: Path) -> None:
    """Check a ticket without filing it."""
    _read_ticket(ticket)
    print(f"{ticket}: valid")


def main() -> None:
    """Run the program."""
    run(app)


def _load(path: Path) -> OperatorSettings:
    return read_settings(path, TicketSettings).operator


def _read_ticket(path: Path) -> TicketModel:
    try:
        return parse_model(TicketModel, path.read_bytes())
    except (ModelError, OSError) as error:
        fail(f"{path}: {error}")


def _read(settings: OperatorSettings, path: str):
    try:
        return _call(settings, "GET", path)
    except CallError as error:
        fail(error.text, error.status)


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
        raise _to_call_error(error) from error
    except (OSError, ValueError, http.client.HTTPException) as error:
        raise CallError(f"{settings.address}: {error}") from error


def _to_call_error(error: urllib.error.HTTPError) -> CallError:
    try:
        problem = json.load(error)
        kind = problem["type"].rpartition(":")[2]
        text = f"{error.code} {kind}: {problem['title']}. {problem['detail']}"
        return CallError(text.strip(), problem["ran"])
    except (ValueError, KeyError, TypeError, OSError):
        return CallError(f"status {error.code}")


def _print(document) -> None:
    print(json.dumps(document, indent=2, sort_keys=True))


if __name__ == "__main__":
    main()
