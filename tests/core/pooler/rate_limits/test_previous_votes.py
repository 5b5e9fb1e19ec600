"""Votes in an earlier division of callers: when a process may vote in the new one."""

import unittest

from dewledge.core.pooler.rate_limits.messages import QuotaAnswer
from dewledge.core.pooler.rate_limits.previous_votes import PreviousVotes
from dewledge.core.pooler.rate_limits.slots import Slot
from dewledge.core.pooler.rate_limits.voter import Voter

FIRST, SECOND = Slot(2, 0), Slot(2, 1)


def voter_for(name: str, heard_at: float) -> Voter:
    voter = Voter((name,), -10.0, -10.0)
    voter.record_vote()
    voter.handle_answer(QuotaAnswer(name, 1, FIRST, 5.0, True), heard_at, heard_at)
    return voter


class FormerVotesTest(unittest.TestCase):
    def setUp(self) -> None:
        self.former = PreviousVotes()
        self.former.add({FIRST: voter_for("a", 9.9), SECOND: voter_for("b", 9.7)}, 10.0)

    def test_they_count_until_the_last_has_lapsed(self) -> None:
        self.assertAlmostEqual(self.former.valid_until, 10.9)
        self.assertEqual(self.former.droppable_votes(10.95), {})

    def test_none_counts_once_all_were_dropped(self) -> None:
        self.assertEqual(self.former.droppable_votes(10.0), {FIRST: "a", SECOND: "b"})
        dropped = [(FIRST, "b"), (FIRST, "a"), (FIRST, "a"), (SECOND, "b")]
        found = [self.former.record_dropped(*each) for each in dropped]
        self.assertEqual(found, [False, False, False, True])
        self.assertLess(self.former.valid_until, 10.0)

    def test_those_of_an_earlier_start_are_waited_for(self) -> None:
        """Nobody knows whom they were for."""
        self.former.add({Slot(3, 0): Voter(("c",), 9.8, 9.8)}, 10.0)
        self.assertEqual(self.former.droppable_votes(10.0), {})
        self.assertAlmostEqual(self.former.valid_until, 10.9)


if __name__ == "__main__":
    unittest.main()
