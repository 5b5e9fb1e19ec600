"""Where statements go, and what is answered under each fault of a database."""

import unittest

from dewledge.core.pooler.events import PrimaryRefuted
from dewledge.core.pooler.load.policy import LoadPolicy
from dewledge.core.pooler.sessions.routes import Consistency
from dewledge.core.pooler.statements.statements import Reply, StatementKind, TransactionState
from dewledge.core.shared.positions import LogPosition
from dewledge.errors import ErrorCode
from tests.core.pooler.harness import PoolerHarness

PROMISES = {
    ErrorCode.OVERLOADED,
    ErrorCode.TRANSACTION_LOST,
    ErrorCode.NOT_FRESH,
    ErrorCode.NOT_PRIMARY,
}
"""Codes that promise the client that nothing is kept."""


def code_of(reply: Reply) -> ErrorCode | None:
    return None if reply.failure is None else reply.failure.code


class PlacementTest(unittest.TestCase):
    def setUp(self) -> None:
        self.harness = PoolerHarness()

    def ran_on(self) -> str:
        return self.harness.model.ran[-1].database

    def test_without_a_proven_position_a_read_goes_to_the_proven_primary(self) -> None:
        self.harness.session(Consistency.BOUNDED_STALENESS).read()
        self.assertEqual(self.ran_on(), "p")
        self.assertTrue(self.harness.model.ran[-1].in_transaction)

    def test_with_one_it_goes_to_a_replica_that_must_show_it(self) -> None:
        probe = self.harness.session(Consistency.BOUNDED_STALENESS)
        probe.read()
        probe.read()
        self.assertEqual(self.ran_on(), "r1")
        self.assertEqual(self.harness.model.ran[-1].floor, LogPosition(1, 5))

    def test_a_proof_older_than_the_bound_counts_for_nothing(self) -> None:
        probe = self.harness.session(Consistency.BOUNDED_STALENESS)
        probe.read()
        self.harness.scheduler.freeze(1.6)
        probe.read()
        self.assertEqual(self.ran_on(), "p")

    def test_a_session_sees_its_own_write(self) -> None:
        probe = self.harness.session(Consistency.READ_OWN_WRITES)
        probe.read()
        probe.write()
        self.harness.model.databases["r1"].applied = LogPosition(1, 6)
        probe.read()
        self.assertEqual(self.ran_on(), "r1")
        self.assertEqual(self.harness.model.ran[-1].floor, LogPosition(1, 6))

    def test_where_no_replica_shows_it_the_primary_serves(self) -> None:
        probe = self.harness.session(Consistency.READ_OWN_WRITES)
        probe.read()
        probe.write()
        self.assertIsNone(code_of(probe.read()))
        self.assertEqual(self.ran_on(), "p")

    def test_a_read_of_a_primary_route_runs_under_proof_of_the_lead(self) -> None:
        probe = self.harness.session(Consistency.PRIMARY)
        for _ in range(3):
            probe.read()
            self.assertEqual(self.ran_on(), "p")
            self.assertTrue(self.harness.model.ran[-1].in_transaction)

    def test_a_primary_replaced_during_a_freeze_serves_no_read_of_a_primary_route(self) -> None:
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

    def test_a_read_only_transaction_of_a_bounded_route_runs_on_a_replica(self) -> None:
        probe = self.harness.session(Consistency.BOUNDED_STALENESS)
        probe.read()
        probe.ask(StatementKind.BEGIN_READ_ONLY)
        probe.read()
        probe.read()
        self.assertIsNone(code_of(probe.ask(StatementKind.COMMIT)))
        self.assertEqual([ran.database for ran in self.harness.model.ran[1:]], ["r1"] * 3)

    def test_a_read_only_transaction_of_a_primary_route_runs_under_the_lead(self) -> None:
        probe = self.harness.session(Consistency.PRIMARY)
        probe.ask(StatementKind.BEGIN_READ_ONLY)
        probe.read()
        self.assertIn(StatementKind.BEGIN, self.harness.model.own)
        self.assertEqual(self.ran_on(), "p")

    def test_a_draining_replica_gets_nothing_and_a_draining_primary_for_a_bound(self) -> None:
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

    def test_a_database_first_seen_leaving_gets_no_new_work(self) -> None:
        harness = PoolerHarness(configured=False)
        harness.configure()
        harness.group.change_view(harness.group.view.without("p"))
        harness.announce("p", draining=True)
        self.assertIsNone(harness.group.usable_primary)


