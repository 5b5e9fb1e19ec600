"""Guards against new votes while votes of a previous partitioning are valid."""

import unittest

from dewledge.core.pooler.rate_limits.messages import QuotaAnswer
from dewledge.core.pooler.rate_limits.previous_votes import PreviousVotes
from dewledge.core.pooler.rate_limits.slots import Slot
from dewledge.core.pooler.rate_limits.voter import Voter

FIRST, SECOND = Slot(2, 0), Slot(2, 1)


def voter_for(name: str, answered_at: float) -> Voter:
    voter = Voter((name,), -10.0, -10.0)
    voter.record_vote()
    voter.handle_answer(QuotaAnswer(name, 1, FIRST, 5.0, True), answered_at, answered_at)
    return voter


class PreviousVotesTest(unittest.TestCase):
    def setUp(self) -> None:
        self.previous_votes = PreviousVotes()
        self.previous_votes.add({FIRST: voter_for("a", 9.9), SECOND: voter_for("b", 9.7)}, 10.0)

    def test_votes_are_valid_until_the_last_expires(self) -> None:
        self.assertAlmostEqual(self.previous_votes.valid_until, 10.9)
        self.assertEqual(self.previous_votes.droppable_votes(10.95), {})

    def test_no_vote_is_valid_after_all_were_dropped(self) -> None:
        self.assertEqual(self.previous_votes.droppable_votes(10.0), {FIRST: "a", SECOND: "b"})
        dropped = [(FIRST, "b"), (FIRST, "a"), (FIRST, "a"), (SECOND, "b")]
        found = [self.previous_votes.record_dropped(*each) for each in dropped]
        self.assertEqual(found, [False, False, False, True])
        self.assertLess(self.previous_votes.valid_until, 10.0)

    def test_votes_from_before_a_restart_must_expire(self) -> None:
        """Their candidates are not known, so they cannot be dropped."""
        self.previous_votes.add({Slot(3, 0): Voter(("c",), 9.8, 9.8)}, 10.0)
        self.assertEqual(self.previous_votes.droppable_votes(10.0), {})
        self.assertAlmostEqual(self.previous_votes.valid_until, 10.9)


if __name__ == "__main__":
    unittest.main()
