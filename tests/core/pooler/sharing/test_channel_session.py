"""Guards statements that run on the connections of another process, and losses on the way."""

import unittest

import msgspec

from dewledge.core.pooler.load.policy import LoadPolicy
from dewledge.core.pooler.pool.database_connection import DatabaseConnection
from dewledge.core.pooler.pool.slot_window import MIN_CUT_INTERVAL_SECONDS
from dewledge.core.pooler.sessions.routes import Consistency
from dewledge.core.pooler.statements.statements import (
    Failure,
    Reply,
    Statement,
    StatementKind,
    TransactionState,
)
from dewledge.errors import ErrorCode
from tests.core.pooler.harness import PoolerHarness
from tests.core.pooler.sharing.model_channels import SharingHarness


class SharingCase(unittest.TestCase):
    def setUp(self) -> None:
        self.holder = PoolerHarness(limit=2)
        self.scheduler = self.holder.scheduler
        self.model = self.holder.model
        self.pooler = SharingHarness(self.holder)

    def open_connections(self) -> int:
        return sum(database.open_connections for database in self.model.databases.values())


class StatementTest(SharingCase):
    def test_write_and_read_run_on_holders_connection(self) -> None:
        session = self.pooler.session()
        self.assertIsNone(session.write().failure)
        reply = session.read()
        self.assertEqual(reply.rows, ("row",))
        self.assertTrue(reply.signature.startswith("signed-"))

    def test_sessions_share_connection_limit_of_holder(self) -> None:
        sessions = [self.pooler.session(Consistency.PRIMARY) for _ in range(12)]
        ids = [session.start(StatementKind.WRITE, argument="t d") for session in sessions]
        self.scheduler.advance(0.4)
        replies = [s.reply(statement_id) for s, statement_id in zip(sessions, ids, strict=True)]
        self.assertEqual([reply.failure for reply in replies], [None] * 12)
        self.assertLessEqual(self.model.databases["p"].open_connections, 2)

    def test_session_state_is_applied_to_each_connection(self) -> None:
        first, second = self.pooler.session(), self.pooler.session()
        for session, value in ((first, "1"), (second, "2"), (first, "1"), (second, "2")):
            session.ask(StatementKind.SET_VALUE, "zone", value)
            session.ask(StatementKind.PREPARE, "q", f"shape{value}", writes=False)
            reply = session.ask(StatementKind.EXECUTE, "q", "thing")
            self.assertIsNone(reply.failure)
            self.assertEqual(self.model.ran[-1].values, {"zone": value})
            self.assertEqual(self.model.ran[-1].prepared, f"False shape{value}")

    def test_holder_resends_statement_refused_for_lack_of_slot(self) -> None:
        for busy, is_done in ((5, True), (500, False)):
            with self.subTest(busy):
                self.setUp()
                session = self.pooler.session()
                self.model.databases["p"].fail_next = [ErrorCode.OVERLOADED] * busy
                reply = session.write(wait=1.0)
                self.assertEqual(reply.failure is None, is_done)
                (answered,) = session.answered()
                self.assertEqual("overloaded" in answered.way, not is_done)
                self.assertEqual(len(self.model.commits), int(is_done))

    def test_wait_limit_of_statement_at_holder(self) -> None:
        """With useful waits the limit is the timeout less 0.1 s for the round trip, or 0.4 s if the
        database runs nothing else; without them 0.25 s. The last attempt adds up to 35 ms."""
        for is_useful, timeout, runs_others, limit in (
            (True, 0.5, True, 0.4),
            (True, 0.8, True, 0.7),
            (True, 0.8, False, 0.4),
            (False, 0.8, True, 0.25),
        ):
            with self.subTest(timeout, is_useful=is_useful, runs_others=runs_others):
                self.setUp()
                policy = LoadPolicy(useful_waits=is_useful)
                self.holder.services.load_policy = policy
                self.pooler.services.load_policy = policy
                name = str(Consistency.READ_OWN_WRITES)
                routes = self.pooler.services.routes
                hurried = msgspec.structs.replace(routes.routes[name], statement_timeout=timeout)
                self.pooler.services.routes = msgspec.structs.replace(
                    routes, routes={**routes.routes, name: hurried}
                )
                self.model.databases["p"].fail_next = [ErrorCode.OVERLOADED] * 500
                session = self.pooler.session()
                statement_id = session.start(StatementKind.WRITE, argument="t d")
                self.pass_time(limit * 0.8, runs_others)
                self.assertEqual(session.client.replies, [])
                self.pass_time(limit * 0.2 + 0.035, runs_others)
                code = session.reply(statement_id).failure.code  # type: ignore[union-attr]
                self.assertEqual(code, ErrorCode.OVERLOADED)

    def pass_time(self, seconds: float, runs_others: bool) -> None:
        """Advances the time; the database may run other statements of the holder."""
        end = self.scheduler.time + seconds
        while self.scheduler.time < end:
            self.scheduler.advance(min(0.1, end - self.scheduler.time))
            if runs_others:
                pool = self.holder.group.peer_pool("p")
                pool.record_answer(StatementKind.READ, Reply(TransactionState.IDLE))

    def test_burst_is_served_within_statement_timeout(self) -> None:
        """24 writes of 50 ms on two connections take 0.65 s; the timeout is 0.8 s."""
        for is_useful in (True, False):
            with self.subTest(is_useful):
                self.setUp()
                policy = LoadPolicy(useful_waits=is_useful)
                self.holder.services.load_policy = policy
                self.pooler.services.load_policy = policy
                self.model.databases["p"].work = 0.05
                sessions = [self.pooler.session(Consistency.PRIMARY) for _ in range(24)]
                ids = [s.start(StatementKind.WRITE, argument="t d") for s in sessions]
                self.scheduler.advance(0.8)
                replies = [
                    s.reply(statement_id) for s, statement_id in zip(sessions, ids, strict=True)
                ]
                refused = sum(reply.failure is not None for reply in replies)
                self.assertEqual(refused == 0, is_useful)

    def test_begin_of_transaction_may_wait_longer_than_setup_timeout(self) -> None:
        """Both connections are in use for 0.45 s of the timeout of 0.8 s."""
        for is_useful in (True, False):
            with self.subTest(is_useful):
                self.setUp()
                policy = LoadPolicy(useful_waits=is_useful)
                self.holder.services.load_policy = policy
                self.pooler.services.load_policy = policy
                database = self.model.databases["p"]
                database.work = 0.45
                busy = [self.pooler.session(Consistency.PRIMARY) for _ in range(2)]
                for other in busy:
                    other.start(StatementKind.WRITE, argument="t d")
                self.scheduler.advance(0.01)
                database.work = 0.01
                session = self.pooler.session(Consistency.PRIMARY)
                session.ask(StatementKind.BEGIN, wait=0.0)
                reply = session.write(wait=0.75)
                self.assertEqual(reply.failure is None, is_useful)

    def test_refused_statements_are_retried_at_promised_time(self) -> None:
        """Of 40 writes of 50 ms the last are refused at once, each with a retry time of its own."""
        self.model.databases["p"].work = 0.05
        warm = [self.pooler.session(Consistency.PRIMARY) for _ in range(2)]
        for session in warm:
            self.assertIsNone(session.write().failure)
        sessions = [self.pooler.session(Consistency.PRIMARY) for _ in range(40)]
        ids = [s.start(StatementKind.WRITE, argument="t d") for s in sessions]
        self.scheduler.advance(0.1)
        replies = [reply for s in sessions for _, reply in s.client.replies]
        refused = [reply.failure for reply in replies if reply.failure is not None]
        self.assertGreater(len(refused), 10)
        self.assertEqual(len({failure.come_back_ms for failure in refused}), len(refused))
        self.assertTrue(all(500 < failure.come_back_ms < 1200 for failure in refused))
        self.scheduler.advance(0.8)
        replies = [s.reply(statement_id) for s, statement_id in zip(sessions, ids, strict=True)]
        self.assertGreaterEqual(sum(reply.failure is None for reply in replies), 20)

    def test_holder_resends_statement_in_transaction(
        self,
    ) -> None:
        session = self.pooler.session()
        session.ask(StatementKind.BEGIN)
        session.write()
        self.model.databases["p"].fail_next = [ErrorCode.OVERLOADED] * 3
        self.assertIsNone(session.write().failure)
        self.assertIsNone(session.ask(StatementKind.COMMIT).failure)
        attempts = [answered.way for answered in session.answered()]
        self.assertFalse([each for each in attempts if "overloaded" in each])
        self.assertEqual(len(self.model.commits), 2)

    def test_status_request_of_peer_needs_no_slot(self) -> None:
        """The status request is answered while the only admitted statement runs for 0.5 s."""
        warm = [self.pooler.session() for _ in range(2)]
        for session in warm:
            session.start(StatementKind.WRITE, argument="t d")
        self.scheduler.advance(0.1)
        pool = self.holder.group.peer_pool("p")
        refused = Reply(TransactionState.IDLE, failure=Failure(ErrorCode.OVERLOADED))
        for _ in range(20):
            pool.record_answer(StatementKind.READ, refused)
            self.scheduler.advance(MIN_CUT_INTERVAL_SECONDS)
        opened: list[DatabaseConnection] = []
        for _ in range(2):
            self.pooler.channels.open("p", "", opened.append, lambda _: None, lambda _: None)
        self.scheduler.advance(0.01)
        self.model.databases["p"].work = 0.5
        opened[0].send(Statement("w", StatementKind.WRITE, argument="t d"), lambda reply: None)
        self.scheduler.advance(0.01)
        replies: list[Reply | None] = []
        opened[1].send_internal(StatementKind.STATUS, replies.append)
        self.scheduler.advance(0.05)
        self.assertEqual([reply is None or reply.failure for reply in replies], [None])

    def test_idle_transaction_occupies_no_slot(self) -> None:
        """A full database admits one statement; an answered BEGIN must not occupy its slot."""
        warm = [self.pooler.session() for _ in range(2)]
        for session in warm:
            session.start(StatementKind.WRITE, argument="t d")
        self.scheduler.advance(0.1)
        pool = self.holder.group.peer_pool("p")
        refused = Reply(TransactionState.IDLE, failure=Failure(ErrorCode.OVERLOADED))
        for _ in range(20):
            pool.record_answer(StatementKind.READ, refused)
            self.scheduler.advance(MIN_CUT_INTERVAL_SECONDS)
        opened: list[DatabaseConnection] = []
        for _ in range(2):
            self.pooler.channels.open("p", "", opened.append, lambda _: None, lambda _: None)
        self.scheduler.advance(0.01)
        replies: list[Reply | None] = []
        opened[0].send_internal(StatementKind.BEGIN, lambda reply: None)
        opened[1].send(Statement("w", StatementKind.WRITE, argument="t d"), replies.append)
        self.scheduler.advance(0.05)
        self.assertEqual([reply is None or reply.failure for reply in replies], [None])

    def test_transaction_keeps_its_connection(self) -> None:
        session, other = self.pooler.session(), self.pooler.session()
        session.ask(StatementKind.BEGIN)
        session.write()
        other.write()
        session.write()
        self.assertIsNone(session.ask(StatementKind.COMMIT).failure)
        inside = [ran.connection for ran in self.model.ran if ran.in_transaction]
        self.assertEqual(len(inside), 3)
        self.assertEqual(len(set(inside)), 1)

    def test_primary_read_through_holder_requires_proof_of_role(self) -> None:
        session = self.pooler.session(Consistency.PRIMARY)
        self.assertIsNone(session.read().failure)
        self.assertIn(StatementKind.BEGIN, self.model.proxy_requests)
        self.model.promote("r1")
        self.scheduler.advance(0.1)
        self.assertEqual(session.read(wait=1.0).failure.code, ErrorCode.OVERLOADED)


