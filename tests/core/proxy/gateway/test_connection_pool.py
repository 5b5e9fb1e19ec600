"""The pool: warmed ahead, never above its target, no connection of unknown state lent again."""

import unittest
from collections.abc import Callable
from random import Random

from dewledge.core.proxy.effects import CloseConnection, OpenConnection
from dewledge.core.proxy.gateway.connection_pool import ConnectionPool
from dewledge.core.proxy.gateway.context import GatewayContext
from dewledge.core.proxy.gateway.settings import GatewaySettings
from dewledge.errors import ErrorCode

LIMIT = ErrorCode.CONNECTION_LIMIT
UNREACHABLE = ErrorCode.DATABASE_UNREACHABLE


class PoolHarness:
    """A pool and the connections that the shell would hold for it."""

    def __init__(self, target: int = 3) -> None:
        self.context = GatewayContext("here", GatewaySettings(jitter=0.0), Random(1))
        self.failures: list[ErrorCode] = []
        self.opened = 0
        self.ordered = 0
        self.pool = ConnectionPool(
            self.context, "cases-1", self._note_opened, lambda code, _: self.failures.append(code)
        )
        self.now = 0.0
        self.opening: list[int] = []
        self.held: set[int] = set()
        self.pool.configure("one:1", target, self.now)
        self.carry_out()

    def _note_opened(self, now: float) -> None:
        self.opened += 1

    def carry_out(self) -> None:
        for effect in self.context.take_effects():
            if isinstance(effect, OpenConnection):
                self.opening.append(effect.connection_id)
                self.ordered += 1
            elif isinstance(effect, CloseConnection):
                self.held.discard(effect.connection_id)

    def open(self) -> None:
        connection = self.opening.pop(0)
        self.held.add(connection)
        self.pool.opened(connection, self.now)
        self.carry_out()

    def fail(self, code: ErrorCode) -> None:
        self.pool.failed(self.opening.pop(0), code, self.now)
        self.carry_out()

    def fail_and_wait(self, code: ErrorCode) -> None:
        self.fail(code)
        self.wait(self.pool.retry_pause)

    def fail_and_retry_soon(self, code: ErrorCode) -> None:
        self.fail(code)
        self.pool.retry_soon(self.now)
        self.carry_out()

    def wait(self, seconds: float) -> None:
        self.now += seconds
        self.context.run_timers(self.now)
        self.carry_out()


