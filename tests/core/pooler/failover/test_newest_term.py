"""A database that does not follow the newest term is promoted only if none that does comes back."""

from collections.abc import Sequence

from dewledge.core.pooler.failover.candidates import LOST_TERM_TIMEOUT_SECONDS, following_databases
from dewledge.core.pooler.failover.claim_maintenance import CLAIM_WRITE_INTERVAL_SECONDS
from dewledge.core.pooler.failover.messages import (
    Claim,
    ClaimReceived,
    DatabaseStatus,
    FailoverEffect,
    FailoverEvent,
    IndirectProbeReported,
    Phase,
    PrimarySuspected,
    Promote,
    ReachTested,
    ReadStatus,
    RegisteredProcesses,
    StatusRead,
    Ticked,
    WriteClaim,
)
from dewledge.core.pooler.failover.situation import GroupLog
from dewledge.core.shared.positions import LogPosition
from tests.core.pooler.failover.test_group_failover import FailoverCase


def at(term: int, offset: int, is_primary: bool = False) -> DatabaseStatus:
    return DatabaseStatus(is_primary, term, LogPosition(term, offset))


class NewestTermCase(FailoverCase):
    """The primary "p" leads term 3; `observed`: the terms in the last answers of databases."""

    def setUp(self) -> None:
        super().setUp()
        self.newest_term = 3
        self.observed: dict[str, int] = {}

    def handle_with(
        self, event: FailoverEvent, members: Sequence[str], registered: RegisteredProcesses
    ) -> Sequence[FailoverEffect]:
        log = GroupLog(newest_term=self.newest_term, observed_term=self.term_of)
        effects = self.failover.handle(event, self.view, members, self.now, registered, log)
        self.effects += effects
        return effects

    def term_of(self, name: str) -> int:
        return self.observed.get(name, 0)

    def claim_lost_primary(self, term: int = 0) -> None:
        self.lose_primary()
        self.confirm_loss()
        self.handle(ClaimReceived(Claim("a", "p", 7, term=term)))

    def promoted(self) -> list[str]:
        return [effect.database for effect in self.effects if isinstance(effect, Promote)]

    def keep_reporting(self, seconds: float, **statuses: DatabaseStatus) -> None:
        """Has databases answer each request for a status, and the claim stored, for a while."""
        answered = len(self.effects)
        for _ in range(round(seconds / 0.05)):
            self.advance(0.05)
            requests, answered = self.effects[answered:], len(self.effects)
            for effect in requests:
                if isinstance(effect, ReadStatus) and effect.database in statuses:
                    self.handle(StatusRead(effect.database, statuses[effect.database]))
            if self.failover.phase is Phase.STEADY:
                self.lose_primary()
                self.confirm_loss()


class LostPrimaryTest(NewestTermCase):
    def test_database_of_an_older_term_is_not_promoted_while_another_may_return(self) -> None:
        """Guards against a failover that brings back commits which an earlier one rolled back."""
        self.claim_lost_primary()
        self.keep_reporting(8.0, r1=at(2, 71))
        self.assertEqual(self.promoted(), [])

    def test_database_of_the_newest_term_is_promoted_with_the_lower_offset(self) -> None:
        self.claim_lost_primary()
        self.handle(StatusRead("r1", at(2, 71)))
        self.handle(StatusRead("r2", at(3, 65)))
        self.assertEqual(self.promoted(), ["r2"])

    def test_term_that_the_store_names_counts(self) -> None:
        """Guards against a process that started after the last change of the primary."""
        self.newest_term = 0
        self.claim_lost_primary(term=3)
        self.keep_reporting(2.0, r1=at(2, 71))
        self.assertEqual(self.promoted(), [])

    def test_database_of_an_older_term_is_promoted_after_the_timeout(self) -> None:
        """Guards against a group that stays without a primary for good."""
        self.claim_lost_primary()
        self.keep_reporting(LOST_TERM_TIMEOUT_SECONDS - 1.0, r1=at(2, 71), r2=at(2, 70))
        self.assertEqual(self.promoted(), [])
        self.keep_reporting(9.0, r1=at(2, 71), r2=at(2, 70))
        self.assertEqual(set(self.promoted()), {"r1"})

    def test_group_keeps_the_old_primary_when_it_answers_again(self) -> None:
        self.claim_lost_primary()
        self.handle(StatusRead("r1", at(2, 71)))
        self.advance(0.5)
        self.assertIn(ReadStatus("p"), self.effects)
        self.handle(StatusRead("p", at(3, 80, is_primary=True)))
        self.assertEqual(self.events[-1].reason, "returned")
        self.assertIsNone(self.failover.suspected)
        self.assertEqual(self.promoted(), [])

    def test_replica_that_follows_after_a_while_is_promoted(self) -> None:
        self.claim_lost_primary()
        self.keep_reporting(1.0, r1=at(2, 71))
        self.keep_reporting(0.5, r1=at(3, 65))
        self.assertEqual(set(self.promoted()), {"r1"})

    def test_check_is_logged_with_the_terms(self) -> None:
        self.claim_lost_primary()
        self.handle(StatusRead("r1", at(2, 71)))
        self.advance(0.4)
        check = self.checks[-1]
        self.assertEqual(
            (check.statuses, check.newest_term, check.following), ("r1:replica:2:2.71", 3, "")
        )


