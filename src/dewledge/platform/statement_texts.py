"""Converts between statement texts on the wire and `Statement`."""

from dewledge.core.pooler.statements.statements import MalformedInput, Statement, StatementKind
from dewledge.platform.wire_words import OWN_TEXTS, READ_WORD, STEP_DOWN_WORD, WRITE_WORD

_ACCESS = {READ_WORD: False, WRITE_WORD: True}


def parse_text(statement_id: str, text: str) -> Statement | MalformedInput:
    """Parses a client's text; returns MalformedInput if it is not a known statement."""
    word, _, rest = text.partition(" ")
    parsed = _parse(statement_id, text, word, rest)
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
        access = WRITE_WORD if statement.writes else READ_WORD
        return f"PARSE {statement.name} {access} {statement.argument}"
    if statement.kind is StatementKind.EXECUTE:
        return f"EXECUTE {statement.name} {statement.argument}"
    if statement.kind is StatementKind.DEALLOCATE:
        return f"CLOSE {statement.name}"
    if statement.kind is StatementKind.STEP_DOWN:
        return f"{STEP_DOWN_WORD} {statement.argument}"
    return statement.text or OWN_TEXTS[statement.kind]


def _parse(statement_id: str, text: str, word: str, rest: str) -> Statement | None:
    if word == READ_WORD and rest:
        return Statement(statement_id, StatementKind.READ, text)
    if word == WRITE_WORD and rest:
        return Statement(statement_id, StatementKind.WRITE, text)
    if word == "EXECUTE":
        return _named(statement_id, StatementKind.EXECUTE, rest)
    if word == "SET":
        return _named(statement_id, StatementKind.SET_VALUE, rest)
    if word == "PARSE":
        return _prepare(statement_id, rest)
    if word == "CLOSE" and rest:
        return Statement(statement_id, StatementKind.DEALLOCATE, name=rest)
    for kind in (StatementKind.BEGIN, StatementKind.BEGIN_READ_ONLY):
        if text == OWN_TEXTS[kind]:
            return Statement(statement_id, kind, text)
    for kind in (StatementKind.COMMIT, StatementKind.ROLLBACK):
        if text == OWN_TEXTS[kind]:
            return Statement(statement_id, kind, text)
    return None


def _named(statement_id: str, kind: StatementKind, rest: str) -> Statement | None:
    name, _, argument = rest.partition(" ")
    if not name:
        return None
    return Statement(statement_id, kind, name=name, argument=argument)


def _prepare(statement_id: str, rest: str) -> Statement | None:
    parts = rest.split(" ", 2)
    if len(parts) != 3 or parts[1] not in _ACCESS or not parts[0]:
        return None
    return Statement(
        statement_id,
        StatementKind.PREPARE,
        name=parts[0],
        argument=parts[2],
        writes=_ACCESS[parts[1]],
    )
