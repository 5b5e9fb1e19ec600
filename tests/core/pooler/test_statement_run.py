"""Routing of statements, and the replies to the client after each kind of database failure."""

import unittest

from dewledge.core.pooler.events import PrimaryRefuted
from dewledge.core.pooler.load.policy import LoadPolicy
from dewledge.core.pooler.sessions.routes import Consistency
from dewledge.core.pooler.statements.statements import Reply, StatementKind, TransactionState
from dewledge.core.shared.positions import LogPosition
from dewledge.errors import ErrorCode
from tests.core.pooler.harness import PoolerHarness

NOT_COMMITTED_CODES = {
    ErrorCode.OVERLOADED,
    ErrorCode.TRANSACTION_LOST,
    ErrorCode.NOT_FRESH,
    ErrorCode.NOT_PRIMARY,
}
"""Codes that guarantee the client that nothing was committed."""


def code_of(reply: Reply) -> ErrorCode | None:
    return None if reply.failure is None else reply.failure.code


class RoutingTest(unittest.TestCase):
    def setUp(self) -> None:
        self.harness = PoolerHarness()

    def ran_on(self) -> str:
        return self.harness.model.ran[-1].database

    def test_read_without_proven_position_goes_to_primary(self) -> None:
        self.harness.session(Consistency.BOUNDED_STALENESS).read()
        self.assertEqual(self.ran_on(), "p")
        self.assertTrue(self.harness.model.ran[-1].in_transaction)

    def test_read_with_proven_position_goes_to_replica_with_floor(self) -> None:
        probe = self.harness.session(Consistency.BOUNDED_STALENESS)
        probe.read()
        probe.read()
        self.assertEqual(self.ran_on(), "r1")
        self.assertEqual(self.harness.model.ran[-1].floor, LogPosition(1, 5))

    def test_proof_older_than_staleness_bound_is_ignored(self) -> None:
        probe = self.harness.session(Consistency.BOUNDED_STALENESS)
        probe.read()
        self.harness.scheduler.freeze(1.6)
        probe.read()
        self.assertEqual(self.ran_on(), "p")

    def test_session_reads_its_previous_write(self) -> None:
        probe = self.harness.session(Consistency.READ_OWN_WRITES)
        probe.read()
        probe.write()
        self.harness.model.databases["r1"].applied = LogPosition(1, 6)
        probe.read()
        self.assertEqual(self.ran_on(), "r1")
        self.assertEqual(self.harness.model.ran[-1].floor, LogPosition(1, 6))

    def test_primary_serves_read_if_no_replica_has_reached_floor(self) -> None:
        probe = self.harness.session(Consistency.READ_OWN_WRITES)
        probe.read()
        probe.write()
        self.assertIsNone(code_of(probe.read()))
        self.assertEqual(self.ran_on(), "p")

    def test_read_of_primary_route_runs_in_primary_transaction(self) -> None:
        probe = self.harness.session(Consistency.PRIMARY)
        for _ in range(3):
            probe.read()
            self.assertEqual(self.ran_on(), "p")
            self.assertTrue(self.harness.model.ran[-1].in_transaction)

    def test_primary_replaced_while_process_is_frozen_serves_no_primary_read(self) -> None:
        probe = self.harness.session(Consistency.PRIMARY)
        probe.read()
        self.harness.model.promote("r2")
        statement_id = probe.start(StatementKind.READ, argument="thing")
        self.harness.scheduler.freeze(0.1)
        self.harness.scheduler.advance(0.1)
        self.assertEqual([ran.database for ran in self.harness.model.ran], ["p"])
        self.harness.announce("p")
        self.harness.announce("r2")
        self.harness.scheduler.advance(0.5)
        self.assertIsNone(code_of(probe.reply(statement_id)))
        self.assertEqual(self.ran_on(), "r2")
        self.assertTrue(any(isinstance(e, PrimaryRefuted) for e in self.harness.events))

    def test_read_only_transaction_of_bounded_route_runs_on_replica(self) -> None:
        probe = self.harness.session(Consistency.BOUNDED_STALENESS)
        probe.read()
        probe.ask(StatementKind.BEGIN_READ_ONLY)
        probe.read()
        probe.read()
        self.assertIsNone(code_of(probe.ask(StatementKind.COMMIT)))
        self.assertEqual([ran.database for ran in self.harness.model.ran[1:]], ["r1"] * 3)

    def test_read_only_transaction_of_primary_route_runs_on_primary(self) -> None:
        probe = self.harness.session(Consistency.PRIMARY)
        probe.ask(StatementKind.BEGIN_READ_ONLY)
        probe.read()
        self.assertIn(StatementKind.BEGIN, self.harness.model.proxy_requests)
        self.assertEqual(self.ran_on(), "p")

    def test_draining_replica_gets_no_reads_and_draining_primary_writes_for_limited_time(
        self,
    ) -> None:
        probe = self.harness.session(Consistency.BOUNDED_STALENESS)
        probe.read()
        self.harness.announce("r1", draining=True)
        probe.read()
        self.assertNotEqual(self.ran_on(), "r1")
        self.harness.announce("p", draining=True)
        probe.read()
        self.assertEqual(self.ran_on(), "r2")
        self.assertIsNone(code_of(probe.write()))
        self.harness.scheduler.advance(5.1)
        self.assertEqual(code_of(probe.write(wait=1.0)), ErrorCode.OVERLOADED)

    def test_primary_already_draining_when_first_seen_is_not_used(self) -> None:
        harness = PoolerHarness(configured=False)
        harness.configure()
        harness.group.change_view(harness.group.view.without("p"))
        harness.announce("p", draining=True)
        self.assertIsNone(harness.group.usable_primary)


