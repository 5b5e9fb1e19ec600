"""Guards the prediction of replica lag from the positions in answers."""

import unittest

from dewledge.core.pooler.databases.freshness import FreshnessHistory
from dewledge.core.pooler.databases.replica_lag import MAX_ESTIMATE_AGE_SECONDS, ReplicaLags
from dewledge.core.shared.positions import LogPosition

NOW = 1000.0


def at(offset: int, term: int = 1) -> LogPosition:
    return LogPosition(term, offset)


class ReplicaLagsTest(unittest.TestCase):
    def setUp(self) -> None:
        self.history = FreshnessHistory()
        self.lags = ReplicaLags(self.history)
        for step in range(20):
            self.history.record(NOW + 0.1 * step, at(step))

    def test_unknown_database_does_not_lack_a_position(self) -> None:
        self.assertFalse(self.lags.lacks("r", at(19), NOW + 2.0))

    def test_lagging_replica_lacks_positions_newer_than_its_lag(self) -> None:
        self.lags.observe("r", at(9), NOW + 2.0)
        cases = ((19, True), (12, True), (9, False), (3, False))
        for offset, lacks in cases:
            with self.subTest(offset):
                self.assertEqual(self.lags.lacks("r", at(offset), NOW + 2.0), lacks)

    def test_seconds_until_position_is_applied(self) -> None:
        """The lag is 1 s, and its resolution is the 50 ms between proofs."""
        self.lags.observe("r", at(9), NOW + 2.0)
        for offset, seconds in ((19, 0.95), (15, 0.55), (12, 0.25), (9, 0.0), (3, 0.0)):
            with self.subTest(offset):
                waits = self.lags.seconds_until_applied("r", at(offset), NOW + 2.0)
                self.assertAlmostEqual(waits, seconds)
        self.assertEqual(
            self.lags.seconds_until_applied("r", at(19), NOW + 9.0), 0.0, "the estimate is stale"
        )

    def test_replica_at_newest_proof_lacks_nothing(self) -> None:
        self.lags.observe("r", at(19), NOW + 2.0)
        self.assertFalse(self.lags.lacks("r", at(19), NOW + 2.0))

    def test_lagging_replica_lacks_floor_above_all_proofs(self) -> None:
        self.lags.observe("r", at(9), NOW + 2.0)
        self.assertTrue(self.lags.lacks("r", at(40), NOW + 2.0))

    def test_stale_estimate_allows_one_statement(self) -> None:
        self.lags.observe("r", at(0), NOW + 2.0)
        later = NOW + 2.0 + MAX_ESTIMATE_AGE_SECONDS + 0.1
        self.assertFalse(self.lags.lacks("r", at(19), later))
        self.lags.record_sent("r", later)
        self.assertTrue(self.lags.lacks("r", at(19), later))

    def test_stale_estimate_allows_statements_until_one_is_sent(self) -> None:
        self.lags.observe("r", at(0), NOW + 2.0)
        later = NOW + 2.0 + MAX_ESTIMATE_AGE_SECONDS + 0.1
        self.assertFalse(self.lags.lacks("r", at(19), later))
        self.assertFalse(self.lags.lacks("r", at(19), later), "no statement was sent yet")

    def test_estimate_rises_at_once_and_falls_after_two_spans(self) -> None:
        now = NOW + 2.0
        self.lags.observe("r", at(19), now)
        self.lags.observe("r", at(9), now)
        self.assertTrue(self.lags.lacks("r", at(12), now))
        self.lags.observe("r", at(19), now)
        self.assertTrue(self.lags.lacks("r", at(14), now), "one answer is not enough")
        for step in range(12):
            self.lags.observe("r", at(19), now + 0.1 * step)
        self.assertFalse(self.lags.lacks("r", at(18), now + 1.1))

    def test_first_answer_after_long_lag_resets_estimate(self) -> None:
        """Guards against avoiding a replica long after a lag of several seconds has ended."""
        for step in range(20, 100):
            self.history.record(NOW + 0.1 * step, at(step))
        self.lags.observe("r", at(25), NOW + 9.9)
        self.assertTrue(self.lags.lacks("r", at(60), NOW + 10.0))
        trial = NOW + 9.9 + MAX_ESTIMATE_AGE_SECONDS + 0.1
        self.lags.record_sent("r", trial)
        self.lags.observe("r", at(99), trial + 0.05)
        self.assertFalse(self.lags.lacks("r", at(99), trial + 0.1))


if __name__ == "__main__":
    unittest.main()
