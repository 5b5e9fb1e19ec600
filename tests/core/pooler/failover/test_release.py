"""Without fencing by the platform, no replica is promoted while the old primary is in use."""

import unittest
from collections.abc import Sequence

from dewledge.core.pooler.failover.group_failover import GroupFailover
from dewledge.core.pooler.failover.messages import (
    Claim,
    ClaimAcknowledged,
    ClaimReceived,
    DatabaseStatus,
    FailoverEffect,
    FailoverEvent,
    IndirectProbeReported,
    Phase,
    Promote,
    ReachTested,
    RegisteredProcesses,
    SendClaim,
    StatusRead,
    StepDown,
    SteppedDown,
    Ticked,
    TryLeader,
    WriteClaim,
)
from dewledge.core.pooler.failover.primary_lease import LEASE_SECONDS, Fencing, PrimaryLease
from dewledge.core.shared.positions import LogPosition
from tests.core.pooler.failover.test_group_failover import MEMBERS, FailoverCase


class UnfencedCase(FailoverCase):
    """A process "a" of three; the store confirms its lease at each event while `is_store_up`."""

    def setUp(self) -> None:
        super().setUp()
        self.lease = PrimaryLease(Fencing.PROCESSES)
        self.failover = GroupFailover("menus", "a", self.record, self.lease)
        self.is_store_up = True
        self.token = 0

    def handle(
        self, event: FailoverEvent, members: Sequence[str] = MEMBERS
    ) -> Sequence[FailoverEffect]:
        if self.is_store_up:
            self.lease.confirm(self.now)
        registered = RegisteredProcesses(frozenset(MEMBERS), self.token)
        return self.handle_with(event, members, registered)

    def store_claim(self, write: WriteClaim, holder: str = "a") -> None:
        """Handles the claim as accepted by the store."""
        self.token += 10
        claim = Claim(
            holder,
            write.replaced,
            self.token,
            write.leader,
            write.voters,
            write.quorums,
            write.ordered,
        )
        self.handle(ClaimReceived(claim))

    def last_write(self) -> WriteClaim:
        return self.effects_of(WriteClaim)[-1]  # type: ignore[return-value]

    def acknowledge(self, *names: str) -> None:
        for name in names:
            self.handle(ClaimAcknowledged(name, self.token, "a"))

    def report_positions(self, **offsets: int) -> None:
        for name, offset in offsets.items():
            status = DatabaseStatus(name == "p", 1, LogPosition(1, offset))
            self.handle(StatusRead(name, status))

    def lose_and_claim(self) -> None:
        self.lose_primary()
        self.confirm_loss()
        self.store_claim(self.last_write())
        self.report_positions(r1=4, r2=6)
        self.store_claim(self.last_write())


