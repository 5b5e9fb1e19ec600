"""How soon refusals are told: tries in, pauses out. The load: clients that come back at once."""

import unittest

from dewledge.core.pooler.load.failed_login_throttle import (
    ANSWERS_PER_SECOND,
    MAX_DELAYED_REFUSALS,
    PAUSE_SECONDS,
    FailedLoginThrottle,
)


class RefusalPaceTest(unittest.TestCase):
    def test_by_tries(self) -> None:
        first = int(ANSWERS_PER_SECOND)
        rows: list[tuple[str, int, int, int]] = [
            ("a mistaken client", 1, 0, 0),
            ("as many as are told at once", first, 0, 0),
            ("more are told after a pause", first + 50, 50, 0),
            (
                "very many are closed untold",
                first + MAX_DELAYED_REFUSALS + 700,
                MAX_DELAYED_REFUSALS,
                700,
            ),
        ]
        for name, tries, held, closed in rows:
            with self.subTest(name):
                pace = FailedLoginThrottle()
                pauses = [pace.pause(100.0) for _ in range(tries)]
                self.assertEqual(pauses.count(PAUSE_SECONDS), held)
                self.assertEqual(pauses.count(None), closed)
                self.assertEqual(pauses.count(0.0), tries - held - closed)

    def test_told_ones_make_room_and_time_fills_up(self) -> None:
        pace = FailedLoginThrottle()
        for _ in range(int(ANSWERS_PER_SECOND) + MAX_DELAYED_REFUSALS):
            pace.pause(100.0)
        self.assertIsNone(pace.pause(100.0))
        pace.told()
        self.assertEqual(pace.pause(100.0), PAUSE_SECONDS)
        self.assertEqual(pace.pause(100.2), 0.0)

    def test_a_client_that_comes_back_at_once_is_bounded_by_the_pause(self) -> None:
        pace, now, tries = FailedLoginThrottle(), 100.0, 0
        while now < 200.0:
            pause = pace.pause(now)
            tries += 1
            assert pause is not None
            if pause:
                pace.told()
            now += pause + 0.001
        self.assertLess(tries, 100 * (ANSWERS_PER_SECOND + 2))


if __name__ == "__main__":
    unittest.main()
