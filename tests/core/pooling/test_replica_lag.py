"""Which databases are taken to lack a position: from the positions of their answers alone."""

import unittest

from dewledge.core.pooling.freshness import FreshnessHistory
from dewledge.core.pooling.replica_lag import TRY_AGAIN_SECONDS, ReplicaLags
from dewledge.core.positions import LogPosition

NOW = 1000.0


def at(offset: int, term: int = 1) -> LogPosition:
    return LogPosition(term, offset)


class ReplicaLagsTest(unittest.TestCase):
    def setUp(self) -> None:
        self.history = FreshnessHistory()
        self.lags = ReplicaLags(self.history)
        for step in range(20):
            self.history.record(NOW + 0.1 * step, at(step))

    def test_one_that_is_not_known_is_tried(self) -> None:
        self.assertFalse(self.lags.lacks("r", at(19), NOW + 2.0))

    def test_one_far_behind_lacks_what_is_younger_than_its_lag(self) -> None:
        self.lags.observe("r", at(9), NOW + 2.0)
        cases = ((19, True), (12, True), (9, False), (3, False))
        for offset, lacks in cases:
            with self.subTest(offset):
                self.assertEqual(self.lags.lacks("r", at(offset), NOW + 2.0), lacks)

    def test_one_that_has_all_that_is_proven_lacks_nothing(self) -> None:
        self.lags.observe("r", at(19), NOW + 2.0)
        self.assertFalse(self.lags.lacks("r", at(19), NOW + 2.0))

    def test_a_floor_that_no_proof_reaches_is_brand_new(self) -> None:
        self.lags.observe("r", at(9), NOW + 2.0)
        self.assertTrue(self.lags.lacks("r", at(40), NOW + 2.0))

    def test_it_is_tried_once_after_a_while_without_answers(self) -> None:
        self.lags.observe("r", at(0), NOW + 2.0)
        later = NOW + 2.0 + TRY_AGAIN_SECONDS + 0.1
        self.assertFalse(self.lags.lacks("r", at(19), later))
        self.assertTrue(self.lags.lacks("r", at(19), later))

    def test_the_estimate_goes_up_at_once_and_comes_down_by_and_by(self) -> None:
        self.lags.observe("r", at(19), NOW + 2.0)
        self.lags.observe("r", at(9), NOW + 2.0)
        self.assertTrue(self.lags.lacks("r", at(12), NOW + 2.0))
        self.lags.observe("r", at(19), NOW + 2.0)
        self.assertTrue(self.lags.lacks("r", at(14), NOW + 2.0))
        for _ in range(20):
            self.lags.observe("r", at(19), NOW + 2.0)
        self.assertFalse(self.lags.lacks("r", at(18), NOW + 2.0))


if __name__ == "__main__":
    unittest.main()
