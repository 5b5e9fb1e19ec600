"""`dewledge explain` on lines of each kind of outcome, and on lines that are none."""

import io
import tempfile
import unittest
from contextlib import redirect_stdout
from pathlib import Path

from dewledge.cli.main import run
from dewledge.explain.causes import CASES, likely_cause, parse_way
from dewledge.explain.log_lines import LogRecord, parse_lines
from dewledge.explain.report import explain, failed, slowest

HOLDER = """\
time=09:00:01 level=info event=promotion_answered group=g database=i-2 token=9 accepted=True
"""
OTHER = """\
time=08:59:50 level=info event=pooler_started name=node-2 zone=a
not a line of the log
time=09:00:00 level=info event=phase_changed group=g database=i-1 phase=checking reason=no_answer
time=09:00:01 level=info event=leader_told group=g database=i-2 sender=node-1
time=09:00:02 level=info event=phase_changed group=g database=i-1 phase=steady reason=new_primary
time=09:00:02 level=info event=statement_answered statement=a1 session=s1 route="r 1" \
consistency=primary kind=write way=i-1:none:silent@250,i-2:none:done@1300 outcome=done \
waited_ms=1300 configuration=3
time=09:00:03 level=info event=statement_answered statement=a2 session=s2 route=r \
consistency=primary kind=read way=i-2:lead:done@20 outcome=done waited_ms=20 configuration=3
"""


def answered(outcome: str, way: str, phase: str = "steady") -> str:
    beliefs = [LogRecord("n", 1, {"event": "phase_changed", "phase": phase})]
    line = LogRecord("n", 2, {"event": "statement_answered", "outcome": outcome, "way": way})
    return likely_cause(line, beliefs)


class ExplainTest(unittest.TestCase):
    def setUp(self) -> None:
        self.logs = {
            "node-1": parse_lines("node-1", HOLDER.splitlines()),
            "node-2": parse_lines("node-2", OTHER.splitlines()),
        }

    def test_a_way_with_what_was_believed_and_what_another_process_did(self) -> None:
        (line, _) = slowest(self.logs, 2)
        text = explain(self.logs, line)
        for expected in (
            "statement a1 at node-2",
            "route r 1",
            "1300 ms  i-2 (none): done",
            "leader_told",
            "elsewhere, node-1",
            "token=9",
        ):
            self.assertIn(expected, text)

    def test_lines_that_are_none_are_passed_over(self) -> None:
        self.assertEqual(len(self.logs["node-2"]), 6)
        self.assertEqual(failed(self.logs), [])

    def test_causes(self) -> None:
        cases = (
            ("overloaded", "i-1:none:given_up@700", "claiming", "being replaced"),
            ("overloaded", "i-1:none:overloaded@9,i-1:none:given_up@250", "steady", "too busy"),
            ("overloaded", "i-1:none:denied_unreachable@1,i-1::given_up@9", "steady", "connection"),
            ("connection_lost", "i-1:none:lost@30", "steady", "answer was lost"),
            ("statement_timeout", "i-1:none:silent@800", "steady", "no answer within"),
            ("transaction_lost", "i-1::lost@30", "steady", "rolled back"),
            ("not_primary", "i-1::not_primary@30", "steady", "lost it"),
            ("done", "r1:floor:not_fresh@3,p:lead:done@20", "steady", "no replica"),
            ("done", "r1:floor:silent@300,p:lead:done@340", "steady", "run again"),
            ("internal", "", "steady", "not known"),
        )
        for outcome, way, phase, expected in cases:
            with self.subTest(outcome=outcome, way=way):
                self.assertIn(expected, answered(outcome, way, phase))

    def test_every_case_has_a_cause_of_its_own(self) -> None:
        self.assertEqual(len({case.cause for case in CASES}), len(CASES))

    def test_ways_that_cannot_be_read(self) -> None:
        for way in ("", "x", "a:b@3", "a:b:c@", "a:b:c:d@3"):
            self.assertEqual(list(parse_way(way)), [])


class CommandTest(unittest.TestCase):
    def run_command(self, *arguments: str) -> tuple[int, str]:
        output = io.StringIO()
        with redirect_stdout(output):
            code = run(["explain", *arguments])
        return code, output.getvalue()

    def test_the_command(self) -> None:
        directory = Path(self.enterContext(tempfile.TemporaryDirectory()))
        for name, text in (("node-1", HOLDER), ("node-2", OTHER)):
            (directory / f"{name}.log").write_text(text)
        logs = [f"--log={directory / name}.log" for name in ("node-1", "node-2")]
        code, output = self.run_command("a1", *logs)
        self.assertEqual(code, 0)
        self.assertIn("likely cause", output)
        self.assertNotEqual(self.run_command("a9", *logs)[0], 0)
        self.assertNotEqual(self.run_command(*logs)[0], 0)
        self.assertEqual(self.run_command("--slow", "1", *logs)[0], 0)


if __name__ == "__main__":
    unittest.main()
