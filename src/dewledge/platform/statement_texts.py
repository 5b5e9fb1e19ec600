"""Converts between statement texts on the wire and `Statement`."""

from dewledge.core.pooler.statements.statements import MalformedInput, Statement, StatementKind
from dewledge.platform.wire_words import (
    FIXED_TEXTS,
    READ_KEYWORD,
    STEP_DOWN_KEYWORD,
    STOP_REPLICATION_KEYWORD,
    WRITE_KEYWORD,
)

_IS_WRITE_BY_KEYWORD = {READ_KEYWORD: False, WRITE_KEYWORD: True}


def parse_text(statement_id: str, text: str) -> Statement | MalformedInput:
    """Parses a client's text; returns MalformedInput if it is not a known statement."""
    keyword, _, arguments = text.partition(" ")
    parsed = _parse(statement_id, text, keyword, arguments)
    if parsed is None:
        return MalformedInput(statement_id, "unknown statement")
    return parsed


def format_text(statement: Statement) -> str:
    """Returns the text to send to a database; reads and writes keep the client's text."""
    if statement.kind in (StatementKind.READ, StatementKind.WRITE):
        return statement.text
    if statement.kind is StatementKind.SET_VALUE:
        return f"SET {statement.name} {statement.argument}"
    if statement.kind is StatementKind.PREPARE:
        access = WRITE_KEYWORD if statement.writes else READ_KEYWORD
        return f"PARSE {statement.name} {access} {statement.argument}"
    if statement.kind is StatementKind.EXECUTE:
        return f"EXECUTE {statement.name} {statement.argument}"
    if statement.kind is StatementKind.DEALLOCATE:
        return f"CLOSE {statement.name}"
    if statement.kind is StatementKind.STEP_DOWN:
        return f"{STEP_DOWN_KEYWORD} {statement.argument}"
    if statement.kind is StatementKind.STOP_REPLICATION:
        return f"{STOP_REPLICATION_KEYWORD} {statement.argument}"
    return statement.text or FIXED_TEXTS[statement.kind]


def _parse(statement_id: str, text: str, keyword: str, arguments: str) -> Statement | None:
    if keyword == READ_KEYWORD and arguments:
        return Statement(statement_id, StatementKind.READ, text)
    if keyword == WRITE_KEYWORD and arguments:
        return Statement(statement_id, StatementKind.WRITE, text)
    if keyword == "EXECUTE":
        return _parse_named(statement_id, StatementKind.EXECUTE, arguments)
    if keyword == "SET":
        return _parse_named(statement_id, StatementKind.SET_VALUE, arguments)
    if keyword == "PARSE":
        return _parse_prepare(statement_id, arguments)
    if keyword == "CLOSE" and arguments:
        return Statement(statement_id, StatementKind.DEALLOCATE, name=arguments)
    for kind in (StatementKind.BEGIN, StatementKind.BEGIN_READ_ONLY):
        if text == FIXED_TEXTS[kind]:
            return Statement(statement_id, kind, text)
    for kind in (StatementKind.COMMIT, StatementKind.ROLLBACK):
        if text == FIXED_TEXTS[kind]:
            return Statement(statement_id, kind, text)
    return None


def _parse_named(statement_id: str, kind: StatementKind, arguments: str) -> Statement | None:
    name, _, argument = arguments.partition(" ")
    if not name:
        return None
    return Statement(statement_id, kind, name=name, argument=argument)


def _parse_prepare(statement_id: str, arguments: str) -> Statement | None:
    parts = arguments.split(" ", 2)
    if len(parts) != 3 or parts[1] not in _IS_WRITE_BY_KEYWORD or not parts[0]:
        return None
    return Statement(
        statement_id,
        StatementKind.PREPARE,
        name=parts[0],
        argument=parts[2],
        writes=_IS_WRITE_BY_KEYWORD[parts[1]],
    )
