"""Choice of the database for a read by expected completion, tested through whole sessions."""

import random
import unittest

from dewledge.core.pooler.databases.group_view import GroupView
from dewledge.core.pooler.load.report import LoadReport
from dewledge.core.pooler.pool.connection_pool import Waiter
from dewledge.core.pooler.sessions.routes import Consistency
from dewledge.core.pooler.statements.completion_estimate import CompletionEstimator, load_report_of
from dewledge.core.pooler.statements.statements import StatementKind
from dewledge.core.pooler.statements.targets import Proof, targets_by_completion
from dewledge.core.shared.positions import LogPosition
from dewledge.errors import ErrorCode
from tests.core.pooler.harness import PoolerHarness
from tests.core.pooler.sharing.model_channels import SharingHarness
from tests.core.pooler.test_freshness import record

LOADED = LoadReport(60, 0, 6, 6, 0, 10)
FREE = LoadReport(0, 0, 1, 6, 0, 10)


def enable_read_choice(harness: PoolerHarness) -> CompletionEstimator:
    choice = CompletionEstimator(harness.scheduler.now, random.Random(3).random)
    harness.group.read_choice = choice
    return choice


class LocalConnectionsTest(unittest.TestCase):
    def setUp(self) -> None:
        self.harness = PoolerHarness()
        enable_read_choice(self.harness)
        self.session = self.harness.session()
        self.session.write()

    def occupy(self, database: str, count: int) -> None:
        """Acquires connections to a database, or queues for them, and never returns them."""
        self.acquire_connections(database, count)
        self.harness.scheduler.advance(0.1)

    def databases_of_reads(self, count: int) -> list[str]:
        """Sends `count` reads and returns the databases that served them."""
        before = len(self.harness.model.ran)
        for _ in range(count):
            self.assertIsNone(self.session.read().failure)
        return [ran.database for ran in self.harness.model.ran[before:]]

    def test_near_replica_serves_while_it_has_free_slots(self) -> None:
        for database in self.harness.model.databases.values():
            database.applied = LogPosition(1, 100)
        served = self.databases_of_reads(40)
        self.assertGreaterEqual(served.count("r1"), 30)
        self.assertNotIn("r2", served, "in another region")

    def test_other_database_serves_while_near_replica_has_a_queue(self) -> None:
        for database in self.harness.model.databases.values():
            database.applied = LogPosition(1, 100)
        self.occupy("r1", 40)
        served = self.databases_of_reads(20)
        self.assertEqual(served.count("r1"), 0)

    def test_read_waits_for_lagging_replica(self) -> None:
        """The primary is full for longer than the replica lags, and the replica refuses no read."""
        self.harness.model.lag = {"r1": 0.08, "r2": None}
        for _ in range(12):
            self.session.write(wait=0.05)
        self.session.read(wait=0.25)
        self.harness.group.observe_position("r2", LogPosition(1, 5))
        self.session.write(wait=0.05)
        self.acquire_connections("p", 400)
        read = self.session.start(StatementKind.READ, argument="thing")
        self.harness.scheduler.advance(0.2)
        self.assertIsNone(self.session.reply(read).failure)
        attempts = self.session.answered()[-1].way
        self.assertTrue(attempts.startswith("r1:floor:done@"), attempts)
        self.assertGreater(int(attempts.partition("@")[2]), 20)

    def test_read_moves_to_other_database_after_waiting(self) -> None:
        """All connections to the near replica are borrowed, but no statement runs on them."""
        for database in self.harness.model.databases.values():
            database.applied = LogPosition(1, 100)
        self.occupy("r1", 4)
        read = self.session.start(StatementKind.READ, argument="thing")
        self.harness.scheduler.advance(0.09)
        self.assertEqual(self.session.client.replies[1:], [])
        self.harness.scheduler.advance(0.21)
        self.assertIsNone(self.session.reply(read).failure)
        attempts = self.session.answered()[-1].way
        self.assertIn("r1:floor:denied_no_room@", attempts)
        self.assertIn(":done@", attempts)

    def acquire_connections(self, database: str, count: int) -> None:
        pool = self.harness.group.pool(database)
        for _ in range(count):
            pool.acquire(Waiter(0, lambda _: None, lambda _: None), {})

    def test_log_line_contains_expected_completion(self) -> None:
        self.harness.model.databases["r1"].applied = LogPosition(1, 100)
        self.session.read()
        answered = self.session.answered()[-1]
        self.assertGreater(answered.expected_ms, 0)
        self.assertEqual(answered.word_age_ms, 0)
        write = self.session.answered()[0]
        self.assertEqual((write.expected_ms, write.word_age_ms), (-1, -1))

    def test_holder_measures_service_times(self) -> None:
        self.harness.model.databases["r1"].applied = LogPosition(1, 100)
        self.harness.model.databases["r1"].work = 0.04
        for _ in range(60):
            self.session.read()
        report = load_report_of(self.harness.group.pool("r1"))
        self.assertGreater(report.service_ms, 25, "expected about 42 ms")
        self.assertLess(report.service_ms, 46)

    def test_failing_database_gets_fewer_reads(self) -> None:
        for database in self.harness.model.databases.values():
            database.applied = LogPosition(1, 100)
        self.harness.model.databases["r1"].fail_next = [ErrorCode.OVERLOADED] * 30
        served = [self.session.answered()[-1].way for _ in range(30) if self.session.read()]
        self.assertLess(sum("r1" in attempts for attempts in served), 15)


