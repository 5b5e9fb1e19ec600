"""Client sessions on shared connections: values, prepared statements, transactions, closing."""

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
from tests.core.pooler.harness import PoolerHarness, SessionProbe, route


class StartupTest(unittest.TestCase):
    def test_unknown_database_name_is_refused(self) -> None:
        probe = SessionProbe(PoolerHarness(), "nowhere")
        self.assertIsNotNone(probe.client.refused)
        self.assertEqual(probe.client.refused.code, ErrorCode.UNKNOWN_GROUP)  # type: ignore[union-attr]

    def test_session_waits_for_configuration(self) -> None:
        harness = PoolerHarness(configured=False)
        probe = harness.session(wait=1.0)
        self.assertEqual((probe.client.ready, probe.client.refused), (0, None))
        harness.configure()
        self.assertEqual(probe.client.ready, 1)

    def test_session_is_refused_with_retry_time_after_waiting_too_long(self) -> None:
        harness = PoolerHarness(configured=False)
        probe = harness.session(wait=1.7)
        refused = probe.client.refused
        assert refused is not None
        self.assertEqual(refused.code, ErrorCode.OVERLOADED)
        self.assertIn("come back in", refused.message)
        harness.configure()
        self.assertEqual(probe.client.ready, 0)

    def test_second_startup_ends_session(self) -> None:
        probe = PoolerHarness().session()
        probe.session.handle(Startup("primary", "x"))
        self.assertIsNotNone(probe.client.refused)


class UnconfirmedConfigurationTest(unittest.TestCase):
    """A database name that is unknown by a configuration without a recent confirmation."""

    def setUp(self) -> None:
        self.harness = PoolerHarness()
        self.age = self.harness.services.configuration_age
        self.requests = 0
        self.age.request_confirmation = self.count_request
        self.age.watch(5.0)
        self.age.confirm(self.harness.scheduler.now())

    def count_request(self) -> None:
        self.requests += 1

    def start_unknown(self, wait: float = 0.0) -> SessionProbe:
        return SessionProbe(self.harness, "added", wait)

    def confirm(self) -> None:
        self.age.confirm(self.harness.scheduler.now())

    def test_a_recent_confirmation_refuses_at_once(self) -> None:
        probe = self.start_unknown()
        assert probe.client.refused is not None
        self.assertEqual(probe.client.refused.code, ErrorCode.UNKNOWN_GROUP)
        self.assertEqual(self.requests, 0)

    # Guards against a route that is refused as unknown though it was added before.
    def test_an_added_route_is_accepted_once_the_process_learns_of_it(self) -> None:
        self.harness.scheduler.advance(3.0)
        probe = self.start_unknown(0.5)
        self.assertEqual((probe.client.ready, probe.client.refused), (0, None))
        self.assertEqual(self.requests, 1)
        added = route(Consistency.PRIMARY, database="added")
        table = self.harness.services.routes
        routes = {**table.routes, "added": added}
        self.harness.services.routes = RouteTable(2, routes, table.groups)
        self.confirm()
        self.assertEqual((probe.client.ready, probe.client.refused), (1, None))

    def test_a_route_that_is_still_unknown_is_refused_as_unknown(self) -> None:
        self.harness.scheduler.advance(3.0)
        probe = self.start_unknown(0.5)
        self.confirm()
        assert probe.client.refused is not None
        self.assertEqual(probe.client.refused.code, ErrorCode.UNKNOWN_GROUP)

    def test_without_a_confirmation_it_is_refused_with_a_retry_time(self) -> None:
        self.harness.scheduler.advance(3.0)
        probe = self.start_unknown(1.7)
        assert probe.client.refused is not None
        self.assertEqual(probe.client.refused.code, ErrorCode.OVERLOADED)
        self.assertIn("come back in", probe.client.refused.message)
        self.confirm()
        self.assertEqual(probe.client.ready, 0)

    def test_those_that_were_refused_are_forgotten(self) -> None:
        self.harness.scheduler.advance(3.0)
        for _ in range(20):
            self.start_unknown(1.7)
        self.assertEqual(len(self.age._waiters), 1)

    def test_known_routes_are_served_meanwhile(self) -> None:
        self.harness.scheduler.advance(60.0)
        probe = self.harness.session()
        self.assertEqual(probe.client.ready, 1)
        self.assertIsNone(probe.read().failure)