class LostReplyTest(unittest.TestCase):
    """The reply to the client if the database closes the connection or does not reply."""

    def test_single_statements(self) -> None:
        cases = (
            (
                "write, connection closed",
                StatementKind.WRITE,
                "break_answers",
                ErrorCode.CONNECTION_LOST,
            ),
            ("write, no reply", StatementKind.WRITE, "lose_answers", ErrorCode.STATEMENT_TIMEOUT),
            ("read, connection closed", StatementKind.READ, "break_answers", None),
            ("read, no reply", StatementKind.READ, "lose_answers", None),
        )
        for title, kind, fault, expected in cases:
            with self.subTest(title):
                harness = PoolerHarness()
                probe = harness.session()
                probe.write()
                harness.model.databases["r1"].applied = harness.model.databases["p"].applied
                used = "p" if kind is StatementKind.WRITE else "r1"
                setattr(harness.model.databases[used], fault, 1)
                reply = probe.ask(kind, argument="thing data", wait=1.0)
                self.assertEqual(code_of(reply), expected)
                if kind is StatementKind.WRITE:
                    writes = [r for r in harness.model.ran if r.statement.kind is kind]
                    self.assertEqual(len(writes), 2, "a write is never sent twice")

    def test_transactions(self) -> None:
        cases = (
            ("statement, connection closed", False, "break_answers", ErrorCode.TRANSACTION_LOST),
            ("statement, no reply", False, "lose_answers", ErrorCode.TRANSACTION_LOST),
            ("commit, connection closed", True, "break_answers", ErrorCode.CONNECTION_LOST),
            ("commit, no reply", True, "lose_answers", ErrorCode.STATEMENT_TIMEOUT),
        )
        for title, at_commit, fault, expected in cases:
            with self.subTest(title):
                harness = PoolerHarness()
                probe = harness.session()
                probe.ask(StatementKind.BEGIN)
                probe.write()
                setattr(harness.model.databases["p"], fault, 1)
                kind = StatementKind.COMMIT if at_commit else StatementKind.WRITE
                reply = probe.ask(kind, argument="thing data", wait=1.0)
                self.assertEqual(code_of(reply), expected)
                if expected in NOT_COMMITTED_CODES:
                    self.assertEqual(harness.model.commits, [])
                    self.assertEqual(reply.state, TransactionState.FAILED)
                else:
                    self.assertEqual(reply.state, TransactionState.IDLE)

    def test_connection_with_pending_reply_is_not_reused(self) -> None:
        harness = PoolerHarness(limit=1)
        probe = harness.session()
        harness.model.databases["p"].lose_answers = 1
        probe.write(wait=1.0)
        probe.write()
        first, second = harness.model.ran
        self.assertNotEqual(first.connection, second.connection)

    def test_lost_reply_makes_database_suspect_within_300_ms(self) -> None:
        harness = PoolerHarness()
        probe = harness.session()
        harness.model.databases["p"].lose_answers = 1
        probe.start(StatementKind.WRITE, argument="thing data")
        harness.scheduler.advance(0.3)
        self.assertEqual(harness.suspected, ["p"])

    def test_slow_reply_causes_no_suspicion_while_others_are_answered(self) -> None:
        """Each suspicion triggers a test of the address, which adds load to a full database."""
        harness = PoolerHarness()
        slow, quick = harness.session(), harness.session()
        quick.write()
        harness.model.databases["p"].work = 0.6
        slow.start(StatementKind.WRITE, argument="thing data")
        harness.model.scheduler.advance(0.05)
        harness.model.databases["p"].work = 0.01
        for _ in range(5):
            quick.write(wait=0.1)
        self.assertEqual(harness.suspected, [])

    def test_silence_counts_from_last_reply_to_any_statement(self) -> None:
        harness = PoolerHarness()
        lost, quick = harness.session(), harness.session()
        quick.write()
        harness.model.databases["p"].lose_answers = 1
        lost.start(StatementKind.WRITE, argument="thing data")
        harness.scheduler.advance(0.15)
        quick.write(wait=0.1)
        self.assertEqual(harness.suspected, [])
        harness.model.databases["p"].silent = True
        harness.scheduler.advance(0.2)
        self.assertEqual(harness.suspected, ["p"])


