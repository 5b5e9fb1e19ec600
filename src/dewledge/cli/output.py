"""What commands print: tables for people, JSON for programs, errors with their findings."""

import json
import sys
from collections.abc import Sequence
from enum import StrEnum
from typing import Any

import typer

from dewledge.errors import DewledgeError, ErrorCode, InvalidInput

EXIT_DONE = 0
EXIT_FAILED = 1
EXIT_BAD_INPUT = 2
EXIT_INTERRUPTED = 130

WIDTH_OF_FILES = 100_000
"""Columns of what is no terminal: lines are not broken there."""


class OutputFormat(StrEnum):
    """How results are printed."""

    TABLE = "table"
    JSON = "json"


class CommandFailed(DewledgeError):
    """A command whose message is already what its user needs to see."""

    def __init__(
        self, message: str, code: ErrorCode | None = None, exit_code: int = EXIT_FAILED
    ) -> None:
        super().__init__(message, code)
        self.exit_code = exit_code


def print_json(value: Any) -> None:
    """Prints a value as indented JSON."""
    typer.echo(json.dumps(value, indent=2, ensure_ascii=False))


def print_table(columns: Sequence[str], rows: Sequence[Sequence[Any]]) -> None:
    """Prints a table; cells are shown as plain text."""
    from rich.console import Console
    from rich.table import Table
    from rich.text import Text

    table = Table(box=None, pad_edge=False, header_style="bold")
    for column in columns:
        table.add_column(column, overflow="fold")
    for row in rows:
        table.add_row(*(Text(_cell(value)) for value in row))
    width = None if sys.stdout.isatty() else WIDTH_OF_FILES
    Console(file=sys.stdout, width=width).print(table)


def _cell(value: Any) -> str:
    if value is None:
        return "-"
    if isinstance(value, dict):
        return ",".join(f"{key}={_cell(item)}" for key, item in value.items())
    if isinstance(value, list):
        return ",".join(_cell(item) for item in value)
    return str(value)


def print_error(error: Exception) -> int:
    """Prints an error to standard error and returns the exit code that goes with it."""
    if isinstance(error, InvalidInput):
        for finding in error.findings:
            typer.echo(str(finding), err=True)
        return EXIT_BAD_INPUT
    if isinstance(error, CommandFailed):
        typer.echo(f"{error.code}: {error.message}", err=True)
        return error.exit_code
    if isinstance(error, DewledgeError):
        typer.echo(f"{error.code}: {error.message}", err=True)
        return EXIT_FAILED
    typer.echo(f"{ErrorCode.INTERNAL}: {type(error).__name__}: {error}", err=True)
    return EXIT_FAILED