class LostPrimaryTest(UnfencedCase):
    def test_claim_forbids_lost_primary_and_names_voters(self) -> None:
        self.lose_primary()
        self.confirm_loss()
        self.assertEqual(self.effects_of(WriteClaim), [WriteClaim("p", 0, "", MEMBERS)])

    def test_claim_is_sent_until_acknowledged_by_all_then_replica_is_promoted(self) -> None:
        self.lose_and_claim()
        self.assertEqual(self.effects_of(SendClaim)[0], SendClaim(("b", "c")))
        self.acknowledge("b")
        self.advance(0.2)
        self.assertEqual(self.effects_of(SendClaim)[-1], SendClaim(("c",)))
        self.assertEqual(self.effects_of(Promote), [])
        self.acknowledge("c")
        self.assertEqual(
            [(e.database, e.fencing_token) for e in self.effects_of(Promote)], [("r2", 20)]
        )  # type: ignore[union-attr]

    def test_promotion_waits_for_lease_expiry_of_silent_process(self) -> None:
        self.lose_and_claim()
        self.acknowledge("b")
        self.advance(LEASE_SECONDS - 0.1)
        self.assertEqual(self.effects_of(Promote), [])
        self.advance(0.2)
        self.assertEqual(len(self.effects_of(Promote)), 1)

    def test_last_holder_waits_for_claim_write(self) -> None:
        self.handle(ClaimReceived(Claim("a", "", 5)))
        self.lose_primary()
        self.confirm_loss()
        self.advance(1.0)
        self.assertEqual(self.effects_of(Promote), [])
        self.assertEqual(self.failover.phase, Phase.CLAIMING)

    def test_no_promotion_if_another_process_may_hold_newer_claim(self) -> None:
        self.lose_and_claim()
        self.is_store_up = False
        self.acknowledge("b")
        self.advance(LEASE_SECONDS + 1.0)
        self.assertEqual(self.effects_of(Promote), [])

    def test_promotion_request_carries_latest_send_time(self) -> None:
        self.lose_and_claim()
        self.acknowledge("b", "c")
        self.assertEqual(self.effects_of(Promote)[0].not_after, self.now + LEASE_SECONDS)  # type: ignore[union-attr]

    def test_order_is_stored_before_promotion(self) -> None:
        self.lose_primary()
        self.confirm_loss()
        self.store_claim(self.last_write())
        self.report_positions(r1=4, r2=6)
        self.assertEqual(self.last_write(), WriteClaim("p", 10, "r2", MEMBERS, (MEMBERS,), "r2"))
        self.acknowledge("b", "c")
        self.advance(1.0)
        self.assertEqual(self.effects_of(Promote), [])
        self.store_claim(self.last_write())
        self.assertEqual([e.database for e in self.effects_of(Promote)], ["r2"])  # type: ignore[union-attr]

    def test_next_holder_orders_same_database(self) -> None:
        self.store_claim(WriteClaim("p", 0, "r1", MEMBERS, (), "r1"), holder="b")
        self.advance(9.0)
        self.store_claim(self.last_write())
        self.report_positions(r1=4, r2=6)
        self.assertEqual(self.last_write().ordered, "r1")

    def test_leader_by_last_order_is_ordered_again(self) -> None:
        self.store_claim(WriteClaim("", 0, "r1", MEMBERS, (), "r1"), holder="b")
        self.advance(9.0)
        self.store_claim(self.last_write())
        self.handle(StatusRead("r1", DatabaseStatus(True, 4, LogPosition(4, 4))))
        self.report_positions(r2=6)
        self.advance(0.5)
        self.assertEqual(self.last_write().ordered, "r1")
        self.assertEqual(self.effects_of(StepDown), [])

    def test_unordered_leader_steps_down_before_selection(self) -> None:
        self.store_claim(WriteClaim("", 0, "r1", MEMBERS, (), "r1"), holder="b")
        self.view = self.view.without("r1").without("r2")
        self.advance(9.0)
        self.store_claim(self.last_write())
        self.report_positions(p=9)
        self.advance(1.0)
        self.assertIn(StepDown("p", 2), self.effects)
        self.assertNotEqual(self.last_write().ordered, "p")
        self.handle(SteppedDown("p", DatabaseStatus(False, 2, LogPosition(1, 9))))
        self.advance(0.1)
        self.assertEqual(self.last_write().ordered, "p")

    def test_database_without_status_is_not_selected(self) -> None:
        self.lose_primary()
        self.confirm_loss()
        self.store_claim(self.last_write())
        self.advance(3.0)
        self.assertEqual(self.last_write().ordered, "")
        self.assertEqual(self.failover.phase, Phase.CHOOSING)

    def test_leadership_in_older_term_does_not_confirm_promotion(self) -> None:
        self.lose_and_claim()
        self.acknowledge("b", "c")
        self.handle(StatusRead("r2", DatabaseStatus(True, 1, LogPosition(1, 6))))
        self.assertEqual(self.failover.phase, Phase.PROMOTING)

    def test_failover_ends_only_when_candidate_leads(self) -> None:
        self.lose_and_claim()
        self.register_database("r2", "primary")
        self.acknowledge("b", "c")
        self.assertEqual(self.failover.phase, Phase.PROMOTING)
        self.handle(StatusRead("r2", DatabaseStatus(True, 2, LogPosition(2, 6))))
        self.assertEqual(self.failover.phase, Phase.STEADY)

    def test_claimed_leader_is_tried_before_new_claim(self) -> None:
        self.store_claim(WriteClaim("", 0, "r1", MEMBERS), holder="b")
        self.advance(1.5)
        self.assertIn(TryLeader("r1"), self.effects)
        self.assertEqual(self.effects_of(WriteClaim), [])

    def test_draining_primary_is_left_to_active_holder(self) -> None:
        self.store_claim(WriteClaim("p", 0, "p", MEMBERS), holder="b")
        self.register_database("p", "primary", draining=True)
        self.advance(2.5)
        self.assertEqual(self.effects_of(WriteClaim), [])
        self.assertEqual(self.failover.phase, Phase.FOLLOWING)

    def test_holder_follows_newer_claim(self) -> None:
        self.lose_and_claim()
        self.token += 10
        self.handle(ClaimReceived(Claim("b", "p", self.token, "")))
        self.advance(2.0)
        self.assertEqual(self.failover.phase, Phase.FOLLOWING)
        self.assertEqual(self.effects_of(Promote), [])

    def test_isolated_process_never_claims(self) -> None:
        self.lose_primary()
        self.advance(20.0)
        self.assertEqual([e for e in self.replacement_claims() if e.replaced], [])  # type: ignore[union-attr]

    def test_claim_is_withdrawn_without_majority_of_voters(self) -> None:
        self.store_claim(WriteClaim("", 0, None, ("a", "b", "c", "d", "e")), holder="b")
        self.lose_primary()
        self.confirm_loss()
        self.advance(1.0)
        self.store_claim(self.last_write())
        self.report_positions(r1=4, r2=6)
        self.advance(7.0)
        self.assertEqual(self.effects_of(Promote), [])
        withdrawal = self.last_write()
        self.assertEqual((withdrawal.replaced, withdrawal.leader), ("", "p"))

    def test_claim_of_lost_holder_is_taken_over(self) -> None:
        self.store_claim(WriteClaim("p", 0, "", MEMBERS), holder="b")
        self.assertEqual(self.failover.phase, Phase.FOLLOWING)
        self.advance(3.0)
        self.assertEqual(self.effects_of(WriteClaim), [])
        self.advance(5.0)
        self.assertEqual(self.last_write().replaced, "p")

    def test_primary_reached_by_another_process_is_not_replaced(self) -> None:
        self.lose_primary()
        self.handle(IndirectProbeReported("b", "p", True))
        self.advance(10.0)
        self.assertEqual([e for e in self.replacement_claims() if e.replaced], [])  # type: ignore[union-attr]


