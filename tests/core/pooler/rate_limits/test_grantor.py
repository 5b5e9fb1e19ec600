"""Guards the validity of votes, the choice of a candidate, and grants in proportion to votes."""

import unittest
from collections.abc import Sequence

from hypothesis import given
from hypothesis import strategies as st

from dewledge.core.pooler.rate_limits.counted_votes import VOTE_LIFETIME_SECONDS
from dewledge.core.pooler.rate_limits.grantor import Grantor, GrantorChanged
from dewledge.core.pooler.rate_limits.grantor_search import SEARCH_SECONDS
from dewledge.core.pooler.rate_limits.limits import QuotaPolicy, RateLimit
from dewledge.core.pooler.rate_limits.local_allowance import LocalAllowance
from dewledge.core.pooler.rate_limits.messages import QuotaAnswer, QuotaQuestion, TokenWant
from dewledge.core.pooler.rate_limits.slots import (
    MAX_PROCESSES_PER_SLOT,
    SLOTS_PER_VOTER,
    Slot,
    candidates_of,
    rank_of,
    slot_count,
    slot_of,
    voters_of,
    voting_slots,
)
from dewledge.core.pooler.rate_limits.voter import (
    NON_GRANTOR_RETRY_SECONDS,
    NON_VOTER_SILENCE_TIMEOUT_SECONDS,
    PROBE_INTERVAL_SECONDS,
    SILENCE_TIMEOUT_SECONDS,
    Voter,
)

SLOT = Slot(1, 0)
MEMBERS = ("a", "b", "c", "d")
POLICY = QuotaPolicy(5.0, 0.1, 20.0)
LIMIT = RateLimit(100, 100)


def tokens_in(answer: QuotaAnswer) -> int:
    return sum(grant.count for grant in answer.grants)


