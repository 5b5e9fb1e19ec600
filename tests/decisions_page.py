"""Reads the catalogue of rules (docs/DECISIONS.md) and writes its tables of constants anew.

After a module or constant was renamed, or its docstring changed, `python -m tests.decisions_page`
finds each class and function by its name, follows it to its module, and takes values and units of
constants from the sources. What it cannot find it prints. The words of the rules it leaves alone.
It writes the table of constants in docs/CAPACITY.md too, see `tests.constants_table`.
"""

import ast
import re
import sys
from pathlib import Path
from typing import NamedTuple

from tests import constants_table
from tests.constants_table import as_cell, is_numeric, numeric_constants, unit_of
from tests.source_modules import SOURCES, module_at, modules_below

ROOT = Path(__file__).parent.parent
PAGE = ROOT / "docs" / "DECISIONS.md"
PLACE_ROWS = ("decided by", "with")
PLACE = re.compile(r"`([\w/]+\.py)`: `([\w.]+)`")
ROW = re.compile(r"^\| ([a-z ]+) \| (.+) \|$")
CONSTANTS_OF = re.compile(r"^Constants of `([\w/]+\.py)`:$")
CONSTANT = re.compile(r"^\| `([\w.]+)` \| (.+?) \| (.*) \|$")
FIELD = re.compile(r"(?:^|(?<=\. ))([a-z_]+(?:, [a-z_]+)*): ")
IN_BACKTICKS = re.compile(r"`([^`]+)`")
INDEX = "## By log line"
INDEX_HEAD = ("| log line | rules |", "| --- | --- |")
FORMS = ROOT / "tests" / "outside_forms"
HEAD = ("| constant | value | unit |", "| --- | --- | --- |")


class Constant(NamedTuple):
    """A constant as the page states it."""

    module: str
    name: str
    value: str
    unit: str

    @property
    def line(self) -> str:
        """Its line in the page."""
        return f"| `{self.name}` | {self.value} | {self.unit} |"


class Rule(NamedTuple):
    """A rule of the page: the cells of its table by their names."""

    step: str
    title: str
    rows: dict[str, str]

    @property
    def link(self) -> str:
        """A link to it within the page."""
        words = re.sub(r"[^a-z0-9 -]", "", self.title.lower())
        return f"[{self.title}](#{words.replace(' ', '-')})"

    @property
    def log_lines(self) -> list[str]:
        """The events and fields that show it."""
        return IN_BACKTICKS.findall(self.rows.get("log line", ""))

    @property
    def places(self) -> list[tuple[str, str]]:
        """The modules that decide it, each with the class or function there."""
        cells = " ".join(self.rows.get(name, "") for name in PLACE_ROWS)
        return [(path, name) for path, name in PLACE.findall(cells)]


def read_rules(lines: list[str]) -> list[Rule]:
    """Returns the rules in their order."""
    rules: list[Rule] = []
    step = ""
    for line in lines:
        if line.startswith("## "):
            step = line[3:]
        elif line.startswith("### "):
            rules.append(Rule(step, line[4:], {}))
        elif rules and (row := ROW.match(line)) is not None:
            rules[-1].rows.setdefault(row[1], row[2])
    return rules


def read_constants(lines: list[str]) -> list[Constant]:
    """Returns the constants of all tables."""
    found: list[Constant] = []
    module = ""
    for line in lines:
        heading = CONSTANTS_OF.match(line)
        row = CONSTANT.match(line)
        if heading is not None:
            module = heading[1]
        elif line.startswith("#"):
            module = ""
        elif module and row is not None:
            found.append(Constant(module, row[1], row[2], row[3]))
    return found


def value_of(path: str, name: str) -> object:
    """Returns a constant of a module, or the default of a field of one of its types."""
    owner, _, field = name.rpartition(".")
    if not owner:
        return getattr(module_at(path), name)
    return field_defaults(getattr(module_at(path), owner))[field]


def field_defaults(kind: type) -> dict[str, object]:
    """Returns the defaults of a struct's fields; none of another type."""
    names = getattr(kind, "__struct_fields__", ())
    defaults = getattr(kind, "__struct_defaults__", ())
    return dict(zip(reversed(names), reversed(defaults), strict=False))


def log_events() -> set[str]:
    """Returns the names of all lines of the log."""
    of_types = re.findall(r"event=(\w+)", (FORMS / "log_lines.txt").read_text())
    of_calls = re.findall(r"(?m)^(\w+) level=", (FORMS / "log_calls.txt").read_text())
    return {*of_types, *of_calls}


