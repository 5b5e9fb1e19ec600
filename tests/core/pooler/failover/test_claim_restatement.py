"""Claims after a restore of the store: what counts, who writes them again, and who is waited for.

Guards against a second primary, or a lower fencing token, by an older claim that a copy holds.
"""

import unittest

from dewledge.core.pooler.failover.claim_acknowledgements import ClaimAcknowledgements
from dewledge.core.pooler.failover.claim_restatement import (
    HOLDER_HEAD_START_SECONDS,
    RESTATEMENT_SPREAD_SECONDS,
    RESTATEMENT_TIMEOUT_SECONDS,
)
from dewledge.core.pooler.failover.claim_writing import replacement_claim
from dewledge.core.pooler.failover.group_failover import GroupFailover
from dewledge.core.pooler.failover.messages import (
    Claim,
    ClaimAcknowledged,
    ClaimReceived,
    FailoverEvent,
    Phase,
    PrimarySuspected,
    Promote,
    RegisteredProcesses,
    Ticked,
    WriteClaim,
)
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
from dewledge.core.pooler.failover.situation import GroupLog
from dewledge.core.pooler.store_versions import combine
from tests.core.pooler.failover.test_group_failover import MEMBERS, FailoverCase

NOW = 1000.0
COPIED = Claim("b", "", 8, "p", MEMBERS)
NEWEST = Claim("b", "", 24, "r1", MEMBERS, ordered="r1", term=2)


def restated(base: Claim, number: int = 12, holder: str = "b") -> Claim:
    """Returns the claim that repeats `base` in era 1."""
    token = combine(1, number)
    return Claim(holder, "", token, base.leader, MEMBERS, (MEMBERS,), restates=base.fencing_token)


def restored_leases(known: Claim | None, first_era: int = 0) -> PrimaryLeases:
    """Returns the leases of a process that has seen the store in era 1."""
    leases = PrimaryLeases(Fencing.PROCESSES)
    leases.eras.record_table(first_era, NOW)
    lease = leases.of("menus")
    if known is not None:
        lease.apply_claim(known)
    leases.eras.record_table(1, NOW)
    return leases


class CopiedClaimTest(unittest.TestCase):
    def test_claim_of_a_copy_is_not_newer_than_the_one_that_was_lost(self) -> None:
        lease = restored_leases(NEWEST).of("menus")
        self.assertFalse(lease.record_row(combine(1, 8), COPIED))
        self.assertEqual(lease.claim, NEWEST)

    def test_process_that_starts_does_not_apply_the_claim_of_a_copy(self) -> None:
        lease = restored_leases(None, first_era=1).of("menus")
        self.assertFalse(lease.record_row(combine(1, 8), COPIED))
        self.assertIsNone(lease.claim)
        self.assertEqual(lease.copied_claim, COPIED)

    def test_store_confirms_no_lease_before_its_era_holds_a_claim(self) -> None:
        leases = restored_leases(NEWEST)
        leases.confirm_all(NOW)
        self.assertFalse(leases.of("menus").allows("r1", NOW + 0.1))
        leases.of("menus").apply_claim(restated(NEWEST))
        leases.confirm_all(NOW)
        self.assertTrue(leases.of("menus").allows("r1", NOW + 0.1))

    def test_group_that_is_first_used_after_a_restore_has_no_lease(self) -> None:
        leases = PrimaryLeases(Fencing.PROCESSES)
        leases.confirm_all(NOW)
        leases.eras.record_table(1, NOW)
        self.assertFalse(leases.of("menus").allows("p", NOW + 0.1))

    def test_next_write_expects_the_row_of_the_copy(self) -> None:
        for fencing in Fencing:
            with self.subTest(fencing):
                lease = PrimaryLease(fencing)
                lease.apply_claim(NEWEST)
                lease.eras.record_table(1, NOW)
                self.assertEqual(lease.expected_version, combine(1, 0))
                lease.record_row(combine(1, 8), COPIED)
                self.assertEqual(
                    replacement_claim(lease, MEMBERS, "p", False).expected, (1 << 40) + 8
                )

    def test_claim_that_restates_an_older_one_does_not_replace_a_newer_one(self) -> None:
        lease = restored_leases(NEWEST).of("menus")
        self.assertFalse(lease.apply_claim(restated(COPIED)))
        self.assertTrue(lease.apply_claim(restated(NEWEST, 13)))

    def test_claim_that_has_taken_effect_replaces_any_of_a_former_era(self) -> None:
        lease = restored_leases(NEWEST).of("menus")
        settled = Claim("a", "", combine(1, 20), "r2", MEMBERS)
        self.assertTrue(lease.apply_claim(settled))


