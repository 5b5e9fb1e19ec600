"""Guards the detection of persistent queues, with patterns of waits over time."""

import unittest
from collections.abc import Callable

from dewledge.core.pooler.rate_limits.persistent_queue_detector import (
    ACCEPTABLE_WAIT_SECONDS,
    MIN_PERSISTENT_SECONDS,
    PersistentQueueDetector,
)

STEP = 0.02


def detector_after(wait: Callable[[float], float], seconds: float) -> PersistentQueueDetector:
    """Returns a detector that recorded the waits of equally spaced operations."""
    detector = PersistentQueueDetector()
    for number in range(int(seconds / STEP)):
        now = number * STEP
        detector.record_wait(wait(now), ACCEPTABLE_WAIT_SECONDS, now)
    return detector


class PersistentQueueDetectorTest(unittest.TestCase):
    def test_wait_patterns(self) -> None:
        cases: tuple[tuple[str, Callable[[float], float], bool], ...] = (
            ("short", lambda now: 0.14, False),
            ("constantly long", lambda now: 1.9, True),
            ("growing", lambda now: 0.2 + 0.2 * now, True),
            (
                "shrinking because demand is a third below the rate",
                lambda now: 1.8 - 0.37 * now,
                False,
            ),
            ("shrinking too slowly", lambda now: 1.8 - 0.05 * now, True),
            (
                "growing for half a second after an outage",
                lambda now: 2 * now if now < 0.5 else 1.0 - 0.37 * (now - 0.5),
                False,
            ),
            ("short from time to time", lambda now: 0.0 if now % 1.0 < STEP else 1.0, False),
        )
        for name, wait, expected in cases:
            with self.subTest(name):
                self.assertIs(detector_after(wait, 3.0).is_persistent(3.0), expected)

    def test_detection_takes_longer_than_arrivals_after_an_outage(self) -> None:
        self.assertFalse(detector_after(lambda now: 1.0, 1.4).is_persistent(1.4))
        self.assertTrue(detector_after(lambda now: 1.0, 1.6).is_persistent(1.6))

    def test_queue_stays_persistent_for_the_minimum_time(self) -> None:
        detector = detector_after(lambda now: 1.0, 1.6)
        detector.record_wait(0.0, ACCEPTABLE_WAIT_SECONDS, 1.7)
        self.assertTrue(detector.is_persistent(1.7))
        detector.mark_persistent(3.0)
        self.assertTrue(detector.is_persistent(3.0 + MIN_PERSISTENT_SECONDS - 0.01))
        self.assertFalse(detector.is_persistent(3.0 + MIN_PERSISTENT_SECONDS + 0.01))


if __name__ == "__main__":
    unittest.main()
