"""Sessions: values, prepared statements, transactions and ends, over shared connections."""

import unittest

from dewledge.core.pooler.events import TransactionEnded
from dewledge.core.pooler.sessions.routes import Consistency, RouteTable
from dewledge.core.pooler.statements.statements import (
    MalformedInput,
    Startup,
    Statement,
    StatementKind,
    Terminate,
    TransactionState,
)
from dewledge.errors import ErrorCode
from tests.core.pooler.harness import PoolerHarness, SessionProbe


class StartupTest(unittest.TestCase):
    def test_an_unknown_database_name_is_refused(self) -> None:
        probe = SessionProbe(PoolerHarness(), "nowhere")
        self.assertIsNotNone(probe.client.refused)
        self.assertEqual(probe.client.refused.code, ErrorCode.UNKNOWN_GROUP)  # type: ignore[union-attr]

    def test_without_a_configuration_a_session_waits_for_it(self) -> None:
        harness = PoolerHarness(configured=False)
        probe = harness.session(wait=1.0)
        self.assertEqual((probe.client.ready, probe.client.refused), (0, None))
        harness.configure()
        self.assertEqual(probe.client.ready, 1)

    def test_a_session_that_waited_too_long_is_refused_with_when_to_come_back(self) -> None:
        harness = PoolerHarness(configured=False)
        probe = harness.session(wait=1.7)
        refused = probe.client.refused
        assert refused is not None
        self.assertEqual(refused.code, ErrorCode.OVERLOADED)
        self.assertIn("come back in", refused.message)
        harness.configure()
        self.assertEqual(probe.client.ready, 0)

    def test_a_second_startup_ends_the_session(self) -> None:
        probe = PoolerHarness().session()
        probe.session.handle(Startup("primary", "x"))
        self.assertIsNotNone(probe.client.refused)


class SessionStateTest(unittest.TestCase):
    def setUp(self) -> None:
        self.harness = PoolerHarness(limit=1)

    def test_values_follow_their_session_over_one_shared_connection(self) -> None:
        first, second = self.harness.session(), self.harness.session()
        first.ask(StatementKind.SET_VALUE, "tenant", "north")
        second.ask(StatementKind.SET_VALUE, "role", "cook")
        for probe, expected in ((first, {"tenant": "north"}), (second, {"role": "cook"})) * 2:
            probe.write()
            self.assertEqual(self.harness.model.ran[-1].values, expected)
        self.assertEqual({ran.connection for ran in self.harness.model.ran}, {0})

    def test_one_name_prepared_differently_by_two_sessions_runs_each_ones_shape(self) -> None:
        first, second = self.harness.session(), self.harness.session()
        first.ask(StatementKind.PREPARE, "s1", "shape-a", writes=True)
        second.ask(StatementKind.PREPARE, "s1", "shape-b", writes=True)
        for probe, expected in ((first, "True shape-a"), (second, "True shape-b")) * 2:
            probe.ask(StatementKind.EXECUTE, "s1", "thing data")
            self.assertEqual(self.harness.model.ran[-1].prepared, expected)

    def test_a_name_that_is_closed_is_unknown(self) -> None:
        probe = self.harness.session()
        probe.ask(StatementKind.PREPARE, "s1", "shape", writes=False)
        probe.ask(StatementKind.DEALLOCATE, "s1")
        failure = probe.ask(StatementKind.EXECUTE, "s1", "thing").failure
        assert failure is not None
        self.assertEqual(failure.code, ErrorCode.UNKNOWN_STATEMENT)

    def test_too_many_values_are_refused_and_the_known_ones_kept(self) -> None:
        probe = self.harness.session()
        replies = [probe.ask(StatementKind.SET_VALUE, f"n{n}", "v", wait=0) for n in range(257)]
        self.assertIsNone(replies[255].failure)
        self.assertEqual(replies[256].failure.code, ErrorCode.TOO_LARGE)  # type: ignore[union-attr]
        self.assertIsNone(probe.ask(StatementKind.SET_VALUE, "n0", "w", wait=0).failure)