class VoucherTest(unittest.TestCase):
    def answer(self, leases: PrimaryLeases, era: int = 1) -> ConfirmationAnswer:
        confirmation = QuorumConfirmation("c", leases.eras)
        question = ConfirmationQuestion("a", 1, {"menus": 24}, era)
        answer = confirmation.answer_question(question, leases.by_group, MEMBERS)
        assert answer is not None
        return answer

    def test_process_that_started_after_the_restore_does_not_vouch(self) -> None:
        """It may have acknowledged a newer claim before it restarted."""
        self.assertEqual(self.answer(restored_leases(NEWEST, first_era=1)).tokens, {})
        self.assertEqual(self.answer(restored_leases(NEWEST)).tokens, {"menus": 24})

    def test_process_without_the_table_of_the_era_does_not_vouch_in_it(self) -> None:
        """It would vouch for processes that are not registered any more."""
        leases = PrimaryLeases(Fencing.PROCESSES)
        leases.eras.record_table(0, NOW)
        leases.eras.learn(1, NOW)
        leases.of("menus").apply_claim(restated(NEWEST))
        self.assertEqual(self.answer(leases).tokens, {})

    def test_process_that_knows_of_a_restore_acknowledges_no_claim_of_a_former_era(self) -> None:
        lease = restored_leases(NEWEST).of("menus")
        self.assertFalse(lease.may_acknowledge)
        lease.apply_claim(restated(NEWEST))
        self.assertTrue(lease.may_acknowledge)

    def test_answer_of_a_voter_that_does_not_know_of_the_restore_is_ignored(self) -> None:
        """It may still acknowledge a claim of the former era."""
        leases = restored_leases(NEWEST)
        confirmation = QuorumConfirmation("a", leases.eras)
        poll = confirmation.next_poll(leases.by_group, NOW)
        assert poll is not None
        for era, count in ((0, 0), (1, 1)):
            answer = ConfirmationAnswer("b", poll.question.number, {"menus": 24}, era)
            self.assertEqual(len(confirmation.on_answer(answer, leases.by_group)), count)
        self.assertEqual(leases.of("menus").confirmed_era, 1)

    def test_process_without_a_claim_asks_all_others(self) -> None:
        leases = restored_leases(None, first_era=1)
        poll = QuorumConfirmation("a", leases.eras).next_poll(leases.by_group, NOW, MEMBERS)
        assert poll is not None
        self.assertEqual((poll.voters, poll.question.tokens), (("b", "c"), {"menus": 0}))


class AcknowledgementTest(unittest.TestCase):
    def is_effective(self, claim: Claim, version: int, *events: ClaimAcknowledged) -> bool:
        acknowledgements = ClaimAcknowledgements(claim, NOW)
        for event in events:
            acknowledgements.apply(event, NOW)
        registered = RegisteredProcesses(frozenset(MEMBERS), version)
        return acknowledgements.is_effective(registered, NOW + 0.1)

    def test_higher_token_of_another_holder_is_no_acknowledgement(self) -> None:
        claim = Claim("a", "p", 14, "r2", MEMBERS, (MEMBERS,))
        cases = (
            ("c", 24, False),
            ("a", 24, True),
            ("", 14, True),
            ("", 24, False),
            ("a", 9, False),
        )
        for holder, token, is_effective in cases:
            with self.subTest(holder=holder, token=token):
                events = [ClaimAcknowledged(name, token, holder) for name in MEMBERS]
                self.assertEqual(self.is_effective(claim, 30, *events), is_effective)

    def test_table_of_another_era_may_lack_a_process(self) -> None:
        events = [ClaimAcknowledged(name, 14, "a") for name in MEMBERS]
        claim = Claim("a", "p", 14, "r2", MEMBERS, (MEMBERS,))
        self.assertTrue(self.is_effective(claim, 14, *events))
        self.assertFalse(self.is_effective(claim, combine(1, 14), *events))

    def test_first_claim_of_an_era_waits_for_leases_to_expire(self) -> None:
        claim = restated(NEWEST)
        token = claim.fencing_token
        events = [ClaimAcknowledged(name, token, "b") for name in MEMBERS]
        self.assertFalse(self.is_effective(claim, token, *events))
        acknowledgements = ClaimAcknowledgements(claim, NOW)
        for event in events:
            acknowledgements.apply(event, NOW)
        self.assertTrue(acknowledgements.is_effective(RegisteredProcesses(), NOW + LEASE_SECONDS))