class LostAnswerTest(unittest.TestCase):
    """Each fault with what the client is told, and what may have happened."""

    def test_single_statements(self) -> None:
        cases = (
            ("write broken off", StatementKind.WRITE, "break_answers", ErrorCode.CONNECTION_LOST),
            ("write unanswered", StatementKind.WRITE, "lose_answers", ErrorCode.STATEMENT_TIMEOUT),
            ("read broken off", StatementKind.READ, "break_answers", None),
            ("read unanswered", StatementKind.READ, "lose_answers", None),
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
            ("statement broken off", False, "break_answers", ErrorCode.TRANSACTION_LOST),
            ("statement unanswered", False, "lose_answers", ErrorCode.TRANSACTION_LOST),
            ("commit broken off", True, "break_answers", ErrorCode.CONNECTION_LOST),
            ("commit unanswered", True, "lose_answers", ErrorCode.STATEMENT_TIMEOUT),
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
                if expected in PROMISES:
                    self.assertEqual(harness.model.commits, [])
                    self.assertEqual(reply.state, TransactionState.FAILED)
                else:
                    self.assertEqual(reply.state, TransactionState.IDLE)

    def test_a_connection_with_an_answer_pending_is_never_used_again(self) -> None:
        harness = PoolerHarness(limit=1)
        probe = harness.session()
        harness.model.databases["p"].lose_answers = 1
        probe.write(wait=1.0)
        probe.write()
        first, second = harness.model.ran
        self.assertNotEqual(first.connection, second.connection)

    def test_a_lost_answer_makes_the_database_suspect_within_300_ms(self) -> None:
        harness = PoolerHarness()
        probe = harness.session()
        harness.model.databases["p"].lose_answers = 1
        probe.start(StatementKind.WRITE, argument="thing data")
        harness.scheduler.advance(0.3)
        self.assertEqual(harness.suspected, ["p"])

    def test_a_slow_answer_raises_no_suspicion_while_others_are_answered(self) -> None:
        """Each suspicion has the address tested: a cost that a full database cannot bear."""
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

    def test_silence_is_counted_from_the_last_answer_of_any_statement(self) -> None:
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
    def test_refusals_of_a_database_that_are_tried_again(self) -> None:
        for code in (ErrorCode.OVERLOADED, ErrorCode.WRONG_DATABASE, ErrorCode.UNKNOWN_STATEMENT):
            with self.subTest(code):
                harness = PoolerHarness()
                harness.model.databases["p"].fail_next = [code]
                self.assertIsNone(code_of(harness.session().write()))
                self.assertEqual(len(harness.model.commits), 1)

    def test_an_overloaded_database_is_asked_while_there_is_time_and_refused_before_its_end(
        self,
    ) -> None:
        """0.8 s for a statement, 0.1 s of it for its way; a quarter of the target, without use."""
        for is_useful, served_until, refused_by in ((True, 0.6, 0.75), (False, 0.15, 0.3)):
            with self.subTest(is_useful):
                harness = PoolerHarness()
                harness.services.load_policy = LoadPolicy(useful_waits=is_useful)
                harness.model.databases["p"].fail_next = [ErrorCode.OVERLOADED] * 1000
                probe = harness.session()
                statement_id = probe.start(StatementKind.WRITE, argument="thing data")
                self.serve_others(harness, served_until)
                self.assertEqual(probe.client.replies, [])
                self.serve_others(harness, refused_by - served_until)
                self.assertEqual(code_of(probe.reply(statement_id)), ErrorCode.OVERLOADED)

    def serve_others(self, harness: PoolerHarness, seconds: float) -> None:
        """The database runs other statements of this process meanwhile."""
        end = harness.scheduler.time + seconds
        while harness.scheduler.time < end:
            harness.scheduler.advance(min(0.1, end - harness.scheduler.time))
            harness.group.pool("p").note_answer(StatementKind.READ, Reply(TransactionState.IDLE))

    def test_a_database_that_runs_nothing_here_is_not_asked_until_the_time_is_over(self) -> None:
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

    def test_those_refused_together_are_told_moments_of_their_own(self) -> None:
        harness = PoolerHarness()
        harness.model.databases["p"].fail_next = [ErrorCode.OVERLOADED] * 10000
        probes = [harness.session() for _ in range(20)]
        for probe in probes:
            probe.start(StatementKind.WRITE, argument="thing data")
        harness.scheduler.advance(0.8)
        states = [probe.session._state for probe in probes]
        moments = {round(state.ticket.return_at, 3) for state in states if state and state.ticket}
        self.assertEqual(len(moments), 20)

    def test_who_comes_back_as_told_keeps_the_place_of_its_arrival(self) -> None:
        harness = PoolerHarness()
        harness.model.databases["p"].fail_next = [ErrorCode.OVERLOADED] * 1000
        probe = harness.session()
        began = harness.scheduler.time
        reply = probe.write(wait=0.5)
        harness.model.databases["p"].fail_next = []
        state = probe.session._state
        assert state is not None and state.ticket is not None and reply.failure is not None
        self.assertEqual(state.ticket.arrived, began)
        harness.scheduler.advance(reply.failure.come_back_ms / 1000 - 0.05)
        self.assertIsNone(code_of(probe.write()))
        self.assertIsNone(state.ticket)

    def test_a_commit_that_the_database_was_too_busy_for_is_sent_again(self) -> None:
        harness = PoolerHarness()
        probe = harness.session()
        probe.ask(StatementKind.BEGIN)
        probe.write()
        harness.model.databases["p"].fail_next = [ErrorCode.OVERLOADED]
        self.assertIsNone(code_of(probe.ask(StatementKind.COMMIT)))
        self.assertEqual(len(harness.model.commits), 1)

    def test_a_primary_that_lost_the_lead_midway_keeps_nothing(self) -> None:
        harness = PoolerHarness()
        probe = harness.session()
        probe.ask(StatementKind.BEGIN)
        probe.write()
        harness.model.promote("r1")
        reply = probe.write()
        self.assertEqual(code_of(reply), ErrorCode.NOT_PRIMARY)
        self.assertEqual(harness.model.commits, [])

    def test_a_failed_write_is_told_and_not_repeated(self) -> None:
        harness = PoolerHarness()
        harness.model.databases["p"].fail_next = [ErrorCode.STATEMENT_FAILED]
        self.assertEqual(code_of(harness.session().write()), ErrorCode.STATEMENT_FAILED)

    def test_without_a_primary_a_write_waits_and_goes_to_the_new_one(self) -> None:
        harness = PoolerHarness()
        harness.group.set_doubt("p", None)
        probe = harness.session()
        statement_id = probe.start(StatementKind.WRITE, argument="thing data")
        harness.scheduler.advance(0.5)
        harness.model.promote("r1")
        harness.announce("r1")
        harness.scheduler.advance(0.2)
        self.assertIsNone(code_of(probe.reply(statement_id)))
        self.assertEqual(harness.model.ran[-1].database, "r1")

    def test_a_way_round_that_fails_costs_no_more_than_its_time(self) -> None:
        harness = PoolerHarness()
        harness.group.set_doubt("p", "10.0.0.2:1")
        harness.model.databases["p"].refuse_connections = True
        probe = harness.session()
        statement_id = probe.start(StatementKind.WRITE, argument="thing data")
        harness.scheduler.advance(0.75)
        self.assertEqual(code_of(probe.reply(statement_id)), ErrorCode.OVERLOADED)

    def test_a_read_does_not_queue_at_a_primary_that_cannot_be_reached(self) -> None:
        harness = PoolerHarness()
        probe = harness.session()
        probe.write()
        harness.model.databases["r2"].applied = harness.model.databases["p"].applied
        harness.model.databases["p"].silent = True
        harness.group.set_doubt("p", None)
        self.assertIsNone(code_of(probe.read(wait=0.1)))
        self.assertEqual(harness.model.ran[-1].database, "r2")

    def test_a_doubted_primary_that_another_process_reaches_is_used_through_it(self) -> None:
        harness = PoolerHarness()
        harness.group.set_doubt("p", "10.0.0.2:1")
        self.assertEqual(harness.group.relay_to("p"), "10.0.0.2:1")
        self.assertIsNone(harness.group.relay_to("r1"))
        self.assertIsNone(code_of(harness.session().write()))

    def test_a_database_that_takes_no_connections_is_suspected(self) -> None:
        harness = PoolerHarness()
        harness.model.databases["p"].refuse_connections = True
        probe = harness.session()
        probe.start(StatementKind.WRITE, argument="thing data")
        harness.scheduler.advance(0.1)
        self.assertIn("p", harness.suspected)


class FloorAfterRollbackTest(unittest.TestCase):
    def test_a_floor_of_a_lost_branch_does_not_keep_a_session_on_the_primary(self) -> None:
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
