"""Slot window: adaptation to refusals, and order by urgency at a full database."""

import unittest

from dewledge.core.pooler.pool.connection_pool import ConnectionPool
from dewledge.core.pooler.pool.database_connection import DatabaseConnection
from dewledge.core.pooler.pool.slot_window import MIN_CUT_INTERVAL_SECONDS, SlotWindow
from dewledge.core.pooler.pool.waiter import Demand, Waiter
from dewledge.core.pooler.statements.statements import (
    Failure,
    Reply,
    Statement,
    StatementKind,
    TransactionState,
)
from dewledge.errors import ErrorCode
from tests.core.pooler.harness import ModelGroup, ModelScheduler

SERVED = Reply(TransactionState.IDLE)
REFUSED = Reply(TransactionState.IDLE, failure=Failure(ErrorCode.OVERLOADED))


class SlotWindowTest(unittest.TestCase):
    def test_starts_at_maximum(self) -> None:
        window = SlotWindow(9)
        self.assertTrue(window.allows(8))
        self.assertFalse(window.allows(9))

    def test_simultaneous_refusals_cut_once(self) -> None:
        window = SlotWindow(8)
        for _ in range(20):
            window.record_refused(100.0)
        self.assertEqual(window.free_slots(0), 6)

    def test_never_below_one(self) -> None:
        window = SlotWindow(8)
        for step in range(100):
            window.record_refused(100.0 + step)
        self.assertEqual(window.free_slots(0), 1)

    def test_reports_full_and_free_once_each(self) -> None:
        reports: list[tuple[bool, int, int]] = []
        window = SlotWindow(4, lambda *change: reports.append(change))
        for step in range(5):
            window.record_refused(100.0 + 0.01 * step)
        self.assertEqual(reports, [(True, 3, 4)])
        for _ in range(100):
            window.record_served(4)
        self.assertEqual(reports, [(True, 3, 4), (False, 4, 4)])
        window.record_refused(100.5)
        self.assertFalse(window.is_full, "reported a moment ago")
        window.record_refused(101.5)
        self.assertEqual(reports[-1], (True, 2, 4))

    def test_grows_with_executed_statements(self) -> None:
        window = SlotWindow(8)
        for step in range(100):
            window.record_refused(100.0 + step)
        for _ in range(40):
            window.record_served(8)
        self.assertGreaterEqual(window.free_slots(0), 3)
        for _ in range(1000):
            window.record_served(8)
        self.assertEqual(window.free_slots(0), 8)


class PoolWithWindowTest(unittest.TestCase):
    def setUp(self) -> None:
        self.scheduler = ModelScheduler()
        self.model = ModelGroup(self.scheduler)
        window = SlotWindow(4)
        self.pool = ConnectionPool("p", 4, self.model, self.scheduler.now, window)
        self.assigned: list[tuple[str, DatabaseConnection]] = []

    def acquire(self, name: str, priority: int = 1, demand: Demand = Demand.SINGLE) -> None:
        self.pool.acquire(self.waiter(name, priority, demand), {})
        self.scheduler.advance(0.1)

    def waiter(self, name: str, priority: int = 1, demand: Demand = Demand.SINGLE) -> Waiter:
        return Waiter(
            priority,
            lambda connection: self.assigned.append((name, connection)),
            lambda _: None,
            demand,
        )

    def names(self) -> list[str]:
        return [name for name, _ in self.assigned]

    def shrink_window(self) -> None:
        for _ in range(20):
            self.pool.record_answer(StatementKind.READ, REFUSED)
            self.scheduler.advance(MIN_CUT_INTERVAL_SECONDS)

    def test_all_connections_are_assigned_before_any_refusal(self) -> None:
        for name in "abcd":
            self.acquire(name)
        self.assertEqual(self.names(), ["a", "b", "c", "d"])

    def test_most_urgent_is_first_at_full_database(self) -> None:
        self.acquire("first")
        self.shrink_window()
        for name, priority in (("late", 2), ("later", 2), ("urgent", 1)):
            self.acquire(name, priority)
        self.assertEqual(self.names(), ["first"])
        for index in range(3):
            self.pool.release(self.assigned[index][1])
        self.assertEqual(self.names(), ["first", "urgent", "late", "later"])

    def test_arrival_does_not_overtake_waiters_beside_idle_connections(self) -> None:
        self.acquire("first")
        self.acquire("second")
        self.shrink_window()
        self.acquire("waiting")
        self.pool.release(self.assigned[0][1])
        self.acquire("newcomer")
        self.assertEqual(self.names(), ["first", "second"])
        self.pool.release(self.assigned[1][1])
        self.assertEqual(self.names(), ["first", "second", "waiting"])

    def test_idle_transaction_uses_no_slot(self) -> None:
        self.shrink_window()
        self.acquire("transaction", demand=Demand.TRANSACTION)
        self.acquire("single")
        self.assertEqual(self.names(), ["transaction", "single"])

    def test_running_transaction_uses_a_slot_until_its_reply(self) -> None:
        self.shrink_window()
        self.acquire("transaction", demand=Demand.TRANSACTION)
        connection = self.assigned[0][1]
        connection.send(
            Statement("1", StatementKind.READ),
            lambda reply: self.pool.record_answer(StatementKind.READ, reply or SERVED),
        )
        self.pool.acquire(self.waiter("single"), {})
        self.assertEqual(self.names(), ["transaction"])
        self.scheduler.advance(0.1)
        self.assertEqual(self.names(), ["transaction", "single"])

    def test_transactions_start_after_equally_urgent_single_statements(self) -> None:
        self.acquire("first")
        self.shrink_window()
        self.acquire("transaction", demand=Demand.TRANSACTION)
        self.acquire("single")
        self.acquire("urgent transaction", priority=0, demand=Demand.TRANSACTION)
        for index in range(3):
            self.pool.release(self.assigned[index][1])
        self.assertEqual(self.names(), ["first", "urgent transaction", "single", "transaction"])

    def test_internal_statement_needs_no_slot(self) -> None:
        self.acquire("first")
        self.shrink_window()
        self.acquire("status", priority=-1, demand=Demand.INTERNAL)
        self.assertEqual(self.names(), ["first", "status"])

    def test_waiting_for_a_slot_opens_no_connections(self) -> None:
        self.acquire("first")
        self.shrink_window()
        for number in range(10):
            self.acquire(f"waiting {number}")
        self.assertEqual(self.model.databases["p"].open_connections, 1)

    def test_lost_connection_frees_its_slot(self) -> None:
        self.acquire("first")
        self.shrink_window()
        self.acquire("next")
        connection = self.assigned[0][1]
        connection.close()
        self.pool.release(connection)
        self.scheduler.advance(0.1)
        self.assertEqual(self.names(), ["first", "next"])

    def test_executed_statements_widen_the_window(self) -> None:
        self.acquire("first")
        self.shrink_window()
        self.acquire("next")
        for _ in range(10):
            self.pool.record_answer(StatementKind.READ, SERVED)
        self.pool.release(self.assigned[0][1])
        self.acquire("another")
        self.assertEqual(self.names(), ["first", "next", "another"])


if __name__ == "__main__":
    unittest.main()
