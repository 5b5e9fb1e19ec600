"""When the failover state machine replaces a primary, and when it leaves the primary in place."""

import unittest
from collections.abc import Sequence

from dewledge.core.pooler.databases.group_view import DatabaseRecord, DatabaseRole, GroupView
from dewledge.core.pooler.failover.candidates import rank_judges
from dewledge.core.pooler.failover.claim_maintenance import STABLE_JUDGES_SECONDS
from dewledge.core.pooler.failover.group_failover import NO_REGISTERED_PROCESSES, GroupFailover
from dewledge.core.pooler.failover.messages import (
    AnnounceLeader,
    AskIndirectProbes,
    CandidatesChecked,
    Claim,
    ClaimReceived,
    ClaimRefused,
    DatabaseStatus,
    FailoverEffect,
    FailoverEvent,
    IndirectProbeReported,
    Phase,
    PhaseChanged,
    PrimarySuspected,
    Promote,
    PromotionAnswered,
    ReachTested,
    ReadStatus,
    RegisteredProcesses,
    StatusRead,
    TestReach,
    Ticked,
    WriteClaim,
)
from dewledge.core.pooler.failover.situation import GroupLog
from dewledge.core.shared.positions import LogPosition
from tests.core.pooler.failover.test_phases import outside_table, undeclared_effects

MEMBERS = ("a", "b", "c")


class FailoverCase(unittest.TestCase):
    local_name = "a"

    def setUp(self) -> None:
        self.now = 1000.0
        self.events: list[PhaseChanged] = []
        self.checks: list[CandidatesChecked] = []
        self.view = GroupView("menus")
        self.revision = 0
        for name, role in (("p", "primary"), ("r1", "replica"), ("r2", "replica")):
            self.register_database(name, role)
        self.failover = GroupFailover("menus", "a", self.record)
        self.effects: list[FailoverEffect] = []

    def record(self, event: PhaseChanged | CandidatesChecked) -> None:
        if isinstance(event, PhaseChanged):
            self.events.append(event)
        else:
            self.checks.append(event)

    def register_database(self, name: str, role: str, draining: bool = False) -> None:
        self.revision += 1
        record = DatabaseRecord(
            name, "menus", "127.0.0.1:1", "z", DatabaseRole(role), draining, 3, self.revision
        )
        self.view = self.view.with_record(record, self.now)

    def handle(
        self, event: FailoverEvent, members: Sequence[str] = MEMBERS
    ) -> Sequence[FailoverEffect]:
        return self.handle_with(event, members, NO_REGISTERED_PROCESSES)

    def handle_with(
        self, event: FailoverEvent, members: Sequence[str], registered: RegisteredProcesses
    ) -> Sequence[FailoverEffect]:
        before, event_count = self.failover.phase, len(self.events)
        effects = self.failover.handle(event, self.view, members, self.now, registered)
        changes = self.events[event_count:]
        self.assertEqual(outside_table(before, changes), [])
        phases = [before, *(change.phase for change in changes)]
        self.assertEqual(undeclared_effects(phases, effects), [])
        self.effects += effects
        return effects

    def advance(self, seconds: float, members: Sequence[str] = MEMBERS) -> list[FailoverEffect]:
        before = len(self.effects)
        for _ in range(round(seconds / 0.05)):
            self.now += 0.05
            self.handle(Ticked(), members)
        return self.effects[before:]

    def lose_primary(self) -> None:
        self.handle(PrimarySuspected("p"))
        self.handle(ReachTested("p", False))

    def confirm_loss(self) -> None:
        for process in ("b", "c"):
            self.handle(IndirectProbeReported(process, "p", False))

    def replacement_claims(self) -> list[FailoverEffect]:
        """Returns the claims to replace the primary, without those of ClaimMaintenance."""
        return [each for each in self.effects_of(WriteClaim) if each != WriteClaim("", 0)]

    def effects_of(self, kind: type[FailoverEffect]) -> list[FailoverEffect]:
        return [effect for effect in self.effects if isinstance(effect, kind)]