class DrainingPrimaryTest(UnfencedCase):
    def claim_draining_primary(self) -> None:
        self.register_database("p", "primary", draining=True)
        self.advance(0.5)
        self.store_claim(self.last_write())
        self.acknowledge("b", "c")

    def test_primary_steps_down_before_promotion(self) -> None:
        self.claim_draining_primary()
        self.assertEqual(self.last_write().leader, "p")
        self.report_positions(r1=4, r2=9, p=9)
        self.store_claim(self.last_write())
        self.assertEqual(self.effects_of(StepDown), [StepDown("p", 2)])
        self.assertEqual(self.effects_of(Promote), [])
        self.handle(SteppedDown("p", DatabaseStatus(False, 2, LogPosition(1, 9))))
        self.assertEqual([e.database for e in self.effects_of(Promote)], ["r2"])  # type: ignore[union-attr]

    def test_step_down_waits_for_acknowledgements(self) -> None:
        self.register_database("p", "primary", draining=True)
        self.advance(0.5)
        self.store_claim(self.last_write())
        self.report_positions(r1=4, r2=9, p=9)
        self.store_claim(self.last_write())
        self.advance(0.5)
        self.assertEqual(self.effects_of(StepDown), [])
        self.acknowledge("b", "c")
        self.assertEqual(self.effects_of(StepDown), [StepDown("p", 2)])

    def test_candidate_receives_last_commits_before_promotion(self) -> None:
        self.claim_draining_primary()
        self.report_positions(r1=4, r2=9, p=9)
        self.store_claim(self.last_write())
        self.handle(SteppedDown("p", DatabaseStatus(False, 2, LogPosition(1, 12))))
        self.advance(0.2)
        self.assertEqual(self.effects_of(Promote), [])
        self.report_positions(r2=12)
        self.assertEqual([e.database for e in self.effects_of(Promote)], ["r2"])  # type: ignore[union-attr]

    def test_silent_primary_is_replaced_after_acknowledged_ban(self) -> None:
        self.claim_draining_primary()
        self.report_positions(r1=4, r2=9, p=9)
        self.store_claim(self.last_write())
        self.acknowledge("b", "c")
        self.advance(0.8)
        self.assertEqual(self.effects_of(Promote), [])
        self.advance(0.5)
        self.assertEqual([e.fencing_token for e in self.effects_of(Promote)], [20])  # type: ignore[union-attr]

    def test_answer_of_leading_primary_does_not_end_its_use(self) -> None:
        self.claim_draining_primary()
        self.report_positions(r1=4, r2=9, p=9)
        self.handle(SteppedDown("p", DatabaseStatus(True, 1, LogPosition(1, 9))))
        self.assertEqual(self.effects_of(Promote), [])


class VoterMaintenanceTest(UnfencedCase):
    def test_voters_follow_judges_once_stable(self) -> None:
        self.store_claim(WriteClaim("", 0, None, ("a",)), holder="b")
        self.advance(0.8)
        self.assertEqual(self.effects_of(WriteClaim), [])
        self.advance(8.0)
        self.assertEqual(
            self.effects_of(WriteClaim)[0], WriteClaim("", 10, None, MEMBERS, (("a",),))
        )

    def test_earlier_voters_are_dropped_once_acknowledged(self) -> None:
        self.store_claim(WriteClaim("", 0, None, MEMBERS, (("x", "y", "z"),)))
        self.advance(9.0)
        self.assertEqual(self.effects_of(WriteClaim), [])
        self.acknowledge("b", "c")
        self.advance(0.5)
        self.assertEqual(self.last_write().quorums, (MEMBERS,))

    def test_no_claim_is_written_while_voters_match(self) -> None:
        self.store_claim(WriteClaim("", 0, None, MEMBERS, (MEMBERS,)), holder="b")
        self.advance(30.0)
        self.assertEqual(self.effects_of(WriteClaim), [])


class SuspicionTest(UnfencedCase):
    def test_successful_test_clears_suspicion(self) -> None:
        self.lose_primary()
        self.advance(0.5)
        self.handle(ReachTested("p", True))
        self.handle(Ticked())
        self.assertIsNone(self.failover.suspected)


if __name__ == "__main__":
    unittest.main()
