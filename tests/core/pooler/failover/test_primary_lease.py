"""The lease on a primary: when it holds, when a claim may take effect, who confirms it."""

import unittest

from dewledge.core.pooler.failover.claim_acknowledgements import ClaimAcknowledgements, is_majority
from dewledge.core.pooler.failover.claim_writing import (
    maintenance_claim,
    order_claim,
    replacement_claim,
    withdrawal_claim,
)
from dewledge.core.pooler.failover.messages import Claim, RegisteredProcesses, WriteClaim
from dewledge.core.pooler.failover.primary_lease import (
    LEASE_SECONDS,
    Fencing,
    PrimaryLease,
    PrimaryLeases,
)
from dewledge.core.pooler.failover.quorum_confirmation import (
    ConfirmationAnswer,
    ConfirmationQuestion,
    QuorumConfirmation,
)

NOW = 1000.0
VOTERS = ("a", "b", "c", "d", "e")


def claim(token: int, leader: str | None = None, **fields: object) -> Claim:
    values: dict[str, object] = {"voters": VOTERS, **fields}
    return Claim("a", "p", token, leader, **values)  # type: ignore[arg-type]


class LeadRightTest(unittest.TestCase):
    def test_when_a_database_may_be_used_as_primary(self) -> None:
        cases = (
            ("the platform fences", Fencing.PLATFORM, None, "q", True),
            ("no word at all", Fencing.PROCESSES, None, None, False),
            ("a young word", Fencing.PROCESSES, NOW - 0.1, None, True),
            ("a word just young enough", Fencing.PROCESSES, NOW - LEASE_SECONDS + 0.01, None, True),
            ("an old word", Fencing.PROCESSES, NOW - LEASE_SECONDS, None, False),
            ("an old word, named leader", Fencing.PROCESSES, NOW - LEASE_SECONDS, "p", False),
            ("a young word, named leader", Fencing.PROCESSES, NOW - 0.1, "p", True),
            ("a young word, but nobody leads", Fencing.PROCESSES, NOW - 0.1, "", False),
            ("a young word, but another leads", Fencing.PROCESSES, NOW - 0.1, "q", False),
        )
        for name, fencing, confirmed_at, leader, allowed in cases:
            with self.subTest(name):
                lease = PrimaryLease(fencing)
                if confirmed_at is not None:
                    lease.confirm(confirmed_at)
                lease.take_claim(claim(5, leader))
                self.assertEqual(lease.allows("p", NOW), allowed)

    def test_an_older_claim_changes_nothing(self) -> None:
        lease = PrimaryLease(Fencing.PROCESSES)
        self.assertTrue(lease.take_claim(claim(7, "")))
        self.assertFalse(lease.take_claim(claim(5)))
        self.assertFalse(lease.take_claim(claim(7)))
        self.assertTrue(lease.is_banned("p"))

    def test_an_older_word_does_not_shorten_the_right(self) -> None:
        lease = PrimaryLease(Fencing.PROCESSES)
        lease.confirm(NOW)
        lease.confirm(NOW - 1.0)
        self.assertEqual(lease.confirmed_at, NOW)

    def test_a_group_first_seen_shares_the_word_on_all(self) -> None:
        leases = PrimaryLeases(Fencing.PROCESSES)
        leases.confirm_all(NOW)
        self.assertTrue(leases.of("menus").allows("p", NOW + 0.1))


