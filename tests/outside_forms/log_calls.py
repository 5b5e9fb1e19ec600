"""The log lines whose names stand as text in the sources: their names, levels and field names."""

import ast
import re
from collections.abc import Collection, Iterator
from pathlib import Path

LEVELS = {"debug", "info", "warning", "error", "exception", "critical"}
EVENT = re.compile(r"^[a-z]+(_[a-z]+)+$")


def log_calls(folder: Path, event_calls: Collection[str]) -> list[str]:
    """Returns a line for each event.

    event_calls: the names of what the core calls for a log line, besides loguru's logger.
    """
    found = set()
    for path in sorted(folder.rglob("*.py")):
        tree = ast.parse(path.read_text())
        for scope in ast.walk(tree):
            if isinstance(scope, ast.FunctionDef):
                found.update(_calls_of(scope, event_calls))
            if isinstance(scope, ast.JoinedStr):
                found.update(_written_line(scope))
    return sorted(found)


def _calls_of(scope: ast.FunctionDef, event_calls: Collection[str]) -> Iterator[str]:
    values = {
        target.id: node.value
        for node in ast.walk(scope)
        if isinstance(node, ast.Assign)
        for target in node.targets
        if isinstance(target, ast.Name)
    }
    for node in ast.walk(scope):
        if not isinstance(node, ast.Call) or not node.args:
            continue
        for name in _names(node.args[0], values):
            line = _line(name, node, values, event_calls)
            if line is not None:
                yield line


def _written_line(text: ast.JoinedStr) -> list[str]:
    """Returns a line that the sources write as a whole."""
    parts = [part.value if isinstance(part, ast.Constant) else "{}" for part in text.values]
    shown = "".join(str(part) for part in parts)
    return [f"whole line: {shown}"] if shown.startswith("level=") else []


def _names(node: ast.expr, values: dict[str, ast.expr]) -> list[str]:
    if isinstance(node, ast.IfExp):
        return _names(node.body, values) + _names(node.orelse, values)
    if isinstance(node, ast.Name) and node.id in values:
        return _names(values[node.id], {})
    if isinstance(node, ast.Constant) and isinstance(node.value, str) and EVENT.match(node.value):
        return [node.value]
    return []


def _line(
    name: str, call: ast.Call, values: dict[str, ast.expr], event_calls: Collection[str]
) -> str | None:
    function = call.func
    if isinstance(function, ast.Name) and function.id in event_calls:
        return _text(name, "info", _pairs(call.args[1:], values))
    if not isinstance(function, ast.Attribute):
        return None
    if function.attr in event_calls:
        return _text(name, "info", [*_keywords(call), *_pairs(call.args[1:], values)])
    if function.attr in LEVELS and "logger" in ast.unparse(function.value):
        bound = function.value
        return _text(name, function.attr, _keywords(bound) if isinstance(bound, ast.Call) else [])
    return None


def _keywords(call: ast.Call) -> list[str]:
    return [keyword.arg or "*" for keyword in call.keywords]


def _pairs(nodes: list[ast.expr], values: dict[str, ast.expr]) -> list[str]:
    """Returns the first text of each pair, of pairs in any depth of tuples and variables."""
    found: list[str] = []
    for node in nodes:
        if isinstance(node, ast.Name) and node.id in values:
            found += _pairs([values[node.id]], {})
        elif isinstance(node, ast.Tuple) and node.elts:
            first = node.elts[0]
            if isinstance(first, ast.Constant) and isinstance(first.value, str):
                found.append(first.value)
            else:
                found += _pairs(node.elts, values)
        elif isinstance(node, ast.Starred):
            found += _pairs([node.value], values)
    return found


def _text(name: str, level: str, fields: list[str]) -> str:
    return f"{name} level={level} fields={','.join(fields)}"
