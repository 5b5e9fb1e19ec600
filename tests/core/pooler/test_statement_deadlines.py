"""The time limits of a statement."""

import math
import unittest

from dewledge.core.pooler.load.database_order import Completion
from dewledge.core.pooler.load.ticket import Ticket
from dewledge.core.pooler.load.wait_deadlines import WaitDeadlines
from dewledge.core.pooler.pool.database_connection import DatabaseConnection
from dewledge.core.pooler.sessions.routes import Consistency
from dewledge.core.pooler.statements.statement_deadlines import (
    FIXED_WAIT_SECONDS,
    MAX_REPLICA_WAIT_SECONDS,
    MIN_TARGET_WAIT_SECONDS,
    NETWORK_ALLOWANCE_SECONDS,
    SETUP_TIMEOUT_SECONDS,
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


class InitialDeadlinesTest(unittest.TestCase):
    def test_deadlines_of_new_statement(self) -> None:
        limits = deadlines()
        self.assertEqual(limits.first_arrived, ARRIVED)
        self.assertEqual(limits.deadline, ARRIVED + 2.0)
        self.assertAlmostEqual(limits.latest_start, ARRIVED + 2.0 - NETWORK_ALLOWANCE_SECONDS)
        self.assertAlmostEqual(limits.in_time_until, ARRIVED + 1.0 - NETWORK_ALLOWANCE_SECONDS)
        self.assertEqual(limits.give_up_at, limits.latest_start)
        self.assertEqual(limits.target_wait_until, limits.latest_start)

    def test_ticket_moves_latency_target_to_first_arrival_but_not_timeout(self) -> None:
        limits = deadlines(Ticket(ARRIVED - 0.5, ARRIVED, ROUTE.priority))
        self.assertEqual(limits.first_arrived, ARRIVED - 0.5)
        self.assertAlmostEqual(limits.in_time_until, ARRIVED + 0.5 - NETWORK_ALLOWANCE_SECONDS)
        self.assertEqual(limits.deadline, ARRIVED + 2.0)

    def test_timeout_below_network_allowance_leaves_no_time_to_wait(self) -> None:
        short = route(Consistency.PRIMARY, statement_timeout=0.05)
        self.assertEqual(StatementDeadlines(ARRIVED, short, None).latest_start, ARRIVED)

    def test_queue_gets_end_of_target_wait_as_latest_start(self) -> None:
        limits = deadlines()
        limits.begin_target_wait(ARRIVED, Completion(service=0.2))
        queued = limits.queue_deadlines(ARRIVED + 0.01)
        latest = limits.target_wait_until
        self.assertEqual(
            queued, WaitDeadlines(ARRIVED, ARRIVED + 0.01, limits.in_time_until, latest)
        )


class ChangedDeadlinesTest(unittest.TestCase):
    def test_target_wait_ends_after_twice_the_alternative_completion(self) -> None:
        limits = deadlines()
        for alternative, expected in (
            (None, limits.give_up_at),
            (Completion(service=0.3), ARRIVED + 0.6),
            (Completion(service=0.01), ARRIVED + MIN_TARGET_WAIT_SECONDS),
            (Completion(service=9.0), limits.give_up_at),
        ):
            with self.subTest(alternative=alternative):
                limits.begin_target_wait(ARRIVED, alternative)
                self.assertAlmostEqual(limits.target_wait_until, expected)

    def test_wait_for_replica_is_limited(self) -> None:
        self.assertEqual(deadlines().replica_wait_until, ARRIVED + MAX_REPLICA_WAIT_SECONDS)
        short = StatementDeadlines(ARRIVED, route(Consistency.PRIMARY, statement_timeout=0.2), None)
        self.assertEqual(short.replica_wait_until, short.give_up_at)

    def test_unresponsive_holder_extends_search_by_quarter_of_target(
        self,
    ) -> None:
        limits = FixedDeadlines(ARRIVED, ROUTE, None)
        limits.extend_for_next_holder(ARRIVED + 0.5)
        self.assertEqual(limits.give_up_at, ARRIVED + 0.75)
        limits.extend_for_next_holder(ARRIVED + 1.9)
        self.assertEqual(limits.give_up_at, limits.deadline)

    def test_unresponsive_holder_never_shortens_search(self) -> None:
        limits = deadlines()
        before = limits.give_up_at
        limits.extend_for_next_holder(ARRIVED + 0.5)
        self.assertEqual(limits.give_up_at, before)

    def test_rerun_may_use_all_remaining_time(self) -> None:
        limits = deadlines()
        limits.extend_for_rerun()
        self.assertEqual(limits.give_up_at, limits.deadline)


class StepDeadlinesTest(unittest.TestCase):
    def test_setup_has_fixed_time_and_more_in_queue_of_other_process(self) -> None:
        limits = deadlines()
        direct = limits.setup_deadline(ARRIVED, is_queued_elsewhere=False)
        queued = limits.setup_deadline(ARRIVED, is_queued_elsewhere=True)
        self.assertEqual(direct, ARRIVED + SETUP_TIMEOUT_SECONDS)
        self.assertAlmostEqual(queued, ARRIVED + (2.0 - NETWORK_ALLOWANCE_SECONDS) / 2)
        late = limits.setup_deadline(ARRIVED + 1.8, is_queued_elsewhere=True)
        self.assertAlmostEqual(late, ARRIVED + 1.8 + SETUP_TIMEOUT_SECONDS)

    def test_read_attempt_leaves_time_for_rerun(self) -> None:
        limits = deadlines()
        for sent_at, is_queued, limit in (
            (0.0, False, 1.0),
            (0.0, True, 1.4),
            (1.0, False, 1.5),
            (1.0, True, 1.7),
        ):
            with self.subTest(sent_at=sent_at, is_queued=is_queued):
                found = limits.attempt_deadline(ARRIVED + sent_at, is_queued)
                self.assertAlmostEqual(found, ARRIVED + limit)

    def test_pinned_transaction_has_no_wait_limit_at_holder(self) -> None:
        limits = deadlines(Ticket(ARRIVED - 0.5, ARRIVED, ROUTE.priority))
        limits.begin_target_wait(ARRIVED, Completion(service=0.1))
        connection = DatabaseConnection("p", NoTransport())
        limits.set_connection_deadlines(connection, False, ARRIVED + 0.4)
        self.assertEqual(connection.wait_until, limits.target_wait_until)
        limits.set_connection_deadlines(connection, False, ARRIVED + 0.1)
        self.assertEqual(connection.wait_until, ARRIVED + 0.1)
        limits.set_connection_deadlines(connection, True, ARRIVED + 0.1)
        self.assertEqual(connection.wait_until, math.inf)
        self.assertEqual(connection.arrived, ARRIVED - 0.5)
        self.assertEqual(connection.in_time_until, limits.in_time_until)


class FixedDeadlinesTest(unittest.TestCase):
    def test_search_ends_after_fixed_time_without_queue_limit(self) -> None:
        limits = FixedDeadlines(ARRIVED, ROUTE, None)
        self.assertEqual(limits.give_up_at, ARRIVED + FIXED_WAIT_SECONDS)
        self.assertEqual(limits.queue_deadlines(ARRIVED + 0.1).latest_start, math.inf)

    def test_search_is_extended_without_primary(self) -> None:
        limits = FixedDeadlines(ARRIVED, ROUTE, None)
        limits.extend_for_primary()
        self.assertEqual(limits.give_up_at, limits.latest_start)


if __name__ == "__main__":
    unittest.main()