class GrantorTest(unittest.TestCase):
    def setUp(self) -> None:
        self.events: list[GrantorChanged] = []
        self.grantor = Grantor("a", POLICY, self.events.append)
        self.grantor.set_members(MEMBERS)
        self.grantor.set_limits({"north": LIMIT})

    def ask(
        self, asker: str, now: float, echoed_at: float | None, wanted: int = 0, votes: bool = True
    ) -> QuotaAnswer:
        wants = (TokenWant("north"),) * wanted
        question = QuotaQuestion(asker, 1, SLOT, votes, echoed_at, wants)
        return self.grantor.answer_question(question, now)

    def test_validity_of_votes(self) -> None:
        cases = (
            ("no answer before the vote", None, 10.0, False),
            ("answer sent just now", 10.0, 10.0, True),
            ("answer almost a vote lifetime old", 10.0, 10.9, True),
            ("answer a vote lifetime old", 10.0, 10.0 + VOTE_LIFETIME_SECONDS, False),
            ("answer in the future, of another process with this name", 99.0, 10.0, False),
        )
        for name, echoed_at, now, counts in cases:
            with self.subTest(name):
                self.setUp()
                self.assertIs(self.ask("b", now, echoed_at).grants_here, counts)

    def test_vote_of_a_non_member_is_ignored(self) -> None:
        self.assertFalse(self.ask("stranger", 10.0, 10.0).grants_here)

    def test_vote_of_a_non_voter_is_ignored(self) -> None:
        names = [f"frontend-{number}" for number in range(90)]
        self.grantor.set_members(names)
        slot = Slot(slot_count(len(names)), 1)
        voters = voters_of(slot, names)
        self.assertLess(len(voters), len(names))
        counted = 0
        for name in names:
            question = QuotaQuestion(name, 1, slot, True, 10.0)
            self.grantor.answer_question(question, 10.0)
            counted += name in voters
            self.assertEqual(self.grantor.answer_question(question, 10.0).grants_here, counted > 0)
        now = 10.0
        while now < 20.0:
            now += 0.1
            for name in names:
                self.grantor.answer_question(QuotaQuestion(name, 1, slot, True, now), now)
        wants = (TokenWant("north"),) * 500
        question = QuotaQuestion("frontend-0", 1, slot, False, None, wants)
        # All voters' votes are valid, so the bucket has its full size.
        bucket_size = int(POLICY.bucket_size(LIMIT))
        self.assertEqual(tokens_in(self.grantor.answer_question(question, now)), bucket_size)

    def test_question_without_a_vote_is_not_counted(self) -> None:
        self.assertFalse(self.ask("b", 10.0, 10.0, votes=False).grants_here)

    def test_expiry_of_votes_is_reported(self) -> None:
        self.ask("b", 10.0, 10.0)
        self.ask("c", 11.5, None)
        self.assertEqual([event.grants for event in self.events], [True, False])

    def test_delayed_votes_stay_withdrawn(self) -> None:
        self.ask("b", 10.0, 9.9)
        withdrawal = QuotaQuestion("b", 2, SLOT, False, None, withdraws=True)
        self.assertFalse(self.grantor.answer_question(withdrawal, 10.1).grants_here)
        self.assertFalse(self.ask("b", 10.2, 9.95).grants_here)
        self.assertTrue(self.ask("b", 10.3, 10.1).grants_here)

    def test_rate_is_proportional_to_the_votes(self) -> None:
        for voters, expected in ((("b",), 25), (("b", "c"), 50), (MEMBERS, 100)):
            with self.subTest(voters):
                self.setUp()
                for name in voters:
                    self.ask(name, 10.0, 10.0)
                self.ask("b", 10.0, 10.0, wanted=1000)
                granted, now = 0, 10.0
                for _ in range(20):
                    now += 0.1
                    for name in voters:
                        self.ask(name, now, now)
                    granted += tokens_in(self.ask(voters[0], now, now, wanted=1000))
                self.assertAlmostEqual(granted / 2.0, expected, delta=1.0)

    def test_new_bucket_is_empty(self) -> None:
        granted = 0
        for _ in range(3):
            for name in MEMBERS:
                granted += tokens_in(self.ask(name, 10.0, 10.0, wanted=1000))
        self.assertEqual(granted, 0)

    def vote(self, names: Sequence[str], now: float) -> None:
        for name in names:
            self.ask(name, now, now)

    def renew_votes(self, names: Sequence[str], begin: float, end: float) -> None:
        """Renews the votes every 0.1 s without requesting tokens."""
        now = begin
        while now <= end:
            self.vote(names, now)
            now += 0.1

    def test_brief_loss_of_votes_drops_excess_tokens(self) -> None:
        bucket_size = int(POLICY.bucket_size(LIMIT))
        for name, renewed_at, granted in (
            ("no vote expired", 20.5, bucket_size),
            ("all votes expired and were renewed", 21.5, 1),
        ):
            with self.subTest(name):
                self.setUp()
                self.vote(MEMBERS, 10.0)
                self.ask("b", 10.0, 10.0, wanted=1)
                self.renew_votes(MEMBERS, 10.0, 20.0)
                self.vote(MEMBERS, renewed_at)
                self.assertEqual(
                    tokens_in(self.ask("b", renewed_at, renewed_at, wanted=1000)), granted
                )

    def test_bucket_does_not_fill_while_votes_are_expired(self) -> None:
        self.vote(MEMBERS, 10.0)
        self.ask("b", 10.0, 10.0, wanted=1000)
        self.vote(MEMBERS, 19.0)
        self.assertLessEqual(tokens_in(self.ask("b", 19.0, 19.0, wanted=1000)), 1)

    def test_idle_caller_may_use_its_whole_burst(self) -> None:
        self.vote(MEMBERS, 10.0)
        self.renew_votes(MEMBERS, 10.0, 20.0)
        self.assertGreaterEqual(tokens_in(self.ask("b", 20.0, 20.0, wanted=1000)), LIMIT.burst)

    def test_duplicated_question_uses_one_token(self) -> None:
        self.vote(MEMBERS, 10.0)
        self.renew_votes(MEMBERS, 10.0, 12.0)
        want = TokenWant("north", place=7)
        question = QuotaQuestion("b", 1, SLOT, True, 12.0, (want,))
        first = self.grantor.answer_question(question, 12.0).grants[0]
        again = self.grantor.answer_question(question, 12.0).grants[0]
        self.assertEqual((first.count, again.count), (1, 1))
        bucket_size = int(POLICY.bucket_size(LIMIT))
        self.assertEqual(tokens_in(self.ask("c", 12.0, 12.0, wanted=1000)), bucket_size - 1)
        late = self.grantor.answer_question(question, 12.1).grants[0]
        self.assertEqual((late.count, late.age_ms), (1, 100))

    def test_no_grants_without_votes(self) -> None:
        self.assertEqual(self.ask("b", 10.0, None, wanted=3).grants, ())

    def test_caller_with_unknown_limit_is_asked_to_retry(self) -> None:
        self.grantor.set_limits({})
        grant = self.ask("b", 10.0, 10.0, wanted=1).grants[0]
        self.assertEqual((grant.count, grant.come_back_ms), (0, 1000))