class TransactionTest(unittest.TestCase):
    def setUp(self) -> None:
        self.harness = PoolerHarness(limit=2)

    def test_all_statements_run_on_one_connection_which_no_other_session_uses(self) -> None:
        first, second = self.harness.session(), self.harness.session()
        first.ask(StatementKind.BEGIN)
        first.write()
        second.write()
        first.write()
        done = first.ask(StatementKind.COMMIT)
        self.assertEqual(done.state, TransactionState.IDLE)
        in_transaction = [ran for ran in self.harness.model.ran if ran.in_transaction]
        self.assertEqual(len({ran.connection for ran in in_transaction}), 1)
        alone = [ran for ran in self.harness.model.ran if not ran.in_transaction]
        self.assertNotEqual(alone[0].connection, in_transaction[0].connection)
        self.assertEqual(len(self.harness.model.commits), 3)

    def test_begin_takes_no_connection_before_the_first_statement(self) -> None:
        probe = self.harness.session()
        self.assertEqual(probe.ask(StatementKind.BEGIN).state, TransactionState.OPEN)
        self.assertEqual(self.harness.model.transports, [])

    def test_rollback_keeps_nothing_and_gives_the_connection_back(self) -> None:
        probe = self.harness.session()
        probe.ask(StatementKind.BEGIN)
        probe.write()
        self.assertEqual(probe.ask(StatementKind.ROLLBACK).state, TransactionState.IDLE)
        self.assertEqual(self.harness.model.commits, [])
        self.assertEqual(self.harness.group.pool("p").in_use, 0)

    def test_a_failed_transaction_takes_only_its_end(self) -> None:
        for ending, code in (
            (StatementKind.ROLLBACK, None),
            (StatementKind.COMMIT, ErrorCode.TRANSACTION_LOST),
        ):
            with self.subTest(ending):
                probe = self.harness.session()
                probe.ask(StatementKind.BEGIN)
                probe.write()
                self.harness.model.databases["p"].fail_next = [ErrorCode.STATEMENT_FAILED]
                self.assertEqual(probe.write().state, TransactionState.FAILED)
                again = probe.read()
                self.assertEqual(again.failure.code, ErrorCode.MALFORMED_REQUEST)  # type: ignore[union-attr]
                ended = probe.ask(ending)
                self.assertEqual(ended.failure and ended.failure.code, code)
                self.assertEqual(ended.state, TransactionState.IDLE)
                self.assertEqual(self.harness.model.commits, [])

    def test_a_transaction_that_rests_is_ended_and_the_next_statement_told(self) -> None:
        probe = self.harness.session()
        probe.ask(StatementKind.BEGIN)
        probe.write()
        self.assertIsNotNone(probe.session.resting_since())
        probe.session.end_transaction("rested_too_long")
        self.harness.scheduler.advance(0.1)
        self.assertEqual(self.harness.group.pool("p").in_use, 0)
        told = probe.write()
        self.assertEqual(told.failure.code, ErrorCode.TRANSACTION_LOST)  # type: ignore[union-attr]
        self.assertEqual(probe.ask(StatementKind.ROLLBACK).state, TransactionState.IDLE)
        self.assertTrue(any(isinstance(event, TransactionEnded) for event in self.harness.events))

    def test_a_client_that_leaves_midway_keeps_nothing(self) -> None:
        for midway in (False, True):
            with self.subTest(statement_running=midway):
                harness = PoolerHarness(limit=1)
                probe = harness.session()
                probe.ask(StatementKind.BEGIN)
                probe.write()
                if midway:
                    probe.start(StatementKind.WRITE, argument="thing data")
                probe.session.handle(Terminate())
                harness.scheduler.advance(1.0)
                self.assertEqual(harness.model.commits, [])
                self.assertEqual(harness.group.pool("p").in_use, 0)
                self.assertIsNone(harness.session().write().failure)

    def test_a_route_change_binds_from_the_next_transaction(self) -> None:
        probe = self.harness.session(Consistency.PRIMARY)
        probe.ask(StatementKind.BEGIN)
        self.harness.services.routes = RouteTable(2, {}, {})
        self.assertIsNone(probe.write().failure)
        self.assertIsNone(probe.ask(StatementKind.COMMIT).failure)
        refused = probe.write()
        self.assertEqual(refused.failure.code, ErrorCode.UNKNOWN_GROUP)  # type: ignore[union-attr]


