"""Order of databases for reads, and its spread over processes that have the same reports."""

import itertools
import random
import unittest
from collections import Counter

from hypothesis import given
from hypothesis import strategies as st

from dewledge.core.pooler.load.database_order import Candidate, Completion, order_candidates
from dewledge.core.pooler.load.load_table import LoadTable
from dewledge.core.pooler.load.recent_failures import MAX_DATABASES, RecentFailures
from dewledge.core.pooler.load.report import LoadReport

WORK = 0.01
NEAR = 0.001
ZONE = 0.004
FAR = 0.03
PROCESSES = 50
ROUNDS = 200


def count_firsts(
    completions: dict[str, Completion], seed: int = 7, count: int = 10_000
) -> Counter[str]:
    """Returns how often each database comes first."""
    source = random.Random(seed)
    candidates = [Candidate(name, completion) for name, completion in completions.items()]
    return Counter(order_candidates(candidates, source.random)[0].database_id for _ in range(count))


class ReadOrderTest(unittest.TestCase):
    def test_clearly_best_database_is_first(self) -> None:
        full = Completion(NEAR, 0.2, WORK, displacing=2 * WORK)
        cases = (
            ("a full primary", {"p": full, "r": Completion(FAR, 0.0, WORK)}, "r"),
            (
                "a replica that lags, the primary full for longer",
                {"p": full, "r": Completion(NEAR, 0.0, WORK, position=0.05)},
                "r",
            ),
            (
                "a replica that lags for longer than the primary is full",
                {"p": full, "r": Completion(NEAR, 0.0, WORK, position=0.7)},
                "p",
            ),
            (
                "a slow replica",
                {"slow": Completion(NEAR, 0.0, 0.038), "r": Completion(ZONE, 0.0, WORK)},
                "r",
            ),
            (
                "a replica that fails half of its statements",
                {"grey": Completion(NEAR, 0.0, WORK, detour=0.05), "r": Completion(FAR, 0.0, WORK)},
                "r",
            ),
            (
                "a primary with free slots, a replica at the same distance",
                {
                    "p": Completion(NEAR, 0.0, WORK, displacing=WORK),
                    "r": Completion(NEAR, 0.0, WORK),
                },
                "r",
            ),
            (
                "a queue that costs less than another region",
                {"near": Completion(NEAR, 0.02, WORK), "far": Completion(FAR, 0.0, WORK)},
                "near",
            ),
            (
                "an idle connection",
                {
                    "new": Completion(NEAR, 0.0, WORK, opening=0.013),
                    "idle": Completion(ZONE, 0.0, WORK),
                },
                "idle",
            ),
        )
        for title, completions, expected in cases:
            with self.subTest(title):
                self.assertGreater(count_firsts(completions)[expected] / 10_000, 0.95)

    def test_remaining_candidates_are_sorted_by_completion(self) -> None:
        waits = {"a": 0.3, "b": 0.1, "c": 0.2, "d": 0.4}
        candidates = [Candidate(name, Completion(NEAR, wait, WORK)) for name, wait in waits.items()]
        for drawn in (0.0, 0.3, 0.6, 0.99):
            with self.subTest(drawn=drawn):
                head, *others = order_candidates(candidates, lambda drawn=drawn: drawn)  # type: ignore[misc]
                seconds = [other.completion.seconds for other in others]
                self.assertEqual(seconds, sorted(seconds))
                self.assertEqual(len({head.database_id, *(each.database_id for each in others)}), 4)

    def test_order_is_deterministic_for_equal_draws(self) -> None:
        completions = {"a": Completion(NEAR, 0.1, WORK), "b": Completion(NEAR, 0.0, WORK)}
        self.assertEqual(count_firsts(completions, 3), count_firsts(completions, 3))


