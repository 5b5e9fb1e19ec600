"""A trigger that ends: all connections lost, and a herd before few slots; then the usual load.

Whoever comes a few seconds later must find what he would have found without the trigger.
"""

import unittest

from dewledge.core.pooler.pool.slot_window import SlotWindow
from tests.core.pooler.test_useful_waits import SLOTS, WORK, Asked, Day

USUAL_SHARE = 0.8
"""Of what the slots can serve."""
HERD = 120
HERD_WAITED_SECONDS = 0.5
TARGET_SECONDS = 0.4
TIMEOUT_SECONDS = 0.8
STEP_SECONDS = WORK / SLOTS / USUAL_SHARE
RETRY_SECONDS = 0.1
"""Clients ask again so soon, whatever moment they are told."""
MOST_TRIES = 3


class ReturningDay(Day):
    """As `Day`; what is refused comes back soon, with its first arrival, for a few tries."""

    def __init__(self) -> None:
        super().__init__()
        self.usual: list[Asked] = []

    def come(self, waited: float, tries: int = 1) -> Asked:
        asked = Asked(1, waited, TARGET_SECONDS, TIMEOUT_SECONDS)
        self.ask(asked)
        self._look(asked, tries)
        return asked

    def _look(self, asked: Asked, tries: int) -> None:
        """Has one that is refused come back."""
        if asked.outcomes == ["served"] or tries >= MOST_TRIES:
            return
        if not asked.outcomes:
            self.scheduler.call_later(RETRY_SECONDS, lambda: self._look(asked, tries))
            return
        waited = self.scheduler.now() - asked.arrived + RETRY_SECONDS
        self.scheduler.call_later(RETRY_SECONDS, lambda: self._come_back(waited, tries + 1))

    def _come_back(self, waited: float, tries: int) -> None:
        self.come(waited, tries)

    def pass_usual(self, seconds: float) -> list[Asked]:
        """Has the usual load come for a while; returns those that came."""
        came: list[Asked] = []
        for _ in range(int(seconds / STEP_SECONDS)):
            came.append(self.come(0.0))
            self.scheduler.advance(STEP_SECONDS)
        return came


class ComingBackTest(unittest.TestCase):
    def test_goodput_is_back_within_seconds_of_a_herd_without_connections(self) -> None:
        day = ReturningDay()
        day.pass_usual(1.0)
        day.pool.renew(SlotWindow(SLOTS))
        for _ in range(HERD):
            day.come(HERD_WAITED_SECONDS)
        day.pass_usual(4.0)
        later = day.pass_usual(2.0)
        day.scheduler.advance(TIMEOUT_SECONDS)
        self.assertEqual([asked.outcomes for asked in later], [["served"]] * len(later))
        self.assertLess(day.pool.waiting, SLOTS)
        self.assertEqual([fault for fault in day.faults if "its time" in fault], [])


if __name__ == "__main__":
    unittest.main()
