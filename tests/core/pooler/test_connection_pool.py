"""Connection pool: limits, queue order, broken connections and changed routes."""

import unittest

from dewledge.core.pooler.pool.connection_pool import ConnectionPool
from dewledge.core.pooler.pool.database_connection import DatabaseConnection
from dewledge.core.pooler.pool.waiter import Denial, Waiter
from tests.core.pooler.harness import ModelGroup, ModelScheduler


class PoolTestCase(unittest.TestCase):
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


class ConnectionPoolTest(PoolTestCase):
    def test_open_connections_do_not_exceed_limit(self) -> None:
        for name in "abc":
            self.acquire(name)
        self.assertEqual([name for name, _ in self.given], ["a", "b"])
        self.assertEqual(self.model.databases["p"].open_connections, 2)
        self.pool.release(self.given[0][1])
        self.assertEqual(self.given[2][0], "c")

    def test_waiters_are_served_by_priority_then_arrival(self) -> None:
        for name in "ab":
            self.acquire(name)
        for name, priority in (("late", 2), ("later", 2), ("urgent", 0)):
            self.acquire(name, priority)
        for index in range(3):
            self.pool.release(self.given[index][1])
        self.assertEqual([name for name, _ in self.given[2:]], ["urgent", "late", "later"])

    def test_withdrawn_waiter_is_skipped(self) -> None:
        for name in "ab":
            self.acquire(name)
        self.acquire("withdrawn").withdrawn = True
        self.acquire("next")
        self.pool.release(self.given[0][1])
        self.assertEqual(self.given[2][0], "next")

    def test_broken_connection_is_replaced_for_waiter(self) -> None:
        for name in "abc":
            self.acquire(name)
        connection = self.given[0][1]
        self.model.transports[0].break_off()
        self.pool.release(connection)
        self.scheduler.advance(0.1)
        self.assertEqual(self.given[2][0], "c")
        self.assertIsNot(self.given[2][1], connection)

    def test_unreachable_database_denies_then_is_retried(self) -> None:
        self.model.databases["p"].refuse_connections = True
        self.acquire("a")
        self.acquire("b", wait=0.0)
        self.assertEqual(self.denied, [("a", Denial.UNREACHABLE), ("b", Denial.UNREACHABLE)])
        self.model.databases["p"].refuse_connections = False
        self.scheduler.advance(0.3)
        self.acquire("c")
        self.assertEqual(self.given[0][0], "c")

    def test_no_repeated_openings_at_database_connection_limit(self) -> None:
        self.model.databases["p"].max_connections = 1
        for name in "ab":
            self.acquire(name)
        opened = len(self.model.transports)
        self.acquire("c")
        self.assertEqual(len(self.model.transports), opened)
        self.pool.release(self.given[0][1])
        self.assertEqual(self.given[1][0], "b")

    def test_retired_pool_denies_and_closes_connections(self) -> None:
        self.acquire("a")
        self.acquire("b")
        self.pool.release(self.given[0][1])
        self.pool.retire()
        self.acquire("c")
        self.assertEqual(self.denied, [("c", Denial.CLOSED)])
        self.pool.release(self.given[1][1])
        self.assertEqual(self.model.databases["p"].open_connections, 0)

    def test_reduced_limit_closes_released_connections(self) -> None:
        for name in "ab":
            self.acquire(name)
        self.pool.change_limit(1)
        for _, connection in self.given:
            self.pool.release(connection)
        self.assertEqual(self.model.databases["p"].open_connections, 1)


class TrimTest(PoolTestCase):
    def test_trim_closes_all_but_one_idle_connection(self) -> None:
        for name in "ab":
            self.acquire(name)
        for _, connection in self.given:
            self.pool.release(connection)
        self.pool.trim()
        self.assertEqual(self.model.databases["p"].open_connections, 2)
        self.scheduler.advance(2.0)
        self.pool.trim()
        self.assertEqual(self.model.databases["p"].open_connections, 1)

    def test_trim_keeps_connections_in_use(self) -> None:
        for name in "ab":
            self.acquire(name)
        self.scheduler.advance(9.0)
        self.pool.trim()
        self.assertEqual(self.model.databases["p"].open_connections, 2)


class RouteChangeTest(PoolTestCase):
    def test_connections_of_old_route_are_not_reused(self) -> None:
        self.acquire("a")
        self.acquire("b")
        self.pool.release(self.given[0][1])
        self.pool.switch_route()
        self.pool.release(self.given[1][1])
        self.assertEqual(self.model.databases["p"].open_connections, 0)
        self.acquire("c")
        self.assertNotIn(self.given[2][1], [given for _, given in self.given[:2]])

    def test_connection_being_opened_by_old_route_is_replaced(self) -> None:
        self.acquire("a", wait=0.0)
        self.pool.switch_route()
        self.scheduler.advance(0.1)
        self.assertEqual([name for name, _ in self.given], ["a"])
        self.assertEqual(self.model.databases["p"].open_connections, 1)

    def test_retiring_connection_is_not_reused(self) -> None:
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