class OrderTest(unittest.TestCase):
    def test_statements_sent_at_once_are_answered_in_order(self) -> None:
        harness = PoolerHarness()
        probe = harness.session()
        ids = [probe.start(StatementKind.WRITE, argument=f"{n} x") for n in range(5)]
        harness.scheduler.advance(1.0)
        self.assertEqual([known for known, _ in probe.client.replies], ids)

    def test_too_many_at_once_end_the_session(self) -> None:
        probe = PoolerHarness().session()
        for n in range(66):
            probe.start(StatementKind.WRITE, argument=f"{n} x")
        self.assertIsNotNone(probe.client.refused)

    def test_an_unreadable_statement_is_answered_and_the_session_goes_on(self) -> None:
        probe = PoolerHarness().session()
        probe.session.handle(MalformedInput("7", "unknown statement"))
        self.assertEqual(probe.reply("7").failure.code, ErrorCode.MALFORMED_REQUEST)  # type: ignore[union-attr]
        self.assertIsNone(probe.read().failure)


class LeavingTest(unittest.TestCase):
    def test_a_session_at_rest_is_closed_at_once(self) -> None:
        probe = PoolerHarness().session()
        probe.session.leave()
        self.assertTrue(probe.client.closed)

    def test_near_the_end_a_new_statement_is_refused_at_once(self) -> None:
        harness = PoolerHarness()
        probe = harness.session()
        running = probe.start(StatementKind.WRITE, argument="thing data")
        harness.services.is_ending = True
        late = harness.session().ask(StatementKind.WRITE, argument="thing data", wait=0.0)
        self.assertEqual(late.failure.code, ErrorCode.OVERLOADED)  # type: ignore[union-attr]
        self.assertIn("come back in", late.failure.message)  # type: ignore[union-attr]
        harness.scheduler.advance(1.0)
        self.assertIsNone(probe.reply(running).failure)
        self.assertEqual(len(harness.model.commits), 1)

    def test_a_statement_is_answered_first(self) -> None:
        harness = PoolerHarness()
        probe = harness.session()
        statement_id = probe.start(StatementKind.WRITE, argument="thing data")
        probe.session.leave()
        self.assertFalse(probe.client.closed)
        harness.scheduler.advance(1.0)
        self.assertIsNone(probe.reply(statement_id).failure)
        self.assertTrue(probe.client.closed)

    def test_what_came_in_one_piece_is_answered_whole(self) -> None:
        """The first message ends a failed transaction, so that the session is at rest after it."""
        harness = PoolerHarness()
        probe = harness.session()
        probe.ask(StatementKind.BEGIN)
        probe.write()
        probe.session.end_transaction("rested_too_long")
        probe.session.leave()
        self.assertFalse(probe.client.closed)
        rollback = Statement("r1", StatementKind.ROLLBACK, "ROLLBACK")
        read = Statement("r2", StatementKind.READ, "READ thing", argument="thing")
        probe.session.handle_all([rollback, read])
        harness.scheduler.advance(1.0)
        self.assertIsNone(probe.reply("r1").failure)
        self.assertIsNone(probe.reply("r2").failure)
        self.assertTrue(probe.client.closed)

    def test_an_open_transaction_may_end(self) -> None:
        probe = PoolerHarness().session()
        probe.ask(StatementKind.BEGIN)
        probe.write()
        probe.session.leave()
        self.assertIsNone(probe.ask(StatementKind.COMMIT).failure)
        self.assertTrue(probe.client.closed)


if __name__ == "__main__":
    unittest.main()