class SuspicionTest(FailoverCase):
    def test_reachable_primary_is_not_replaced(self) -> None:
        self.assertEqual(self.handle(PrimarySuspected("p")), [TestReach("p")])
        self.handle(ReachTested("p", True))
        self.advance(10.0)
        self.assertEqual(self.replacement_claims(), [])
        self.assertIsNone(self.failover.suspected)

    def test_primary_reached_by_another_process_is_not_replaced(self) -> None:
        self.lose_primary()
        self.handle(IndirectProbeReported("b", "p", False))
        self.handle(IndirectProbeReported("c", "p", True))
        self.assertEqual(self.failover.phase, Phase.STEADY)
        self.assertEqual(self.failover.suspected, "p")
        self.assertEqual(self.failover.reached_by, "c")
        self.assertEqual(self.replacement_claims(), [])

    def test_check_is_repeated_while_only_this_process_cannot_reach_primary(self) -> None:
        self.lose_primary()
        self.handle(IndirectProbeReported("c", "p", True))
        tests = [e for e in self.advance(1.0) if isinstance(e, TestReach)]
        self.assertGreaterEqual(len(tests), 1)
        self.handle(ReachTested("p", True))
        self.assertIsNone(self.failover.suspected)

    def test_claim_is_written_at_once_if_all_judges_agree(self) -> None:
        self.lose_primary()
        self.confirm_loss()
        self.assertEqual(self.effects_of(AskIndirectProbes), [AskIndirectProbes("p")])
        self.assertEqual(self.replacement_claims(), [WriteClaim("p", 0)])

    def test_majority_of_judges_is_enough_after_a_delay(self) -> None:
        self.lose_primary()
        self.handle(IndirectProbeReported("b", "p", False))
        self.advance(0.3)
        self.assertEqual(self.replacement_claims(), [])
        self.advance(0.2)
        self.assertEqual(len(self.replacement_claims()), 1)

    def test_isolated_process_waits_longer_before_claiming(self) -> None:
        self.lose_primary()
        self.advance(2.3)
        self.assertEqual(self.replacement_claims(), [])
        self.advance(0.4)
        self.assertEqual(len(self.replacement_claims()), 1)

    def test_suspected_replica_starts_no_check(self) -> None:
        self.handle(ClaimReceived(Claim("b", "", 3)))
        self.assertEqual(self.handle(PrimarySuspected("r1")), [])


