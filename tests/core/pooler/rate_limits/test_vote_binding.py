"""Guards against two valid votes of a process in the same slot."""

import unittest

from dewledge.core.pooler.rate_limits.candidate_answers import CandidateAnswers
from dewledge.core.pooler.rate_limits.counted_votes import VOTE_LIFETIME_SECONDS
from dewledge.core.pooler.rate_limits.messages import QuotaAnswer
from dewledge.core.pooler.rate_limits.slots import Slot
from dewledge.core.pooler.rate_limits.vote_binding import VoteBinding


class VoteBindingTest(unittest.TestCase):
    def setUp(self) -> None:
        self.answers = CandidateAnswers()

    def answer(self, sender: str, now: float) -> None:
        self.answers.record(QuotaAnswer(sender, 1, Slot(1, 0), 500.0, False), now)

    def test_vote_expires_after_the_last_answer_of_its_candidate(self) -> None:
        binding = VoteBinding(self.answers, -10.0, ())
        self.answer("a", 3.0)
        binding.record_vote("a")
        self.answer("a", 4.0)
        self.answer("b", 9.0)
        self.assertEqual(binding.vote_valid_until, 4.0 + VOTE_LIFETIME_SECONDS)
        self.assertTrue(binding.may_vote("a", 4.1))
        self.assertFalse(binding.may_vote("b", 4.0 + VOTE_LIFETIME_SECONDS - 0.01))
        self.assertTrue(binding.may_vote("b", 4.0 + VOTE_LIFETIME_SECONDS))

    def test_earlier_votes_bind_until_all_candidates_dropped_them(self) -> None:
        binding = VoteBinding(self.answers, 0.0, ("a", "b"))
        self.assertFalse(binding.may_vote("a", VOTE_LIFETIME_SECONDS - 0.01))
        self.assertEqual(list(binding.pending_withdrawals(0.1)), ["a", "b"])
        self.assertFalse(binding.record_withdrawal("a"))
        self.assertFalse(binding.record_withdrawal("a"))
        self.assertTrue(binding.record_withdrawal("b"))
        self.assertTrue(binding.may_vote("a", 0.2))

    def test_new_vote_binds_after_earlier_votes_were_dropped(self) -> None:
        binding = VoteBinding(self.answers, 0.0, ("a",))
        self.answer("b", VOTE_LIFETIME_SECONDS)
        binding.record_vote("b")
        self.assertFalse(binding.record_withdrawal("a"))
        self.assertFalse(binding.may_vote("a", VOTE_LIFETIME_SECONDS + 0.1))

    def test_no_withdrawal_is_requested_after_expiry(self) -> None:
        binding = VoteBinding(self.answers, 0.0, ("a",))
        self.assertEqual(list(binding.pending_withdrawals(VOTE_LIFETIME_SECONDS)), [])


if __name__ == "__main__":
    unittest.main()