class EarlierFailoverTest(NewestTermCase):
    """Two failovers in a row: "r1" takes over in term 4, and is lost before any other answer."""

    def promote_r1(self) -> None:
        self.claim_lost_primary()
        self.handle(StatusRead("r1", at(3, 65)))
        self.handle(StatusRead("r2", at(3, 64)))
        self.assertEqual(self.promoted(), ["r1"])

    def lose_r1(self) -> None:
        self.advance(1.0)
        self.handle(PrimarySuspected("r1"))
        self.handle(ReachTested("r1", False))
        for process in ("b", "c"):
            self.handle(IndirectProbeReported(process, "r1", False))

    def test_term_of_a_status_counts_in_the_next_failover(self) -> None:
        """Guards against a holder that forgets the term in which its own candidate led."""
        self.promote_r1()
        self.handle(StatusRead("r1", at(4, 65, is_primary=True)))
        self.view = self.view.with_leader("r1")
        self.handle(Ticked())
        self.lose_r1()
        self.assertIs(self.failover.phase, Phase.CHOOSING)
        self.handle(StatusRead("p", at(3, 80)))
        self.keep_reporting(8.0, p=at(3, 80))
        self.assertEqual(self.promoted(), ["r1"])

    def test_promotion_seen_first_in_the_view_counts_in_the_next_failover(self) -> None:
        """Guards against a holder whose candidate led before a status was read from it."""
        self.promote_r1()
        self.effects.clear()
        self.register_database("r1", "primary")
        self.handle(Ticked())
        self.assertEqual(self.effects_of(ReadStatus), [ReadStatus("r1")])
        self.handle(StatusRead("r1", at(4, 65, is_primary=True)))
        self.lose_r1()
        self.handle(StatusRead("p", at(3, 80)))
        self.keep_reporting(8.0, p=at(3, 80))
        self.assertEqual(self.promoted(), [])

    def test_term_that_another_process_reports_counts(self) -> None:
        """Guards against a holder that alone has had no answer of the database it promoted."""
        self.promote_r1()
        self.effects.clear()
        self.register_database("r1", "primary")
        self.handle(Ticked())
        self.advance(1.0)
        self.handle(PrimarySuspected("r1"))
        self.handle(ReachTested("r1", False))
        self.handle(IndirectProbeReported("b", "r1", False, 4))
        self.handle(IndirectProbeReported("c", "r1", False))
        self.handle(StatusRead("p", at(3, 80)))
        self.keep_reporting(8.0, p=at(3, 80))
        self.assertEqual(self.promoted(), [])

    def test_claim_names_the_new_term_at_the_end_of_the_failover(self) -> None:
        """Guards against a second in which a process that starts cannot know the new term."""
        self.promote_r1()
        self.effects.clear()
        self.handle(StatusRead("r1", at(4, 65, is_primary=True)))
        self.view = self.view.with_leader("r1")
        self.handle(Ticked())
        self.assertEqual(self.effects_of(WriteClaim), [WriteClaim("", 7, term=4)])


class WithoutStatusTest(NewestTermCase):
    def test_database_whose_last_answer_was_of_the_newest_term_is_promoted(self) -> None:
        self.observed = {"r1": 3, "r2": 2}
        self.claim_lost_primary()
        self.advance(1.0)
        self.assertEqual(set(self.promoted()), {"r1"})

    def test_terms_of_statuses_and_answers(self) -> None:
        statuses = {"r1": at(2, 71), "r2": at(3, 65)}
        names = ("r1", "r2", "r3", "r4")
        observed = {"r1": 3, "r3": 3}.get
        following = following_databases(names, statuses, lambda name: observed(name, 0), 3)
        self.assertEqual(following, ["r2", "r3"])


class StoredTermTest(NewestTermCase):
    def test_holder_writes_the_new_term_once(self) -> None:
        self.handle(ClaimReceived(Claim("a", "", 7, term=2)))
        self.advance(2.0)
        self.assertEqual(self.effects_of(WriteClaim), [WriteClaim("", 7, term=3)])
        self.handle(ClaimReceived(Claim("a", "", 8, term=3)))
        self.advance(2 * CLAIM_WRITE_INTERVAL_SECONDS)
        self.assertEqual(len(self.effects_of(WriteClaim)), 1)

    def test_first_term_costs_no_write(self) -> None:
        self.newest_term = 1
        self.handle(ClaimReceived(Claim("a", "", 7)))
        self.advance(2 * CLAIM_WRITE_INTERVAL_SECONDS)
        self.assertEqual(self.effects_of(WriteClaim), [])

    def test_only_the_holder_writes(self) -> None:
        self.handle(ClaimReceived(Claim("b", "", 7, term=2)))
        self.advance(2 * CLAIM_WRITE_INTERVAL_SECONDS)
        self.assertEqual(self.effects_of(WriteClaim), [])

    def test_claim_never_goes_back_to_an_older_term(self) -> None:
        self.newest_term = 1
        self.handle(ClaimReceived(Claim("b", "", 7, term=3)))
        self.lose_primary()
        self.confirm_loss()
        self.advance(1.0)
        self.assertEqual(self.effects_of(WriteClaim), [WriteClaim("p", 7, term=3)])