class ClaimAcknowledgementsTest(unittest.TestCase):
    def setUp(self) -> None:
        self.acknowledgements = ClaimAcknowledgements(claim(7, "", quorums=(VOTERS,)), NOW)
        self.registered = RegisteredProcesses(frozenset(VOTERS), 7)

    def test_it_is_over_at_once_when_all_know(self) -> None:
        for name in VOTERS[:-1]:
            self.acknowledgements.add(name, NOW)
        self.assertFalse(self.acknowledgements.is_over(self.registered, NOW + 0.1))
        self.assertEqual(self.acknowledgements.missing(self.registered.names), ["e"])
        self.acknowledgements.add("e", NOW)
        self.assertTrue(self.acknowledgements.is_over(self.registered, NOW + 0.1))

    def test_a_table_older_than_the_claim_may_lack_a_process(self) -> None:
        for name in VOTERS:
            self.acknowledgements.add(name, NOW)
        older = RegisteredProcesses(self.registered.names, 6)
        self.assertFalse(self.acknowledgements.is_over(older, NOW + 0.1))

    def test_a_process_that_is_no_voter_is_waited_for_too(self) -> None:
        for name in VOTERS:
            self.acknowledgements.add(name, NOW)
        more = RegisteredProcesses(frozenset((*VOTERS, "f")), 7)
        self.assertFalse(self.acknowledgements.is_over(more, NOW + 0.1))

    def test_with_a_majority_the_others_are_outwaited(self) -> None:
        for name in VOTERS[:3]:
            self.acknowledgements.add(name, NOW + 0.2)
        self.assertFalse(self.acknowledgements.is_over(self.registered, NOW + LEASE_SECONDS))
        self.assertTrue(self.acknowledgements.is_over(self.registered, NOW + 0.2 + LEASE_SECONDS))

    def test_without_a_majority_it_is_never_over(self) -> None:
        for name in VOTERS[:2]:
            self.acknowledgements.add(name, NOW)
        self.assertFalse(self.acknowledgements.is_over(self.registered, NOW + 3600))

    def test_every_earlier_set_of_voters_counts(self) -> None:
        acknowledgements = ClaimAcknowledgements(
            claim(7, "", quorums=(VOTERS, ("x", "y", "z"))), NOW
        )
        for name in (*VOTERS, "x"):
            acknowledgements.add(name, NOW)
        self.assertFalse(acknowledgements.is_over(RegisteredProcesses(), NOW + 3600))
        acknowledgements.add("y", NOW)
        more = RegisteredProcesses(frozenset(("z",)), 7)
        self.assertTrue(acknowledgements.is_over(more, NOW + LEASE_SECONDS))

    def test_before_the_first_claim_nobody_could_confirm(self) -> None:
        acknowledgements = ClaimAcknowledgements(claim(7, ""), NOW)
        self.assertFalse(acknowledgements.is_over(self.registered, NOW + LEASE_SECONDS - 0.01))
        self.assertTrue(acknowledgements.is_over(self.registered, NOW + LEASE_SECONDS))

    def test_half_is_no_majority(self) -> None:
        self.assertFalse(is_majority({"a", "b"}, ("a", "b", "c", "d")))
        self.assertTrue(is_majority({"a", "b", "c"}, ("a", "b", "c", "d")))
        self.assertFalse(is_majority({"a"}, ()))


class ClaimWritingTest(unittest.TestCase):
    def setUp(self) -> None:
        self.lease = PrimaryLease(Fencing.PROCESSES)

    def test_where_the_platform_fences_it_is_as_short_as_before(self) -> None:
        lease = PrimaryLease(Fencing.PLATFORM)
        expected = WriteClaim("p", 0)
        self.assertEqual(replacement_claim(lease, VOTERS, "p", False), expected)

    def test_who_leads_after_each_kind_of_claim(self) -> None:
        cases = (
            ("nothing known, lost", None, False, ""),
            ("nothing known, serves on", None, True, "p"),
            ("p leads, lost", "p", False, ""),
            ("p leads, serves on", "p", True, "p"),
            ("nobody leads, serves on", "", True, ""),
        )
        for name, before, serves_on, leader in cases:
            with self.subTest(name):
                self.lease = PrimaryLease(Fencing.PROCESSES)
                self.lease.take_claim(claim(7, before))
                write = replacement_claim(self.lease, VOTERS, "p", serves_on)
                self.assertEqual(write.leader, leader)

    def test_an_order_names_the_only_leader(self) -> None:
        self.lease.take_claim(claim(7, ""))
        write = order_claim(self.lease, VOTERS, "p", "r")
        self.assertEqual((write.leader, write.ordered, write.expected), ("r", "r", 7))

    def test_the_last_order_stays_noted(self) -> None:
        self.lease.take_claim(claim(7, "r", ordered="r"))
        self.assertEqual(replacement_claim(self.lease, VOTERS, "p", False).ordered, "r")
        self.assertEqual(maintenance_claim(self.lease, VOTERS, False).ordered, "r")

    def test_the_order_of_the_database_that_is_lost_now_is_over(self) -> None:
        self.lease.take_claim(claim(7, "r", ordered="r"))
        self.assertEqual(replacement_claim(self.lease, VOTERS, "r", False).ordered, "")

    def test_where_nothing_was_ordered_the_old_primary_leads_on(self) -> None:
        self.lease.take_claim(claim(7, ""))
        self.assertEqual(withdrawal_claim(self.lease, VOTERS, "p").leader, "p")

    def test_a_standing_claim_leaves_the_leader(self) -> None:
        for leader in (None, "", "p"):
            self.lease = PrimaryLease(Fencing.PROCESSES)
            self.lease.take_claim(claim(7, leader))
            write = maintenance_claim(self.lease, VOTERS, False)
            self.assertEqual(write.leader, leader)

    def test_the_voters_of_earlier_claims_are_kept_until_all_is_settled(self) -> None:
        self.lease.take_claim(claim(7, quorums=(("x", "y"),)))
        first = maintenance_claim(self.lease, ("a", "f"), False)
        self.assertEqual(first.voters, ("a", "f"))
        self.assertEqual(first.quorums, (VOTERS, ("x", "y")))
        settled = maintenance_claim(self.lease, ("a", "f"), True)
        self.assertEqual(settled.quorums, (VOTERS,))


