"""Which databases are proven to hold all acknowledged commits of a group, and what waits for it."""

import unittest
from collections.abc import Sequence

from dewledge.core.pooler.failover.candidates import LOST_COPY_TIMEOUT_SECONDS, possible_copies
from dewledge.core.pooler.failover.claim_turn import CLAIM_HOLDER_TIMEOUT_SECONDS
from dewledge.core.pooler.failover.commit_proof import (
    STOP_VALIDITY_SECONDS,
    CommitProof,
    Copies,
)
from dewledge.core.pooler.failover.final_catch_up import FINAL_CATCH_UP_TIMEOUT_SECONDS
from dewledge.core.pooler.failover.group_failover import GroupFailover
from dewledge.core.pooler.failover.lease_release import STEP_DOWN_TIMEOUT_SECONDS
from dewledge.core.pooler.failover.messages import (
    Claim,
    ClaimAcknowledged,
    ClaimReceived,
    DatabaseStatus,
    FailoverEffect,
    FailoverEvent,
    Promote,
    PromotionAnswered,
    ReachTested,
    RegisteredProcesses,
    ReplicationStopped,
    StartReplication,
    StatusRead,
    StepDown,
    SteppedDown,
    StopReplication,
    WriteClaim,
)
from dewledge.core.pooler.failover.phases import PHASE_TIMEOUT_SECONDS
from dewledge.core.pooler.failover.primary_lease import Fencing, PrimaryLease
from dewledge.core.pooler.failover.replication_restart import REPLACEMENT_SECONDS
from dewledge.core.pooler.failover.situation import GroupLog
from dewledge.core.shared.positions import LogPosition
from tests.core.pooler.failover.test_group_failover import MEMBERS, FailoverCase


def at(offset: int, term: int = 1, is_primary: bool = False) -> DatabaseStatus:
    return DatabaseStatus(is_primary, term, LogPosition(term, offset))


class ProofTableTest(unittest.TestCase):
    def proven(
        self,
        statuses: dict[str, int],
        stopped: dict[str, int],
        synchronous_replicas: int = 1,
        final: int | None = None,
    ) -> tuple[str, ...]:
        proof = CommitProof()
        for name, offset in stopped.items():
            proof.add(ReplicationStopped(name, 2, at(offset)), 0.0)
        read = {name: at(offset) for name, offset in statuses.items()}
        position = None if final is None else LogPosition(1, final)
        copies = Copies(("r1", "r2", "r3"), synchronous_replicas)
        return proof.check(copies.names, copies, read, position).proven

    def test_candidates_are_proven_by_final_position_or_by_stopped_replicas(self) -> None:
        read = {"r1": 4, "r2": 6, "r3": 6}
        rows: tuple[tuple[str, dict[str, int], int, int | None, tuple[str, ...]], ...] = (
            ("nothing has stopped", {}, 1, None, ()),
            ("one may still receive", {"r1": 4}, 1, None, ()),
            ("the others have stopped", {"r1": 4, "r2": 6}, 1, None, ("r3",)),
            ("all have stopped", {"r1": 4, "r2": 6, "r3": 6}, 1, None, ("r2", "r3")),
            ("one alone cannot acknowledge", {"r1": 4}, 2, None, ("r2", "r3")),
            ("one that stopped has more", {"r1": 9, "r2": 6, "r3": 6}, 1, None, ()),
            ("the primary stepped down", {}, 1, 6, ("r2", "r3")),
            ("the primary's last commit is missing", {}, 1, 7, ()),
        )
        for name, stopped, required, final, expected in rows:
            with self.subTest(name):
                self.assertEqual(self.proven(read, stopped, required, final), expected)

    def test_database_without_status_is_not_proven(self) -> None:
        self.assertEqual(self.proven({"r1": 4}, {"r1": 4, "r2": 4, "r3": 4}), ("r1",))

    def test_answer_that_shows_no_stop_does_not_count(self) -> None:
        for status in (None, at(6, is_primary=True), at(6, term=2)):
            proof = CommitProof()
            proof.add(ReplicationStopped("r2", 2, status), 0.0)
            check = proof.check(("r1",), Copies(("r1", "r2"), 1), {"r1": at(6)}, None)
            self.assertEqual((check.proven, check.unknown), ((), ("r1", "r2")), status)