class ClaimTest(FailoverCase):
    def claim_lost_primary(self, token: int = 7) -> None:
        self.lose_primary()
        self.confirm_loss()
        self.handle(ClaimReceived(Claim("a", "p", token)))

    def test_process_follows_earlier_claim_holder(self) -> None:
        self.lose_primary()
        self.confirm_loss()
        self.handle(ClaimReceived(Claim("b", "p", 7)))
        self.advance(2.0)
        self.assertEqual(self.failover.phase, Phase.FOLLOWING)
        self.assertEqual(self.effects_of(Promote), [])

    def test_holder_without_effect_is_succeeded_by_newer_claim(self) -> None:
        self.lose_primary()
        self.confirm_loss()
        self.handle(ClaimReceived(Claim("b", "p", 7)))
        self.advance(3.1)
        self.lose_primary()
        self.confirm_loss()
        self.advance(1.0)
        self.assertEqual(self.effects_of(WriteClaim)[-1], WriteClaim("p", 7))

    def test_last_holder_promotes_under_its_token_while_store_is_down(self) -> None:
        self.handle(ClaimReceived(Claim("a", "x", 5)))
        self.lose_primary()
        self.confirm_loss()
        self.handle(ClaimRefused())
        self.advance(1.0)
        self.assertEqual(self.effects_of(Promote)[0].fencing_token, 5)  # type: ignore[union-attr]

    def test_last_holder_does_not_wait_for_claim_write(self) -> None:
        self.handle(ClaimReceived(Claim("a", "x", 5)))
        self.lose_primary()
        self.confirm_loss()
        self.assertEqual(self.effects_of(WriteClaim), [WriteClaim("p", 5)])
        self.assertEqual(self.failover.phase, Phase.CHOOSING)

    def test_holder_with_outdated_refused_token_follows(self) -> None:
        self.handle(ClaimReceived(Claim("a", "x", 5)))
        self.lose_primary()
        self.confirm_loss()
        self.handle(StatusRead("r1", DatabaseStatus(False, 1, LogPosition(1, 4))))
        self.advance(0.4)
        self.handle(ClaimReceived(Claim("b", "p", 8)))
        self.handle(PromotionAnswered("r1", False, True))
        self.assertEqual(self.failover.phase, Phase.FOLLOWING)

    def test_new_primary_is_announced_once_it_reports_leading(self) -> None:
        self.claim_lost_primary()
        self.handle(StatusRead("r1", DatabaseStatus(False, 1, LogPosition(1, 4))))
        self.advance(0.6)
        self.assertEqual(self.effects_of(AnnounceLeader), [])
        self.handle(StatusRead("r1", DatabaseStatus(True, 2, LogPosition(2, 4))))
        self.assertEqual(self.effects_of(AnnounceLeader), [AnnounceLeader("r1")])
        self.view = self.view.with_leader("r1")
        self.handle(Ticked())
        self.assertEqual(self.failover.phase, Phase.STEADY)

    def test_process_without_claim_promotes_nothing(self) -> None:
        self.handle(ClaimReceived(Claim("b", "x", 5)))
        self.lose_primary()
        self.confirm_loss()
        for _ in range(20):
            self.advance(0.5)
            self.handle(ClaimRefused())
        self.assertEqual(self.effects_of(Promote), [])

    def test_replica_with_highest_position_is_promoted(self) -> None:
        self.claim_lost_primary()
        self.assertEqual(self.effects_of(ReadStatus), [ReadStatus("r1"), ReadStatus("r2")])
        self.handle(StatusRead("r1", DatabaseStatus(False, 1, LogPosition(1, 4))))
        self.handle(StatusRead("r2", DatabaseStatus(False, 1, LogPosition(1, 6))))
        self.assertEqual(self.effects_of(Promote), [Promote("r2", 7)])

    def test_missing_status_delays_promotion_briefly(self) -> None:
        self.claim_lost_primary()
        self.handle(StatusRead("r1", DatabaseStatus(False, 1, LogPosition(1, 4))))
        self.advance(0.2)
        self.assertEqual(self.effects_of(Promote), [])
        self.advance(0.2)
        self.assertEqual(self.effects_of(Promote), [Promote("r1", 7)])

    def test_unanswered_promotion_is_retried_under_same_token(self) -> None:
        self.claim_lost_primary()
        self.handle(StatusRead("r1", DatabaseStatus(False, 1, LogPosition(1, 4))))
        self.advance(2.0)
        promotions = self.effects_of(Promote)
        self.assertGreaterEqual(len(promotions), 2)
        self.assertEqual(set(promotions), {Promote("r1", 7)})

    def test_token_refused_for_two_databases_is_not_reused(self) -> None:
        self.handle(ClaimReceived(Claim("a", "", 7)))
        self.lose_primary()
        self.confirm_loss()
        for _ in range(2):
            self.advance(1.0)
            (*_, promote) = self.effects_of(Promote)
            self.handle(PromotionAnswered(promote.database, False, True))
        self.assertIs(self.failover.phase, Phase.FOLLOWING)
        calls = len(self.effects_of(Promote))
        self.effects.clear()
        for _ in range(5):
            self.handle(PrimarySuspected("p"))
            self.handle(ReachTested("p", False))
            self.confirm_loss()
            self.advance(2.0)
        self.assertGreaterEqual(calls, 2)
        self.assertEqual(self.effects_of(Promote), [])
        self.assertIn(WriteClaim("p", 7), self.effects_of(WriteClaim))
        self.handle(ClaimReceived(Claim("a", "p", 9)))
        self.advance(3.0)
        self.assertEqual({each.fencing_token for each in self.effects_of(Promote)}, {9})

    def test_refused_candidate_is_not_retried(self) -> None:
        self.claim_lost_primary()
        for name in ("r1", "r2"):
            self.handle(StatusRead(name, DatabaseStatus(False, 1, LogPosition(1, 4))))
        first = self.effects_of(Promote)[0].database  # type: ignore[union-attr]
        self.handle(PromotionAnswered(first, False, True))
        self.assertNotEqual(self.effects_of(Promote)[-1].database, first)  # type: ignore[union-attr]

    def test_failover_ends_when_another_primary_is_known(self) -> None:
        self.claim_lost_primary()
        self.handle(StatusRead("r1", DatabaseStatus(False, 1, LogPosition(1, 4))))
        self.advance(0.4)
        self.register_database("r1", "primary")
        self.handle(Ticked())
        self.assertEqual(self.failover.phase, Phase.STEADY)
        self.assertIsNone(self.failover.suspected)


