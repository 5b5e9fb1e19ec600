"""Overload: bounded queues, refusals at once with a time to come back, fair shares."""

import heapq
import unittest
from collections import Counter
from random import Random

from dewledge.core.proxy.calls import Access
from dewledge.core.proxy.gateway.admission import wait_refusal
from dewledge.core.proxy.jobs import Job
from dewledge.core.proxy.messages import StatementNotRun
from dewledge.core.shared.positions import LogPosition
from dewledge.core.shared.service_rate import ServiceRate
from dewledge.errors import ErrorCode
from tests.core.proxy.gateway.gateway_harness import PRIMARY, GatewayHarness, make_configuration

SLOTS = 5
SERVICE_TIME = 0.005
PEAK = SLOTS / SERVICE_TIME


class Load:
    """Offers statements at a rate, and serves each job after its database's service time."""

    def __init__(self, seed: int, weights: dict[str, int]) -> None:
        self.random = Random(seed)
        self.harness = GatewayHarness()
        self.harness.configure(make_configuration(slots=SLOTS, weights=weights))
        self.harness.tick(0.01)
        self.weights = weights
        self.served: Counter[str] = Counter()
        self.callers: dict[tuple[str, int], str] = {}
        self.databases: dict[tuple[str, int], str] = {}
        self.most_waiting = 0
        self.ends: list[tuple[float, int, Job]] = []
        self.service_time = {PRIMARY: SERVICE_TIME}

    def run(self, offers: list[tuple[float, str, str]], remaining: float = 2.0) -> None:
        """Takes offers of (time, caller, database) in order."""
        for when, caller, database in offers:
            self.serve_until(when)
            key = self.harness.send(caller=caller, database=database, remaining=remaining)
            self.callers[key], self.databases[key] = caller, database
            self.note_jobs()
            waiting = sum(report.waiting for report in self.harness.gateway.reports())
            self.most_waiting = max(self.most_waiting, waiting)

    def serve_until(self, when: float) -> None:
        while self.ends and self.ends[0][0] <= when:
            end, _, job = heapq.heappop(self.ends)
            self.advance(end)
            self.harness.finish(job)
            self.note_jobs()
        self.advance(when)

    def advance(self, when: float) -> None:
        self.harness.run_until(when)
        self.harness.answer_rounds()
        self.note_jobs()

    def note_jobs(self) -> None:
        for job in self.harness.jobs:
            connection = job.connection_id
            database = self.connections.get(connection, PRIMARY)
            end = self.harness.now + self.service_time.get(database, SERVICE_TIME)
            heapq.heappush(self.ends, (end, job.job_id, job))
        self.harness.jobs = []

    @property
    def connections(self) -> dict[int, str]:
        return self.harness.connection_databases

    def outcomes(self, database: str) -> Counter[str]:
        return Counter(
            self.harness.outcome(key) for key, name in self.databases.items() if name == database
        )

    def done_by_caller(self) -> Counter[str]:
        done = [key for key in self.callers if self.harness.outcome(key) == "done"]
        return Counter(self.callers[key] for key in done)


def offers(
    start: float, seconds: float, rate: float, callers: list[str], random: Random
) -> list[tuple[float, str, str]]:
    """Offers at random times, each by a caller drawn at random."""
    times = sorted(random.uniform(start, start + seconds) for _ in range(int(rate * seconds)))
    return [(when, random.choice(callers), PRIMARY) for when in times]


