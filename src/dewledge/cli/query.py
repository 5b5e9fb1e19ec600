"""`dewledge query`: one statement of a caller, from the shell."""

import json
import os
from pathlib import Path
from typing import Annotated, Any

import typer

from dewledge.cli.http_client import AnswerLost, HttpAnswer, ProxyClient
from dewledge.cli.options import DEFAULT_PROXIES, OutputOption, ProxyOption, TokenOption
from dewledge.cli.output import (
    EXIT_BAD_INPUT,
    EXIT_FAILED,
    CommandFailed,
    OutputFormat,
    print_json,
    print_table,
)
from dewledge.core.proxy.calls import Access, Outcome
from dewledge.core.shared.units import MILLISECONDS_PER_SECOND
from dewledge.errors import ErrorCode, InvalidInput

ANSWER_GRACE = 2.0
"""Seconds after the deadline in which the proxy's own answer may still come."""


BAD_REQUEST = 400


def query(
    sql: Annotated[str, typer.Argument(help="The statement; ? stands for a parameter.")],
    group: Annotated[str, typer.Option("--group", "-g", help="Database group to ask.")],
    parameter: Annotated[
        list[str] | None,
        typer.Option("--parameter", "-p", help="A parameter, as JSON; else taken as text."),
    ] = None,
    write: Annotated[
        bool, typer.Option("--write", "-w", help="The statement may change data.")
    ] = False,
    key: Annotated[
        str | None,
        typer.Option("--key", help="Idempotency key: repeats of this write run at most once."),
    ] = None,
    session_file: Annotated[
        Path | None,
        typer.Option("--session-file", help="Keeps the session, to read your own writes."),
    ] = None,
    deadline: Annotated[
        float, typer.Option("--deadline", min=0.001, help="Seconds to wait for the answer.")
    ] = 5.0,
    proxy: ProxyOption = DEFAULT_PROXIES,
    token: TokenOption = "",
    output: OutputOption = OutputFormat.TABLE,
) -> None:
    """Run one SQL statement and print its rows.

    Exits with 0 only if the outcome is done; says whether it surely did not run or is unknown.
    """
    body: dict[str, Any] = {
        "group": group,
        "sql": sql,
        "parameters": [_parameter(text) for text in parameter or []],
        "access": str(Access.WRITE if write else Access.READ),
        "deadline_ms": max(1, round(deadline * MILLISECONDS_PER_SECOND)),
    }
    session = _read_session(session_file)
    if session:
        body["session"] = session
    if key is not None:
        body["idempotency_key"] = key
    with ProxyClient(proxy, token) as client:
        answer = _ask(client, body, deadline + ANSWER_GRACE)
    _write_session(session_file, answer.body.get("session"))
    _print_answer(answer, output)


def _ask(client: ProxyClient, body: dict[str, Any], timeout: float) -> HttpAnswer:
    try:
        return client.post("/v1/statements", body, timeout)
    except AnswerLost as error:
        message = f"unknown: the statement may or may not have run: {error.message}"
        raise CommandFailed(message, error.code) from error


def _parameter(text: str) -> str | int | float | bool | None:
    try:
        value = json.loads(text)
    except ValueError:
        return text
    if value is None or isinstance(value, str | int | float | bool):
        return value
    return text


def _print_answer(answer: HttpAnswer, output: OutputFormat) -> None:
    if output is OutputFormat.JSON:
        print_json(answer.body)
    if answer.outcome is not Outcome.DONE:
        raise _failure(answer)
    if output is OutputFormat.JSON:
        return
    columns = answer.body.get("columns") or []
    if columns:
        print_table(columns, answer.body.get("rows") or [])
    repeated = " repeated" if answer.body.get("repeated") else ""
    typer.echo(
        f"done affected={answer.body.get('affected') or 0} "
        f"served_by={answer.body.get('served_by')}{repeated}"
    )


def _failure(answer: HttpAnswer) -> Exception:
    if answer.findings:
        return InvalidInput(answer.findings)
    effect = "did not run" if answer.outcome is Outcome.NOT_RUN else "may or may not have run"
    message = f"{answer.outcome}: the statement {effect}: {answer.message}"
    retry_after = answer.body.get("retry_after_ms")
    if retry_after:
        message += f"; come back in {retry_after} ms"
    exit_code = EXIT_BAD_INPUT if answer.status == BAD_REQUEST else EXIT_FAILED
    return CommandFailed(message, answer.code or ErrorCode.PROTOCOL, exit_code)


def _read_session(file: Path | None) -> str:
    if file is None or not file.exists():
        return ""
    return file.read_text(encoding="utf-8").strip()


def _write_session(file: Path | None, session: object) -> None:
    """Replaces the file at once, so that a killed command leaves the old session whole."""
    if file is None or not isinstance(session, str):
        return
    temporary = file.with_name(f"{file.name}.{os.getpid()}.new")
    descriptor = os.open(temporary, os.O_WRONLY | os.O_CREAT | os.O_TRUNC, 0o600)
    with os.fdopen(descriptor, "w", encoding="utf-8") as stream:
        stream.write(session + "\n")
    os.replace(temporary, file)