class ReportedLoadTest(unittest.TestCase):
    def setUp(self) -> None:
        self.holder = PoolerHarness(limit=2)
        enable_read_choice(self.holder)
        self.pooler = SharingHarness(self.holder)
        self.choice = enable_read_choice(self.pooler)
        for database in self.holder.model.databases.values():
            database.applied = LogPosition(1, 100)

    def test_replies_carry_load_reports(self) -> None:
        session = self.pooler.session()
        session.write()
        load = self.choice.load_table.estimate("p", self.holder.scheduler.now())
        assert load is not None
        self.assertEqual(load.window, 2)
        self.assertLess(load.age_seconds, 1.0)

    def test_loaded_database_is_avoided_until_its_report_ages(self) -> None:
        session = self.pooler.session(Consistency.BOUNDED_STALENESS)
        self.pooler.session().write()
        now = self.holder.scheduler.now()
        for name, report in (("r1", LOADED), ("r2", FREE), ("p", FREE)):
            self.pooler.group.record_load_report(name, "holder", report)
        self.assertIsNone(session.read(wait=0.05).failure)
        self.assertNotIn("r1", session.answered()[-1].way)
        self.holder.scheduler.advance(30.0 - (self.holder.scheduler.now() - now))
        self.pooler.session().write()
        self.assertIsNone(session.read().failure)
        self.assertIn("r1", session.answered()[-1].way)


class ExpectedTargetsTest(unittest.TestCase):
    def test_expected_targets_have_same_databases_and_proofs(self) -> None:
        view = GroupView("g")
        draining = record("gone", 4, draining=True)
        for each in (record("p", 1, "primary"), record("a", 2), record("b", 3), draining):
            view = view.with_record(each, 0.0)
        harness = PoolerHarness()
        choice = enable_read_choice(harness)
        floor = LogPosition(1, 1)
        targets = targets_by_completion(
            view,
            floor,
            view.primary,
            lambda each, _floor: choice.completion(each, None, True, "", 0, 0.0, each.id == "p"),
            choice.order,
        )
        self.assertEqual({target.database.id for target in targets[:-1]}, {"p", "a", "b"})
        self.assertEqual(
            {(each.proof, each.floor) for each in targets[:-1]}, {(Proof.FLOOR, floor)}
        )
        self.assertEqual(
            (targets[-1].database.id, targets[-1].proof), ("p", Proof.PRIMARY_TRANSACTION)
        )
        none = targets_by_completion(view, None, view.primary, None, choice.order)  # type: ignore[arg-type]
        self.assertEqual([target.proof for target in none], [Proof.PRIMARY_TRANSACTION])


if __name__ == "__main__":
    unittest.main()
