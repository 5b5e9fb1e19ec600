"""Where the platform does not fence: how the use of the old primary ends before a promotion."""

import unittest
from collections.abc import Sequence

from dewledge.core.pooler.failover.group_failover import GroupFailover
from dewledge.core.pooler.failover.messages import (
    Claim,
    ClaimKnown,
    ClaimSeen,
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
    """A process of three; the store's word on claims is always young unless a test says else."""

    def setUp(self) -> None:
        super().setUp()
        self.lease = PrimaryLease(Fencing.PROCESSES)
        self.failover = GroupFailover("menus", "a", self.events.append, self.lease)
        self.is_store_up = True
        self.token = 0

    def handle(
        self, event: FailoverEvent, members: Sequence[str] = MEMBERS
    ) -> Sequence[FailoverEffect]:
        if self.is_store_up:
            self.lease.confirm(self.now)
        registered = RegisteredProcesses(frozenset(MEMBERS), self.token)
        return self.take(event, members, registered)

    def see(self, write: WriteClaim, holder: str = "a") -> None:
        """The store has taken a claim."""
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
        self.handle(ClaimSeen(claim))

    def last_write(self) -> WriteClaim:
        return self.of(WriteClaim)[-1]  # type: ignore[return-value]

    def know(self, *names: str) -> None:
        for name in names:
            self.handle(ClaimKnown(name, self.token))

    def tell(self, **offsets: int) -> None:
        for name, offset in offsets.items():
            status = DatabaseStatus(name == "p", 1, LogPosition(1, offset))
            self.handle(StatusRead(name, status))

    def lose_and_claim(self) -> None:
        self.lose_primary()
        self.confirm()
        self.see(self.last_write())
        self.tell(r1=4, r2=6)
        self.see(self.last_write())


class LostPrimaryTest(UnfencedCase):
    def test_the_claim_bans_the_lost_primary_and_names_the_voters(self) -> None:
        self.lose_primary()
        self.confirm()
        self.assertEqual(self.of(WriteClaim), [WriteClaim("p", 0, "", MEMBERS)])

    def test_it_is_told_until_all_know_it_and_then_one_is_promoted_at_once(self) -> None:
        self.lose_and_claim()
        self.assertEqual(self.of(SendClaim)[0], SendClaim(("b", "c")))
        self.know("b")
        self.wait(0.2)
        self.assertEqual(self.of(SendClaim)[-1], SendClaim(("c",)))
        self.assertEqual(self.of(Promote), [])
        self.know("c")
        self.assertEqual([(e.database, e.fencing_token) for e in self.of(Promote)], [("r2", 20)])  # type: ignore[union-attr]

    def test_one_that_does_not_answer_is_outwaited(self) -> None:
        self.lose_and_claim()
        self.know("b")
        self.wait(LEASE_SECONDS - 0.1)
        self.assertEqual(self.of(Promote), [])
        self.wait(0.2)
        self.assertEqual(len(self.of(Promote)), 1)

    def test_the_last_holder_waits_for_its_row_too(self) -> None:
        self.handle(ClaimSeen(Claim("a", "", 5)))
        self.lose_primary()
        self.confirm()
        self.wait(1.0)
        self.assertEqual(self.of(Promote), [])
        self.assertEqual(self.failover.phase, Phase.CLAIMING)

    def test_nothing_is_ordered_once_another_may_hold_a_newer_claim(self) -> None:
        self.lose_and_claim()
        self.is_store_up = False
        self.know("b")
        self.wait(LEASE_SECONDS + 1.0)
        self.assertEqual(self.of(Promote), [])

    def test_an_order_carries_the_time_until_which_it_may_leave(self) -> None:
        self.lose_and_claim()
        self.know("b", "c")
        self.assertEqual(self.of(Promote)[0].not_after, self.now + LEASE_SECONDS)  # type: ignore[union-attr]

    def test_the_store_holds_the_order_before_it_is_given(self) -> None:
        self.lose_primary()
        self.confirm()
        self.see(self.last_write())
        self.tell(r1=4, r2=6)
        self.assertEqual(self.last_write(), WriteClaim("p", 10, "r2", MEMBERS, (MEMBERS,), "r2"))
        self.know("b", "c")
        self.wait(1.0)
        self.assertEqual(self.of(Promote), [])
        self.see(self.last_write())
        self.assertEqual([e.database for e in self.of(Promote)], ["r2"])  # type: ignore[union-attr]

    def test_the_next_holder_orders_the_same_database(self) -> None:
        self.see(WriteClaim("p", 0, "r1", MEMBERS, (), "r1"), holder="b")
        self.wait(9.0)
        self.see(self.last_write())
        self.tell(r1=4, r2=6)
        self.assertEqual(self.last_write().ordered, "r1")

    def test_one_that_leads_by_the_last_order_is_ordered_again(self) -> None:
        self.see(WriteClaim("", 0, "r1", MEMBERS, (), "r1"), holder="b")
        self.wait(9.0)
        self.see(self.last_write())
        self.handle(StatusRead("r1", DatabaseStatus(True, 4, LogPosition(4, 4))))
        self.tell(r2=6)
        self.wait(0.5)
        self.assertEqual(self.last_write().ordered, "r1")
        self.assertEqual(self.of(StepDown), [])

    def test_one_that_leads_by_no_order_steps_down_before_it_is_chosen(self) -> None:
        self.see(WriteClaim("", 0, "r1", MEMBERS, (), "r1"), holder="b")
        self.view = self.view.without("r1").without("r2")
        self.wait(9.0)
        self.see(self.last_write())
        self.tell(p=9)
        self.wait(1.0)
        self.assertIn(StepDown("p", 2), self.effects)
        self.assertNotEqual(self.last_write().ordered, "p")
        self.handle(SteppedDown("p", DatabaseStatus(False, 2, LogPosition(1, 9))))
        self.wait(0.1)
        self.assertEqual(self.last_write().ordered, "p")

    def test_one_that_has_told_nothing_may_lead_still_and_is_not_chosen(self) -> None:
        self.lose_primary()
        self.confirm()
        self.see(self.last_write())
        self.wait(3.0)
        self.assertEqual(self.last_write().ordered, "")
        self.assertEqual(self.failover.phase, Phase.CHOOSING)

    def test_a_lead_of_an_older_term_is_not_the_one_ordered(self) -> None:
        self.lose_and_claim()
        self.know("b", "c")
        self.handle(StatusRead("r2", DatabaseStatus(True, 1, LogPosition(1, 6))))
        self.assertEqual(self.failover.phase, Phase.PROMOTING)

    def test_it_is_not_over_before_the_chosen_one_leads(self) -> None:
        self.lose_and_claim()
        self.announce("r2", "primary")
        self.know("b", "c")
        self.assertEqual(self.failover.phase, Phase.PROMOTING)
        self.handle(StatusRead("r2", DatabaseStatus(True, 2, LogPosition(2, 6))))
        self.assertEqual(self.failover.phase, Phase.STEADY)

    def test_the_leader_of_the_newest_claim_is_tried_before_a_new_claim(self) -> None:
        self.see(WriteClaim("", 0, "r1", MEMBERS), holder="b")
        self.wait(1.5)
        self.assertIn(TryLeader("r1"), self.effects)
        self.assertEqual(self.of(WriteClaim), [])

    def test_a_primary_that_another_replaces_just_now_is_left_to_it(self) -> None:
        self.see(WriteClaim("p", 0, "p", MEMBERS), holder="b")
        self.announce("p", "primary", draining=True)
        self.wait(2.5)
        self.assertEqual(self.of(WriteClaim), [])
        self.assertEqual(self.failover.phase, Phase.FOLLOWING)

    def test_an_overtaken_holder_follows(self) -> None:
        self.lose_and_claim()
        self.token += 10
        self.handle(ClaimSeen(Claim("b", "p", self.token, "")))
        self.wait(2.0)
        self.assertEqual(self.failover.phase, Phase.FOLLOWING)
        self.assertEqual(self.of(Promote), [])

    def test_a_process_alone_never_claims(self) -> None:
        self.lose_primary()
        self.wait(20.0)
        self.assertEqual([e for e in self.replacements() if e.replaced], [])  # type: ignore[union-attr]

    def test_without_more_than_half_of_the_voters_the_ban_is_taken_back(self) -> None:
        self.see(WriteClaim("", 0, None, ("a", "b", "c", "d", "e")), holder="b")
        self.lose_primary()
        self.confirm()
        self.wait(1.0)
        self.see(self.last_write())
        self.tell(r1=4, r2=6)
        self.wait(7.0)
        self.assertEqual(self.of(Promote), [])
        withdrawal = self.last_write()
        self.assertEqual((withdrawal.replaced, withdrawal.leader), ("", "p"))

    def test_a_claim_whose_holder_is_lost_is_brought_to_an_end(self) -> None:
        self.see(WriteClaim("p", 0, "", MEMBERS), holder="b")
        self.assertEqual(self.failover.phase, Phase.FOLLOWING)
        self.wait(3.0)
        self.assertEqual(self.of(WriteClaim), [])
        self.wait(5.0)
        self.assertEqual(self.last_write().replaced, "p")

    def test_the_reached_primary_is_kept(self) -> None:
        self.lose_primary()
        self.handle(IndirectProbeReported("b", "p", True))
        self.wait(10.0)
        self.assertEqual([e for e in self.replacements() if e.replaced], [])  # type: ignore[union-attr]


class LeavingPrimaryTest(UnfencedCase):
    def plan(self) -> None:
        self.announce("p", "primary", draining=True)
        self.wait(0.5)
        self.see(self.last_write())
        self.know("b", "c")

    def test_it_steps_down_before_another_is_promoted(self) -> None:
        self.plan()
        self.assertEqual(self.last_write().leader, "p")
        self.tell(r1=4, r2=9, p=9)
        self.see(self.last_write())
        self.assertEqual(self.of(StepDown), [StepDown("p", 2)])
        self.assertEqual(self.of(Promote), [])
        self.handle(SteppedDown("p", DatabaseStatus(False, 2, LogPosition(1, 9))))
        self.assertEqual([e.database for e in self.of(Promote)], ["r2"])  # type: ignore[union-attr]

    def test_before_that_all_know_that_it_leaves(self) -> None:
        self.announce("p", "primary", draining=True)
        self.wait(0.5)
        self.see(self.last_write())
        self.tell(r1=4, r2=9, p=9)
        self.see(self.last_write())
        self.wait(0.5)
        self.assertEqual(self.of(StepDown), [])
        self.know("b", "c")
        self.assertEqual(self.of(StepDown), [StepDown("p", 2)])

    def test_the_successor_first_receives_the_last_commits(self) -> None:
        self.plan()
        self.tell(r1=4, r2=9, p=9)
        self.see(self.last_write())
        self.handle(SteppedDown("p", DatabaseStatus(False, 2, LogPosition(1, 12))))
        self.wait(0.2)
        self.assertEqual(self.of(Promote), [])
        self.tell(r2=12)
        self.assertEqual([e.database for e in self.of(Promote)], ["r2"])  # type: ignore[union-attr]

    def test_of_one_that_does_not_answer_all_know_that_it_leads_no_more(self) -> None:
        self.plan()
        self.tell(r1=4, r2=9, p=9)
        self.see(self.last_write())
        self.know("b", "c")
        self.wait(0.8)
        self.assertEqual(self.of(Promote), [])
        self.wait(0.5)
        self.assertEqual([e.fencing_token for e in self.of(Promote)], [20])  # type: ignore[union-attr]

    def test_an_answer_that_it_still_leads_is_no_proof(self) -> None:
        self.plan()
        self.tell(r1=4, r2=9, p=9)
        self.handle(SteppedDown("p", DatabaseStatus(True, 1, LogPosition(1, 9))))
        self.assertEqual(self.of(Promote), [])


class StandingVotersTest(UnfencedCase):
    def test_the_voters_follow_the_processes_once_these_have_settled(self) -> None:
        self.see(WriteClaim("", 0, None, ("a",)), holder="b")
        self.wait(0.8)
        self.assertEqual(self.of(WriteClaim), [])
        self.wait(8.0)
        self.assertEqual(self.of(WriteClaim)[0], WriteClaim("", 10, None, MEMBERS, (("a",),)))

    def test_the_earlier_voters_are_dropped_once_they_know(self) -> None:
        self.see(WriteClaim("", 0, None, MEMBERS, (("x", "y", "z"),)))
        self.wait(9.0)
        self.assertEqual(self.of(WriteClaim), [])
        self.know("b", "c")
        self.wait(0.5)
        self.assertEqual(self.last_write().quorums, (MEMBERS,))

    def test_where_all_is_well_nothing_is_written(self) -> None:
        self.see(WriteClaim("", 0, None, MEMBERS, (MEMBERS,)), holder="b")
        self.wait(30.0)
        self.assertEqual(self.of(WriteClaim), [])


class ReachedAgainTest(UnfencedCase):
    def test_a_test_that_succeeds_ends_the_doubt(self) -> None:
        self.lose_primary()
        self.wait(0.5)
        self.handle(ReachTested("p", True))
        self.handle(Ticked())
        self.assertIsNone(self.failover.doubted)


if __name__ == "__main__":
    unittest.main()