class RestatementTest(FailoverCase):
    """Process "a" of three, after a restore; the copy holds COPIED, the voters know NEWEST."""

    fencing = Fencing.PROCESSES
    first_era = 0

    def setUp(self) -> None:
        super().setUp()
        self.leases = PrimaryLeases(self.fencing)
        self.leases.eras.record_table(self.first_era, self.now)
        self.lease = self.leases.of("menus")
        self.failover = GroupFailover("menus", "a", self.record, self.lease)
        self.log = GroupLog()

    def handle(self, event: FailoverEvent, members: tuple[str, ...] = MEMBERS) -> list[object]:  # type: ignore[override]
        registered = RegisteredProcesses(frozenset(MEMBERS), self.lease.expected_version)
        effects = self.failover.handle(event, self.view, members, self.now, registered, self.log)
        self.effects += effects
        return list(effects)

    def restore(self, known: Claim | None, copied: Claim | None = COPIED) -> None:
        if known is not None:
            self.lease.apply_claim(known)
            self.handle(Ticked())
        self.leases.eras.record_table(1, self.now)
        if copied is not None:
            self.lease.record_row(combine(1, copied.fencing_token), copied)

    def confirm_by_voters(self) -> None:
        self.lease.confirm(self.now)
        self.lease.confirmed_era = 1

    def writes(self) -> list[WriteClaim]:
        return [each for each in self.effects if isinstance(each, WriteClaim)]

    def test_claim_is_written_again_once_a_majority_knows_no_newer_one(self) -> None:
        self.restore(Claim("a", "", 24, "p", MEMBERS, ordered="p", term=2))
        self.advance(RESTATEMENT_SPREAD_SECONDS + 0.1)
        self.assertEqual(self.writes(), [])
        self.confirm_by_voters()
        self.advance(0.1)
        expected = WriteClaim("", combine(1, 8), "p", MEMBERS, (MEMBERS,), "p", term=2, restates=24)
        self.assertEqual(self.writes(), [expected])

    def test_answers_on_an_earlier_claim_do_not_count_for_a_newer_one(self) -> None:
        self.restore(COPIED)
        self.confirm_by_voters()
        self.handle(ClaimReceived(Claim("a", "", 24, "p", MEMBERS)))
        self.advance(RESTATEMENT_SPREAD_SECONDS + 0.1)
        self.assertEqual(self.writes(), [])

    def test_other_processes_leave_it_to_the_holder_at_first(self) -> None:
        self.restore(NEWEST)
        self.confirm_by_voters()
        self.advance(HOLDER_HEAD_START_SECONDS - 0.1)
        self.assertEqual(self.writes(), [])
        self.advance(RESTATEMENT_SPREAD_SECONDS + 0.7)
        self.assertEqual(self.writes()[0].leader, "r1")

    def test_primary_is_not_judged_before_the_claim_stands_again(self) -> None:
        self.restore(NEWEST)
        self.handle(PrimarySuspected("p"))
        self.advance(4.0)
        self.assertEqual(self.failover.phase, Phase.STEADY)
        self.assertEqual(self.writes(), [])

    def test_replacement_under_way_ends_with_the_restore(self) -> None:
        self.lease.confirm(self.now)
        self.lose_primary()
        self.assertEqual(self.failover.phase, Phase.CHECKING)
        self.restore(NEWEST)
        self.handle(Ticked())
        self.assertEqual(self.failover.phase, Phase.STEADY)
        self.assertEqual(self.events[-1].reason, "store_restored")

    def test_without_a_majority_that_remembers_no_primary_is_allowed(self) -> None:
        self.restore(None)
        self.advance(RESTATEMENT_TIMEOUT_SECONDS - 0.1)
        self.assertEqual(self.writes(), [])
        self.advance(RESTATEMENT_SPREAD_SECONDS + 0.7)
        write = self.writes()[0]
        self.assertEqual((write.leader, write.ordered, write.restates), ("", "", 8))
        self.assertEqual(write.quorums, (MEMBERS,))

    def test_group_whose_only_claim_may_be_lost_allows_no_primary(self) -> None:
        """Guards against an old primary that is used though a lost claim had replaced it."""
        self.restore(None, copied=None)
        self.advance(RESTATEMENT_TIMEOUT_SECONDS + RESTATEMENT_SPREAD_SECONDS + 0.7)
        write = self.writes()[0]
        self.assertEqual((write.leader, write.expected), ("", combine(1, 0)))

    def test_group_without_a_claim_is_new_once_the_era_is_settled(self) -> None:
        self.restore(None, copied=None)
        self.leases.eras.record_settled(1)
        self.assertFalse(self.lease.needs_restatement)
        self.leases.confirm_all(self.now)
        self.advance(2.0)
        write = self.writes()[0]
        self.assertEqual((write.leader, write.expected, write.restates), (None, 1 << 40, None))

    def test_claim_of_a_copy_is_restated_also_in_a_settled_era(self) -> None:
        self.restore(None)
        self.leases.eras.record_settled(1)
        self.assertTrue(self.lease.needs_restatement)

    def test_claimant_that_learns_of_a_newer_claim_writes_that_one(self) -> None:
        self.restore(None)
        self.handle(ClaimReceived(restated(COPIED, 12, holder="a")))
        self.handle(ClaimReceived(NEWEST))
        self.advance(0.1)
        write = self.writes()[0]
        self.assertEqual((write.leader, write.restates), ("r1", 24))
        self.assertEqual(write.expected, combine(1, 12))

    def test_databases_of_a_copy_are_no_reason_for_a_failover(self) -> None:
        self.restore(None)
        self.handle(ClaimReceived(Claim("b", "", combine(1, 12), None, MEMBERS)))
        self.lease.confirm(self.now)
        for may_be_copy, phase in ((True, Phase.STEADY), (False, Phase.CHECKING)):
            with self.subTest(may_be_copy=may_be_copy):
                self.log = GroupLog(may_be_copy=may_be_copy)
                self.handle(PrimarySuspected("p"))
                self.assertEqual(self.failover.phase, phase)


