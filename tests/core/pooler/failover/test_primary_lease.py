"""Leases on a primary: validity, confirmation by a quorum, and when a new claim takes effect."""

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


class PrimaryLeaseTest(unittest.TestCase):
    def test_without_fencing_use_needs_confirmed_lease_and_allowing_claim(self) -> None:
        cases = (
            ("platform fences", Fencing.PLATFORM, None, "q", True),
            ("never confirmed", Fencing.PROCESSES, None, None, False),
            ("recently confirmed", Fencing.PROCESSES, NOW - 0.1, None, True),
            ("just before expiry", Fencing.PROCESSES, NOW - LEASE_SECONDS + 0.01, None, True),
            ("expired", Fencing.PROCESSES, NOW - LEASE_SECONDS, None, False),
            ("expired, named leader", Fencing.PROCESSES, NOW - LEASE_SECONDS, "p", False),
            ("confirmed, named leader", Fencing.PROCESSES, NOW - 0.1, "p", True),
            ("confirmed, but no leader", Fencing.PROCESSES, NOW - 0.1, "", False),
            ("confirmed, but another leader", Fencing.PROCESSES, NOW - 0.1, "q", False),
        )
        for name, fencing, confirmed_at, leader, allowed in cases:
            with self.subTest(name):
                lease = PrimaryLease(fencing)
                if confirmed_at is not None:
                    lease.confirm(confirmed_at)
                lease.apply_claim(claim(5, leader))
                self.assertEqual(lease.allows("p", NOW), allowed)

    def test_older_claim_is_ignored(self) -> None:
        lease = PrimaryLease(Fencing.PROCESSES)
        self.assertTrue(lease.apply_claim(claim(7, "")))
        self.assertFalse(lease.apply_claim(claim(5)))
        self.assertFalse(lease.apply_claim(claim(7)))
        self.assertTrue(lease.is_banned("p"))

    def test_older_confirmation_does_not_shorten_lease(self) -> None:
        lease = PrimaryLease(Fencing.PROCESSES)
        lease.confirm(NOW)
        lease.confirm(NOW - 1.0)
        self.assertEqual(lease.confirmed_at, NOW)

    def test_new_group_inherits_common_confirmation(self) -> None:
        leases = PrimaryLeases(Fencing.PROCESSES)
        leases.confirm_all(NOW)
        self.assertTrue(leases.of("menus").allows("p", NOW + 0.1))


