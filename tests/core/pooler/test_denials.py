"""The log of denied sessions stays bounded under hundreds of attempts per second."""

import unittest

from dewledge.core.pooler.events import SessionDenied
from dewledge.core.pooler.sessions.denials import DenialLog
from tests.core.pooler.harness import ModelScheduler


class DenialLogTest(unittest.TestCase):
    def setUp(self) -> None:
        self.scheduler = ModelScheduler()
        self.lines: list[SessionDenied] = []
        self.denials = DenialLog(self.scheduler, self.lines.append)

    def deny(self, route: str, count: int, seconds: float) -> None:
        for number in range(count):
            self.denials.record_denial(f"s{number}", route, 3)
            self.scheduler.advance(seconds / count)

    def test_first_denial_is_logged_at_once(self) -> None:
        self.denials.record_denial("s1", "menus", 3)
        self.assertEqual(self.lines, [SessionDenied("s1", "menus", 3, 1)])
        self.scheduler.advance(10.0)
        self.assertEqual(len(self.lines), 1)

    def test_further_denials_are_counted_in_one_line_per_second(self) -> None:
        self.deny("menus", 5000, 5.0)
        self.scheduler.advance(2.0)
        self.assertLessEqual(len(self.lines), 7)
        self.assertEqual(sum(line.tries for line in self.lines), 5000)

    def test_each_route_has_its_own_lines(self) -> None:
        for _ in range(50):
            self.denials.record_denial("s1", "menus", 3)
            self.denials.record_denial("s2", "orders", 3)
        self.assertEqual([line.route for line in self.lines], ["menus", "orders"])

    def test_denial_after_quiet_period_is_logged_at_once(self) -> None:
        self.denials.record_denial("s1", "menus", 3)
        self.scheduler.advance(2.0)
        self.denials.record_denial("s2", "menus", 4)
        self.assertEqual(self.lines[-1], SessionDenied("s2", "menus", 4, 1))


if __name__ == "__main__":
    unittest.main()
