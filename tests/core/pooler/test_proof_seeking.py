"""Reads that find no floor: one goes to the primary, and its answer serves the others."""

import unittest

from dewledge.core.pooler.sessions.routes import Consistency
from dewledge.core.pooler.statements.statements import StatementKind
from tests.core.pooler.harness import PoolerHarness, SessionProbe
from tests.core.pooler.sharing.model_channels import SharingHarness


class ProofSeekingTest(unittest.TestCase):
    def setUp(self) -> None:
        self.harness = PoolerHarness(limit=4)
        self.scheduler = self.harness.scheduler
        self.model = self.harness.model

    def start_reads(self, count: int) -> list[tuple[SessionProbe, str]]:
        sessions = [self.harness.session(Consistency.BOUNDED_STALENESS) for _ in range(count)]
        return [(each, each.start(StatementKind.READ, argument="thing")) for each in sessions]

    def test_at_a_cold_start_one_read_goes_to_the_primary_and_all_are_served(self) -> None:
        for database in self.model.databases.values():
            database.work = 0.03
        started = self.start_reads(40)
        self.scheduler.advance(1.0)
        for session, known in started:
            self.assertIsNone(session.reply(known).failure)
        self.assertEqual(self.model.own.count(StatementKind.BEGIN), 1)
        served = {ran.database for ran in self.model.ran}
        self.assertTrue({"r1", "r2"} <= served)

    def test_when_that_read_fails_another_takes_its_place(self) -> None:
        self.model.databases["p"].break_answers = 1
        started = self.start_reads(6)
        self.scheduler.advance(0.6)
        for session, known in started:
            self.assertIsNone(session.reply(known).failure)

    def test_when_that_read_is_slow_the_others_do_not_wait_for_it_alone(self) -> None:
        first = self.start_reads(1)
        self.scheduler.advance(0.004)
        self.model.databases["p"].lose_answers = 1
        others = self.start_reads(3)
        self.scheduler.advance(0.9)
        for session, known in others:
            self.assertIsNone(session.reply(known).failure)
        self.assertEqual(len(first), 1)

    def test_one_that_has_waited_goes_to_the_primary_itself(self) -> None:
        self.model.databases["p"].work = 0.28
        self.start_reads(1)
        self.scheduler.advance(0.001)
        others = self.start_reads(3)
        self.scheduler.advance(0.9)
        for session, known in others:
            self.assertIsNone(session.reply(known).failure)

    def test_a_client_that_leaves_while_its_read_seeks_holds_nobody_up(self) -> None:
        ((leaver, _),) = self.start_reads(1)
        others = self.start_reads(3)
        leaver.session.end()
        self.scheduler.advance(0.3)
        for session, known in others:
            self.assertIsNone(session.reply(known).failure)


class ProofThroughHolderTest(unittest.TestCase):
    def test_what_the_holder_has_proven_spares_the_others_the_primary(self) -> None:
        holder = PoolerHarness(limit=4)
        pooler = SharingHarness(holder)
        writer = holder.session()
        writer.write()
        reader = pooler.session(Consistency.BOUNDED_STALENESS)
        reader.read()
        begun = holder.model.own.count(StatementKind.BEGIN)
        for _ in range(5):
            writer.write()
            reader.read()
            holder.scheduler.advance(0.4)
        self.assertEqual(holder.model.own.count(StatementKind.BEGIN), begun)

    def test_statements_of_others_prove_positions_to_the_holder(self) -> None:
        holder = PoolerHarness(limit=4)
        pooler = SharingHarness(holder)
        self.assertIsNone(holder.group.history.newest)
        pooler.session().write()
        self.assertIsNotNone(holder.group.history.newest)


if __name__ == "__main__":
    unittest.main()
