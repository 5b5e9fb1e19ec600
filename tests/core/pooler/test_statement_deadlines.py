"""Until when a statement may wait: each moment by its rule."""

import math
import unittest

from dewledge.core.pooler.load.choice import Completion
from dewledge.core.pooler.load.ticket import Ticket
from dewledge.core.pooler.load.wait_deadlines import WaitDeadlines
from dewledge.core.pooler.pool.database_connection import DatabaseConnection
from dewledge.core.pooler.sessions.routes import Consistency
from dewledge.core.pooler.statements.statement_deadlines import (
    FIXED_WAIT_SECONDS,
    MIN_TARGET_WAIT_SECONDS,
    MAX_REPLICA_WAIT_SECONDS,
    SETUP_LIMIT_SECONDS,
    NETWORK_ALLOWANCE_SECONDS,
    FixedDeadlines,
    StatementDeadlines,
)
from tests.core.pooler.harness import route

ARRIVED = 100.0
ROUTE = route(Consistency.READ_OWN_WRITES, statement_timeout=2.0, target_latency=1.0)


class NoTransport:
    def send(self, statement: object, floor: object) -> None:
        raise AssertionError

    def close(self) -> None:
        raise AssertionError


def deadlines(ticket: Ticket | None = None) -> StatementDeadlines:
    return StatementDeadlines(ARRIVED, ROUTE, ticket)


class FixedMomentsTest(unittest.TestCase):
    def test_of_a_statement_that_comes_first(self) -> None:
        moments = deadlines()
        self.assertEqual(moments.first_arrived, ARRIVED)
        self.assertEqual(moments.deadline, ARRIVED + 2.0)
        self.assertAlmostEqual(moments.latest_start, ARRIVED + 2.0 - NETWORK_ALLOWANCE_SECONDS)
        self.assertAlmostEqual(moments.in_time_until, ARRIVED + 1.0 - NETWORK_ALLOWANCE_SECONDS)
        self.assertEqual(moments.give_up_at, moments.latest_start)
        self.assertEqual(moments.target_wait_until, moments.latest_start)

    def test_a_ticket_counts_the_target_from_the_first_arrival_and_not_the_timeout(self) -> None:
        moments = deadlines(Ticket(ARRIVED - 0.5, ARRIVED, ROUTE.priority))
        self.assertEqual(moments.first_arrived, ARRIVED - 0.5)
        self.assertAlmostEqual(moments.in_time_until, ARRIVED + 0.5 - NETWORK_ALLOWANCE_SECONDS)
        self.assertEqual(moments.deadline, ARRIVED + 2.0)

    def test_a_timeout_below_the_way_leaves_no_time_to_wait(self) -> None:
        short = route(Consistency.PRIMARY, statement_timeout=0.05)
        self.assertEqual(StatementDeadlines(ARRIVED, short, None).latest_start, ARRIVED)

    def test_a_queue_is_told_the_end_of_the_turn_as_latest_start(self) -> None:
        moments = deadlines()
        moments.begin_target_wait(ARRIVED, Completion(service=0.2))
        told = moments.queue_deadlines(ARRIVED + 0.01)
        latest = moments.target_wait_until
        self.assertEqual(
            told, WaitDeadlines(ARRIVED, ARRIVED + 0.01, moments.in_time_until, latest)
        )