def _constants_of(path: str, names: list[str]) -> list[Constant]:
    """Returns a module's constants, and defaults of the fields of those types that are named."""
    found = [
        Constant(path, name, repr(value_of(path, name)), unit_of(name, comment))
        for name, comment in numeric_constants(path)
    ]
    for name in names:
        kind = getattr(module_at(path), name, None)
        if not isinstance(kind, type):
            continue
        for field, value in reversed(field_defaults(kind).items()):
            if is_numeric(value):
                unit = as_cell(_field_text(kind, field))
                found.append(Constant(path, f"{name}.{field}", repr(value), unit))
    return found


def _field_text(kind: type, field: str) -> str:
    text = " ".join((kind.__doc__ or "").split())
    parts = FIELD.split(text)
    for names, meaning in zip(parts[1::2], parts[2::2], strict=True):
        if field in names.split(", "):
            return meaning.strip()
    return text


def _follow(line: str, lost: list[str]) -> str:
    """Returns a line with each class and function at the module where it is now."""

    def place(match: re.Match[str]) -> str:
        path, name = match[1], match[2]
        if name.split(".")[0] not in _definitions(path):
            found = [each for each in _all_modules() if name.split(".")[0] in _definitions(each)]
            if len(found) != 1:
                lost.append(f"{name}: {found}")
            else:
                path = found[0]
        return f"`{path}`: `{name}`"

    return PLACE.sub(place, line)


def _definitions(path: str) -> set[str]:
    if not (SOURCES / path).exists():
        return set()
    body = ast.parse((SOURCES / path).read_text()).body
    return {node.name for node in body if isinstance(node, ast.ClassDef | ast.FunctionDef)}


def _all_modules() -> list[str]:
    return [*modules_below("core"), *modules_below("shell/pooler")]


def refresh(lines: list[str]) -> tuple[list[str], list[str]]:
    """Returns the page with places and constants as they are now, and what was not found."""
    lost: list[str] = []
    words = [_follow(line, lost) for line in _without_constants(lines)]
    words = _with_index(words, read_rules(words))
    rules = iter(read_rules(words))
    shown: set[str] = set()
    result: list[str] = []
    rule: Rule | None = None
    for line in [*words, "#"]:
        if line.startswith("#") and rule is not None:
            result += _tables(rule, shown)
            rule = None
        if line.startswith("### "):
            rule = next(rules)
        result.append(line)
    return result[:-1], lost


def _without_constants(lines: list[str]) -> list[str]:
    kept: list[str] = []
    is_table = False
    for line in lines:
        is_table = CONSTANTS_OF.match(line) is not None or (is_table and not line.startswith("#"))
        if not is_table:
            kept.append(line)
    return kept


def _with_index(lines: list[str], rules: list[Rule]) -> list[str]:
    """Returns the page with its index of log lines made of the rules' rows."""
    if INDEX not in lines:
        return lines
    begin = lines.index(INDEX) + 1
    end = next(at for at in range(begin, len(lines)) if lines[at].startswith("## "))
    events = log_events()
    rows = [""]
    rows += INDEX_HEAD
    for event in sorted(events):
        links = [rule.link for rule in rules if event in rule.log_lines]
        if links:
            rows.append(f"| `{event}` | {', '.join(links)} |")
    return [*lines[:begin], *rows, "", *lines[end:]]


def _tables(rule: Rule, shown: set[str]) -> list[str]:
    lines: list[str] = []
    for path in dict.fromkeys(path for path, _ in rule.places):
        if path in shown or not (SOURCES / path).exists():
            continue
        shown.add(path)
        constants = _constants_of(path, [name for each, name in rule.places if each == path])
        if constants:
            lines += [f"Constants of `{path}`:", "", *HEAD]
            lines += [*(constant.line for constant in constants), ""]
    return lines


def main() -> None:
    """Writes the tables of both pages."""
    lines, lost = refresh(PAGE.read_text().splitlines())
    PAGE.write_text("\n".join(lines).rstrip() + "\n")
    capacity = constants_table.refresh(constants_table.PAGE.read_text().splitlines())
    constants_table.PAGE.write_text("\n".join(capacity).rstrip() + "\n")
    for each in lost:
        sys.stdout.write(f"not found: {each}\n")


if __name__ == "__main__":
    main()
