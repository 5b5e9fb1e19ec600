"""The pool: limits, waiting by urgency, connections of doubtful state, databases that leave."""

import unittest

from dewledge.core.pooler.pool.connection_pool import ConnectionPool
from dewledge.core.pooler.pool.database_connection import DatabaseConnection
from dewledge.core.pooler.pool.waiter import Denial, Waiter
from tests.core.pooler.harness import ModelGroup, ModelScheduler


class PoolCase(unittest.TestCase):
    def setUp(self) -> None:
        self.scheduler = ModelScheduler()
        self.model = ModelGroup(self.scheduler)
        self.pool = ConnectionPool("p", 2, self.model, self.scheduler.now)
        self.given: list[tuple[str, DatabaseConnection]] = []
        self.denied: list[tuple[str, Denial]] = []

    def acquire(self, name: str, priority: int = 1, wait: float = 0.1) -> Waiter:
        waiter = Waiter(
            priority,
            lambda connection: self.given.append((name, connection)),
            lambda denial: self.denied.append((name, denial)),
        )
        self.pool.acquire(waiter, {})
        self.scheduler.advance(wait)
        return waiter


class ConnectionPoolTest(PoolCase):
    def test_no_more_connections_than_the_limit_are_opened(self) -> None:
        for name in "abc":
            self.acquire(name)
        self.assertEqual([name for name, _ in self.given], ["a", "b"])
        self.assertEqual(self.model.databases["p"].open_connections, 2)
        self.pool.release(self.given[0][1])
        self.assertEqual(self.given[2][0], "c")

    def test_the_more_urgent_waiter_comes_first_then_the_earlier(self) -> None:
        for name in "ab":
            self.acquire(name)
        for name, priority in (("late", 2), ("later", 2), ("urgent", 0)):
            self.acquire(name, priority)
        for index in range(3):
            self.pool.release(self.given[index][1])
        self.assertEqual([name for name, _ in self.given[2:]], ["urgent", "late", "later"])

    def test_a_waiter_that_withdrew_is_passed_over(self) -> None:
        for name in "ab":
            self.acquire(name)
        self.acquire("gone").withdrawn = True
        self.acquire("next")
        self.pool.release(self.given[0][1])
        self.assertEqual(self.given[2][0], "next")

    def test_a_connection_that_broke_is_replaced_for_who_waits(self) -> None:
        for name in "abc":
            self.acquire(name)
        connection = self.given[0][1]
        self.model.transports[0].break_off()
        self.pool.release(connection)
        self.scheduler.advance(0.1)
        self.assertEqual(self.given[2][0], "c")
        self.assertIsNot(self.given[2][1], connection)

    def test_an_unreachable_database_denies_at_once_and_is_tried_again_later(self) -> None:
        self.model.databases["p"].refuse_connections = True
        self.acquire("a")
        self.acquire("b", wait=0.0)
        self.assertEqual(self.denied, [("a", Denial.UNREACHABLE), ("b", Denial.UNREACHABLE)])
        self.model.databases["p"].refuse_connections = False
        self.scheduler.advance(0.3)
        self.acquire("c")
        self.assertEqual(self.given[0][0], "c")

    def test_a_database_at_its_own_limit_is_not_asked_at_every_statement(self) -> None:
        self.model.databases["p"].max_connections = 1
        for name in "ab":
            self.acquire(name)
        opened = len(self.model.transports)
        self.acquire("c")
        self.assertEqual(len(self.model.transports), opened)
        self.pool.release(self.given[0][1])
        self.assertEqual(self.given[1][0], "b")

    def test_a_retired_pool_gives_nothing_and_ends_its_connections(self) -> None:
        self.acquire("a")
        self.acquire("b")
        self.pool.release(self.given[0][1])
        self.pool.retire()
        self.acquire("c")
        self.assertEqual(self.denied, [("c", Denial.CLOSED)])
        self.pool.release(self.given[1][1])
        self.assertEqual(self.model.databases["p"].open_connections, 0)

    def test_a_smaller_share_closes_connections_as_they_come_back(self) -> None:
        for name in "ab":
            self.acquire(name)
        self.pool.change_limit(1)
        for _, connection in self.given:
            self.pool.release(connection)
        self.assertEqual(self.model.databases["p"].open_connections, 1)


class TrimTest(PoolCase):
    def test_all_but_one_idle_connection_are_closed_after_a_while(self) -> None:
        for name in "ab":
            self.acquire(name)
        for _, connection in self.given:
            self.pool.release(connection)
        self.pool.trim()
        self.assertEqual(self.model.databases["p"].open_connections, 2)
        self.scheduler.advance(2.0)
        self.pool.trim()
        self.assertEqual(self.model.databases["p"].open_connections, 1)

    def test_one_in_use_is_never_closed(self) -> None:
        for name in "ab":
            self.acquire(name)
        self.scheduler.advance(9.0)
        self.pool.trim()
        self.assertEqual(self.model.databases["p"].open_connections, 2)


class RenewTest(PoolCase):
    def test_connections_of_an_older_way_are_not_given_out_again(self) -> None:
        self.acquire("a")
        self.acquire("b")
        self.pool.release(self.given[0][1])
        self.pool.renew()
        self.pool.release(self.given[1][1])
        self.assertEqual(self.model.databases["p"].open_connections, 0)
        self.acquire("c")
        self.assertNotIn(self.given[2][1], [given for _, given in self.given[:2]])

    def test_one_that_was_being_opened_is_closed_and_another_opened(self) -> None:
        self.acquire("a", wait=0.0)
        self.pool.renew()
        self.scheduler.advance(0.1)
        self.assertEqual([name for name, _ in self.given], ["a"])
        self.assertEqual(self.model.databases["p"].open_connections, 1)

    def test_one_that_retires_is_closed_when_it_comes_back_or_would_be_given(self) -> None:
        self.acquire("a")
        self.given[0][1].is_retiring = True
        self.pool.release(self.given[0][1])
        self.acquire("b")
        self.pool.release(self.given[1][1])
        self.given[1][1].is_retiring = True
        self.acquire("c")
        self.assertEqual(len({id(connection) for _, connection in self.given}), 3)


if __name__ == "__main__":
    unittest.main()
