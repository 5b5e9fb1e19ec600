"""The arithmetic of the report, on histories written by hand."""

import unittest

from dewledge.bench.figures import FailoverGap
from dewledge.bench.measures import (
    count_outcomes,
    measure_failovers,
    measure_latency,
    measure_reads,
)
from dewledge.core.proxy.calls import Access, Operation, Outcome
from dewledge.core.proxy.database_status import DatabaseRole
from dewledge.core.shared.positions import LogPosition
from dewledge.errors import ErrorCode
from dewledge.simulation.history import (
    CommitRecord,
    ElectionRecord,
    History,
    RequestRecord,
    WorkRecord,
)

GROUP = "group"
STRUCK_AT = 10.0


def request(marker: str, access: Access, sent_at: float, answered_at: float, **fields):
    return RequestRecord(
        number=0,
        session="session",
        caller="caller",
        group=GROUP,
        workload="workload",
        access=access,
        operation=Operation.EXECUTE,
        marker=marker,
        proxy="proxy",
        sent_at=sent_at,
        deadline=sent_at + 2.0,
        answered_at=answered_at,
        **{"outcome": Outcome.DONE, **fields},
    )


def read(marker: str, fresh: bool = True, **fields):
    return request(marker, Access.READ, 1.0, 1.1, fresh_replica=fresh, **fields)


def work(marker: str, time: float, role: DatabaseRole):
    return WorkRecord(
        time, GROUP, "database", "proxy", Operation.EXECUTE, Access.READ, role, marker
    )


def commit(marker: str, time: float, survives: bool = True):
    position = LogPosition(2, int(time * 100))
    return CommitRecord(GROUP, "database", time, position, (marker,), survives=survives)


class ReadTest(unittest.TestCase):
    def test_share_and_bound(self):
        history = History(
            requests=[
                read("a", has_floor=True),
                read("b", fresh=False, has_floor=True),
                read("stale first, then the primary", has_floor=True),
                read("after its answer", has_floor=False),
                read("refused", outcome=Outcome.NOT_RUN),
                read("in a transaction", transaction_tag="t"),
            ],
            work=[
                work("a", 1.05, DatabaseRole.REPLICA),
                work("b", 1.05, DatabaseRole.PRIMARY),
                work("stale first, then the primary", 1.02, DatabaseRole.REPLICA),
                work("stale first, then the primary", 1.06, DatabaseRole.PRIMARY),
                work("after its answer", 1.05, DatabaseRole.PRIMARY),
                work("after its answer", 1.2, DatabaseRole.REPLICA),
                work("in a transaction", 1.05, DatabaseRole.REPLICA),
            ],
        )
        reads = measure_reads(history)
        self.assertEqual((4, 1, 3, 1), reads_as_numbers(reads))
        self.assertEqual(0.25, reads.share)
        self.assertEqual(0.75, reads.bound)

    def test_no_reads(self):
        self.assertEqual(0.0, measure_reads(History()).share)


def reads_as_numbers(reads):
    return reads.answered, reads.by_replica, reads.allowed, reads.without_floor


class FailoverTest(unittest.TestCase):
    def test_gap_is_up_to_the_first_acknowledged_write_that_stands(self):
        history = History(
            requests=[
                request("before", Access.WRITE, 9.9, 10.05),
                request("lost", Access.WRITE, 10.0, 10.2, outcome=Outcome.UNKNOWN),
                request("slow", Access.WRITE, 10.1, 11.5),
                request("first", Access.WRITE, 10.2, 10.75),
            ],
            commits=[
                commit("before", 9.98),
                commit("lost", 10.1, survives=False),
                commit("slow", 10.6),
                commit("first", 10.65),
            ],
            ended_at=20.0,
        )
        elections = [ElectionRecord(GROUP, "other", 10.5, 2)]
        (failover,) = measure_failovers(history, elections, [STRUCK_AT])
        self.assertAlmostEqual(0.5, failover.election)
        self.assertAlmostEqual(0.65, failover.committed)
        self.assertAlmostEqual(0.75, failover.gap)
        self.assertAlmostEqual(0.25, failover.excess)
        self.assertAlmostEqual(1.5, failover.ratio)

    def test_second_strike_has_its_own_gap(self):
        history = History(
            requests=[request("late", Access.WRITE, 16.0, 16.4)],
            commits=[commit("late", 16.2)],
            ended_at=20.0,
        )
        first, second = measure_failovers(history, [], [15.0, STRUCK_AT])
        self.assertEqual((STRUCK_AT, None), (first.struck_at, first.gap))
        self.assertAlmostEqual(1.4, second.gap)

    def test_without_election_there_is_no_ratio(self):
        failover = FailoverGap(GROUP, 1.0, None, None, None)
        self.assertIsNone(failover.excess)
        self.assertIsNone(failover.ratio)


class LatencyAndOutcomeTest(unittest.TestCase):
    def test_latency_by_class(self):
        reads = [request(f"r{n}", Access.READ, 1.0, 1.0 + n / 1000) for n in range(1, 101)]
        step = request("s", Access.READ, 1.0, 1.5, transaction_tag="t")
        refused = request("x", Access.READ, 1.0, 9.0, outcome=Outcome.NOT_RUN)
        figures = measure_latency(History(requests=[*reads, step, refused]))
        self.assertEqual(["read", "transaction step"], [item.name for item in figures])
        self.assertEqual(100, figures[0].count)
        self.assertAlmostEqual(50.0, figures[0].p50_ms, delta=0.1)
        self.assertAlmostEqual(99.0, figures[0].p99_ms, delta=0.1)

    def test_outcomes_are_counted_by_code(self):
        refused = {"outcome": Outcome.NOT_RUN, "code": ErrorCode.OVERLOADED}
        history = History(requests=[read("a"), read("b", **refused), read("c", **refused)])
        counts = {(item.outcome, item.code): item.count for item in count_outcomes(history)}
        expected = {(Outcome.DONE, None): 1, (Outcome.NOT_RUN, ErrorCode.OVERLOADED): 2}
        self.assertEqual(expected, counts)