class SynchronousCase(FailoverCase):
    synchronous_replicas: int | None = 1
    proven: LogPosition | None = None

    def handle_with(
        self, event: FailoverEvent, members: Sequence[str], registered: RegisteredProcesses
    ) -> Sequence[FailoverEffect]:
        log = GroupLog(self.synchronous_replicas)
        effects = self.failover.handle(event, self.view, members, self.now, registered, log)
        self.effects += effects
        return effects

    def report(self, **offsets: int) -> None:
        for name, offset in offsets.items():
            self.handle(StatusRead(name, at(offset, is_primary=name == "p")))

    def stop(self, **offsets: int) -> None:
        for name, offset in offsets.items():
            self.handle(ReplicationStopped(name, 2, at(offset)))

    def claim_lost_primary(self) -> None:
        self.lose_primary()
        self.confirm_loss()
        self.handle(ClaimReceived(Claim("a", "p", 7)))

    def claim_draining_primary(self) -> None:
        self.register_database("p", "primary", draining=True)
        self.advance(0.5)
        self.handle(ClaimReceived(Claim("a", "p", 7)))

    def promoted(self) -> list[str]:
        return [effect.database for effect in self.effects if isinstance(effect, Promote)]


class LostPrimaryTest(SynchronousCase):
    def test_replicas_stop_replication_before_the_promotion(self) -> None:
        self.claim_lost_primary()
        self.report(r1=4, r2=6)
        self.assertEqual(
            self.effects_of(StopReplication), [StopReplication("r1", 2), StopReplication("r2", 2)]
        )
        self.assertEqual(self.promoted(), [])
        self.stop(r1=4)
        self.assertEqual(self.promoted(), ["r2"])

    def test_replica_that_received_more_after_its_status_is_promoted(self) -> None:
        self.claim_lost_primary()
        self.report(r1=4, r2=6)
        self.stop(r1=9)
        self.assertEqual(self.promoted(), [])
        self.stop(r2=6)
        self.assertEqual(self.promoted(), ["r1"])

    def test_group_waits_for_a_silent_replica_and_replication_starts_again(self) -> None:
        """Guards against a promotion without a replica that may hold acknowledged commits."""
        self.claim_lost_primary()
        self.report(r1=4)
        self.advance(0.4)
        self.stop(r1=4)
        self.advance(PHASE_TIMEOUT_SECONDS + 0.5)
        self.assertEqual(self.promoted(), [])
        self.assertIn("no_candidate", [event.reason for event in self.events])
        self.assertEqual(
            self.effects_of(StartReplication), [StartReplication("r1"), StartReplication("r2")]
        )

    def test_commits_of_a_refused_candidate_still_count(self) -> None:
        self.claim_lost_primary()
        self.report(r1=4, r2=6)
        self.stop(r1=4, r2=6)
        self.handle(PromotionAnswered("r2", False, True))
        self.advance(1.0)
        self.assertEqual(set(self.promoted()), {"r2"})

    def test_only_replica_needs_no_stop(self) -> None:
        self.view = self.view.without("r2")
        self.claim_lost_primary()
        self.report(r1=4)
        self.assertEqual(self.promoted(), ["r1"])

    def test_departed_replica_is_awaited_until_it_answers(self) -> None:
        """Guards against lost commits: it acknowledges them until it ends."""
        self.view = self.view.with_departure("r2", 99, self.now)
        self.claim_lost_primary()
        self.report(r1=4)
        self.advance(0.5)
        self.assertEqual(self.promoted(), [])
        self.stop(r1=4, r2=4)
        self.advance(0.2)
        self.assertEqual(self.promoted()[:1], ["r1"])

    def test_departed_replica_that_never_answers_is_given_up(self) -> None:
        """Guards against a group without a primary because of a database lost long before."""
        self.view = self.view.with_departure("r2", 99, self.now - LOST_COPY_TIMEOUT_SECONDS)
        self.claim_lost_primary()
        self.report(r1=4)
        self.advance(0.5)
        self.assertEqual(self.promoted()[:1], ["r1"])

    def test_check_is_logged_once_for_each_result(self) -> None:
        self.claim_lost_primary()
        self.report(r1=4, r2=6)
        self.advance(0.2)
        self.stop(r1=4)
        found = [(each.proven, each.stopped, each.unknown) for each in self.checks]
        self.assertEqual(found, [("", "", "r1,r2"), ("r2", "r1:1.4", "r2")])

    def test_copy_is_given_up_after_its_entry_is_gone(self) -> None:
        self.view = self.view.with_departure("r2", 99, self.now)
        before = self.now + LOST_COPY_TIMEOUT_SECONDS - 0.1
        self.assertEqual(possible_copies(self.view, "p", before), ["r1", "r2"])
        self.assertEqual(possible_copies(self.view, "p", before + 0.1), ["r1"])

    def test_replica_that_received_more_after_it_stopped_is_asked_again(self) -> None:
        """Guards against a proof by a replica that another process had receive again."""
        self.claim_lost_primary()
        self.report(r1=4)
        self.advance(0.4)
        self.stop(r1=4)
        self.report(r1=5, r2=4)
        self.assertEqual(self.promoted(), [])
        self.advance(0.2)
        self.stop(r1=5)
        self.assertEqual(self.promoted(), [])
        self.stop(r2=4)
        self.assertEqual(self.promoted(), ["r1"])

    def test_answer_counts_for_a_limited_time(self) -> None:
        self.claim_lost_primary()
        self.report(r1=4)
        self.advance(0.4)
        self.stop(r1=4)
        self.advance(STOP_VALIDITY_SECONDS + 0.1)
        self.report(r2=4)
        self.assertEqual(self.promoted(), [])

    def test_holder_acts_only_under_a_claim_that_the_store_holds(self) -> None:
        self.handle(ClaimReceived(Claim("a", "x", 5)))
        self.lose_primary()
        self.confirm_loss()
        self.report(r1=4, r2=4)
        self.advance(1.0)
        self.assertEqual(self.effects_of(StopReplication), [])
        self.handle(ClaimReceived(Claim("a", "p", 8)))
        self.assertEqual(len(self.effects_of(StopReplication)), 2)