class FencedRestatementTest(RestatementTest):
    """Where the platform fences, a failover goes on, and the holder writes its claim again."""

    fencing = Fencing.PLATFORM

    def test_claim_is_written_again_once_a_majority_knows_no_newer_one(self) -> None:
        self.restore(Claim("a", "", 24, term=2))
        self.advance(RESTATEMENT_SPREAD_SECONDS + 0.1)
        self.assertEqual(self.writes(), [WriteClaim("", combine(1, 8), term=2)])

    def test_other_processes_leave_it_to_the_holder_at_first(self) -> None:
        self.restore(Claim("b", "", 24, term=2))
        self.advance(HOLDER_HEAD_START_SECONDS - 0.1)
        self.assertEqual(self.writes(), [])
        self.advance(RESTATEMENT_SPREAD_SECONDS + 0.7)
        self.assertEqual(self.writes()[0].term, 2)

    def test_answers_on_an_earlier_claim_do_not_count_for_a_newer_one(self) -> None:
        """Here nobody is asked: the token alone decides."""
        self.restore(Claim("a", "", 24))
        self.advance(RESTATEMENT_SPREAD_SECONDS + 0.1)
        self.assertEqual(len(self.writes()), 1)

    def test_primary_is_not_judged_before_the_claim_stands_again(self) -> None:
        """Here it is: the promotion under an earlier token is fenced by the platform."""
        self.restore(NEWEST)
        self.handle(PrimarySuspected("p"))
        self.assertEqual(self.failover.phase, Phase.CHECKING)

    def test_replacement_under_way_ends_with_the_restore(self) -> None:
        """Here it goes on under the token that the platform knows."""
        self.lease.apply_claim(Claim("a", "", 24))
        self.lose_primary()
        self.restore(None)
        self.confirm_loss()
        self.advance(1.0)
        promotions = [each for each in self.effects if isinstance(each, Promote)]
        self.assertEqual({each.fencing_token for each in promotions}, {24})

    def test_without_a_majority_that_remembers_no_primary_is_allowed(self) -> None:
        """Here the first judge claims the group as if there had been no claim."""
        self.restore(None)
        self.advance(2.0)
        self.assertEqual(self.writes()[0].expected, combine(1, 8))

    def test_group_whose_only_claim_may_be_lost_allows_no_primary(self) -> None:
        """Here it is claimed anew: the platform fences the old primary."""
        self.restore(None, copied=None)
        self.advance(2.0)
        self.assertEqual(self.writes()[0].expected, combine(1, 0))

    def test_group_without_a_claim_is_new_once_the_era_is_settled(self) -> None:
        self.restore(None, copied=None)
        self.leases.eras.record_settled(1)
        self.advance(2.0)
        self.assertEqual(self.writes()[0].expected, combine(1, 0))

    def test_claimant_that_learns_of_a_newer_claim_writes_that_one(self) -> None:
        """Here the higher token counts: an earlier one is refused by the platform."""
        self.handle(ClaimReceived(Claim("a", "", combine(1, 12))))
        self.handle(ClaimReceived(NEWEST))
        self.assertEqual(self.lease.fencing_token, combine(1, 12))


if __name__ == "__main__":
    unittest.main()
