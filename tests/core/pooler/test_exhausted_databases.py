"""Databases that a statement no longer tries after refusals, and the retry time sent to clients."""

import unittest

from dewledge.core.pooler.load.policy import LoadPolicy
from dewledge.core.pooler.load.wait_deadlines import EXHAUSTED_AFTER_SECONDS
from dewledge.core.pooler.sessions.routes import Consistency
from dewledge.core.pooler.sessions.session_state import SessionState
from dewledge.core.pooler.statements.exhausted_databases import ExhaustedDatabases, IgnoredRefusals
from dewledge.core.pooler.statements.retry_times import (
    RETRY_AFTER_NO_PRIMARY_MS,
    RETRY_AFTER_OVERLOADED_MS,
    default_retry_seconds,
    refusal,
    retry_seconds_after_search,
)
from dewledge.core.pooler.statements.statement_scope import StatementScope
from dewledge.core.pooler.statements.statements import Failure, Statement, StatementKind
from dewledge.core.pooler.statements.targets import Proof, Target
from dewledge.core.pooler.statements.wait_strategy import (
    DeadlineBasedWaits,
    FixedWaits,
    wait_strategy,
)
from dewledge.errors import ErrorCode
from tests.core.pooler.harness import PoolerHarness, route

RETRY_IN_70_MS = Failure(ErrorCode.OVERLOADED, "full", 70)
WITHOUT_RETRY_TIME = Failure(ErrorCode.OVERLOADED, "full")


class ExhaustedDatabasesTest(unittest.TestCase):
    def setUp(self) -> None:
        self.harness = PoolerHarness()
        self.now = self.harness.scheduler.now()
        self.exhausted = ExhaustedDatabases(self.harness.group)

    def test_database_is_retried_at_its_promised_time(self) -> None:
        self.exhausted.record_tried("p", self.now)
        self.exhausted.record_overload("p", RETRY_IN_70_MS, self.now + 0.1)
        self.assertFalse(self.exhausted.may_try("p", self.now + 0.169))
        self.assertTrue(self.exhausted.may_try("p", self.now + 0.171))
        self.assertAlmostEqual(self.exhausted.next_capacity_at(["p"]) or 0.0, self.now + 0.17)

    def test_database_that_keeps_refusing_is_exhausted(self) -> None:
        for failure in (RETRY_IN_70_MS, WITHOUT_RETRY_TIME):
            with self.subTest(failure=failure):
                exhausted = ExhaustedDatabases(self.harness.group)
                exhausted.record_tried("p", self.now)
                exhausted.record_overload("p", failure, self.now + EXHAUSTED_AFTER_SECONDS / 2)
                self.assertFalse(exhausted.is_exhausted("p"))
                exhausted.record_tried("p", self.now + EXHAUSTED_AFTER_SECONDS / 2)
                exhausted.record_overload("p", failure, self.now + EXHAUSTED_AFTER_SECONDS)
                self.assertTrue(exhausted.is_exhausted("p"))
                self.assertFalse(exhausted.may_try("p", self.now + 100.0))
                self.assertIsNone(exhausted.next_capacity_at(["p"]))

    def test_database_that_serves_other_statements_is_not_exhausted(self) -> None:
        self.exhausted.record_tried("p", self.now)
        self.harness.group.pool("p").last_served_at = self.now + EXHAUSTED_AFTER_SECONDS / 2
        self.exhausted.record_overload("p", WITHOUT_RETRY_TIME, self.now + EXHAUSTED_AFTER_SECONDS)
        self.assertTrue(self.exhausted.may_try("p", self.now + EXHAUSTED_AFTER_SECONDS))

    def test_earliest_promised_time_is_used(self) -> None:
        self.exhausted.record_capacity_at("p", self.now + 0.3)
        self.exhausted.record_capacity_at("r1", self.now + 0.2)
        self.assertEqual(self.exhausted.next_capacity_at(["p", "r1"]), self.now + 0.2)

    def test_refusals_are_ignored_without_useful_waits(self) -> None:
        exhausted = IgnoredRefusals(self.harness.group)
        exhausted.record_tried("p", self.now)
        exhausted.record_overload("p", RETRY_IN_70_MS, self.now + EXHAUSTED_AFTER_SECONDS)
        self.assertTrue(exhausted.may_try("p", self.now))


class RetryAfterTest(unittest.TestCase):
    def setUp(self) -> None:
        self.harness = PoolerHarness()
        self.now = self.harness.scheduler.now()
        self.exhausted = ExhaustedDatabases(self.harness.group)
        statement = Statement("1", StatementKind.WRITE)
        self.scope = StatementScope(
            self.harness.services,
            self.harness.group,
            route(Consistency.PRIMARY),
            SessionState("s", "primary"),
            statement,
            True,
            self.now,
        )
        self.target = Target(self.harness.group.view.databases["p"], Proof.NONE)

    def retry_after(self, target: Target | None, lacks_primary: bool = False) -> float:
        return retry_seconds_after_search(self.scope, target, self.exhausted, lacks_primary)

    def test_retry_after_is_earliest_time_promised_by_a_database(self) -> None:
        self.exhausted.record_capacity_at("p", self.now + 0.3)
        self.exhausted.record_capacity_at("r1", self.now + 0.2)
        self.exhausted.record_capacity_at("r2", self.now - 0.1)
        self.assertAlmostEqual(self.retry_after(self.target), 0.2)

    def test_retry_after_falls_back_to_queue_of_last_target(self) -> None:
        first, second = self.retry_after(self.target), self.retry_after(self.target)
        self.assertLess(first, second)
        self.assertEqual(self.harness.services.retry_times, {})

    def test_retry_after_falls_back_to_group(self) -> None:
        self.assertAlmostEqual(self.retry_after(None), RETRY_AFTER_OVERLOADED_MS / 1000)
        self.assertGreater(self.retry_after(None), RETRY_AFTER_OVERLOADED_MS / 1000)

    def test_retry_after_without_primary_covers_failover(self) -> None:
        retry_after = self.retry_after(self.target, lacks_primary=True)
        self.assertAlmostEqual(retry_after, RETRY_AFTER_NO_PRIMARY_MS / 1000)

    def test_fixed_waits_use_fixed_retry_after(self) -> None:
        self.exhausted.record_capacity_at("p", self.now + 0.3)
        for lacks_primary in (False, True):
            found = FixedWaits().retry_after_seconds(
                self.scope, self.target, self.exhausted, lacks_primary
            )
            self.assertEqual(found, default_retry_seconds(lacks_primary))

    def test_refusal_has_retry_after_in_message_and_field(self) -> None:
        expected = Failure(ErrorCode.OVERLOADED, "not run, come back in 70 ms", 70)
        self.assertEqual(refusal(ErrorCode.OVERLOADED, 70), expected)

    def test_policy_selects_wait_strategy(self) -> None:
        self.assertIsInstance(wait_strategy(LoadPolicy()), DeadlineBasedWaits)
        self.assertIsInstance(wait_strategy(LoadPolicy(useful_waits=False)), FixedWaits)


if __name__ == "__main__":
    unittest.main()
