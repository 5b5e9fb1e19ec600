"""Reads and writes the table of constants in docs/CAPACITY.md.

The table has a row for each finite numeric constant of `core`, and for those of other folders that
the page lists already. `python -m tests.decisions_page` takes modules, names, values and units from
the sources and keeps the origins, also where a constant has a new name: the rows of one module
follow the order of its constants. A moved module's path has to be changed in the page first.
"""

import ast
import math
import re
from collections.abc import Iterator
from pathlib import Path
from types import ModuleType
from typing import NamedTuple

from tests.source_modules import SOURCES, module_at, modules_below

PAGE = Path(__file__).parent.parent / "docs" / "CAPACITY.md"
HEADING = "## Constants"
HEAD = ("| module | constant | value | unit | origin |", "| --- | --- | --- | --- | --- |")
ROW = re.compile(r"^\| `([\w/]+\.py)` \| `(\w+)` \| (.+?) \| (.*?) \| (.*) \|$")
UNSTATED = ""
UNITS_OF_NAMES = {
    "SECONDS": "seconds",
    "SECOND": "per second",
    "MILLISECONDS_PER_SECOND": "milliseconds",
    "MS": "milliseconds",
    "BYTES": "bytes",
    "BITS": "bits",
    "CHARACTERS": "characters",
    "RATIO": "ratio",
    "FACTOR": "factor",
    "EXPONENT": "exponent",
    "VERSION": "version",
}
UNITS_OF_COMMENTS = frozenset(
    [
        "seconds",
        "milliseconds",
        "bytes",
        "bits",
        "characters",
        "ratio",
        "factor",
        "exponent",
        "version",
        "weight",
        "multiple",
        "deviations",
        "processes",
        "members",
        "peers",
        "proxies",
        "databases",
        "replicas",
        "holders",
        "followers",
        "readers",
        "judges",
        "voters",
        "votes",
        "slots",
        "connections",
        "channels",
        "sessions",
        "clients",
        "callers",
        "groups",
        "routes",
        "rows",
        "messages",
        "datagrams",
        "frames",
        "questions",
        "statements",
        "operations",
        "requests",
        "reads",
        "retries",
        "attempts",
        "tokens",
        "refusals",
        "failures",
        "tries",
        "doublings",
        "entries",
        "labels",
        "values",
        "snapshots",
        "revisions",
        "terms",
        "samples",
        "intervals",
        "rounds",
        "blocks",
        "levels",
        "parts",
        "number",
        "numbers",
    ]
)


class ConstantRow(NamedTuple):
    """A row of the table: path below the sources, name, value as text, unit, origin."""

    module: str
    name: str
    value: str
    unit: str
    origin: str

    @property
    def line(self) -> str:
        """Its line in the page."""
        return f"| `{self.module}` | `{self.name}` | {self.value} | {self.unit} | {self.origin} |"


def is_numeric(value: object) -> bool:
    """Tells whether a constant is a number, or a tuple of numbers."""
    if isinstance(value, tuple):
        return bool(value) and all(is_numeric(each) for each in value)
    return isinstance(value, int | float) and not isinstance(value, bool)


def is_finite(value: object) -> bool:
    """Tells whether no part of a numeric constant is infinite."""
    if isinstance(value, tuple):
        return all(is_finite(each) for each in value)
    return not (isinstance(value, float) and math.isinf(value))


def numeric_constants(path: str) -> Iterator[tuple[str, str]]:
    """Yields the numeric constants that a module itself defines: name and doc comment."""
    module = module_at(path)
    body = ast.parse((SOURCES / path).read_text()).body
    for node, following in zip(body, [*body[1:], None], strict=True):
        for name in _assigned_names(node):
            if name.isupper() and is_numeric(getattr(module, name)):
                yield name, _doc_comment(following)


def unit_of(name: str, comment: str) -> str:
    """Returns the unit in a constant's name, else the first word of its comment; "" if neither."""
    for word in reversed(name.split("_")):
        if word in UNITS_OF_NAMES:
            return UNITS_OF_NAMES[word]
    first = re.match(r"\w+", comment)
    word = first[0].lower() if first is not None else ""
    return word if word in UNITS_OF_COMMENTS else ""


def as_cell(text: str) -> str:
    """Returns a text as it stands in a cell of a table."""
    return text.replace("|", "/").replace("`", "")


def read_rows(lines: list[str]) -> list[ConstantRow]:
    """Returns the rows of the page's table."""
    begin, end = section(lines)
    matches = (ROW.match(line) for line in lines[begin:end])
    return [ConstantRow(*match.groups()) for match in matches if match is not None]


def section(lines: list[str]) -> tuple[int, int]:
    """Returns the numbers of the section's first line and of the line after its last."""
    begin = lines.index(HEADING)
    later = (at for at in range(begin + 1, len(lines)) if lines[at].startswith("#"))
    return begin, next(later, len(lines))


def refresh(lines: list[str]) -> list[str]:
    """Returns the page with modules, names, values and units as they are in the sources."""
    rows = read_rows(lines)
    kept = [line for line in lines if ROW.match(line) is None]
    end = kept.index(HEAD[1], kept.index(HEADING)) + 1
    return [*kept[:end], *(row.line for row in current_rows(rows)), *kept[end:]]


def current_rows(rows: list[ConstantRow]) -> list[ConstantRow]:
    """Returns the rows as the sources have them, with the origins of `rows`."""
    by_module: dict[str, list[ConstantRow]] = {}
    for row in rows:
        by_module.setdefault(row.module, []).append(row)
    result: list[ConstantRow] = []
    for path in modules_below(""):
        is_core = path.startswith("core/")
        if is_core or path in by_module:
            result += _rows_of(path, by_module.get(path, []), is_core)
    return result


def _rows_of(path: str, former: list[ConstantRow], is_core: bool) -> list[ConstantRow]:
    module: ModuleType = module_at(path)
    constants = [
        (name, comment)
        for name, comment in numeric_constants(path)
        if is_finite(getattr(module, name))
    ]
    values = [repr(getattr(module, name)) for name, _ in constants]
    if values == [row.value for row in former]:
        origins = {name: row.origin for (name, _), row in zip(constants, former, strict=True)}
    else:
        origins = {row.name: row.origin for row in former}
    return [
        ConstantRow(path, name, value, unit_of(name, comment), origins.get(name, UNSTATED))
        for (name, comment), value in zip(constants, values, strict=True)
        if is_core or name in origins
    ]


def _assigned_names(node: ast.stmt) -> list[str]:
    targets = node.targets if isinstance(node, ast.Assign) else []
    if isinstance(node, ast.AnnAssign):
        targets = [node.target]
    return [target.id for target in targets if isinstance(target, ast.Name)]


def _doc_comment(node: ast.stmt | None) -> str:
    if not isinstance(node, ast.Expr) or not isinstance(node.value, ast.Constant):
        return ""
    text = node.value.value
    return " ".join(text.split()) if isinstance(text, str) else ""
