"""What the log tells of a database that cannot be connected to."""

import unittest

from dewledge.errors import ErrorCode
from tests.core.proxy.gateway.gateway_harness import PRIMARY, GatewayHarness

FAILED, OPENED = "connection_open_failed", "connection_opened_again"


class OpenFailureLogTest(unittest.TestCase):
    def setUp(self) -> None:
        self.harness = GatewayHarness()
        self.harness.configure(ready=False)
        self.start = self.harness.now

    def fail_for(self, seconds: float) -> None:
        """Lets every open fail at once, as often as it is tried."""
        end = self.harness.now + seconds
        while self.harness.now < end:
            self.harness.fail_opening(ErrorCode.DATABASE_UNREACHABLE)
            self.harness.run_until(self.harness.now + 0.01)

    def lines(self) -> list[tuple[str, object]]:
        """Returns the events about one database and the failures each counts."""
        events = [(event.name, dict(event.fields)) for event in self.harness.logs]
        return [
            (name, fields.get("failures"))
            for name, fields in events
            if name in (FAILED, OPENED) and fields["database"] == PRIMARY
        ]

    def test_first_failure_then_a_count_each_minute_then_the_end(self) -> None:
        self.fail_for(1.0)
        self.assertEqual(self.lines(), [(FAILED, 1)])
        self.fail_for(124.0)
        lines = self.lines()
        self.assertEqual([name for name, _ in lines], [FAILED] * 3)
        self.assertTrue(all(50 < count < 70 for _, count in lines[1:]), lines)
        self.harness.run_until(self.harness.now + 1.0)
        self.harness.open_all()
        self.assertEqual(self.lines()[3:], [(OPENED, None)])

    def test_failures_that_come_and_go_stay_within_the_bound(self) -> None:
        for _ in range(20):
            self.fail_for(0.5)
            self.harness.run_until(self.harness.now + 1.0)
            self.harness.open_all()
            self.harness.send()
            self.harness.break_job()
        self.assertLess(self.harness.now - self.start, 60.0)
        self.assertEqual([name for name, _ in self.lines()], [FAILED, OPENED])


if __name__ == "__main__":
    unittest.main()
