"""Guards running statements when the holder of their connection stops responding, as when a region
is cut off."""

import unittest
from collections.abc import Sequence

from dewledge.core.pooler.load.holder_health import HolderState
from dewledge.core.pooler.pool.connection_pool import Denial
from dewledge.core.pooler.pool.database_connection import DatabaseConnection
from dewledge.core.pooler.sessions.routes import Consistency
from dewledge.core.pooler.statements.statements import StatementKind
from dewledge.core.shared.retry_budget import RetryBudget
from dewledge.errors import ErrorCode
from tests.core.pooler.harness import PoolerHarness, SessionProbe
from tests.core.pooler.test_connection_pool import PoolTestCase

UNANSWERED = "no answer yet"


class SilentHolderTest(unittest.TestCase):
    def setUp(self) -> None:
        self.harness = PoolerHarness()

    def probe(self, consistency: Consistency = Consistency.BOUNDED_STALENESS) -> SessionProbe:
        probe = self.harness.session(consistency)
        probe.read()
        probe.read()
        return probe

    def silence_all(self) -> None:
        for database in self.harness.model.databases.values():
            database.silent = True

    def set_holder_state(self, state: HolderState) -> None:
        """Sets the state of all holders in use; new connections go through other holders."""
        for database in self.harness.model.databases.values():
            database.silent = False
        for transport in list(self.harness.model.transports):
            if not transport.closed:
                transport.connection.is_retiring = state is not HolderState.USABLE
                transport.connection.on_holder_state(state)

    def outcome(self, probe: SessionProbe, statement_id: str, wait: float = 0.1) -> str:
        self.harness.scheduler.advance(wait)
        replies = [reply for reply_id, reply in probe.client.replies if reply_id == statement_id]
        if not replies:
            return UNANSWERED
        return "done" if replies[0].failure is None else replies[0].failure.code

    def ran(self, statement_id: str) -> int:
        return sum(ran.statement.id == statement_id for ran in self.harness.model.ran)

    def test_running_statement_by_holder_state(self) -> None:
        read, write = StatementKind.READ, StatementKind.WRITE
        suspected, silent = HolderState.SUSPECTED, HolderState.SILENT
        rows: Sequence[tuple[str, Consistency, StatementKind, HolderState, str]] = (
            ("setup, suspected", Consistency.PRIMARY, read, suspected, "done"),
            ("setup, silent", Consistency.PRIMARY, read, silent, "done"),
            ("read sent, suspected", Consistency.BOUNDED_STALENESS, read, suspected, UNANSWERED),
            ("read sent, silent", Consistency.BOUNDED_STALENESS, read, silent, "done"),
            ("write sent, suspected", Consistency.BOUNDED_STALENESS, write, suspected, UNANSWERED),
            ("write sent, silent", Consistency.BOUNDED_STALENESS, write, silent, UNANSWERED),
        )
        for name, consistency, kind, state, expected in rows:
            with self.subTest(name):
                self.setUp()
                probe = self.probe(consistency)
                self.silence_all()
                statement_id = probe.start(kind, argument="thing data")
                self.harness.scheduler.advance(0.27)
                self.assertEqual(self.outcome(probe, statement_id, 0.0), UNANSWERED)
                self.set_holder_state(state)
                self.assertEqual(self.outcome(probe, statement_id), expected)
                self.assertEqual(self.ran(statement_id), int(expected == "done"))

    def test_write_on_silent_holder_is_never_resent(self) -> None:
        probe = self.probe()
        self.silence_all()
        statement_id = probe.start(StatementKind.WRITE, argument="thing data")
        self.set_holder_state(HolderState.SILENT)
        self.assertEqual(self.outcome(probe, statement_id, 1.0), ErrorCode.STATEMENT_TIMEOUT)
        self.assertEqual(self.ran(statement_id), 0)

    def test_read_in_transaction_is_not_resent(self) -> None:
        probe = self.probe()
        probe.ask(StatementKind.BEGIN)
        probe.write()
        self.silence_all()
        statement_id = probe.start(StatementKind.READ, argument="thing")
        self.set_holder_state(HolderState.SILENT)
        self.assertEqual(self.outcome(probe, statement_id), UNANSWERED)
        self.assertEqual(self.outcome(probe, statement_id, 1.0), ErrorCode.TRANSACTION_LOST)

    def test_commit_on_silent_holder_has_unknown_outcome(self) -> None:
        probe = self.probe()
        probe.ask(StatementKind.BEGIN)
        probe.write()
        self.silence_all()
        statement_id = probe.start(StatementKind.COMMIT)
        self.set_holder_state(HolderState.SILENT)
        self.assertEqual(self.outcome(probe, statement_id), UNANSWERED)
        self.assertEqual(self.outcome(probe, statement_id, 1.0), ErrorCode.STATEMENT_TIMEOUT)

    def test_first_statement_of_transaction_moves_to_other_holder(self) -> None:
        probe = self.probe()
        probe.ask(StatementKind.BEGIN)
        self.silence_all()
        statement_id = probe.start(StatementKind.WRITE, argument="thing data")
        self.harness.scheduler.advance(0.27)
        self.set_holder_state(HolderState.SUSPECTED)
        self.assertEqual(self.outcome(probe, statement_id), "done")
        self.assertIsNone(probe.ask(StatementKind.COMMIT).failure)
        self.assertEqual(self.ran(statement_id), 1)

    def test_second_reads_are_limited_by_budget(self) -> None:
        self.harness.services.read_retry_budget = RetryBudget(0.0, 2.0)
        probes = [self.harness.session(Consistency.BOUNDED_STALENESS) for _ in range(3)]
        probes[0].read()
        for probe in probes:
            probe.start(StatementKind.READ, argument="thing")
        self.harness.scheduler.advance(0.3)
        self.silence_all()
        asked = [probe.start(StatementKind.READ, argument="thing") for probe in probes]
        self.set_holder_state(HolderState.SILENT)
        pairs = zip(probes, asked, strict=True)
        outcomes = [self.outcome(probe, statement_id) for probe, statement_id in pairs]
        self.assertEqual(sorted(outcomes), ["done", "done", UNANSWERED])

    def test_read_is_resent_only_once(self) -> None:
        probe = self.probe()
        self.silence_all()
        statement_id = probe.start(StatementKind.READ, argument="thing")
        self.set_holder_state(HolderState.SILENT)
        self.harness.scheduler.advance(0.003)
        self.silence_all()
        self.set_holder_state(HolderState.SILENT)
        self.harness.scheduler.advance(1.0)
        self.assertLessEqual(self.ran(statement_id), 1)
        self.assertEqual(len(probe.client.replies), 3)

    def test_connections_of_suspected_holder_are_reused_after_recovery(self) -> None:
        probe = self.probe()
        before = len(self.harness.model.transports)
        self.set_holder_state(HolderState.SUSPECTED)
        self.set_holder_state(HolderState.USABLE)
        probe.read()
        self.assertEqual(len(self.harness.model.transports), before)
        self.set_holder_state(HolderState.SUSPECTED)
        probe.read()
        self.assertEqual(len(self.harness.model.transports), before + 1)

    def test_log_line_of_statement_names_silent_holder(self) -> None:
        probe = self.probe(Consistency.PRIMARY)
        self.silence_all()
        probe.start(StatementKind.READ, argument="thing")
        self.set_holder_state(HolderState.SUSPECTED)
        self.harness.scheduler.advance(0.1)
        self.assertIn("holder_silent", probe.answered()[-1].way)


class PoolTest(PoolTestCase):
    """The pool of a database whose holders are all silent."""

    def in_use(self, name: str) -> DatabaseConnection:
        self.acquire(name)
        return self.given[-1][1]

    def test_queue_is_denied_at_once_if_all_holders_are_silent(self) -> None:
        first = self.in_use("a")
        first.is_retiring = True
        self.model.databases["p"].refuse_connections = True
        self.acquire("b", wait=0.01)
        self.acquire("c", wait=0.0)
        self.assertEqual(self.denied, [("b", Denial.UNREACHABLE), ("c", Denial.UNREACHABLE)])

    def test_queue_is_kept_while_one_holder_responds(self) -> None:
        self.in_use("a").is_retiring = True
        second = self.in_use("b")
        self.pool.release(self.given[0][1])
        self.model.databases["p"].refuse_connections = True
        self.acquire("c")
        self.assertEqual(self.denied, [])
        self.pool.release(second)
        self.assertEqual([name for name, _ in self.given], ["a", "b", "c"])


if __name__ == "__main__":
    unittest.main()