class VoterTest(unittest.TestCase):
    def setUp(self) -> None:
        self.voter = Voter(("a", "b", "c"), 0.0, 0.5)

    def answer(self, sender: str, now: float, grants: bool = True) -> None:
        answer = QuotaAnswer(sender, 1, SLOT, 1000.0 + now, grants)
        self.voter.handle_answer(answer, now - 0.04, now)

    def test_no_vote_during_one_vote_lifetime_after_a_start(self) -> None:
        self.assertFalse(self.voter.may_vote(0.9))
        self.assertTrue(self.voter.may_vote(1.0))

    def test_vote_is_allowed_once_all_earlier_votes_are_dropped(self) -> None:
        self.assertEqual(self.voter.pending_withdrawals(0.5), ["a", "b", "c"])
        freed = [self.voter.record_withdrawal(name) for name in ("a", "a", "b", "c")]
        self.assertEqual(freed, [False, False, False, True])
        self.assertTrue(self.voter.may_vote(0.6))

    def test_votes_in_previous_slots_must_expire(self) -> None:
        """No candidate can drop them."""
        voter = Voter(("a", "b", "c"), 0.0, 0.5, can_withdraw=False)
        self.assertEqual(list(voter.pending_withdrawals(0.5)), [])
        for name in ("a", "b", "c"):
            voter.record_withdrawal(name)
        self.assertFalse(voter.may_vote(0.6))
        self.assertTrue(voter.may_vote(1.0))

    def test_votes_for_another_candidate_only_after_expiry(self) -> None:
        self.voter.record_vote()
        self.answer("a", 5.0)
        self.voter.replace_silent_candidate(5.0 + SILENCE_TIMEOUT_SECONDS + 0.01)
        self.assertEqual(self.voter.candidate, "b")
        self.assertFalse(self.voter.may_vote(5.0 + VOTE_LIFETIME_SECONDS - 0.01))
        self.assertTrue(self.voter.may_vote(5.0 + VOTE_LIFETIME_SECONDS))

    def test_voter_returns_to_an_earlier_candidate_that_answers(self) -> None:
        self.voter.replace_silent_candidate(0.5 + SILENCE_TIMEOUT_SECONDS + 0.01)
        self.assertEqual(self.voter.candidate, "b")
        self.answer("b", 1.3)
        self.answer("b", 1.9)
        self.assertEqual(self.voter.replace_silent_candidate(1.3 + PROBE_INTERVAL_SECONDS), ("a",))
        self.answer("c", 2.4)
        self.assertEqual(self.voter.candidate, "b")
        self.answer("a", 2.5)
        self.assertEqual(self.voter.candidate, "a")

    def test_candidate_without_votes_is_no_grantor(self) -> None:
        self.answer("a", 2.0, grants=False)
        self.assertFalse(self.voter.has_grantor(2.1))
        self.answer("a", 2.2)
        self.assertTrue(self.voter.has_grantor(2.3))
        self.assertFalse(self.voter.has_grantor(2.2 + VOTE_LIFETIME_SECONDS))


