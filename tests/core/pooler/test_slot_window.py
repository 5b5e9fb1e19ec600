"""What a full database's slots go to: the window learns, and the more urgent comes first."""

import unittest

from dewledge.core.pooler.pool.connection_pool import ConnectionPool
from dewledge.core.pooler.pool.database_connection import DatabaseConnection
from dewledge.core.pooler.pool.slot_window import CUT_SPACING_SECONDS, SlotWindow
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
    def test_it_is_wide_open_until_the_database_refuses(self) -> None:
        window = SlotWindow(9)
        self.assertTrue(window.allows(8))
        self.assertFalse(window.allows(9))

    def test_refusals_of_one_moment_cut_it_once(self) -> None:
        window = SlotWindow(8)
        for _ in range(20):
            window.record_refused(100.0)
        self.assertEqual(window.free_slots(0), 6)

    def test_it_never_closes(self) -> None:
        window = SlotWindow(8)
        for step in range(100):
            window.record_refused(100.0 + step)
        self.assertEqual(window.free_slots(0), 1)

    def test_it_tells_once_that_the_database_is_full_and_once_that_it_has_room(self) -> None:
        told: list[tuple[bool, int, int]] = []
        window = SlotWindow(4, lambda *change: told.append(change))
        for step in range(5):
            window.record_refused(100.0 + 0.01 * step)
        self.assertEqual(told, [(True, 3, 4)])
        for _ in range(100):
            window.note_served(4)
        self.assertEqual(told, [(True, 3, 4), (False, 4, 4)])
        window.record_refused(100.5)
        self.assertFalse(window.is_full, "told a moment ago")
        window.record_refused(101.5)
        self.assertEqual(told[-1], (True, 2, 4))

    def test_it_opens_again_with_the_statements_that_run(self) -> None:
        window = SlotWindow(8)
        for step in range(100):
            window.record_refused(100.0 + step)
        for _ in range(40):
            window.note_served(8)
        self.assertGreaterEqual(window.free_slots(0), 3)
        for _ in range(1000):
            window.note_served(8)
        self.assertEqual(window.free_slots(0), 8)


class PoolWithWindowTest(unittest.TestCase):
    def setUp(self) -> None:
        self.scheduler = ModelScheduler()
        self.model = ModelGroup(self.scheduler)
        window = SlotWindow(4)
        self.pool = ConnectionPool("p", 4, self.model, self.scheduler.now, window)
        self.given: list[tuple[str, DatabaseConnection]] = []

    def acquire(self, name: str, priority: int = 1, demand: Demand = Demand.SINGLE) -> None:
        self.pool.acquire(self.waiter(name, priority, demand), {})
        self.scheduler.advance(0.1)

    def waiter(self, name: str, priority: int = 1, demand: Demand = Demand.SINGLE) -> Waiter:
        return Waiter(
            priority,
            lambda connection: self.given.append((name, connection)),
            lambda _: None,
            demand,
        )

    def names(self) -> list[str]:
        return [name for name, _ in self.given]

    def close_window(self) -> None:
        for _ in range(20):
            self.pool.note_answer(StatementKind.READ, REFUSED)
            self.scheduler.advance(CUT_SPACING_SECONDS)

    def test_before_any_refusal_all_connections_are_given(self) -> None:
        for name in "abcd":
            self.acquire(name)
        self.assertEqual(self.names(), ["a", "b", "c", "d"])

    def test_at_a_full_database_the_more_urgent_comes_first(self) -> None:
        self.acquire("first")
        self.close_window()
        for name, priority in (("late", 2), ("later", 2), ("urgent", 1)):
            self.acquire(name, priority)
        self.assertEqual(self.names(), ["first"])
        for index in range(3):
            self.pool.release(self.given[index][1])
        self.assertEqual(self.names(), ["first", "urgent", "late", "later"])

    def test_one_that_comes_does_not_pass_those_that_wait_beside_idle_connections(self) -> None:
        self.acquire("first")
        self.acquire("second")
        self.close_window()
        self.acquire("waiting")
        self.pool.release(self.given[0][1])
        self.acquire("newcomer")
        self.assertEqual(self.names(), ["first", "second"])
        self.pool.release(self.given[1][1])
        self.assertEqual(self.names(), ["first", "second", "waiting"])

    def test_a_transaction_that_rests_takes_no_place(self) -> None:
        self.close_window()
        self.acquire("transaction", demand=Demand.TRANSACTION)
        self.acquire("single")
        self.assertEqual(self.names(), ["transaction", "single"])

    def test_one_whose_statement_runs_takes_a_place_until_its_answer(self) -> None:
        self.close_window()
        self.acquire("transaction", demand=Demand.TRANSACTION)
        connection = self.given[0][1]
        connection.send(
            Statement("1", StatementKind.READ),
            lambda reply: self.pool.note_answer(StatementKind.READ, reply or SERVED),
        )
        self.pool.acquire(self.waiter("single"), {})
        self.assertEqual(self.names(), ["transaction"])
        self.scheduler.advance(0.1)
        self.assertEqual(self.names(), ["transaction", "single"])

    def test_a_transaction_begins_after_the_singles_that_are_as_urgent(self) -> None:
        self.acquire("first")
        self.close_window()
        self.acquire("transaction", demand=Demand.TRANSACTION)
        self.acquire("single")
        self.acquire("urgent transaction", priority=0, demand=Demand.TRANSACTION)
        for index in range(3):
            self.pool.release(self.given[index][1])
        self.assertEqual(self.names(), ["first", "urgent transaction", "single", "transaction"])

    def test_a_question_of_the_proxy_is_never_held_back(self) -> None:
        self.acquire("first")
        self.close_window()
        self.acquire("status", priority=-1, demand=Demand.OWN)
        self.assertEqual(self.names(), ["first", "status"])

    def test_those_that_wait_for_a_slot_open_no_connections(self) -> None:
        self.acquire("first")
        self.close_window()
        for number in range(10):
            self.acquire(f"waiting {number}")
        self.assertEqual(self.model.databases["p"].open_connections, 1)

    def test_a_lost_connection_gives_its_place_back(self) -> None:
        self.acquire("first")
        self.close_window()
        self.acquire("next")
        connection = self.given[0][1]
        connection.close()
        self.pool.release(connection)
        self.scheduler.advance(0.1)
        self.assertEqual(self.names(), ["first", "next"])

    def test_served_statements_let_more_in(self) -> None:
        self.acquire("first")
        self.close_window()
        self.acquire("next")
        for _ in range(10):
            self.pool.note_answer(StatementKind.READ, SERVED)
        self.pool.release(self.given[0][1])
        self.acquire("another")
        self.assertEqual(self.names(), ["first", "next", "another"])


if __name__ == "__main__":
    unittest.main()
