"""The extra pings of a member that sees no majority: which answers count."""

import unittest

from dewledge.core.proxy.membership.contact import LONGEST_WAIT, ContactPings


class ContactPingsTest(unittest.TestCase):
    def setUp(self) -> None:
        self.pings = ContactPings()
        self.pings.add(7, "b", 100.0)

    def test_an_answer_in_time_tells_whom_it_comes_from(self) -> None:
        ping = self.pings.answered(7, 100.0 + LONGEST_WAIT - 0.1)
        self.assertEqual(ping.name if ping else None, "b")

    def test_one_counts_once(self) -> None:
        self.pings.answered(7, 100.1)
        self.assertIsNone(self.pings.answered(7, 100.2))

    def test_one_that_waited_over_a_freeze_counts_for_nothing(self) -> None:
        """It was given before the freeze, and says nothing of who is within reach after it."""
        self.assertIsNone(self.pings.answered(7, 100.0 + LONGEST_WAIT + 60.0))


if __name__ == "__main__":
    unittest.main()
