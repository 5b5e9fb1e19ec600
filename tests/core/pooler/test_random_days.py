"""Random simulations against stale reads, mixed sessions, lost or repeated writes, lost answers.
DEWLEDGE_DAYS sets the number of seeds; a failing seed is printed."""

import os
import unittest

import msgspec

from dewledge.core.pooler.databases import freshness
from dewledge.core.pooler.databases.group import Group
from dewledge.core.pooler.sessions.routes import Consistency, Route
from dewledge.core.pooler.sharing import channel_session
from dewledge.core.pooler.sharing.channel_proofs import ChannelProofs
from dewledge.core.pooler.sharing.channel_session import ChannelSession
from dewledge.core.pooler.sharing.messages import ProvenAge
from dewledge.core.pooler.statements import connection_setup, statement_run
from dewledge.core.pooler.statements.primary_lease_use import PrimaryLeaseUse
from dewledge.core.pooler.statements.statements import Reply, TransactionState
from dewledge.core.pooler.statements.targets import Proof, ReadRequirements, Target
from tests.core.pooler.random_day import RandomDay

DAYS = int(os.environ.get("DEWLEDGE_DAYS", "30"))
SECONDS = 20.0


class RandomDaysTest(unittest.TestCase):
    def test_guarantees_hold(self) -> None:
        answered = 0
        for seed in range(DAYS):
            day = RandomDay(seed).play(SECONDS)
            self.assertEqual(day.violations(), [], f"seed {seed}")
            answered += len(day.group.ran)
        self.assertGreater(answered, DAYS * 200)


class SharedConnectionsDaysTest(unittest.TestCase):
    def test_guarantees_hold_through_a_holder(self) -> None:
        answered = 0
        for seed in range(DAYS):
            day = RandomDay(seed, is_shared=True).play(SECONDS)
            self.assertEqual(day.violations(), [], f"seed {seed}")
            answered += len(day.group.ran)
        self.assertGreater(answered, DAYS * 200)


class LoadReportDaysTest(unittest.TestCase):
    def test_guarantees_hold_with_choice_by_reported_load(self) -> None:
        for is_shared in (False, True):
            with self.subTest(is_shared=is_shared):
                answered = 0
                for seed in range(DAYS):
                    day = RandomDay(seed, is_shared, uses_load_reports=True).play(SECONDS)
                    self.assertEqual(day.violations(), [], f"seed {seed}")
                    answered += len(day.group.ran)
                self.assertGreater(answered, DAYS * 200)


class GuardCase(unittest.TestCase):
    """Replaces a guard of the code for one test, to check that a violation is detected."""

    is_shared = False

    def assert_violation(self, text: str, seeds: int = 12) -> None:
        found: list[str] = []
        for seed in range(seeds):
            found += RandomDay(seed, self.is_shared).play(10.0).violations()
        self.assertTrue(any(text in violation for violation in found), found[:3])

    def swap(self, owner: object, name: str, value: object) -> None:
        before = getattr(owner, name)
        setattr(owner, name, value)
        self.addCleanup(setattr, owner, name, before)


class CheckersTest(GuardCase):
    """Each checker must report a violation when the corresponding guard is disabled."""

    def test_checker_finds_read_from_replaced_primary(self) -> None:
        original = Group.targets

        def targets(
            group: Group, route: Route, writes: bool, need: ReadRequirements
        ) -> list[Target]:
            found = original(group, route, writes, need)
            return [Target(target.database, Proof.NONE, target.floor) for target in found]

        self.swap(Group, "targets", targets)
        # It would find the replaced primary by its log.
        self.swap(PrimaryLeaseUse, "lacks_log", lambda _use, _position: False)
        self.assert_violation("primary read", 80)

    def test_checker_finds_read_from_lagging_replica(self) -> None:
        original = statement_run.StatementRun._send

        def send(run: statement_run.StatementRun, connection: object) -> None:
            target = run._search.target
            if target is not None and target.proof is Proof.FLOOR:
                run._search.target = Target(target.database, Proof.FLOOR, None)
            original(run, connection)  # type: ignore[arg-type]

        self.swap(statement_run.StatementRun, "_send", send)
        self.assert_violation(f"{Consistency.READ_OWN_WRITES} read")

    def test_checker_finds_proof_dated_too_late(self) -> None:
        original = freshness.FreshnessHistory.record

        def record(history: freshness.FreshnessHistory, sent_at: float, position: object) -> None:
            original(history, sent_at + 2.0, position)  # type: ignore[arg-type]

        self.swap(freshness.FreshnessHistory, "record", record)
        self.assert_violation("misses")

    def test_checker_finds_values_of_other_session(self) -> None:
        self.swap(connection_setup, "plan_setup", lambda *_: [])
        self.swap(statement_run, "plan_setup", lambda *_: [])
        self.assert_violation("foreign values", 2)

    def test_checker_finds_write_executed_twice(self) -> None:
        def lost(run: statement_run.StatementRun) -> None:
            run._held.discard()
            run._rerun_read()

        self.swap(statement_run.StatementRun, "_lost", lost)
        self.assert_violation("twice")


class SharedCheckersTest(GuardCase):
    """Each checker must report a violation when the corresponding guard of a holder is disabled."""

    is_shared = True

    def test_checker_finds_values_of_other_session_at_holder(self) -> None:
        self.swap(channel_session, "plan_setup", lambda *_: [])
        self.assert_violation("foreign values", 2)

    def test_checker_finds_connection_released_within_transaction(self) -> None:
        original = ChannelSession._on_reply

        def answered(session: ChannelSession, reply: Reply | None) -> None:
            if reply is not None and reply.failure is None:
                reply = msgspec.structs.replace(reply, state=TransactionState.IDLE)
            original(session, reply)

        self.swap(ChannelSession, "_on_reply", answered)
        self.assert_violation("outside its transaction", 4)

    def test_checker_finds_proof_reported_too_young(self) -> None:
        def proven(proofs: ChannelProofs) -> ProvenAge | None:
            newest = proofs._group.history.newest
            return None if newest is None else ProvenAge(newest.position, -2.0)

        self.swap(ChannelProofs, "newest", proven)
        self.assert_violation("misses")


if __name__ == "__main__":
    unittest.main()