class ClaimMaintenanceTest(FailoverCase):
    def test_single_process_claims_healthy_group(self) -> None:
        writers = []
        for name in MEMBERS:
            failover = GroupFailover("menus", name, self.record)
            for now in (self.now, self.now + STABLE_JUDGES_SECONDS):
                effects = failover.handle(Ticked(), self.view, MEMBERS, now)
                writers += [name for effect in effects if isinstance(effect, WriteClaim)]
        self.assertEqual(len(writers), 1)

    def test_new_process_claims_nothing_before_others_are_known(self) -> None:
        known_processes = (
            (0.0, ["c"]),
            (0.1, ["b", "c"]),
            (0.2, MEMBERS),
            (0.2 + 2 * STABLE_JUDGES_SECONDS, MEMBERS),
        )
        for name in MEMBERS[1:]:
            failover = GroupFailover("menus", name, self.record)
            for after, members in known_processes:
                effects = failover.handle(Ticked(), self.view, members, self.now + after)
                self.assertEqual(effects, [], (name, after))

    def test_no_claim_is_written_if_another_process_holds_one(self) -> None:
        self.handle(ClaimReceived(Claim("b", "", 3)))
        self.advance(20.0)
        self.assertEqual(self.effects_of(WriteClaim), [])

    def test_claim_that_replaces_no_primary_is_not_followed(self) -> None:
        self.lose_primary()
        self.handle(ClaimReceived(Claim("b", "", 3)))
        self.assertEqual(self.failover.phase, Phase.CHECKING)


class JudgesTest(unittest.TestCase):
    def test_judges_are_few_and_the_same_on_all_processes(self) -> None:
        members = [f"node-{number}" for number in range(850)]
        first = rank_judges("menus", members)
        self.assertEqual(len(first), 15)
        self.assertEqual(first, rank_judges("menus", reversed(members)))
        self.assertNotEqual(first, rank_judges("permits", members))
        self.assertEqual(sorted(rank_judges("menus", members[:7])), members[:7])

    def test_process_outside_judges_claims_last(self) -> None:
        view = GroupView("menus")
        record = DatabaseRecord("p", "menus", "x", "z", DatabaseRole.PRIMARY, False, 3, 1)
        other = DatabaseRecord("r", "menus", "x", "z", DatabaseRole.REPLICA, False, 3, 2)
        view = view.with_record(record, 0.0).with_record(other, 0.0)
        leaving = DatabaseRecord("p", "menus", "x", "z", DatabaseRole.PRIMARY, True, 3, 3)
        view = view.with_record(leaving, 0.0)
        failover = GroupFailover("menus", "outsider", lambda _: None)
        for step in range(5):
            self.assertEqual(failover.handle(Ticked(), view, MEMBERS, step * 0.04), [])