class SessionStateTest(unittest.TestCase):
    def setUp(self) -> None:
        self.harness = PoolerHarness(limit=1)

    def test_session_values_follow_session_on_shared_connection(self) -> None:
        first, second = self.harness.session(), self.harness.session()
        first.ask(StatementKind.SET_VALUE, "tenant", "north")
        second.ask(StatementKind.SET_VALUE, "role", "cook")
        for probe, expected in ((first, {"tenant": "north"}), (second, {"role": "cook"})) * 2:
            probe.write()
            self.assertEqual(self.harness.model.ran[-1].values, expected)
        self.assertEqual({ran.connection for ran in self.harness.model.ran}, {0})

    def test_same_prepared_name_in_two_sessions_runs_own_statement(self) -> None:
        first, second = self.harness.session(), self.harness.session()
        first.ask(StatementKind.PREPARE, "s1", "shape-a", writes=True)
        second.ask(StatementKind.PREPARE, "s1", "shape-b", writes=True)
        for probe, expected in ((first, "True shape-a"), (second, "True shape-b")) * 2:
            probe.ask(StatementKind.EXECUTE, "s1", "thing data")
            self.assertEqual(self.harness.model.ran[-1].prepared, expected)

    def test_deallocated_name_is_unknown(self) -> None:
        probe = self.harness.session()
        probe.ask(StatementKind.PREPARE, "s1", "shape", writes=False)
        probe.ask(StatementKind.DEALLOCATE, "s1")
        failure = probe.ask(StatementKind.EXECUTE, "s1", "thing").failure
        assert failure is not None
        self.assertEqual(failure.code, ErrorCode.UNKNOWN_STATEMENT)

    def test_session_value_limit_allows_changes_of_existing_values(self) -> None:
        probe = self.harness.session()
        replies = [probe.ask(StatementKind.SET_VALUE, f"n{n}", "v", wait=0) for n in range(257)]
        self.assertIsNone(replies[255].failure)
        self.assertEqual(replies[256].failure.code, ErrorCode.TOO_LARGE)  # type: ignore[union-attr]
        self.assertIsNone(probe.ask(StatementKind.SET_VALUE, "n0", "w", wait=0).failure)


class TransactionTest(unittest.TestCase):
    def setUp(self) -> None:
        self.harness = PoolerHarness(limit=2)

    def test_transaction_runs_on_exclusive_connection(self) -> None:
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

    def test_begin_acquires_no_connection(self) -> None:
        probe = self.harness.session()
        self.assertEqual(probe.ask(StatementKind.BEGIN).state, TransactionState.OPEN)
        self.assertEqual(self.harness.model.transports, [])

    def test_rollback_discards_writes_and_releases_connection(self) -> None:
        probe = self.harness.session()
        probe.ask(StatementKind.BEGIN)
        probe.write()
        self.assertEqual(probe.ask(StatementKind.ROLLBACK).state, TransactionState.IDLE)
        self.assertEqual(self.harness.model.commits, [])
        self.assertEqual(self.harness.group.pool("p").in_use, 0)

    def test_failed_transaction_accepts_only_commit_and_rollback(self) -> None:
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

    def test_next_statement_fails_after_rollback_of_idle_transaction(self) -> None:
        probe = self.harness.session()
        probe.ask(StatementKind.BEGIN)
        probe.write()
        self.assertIsNotNone(probe.session.idle_since())
        probe.session.end_transaction("rested_too_long")
        self.harness.scheduler.advance(0.1)
        self.assertEqual(self.harness.group.pool("p").in_use, 0)
        reply = probe.write()
        self.assertEqual(reply.failure.code, ErrorCode.TRANSACTION_LOST)  # type: ignore[union-attr]
        self.assertEqual(probe.ask(StatementKind.ROLLBACK).state, TransactionState.IDLE)
        self.assertTrue(any(isinstance(event, TransactionEnded) for event in self.harness.events))

    def test_disconnect_rolls_back_transaction(self) -> None:
        for is_running in (False, True):
            with self.subTest(statement_running=is_running):
                harness = PoolerHarness(limit=1)
                probe = harness.session()
                probe.ask(StatementKind.BEGIN)
                probe.write()
                if is_running:
                    probe.start(StatementKind.WRITE, argument="thing data")
                probe.session.handle(Terminate())
                harness.scheduler.advance(1.0)
                self.assertEqual(harness.model.commits, [])
                self.assertEqual(harness.group.pool("p").in_use, 0)
                self.assertIsNone(harness.session().write().failure)

    def test_route_change_applies_from_next_transaction(self) -> None:
        probe = self.harness.session(Consistency.PRIMARY)
        probe.ask(StatementKind.BEGIN)
        self.harness.services.routes = RouteTable(2, {}, {})
        self.assertIsNone(probe.write().failure)
        self.assertIsNone(probe.ask(StatementKind.COMMIT).failure)
        refused = probe.write()
        self.assertEqual(refused.failure.code, ErrorCode.UNKNOWN_GROUP)  # type: ignore[union-attr]


