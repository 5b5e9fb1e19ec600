"""`dewledge query`: what is sent, what is told of the outcome, and the session file."""

import tempfile
import unittest
from pathlib import Path

from tests.cli.stub_proxy import CUT, CommandRun, Reply, StubProxy, run_command

ROWS = Reply(
    200,
    {
        "outcome": "done",
        "columns": ["id", "state"],
        "rows": [[1, "filed"], [2, None]],
        "affected": 0,
        "served_by": "d2",
        "session": "token-2",
    },
)
# name, reply, exit code, texts of the output and of the errors
OUTCOME_TABLE = [
    ("rows", ROWS, 0, ["id", "filed", "served_by=d2"], []),
    (
        "repeated write",
        Reply(200, {"outcome": "done", "affected": 1, "repeated": True}),
        0,
        ["affected=1", "repeated"],
        [],
    ),
    (
        "overloaded",
        Reply(429, {"outcome": "not_run", "code": "overloaded", "retry_after_ms": 250}),
        1,
        [],
        ["overloaded", "did not run", "250 ms"],
    ),
    (
        "unknown",
        Reply(504, {"outcome": "unknown", "code": "not_confirmed"}),
        1,
        [],
        ["not_confirmed", "may or may not have run"],
    ),
    ("malformed", Reply(400, {"code": "bad_session_token"}), 2, [], ["bad_session_token"]),
    ("no answer", CUT, 1, [], ["connection_lost", "may or may not have run"]),
]


class QueryTest(unittest.TestCase):
    def run_on(self, reply: Reply, *arguments: str) -> tuple[CommandRun, StubProxy]:
        stub = StubProxy(lambda request, number: reply)
        self.addCleanup(stub.close)
        command = ("query", "--group", "g", "--proxy", stub.address, "--token", "t", *arguments)
        return run_command(*command), stub

    def test_outcomes(self) -> None:
        for name, reply, exit_code, output, errors in OUTCOME_TABLE:
            with self.subTest(name=name):
                result, stub = self.run_on(reply, "select 1")
                self.assertEqual(result.exit_code, exit_code)
                self.assertEqual(len(stub.requests), 1)
                for text in output:
                    self.assertIn(text, result.output)
                for text in errors:
                    self.assertIn(text, result.errors)

    def test_what_is_sent(self) -> None:
        parameters = ["-p", "7", "-p", "true", "-p", "null", "-p", "Ama", "-p", "[1]"]
        options = ["--write", "--key", "k1", "--deadline", "0.5"]
        _, stub = self.run_on(ROWS, "insert into t values (?)", *parameters, *options)
        expected = {
            "group": "g",
            "sql": "insert into t values (?)",
            "parameters": [7, True, None, "Ama", "[1]"],
            "access": "write",
            "deadline_ms": 500,
            "idempotency_key": "k1",
        }
        self.assertEqual(stub.requests[0].body, expected)

    def test_the_session_is_carried_from_call_to_call(self) -> None:
        with tempfile.TemporaryDirectory() as directory:
            file = Path(directory) / "session"
            _, first = self.run_on(ROWS, "select 1", "--session-file", str(file))
            self.assertNotIn("session", first.requests[0].body)
            self.assertEqual(file.read_text(), "token-2\n")
            self.assertEqual(file.stat().st_mode & 0o077, 0)
            refused = Reply(503, {"outcome": "not_run", "code": "no_primary"})
            _, second = self.run_on(refused, "select 1", "--session-file", str(file))
            self.assertEqual(second.requests[0].body["session"], "token-2")
            self.assertEqual(file.read_text(), "token-2\n")
            self.assertEqual([path.name for path in Path(directory).iterdir()], ["session"])

    def test_json(self) -> None:
        result, _ = self.run_on(ROWS, "select 1", "--output", "json")
        self.assertEqual(result.json, ROWS.body)


if __name__ == "__main__":
    unittest.main()
