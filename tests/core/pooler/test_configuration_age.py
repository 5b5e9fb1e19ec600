"""How old the confirmation of the configuration is, and what is logged when it is too old."""

import unittest

from dewledge.core.pooler.events import (
    ConfigurationConfirmed,
    ConfigurationUnconfirmed,
    PoolingEvent,
)
from dewledge.core.pooler.sessions.configuration_age import ConfigurationAge
from tests.core.pooler.harness import ModelScheduler

BOUND_SECONDS = 5.0
VERSION = 7


class ConfigurationAgeTest(unittest.TestCase):
    def setUp(self) -> None:
        self.scheduler = ModelScheduler()
        self.events: list[PoolingEvent] = []
        self.age = ConfigurationAge(self.scheduler, self.events.append, lambda: VERSION)
        self.age.watch(BOUND_SECONDS)

    def confirm(self) -> None:
        self.age.confirm(self.scheduler.now())

    def test_age_counts_from_the_newest_confirmation(self) -> None:
        self.assertEqual(self.age.milliseconds, -1)
        self.confirm()
        self.scheduler.advance(1.0)
        self.age.confirm(self.scheduler.now() - 3.0)
        self.assertEqual(self.age.milliseconds, 1000)
        self.assertTrue(self.age.is_recent)

    def test_confirmations_in_time_log_nothing(self) -> None:
        for _ in range(20):
            self.confirm()
            self.scheduler.advance(BOUND_SECONDS / 4)
        self.assertEqual(self.events, [])

    def test_an_old_confirmation_is_logged_once_and_so_is_its_end(self) -> None:
        self.confirm()
        self.scheduler.advance(BOUND_SECONDS * 3)
        self.assertEqual(self.events, [ConfigurationUnconfirmed(VERSION, 2500)])
        self.confirm()
        self.assertEqual(self.events[1:], [ConfigurationConfirmed(VERSION, 12500)])


if __name__ == "__main__":
    unittest.main()