class PlannedChangeTest(SynchronousCase):
    def test_primary_steps_down_before_the_promotion(self) -> None:
        """Guards against commits that are acknowledged while a promotion takes effect."""
        self.claim_draining_primary()
        self.report(r1=9, r2=9, p=9)
        self.assertEqual(self.effects_of(StepDown), [StepDown("p", 2)])
        self.assertEqual(self.promoted(), [])
        self.handle(SteppedDown("p", at(9)))
        self.assertEqual(self.promoted(), ["r2"])

    def test_replica_with_the_last_commits_is_promoted(self) -> None:
        self.claim_draining_primary()
        self.report(r1=9, r2=9, p=9)
        self.handle(SteppedDown("p", at(12)))
        self.advance(0.3)
        self.assertEqual(self.promoted(), [])
        self.report(r1=12)
        self.assertEqual(self.promoted(), ["r1"])

    def test_replicas_stop_if_none_receives_the_last_commits(self) -> None:
        self.claim_draining_primary()
        self.report(r1=9, r2=9, p=9)
        self.handle(SteppedDown("p", at(12)))
        self.advance(FINAL_CATCH_UP_TIMEOUT_SECONDS + 0.1)
        self.stop(r1=10, r2=9)
        self.assertEqual(self.promoted(), ["r1"])

    def test_replicas_stop_if_the_primary_does_not_step_down(self) -> None:
        self.claim_draining_primary()
        self.report(r1=9, r2=9, p=9)
        self.advance(STEP_DOWN_TIMEOUT_SECONDS - 0.1)
        self.assertEqual(self.effects_of(StopReplication), [])
        self.advance(0.3)
        self.stop(r1=9, r2=9)
        self.assertEqual(self.promoted(), ["r2"])


