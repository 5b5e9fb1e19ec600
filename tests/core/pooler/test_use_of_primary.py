"""Statements that require the primary, without a lease on it or after the lease was lost."""

import unittest

from dewledge.core.pooler.databases.group import LOST_LOG_TIMEOUT_SECONDS
from dewledge.core.pooler.failover.messages import Claim
from dewledge.core.pooler.failover.primary_lease import LEASE_SECONDS, Fencing, PrimaryLease
from dewledge.core.pooler.sessions.routes import Consistency
from dewledge.core.pooler.statements.statements import StatementKind, TransactionState
from dewledge.core.shared.positions import LogPosition
from dewledge.errors import ErrorCode
from tests.core.pooler.harness import PoolerHarness, SessionProbe


class PrimaryLeaseUseTest(unittest.TestCase):
    def setUp(self) -> None:
        self.harness = PoolerHarness()
        self.lease = PrimaryLease(Fencing.PROCESSES)
        self.harness.group.primary_lease = self.lease

    def confirm(self) -> None:
        self.lease.confirm(self.harness.scheduler.now())
        self.harness.group.on_lease_renewed()

    def ban(self, name: str = "p") -> None:
        self.lease.apply_claim(Claim("holder", name, self.lease.fencing_token + 1, "r1"))

    def session(self, consistency: Consistency = Consistency.READ_OWN_WRITES) -> SessionProbe:
        return self.harness.session(consistency)

    def ran(self) -> list[str]:
        return [ran.database for ran in self.harness.model.ran]

    def test_write_waits_for_lease(self) -> None:
        session = self.session()
        write = session.start(StatementKind.WRITE, argument="thing data")
        self.harness.scheduler.advance(0.3)
        self.assertEqual(self.ran(), [])
        self.confirm()
        self.harness.scheduler.advance(0.3)
        self.assertIsNone(session.reply(write).failure)

    def test_write_that_waits_too_long_for_lease_does_not_run(self) -> None:
        reply = self.session().write(wait=1.0)
        assert reply.failure is not None
        self.assertIs(reply.failure.code, ErrorCode.OVERLOADED)
        self.assertIn("come back in", reply.failure.message)
        self.assertEqual(self.ran(), [])

    def test_lease_is_checked_after_connection_is_acquired(self) -> None:
        self.confirm()
        session = self.session()
        session.write()
        before = len(self.ran())
        session.start(StatementKind.SET_VALUE, "n", "v")
        write = session.start(StatementKind.WRITE, argument="thing data")
        self.ban()
        self.harness.scheduler.advance(1.0)
        reply = session.reply(write)
        assert reply.failure is not None
        self.assertIs(reply.failure.code, ErrorCode.OVERLOADED)
        self.assertEqual(len(self.ran()), before)

    def test_reply_after_primary_is_banned_is_not_forwarded(self) -> None:
        cases = (
            (StatementKind.WRITE, Consistency.READ_OWN_WRITES, ErrorCode.CONNECTION_LOST),
            (StatementKind.READ, Consistency.PRIMARY, ErrorCode.OVERLOADED),
        )
        for kind, consistency, code in cases:
            with self.subTest(kind):
                self.setUp()
                self.confirm()
                session = self.session(consistency)
                session.write()
                self.harness.model.databases["p"].work = 0.1
                statement_id = session.start(kind, argument="thing data")
                self.harness.scheduler.advance(0.05)
                self.ban()
                self.harness.scheduler.advance(1.0)
                reply = session.reply(statement_id)
                assert reply.failure is not None
                self.assertIs(reply.failure.code, code)

    def test_reply_after_lease_expiry_proves_no_position(self) -> None:
        self.confirm()
        self.harness.model.databases["p"].work = LEASE_SECONDS + 0.2
        session = self.harness.session(Consistency.READ_OWN_WRITES)
        session.start(StatementKind.WRITE, argument="thing data")
        self.harness.scheduler.advance(LEASE_SECONDS + 1.0)
        self.assertIsNone(self.harness.group.history.newest)

    def test_primary_that_started_again_without_its_log_is_not_read(self) -> None:
        """Guards against reads that miss all commits of the former database under the same id."""
        for position in (LogPosition(0, 0), LogPosition(1, 0)):
            with self.subTest(position):
                self.setUp()
                self.confirm()
                session = self.session(Consistency.PRIMARY)
                session.write()
                read = session.start(StatementKind.READ, argument="thing")
                self.harness.scheduler.advance(0.1)
                self.assertIsNone(session.reply(read).failure)
                self.harness.model.databases["p"].applied = position
                read = session.start(StatementKind.READ, argument="thing")
                self.harness.scheduler.advance(2.0)
                self.assertIsNotNone(session.reply(read).failure)
                self.assertIsNone(self.harness.group.view.primary)

    def test_primary_without_its_log_is_used_again_if_no_database_holds_the_commits(self) -> None:
        """Guards against a group that stays without a primary for good."""
        self.confirm()
        session = self.session(Consistency.PRIMARY)
        session.write()
        for database in self.harness.model.databases.values():
            database.applied = LogPosition(0, 0)
        answered_after = 0.0
        for number in range(50):
            self.harness.announce("p")
            self.confirm()
            read = session.start(StatementKind.READ, argument="thing")
            self.harness.scheduler.advance(1.0)
            if session.reply(read).failure is None:
                answered_after = float(number)
                break
        self.assertGreaterEqual(answered_after, LOST_LOG_TIMEOUT_SECONDS - 2.0)

    def test_write_at_a_primary_without_its_log_is_in_doubt(self) -> None:
        self.confirm()
        session = self.session()
        session.write()
        self.harness.model.databases["p"].applied = LogPosition(0, 0)
        reply = session.write()
        assert reply.failure is not None
        self.assertIs(reply.failure.code, ErrorCode.CONNECTION_LOST)

    def test_transaction_on_banned_primary_is_lost(self) -> None:
        self.confirm()
        session = self.session()
        session.ask(StatementKind.BEGIN)
        session.write()
        self.ban()
        reply = session.write()
        assert reply.failure is not None
        self.assertIs(reply.failure.code, ErrorCode.TRANSACTION_LOST)
        self.assertIs(reply.state, TransactionState.FAILED)

    def test_commit_outcome_is_unknown_if_sent_before_ban_and_lost_otherwise(self) -> None:
        for is_sent in (True, False):
            with self.subTest(is_sent=is_sent):
                self.setUp()
                self.confirm()
                session = self.session()
                session.ask(StatementKind.BEGIN)
                session.write()
                self.harness.model.databases["p"].work = 0.1
                if not is_sent:
                    self.ban()
                commit = session.start(StatementKind.COMMIT)
                self.harness.scheduler.advance(0.05)
                if is_sent:
                    self.ban()
                self.harness.scheduler.advance(0.5)
                reply = session.reply(commit)
                assert reply.failure is not None
                expected = ErrorCode.CONNECTION_LOST if is_sent else ErrorCode.TRANSACTION_LOST
                self.assertIs(reply.failure.code, expected)
                self.assertIs(reply.state, TransactionState.IDLE)

    def test_transaction_waiting_for_lease_starts_on_next_primary(self) -> None:
        self.confirm()
        session = self.session()
        session.ask(StatementKind.BEGIN)
        self.ban()
        write = session.start(StatementKind.WRITE, argument="thing data")
        self.harness.scheduler.advance(0.2)
        self.harness.model.promote("r1")
        for name in ("p", "r1"):
            self.harness.announce(name)
        self.harness.scheduler.advance(0.3)
        self.assertIsNone(session.reply(write).failure)
        self.assertEqual(self.ran(), ["r1"])

    def test_reads_with_floor_need_no_lease(self) -> None:
        self.confirm()
        session = self.session(Consistency.BOUNDED_STALENESS)
        session.read()
        self.ban()
        self.assertIsNone(session.read().failure)

    def proxy_statements(self) -> list[StatementKind]:
        return self.harness.model.proxy_requests

    def test_read_at_confirmed_primary_opens_no_transaction(self) -> None:
        self.confirm()
        session = self.session(Consistency.PRIMARY)
        session.read()
        self.assertEqual(self.proxy_statements(), [StatementKind.BEGIN, StatementKind.ROLLBACK])
        session.read()
        self.assertEqual(len(self.proxy_statements()), 2)
        self.assertIsNotNone(self.harness.group.history.newest)

    def test_primary_is_confirmed_again_under_each_claim(self) -> None:
        cases = (
            ("current claim", Claim("h", "", 5, "p"), 2),
            ("primary is being replaced", Claim("h", "p", 5, "p"), 4),
        )
        for name, claim, expected in cases:
            with self.subTest(name):
                self.setUp()
                self.confirm()
                session = self.session(Consistency.PRIMARY)
                session.read()
                self.proxy_statements().clear()
                self.lease.apply_claim(claim)
                session.read()
                session.read()
                self.assertEqual(len(self.proxy_statements()), expected)

    def test_reply_to_statement_sent_before_claim_does_not_confirm_primary(self) -> None:
        self.confirm()
        session = self.session(Consistency.PRIMARY)
        session.start(StatementKind.READ, argument="thing")
        self.harness.scheduler.advance(0.006)
        self.lease.apply_claim(Claim("h", "", 5, "p"))
        self.harness.scheduler.advance(0.3)
        self.assertFalse(self.lease.is_leadership_proven("p"))

    def test_platform_fencing_needs_no_lease(self) -> None:
        self.harness.group.primary_lease = PrimaryLease(Fencing.PLATFORM)
        self.assertIsNone(self.session().write().failure)


if __name__ == "__main__":
    unittest.main()