class ConnectionPoolTest(unittest.TestCase):
    def test_warms_up_ahead_of_need(self) -> None:
        harness = PoolHarness()
        self.assertEqual(len(harness.opening), 3)
        while harness.opening:
            harness.open()
        self.assertEqual((harness.pool.open_count, harness.opened), (3, 3))

    def test_discarded_connection_is_closed_and_replaced(self) -> None:
        harness = PoolHarness(1)
        harness.open()
        connection = harness.pool.lend()
        harness.pool.discard(connection, harness.now)
        harness.pool.give_back(connection, harness.now)
        harness.carry_out()
        self.assertFalse(harness.pool.has_idle)
        self.assertEqual((harness.held, len(harness.opening)), (set(), 1))

    def test_failed_open_is_tried_again_after_growing_pauses(self) -> None:
        for code in (LIMIT, UNREACHABLE):
            with self.subTest(code):
                harness = PoolHarness(1)
                pauses = []
                for _ in range(8):
                    harness.fail(code)
                    pauses.append(harness.pool.retry_pause)
                    self.assertEqual(harness.opening, [])
                    harness.wait(harness.pool.retry_pause)
                    self.assertEqual(len(harness.opening), 1)
                self.assertEqual(pauses[:3], [0.05, 0.1, 0.2])
                self.assertEqual(pauses[-1], 1.0)
                harness.open()
                self.assertIsNone(harness.pool.failure)

    def test_at_the_limit_it_serves_with_what_it_has(self) -> None:
        harness = PoolHarness(3)
        harness.open()
        harness.fail(LIMIT)
        harness.fail(LIMIT)
        self.assertTrue(harness.pool.has_idle)
        harness.wait(0.05)
        self.assertEqual(len(harness.opening), 1)
        harness.open()
        self.assertEqual(len(harness.opening), 1)

    def test_database_that_answers_again_is_tried_at_once(self) -> None:
        harness = PoolHarness(1)
        harness.fail(UNREACHABLE)
        harness.pool.retry_soon(harness.now)
        harness.carry_out()
        self.assertEqual(len(harness.opening), 1)
        harness.pool.retry_soon(harness.now)
        harness.carry_out()
        self.assertEqual(len(harness.opening), 1)

    def test_reports_that_come_late_or_twice(self) -> None:
        harness = PoolHarness(1)
        late = harness.opening[0]
        harness.wait(5.0)
        self.assertEqual(harness.failures, [UNREACHABLE])
        harness.held.add(late)
        harness.pool.opened(late, harness.now)
        harness.pool.failed(late, LIMIT, harness.now)
        harness.carry_out()
        self.assertEqual((harness.held, harness.pool.open_count), (set(), 0))
        harness.wait(1.0)
        harness.opening.remove(late)
        second = harness.opening[0]
        harness.open()
        harness.pool.opened(second, harness.now)
        harness.pool.failed(second, LIMIT, harness.now)
        harness.carry_out()
        self.assertEqual((harness.held, harness.pool.open_count), ({second}, 1))

    def test_new_address_replaces_every_connection(self) -> None:
        harness = PoolHarness(2)
        harness.open()
        lent = harness.pool.lend()
        harness.pool.configure("two:1", 2, harness.now)
        harness.carry_out()
        harness.open()
        harness.pool.give_back(lent, harness.now)
        harness.carry_out()
        self.assertFalse(harness.pool.has_idle)
        while harness.opening:
            harness.open()
        self.assertEqual((harness.pool.open_count, len(harness.held)), (2, 2))

    def test_opens_nothing_while_held(self) -> None:
        steps: dict[str, Callable[[PoolHarness], None]] = {
            "a higher target": lambda it: it.pool.configure("one:1", 5, it.now),
            "another address": lambda it: it.pool.configure("two:1", 3, it.now),
            "a connection discarded": lambda it: it.pool.discard(it.pool.lend(), it.now),
            "a connection opened": PoolHarness.open,
            "an open refused, tried again": lambda it: it.fail_and_wait(LIMIT),
            "a database that answers again": lambda it: it.fail_and_retry_soon(UNREACHABLE),
        }
        for name, step in steps.items():
            with self.subTest(name):
                harness = PoolHarness(3)
                harness.open()
                harness.pool.hold()
                before = harness.ordered
                step(harness)
                harness.carry_out()
                self.assertEqual(harness.ordered, before)
                harness.pool.resume(harness.now)
                harness.wait(2 * harness.context.settings.open_retry_max)
                self.assertGreaterEqual(len(harness.held) + len(harness.opening), 3)

    def test_any_order_keeps_target_and_leaks_nothing(self) -> None:
        for seed in range(100):
            with self.subTest(seed=seed):
                self.run_at_random(Random(seed))

    def run_at_random(self, random: Random) -> None:
        harness = PoolHarness(4)
        lent: list[int] = []
        for _ in range(200):
            action = random.randrange(7)
            if action == 0 and harness.opening:
                harness.open()
            elif action == 1 and harness.opening:
                harness.fail(random.choice((LIMIT, UNREACHABLE)))
            elif action == 2 and harness.pool.has_idle:
                lent.append(harness.pool.lend())
            elif action == 3 and lent:
                harness.pool.give_back(lent.pop(random.randrange(len(lent))), harness.now)
            elif action == 4 and lent:
                harness.pool.discard(lent.pop(), harness.now)
            elif action == 5:
                harness.wait(random.choice((0.01, 0.1, 1.0)))
            elif action == 6 and random.random() < 0.2:
                harness.pool.configure("one:1", random.choice((0, 1, 4)), harness.now)
            harness.carry_out()
            self.assertLessEqual(set(lent), harness.held)
            self.assertEqual(len(harness.held), harness.pool.open_count)
            self.assertLessEqual(len(harness.held) + len(harness.opening), 4)
        harness.pool.configure("one:1", 0, harness.now)
        for connection in lent:
            harness.pool.give_back(connection, harness.now)
        while harness.opening:
            harness.open()
        harness.carry_out()
        self.assertEqual(harness.held, set())
        self.assertTrue(harness.pool.is_empty)


if __name__ == "__main__":
    unittest.main()
