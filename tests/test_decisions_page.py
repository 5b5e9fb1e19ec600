"""The catalogue of rules (docs/DECISIONS.md) is as the code is.

Modules, functions, classes, constants with their values, log lines, switches, runs and pages that
it names exist, and no numeric constant of the pooler's decision core is missing from it. Where
names or values have changed, `python -m tests.decisions_page` writes its tables of constants anew.
"""

import ast
import re
import unittest

from tests.constants_table import numeric_constants
from tests.decisions_page import (
    FORMS,
    IN_BACKTICKS,
    INDEX,
    PAGE,
    ROOT,
    log_events,
    read_constants,
    read_rules,
    refresh,
    value_of,
)
from tests.source_modules import module_at, modules_below

STEPS = [
    "Admit",
    "Authorise",
    "Route",
    "Choose",
    "Wait",
    "Refuse",
    "Send again",
    "Give up",
    "Open",
    "Close",
    "Judge lost",
    "Fail over",
    "Hand on",
]
ROWS = ("decided by", "inputs", "decides", "why", "log line", "switched off by", "measured")
RUN = re.compile(r"\b(?=[0-9a-f]*[0-9])[0-9a-f]{8}\b")
PATH = re.compile(r"\b(?:docs|tests)/[\w./-]+\.\w+")


class DecisionsPageTest(unittest.TestCase):
    def setUp(self) -> None:
        self.lines = PAGE.read_text().splitlines()
        self.rules = read_rules(self.lines)
        self.constants = read_constants(self.lines)

    def test_rules_are_in_the_order_of_a_request(self) -> None:
        self.assertEqual(list(dict.fromkeys(rule.step for rule in self.rules)), STEPS)

    def test_each_rule_has_all_rows_and_one_place(self) -> None:
        for rule in self.rules:
            with self.subTest(rule.title):
                self.assertEqual([name for name in ROWS if not rule.rows.get(name)], [])
                self.assertEqual(rule.rows["decided by"].count("`: `"), 1)

    def test_titles_are_different(self) -> None:
        titles = [rule.title for rule in self.rules]
        self.assertEqual(len(titles), len(set(titles)))

    def test_each_module_class_and_function_exists(self) -> None:
        for rule in self.rules:
            self.assertTrue(rule.places, rule.title)
            for path, name in rule.places:
                with self.subTest(rule.title, path=path, name=name):
                    module = module_at(path)
                    found: object = module
                    for part in name.split("."):
                        found = getattr(found, part)
                    self.assertEqual(getattr(found, "__module__", None), module.__name__)

    def test_each_constant_has_the_value_that_is_stated(self) -> None:
        self.assertTrue(self.constants)
        for constant in self.constants:
            with self.subTest(constant.name, module=constant.module):
                stated = ast.literal_eval(constant.value)
                self.assertEqual(stated, value_of(constant.module, constant.name))

    def test_no_numeric_constant_of_the_pooler_is_missing(self) -> None:
        stated = {(each.module, each.name) for each in self.constants}
        listed = {path for rule in self.rules for path, _ in rule.places}
        for path in sorted(listed | set(modules_below("core/pooler"))):
            with self.subTest(path):
                names = [name for name, _ in numeric_constants(path)]
                self.assertEqual([name for name in names if (path, name) not in stated], [])

    def test_constants_named_in_rows_are_in_a_table(self) -> None:
        stated = {each.name for each in self.constants}
        for rule in self.rules:
            for cell in rule.rows.values():
                named = [name for name in IN_BACKTICKS.findall(cell) if name.isupper()]
                with self.subTest(rule.title):
                    self.assertEqual([name for name in named if name not in stated], [])

    def test_log_lines_exist(self) -> None:
        fields = set(re.findall(r" (\w+)=", (FORMS / "log_lines.txt").read_text()))
        metrics = set(re.findall(r"\b\w+\b", (FORMS / "metrics.txt").read_text()))
        for rule in self.rules:
            for name in rule.log_lines:
                with self.subTest(rule.title, name=name):
                    self.assertIn(name, log_events() | fields | metrics)

    def test_switches_are_settings(self) -> None:
        settings = (FORMS / "settings.txt").read_text()
        names = {line.partition(":")[0] for line in settings.splitlines()}
        for rule in self.rules:
            for name in IN_BACKTICKS.findall(rule.rows["switched off by"]):
                if name.islower():
                    with self.subTest(rule.title, name=name):
                        self.assertIn(f"pooler.{name}", names)

    def test_runs_and_pages_that_are_named_exist(self) -> None:
        journal = {path.stem.rpartition("-")[2] for path in (ROOT / "journal").glob("*.json")}
        for rule in self.rules:
            for path in PATH.findall(rule.rows["measured"]):
                with self.subTest(rule.title, path=path):
                    self.assertTrue((ROOT / path).exists())
            for run in RUN.findall(rule.rows["measured"]):
                with self.subTest(rule.title, run=run):
                    self.assertIn(run, journal)

    def test_tables_of_constants_are_as_they_are_written_anew(self) -> None:
        lines, lost = refresh(self.lines)
        self.assertEqual(lost, [])
        kept = [(each.module, each.name, each.value) for each in self.constants]
        anew = [(each.module, each.name, each.value) for each in read_constants(lines)]
        self.assertEqual(kept, anew)

    def test_index_of_log_lines_is_as_it_is_written_anew(self) -> None:
        begin = self.lines.index(INDEX)
        end = self.lines.index(f"## {STEPS[0]}")
        lines, _ = refresh(self.lines)
        self.assertEqual(self.lines[begin:end], lines[begin : lines.index(f"## {STEPS[0]}")])


if __name__ == "__main__":
    unittest.main()
