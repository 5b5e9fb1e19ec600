"""Reads and the load that they find: chosen by expected completion, in whole sessions."""

import random
import unittest

from dewledge.core.pooler.databases.group_view import GroupView
from dewledge.core.pooler.load.report import LoadReport
from dewledge.core.pooler.pool.connection_pool import Waiter
from dewledge.core.pooler.sessions.routes import Consistency
from dewledge.core.pooler.statements.read_choice import ReadChoice, report_of
from dewledge.core.pooler.statements.statements import StatementKind
from dewledge.core.pooler.statements.targets import Proof, expected_targets
from dewledge.core.shared.positions import LogPosition
from dewledge.errors import ErrorCode
from tests.core.pooler.harness import PoolerHarness
from tests.core.pooler.sharing.model_channels import SharingHarness
from tests.core.pooler.test_freshness import record

LOADED = LoadReport(60, 0, 6, 6, 0, 10)
FREE = LoadReport(0, 0, 1, 6, 0, 10)


def choose(harness: PoolerHarness) -> ReadChoice:
    choice = ReadChoice(harness.scheduler.now, random.Random(3).random)
    harness.group.choice = choice
    return choice


class OwnConnectionsTest(unittest.TestCase):
    def setUp(self) -> None:
        self.harness = PoolerHarness()
        choose(self.harness)
        self.session = self.harness.session()
        self.session.write()

    def occupy(self, database: str, count: int) -> None:
        """Has statements hold or await all connections to a database."""
        self.occupy_for_the_moment(database, count)
        self.harness.scheduler.advance(0.1)

    def databases_of_reads(self, count: int) -> list[str]:
        """Returns who served so many reads that need no more than what is proven."""
        before = len(self.harness.model.ran)
        for _ in range(count):
            self.assertIsNone(self.session.read().failure)
        return [ran.database for ran in self.harness.model.ran[before:]]

    def test_the_near_replica_serves_while_it_has_room(self) -> None:
        for database in self.harness.model.databases.values():
            database.applied = LogPosition(1, 100)
        served = self.databases_of_reads(40)
        self.assertGreaterEqual(served.count("r1"), 30)
        self.assertNotIn("r2", served, "in another region")

    def test_another_serves_while_it_has_a_queue(self) -> None:
        for database in self.harness.model.databases.values():
            database.applied = LogPosition(1, 100)
        self.occupy("r1", 40)
        served = self.databases_of_reads(20)
        self.assertEqual(served.count("r1"), 0)

    def test_a_read_is_kept_until_a_lagging_replica_has_its_position(self) -> None:
        """The primary is full for longer than the replica lags; nothing is refused there."""
        self.harness.model.lag = {"r1": 0.08, "r2": None}
        for _ in range(12):
            self.session.write(wait=0.05)
        self.session.read(wait=0.25)
        self.harness.group.observe_position("r2", LogPosition(1, 5))
        self.session.write(wait=0.05)
        self.occupy_for_the_moment("p", 400)
        read = self.session.start(StatementKind.READ, argument="thing")
        self.harness.scheduler.advance(0.2)
        self.assertIsNone(self.session.reply(read).failure)
        way = self.session.answered()[-1].way
        self.assertTrue(way.startswith("r1:floor:done@"), way)
        self.assertGreater(int(way.partition("@")[2]), 20)

    def test_a_read_turns_to_another_database_when_one_keeps_it_waiting(self) -> None:
        """All connections to the near replica are lent, to nothing that its load would show."""
        for database in self.harness.model.databases.values():
            database.applied = LogPosition(1, 100)
        self.occupy("r1", 4)
        read = self.session.start(StatementKind.READ, argument="thing")
        self.harness.scheduler.advance(0.09)
        self.assertEqual(self.session.client.replies[1:], [])
        self.harness.scheduler.advance(0.21)
        self.assertIsNone(self.session.reply(read).failure)
        way = self.session.answered()[-1].way
        self.assertIn("r1:floor:denied_no_room@", way)
        self.assertIn(":done@", way)

    def occupy_for_the_moment(self, database: str, count: int) -> None:
        pool = self.harness.group.pool(database)
        for _ in range(count):
            pool.acquire(Waiter(0, lambda _: None, lambda _: None), {})

    def test_the_line_tells_what_was_expected(self) -> None:
        self.harness.model.databases["r1"].applied = LogPosition(1, 100)
        self.session.read()
        answered = self.session.answered()[-1]
        self.assertGreater(answered.expected_ms, 0)
        self.assertEqual(answered.word_age_ms, 0)
        write = self.session.answered()[0]
        self.assertEqual((write.expected_ms, write.word_age_ms), (-1, -1))

    def test_service_times_are_measured_where_connections_are_held(self) -> None:
        self.harness.model.databases["r1"].applied = LogPosition(1, 100)
        self.harness.model.databases["r1"].work = 0.04
        for _ in range(60):
            self.session.read()
        report = report_of(self.harness.group.pool("r1"))
        self.assertGreater(report.service_ms, 25, "of 42, from 10")
        self.assertLess(report.service_ms, 46)

    def test_one_that_leaves_statements_without_an_answer_gets_less(self) -> None:
        for database in self.harness.model.databases.values():
            database.applied = LogPosition(1, 100)
        self.harness.model.databases["r1"].fail_next = [ErrorCode.OVERLOADED] * 30
        served = [self.session.answered()[-1].way for _ in range(30) if self.session.read()]
        self.assertLess(sum("r1" in way for way in served), 15)


class ToldLoadTest(unittest.TestCase):
    def setUp(self) -> None:
        self.holder = PoolerHarness(limit=2)
        choose(self.holder)
        self.pooler = SharingHarness(self.holder)
        self.choice = choose(self.pooler)
        for database in self.holder.model.databases.values():
            database.applied = LogPosition(1, 100)

    def test_word_comes_with_answers(self) -> None:
        session = self.pooler.session()
        session.write()
        known = self.choice.book.known("p", self.holder.scheduler.now())
        assert known is not None
        self.assertEqual(known.window, 2)
        self.assertLess(known.age_seconds, 1.0)

    def test_a_loaded_database_is_left_and_found_again(self) -> None:
        session = self.pooler.session(Consistency.BOUNDED_STALENESS)
        self.pooler.session().write()
        now = self.holder.scheduler.now()
        for name, report in (("r1", LOADED), ("r2", FREE), ("p", FREE)):
            self.pooler.group.take_load(name, "holder", report)
        self.assertIsNone(session.read(wait=0.05).failure)
        self.assertNotIn("r1", session.answered()[-1].way)
        self.holder.scheduler.advance(30.0 - (self.holder.scheduler.now() - now))
        self.pooler.session().write()
        self.assertIsNone(session.read().failure)
        self.assertIn("r1", session.answered()[-1].way)


class ExpectedTargetsTest(unittest.TestCase):
    def test_the_same_targets_under_the_same_proofs(self) -> None:
        view = GroupView("g")
        leaving = record("gone", 4, draining=True)
        for each in (record("p", 1, "primary"), record("a", 2), record("b", 3), leaving):
            view = view.with_record(each, 0.0)
        harness = PoolerHarness()
        choice = choose(harness)
        floor = LogPosition(1, 1)
        targets = expected_targets(
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
        self.assertEqual((targets[-1].database.id, targets[-1].proof), ("p", Proof.LEAD))
        none = expected_targets(view, None, view.primary, None, choice.order)  # type: ignore[arg-type]
        self.assertEqual([target.proof for target in none], [Proof.LEAD])


if __name__ == "__main__":
    unittest.main()
