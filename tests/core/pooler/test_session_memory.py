"""How much memory a client can make the process keep for its session, in bytes."""

import unittest

from dewledge.core.pooler.sessions.client_session import MAX_QUEUED_BYTES
from dewledge.core.pooler.sessions.session_changes import apply_session_change
from dewledge.core.pooler.sessions.session_state import MAX_STATE_BYTES, SessionState
from dewledge.core.pooler.statements.statements import Statement, StatementKind
from dewledge.errors import ErrorCode
from tests.core.pooler.harness import PoolerHarness

MEBIBYTE = 1024 * 1024


class SessionStateTest(unittest.TestCase):
    def setUp(self) -> None:
        self.state = SessionState("s1", "orders")

    def change(self, kind: StatementKind, name: str, size: int) -> ErrorCode | None:
        statement = Statement("1", kind, name=name, argument="x" * size)
        failure = apply_session_change(self.state, statement)
        return None if failure is None else failure.code

    def test_values_and_shapes_are_bounded_together(self) -> None:
        """Guards against a session of 256 values of 1 MiB, which exceeds a process's memory."""
        accepted = 0
        for number in range(256):
            kind = StatementKind.SET_VALUE if number % 2 else StatementKind.PREPARE
            accepted += self.change(kind, f"n{number}", MEBIBYTE) is None
        self.assertLessEqual(accepted * MEBIBYTE, MAX_STATE_BYTES)
        self.assertGreaterEqual(accepted, 1)
        self.assertEqual(self.change(StatementKind.SET_VALUE, "x", MEBIBYTE), ErrorCode.TOO_LARGE)

    def test_replaced_and_removed_ones_make_room(self) -> None:
        half = MAX_STATE_BYTES // 2
        for _ in range(4):
            self.assertIsNone(self.change(StatementKind.SET_VALUE, "a", half))
        self.assertIsNone(self.change(StatementKind.PREPARE, "s", half - 100))
        self.assertEqual(self.change(StatementKind.SET_VALUE, "b", half), ErrorCode.TOO_LARGE)
        self.change(StatementKind.DEALLOCATE, "s", 0)
        self.assertIsNone(self.change(StatementKind.SET_VALUE, "b", half - 100))

    def test_refused_change_leaves_the_former_value(self) -> None:
        self.change(StatementKind.SET_VALUE, "a", 10)
        self.assertEqual(
            self.change(StatementKind.SET_VALUE, "a", MAX_STATE_BYTES), ErrorCode.TOO_LARGE
        )
        self.assertEqual(self.state.values["a"], "x" * 10)


class QueueTest(unittest.TestCase):
    def test_queued_statements_are_bounded_in_bytes(self) -> None:
        """Guards against 64 statements of 1 MiB that wait behind a slow one."""
        probe = PoolerHarness().session()
        for _ in range(MAX_QUEUED_BYTES // MEBIBYTE + 2):
            probe.start(StatementKind.WRITE, argument="x" * MEBIBYTE)
        self.assertIsNotNone(probe.client.refused)

    def test_one_large_statement_waits_whatever_its_size(self) -> None:
        probe = PoolerHarness().session()
        probe.start(StatementKind.READ, argument="thing")
        large = probe.start(StatementKind.WRITE, argument="x" * MEBIBYTE)
        probe.harness.scheduler.advance(1.0)
        self.assertIsNone(probe.reply(large).failure)


if __name__ == "__main__":
    unittest.main()