class ClaimAcknowledgementsTest(unittest.TestCase):
    def setUp(self) -> None:
        self.acknowledgements = ClaimAcknowledgements(claim(7, "", quorums=(VOTERS,)), NOW)
        self.registered = RegisteredProcesses(frozenset(VOTERS), 7)

    def test_old_leases_end_when_all_processes_acknowledged(self) -> None:
        for name in VOTERS[:-1]:
            self.acknowledgements.add(name, NOW)
        self.assertFalse(self.acknowledgements.is_effective(self.registered, NOW + 0.1))
        self.assertEqual(self.acknowledgements.missing(self.registered.names), ["e"])
        self.acknowledgements.add("e", NOW)
        self.assertTrue(self.acknowledgements.is_effective(self.registered, NOW + 0.1))

    def test_process_list_older_than_claim_is_not_trusted(self) -> None:
        for name in VOTERS:
            self.acknowledgements.add(name, NOW)
        older = RegisteredProcesses(self.registered.names, 6)
        self.assertFalse(self.acknowledgements.is_effective(older, NOW + 0.1))

    def test_processes_other_than_voters_must_acknowledge(self) -> None:
        for name in VOTERS:
            self.acknowledgements.add(name, NOW)
        more = RegisteredProcesses(frozenset((*VOTERS, "f")), 7)
        self.assertFalse(self.acknowledgements.is_effective(more, NOW + 0.1))

    def test_old_leases_expire_after_majority_acknowledged(self) -> None:
        for name in VOTERS[:3]:
            self.acknowledgements.add(name, NOW + 0.2)
        self.assertFalse(self.acknowledgements.is_effective(self.registered, NOW + LEASE_SECONDS))
        self.assertTrue(
            self.acknowledgements.is_effective(self.registered, NOW + 0.2 + LEASE_SECONDS)
        )

    def test_old_leases_never_expire_without_majority(self) -> None:
        for name in VOTERS[:2]:
            self.acknowledgements.add(name, NOW)
        self.assertFalse(self.acknowledgements.is_effective(self.registered, NOW + 3600))

    def test_every_earlier_voter_set_needs_a_majority(self) -> None:
        acknowledgements = ClaimAcknowledgements(
            claim(7, "", quorums=(VOTERS, ("x", "y", "z"))), NOW
        )
        for name in (*VOTERS, "x"):
            acknowledgements.add(name, NOW)
        self.assertFalse(acknowledgements.is_effective(RegisteredProcesses(), NOW + 3600))
        acknowledgements.add("y", NOW)
        more = RegisteredProcesses(frozenset(("z",)), 7)
        self.assertTrue(acknowledgements.is_effective(more, NOW + LEASE_SECONDS))

    def test_first_claim_needs_no_majority(self) -> None:
        acknowledgements = ClaimAcknowledgements(claim(7, ""), NOW)
        self.assertFalse(acknowledgements.is_effective(self.registered, NOW + LEASE_SECONDS - 0.01))
        self.assertTrue(acknowledgements.is_effective(self.registered, NOW + LEASE_SECONDS))

    def test_half_is_not_a_majority(self) -> None:
        self.assertFalse(is_majority({"a", "b"}, ("a", "b", "c", "d")))
        self.assertTrue(is_majority({"a", "b", "c"}, ("a", "b", "c", "d")))
        self.assertFalse(is_majority({"a"}, ()))


class ClaimWritingTest(unittest.TestCase):
    def setUp(self) -> None:
        self.lease = PrimaryLease(Fencing.PROCESSES)

    def test_claim_has_no_voters_with_platform_fencing(self) -> None:
        lease = PrimaryLease(Fencing.PLATFORM)
        expected = WriteClaim("p", 0)
        self.assertEqual(replacement_claim(lease, VOTERS, "p", False), expected)

    def test_replacement_claim_allows_old_primary_only_while_it_serves(self) -> None:
        cases = (
            ("no leader set, lost", None, False, ""),
            ("no leader set, still serves", None, True, "p"),
            ("p leads, lost", "p", False, ""),
            ("p leads, still serves", "p", True, "p"),
            ("no leader allowed, still serves", "", True, ""),
        )
        for name, before, still_serves, leader in cases:
            with self.subTest(name):
                self.lease = PrimaryLease(Fencing.PROCESSES)
                self.lease.apply_claim(claim(7, before))
                write = replacement_claim(self.lease, VOTERS, "p", still_serves)
                self.assertEqual(write.leader, leader)

    def test_order_claim_names_only_leader(self) -> None:
        self.lease.apply_claim(claim(7, ""))
        write = order_claim(self.lease, VOTERS, "p", "r")
        self.assertEqual((write.leader, write.ordered, write.expected), ("r", "r", 7))

    def test_last_order_is_kept_in_later_claims(self) -> None:
        self.lease.apply_claim(claim(7, "r", ordered="r"))
        self.assertEqual(replacement_claim(self.lease, VOTERS, "p", False).ordered, "r")
        self.assertEqual(maintenance_claim(self.lease, VOTERS, False).ordered, "r")

    def test_order_of_replaced_database_is_dropped(self) -> None:
        self.lease.apply_claim(claim(7, "r", ordered="r"))
        self.assertEqual(replacement_claim(self.lease, VOTERS, "r", False).ordered, "")

    def test_withdrawal_claim_names_old_primary_leader(self) -> None:
        self.lease.apply_claim(claim(7, ""))
        self.assertEqual(withdrawal_claim(self.lease, VOTERS, "p").leader, "p")

    def test_maintenance_claim_keeps_leader(self) -> None:
        for leader in (None, "", "p"):
            self.lease = PrimaryLease(Fencing.PROCESSES)
            self.lease.apply_claim(claim(7, leader))
            write = maintenance_claim(self.lease, VOTERS, False)
            self.assertEqual(write.leader, leader)

    def test_earlier_voters_are_kept_until_dropped_explicitly(self) -> None:
        self.lease.apply_claim(claim(7, quorums=(("x", "y"),)))
        first = maintenance_claim(self.lease, ("a", "f"), False)
        self.assertEqual(first.voters, ("a", "f"))
        self.assertEqual(first.quorums, (VOTERS, ("x", "y")))
        settled = maintenance_claim(self.lease, ("a", "f"), True)
        self.assertEqual(settled.quorums, (VOTERS,))


