"""`dewledge explain`: one statement's way out of the logs of one or more processes."""

import sys
from collections.abc import Sequence
from pathlib import Path
from typing import Annotated

import typer

from dewledge.cli.check import read_text
from dewledge.cli.output import CommandFailed
from dewledge.errors import ErrorCode
from dewledge.explain.ended_processes import find_ended
from dewledge.explain.log_lines import LogRecord, parse_lines, split_processes
from dewledge.explain.lost_report import LostBy, lost_json, lost_text
from dewledge.explain.waits import sum_waits, waits_json, waits_text


def explain(
    statement: Annotated[str, typer.Argument(help="Id of the statement.")] = "",
    log: Annotated[
        list[Path] | None,
        typer.Option(
            "--log", "-l", help="Log of one process or collected of many; may be repeated."
        ),
    ] = None,
    slow: Annotated[int, typer.Option(help="Explain the slowest statements, so many.")] = 0,
    failed: Annotated[bool, typer.Option("--failed", help="Explain all that failed.")] = False,
    lost: Annotated[
        bool, typer.Option("--lost", help="Sum up what was refused, late or broken.")
    ] = False,
    by: Annotated[LostBy, typer.Option(help="With --lost: what the sums are of.")] = LostBy.CAUSE,
    examples: Annotated[int, typer.Option(help="With --lost: statements shown of each cause.")] = 3,
    waits: Annotated[
        bool, typer.Option("--waits", help="Sum up how good the expected waits were, by group.")
    ] = False,
    as_json: Annotated[bool, typer.Option("--json", help="With --lost or --waits: JSON.")] = False,
) -> None:
    """Explain a statement, or what was lost, from log lines.

    Lines of one process keep their order; processes are matched by what they told each other, not
    by their clocks. A collected log has a process's name before each line's first field. Without
    a log the input is read.
    """
    from dewledge.explain import report
    from dewledge.explain.lost import find_lost

    if not (statement or slow or failed or lost or waits):
        message = "name a statement, --slow, --failed, --lost or --waits"
        raise CommandFailed(message, ErrorCode.MALFORMED_REQUEST)
    _refuse_log_as_argument(statement, lost or waits)
    logs = _read_logs(log or [])
    if waits:
        sums = sum_waits(logs)
        typer.echo(waits_json(sums) if as_json else waits_text(sums))
        return
    if lost:
        found, ended = find_lost(logs), find_ended(logs)
        as_text = lost_text(found, by, examples, ended)
        typer.echo(lost_json(found, by, ended) if as_json else as_text)
        return
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


def _refuse_log_as_argument(argument: str, is_sum: bool) -> None:
    """The argument is a statement's id; sums have none. Raises CommandFailed."""
    if argument and (is_sum or Path(argument).is_file()):
        message = f"argument 1, {argument!r}: a log is given as --log {argument}"
        raise CommandFailed(message, ErrorCode.MALFORMED_REQUEST)


def _read_logs(paths: Sequence[Path]) -> dict[str, Sequence[LogRecord]]:
    """Returns the records by process. Raises CommandFailed where there is none at all."""
    texts = {path.stem: read_text(path) for path in paths}
    if not texts:
        texts = {"input": sys.stdin.read()}
    lines: dict[str, list[str]] = {}
    for name, text in texts.items():
        for process, found in split_processes(name, text.splitlines()).items():
            lines.setdefault(process, []).extend(found)
    logs = {name: parse_lines(name, found) for name, found in lines.items()}
    if not any(logs.values()):
        message = f"no line of a log in {', '.join(texts)}"
        raise CommandFailed(message, ErrorCode.MALFORMED_REQUEST)
    return logs
