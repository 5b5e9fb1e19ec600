"""The log of denied sessions: tries in, lines out. The load: hundreds of tries a second."""

import unittest

from dewledge.core.pooler.events import SessionDenied
from dewledge.core.pooler.sessions.denials import DenialLog
from tests.core.pooler.harness import ModelScheduler


class DenialsTest(unittest.TestCase):
    def setUp(self) -> None:
        self.scheduler = ModelScheduler()
        self.lines: list[SessionDenied] = []
        self.denials = DenialLog(self.scheduler, self.lines.append)

    def tries(self, route: str, count: int, seconds: float) -> None:
        for number in range(count):
            self.denials.record_denial(f"s{number}", route, 3)
            self.scheduler.advance(seconds / count)

    def test_one_is_told_at_once_with_its_inputs(self) -> None:
        self.denials.record_denial("s1", "menus", 3)
        self.assertEqual(self.lines, [SessionDenied("s1", "menus", 3, 1)])
        self.scheduler.advance(10.0)
        self.assertEqual(len(self.lines), 1)

    def test_a_line_a_second_with_all_tries(self) -> None:
        self.tries("menus", 5000, 5.0)
        self.scheduler.advance(2.0)
        self.assertLessEqual(len(self.lines), 7)
        self.assertEqual(sum(line.tries for line in self.lines), 5000)

    def test_each_route_has_its_own_line(self) -> None:
        for _ in range(50):
            self.denials.record_denial("s1", "menus", 3)
            self.denials.record_denial("s2", "orders", 3)
        self.assertEqual([line.route for line in self.lines], ["menus", "orders"])

    def test_after_a_quiet_second_one_is_told_at_once_again(self) -> None:
        self.denials.record_denial("s1", "menus", 3)
        self.scheduler.advance(2.0)
        self.denials.record_denial("s2", "menus", 4)
        self.assertEqual(self.lines[-1], SessionDenied("s2", "menus", 4, 1))


if __name__ == "__main__":
    unittest.main()