class QuorumConfirmationTest(unittest.TestCase):
    def setUp(self) -> None:
        self.leases = {name: PrimaryLeases(Fencing.PROCESSES) for name in VOTERS}
        for leases in self.leases.values():
            leases.of("menus").apply_claim(claim(7))
            leases.confirm_all(NOW)
        self.confirmation = QuorumConfirmation("a")

    def ask(self, now: float) -> ConfirmationQuestion:
        inquiry = self.confirmation.next_poll(self.leases["a"].by_group, now)
        assert inquiry is not None
        self.assertEqual(inquiry.voters, VOTERS[1:])
        return inquiry.question

    def answer(self, voter: str, question: ConfirmationQuestion) -> ConfirmationAnswer:
        answer = QuorumConfirmation(voter).answer_question(
            question, self.leases[voter].by_group, VOTERS
        )
        assert answer is not None
        return answer

    def receive(self, answer: ConfirmationAnswer) -> None:
        self.confirmation.on_answer(answer, self.leases["a"].by_group)

    def test_no_question_while_confirmation_is_recent(self) -> None:
        self.assertIsNone(self.confirmation.next_poll(self.leases["a"].by_group, NOW + 0.5))

    def test_majority_including_asker_renews_lease_from_send_time(self) -> None:
        question = self.ask(NOW + 1.3)
        self.receive(self.answer("b", question))
        self.assertEqual(self.leases["a"].of("menus").confirmed_at, NOW)
        self.receive(self.answer("b", question))
        self.assertEqual(self.leases["a"].of("menus").confirmed_at, NOW)
        self.receive(self.answer("c", question))
        self.assertEqual(self.leases["a"].of("menus").confirmed_at, NOW + 1.3)

    def test_voter_with_newer_claim_does_not_confirm(self) -> None:
        self.leases["c"].of("menus").apply_claim(claim(9, ""))
        question = self.ask(NOW + 1.3)
        for voter in ("b", "c"):
            self.receive(self.answer(voter, question))
        self.assertEqual(self.leases["a"].of("menus").confirmed_at, NOW)

    def test_answer_to_earlier_question_is_ignored(self) -> None:
        first = self.ask(NOW + 1.3)
        late = [self.answer(voter, first) for voter in ("b", "c")]
        self.ask(NOW + 2.6)
        for answer in late:
            self.receive(answer)
        self.assertEqual(self.leases["a"].of("menus").confirmed_at, NOW)

    def test_answer_for_outdated_claim_is_ignored(self) -> None:
        question = self.ask(NOW + 1.3)
        answers = [self.answer(voter, question) for voter in ("b", "c", "d")]
        self.leases["a"].of("menus").apply_claim(claim(9))
        for answer in answers:
            self.receive(answer)
        self.assertEqual(self.leases["a"].of("menus").confirmed_at, NOW)

    def test_unregistered_process_gets_no_answer(self) -> None:
        question = ConfirmationQuestion("stranger", 1, {"menus": 7})
        self.assertIsNone(
            QuorumConfirmation("b").answer_question(question, self.leases["b"].by_group, VOTERS)
        )


if __name__ == "__main__":
    unittest.main()