class VouchingTest(unittest.TestCase):
    def setUp(self) -> None:
        self.leases = {name: PrimaryLeases(Fencing.PROCESSES) for name in VOTERS}
        for leases in self.leases.values():
            leases.of("menus").take_claim(claim(7))
            leases.confirm_all(NOW)
        self.confirmation = QuorumConfirmation("a")

    def ask(self, now: float) -> ConfirmationQuestion:
        inquiry = self.confirmation.ask(self.leases["a"].by_group, now)
        assert inquiry is not None
        self.assertEqual(inquiry.voters, VOTERS[1:])
        return inquiry.question

    def answer(self, voter: str, question: ConfirmationQuestion) -> ConfirmationAnswer:
        answer = QuorumConfirmation(voter).answer(question, self.leases[voter].by_group, VOTERS)
        assert answer is not None
        return answer

    def take(self, answer: ConfirmationAnswer) -> None:
        self.confirmation.take(answer, self.leases["a"].by_group)

    def test_while_the_word_is_young_nobody_is_asked(self) -> None:
        self.assertIsNone(self.confirmation.ask(self.leases["a"].by_group, NOW + 0.5))

    def test_a_majority_with_oneself_renews_the_right_from_the_sending(self) -> None:
        question = self.ask(NOW + 1.3)
        self.take(self.answer("b", question))
        self.assertEqual(self.leases["a"].of("menus").confirmed_at, NOW)
        self.take(self.answer("b", question))
        self.assertEqual(self.leases["a"].of("menus").confirmed_at, NOW)
        self.take(self.answer("c", question))
        self.assertEqual(self.leases["a"].of("menus").confirmed_at, NOW + 1.3)

    def test_one_that_knows_a_newer_claim_does_not_confirm(self) -> None:
        self.leases["c"].of("menus").take_claim(claim(9, ""))
        question = self.ask(NOW + 1.3)
        for voter in ("b", "c"):
            self.take(self.answer(voter, question))
        self.assertEqual(self.leases["a"].of("menus").confirmed_at, NOW)

    def test_an_answer_to_an_earlier_question_does_not_count(self) -> None:
        first = self.ask(NOW + 1.3)
        late = [self.answer(voter, first) for voter in ("b", "c")]
        self.ask(NOW + 2.6)
        for answer in late:
            self.take(answer)
        self.assertEqual(self.leases["a"].of("menus").confirmed_at, NOW)

    def test_what_was_confirmed_of_an_overtaken_claim_does_not_count(self) -> None:
        question = self.ask(NOW + 1.3)
        answers = [self.answer(voter, question) for voter in ("b", "c", "d")]
        self.leases["a"].of("menus").take_claim(claim(9))
        for answer in answers:
            self.take(answer)
        self.assertEqual(self.leases["a"].of("menus").confirmed_at, NOW)

    def test_a_process_without_a_row_gets_no_confirmation(self) -> None:
        question = ConfirmationQuestion("stranger", 1, {"menus": 7})
        self.assertIsNone(
            QuorumConfirmation("b").answer(question, self.leases["b"].by_group, VOTERS)
        )


if __name__ == "__main__":
    unittest.main()
