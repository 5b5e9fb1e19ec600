"""On random days no promoted database lacks a commit that was answered, and the proof seen red.

DEWLEDGE_DAYS sets how many days are played; a failing seed is printed.
"""

import os
import unittest
from unittest import mock

from dewledge.core.pooler.sessions.routes import RouteTable
from tests.unfenced.synchronous import FencedSynchronousDay, SynchronousDay

DAYS = int(os.environ.get("DEWLEDGE_DAYS", "4"))
FIRST_SEED = int(os.environ.get("DEWLEDGE_FIRST_SEED", "100"))
SECONDS = 30.0
LOSSES_WITHOUT_PROOF = ((SynchronousDay, (3, 11)), (FencedSynchronousDay, (10, 20, 24)))
"""Days on which a promotion loses answered commits if synchronous replicas are not looked at."""
ONCE_LOST = (3, 7, 14, 101)
"""Days on a platform that fences, which lost commits. 101: a process that did not know of the
replacement had a replica receive again after it had stopped. The others: without the proof only,
while claim holders forgot the term in which their last candidate led."""


TERMS_SHOWN_TO_NOBODY = (428,)
"""Days on which a new primary was lost before it had answered any process, so that one of an older
term was promoted with commits beyond the start of the lost term."""


class SynchronousDaysTest(unittest.TestCase):
    def test_no_promotion_loses_an_answered_commit(self) -> None:
        for kind in (SynchronousDay, FencedSynchronousDay):
            promotions = 0
            for seed in range(FIRST_SEED, FIRST_SEED + DAYS):
                day = kind(seed).play(SECONDS)
                self.assertEqual(day.lost(), [], f"{kind.__name__} {seed}: {day.played}")
                self.assertEqual(day.violations(), [], f"{kind.__name__} {seed}: {day.played}")
                promotions += len(day.databases.effects)
            self.assertGreater(promotions, DAYS)

    def test_days_that_lose_commits_without_the_proof_lose_none_with_it(self) -> None:
        for kind, seeds in LOSSES_WITHOUT_PROOF:
            for seed in seeds:
                with self.subTest(kind.__name__, seed=seed):
                    self.assertEqual(kind(seed).play(SECONDS).lost(), [])

    def test_nothing_is_lost_on_days_on_which_replication_started_again(self) -> None:
        for seed in ONCE_LOST:
            with self.subTest(seed=seed):
                self.assertEqual(FencedSynchronousDay(seed).play(SECONDS).lost(), [])

    def test_nothing_is_broken_if_a_new_primary_is_lost_before_it_answers(self) -> None:
        for seed in TERMS_SHOWN_TO_NOBODY:
            with self.subTest(seed=seed):
                day = SynchronousDay(seed).play(SECONDS)
                self.assertEqual([*day.lost(), *day.violations()], [])

    def test_without_the_proof_commits_are_lost(self) -> None:
        unaware = mock.patch.object(RouteTable, "synchronous_replicas", lambda *_: 0)
        for kind, seeds in LOSSES_WITHOUT_PROOF:
            with self.subTest(kind.__name__), unaware:
                self.assertTrue(any(kind(seed).play(SECONDS).lost() for seed in seeds))


if __name__ == "__main__":
    unittest.main()
