"""The watch over the process's own standing still."""

import unittest

from dewledge.core.pooler.events import ProcessStoodStill
from dewledge.shell.pooler.observing.stall_watch import STALL_SECONDS, StallWatch


class StallWatchTest(unittest.TestCase):
    def test_a_late_tick_is_told_once_with_how_late_it_was(self) -> None:
        watch = StallWatch(0.25)
        ticks = (10.0, 10.25, 10.5 + STALL_SECONDS / 2, 14.0, 14.25)
        told = [watch.tick(now) for now in ticks]
        lateness = int((14.0 - ticks[2] - 0.25) * 1000)
        self.assertEqual(told, [None, None, None, ProcessStoodStill(lateness), None])


if __name__ == "__main__":
    unittest.main()
