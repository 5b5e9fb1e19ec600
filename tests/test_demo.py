"""The demo runs, and fails when what it shows does not hold."""

import io
import unittest
from collections.abc import Sequence
from random import Random
from unittest.mock import patch

import msgspec
from rich.console import Console

from dewledge.cli.main import run
from dewledge.core.proxy.calls import Outcome, Statement
from dewledge.core.shared.positions import LogPosition
from dewledge.demo.caller import WriteLedger
from dewledge.demo.narration import CheckFailed, Narrator
from dewledge.demo.run import run_demo
from dewledge.demo.stage import Stage
from dewledge.demo.steps_faults import check_ledger
from dewledge.demo.traffic import TrafficReport, longest_gap
from dewledge.errors import DewledgeError, ErrorCode
from dewledge.standin.deployments import DeploymentName
from dewledge.standin.group_types import HistoryEntry, LogEntry

WRITE = Statement("INSERT", (1,))
POSITION = LogPosition(1, 1)


def narrator(stream: io.StringIO) -> Narrator:
    return Narrator(Console(file=stream, width=200), 1)


class GroupRecord(msgspec.Struct):
    """A group's history as the stand-in would give it."""

    accepted: Sequence[Statement] = ()
    surviving: Sequence[Statement] = ()

    def history(self) -> list[HistoryEntry]:
        return [HistoryEntry(0.0, "database", POSITION, (it,), 1) for it in self.accepted]

    def surviving_log(self) -> list[LogEntry]:
        return [LogEntry(POSITION, (it,), 1) for it in self.surviving]


class NarratorTest(unittest.TestCase):
    def test_a_failed_check_prints_what_was_expected_and_found(self) -> None:
        stream = io.StringIO()
        with self.assertRaises(CheckFailed):
            narrator(stream).check("one effect", 1, 2)
        self.assertRegex(stream.getvalue(), r"one effect\n\s+expected: 1\n\s+found:    2\n")

    def test_a_check_that_holds_is_counted(self) -> None:
        told = narrator(io.StringIO())
        told.check("one effect", 1, 1)
        self.assertEqual(told.checks, 1)


class LedgerCheckTest(unittest.TestCase):
    def test_answers_are_compared_with_the_history(self) -> None:
        cases = (
            ("done and there once", Outcome.DONE, GroupRecord((WRITE,), (WRITE,)), True),
            ("done and lost", Outcome.DONE, GroupRecord((WRITE,)), False),
            ("done twice", Outcome.DONE, GroupRecord((WRITE,) * 2, (WRITE,) * 2), False),
            ("not run", Outcome.NOT_RUN, GroupRecord(), True),
            ("not run, yet it ran", Outcome.NOT_RUN, GroupRecord((WRITE,), (WRITE,)), False),
            ("not run, yet it ran on a lost branch", Outcome.NOT_RUN, GroupRecord((WRITE,)), False),
            ("unknown, and it ran", Outcome.UNKNOWN, GroupRecord((WRITE,), (WRITE,)), True),
            ("unknown, and it did not run", Outcome.UNKNOWN, GroupRecord(), True),
        )
        for name, outcome, record, holds in cases:
            with self.subTest(name):
                ledger = WriteLedger()
                ledger.add(WRITE, outcome)
                self.assertEqual(self._holds(ledger, record), holds)

    @staticmethod
    def _holds(ledger: WriteLedger, record: GroupRecord) -> bool:
        try:
            check_ledger(ledger, record, narrator(io.StringIO()))
        except CheckFailed:
            return False
        return True


class GapTest(unittest.TestCase):
    def test_only_gaps_that_end_after_the_cut_count(self) -> None:
        report = TrafficReport(ended=[0.0, 5.0, 6.0, 8.0, 8.5])
        self.assertEqual(longest_gap(report, 5.5), 2.0)


class RunTest(unittest.TestCase):
    def test_a_step_that_fails_fails_the_demo(self) -> None:
        def failing_check(stage: Stage) -> None:
            stage.narrator.check("one effect", 1, 2)

        def failing_call(_stage: Stage) -> None:
            raise DewledgeError("no answer", ErrorCode.NOT_READY)

        for step in (failing_check, failing_call):
            with self.subTest(step.__name__):
                stream = io.StringIO()
                console = Console(file=stream, width=200)
                self.assertFalse(run_demo([DeploymentName.MENUS], 1, console, (step,)))
                self.assertIn("(seed 1)", stream.getvalue())

    def test_each_deployment_is_shown_from_the_command_line(self) -> None:
        for name in DeploymentName:
            with self.subTest(name):
                seed = str(Random().randrange(1000))
                self.assertEqual(run(["demo", "--deployment", name, "--seed", seed]), 0, seed)

    def test_a_demo_that_fails_ends_the_command_with_1(self) -> None:
        with patch("dewledge.demo.run.run_demo", return_value=False):
            self.assertEqual(run(["demo"]), 1)


if __name__ == "__main__":
    unittest.main()