class RefusalTest(unittest.TestCase):
    def test_refusals_that_are_retried(self) -> None:
        for code in (ErrorCode.OVERLOADED, ErrorCode.WRONG_DATABASE, ErrorCode.UNKNOWN_STATEMENT):
            with self.subTest(code):
                harness = PoolerHarness()
                harness.model.databases["p"].fail_next = [code]
                self.assertIsNone(code_of(harness.session().write()))
                self.assertEqual(len(harness.model.commits), 1)

    def test_overloaded_database_is_retried_until_shortly_before_timeout(
        self,
    ) -> None:
        """Statement timeout 0.8 s, of which 0.1 s are for the network; the fixed wait is 0.25 s."""
        for is_useful, served_until, refused_by in ((True, 0.6, 0.75), (False, 0.15, 0.3)):
            with self.subTest(is_useful):
                harness = PoolerHarness()
                harness.services.load_policy = LoadPolicy(useful_waits=is_useful)
                harness.model.databases["p"].fail_next = [ErrorCode.OVERLOADED] * 1000
                probe = harness.session()
                statement_id = probe.start(StatementKind.WRITE, argument="thing data")
                self.advance_with_other_replies(harness, served_until)
                self.assertEqual(probe.client.replies, [])
                self.advance_with_other_replies(harness, refused_by - served_until)
                self.assertEqual(code_of(probe.reply(statement_id)), ErrorCode.OVERLOADED)

    def advance_with_other_replies(self, harness: PoolerHarness, seconds: float) -> None:
        """Lets time pass while the database replies to other statements of this process."""
        end = harness.scheduler.time + seconds
        while harness.scheduler.time < end:
            harness.scheduler.advance(min(0.1, end - harness.scheduler.time))
            harness.group.pool("p").record_answer(StatementKind.READ, Reply(TransactionState.IDLE))

    def test_database_that_serves_nothing_is_given_up_early(self) -> None:
        for is_useful, served_until, refused_by in ((True, 0.3, 0.5), (False, 0.15, 0.3)):
            with self.subTest(is_useful):
                harness = PoolerHarness()
                harness.services.load_policy = LoadPolicy(useful_waits=is_useful)
                harness.model.databases["p"].fail_next = [ErrorCode.OVERLOADED] * 1000
                probe, other = harness.session(), harness.session()
                statement_id = probe.start(StatementKind.WRITE, argument="thing data")
                harness.scheduler.advance(served_until)
                self.assertEqual(probe.client.replies, [])
                harness.scheduler.advance(refused_by - served_until)
                reply = probe.reply(statement_id)
                self.assertEqual(code_of(reply), ErrorCode.OVERLOADED)
                self.assertIn("come back in", reply.failure.message)  # type: ignore[union-attr]
                self.assertEqual(harness.model.commits, [])
                statement_id = other.start(StatementKind.WRITE, argument="thing data")
                harness.scheduler.advance(served_until)
                harness.model.databases["p"].fail_next = []
                harness.scheduler.advance(0.1)
                self.assertIsNone(code_of(other.reply(statement_id)))

    def test_statements_refused_together_get_distinct_retry_times(self) -> None:
        harness = PoolerHarness()
        harness.model.databases["p"].fail_next = [ErrorCode.OVERLOADED] * 10000
        probes = [harness.session() for _ in range(20)]
        for probe in probes:
            probe.start(StatementKind.WRITE, argument="thing data")
        harness.scheduler.advance(0.8)
        states = [probe.session._state for probe in probes]
        retry_times = {
            round(state.ticket.return_at, 3) for state in states if state and state.ticket
        }
        self.assertEqual(len(retry_times), 20)

    def test_retry_at_promised_time_keeps_arrival_order(self) -> None:
        harness = PoolerHarness()
        harness.model.databases["p"].fail_next = [ErrorCode.OVERLOADED] * 1000
        probe = harness.session()
        started_at = harness.scheduler.time
        reply = probe.write(wait=0.5)
        harness.model.databases["p"].fail_next = []
        state = probe.session._state
        assert state is not None and state.ticket is not None and reply.failure is not None
        self.assertEqual(state.ticket.arrived, started_at)
        harness.scheduler.advance(reply.failure.come_back_ms / 1000 - 0.05)
        self.assertIsNone(code_of(probe.write()))
        self.assertIsNone(state.ticket)

    def test_commit_refused_as_overloaded_is_sent_again(self) -> None:
        harness = PoolerHarness()
        probe = harness.session()
        probe.ask(StatementKind.BEGIN)
        probe.write()
        harness.model.databases["p"].fail_next = [ErrorCode.OVERLOADED]
        self.assertIsNone(code_of(probe.ask(StatementKind.COMMIT)))
        self.assertEqual(len(harness.model.commits), 1)

    def test_primary_demoted_during_transaction_commits_nothing(self) -> None:
        harness = PoolerHarness()
        probe = harness.session()
        probe.ask(StatementKind.BEGIN)
        probe.write()
        harness.model.promote("r1")
        reply = probe.write()
        self.assertEqual(code_of(reply), ErrorCode.NOT_PRIMARY)
        self.assertEqual(harness.model.commits, [])

    def test_failed_write_is_reported_and_not_repeated(self) -> None:
        harness = PoolerHarness()
        harness.model.databases["p"].fail_next = [ErrorCode.STATEMENT_FAILED]
        self.assertEqual(code_of(harness.session().write()), ErrorCode.STATEMENT_FAILED)

    def test_write_waits_for_new_primary(self) -> None:
        harness = PoolerHarness()
        harness.group.set_suspected("p", None)
        probe = harness.session()
        statement_id = probe.start(StatementKind.WRITE, argument="thing data")
        harness.scheduler.advance(0.5)
        harness.model.promote("r1")
        harness.announce("r1")
        harness.scheduler.advance(0.2)
        self.assertIsNone(code_of(probe.reply(statement_id)))
        self.assertEqual(harness.model.ran[-1].database, "r1")

    def test_failing_relay_delays_statement_no_longer_than_its_time_limit(self) -> None:
        harness = PoolerHarness()
        harness.group.set_suspected("p", "10.0.0.2:1")
        harness.model.databases["p"].refuse_connections = True
        probe = harness.session()
        statement_id = probe.start(StatementKind.WRITE, argument="thing data")
        harness.scheduler.advance(0.75)
        self.assertEqual(code_of(probe.reply(statement_id)), ErrorCode.OVERLOADED)

    def test_read_does_not_wait_for_unreachable_primary(self) -> None:
        harness = PoolerHarness()
        probe = harness.session()
        probe.write()
        harness.model.databases["r2"].applied = harness.model.databases["p"].applied
        harness.model.databases["p"].silent = True
        harness.group.set_suspected("p", None)
        self.assertIsNone(code_of(probe.read(wait=0.1)))
        self.assertEqual(harness.model.ran[-1].database, "r2")

    def test_suspected_primary_is_used_through_relay(self) -> None:
        harness = PoolerHarness()
        harness.group.set_suspected("p", "10.0.0.2:1")
        self.assertEqual(harness.group.relay_to("p"), "10.0.0.2:1")
        self.assertIsNone(harness.group.relay_to("r1"))
        self.assertIsNone(code_of(harness.session().write()))

    def test_database_that_refuses_connections_is_suspected(self) -> None:
        harness = PoolerHarness()
        harness.model.databases["p"].refuse_connections = True
        probe = harness.session()
        probe.start(StatementKind.WRITE, argument="thing data")
        harness.scheduler.advance(0.1)
        self.assertIn("p", harness.suspected)


class FloorAfterFailoverTest(unittest.TestCase):
    def test_floor_of_discarded_term_does_not_keep_session_on_primary(self) -> None:
        harness = PoolerHarness()
        probe = harness.session()
        probe.write()
        harness.model.promote("r1")
        for name in ("r1", "p"):
            harness.announce(name)
        harness.model.databases["r2"].applied = harness.model.databases["r1"].applied
        probe.write()
        harness.model.databases["r2"].applied = harness.model.databases["r1"].applied
        harness.announce("p", draining=True)
        harness.model.databases["r1"].work = 1.0
        probe.read(wait=0.6)
        self.assertEqual(harness.model.ran[-1].database, "r2")
        self.assertEqual(harness.model.ran[-1].floor.term, 2)  # type: ignore[union-attr]


if __name__ == "__main__":
    unittest.main()