class PlannedReplacementTest(FailoverCase):
    def test_draining_primary_is_replaced_without_check(self) -> None:
        self.register_database("p", "primary", draining=True)
        self.advance(0.5)
        self.assertEqual(len(self.replacement_claims()), 1)
        self.assertEqual(self.effects_of(TestReach), [])

    def claim_draining_primary(self) -> None:
        self.register_database("p", "primary", draining=True)
        self.advance(0.5)
        self.handle(ClaimReceived(Claim("a", "p", 7)))

    def report_positions(self, **offsets: int) -> None:
        for name, offset in offsets.items():
            status = DatabaseStatus(name == "p", 1, LogPosition(1, offset))
            self.handle(StatusRead(name, status))

    def test_candidate_catches_up_before_promotion(self) -> None:
        self.claim_draining_primary()
        self.report_positions(r1=4, r2=6, p=9)
        self.advance(0.2)
        self.assertEqual(self.effects_of(Promote), [])
        self.report_positions(r1=4, r2=9, p=9)
        self.assertEqual(self.effects_of(Promote), [Promote("r2", 7)])

    def test_candidate_is_promoted_after_catch_up_timeout(self) -> None:
        self.claim_draining_primary()
        for _ in range(30):
            self.report_positions(r1=4, r2=6, p=9)
            self.advance(0.1)
        self.assertEqual(set(self.effects_of(Promote)), {Promote("r2", 7)})

    def lag_behind_draining_primary(self, seconds: float, serves: float, answers: bool) -> None:
        """Lets a candidate stay behind a primary that gets work for `serves` seconds."""
        self.claim_draining_primary()
        end = self.now + serves
        log = GroupLog(serves_until=lambda _name: end)
        for _ in range(round(seconds / 0.1)):
            self.now += 0.1
            statuses = {"r1": 4, "r2": 6, "p": 9}
            for name, offset in statuses.items():
                status: DatabaseStatus | None = DatabaseStatus(
                    name == "p", 1, LogPosition(1, offset)
                )
                if name == "p" and not answers and self.now > end - serves + 0.5:
                    status = None
                event = StatusRead(name, status)
                handle = self.failover.handle
                effects = handle(event, self.view, MEMBERS, self.now, NO_REGISTERED_PROCESSES, log)
                self.effects += effects

    def test_candidate_that_lags_is_awaited_while_the_draining_primary_serves(self) -> None:
        """Guards against a planned change that rolls back commits though nothing presses."""
        self.lag_behind_draining_primary(2.8, 5.0, answers=True)
        self.assertEqual(self.effects_of(Promote), [])
        self.lag_behind_draining_primary(3.2, 5.0, answers=True)
        self.assertEqual(set(self.effects_of(Promote)), {Promote("r2", 7)})

    def test_silent_draining_primary_is_not_awaited_longer(self) -> None:
        self.lag_behind_draining_primary(2.8, 8.0, answers=False)
        self.assertEqual(set(self.effects_of(Promote)), {Promote("r2", 7)})

    def test_lost_primary_is_not_asked_for_status(self) -> None:
        self.lose_primary()
        self.confirm_loss()
        self.handle(ClaimReceived(Claim("a", "p", 7)))
        self.assertNotIn(ReadStatus("p"), self.effects)

    def test_primary_with_removed_entry_is_replaced_after_timeout(self) -> None:
        self.view = self.view.with_departure("p", 99, self.now)
        self.advance(1.0)
        self.assertEqual(self.replacement_claims(), [])
        self.advance(1.0)
        self.assertEqual(len(self.replacement_claims()), 1)

    def test_primary_whose_entry_returns_is_not_replaced(self) -> None:
        self.view = self.view.with_departure("p", 99, self.now)
        self.advance(1.0)
        self.revision = 100
        self.register_database("p", "primary")
        self.advance(3.0)
        self.assertEqual(self.replacement_claims(), [])

    def test_no_claim_is_written_without_another_database(self) -> None:
        self.view = self.view.without("r1").without("r2")
        self.register_database("p", "primary", draining=True)
        self.advance(3.0)
        self.assertEqual(self.replacement_claims(), [])

    def test_group_without_known_primary_is_claimed(self) -> None:
        self.view = self.view.with_refuted("p")
        self.advance(2.0)
        self.assertEqual(self.effects_of(WriteClaim), [])
        self.advance(1.0)
        self.assertEqual(self.effects_of(WriteClaim), [WriteClaim("", 0)])


class ConcurrentClaimsTest(FailoverCase):
    def test_only_one_process_promotes_under_each_token(self) -> None:
        contenders = {name: GroupFailover("menus", name, self.record) for name in MEMBERS}
        promotions = []
        row: Claim | None = None
        for step in range(200):
            self.now += 0.05
            for name, contender in contenders.items():
                events: list[FailoverEvent] = [Ticked()]
                if step == 0:
                    events = [PrimarySuspected("p"), ReachTested("p", False)]
                    events += [IndirectProbeReported(w, "p", False) for w in MEMBERS if w != name]
                if row is not None:
                    events.append(ClaimReceived(row))
                for event in events:
                    for effect in contender.handle(event, self.view, MEMBERS, self.now):
                        if isinstance(effect, WriteClaim):
                            if effect.expected == (0 if row is None else row.fencing_token):
                                row = Claim(name, "p", step + 1)
                            else:
                                contender.handle(ClaimRefused(), self.view, MEMBERS, self.now)
                        if isinstance(effect, Promote):
                            promotions.append((name, effect.fencing_token))
        holders: dict[int, set[str]] = {}
        for name, token in promotions:
            holders.setdefault(token, set()).add(name)
        self.assertTrue(promotions)
        self.assertTrue(all(len(names) == 1 for names in holders.values()), holders)


if __name__ == "__main__":
    unittest.main()