class HerdTest(unittest.TestCase):
    def test_equal_reports_do_not_send_all_reads_to_one_database(self) -> None:
        """All processes have the same report that one of three databases has no queue."""
        shares = count_firsts(
            {
                name: Completion(NEAR, wait, WORK)
                for name, wait in {"a": 0.0, "b": 0.1, "c": 0.1}.items()
            }
        )
        self.assertLess(shares["a"] / 10_000, 0.7)
        self.assertGreater(min(shares["a"], shares["b"]) / 10_000, 0.2)

    def test_equal_databases_share_the_load(self) -> None:
        shares = count_firsts({name: Completion(NEAR, 0.0, WORK) for name in "abc"})
        for name in "ab":
            self.assertGreater(shares[name] / 10_000, 0.25)

    def test_load_stays_balanced_with_delayed_reports(self) -> None:
        """In each round every process sends a statement; reports show the queues of the last
        round."""
        source = random.Random(5)
        tables = [LoadTable() for _ in range(PROCESSES)]
        queued = dict.fromkeys("abc", 0)
        total: Counter[str] = Counter()
        worst = 0
        for round_ in range(ROUNDS):
            sent: Counter[str] = Counter()
            for table in tables:
                candidates = []
                for name in "abc":
                    estimate = table.estimate(name, float(round_))
                    wait = 0.0 if estimate is None else estimate.expected_wait(0, 0).seconds
                    candidates.append(Candidate(name, Completion(NEAR, wait, WORK)))
                chosen = order_candidates(candidates, source.random)[0].database_id
                sent[chosen] += 1
            total += sent
            for name in "abc":
                queued[name] = max(queued[name] + sent[name] - PROCESSES // 3, 0)
            worst = max(worst, *sent.values())
            for table in tables:
                for name in "abc":
                    report = LoadReport(queued[name], 0, 6, 6, 0, 10)
                    table.update(name, "h", report, float(round_))
        self.assertLess(worst / PROCESSES, 0.9)
        for name in "abc":
            self.assertLess(abs(total[name] / (PROCESSES * ROUNDS) - 1 / 3), 0.1)


class FailuresTest(unittest.TestCase):
    def test_cost_of_failures_decays(self) -> None:
        failures = RecentFailures()
        self.assertEqual(failures.expected_cost("d", 0.0), 0.0)
        for number in range(20):
            failures.record("d", number % 2 == 0, 10.0)
        cost = failures.expected_cost("d", 10.0)
        self.assertGreater(cost, 0.03)
        self.assertLess(failures.expected_cost("d", 20.0), cost / 20)
        for _ in range(40):
            failures.record("d", has_failed=True, now=30.0)
        self.assertLessEqual(failures.expected_cost("d", 30.0), 0.451)

    def test_late_failures_cost_more(self) -> None:
        early, late = RecentFailures(), RecentFailures()
        for _ in range(20):
            early.record("d", has_failed=True, now=1.0, seconds=0.01)
            late.record("d", has_failed=True, now=1.0, seconds=0.2)
        self.assertGreater(late.expected_cost("d", 1.0), 3 * early.expected_cost("d", 1.0))

    def test_only_failing_databases_are_tracked_up_to_a_bound(self) -> None:
        failures = RecentFailures()
        for number in range(1400):
            failures.record(f"healthy{number}", has_failed=False, now=0.0)
        self.assertEqual(len(failures), 0)
        for number in range(1400):
            failures.record(f"failing{number}", has_failed=True, now=0.0)
        self.assertEqual(len(failures), MAX_DATABASES)


seconds = st.floats(0.0, 10.0)
completions = st.builds(
    Completion, seconds, seconds, seconds, seconds, seconds, seconds, seconds, st.just(0.0)
)
draws = st.lists(st.floats(0.0, 1.0, exclude_max=True), min_size=2, max_size=2)


class OrderPropertiesTest(unittest.TestCase):
    @given(st.lists(completions, max_size=6), draws)
    def test_order_is_a_permutation_and_no_later_candidate_dominates(
        self, candidate_completions: list[Completion], drawn: list[float]
    ) -> None:
        candidates = [
            Candidate(f"d{number}", each) for number, each in enumerate(candidate_completions)
        ]
        ordered = order_candidates(candidates, iter(drawn).__next__)
        self.assertEqual(sorted(ordered, key=lambda each: each.database_id), candidates)
        for earlier, later in itertools.combinations(ordered, 2):
            self.assertFalse(later.completion.dominates(earlier.completion))


if __name__ == "__main__":
    unittest.main()
