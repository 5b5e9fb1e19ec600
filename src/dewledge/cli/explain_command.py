"""`dewledge explain`: one statement's way out of the logs of one or more processes."""

import sys
from pathlib import Path
from typing import Annotated

import typer

from dewledge.cli.check import read_text
from dewledge.cli.output import CommandFailed
from dewledge.errors import ErrorCode


def explain(
    statement: Annotated[str, typer.Argument(help="Id of the statement.")] = "",
    log: Annotated[
        list[Path] | None,
        typer.Option("--log", "-l", help="Log of one process; may be repeated. None: input."),
    ] = None,
    slow: Annotated[int, typer.Option(help="Explain the slowest statements, so many.")] = 0,
    failed: Annotated[bool, typer.Option("--failed", help="Explain all that failed.")] = False,
) -> None:
    """Explain a statement from log lines.

    Lines of one process keep their order; processes are matched by what they told each other, not
    by their clocks.
    """
    from dewledge.explain import report
    from dewledge.explain.log_lines import LogRecord, parse_lines

    if not (statement or slow or failed):
        raise CommandFailed("name a statement, --slow or --failed", ErrorCode.MALFORMED_REQUEST)
    texts = {path.stem: read_text(path) for path in log or []}
    if not texts:
        texts = {"input": sys.stdin.read()}
    logs = {name: parse_lines(name, text.splitlines()) for name, text in texts.items()}
    lines: list[LogRecord] = []
    if statement:
        lines += report.find(logs, statement)
    if slow:
        lines += report.slowest(logs, slow)
    if failed:
        lines += report.failed(logs)
    if not lines:
        raise CommandFailed("no such statement in these logs", ErrorCode.NOT_FOUND)
    typer.echo("\n\n".join(report.explain(logs, line) for line in lines))
