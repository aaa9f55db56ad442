"""Program ``carobstair-ticket``: checks, files and shows change tickets.

Exit statuses: 0 success; 1 refused, nothing was written; 2 invalid argument or
settings; 3 not in force on all instances; 4 no response, or outcome unknown. Of
``check``: 0 nothing found; 1 findings; 2 a file can't be read.
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
from typing import Annotated

from cyclopts import Parameter
from pydantic import Field

from carobstair.cli.config_check import check_documents, make_check_settings
from carobstair.cli.program import EXIT_FAILED, fail, make_app, read_settings, run
from carobstair.models import ModelError, TicketModel, encode_ticket, parse_model
from carobstair.settings import ProgramSettings, Section

__all__ = ["main"]

EXIT_NOT_IN_FORCE = 3
EXIT_OUTCOME_UNKNOWN = 4
REQUEST_TIMEOUT_S = 30.0
POLL_INTERVAL_S = 0.2
MAX_FILE_ATTEMPTS = 3
RETRY_S = 1.0

app = make_app("carobstair-ticket", "File and read change tickets.")


class OperatorSettings(Section):
    """Section ``[operator]``: address and credentials of the operator interface."""

    address: str = Field(pattern=r"^https?://\S+$")
    api_key: str = Field(min_length=1)


class TicketSettings(ProgramSettings):
    """All settings of ``carobstair-ticket``."""

    operator: OperatorSettings


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
    read_settings(settings, TicketSettings, check_settings)


@dataclass
class CallError(Exception):
    """A request that the router refused, or that got no response."""

    text: str
    ran: str = "unknown"

    @property
    def status(self) -> int:
        """Exit status of the program."""
        return EXIT_FAILED if self.ran == "no" else EXIT_OUTCOME_UNKNOWN


@app.command
def file(ticket: Path, *, settings: Path) -> None:
    """File a ticket from a JSON file and print its number.

    If the outcome is unknown, the ticket is filed again with the same submission id,
    so that it can't be filed twice.

    Parameters
    ----------
    ticket : Path
        JSON file; a submission_id is generated if it has none.
    settings : Path
        INI file.
    """
    loaded = _load_operator_settings(settings)
    model = _read_ticket(ticket)
    submission_id = model.submission_id or uuid.uuid4().hex
    data = encode_ticket(model.model_copy(update={"submission_id": submission_id}))
    for attempt in range(1, MAX_FILE_ATTEMPTS + 1):
        try:
            answer = _send_request(loaded, "POST", "/operator/tickets", data)
            _print_json({**answer, "submission_id": submission_id})
            return
        except CallError as error:
            if error.ran == "no" or attempt == MAX_FILE_ATTEMPTS:
                fail(f"{error.text} (submission_id {submission_id})", error.status)
        time.sleep(RETRY_S * attempt)


@app.command
def show(number: int, *, settings: Path) -> None:
    """Print a ticket that is in force."""
    _print_json(
        _get_or_exit(_load_operator_settings(settings), f"/operator/tickets/{number}")
    )


@app.command
def in_force(*, settings: Path) -> None:
    """Print the ticket number in force on each instance."""
    _print_json(_get_or_exit(_load_operator_settings(settings), "/operator/in-force"))


@app.command
def status(number: int, *, settings: Path, wait: float = 0.0) -> None:
    """Print the instances on which a ticket is in force, and their number.

    Exits with 3 if it is not in force on all instances.

    Parameters
    ----------
    number : int
        Number of the ticket.
    settings : Path
        INI file.
    wait : float
        Seconds to wait until it is in force on all instances.
    """
    loaded = _load_operator_settings(settings)
    deadline_s = time.monotonic() + wait
    while True:
        numbers = _get_or_exit(loaded, "/operator/in-force")["instances"]
        behind = {
            name: current for name, current in numbers.items() if current < number
        }
        if not behind or time.monotonic() >= deadline_s:
            break
        time.sleep(POLL_INTERVAL_S)
    _print_json(
        {
            "number": number,
            "in_force": f"{len(numbers) - len(behind)} of {len(numbers)} instances",
            "in_force_on": sorted(set(numbers) - set(behind)),
            "behind": behind,
        }
    )
    if behind:
        sys.exit(EXIT_NOT_IN_FORCE)


@app.command
def validate(ticket: Path) -> None:
    """Check a ticket without filing it."""
    _read_ticket(ticket)
    print(f"{ticket}: valid")


@app.command(name="check")
def check_document(
    document: Path,
    *,
    in_force: list[Path] | None = None,
    as_json: Annotated[bool, Parameter(name="--json")] = False,
    body_memory_bytes: int | None = None,
    retry_ratio: float | None = None,
    engines: list[str] | None = None,
    settings: Path | None = None,
) -> None:
    """Check a ticket or a routing configuration, and what it changes for callers.

    Parameters
    ----------
    document : Path
        JSON file.
    in_force : list of Path
        JSON file of the configuration or fleet state to compare with. The state is a
        snapshot, or all tickets in order, each with its own --in-force.
    as_json : bool
        Print the findings as JSON.
    body_memory_bytes : int
        Memory for request bodies of the smallest router; 64 MiB if nothing states it.
    retry_ratio : float
        Resends that the fleet allows, as a fraction of the requests.
    engines : list of str
        SERVICE=N, the number of engines of a service; one for each service.
    settings : Path
        Settings file of a router (TOML), for the figures that no option states.
    """
    figures = make_check_settings(
        settings, body_memory_bytes, retry_ratio, engines or ()
    )
    sys.exit(check_documents(document, in_force or (), as_json, figures))


def main() -> None:
    """Run the program."""
    run(app)


def _load_operator_settings(path: Path) -> OperatorSettings:
    return read_settings(path, TicketSettings).operator


def _read_ticket(path: Path) -> TicketModel:
    try:
        return parse_model(TicketModel, path.read_bytes())
    except (ModelError, OSError) as error:
        fail(f"{path}: {error}")


def _get_or_exit(settings: OperatorSettings, path: str):
    try:
        return _send_request(settings, "GET", path)
    except CallError as error:
        fail(error.text, error.status)


def _send_request(
    settings: OperatorSettings, method: str, path: str, data: bytes | None = None
):
    request = urllib.request.Request(
        settings.address.rstrip("/") + path,
        data=data,
        method=method,
        headers={"Authorization": f"Bearer {settings.api_key}"},
    )
    try:
        with urllib.request.urlopen(request, timeout=REQUEST_TIMEOUT_S) as response:
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


def _print_json(document) -> None:
    print(json.dumps(document, indent=2, sort_keys=True))


if __name__ == "__main__":
    main()
