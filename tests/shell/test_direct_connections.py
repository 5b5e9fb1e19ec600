"""A process's own way to a database: dials that hang or fail, and what the next statements wait.

The load: a region cut off together with its holders and databases.
"""

import unittest
from collections.abc import Callable

from dewledge.core.pooler.pool.database_connection import DatabaseConnection
from dewledge.errors import ErrorCode
from dewledge.shell.pooler.links.direct_connections import (
    DirectConnections,
    FailedCallback,
    OpenedCallback,
)
from tests.core.pooler.harness import ModelScheduler


class Transport:
    def __init__(self) -> None:
        self.is_closed = False

    def send(self, statement: object, floor: object) -> None:
        """Nothing is sent."""

    def close(self) -> None:
        self.is_closed = True


class OwnWayTest(unittest.TestCase):
    def setUp(self) -> None:
        self.scheduler = ModelScheduler()
        self.way = DirectConnections(self.scheduler, lambda: 0.5)  # type: ignore[arg-type]
        self.dials: list[tuple[OpenedCallback, FailedCallback]] = []
        self.told: list[str] = []

    def open(self) -> None:
        self.way.open(
            lambda opened, failed: self.dials.append((opened, failed)),
            lambda connection: self.told.append("opened"),
            lambda code: self.told.append(code),
        )

    def stand(self, number: int) -> Transport:
        transport = Transport()
        self.dials[number][0](DatabaseConnection("d", transport))
        return transport

    def after(self, seconds: float, act: Callable[[], object] = lambda: None) -> list[str]:
        self.scheduler.advance(seconds)
        act()
        return self.told

    def test_a_connection_in_time_is_given(self) -> None:
        self.open()
        self.assertEqual(self.after(0.1, lambda: self.stand(0)), ["opened"])
        self.assertTrue(self.way.is_usable)

    def test_who_waits_for_a_dial_that_hangs_is_told_early(self) -> None:
        self.open()
        self.open()
        self.assertEqual(self.after(0.39), [])
        self.assertEqual(self.after(0.02), [ErrorCode.DATABASE_UNREACHABLE] * 2)
        self.assertFalse(self.way.is_usable)

    def test_one_that_stands_too_late_is_closed_and_shows_that_the_way_is_there(self) -> None:
        self.open()
        self.after(0.5)
        transport = self.stand(0)
        self.assertTrue(transport.is_closed)
        self.assertTrue(self.way.is_usable)
        self.assertEqual(self.told, [ErrorCode.DATABASE_UNREACHABLE])

    def test_after_a_failure_only_a_probe_tries_after_a_pause(self) -> None:
        self.open()
        self.dials[0][1](ErrorCode.DATABASE_UNREACHABLE)
        self.assertFalse(self.way.is_usable)
        self.assertFalse(self.way.may_probe)
        self.after(0.3)
        self.assertTrue(self.way.may_probe)
        self.open()
        self.assertEqual(self.told, [ErrorCode.DATABASE_UNREACHABLE] * 2)
        self.assertFalse(self.way.may_probe)
        self.stand(1)
        self.assertTrue(self.way.is_usable)

    def test_a_database_that_refuses_for_its_limit_is_there(self) -> None:
        self.open()
        self.dials[0][1](ErrorCode.CONNECTION_LIMIT)
        self.assertEqual(self.told, [ErrorCode.CONNECTION_LIMIT])
        self.assertTrue(self.way.is_usable)


if __name__ == "__main__":
    unittest.main()