class OrderTest(unittest.TestCase):
    def test_pipelined_statements_are_answered_in_order(self) -> None:
        harness = PoolerHarness()
        probe = harness.session()
        ids = [probe.start(StatementKind.WRITE, argument=f"{n} x") for n in range(5)]
        harness.scheduler.advance(1.0)
        self.assertEqual([statement_id for statement_id, _ in probe.client.replies], ids)

    def test_too_many_pipelined_statements_end_session(self) -> None:
        probe = PoolerHarness().session()
        for n in range(66):
            probe.start(StatementKind.WRITE, argument=f"{n} x")
        self.assertIsNotNone(probe.client.refused)

    def test_session_continues_after_malformed_statement(self) -> None:
        probe = PoolerHarness().session()
        probe.session.handle(MalformedInput("7", "unknown statement"))
        self.assertEqual(probe.reply("7").failure.code, ErrorCode.MALFORMED_REQUEST)  # type: ignore[union-attr]
        self.assertIsNone(probe.read().failure)


class PlannedStopTest(unittest.TestCase):
    def test_idle_session_is_closed_at_once(self) -> None:
        probe = PoolerHarness().session()
        probe.session.close_when_idle()
        self.assertTrue(probe.client.closed)

    def test_new_statement_is_refused_near_end_of_planned_stop(self) -> None:
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

    def test_running_statement_is_answered_before_close(self) -> None:
        harness = PoolerHarness()
        probe = harness.session()
        statement_id = probe.start(StatementKind.WRITE, argument="thing data")
        probe.session.close_when_idle()
        self.assertFalse(probe.client.closed)
        harness.scheduler.advance(1.0)
        self.assertIsNone(probe.reply(statement_id).failure)
        self.assertTrue(probe.client.closed)

    def test_messages_received_together_are_all_answered_before_close(self) -> None:
        """The first message ends a failed transaction, so the session is idle after it."""
        harness = PoolerHarness()
        probe = harness.session()
        probe.ask(StatementKind.BEGIN)
        probe.write()
        probe.session.end_transaction("rested_too_long")
        probe.session.close_when_idle()
        self.assertFalse(probe.client.closed)
        rollback = Statement("r1", StatementKind.ROLLBACK, "ROLLBACK")
        read = Statement("r2", StatementKind.READ, "READ thing", argument="thing")
        probe.session.handle_all([rollback, read])
        harness.scheduler.advance(1.0)
        self.assertIsNone(probe.reply("r1").failure)
        self.assertIsNone(probe.reply("r2").failure)
        self.assertTrue(probe.client.closed)

    def test_open_transaction_may_commit_before_close(self) -> None:
        probe = PoolerHarness().session()
        probe.ask(StatementKind.BEGIN)
        probe.write()
        probe.session.close_when_idle()
        self.assertIsNone(probe.ask(StatementKind.COMMIT).failure)
        self.assertTrue(probe.client.closed)


if __name__ == "__main__":
    unittest.main()
