"""When a planned stop may end the process, as a table."""

import unittest

from dewledge.shell.proxy.stop_rule import StopProgress, may_finish

LEAVE_BOUND = 30.0

# name, elapsed, since the last request, in flight, core idle, connections, may end
CASES = (
    ("nothing left", 1.0, 5.0, 0, True, 0, True),
    ("peers may not know yet", 0.9, 5.0, 0, True, 0, False),
    ("a caller waits", 5.0, 5.0, 1, True, 1, False),
    ("a transaction is open", 5.0, 5.0, 0, False, 0, False),
    ("a peer asked a moment ago", 5.0, 0.1, 0, True, 0, False),
    ("callers may still ask on open connections", 1.5, 5.0, 0, True, 3, False),
    ("callers that say nothing", 2.0, 5.0, 0, True, 3, True),
    ("the bound has passed", 30.0, 0.0, 9, False, 9, True),
)


class StopRuleTest(unittest.TestCase):
    def test_table(self) -> None:
        for name, elapsed, since_request, in_flight, idle, connections, expected in CASES:
            with self.subTest(name):
                progress = StopProgress(elapsed, since_request, in_flight, idle, connections)
                self.assertIs(may_finish(progress, LEAVE_BOUND), expected)