class LossTest(SharingCase):
    def test_statement_without_connection_in_time_is_not_executed(self) -> None:
        for _ in range(2):
            session = self.pooler.session()
            session.ask(StatementKind.BEGIN)
            session.write()
        ran = len(self.model.ran)
        reply = self.pooler.session(Consistency.PRIMARY).write(wait=0.8)
        self.assertEqual(reply.failure.code, ErrorCode.OVERLOADED)
        self.scheduler.advance(2.0)
        self.assertEqual(len(self.model.ran), ran)

    def test_unreachable_database_is_suspected_by_holder_and_peer(self) -> None:
        self.model.databases["p"].refuse_connections = True
        reply = self.pooler.session().write(wait=0.8)
        self.assertEqual(reply.failure.code, ErrorCode.OVERLOADED)
        self.assertIn("p", self.holder.suspected)
        self.assertIn("p", self.pooler.suspected)

    def test_lost_link_leaves_write_with_unknown_outcome(self) -> None:
        session = self.pooler.session()
        statement_id = session.start(StatementKind.WRITE, argument="t d")
        self.scheduler.advance(0.006)
        self.pooler.channels.lose_all()
        self.scheduler.advance(1.0)
        self.assertEqual(session.reply(statement_id).failure.code, ErrorCode.CONNECTION_LOST)
        self.assertIsNone(session.write().failure)

    def test_lost_link_reruns_read(self) -> None:
        session = self.pooler.session()
        statement_id = session.start(StatementKind.READ, argument="t")
        self.scheduler.advance(0.008)
        self.pooler.channels.lose_all()
        self.scheduler.advance(0.5)
        self.assertIsNone(session.reply(statement_id).failure)

    def test_lost_link_rolls_back_transaction(self) -> None:
        session = self.pooler.session()
        session.ask(StatementKind.BEGIN)
        session.write()
        self.pooler.channels.lose_all()
        self.scheduler.advance(0.1)
        reply = session.write()
        self.assertEqual(reply.failure.code, ErrorCode.TRANSACTION_LOST)
        self.assertEqual(reply.state, TransactionState.FAILED)
        self.assertEqual(self.model.commits, [])
        self.scheduler.advance(1.0)
        other = self.pooler.session()
        self.assertIsNone(other.write().failure)

    def test_lost_database_connection_ends_channel(self) -> None:
        session = self.pooler.session()
        self.model.databases["p"].break_answers = 1
        self.assertEqual(session.write().failure.code, ErrorCode.CONNECTION_LOST)
        self.assertIsNone(session.write().failure)

    def test_ended_session_releases_connection_of_holder(self) -> None:
        for _ in range(4):
            session = self.pooler.session()
            session.ask(StatementKind.BEGIN)
            session.write()
            session.session.end()
            self.scheduler.advance(0.1)
        self.assertIsNone(self.pooler.session().write().failure)
        self.assertEqual(len(self.model.commits), 1)

    def test_stopping_holder_refuses_new_statements(self) -> None:
        self.holder.services.is_ending = True
        reply = self.pooler.session().write(wait=0.75)
        self.assertEqual(reply.failure.code, ErrorCode.OVERLOADED)  # type: ignore[union-attr]
        self.assertEqual(self.model.ran, [])

    def test_peers_cannot_use_drained_database(self) -> None:
        self.holder.announce("p", draining=True)
        self.scheduler.advance(6.0)
        ran = len(self.model.ran)
        self.pooler.session(Consistency.PRIMARY).write(wait=1.0)
        self.assertEqual(len(self.model.ran), ran)


if __name__ == "__main__":
    unittest.main()