class NonVoterTest(unittest.TestCase):
    """A process without a vote in a slot asks only on behalf of operations."""

    def setUp(self) -> None:
        self.voter = Voter(("a", "b", "c"), 0.0, 0.5, has_vote=False)

    def answer(self, sender: str, now: float) -> None:
        self.voter.handle_answer(QuotaAnswer(sender, 1, SLOT, 1000.0 + now, True), now - 0.04, now)

    def test_non_voter_neither_votes_nor_withdraws_nor_polls(self) -> None:
        self.assertFalse(self.voter.may_vote(50.0))
        self.assertEqual(list(self.voter.pending_withdrawals(0.5)), [])
        self.assertFalse(self.voter.needs_polling(50.0))

    def test_concurrent_operations_may_ask_at_once(self) -> None:
        self.assertTrue(self.voter.may_ask_unconfirmed(9.0))
        self.assertEqual(self.voter.candidate, "a")
        self.voter.record_question(9.0)
        self.assertTrue(self.voter.may_ask_unconfirmed(9.01))
        self.answer("a", 9.05)
        self.assertTrue(self.voter.has_grantor(9.06))

    def test_candidates_without_votes_are_skipped(self) -> None:
        for sender, now in (("a", 9.01), ("b", 9.02), ("c", 9.03)):
            self.assertEqual(self.voter.candidate, sender)
            self.assertTrue(self.voter.may_ask_unconfirmed(now))
            self.voter.record_question(now)
            answer = QuotaAnswer(sender, 1, SLOT, 1000.0 + now, False)
            self.voter.handle_answer(answer, now, now)
        self.assertEqual(self.voter.candidate, "a")
        self.assertFalse(self.voter.may_ask_unconfirmed(9.04))
        self.assertTrue(self.voter.may_ask_unconfirmed(9.01 + NON_GRANTOR_RETRY_SECONDS))

    def test_non_voter_returns_to_an_earlier_candidate_with_votes(self) -> None:
        self.voter.record_question(9.0)
        self.voter.replace_silent_candidate(9.0 + NON_VOTER_SILENCE_TIMEOUT_SECONDS + 0.01)
        self.assertEqual(self.voter.candidate, "b")
        self.voter.handle_answer(QuotaAnswer("a", 1, SLOT, 1009.2, False), 9.15, 9.2)
        self.assertEqual(self.voter.candidate, "b")
        self.answer("a", 9.3)
        self.assertEqual(self.voter.candidate, "a")

    def test_idle_time_keeps_the_candidate_that_answered(self) -> None:
        self.voter.record_question(9.0)
        self.answer("a", 9.05)
        self.assertTrue(self.voter.may_ask_unconfirmed(90.0))
        self.voter.replace_silent_candidate(90.0)
        self.assertEqual(self.voter.candidate, "a")

    def test_silent_candidate_is_replaced_and_probed(self) -> None:
        self.voter.record_question(9.0)
        self.assertTrue(self.voter.may_ask_unconfirmed(20.0))
        self.assertEqual(self.voter.candidate, "b")
        self.assertEqual(self.voter.replace_silent_candidate(20.0), ("a",))

    def test_unasked_candidate_is_not_silent(self) -> None:
        self.voter.record_question(9.0)
        self.answer("a", 9.05)
        self.voter.replace_silent_candidate(50.0)
        self.assertEqual(self.voter.candidate, "a")
        self.voter.record_question(50.0)
        self.voter.replace_silent_candidate(50.0 + NON_VOTER_SILENCE_TIMEOUT_SECONDS + 0.01)
        self.assertEqual(self.voter.candidate, "b")

    def test_operations_share_one_search_deadline(self) -> None:
        self.assertEqual(self.voter.search_deadline(9.0, 0.8), 9.8)
        self.voter.record_waiting_operation(9.0)
        self.voter.record_waiting_operation(9.5)
        self.assertEqual(self.voter.search_deadline(9.6, 0.8), 9.8)
        self.answer("a", 9.7)
        self.assertLess(self.voter.search_deadline(9.7, 0.8), 9.7)
        self.assertEqual(self.voter.search_deadline(20.0, 0.8), 20.8)

    def test_candidate_is_polled_while_operations_wait(self) -> None:
        self.voter.record_waiting_operation(9.0)
        self.assertTrue(self.voter.needs_polling(9.5))
        self.assertFalse(self.voter.needs_polling(9.0 + SEARCH_SECONDS))


