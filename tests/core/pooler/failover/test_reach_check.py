"""When a check finds a suspected primary reachable, reached by another process, or lost."""

import unittest
from collections.abc import Sequence

from dewledge.core.pooler.failover.evidence import MAJORITY_DECISION_SECONDS, SOLE_DECISION_SECONDS
from dewledge.core.pooler.failover.messages import (
    AskIndirectProbes,
    IndirectProbeReported,
    ReachTested,
    TestReach,
)
from dewledge.core.pooler.failover.phases import PhaseEnd
from dewledge.core.pooler.failover.reach_check import (
    CHECK_INTERVAL_SECONDS,
    INDIRECT_PROBE_DELAY_SECONDS,
    MAX_CHECK_DURATION_FACTOR,
    ReachCheck,
)
from dewledge.core.pooler.failover.situation import Step

JUDGES = ("a", "b", "c", "d")
NOW = 50.0


class ReachCheckTest(unittest.TestCase):
    def setUp(self) -> None:
        self.check = ReachCheck()
        self.assertEqual(self.check.start("p", NOW), [TestReach("p")])

    def evaluate(self, elapsed: float = 0.0, may_decide_alone: bool = True) -> Step:
        return self.check.evaluate(JUDGES, elapsed, may_decide_alone)

    def report_unreachable(self, *others: str) -> None:
        self.check.add_evidence(ReachTested("p", False))
        for name in others:
            self.check.add_evidence(IndirectProbeReported(name, "p", False))

    def effects_of(self, step: Step) -> Sequence[object]:
        self.assertIsNone(step.end)
        return list(step.effects)

    def test_successful_local_test_clears_suspicion(self) -> None:
        self.report_unreachable()
        self.evaluate()
        self.assertEqual(self.check.suspected, "p")
        self.check.add_evidence(ReachTested("p", True))
        self.assertIs(self.evaluate().end, PhaseEnd.REACHABLE)
        self.assertIsNone(self.check.suspected)

    def test_indirect_probes_are_requested_once(self) -> None:
        self.assertEqual(self.effects_of(self.evaluate(INDIRECT_PROBE_DELAY_SECONDS - 0.01)), [])
        asked = self.effects_of(self.evaluate(INDIRECT_PROBE_DELAY_SECONDS))
        self.assertEqual(asked, [AskIndirectProbes("p")])
        self.report_unreachable()
        self.assertEqual(self.effects_of(self.evaluate(INDIRECT_PROBE_DELAY_SECONDS + 0.01)), [])

    def test_primary_reached_by_another_process_is_used_through_it(self) -> None:
        self.report_unreachable("b")
        self.check.add_evidence(IndirectProbeReported("d", "p", True))
        self.check.add_evidence(IndirectProbeReported("c", "p", True))
        step = self.evaluate()
        self.assertEqual((step.end, step.detail), (PhaseEnd.REACHED_BY_OTHER, "c"))
        self.assertEqual(self.check.reached_by, "c")

    def test_all_judges_decide_at_once_and_a_majority_after_a_delay(self) -> None:
        self.report_unreachable("b", "c")
        self.assertIsNone(self.evaluate(MAJORITY_DECISION_SECONDS - 0.01).end)
        self.assertIs(self.evaluate(MAJORITY_DECISION_SECONDS).end, PhaseEnd.LOST)
        self.report_unreachable("d")
        self.assertIs(self.evaluate().end, PhaseEnd.LOST)

    def test_half_of_the_judges_is_not_a_majority(self) -> None:
        self.report_unreachable("b")
        self.assertIsNone(self.evaluate(SOLE_DECISION_SECONDS, may_decide_alone=False).end)

    def test_single_process_decides_late_and_only_if_allowed(self) -> None:
        self.report_unreachable()
        self.assertIsNone(self.evaluate(SOLE_DECISION_SECONDS - 0.01).end)
        self.assertIs(self.evaluate(SOLE_DECISION_SECONDS).end, PhaseEnd.LOST)
        self.assertIsNone(self.evaluate(SOLE_DECISION_SECONDS, may_decide_alone=False).end)

    def test_undecided_check_times_out(self) -> None:
        limit = MAJORITY_DECISION_SECONDS * MAX_CHECK_DURATION_FACTOR
        self.assertIsNone(self.evaluate(limit - 0.01).end)
        self.assertIs(self.evaluate(limit).end, PhaseEnd.NOT_CONFIRMED)

    def test_results_for_another_database_are_ignored(self) -> None:
        self.check.add_evidence(ReachTested("r1", False))
        self.check.add_evidence(IndirectProbeReported("b", "r1", True))
        self.assertEqual(self.effects_of(self.evaluate()), [])

    def test_checks_keep_a_minimum_interval(self) -> None:
        self.assertFalse(self.check.may_start(NOW + CHECK_INTERVAL_SECONDS - 0.01))
        self.assertTrue(self.check.may_start(NOW + CHECK_INTERVAL_SECONDS))


if __name__ == "__main__":
    unittest.main()
