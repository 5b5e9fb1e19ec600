"""What is taken for a queue that stands: a table of waits over time."""

import unittest
from collections.abc import Callable

from dewledge.core.pooler.rate_limits.persistent_queue_detector import (
    ACCEPTABLE_WAIT_SECONDS,
    MIN_PERSISTENT_SECONDS,
    PersistentQueueDetector,
)

STEP = 0.02


def watch_of(wait: Callable[[float], float], seconds: float) -> PersistentQueueDetector:
    """Returns a watch that has seen the waits of operations at equal distances."""
    watch = PersistentQueueDetector()
    for number in range(int(seconds / STEP)):
        now = number * STEP
        watch.record_wait(wait(now), ACCEPTABLE_WAIT_SECONDS, now)
    return watch


class LineWatchTest(unittest.TestCase):
    def test_each_course(self) -> None:
        cases: tuple[tuple[str, Callable[[float], float], bool], ...] = (
            ("short", lambda now: 0.14, False),
            ("as long all the time", lambda now: 1.9, True),
            ("becomes longer", lambda now: 0.2 + 0.2 * now, True),
            ("becomes shorter as usual demand leaves a third", lambda now: 1.8 - 0.37 * now, False),
            ("becomes shorter too slowly", lambda now: 1.8 - 0.05 * now, True),
            (
                "an outage's operations come for half a second",
                lambda now: 2 * now if now < 0.5 else 1.0 - 0.37 * (now - 0.5),
                False,
            ),
            ("is short now and then", lambda now: 0.0 if now % 1.0 < STEP else 1.0, False),
        )
        for name, wait, expected in cases:
            with self.subTest(name):
                self.assertIs(watch_of(wait, 3.0).is_persistent(3.0), expected)

    def test_it_takes_longer_than_what_an_outage_piles_up_needs_to_come(self) -> None:
        self.assertFalse(watch_of(lambda now: 1.0, 1.4).is_persistent(1.4))
        self.assertTrue(watch_of(lambda now: 1.0, 1.6).is_persistent(1.6))

    def test_it_stands_until_nobody_found_it_too_long_for_a_while(self) -> None:
        watch = watch_of(lambda now: 1.0, 1.6)
        watch.record_wait(0.0, ACCEPTABLE_WAIT_SECONDS, 1.7)
        self.assertTrue(watch.is_persistent(1.7))
        watch.mark_persistent(3.0)
        self.assertTrue(watch.is_persistent(3.0 + MIN_PERSISTENT_SECONDS - 0.01))
        self.assertFalse(watch.is_persistent(3.0 + MIN_PERSISTENT_SECONDS + 0.01))


if __name__ == "__main__":
    unittest.main()