class LocalAllowanceTest(unittest.TestCase):
    def admitted(self, allowance: LocalAllowance, seconds: float, vote_valid_until: float) -> int:
        return sum(
            allowance.admit(step / 100, vote_valid_until) for step in range(int(seconds * 100))
        )

    def test_only_the_reserve_is_available_while_the_vote_is_valid(self) -> None:
        reserve = POLICY.reserve(LIMIT, 10, 0)
        allowance = LocalAllowance(LIMIT, POLICY, 10, 0, 0.0)
        self.assertEqual(self.admitted(allowance, 5.0, vote_valid_until=99.0), reserve - 1)

    def test_rate_is_available_after_the_vote_expires(self) -> None:
        reserve = POLICY.reserve(LIMIT, 10, 0)
        allowance = LocalAllowance(LIMIT, POLICY, 10, 0, 0.0)
        admitted = self.admitted(allowance, 5.0, vote_valid_until=0.0)
        self.assertLessEqual(admitted, reserve + 50)
        self.assertGreater(admitted, 45)

    def test_only_the_reserve_is_available_without_a_vote(self) -> None:
        reserve = POLICY.reserve(LIMIT, 10, 0)
        allowance = LocalAllowance(LIMIT, POLICY, 10, 0, 0.0, voters=0)
        self.assertEqual(self.admitted(allowance, 5.0, vote_valid_until=0.0), reserve)

    def test_rate_is_divided_between_the_voters(self) -> None:
        allowances = [LocalAllowance(LIMIT, POLICY, 40, rank, 0.0, voters=10) for rank in range(10)]
        admitted = sum(
            self.admitted(allowance, 5.0, vote_valid_until=0.0) for allowance in allowances
        )
        reserves = sum(POLICY.reserve(LIMIT, 40, rank) for rank in range(10))
        self.assertLessEqual(admitted, reserves + LIMIT.rate * 5.0)
        self.assertGreater(admitted, LIMIT.rate * 5.0 * 0.9)

    def test_less_than_one_operation_per_window_admits_nothing(self) -> None:
        allowance = LocalAllowance(RateLimit(1, 1), POLICY, 60, 59, 0.0)
        self.assertEqual(self.admitted(allowance, 10.0, vote_valid_until=0.0), 0)


class SlotsTest(unittest.TestCase):
    def test_candidates_do_not_depend_on_member_order(self) -> None:
        self.assertEqual(candidates_of(SLOT, MEMBERS), candidates_of(SLOT, MEMBERS[::-1]))

    def test_slot_count_grows_with_the_processes(self) -> None:
        sizes = (1, 32, 33, 59, 64, 65, 300, 512, 850)
        self.assertEqual([slot_count(n) for n in sizes], [1, 1, 2, 2, 2, 4, 16, 16, 32])

    @given(st.integers(1, 900))
    def test_processes_per_slot_are_bounded(self, processes: int) -> None:
        self.assertLessEqual(processes / slot_count(processes), MAX_PROCESSES_PER_SLOT)

    def test_with_up_to_two_slots_all_processes_vote_in_all(self) -> None:
        for count in (1, 2):
            slots = {Slot(count, index) for index in range(count)}
            for slot in slots:
                self.assertEqual(voters_of(slot, MEMBERS), frozenset(MEMBERS))
            self.assertEqual(set(voting_slots("a", count)), slots)

    def test_votes_per_process_and_voters_per_slot_are_bounded(self) -> None:
        for processes in (65, 100, 300, 504, 850, 2000):
            names = [f"frontend-{number}" for number in range(processes)]
            count = slot_count(processes)
            voters = [voters_of(Slot(count, index), names) for index in range(count)]
            self.assertEqual(
                {len(set(voting_slots(name, count))) for name in names}, {SLOTS_PER_VOTER}
            )
            self.assertEqual(sum(map(len, voters)), SLOTS_PER_VOTER * processes)
            self.assertGreaterEqual(min(map(len, voters)), 16)
            self.assertLessEqual(max(map(len, voters)), 96)

    @given(st.text("abc-123", min_size=1, max_size=8), st.integers(0, 6))
    def test_doubling_the_slots_keeps_half_of_the_voters(self, caller: str, power: int) -> None:
        names = [f"frontend-{number}" for number in range(150)]
        before, after = (slot_of(caller, 1 << exponent) for exponent in (power, power + 1))
        self.assertLessEqual(voters_of(after, names), voters_of(before, names))

    def test_voted_slots_do_not_depend_on_the_members(self) -> None:
        few, many = MEMBERS[:3], (*MEMBERS, "e", "f", "g")
        for index in range(8):
            slot = Slot(8, index)
            self.assertEqual(voters_of(slot, few), voters_of(slot, many) & set(few))

    def test_callers_are_distributed_over_slots(self) -> None:
        found = {slot_of(f"caller{number}", 4).index for number in range(60)}
        self.assertEqual(found, {0, 1, 2, 3})

    def test_ranks_are_unique(self) -> None:
        ranks = sorted(rank_of(name, "north", MEMBERS) for name in MEMBERS)
        self.assertEqual(ranks, [0, 1, 2, 3])


if __name__ == "__main__":
    unittest.main()
