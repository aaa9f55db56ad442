"""Shared by all programs: argument parsing, settings and exit statuses."""

from __future__ import annotations

import os
import sys
from collections.abc import Sequence
from pathlib import Path
from typing import NoReturn, TypeVar

import cyclopts

from carobstair import __version__
from carobstair.settings import (
    ProgramSettings,
    SettingsError,
    effective_settings,
    load_settings,
)

__all__ = ["EXIT_FAILED", "EXIT_USAGE", "fail", "make_app", "read_settings", "run"]

EXIT_FAILED = 1
EXIT_USAGE = 2

_Settings = TypeVar("_Settings", bound=ProgramSettings)


def make_app(name: str, help_text: str) -> cyclopts.App:
    """Return the argument parser of a program.

    Parameters
    ----------
    name : str
        Name of the program.
    help_text : str
        One-sentence description for ``--help``.
    """
    return cyclopts.App(name=name, help=help_text, version=__version__)


def run(app: cyclopts.App, arguments: Sequence[str] | None = None) -> None:
    """Parse the arguments and run; report an invalid argument in one line.

    Parameters
    ----------
    app : cyclopts.App
    arguments : sequence of str, optional
        Defaults to the arguments of the process.
    """
    try:
        app(arguments, exit_on_error=False, print_error=False, help_on_error=False)
    except cyclopts.CycloptsError as error:
        message = " ".join(str(error).split())
        fail(f"{app.name[0]}: {message} See --help.", EXIT_USAGE)
    except BrokenPipeError:
        # The reader of the pipe, such as head, has exited. Standard output is
        # redirected so that the interpreter doesn't flush into the closed pipe when
        # it exits.
        os.dup2(os.open(os.devnull, os.O_WRONLY), sys.stdout.fileno())
        sys.exit(EXIT_FAILED)


def read_settings(
    path: Path, model: type[_Settings], check_only: bool = False
) -> _Settings:
    """Return validated settings, or exit with a one-line error message.

    Parameters
    ----------
    path : Path
        INI file.
    model : type
        Settings class of the program.
    check_only : bool, optional
        Print the effective settings with secrets hidden, and exit with 0.
    """
    try:
        settings = load_settings(path, model)
    except SettingsError as error:
        fail(str(error), EXIT_USAGE)
    if check_only:
        print(effective_settings(settings))
        sys.exit(0)
    return settings


def fail(message: str, status: int = EXIT_FAILED) -> NoReturn:
    """Print one line to standard error and exit."""
    print(message, file=sys.stderr)
    sys.exit(status)
