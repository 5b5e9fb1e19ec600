"""Guards against constants without a unit or a recorded origin, and origins told in the sources."""

import ast
import io
import re
import tokenize
import unittest
from collections.abc import Iterator
from pathlib import Path

from tests.constants_table import (
    PAGE,
    is_finite,
    numeric_constants,
    read_rows,
    refresh,
    unit_of,
)
from tests.source_modules import SOURCES, module_at, modules_below

ORIGIN = re.compile(
    r"(?:^|[.;:,(] ?)chosen(?:[.,;:)]|$)"
    r"|\b(?:figures?|length|value|number)(?: itself)? (?:is|are|was|were) (?:chosen|measured)\b"
    r"|\bnot (?:measured|varied|played)\b"
    r"|(?:^|[.;:,] )measured(?:[.,;:]|$| (?:after|with|on|alone|apart)\b)"
    r"|\btrials?\b|\bsingle plays?\b|\bplayed\b|\breverted\b|\bin place of \d"
    r"|\bgained nothing\b|\bgit log\b"
    r"|docs/(?:measurements|CAPACITY)|\bcommit [0-9a-f]{7}|\b(?=[0-9a-f]*\d)[0-9a-f]{8}\b",
    re.IGNORECASE,
)


class ConstantsTableTest(unittest.TestCase):
    def setUp(self) -> None:
        self.lines = PAGE.read_text().splitlines()
        self.rows = {(row.module, row.name): row for row in read_rows(self.lines)}

    def test_each_finite_constant_of_core_has_a_unit(self) -> None:
        for path, name, comment in finite_constants_of_core():
            with self.subTest(path, name=name):
                self.assertNotEqual(unit_of(name, comment), "")

    def test_each_finite_constant_of_core_has_a_row_with_value_and_origin(self) -> None:
        for path, name, comment in finite_constants_of_core():
            with self.subTest(path, name=name):
                row = self.rows.get((path, name))
                self.assertIsNotNone(row)
                assert row is not None
                self.assertEqual(ast.literal_eval(row.value), getattr(module_at(path), name))
                self.assertEqual(row.unit, unit_of(name, comment))
                self.assertNotEqual(row.origin.strip(), "")

    def test_each_row_is_a_constant_with_its_value(self) -> None:
        for row in self.rows.values():
            with self.subTest(row.module, name=row.name):
                value = getattr(module_at(row.module), row.name, None)
                self.assertEqual(ast.literal_eval(row.value), value)

    def test_table_is_as_the_program_writes_it(self) -> None:
        self.assertEqual(refresh(self.lines), self.lines)

    def test_new_name_keeps_the_origin(self) -> None:
        row = next(iter(self.rows.values()))
        old_name = f"| `{row.module}` | `OLD_{row.name}` |"
        lines = [
            line.replace(f"| `{row.module}` | `{row.name}` |", old_name) for line in self.lines
        ]
        self.assertNotEqual(lines, self.lines)
        self.assertEqual(refresh(lines), self.lines)

    def test_no_comment_of_the_sources_says_where_a_value_is_from(self) -> None:
        for path in modules_below(""):
            for line, text in comments(SOURCES / path):
                with self.subTest(path, line=line):
                    self.assertIsNone(ORIGIN.search(text), text)


def finite_constants_of_core() -> Iterator[tuple[str, str, str]]:
    """Yields path, name and doc comment."""
    for path in modules_below("core"):
        for name, comment in numeric_constants(path):
            if is_finite(getattr(module_at(path), name)):
                yield path, name, comment


def comments(path: Path) -> Iterator[tuple[int, str]]:
    """Yields line and text of each doc comment and comment of a module."""
    source = path.read_text()
    for node in ast.walk(ast.parse(source)):
        is_constant = isinstance(node, ast.Expr) and isinstance(node.value, ast.Constant)
        if is_constant and isinstance(node.value.value, str):
            yield node.lineno, " ".join(node.value.value.split())
    for token in tokenize.generate_tokens(io.StringIO(source).readline):
        if token.type == tokenize.COMMENT:
            yield token.start[0], token.string.lstrip("# ")


if __name__ == "__main__":
    unittest.main()