class MovingMomentsTest(unittest.TestCase):
    def test_a_turn_ends_after_twice_what_the_next_best_takes(self) -> None:
        moments = deadlines()
        for alternative, ends in (
            (None, moments.give_up_at),
            (Completion(service=0.3), ARRIVED + 0.6),
            (Completion(service=0.01), ARRIVED + MIN_TARGET_WAIT_SECONDS),
            (Completion(service=9.0), moments.give_up_at),
        ):
            with self.subTest(alternative=alternative):
                moments.begin_target_wait(ARRIVED, alternative)
                self.assertAlmostEqual(moments.target_wait_until, ends)

    def test_a_read_is_held_for_a_replica_only_at_first(self) -> None:
        self.assertEqual(deadlines().replica_wait_until, ARRIVED + MAX_REPLICA_WAIT_SECONDS)
        short = StatementDeadlines(ARRIVED, route(Consistency.PRIMARY, statement_timeout=0.2), None)
        self.assertEqual(short.replica_wait_until, short.give_up_at)

    def test_after_a_silent_holder_it_seeks_for_a_quarter_of_the_target_within_its_time(
        self,
    ) -> None:
        moments = FixedDeadlines(ARRIVED, ROUTE, None)
        moments.extend_for_next_holder(ARRIVED + 0.5)
        self.assertEqual(moments.give_up_at, ARRIVED + 0.75)
        moments.extend_for_next_holder(ARRIVED + 1.9)
        self.assertEqual(moments.give_up_at, moments.deadline)

    def test_it_never_gives_up_earlier_for_a_silent_holder(self) -> None:
        moments = deadlines()
        before = moments.give_up_at
        moments.extend_for_next_holder(ARRIVED + 0.5)
        self.assertEqual(moments.give_up_at, before)

    def test_a_rerun_has_all_the_time_that_is_left(self) -> None:
        moments = deadlines()
        moments.extend_for_rerun()
        self.assertEqual(moments.give_up_at, moments.deadline)


class StepLimitsTest(unittest.TestCase):
    def test_a_setup_has_a_fixed_time_and_more_in_the_queue_of_another_process(self) -> None:
        moments = deadlines()
        direct = moments.setup_deadline(ARRIVED, is_queued_elsewhere=False)
        queued = moments.setup_deadline(ARRIVED, is_queued_elsewhere=True)
        self.assertEqual(direct, ARRIVED + SETUP_LIMIT_SECONDS)
        self.assertAlmostEqual(queued, ARRIVED + (2.0 - NETWORK_ALLOWANCE_SECONDS) / 2)
        late = moments.setup_deadline(ARRIVED + 1.8, is_queued_elsewhere=True)
        self.assertAlmostEqual(late, ARRIVED + 1.8 + SETUP_LIMIT_SECONDS)

    def test_a_read_is_given_up_in_time_for_a_rerun(self) -> None:
        moments = deadlines()
        for sent_at, is_queued, limit in (
            (0.0, False, 1.0),
            (0.0, True, 1.4),
            (1.0, False, 1.5),
            (1.0, True, 1.7),
        ):
            with self.subTest(sent_at=sent_at, is_queued=is_queued):
                found = moments.attempt_deadline(ARRIVED + sent_at, is_queued)
                self.assertAlmostEqual(found, ARRIVED + limit)

    def test_a_holder_is_told_no_end_for_a_pinned_transaction(self) -> None:
        moments = deadlines(Ticket(ARRIVED - 0.5, ARRIVED, ROUTE.priority))
        moments.begin_target_wait(ARRIVED, Completion(service=0.1))
        connection = DatabaseConnection("p", NoTransport())
        moments.set_connection_deadlines(connection, False, ARRIVED + 0.4)
        self.assertEqual(connection.wait_until, moments.target_wait_until)
        moments.set_connection_deadlines(connection, False, ARRIVED + 0.1)
        self.assertEqual(connection.wait_until, ARRIVED + 0.1)
        moments.set_connection_deadlines(connection, True, ARRIVED + 0.1)
        self.assertEqual(connection.wait_until, math.inf)
        self.assertEqual(connection.arrived, ARRIVED - 0.5)
        self.assertEqual(connection.in_time_until, moments.in_time_until)


class FixedWaitTest(unittest.TestCase):
    def test_it_gives_up_after_a_fixed_time_that_no_queue_judges(self) -> None:
        moments = FixedDeadlines(ARRIVED, ROUTE, None)
        self.assertEqual(moments.give_up_at, ARRIVED + FIXED_WAIT_SECONDS)
        self.assertEqual(moments.queue_deadlines(ARRIVED + 0.1).latest_start, math.inf)

    def test_while_there_is_no_primary_it_waits_as_long_as_any(self) -> None:
        moments = FixedDeadlines(ARRIVED, ROUTE, None)
        moments.extend_for_primary()
        self.assertEqual(moments.give_up_at, moments.latest_start)


if __name__ == "__main__":
    unittest.main()
