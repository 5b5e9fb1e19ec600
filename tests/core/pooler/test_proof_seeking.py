"""Guards against flooding the primary with reads when no log position is proven."""

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

    def test_cold_start_sends_one_read_to_the_primary(self) -> None:
        for database in self.model.databases.values():
            database.work = 0.03
        started = self.start_reads(40)
        self.scheduler.advance(1.0)
        for session, statement_id in started:
            self.assertIsNone(session.reply(statement_id).failure)
        self.assertEqual(self.model.proxy_requests.count(StatementKind.BEGIN), 1)
        served = {ran.database for ran in self.model.ran}
        self.assertTrue({"r1", "r2"} <= served)

    def test_failed_proof_request_is_replaced(self) -> None:
        self.model.databases["p"].break_answers = 1
        started = self.start_reads(6)
        self.scheduler.advance(0.6)
        for session, statement_id in started:
            self.assertIsNone(session.reply(statement_id).failure)

    def test_slow_proof_request_does_not_block_other_reads(self) -> None:
        first = self.start_reads(1)
        self.scheduler.advance(0.004)
        self.model.databases["p"].lose_answers = 1
        others = self.start_reads(3)
        self.scheduler.advance(0.9)
        for session, statement_id in others:
            self.assertIsNone(session.reply(statement_id).failure)
        self.assertEqual(len(first), 1)

    def test_read_goes_to_primary_itself_after_waiting(self) -> None:
        self.model.databases["p"].work = 0.28
        self.start_reads(1)
        self.scheduler.advance(0.001)
        others = self.start_reads(3)
        self.scheduler.advance(0.9)
        for session, statement_id in others:
            self.assertIsNone(session.reply(statement_id).failure)

    def test_ended_session_releases_waiting_reads(self) -> None:
        ((leaver, _),) = self.start_reads(1)
        others = self.start_reads(3)
        leaver.session.end()
        self.scheduler.advance(0.3)
        for session, statement_id in others:
            self.assertIsNone(session.reply(statement_id).failure)


class ProofThroughHolderTest(unittest.TestCase):
    def test_proofs_of_holder_are_used_by_peers(self) -> None:
        holder = PoolerHarness(limit=4)
        pooler = SharingHarness(holder)
        writer = holder.session()
        writer.write()
        reader = pooler.session(Consistency.BOUNDED_STALENESS)
        reader.read()
        begun = holder.model.proxy_requests.count(StatementKind.BEGIN)
        for _ in range(5):
            writer.write()
            reader.read()
            holder.scheduler.advance(0.4)
        self.assertEqual(holder.model.proxy_requests.count(StatementKind.BEGIN), begun)

    def test_peer_statements_prove_positions_to_holder(self) -> None:
        holder = PoolerHarness(limit=4)
        pooler = SharingHarness(holder)
        self.assertIsNone(holder.group.history.newest)
        pooler.session().write()
        self.assertIsNotNone(holder.group.history.newest)


if __name__ == "__main__":
    unittest.main()