class UnfencedPlannedChangeTest(SynchronousCase):
    def setUp(self) -> None:
        super().setUp()
        self.lease = PrimaryLease(Fencing.PROCESSES)
        self.failover = GroupFailover("menus", "a", self.record, self.lease)
        self.token = 0

    def handle(
        self, event: FailoverEvent, members: Sequence[str] = MEMBERS
    ) -> Sequence[FailoverEffect]:
        self.lease.confirm(self.now)
        registered = RegisteredProcesses(frozenset(MEMBERS), self.token)
        return self.handle_with(event, members, registered)

    def store_claim(self) -> None:
        write = self.effects_of(WriteClaim)[-1]
        assert isinstance(write, WriteClaim)
        self.token += 10
        claim = Claim("a", write.replaced, self.token, write.leader, write.voters, write.quorums)
        self.handle(ClaimReceived(claim))
        for name in ("b", "c"):
            self.handle(ClaimAcknowledged(name, self.token, "a"))

    def test_order_is_stored_only_for_a_proven_candidate(self) -> None:
        """Guards against an order for a replica that lacks the last commits of the old primary."""
        self.register_database("p", "primary", draining=True)
        self.advance(0.5)
        self.store_claim()
        self.report(r1=9, r2=9, p=9)
        self.assertEqual(self.effects_of(StepDown), [StepDown("p", 2)])
        self.handle(SteppedDown("p", at(12)))
        self.advance(0.3)
        self.assertEqual({each.ordered for each in self.effects_of(WriteClaim)}, {""})  # type: ignore[union-attr]
        self.report(r1=12)
        self.assertEqual(self.effects_of(WriteClaim)[-1].ordered, "r1")  # type: ignore[union-attr]


class AbandonedReplacementTest(SynchronousCase):
    def test_replication_starts_again_when_the_primary_is_reachable(self) -> None:
        """Guards against commits that wait for ever after a process ended in a replacement."""
        self.lose_primary()
        self.advance(1.0)
        self.handle(ReachTested("p", True))
        self.assertEqual(
            self.effects_of(StartReplication), [StartReplication("r1"), StartReplication("r2")]
        )

    def test_replication_stays_stopped_while_another_process_may_replace_the_primary(self) -> None:
        """Guards against replicas that receive again and acknowledge commits after the proof."""
        self.handle(ClaimReceived(Claim("b", "p", 7)))
        self.advance(REPLACEMENT_SECONDS - 1.0)
        self.lose_primary()
        self.handle(ReachTested("p", True))
        self.assertEqual(self.effects_of(StartReplication), [])
        self.advance(1.5)
        self.lose_primary()
        self.handle(ReachTested("p", True))
        self.assertEqual(len(self.effects_of(StartReplication)), 2)

    def test_group_without_synchronous_replicas_gets_no_request(self) -> None:
        self.synchronous_replicas = 0
        self.lose_primary()
        self.handle(ReachTested("p", True))
        self.assertEqual(self.effects_of(StartReplication), [])


class ConcurrentReplacementTest(SynchronousCase):
    def test_active_holder_is_awaited(self) -> None:
        self.handle(ClaimReceived(Claim("b", "p", 7)))
        self.lose_primary()
        self.confirm_loss()
        self.advance(CLAIM_HOLDER_TIMEOUT_SECONDS - 0.5)
        self.assertEqual(self.effects_of(WriteClaim), [])

    def test_no_replacement_starts_before_the_configuration_is_known(self) -> None:
        self.synchronous_replicas = None
        self.lose_primary()
        self.confirm_loss()
        self.advance(5.0)
        self.assertEqual(self.effects, [])
        self.assertEqual(self.events, [])


if __name__ == "__main__":
    unittest.main()