class OverloadTest(unittest.TestCase):
    def test_ten_times_the_peak(self) -> None:
        for seed in range(3):
            with self.subTest(seed=seed):
                load = Load(seed, {"one": 1, "two": 2, "five": 5})
                callers = ["one", "two", "five"]
                load.run(offers(load.harness.now, 1.0, 10 * PEAK, callers, load.random))
                load.serve_until(load.harness.now + 3.0)
                self.assertLessEqual(load.most_waiting, load.harness.settings.max_waiting)
                outcomes = load.outcomes(PRIMARY)
                self.assertEqual(set(outcomes), {"done", "not run: overloaded"})
                self.assertGreater(outcomes["done"], 0.97 * PEAK)
                done = load.done_by_caller()
                for name, weight in load.weights.items():
                    share = done[name] / sum(done.values())
                    self.assertAlmostEqual(share, weight / 8, delta=0.05)

    def test_modest_caller_is_not_starved_by_a_greedy_one(self) -> None:
        for seed in range(3):
            with self.subTest(seed=seed):
                load = Load(seed, {"greedy": 1, "modest": 1})
                start = load.harness.now
                greedy = offers(start, 1.0, 10 * PEAK, ["greedy"], load.random)
                modest = offers(start, 1.0, 0.3 * PEAK, ["modest"], load.random)
                load.run(sorted(greedy + modest))
                load.serve_until(load.harness.now + 3.0)
                self.assertEqual(load.done_by_caller()["modest"], len(modest))

    def test_refusal_comes_at_once_and_says_when_to_come_back(self) -> None:
        harness = GatewayHarness()
        harness.configure(make_configuration(slots=1))
        for _ in range(1 + 30):
            harness.send(remaining=5.0)
        key = harness.send(remaining=0.1)
        answer = harness.answer(key)
        assert isinstance(answer, StatementNotRun)
        self.assertEqual(answer.code, ErrorCode.OVERLOADED)
        self.assertAlmostEqual(answer.retry_after or 0.0, 31 * 0.005)

    def test_expected_wait_follows_the_measured_rate(self) -> None:
        load = Load(1, {"one": 1})
        load.service_time[PRIMARY] = 0.1
        load.run([(load.harness.now + 0.02 * count, "one", PRIMARY) for count in range(400)], 1.0)
        report = load.harness.gateway.reports()[0]
        self.assertAlmostEqual(report.service_time, 0.1, delta=0.01)
        self.assertLessEqual(load.most_waiting, 1.0 * SLOTS / 0.1 + 5)

    def test_slow_database_beside_a_healthy_one(self) -> None:
        load = Load(1, {"one": 1})
        load.service_time["cases-2"] = 0.5
        start = load.harness.now
        healthy = offers(start, 1.0, 0.5 * PEAK, ["one"], load.random)
        slow = [(when, caller, "cases-2") for when, caller, _ in healthy]
        load.run(sorted(healthy + slow))
        load.serve_until(load.harness.now + 3.0)
        self.assertEqual(set(load.outcomes(PRIMARY)), {"done"})
        self.assertIn("not run: overloaded", load.outcomes("cases-2"))


class UnreachableTest(unittest.TestCase):
    def test_waiting_and_new_requests_are_refused_at_once(self) -> None:
        harness = GatewayHarness()
        harness.configure(ready=False)
        waiting = harness.send()
        harness.fail_opening(ErrorCode.DATABASE_UNREACHABLE)
        new = harness.send()
        for key in (waiting, new):
            self.assertEqual(harness.outcome(key), "not run: database_unreachable")
        self.assertAlmostEqual(harness.answer(new).retry_after, 0.05)

    def test_connection_limit_is_waited_for(self) -> None:
        harness = GatewayHarness()
        harness.configure(ready=False)
        served, expired = harness.send(), harness.send(remaining=0.04)
        harness.fail_opening(ErrorCode.CONNECTION_LIMIT)
        harness.run_until(harness.now + 0.1)
        harness.open_all()
        harness.finish()
        self.assertEqual(harness.outcome(served), "done")
        self.assertEqual(harness.outcome(expired), "not run: connection_limit")

    def test_cut_link_retires_the_idle_connections_but_a_slow_statement_does_not(self) -> None:
        lost = ErrorCode.CONNECTION_LOST
        for name, wait, end, kept in (
            ("cut", 0.0, GatewayHarness.break_job, 0),
            ("found closed", 0.0, lambda harness: harness.refuse(lost, usable=False), 0),
            ("timed out", 1.0, GatewayHarness.break_job, 1),
        ):
            with self.subTest(name):
                harness = GatewayHarness()
                harness.configure(make_configuration(slots=2))
                harness.write(remaining=1.0)
                harness.run_until(harness.now + wait)
                end(harness)
                self.assertEqual(harness.gateway.reports()[0].connections, kept)


class ServiceRateTest(unittest.TestCase):
    def test_expected_wait(self) -> None:
        rate = ServiceRate(0.01, 0.5)
        self.assertAlmostEqual(rate.expected_wait(9, 5), 0.02)
        rate.note(0.03)
        self.assertAlmostEqual(rate.service_time, 0.02)
        self.assertIsNone(wait_refusal(0.5, 0.5))
        self.assertIsNotNone(wait_refusal(0.51, 0.5))


class WriteUnderLoadTest(unittest.TestCase):
    def test_slot_is_free_while_a_write_waits_for_proof(self) -> None:
        harness = GatewayHarness()
        harness.configure(make_configuration(slots=1))
        harness.write()
        harness.finish(position=LogPosition(1, 11))
        harness.send(Access.READ)
        self.assertEqual(len(harness.jobs), 1)


if __name__ == "__main__":
    unittest.main()
