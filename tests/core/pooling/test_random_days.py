"""What must hold on random days: stale, mixed, twice, kept against a promise, unanswered.

DEWLEDGE_DAYS sets how many; each failing seed is printed.
"""

import os
import unittest

from dewledge.core.pooling import connection_setup, freshness, statement_run
from dewledge.core.pooling.group import Group
from dewledge.core.pooling.routes import Consistency, Route
from dewledge.core.pooling.targets import Proof, ReadNeed, Target
from tests.core.pooling.random_day import RandomDay

DAYS = int(os.environ.get("DEWLEDGE_DAYS", "30"))
SECONDS = 20.0


class RandomDaysTest(unittest.TestCase):
    def test_nothing_is_broken(self) -> None:
        answered = 0
        for seed in range(DAYS):
            day = RandomDay(seed).play(SECONDS)
            self.assertEqual(day.violations(), [], f"seed {seed}")
            answered += len(day.group.ran)
        self.assertGreater(answered, DAYS * 200)


class SharedDaysTest(unittest.TestCase):
    def test_nothing_is_broken_when_statements_go_through_a_holder(self) -> None:
        answered = 0
        for seed in range(DAYS):
            day = RandomDay(seed, is_shared=True).play(SECONDS)
            self.assertEqual(day.violations(), [], f"seed {seed}")
            answered += len(day.group.ran)
        self.assertGreater(answered, DAYS * 200)


class CheckersTest(unittest.TestCase):
    """Each checker is seen red once, with one guard of the code switched off."""

    def assert_breaks(self, text: str, seeds: int = 12) -> None:
        found = [line for seed in range(seeds) for line in RandomDay(seed).play(10.0).violations()]
        self.assertTrue(any(text in line for line in found), found[:3])

    def swap(self, owner: object, name: str, value: object) -> None:
        before = getattr(owner, name)
        setattr(owner, name, value)
        self.addCleanup(setattr, owner, name, before)

    def test_without_proof_of_the_lead_a_replaced_primary_answers(self) -> None:
        original = Group.targets

        def targets(group: Group, route: Route, writes: bool, need: ReadNeed) -> list[Target]:
            found = original(group, route, writes, need)
            return [Target(target.database, Proof.NONE, target.floor) for target in found]

        self.swap(Group, "targets", targets)
        self.assert_breaks("primary read", 80)

    def test_without_a_floor_a_lagging_replica_answers(self) -> None:
        original = statement_run.StatementRun._send

        def send(run: statement_run.StatementRun, connection: object) -> None:
            target = run._search.target
            if target is not None and target.proof is Proof.FLOOR:
                run._search.target = Target(target.database, Proof.FLOOR, None)
            original(run, connection)  # type: ignore[arg-type]

        self.swap(statement_run.StatementRun, "_send", send)
        self.assert_breaks(f"{Consistency.READ_OWN_WRITES} read")

    def test_with_the_time_of_the_answer_in_place_of_the_sending_reads_are_stale(self) -> None:
        original = freshness.FreshnessHistory.record

        def record(history: freshness.FreshnessHistory, sent_at: float, position: object) -> None:
            original(history, sent_at + 2.0, position)  # type: ignore[arg-type]

        self.swap(freshness.FreshnessHistory, "record", record)
        self.assert_breaks("misses")

    def test_without_resets_foreign_values_stay(self) -> None:
        self.swap(connection_setup, "plan_setup", lambda *_: [])
        self.swap(statement_run, "plan_setup", lambda *_: [])
        self.assert_breaks("foreign values", 2)

    def test_a_write_sent_again_takes_effect_twice(self) -> None:
        def lost(run: statement_run.StatementRun) -> None:
            run._held.drop()
            run._rerun_read()

        self.swap(statement_run.StatementRun, "_lost", lost)
        self.assert_breaks("twice")


if __name__ == "__main__":
    unittest.main()
