"""Guards the detection of a database that stopped answering, and the recovery from it."""

import unittest

from dewledge.core.pooler.databases.database_silence import (
    MAX_SILENCE_SECONDS,
    MIN_SILENCE_SECONDS,
    PROBE_INTERVAL_SECONDS,
    USUAL_TIME_FACTOR,
    DatabaseSilence,
)
from dewledge.core.pooler.databases.group import Group
from dewledge.core.pooler.databases.locality import Locality
from dewledge.core.pooler.events import DatabaseSilenceJudged
from dewledge.core.pooler.pool.connection_pool import ConnectionPool, PoolRules
from dewledge.core.pooler.pool.database_connection import DatabaseConnection
from dewledge.core.pooler.pool.slot_window import SlotWindow
from dewledge.core.pooler.pool.waiter import Demand, Denial, Waiter
from dewledge.core.pooler.statements.statements import (
    Failure,
    Reply,
    StatementKind,
    TransactionState,
)
from dewledge.errors import ErrorCode
from tests.core.pooler.harness import GROUP, ModelGroup, ModelScheduler, PoolerHarness

BUSY = Reply(TransactionState.IDLE, failure=Failure(ErrorCode.OVERLOADED, ""))
READERS = 12
LIMIT = 2
OPENING_SECONDS = 0.005
"""Time until a connection is open while its statement has no answer yet."""
SERVED_WITHIN_SECONDS = 0.36
"""Time to detect the silence and serve the readers one after another by another replica."""


class SilenceTest(unittest.TestCase):
    def setUp(self) -> None:
        self.scheduler = ModelScheduler()
        self.changes: list[bool] = []
        self.silence = DatabaseSilence(
            self.scheduler.now, on_change=lambda is_silent, _: self.changes.append(is_silent)
        )

    def begins_in(self, usual: float = 0.0) -> float:
        return self.silence.silent_at((), usual) - self.scheduler.now()

    def test_no_silence_without_outstanding_requests(self) -> None:
        self.scheduler.advance(100.0)
        self.assertEqual(self.begins_in(), float("inf"))

    def test_silence_limit_by_usual_statement_time(self) -> None:
        self.silence.record_opening_started(self.scheduler.now())
        for usual, limit in (
            (0.0, MIN_SILENCE_SECONDS),
            (0.05, MIN_SILENCE_SECONDS),
            (0.15, 0.15 * USUAL_TIME_FACTOR),
            (5.0, MAX_SILENCE_SECONDS),
        ):
            with self.subTest(usual):
                self.assertAlmostEqual(self.begins_in(usual), limit)

    def test_each_answer_restarts_the_limit(self) -> None:
        began_at = self.scheduler.now()
        self.silence.record_opening_started(began_at)
        self.scheduler.advance(0.2)
        self.silence.record_answer()
        self.assertAlmostEqual(self.begins_in(), MIN_SILENCE_SECONDS)
        self.silence.record_opening_ended(began_at)
        self.assertEqual(self.begins_in(), float("inf"))

    def test_silence_and_its_end_are_reported_once(self) -> None:
        self.silence.record_opening_started(self.scheduler.now())
        self.scheduler.advance(1.0)
        for _ in range(3):
            self.assertTrue(self.silence.detect_silence(self.silence.silent_at((), 0.0)))
        for _ in range(3):
            self.silence.record_answer()
        self.assertFalse(self.silence.detect_silence(self.silence.silent_at((), 0.0)))
        self.assertEqual(self.changes, [True, False])

    def test_probes_are_limited_by_interval(self) -> None:
        admitted = 0
        for _ in range(100):
            admitted += self.silence.try_probe()
            self.scheduler.advance(PROBE_INTERVAL_SECONDS / 10)
        self.assertIn(admitted, range(9, 12))


class PoolTest(unittest.TestCase):
    def setUp(self) -> None:
        self.scheduler = ModelScheduler()
        self.model = ModelGroup(self.scheduler)
        self.denied: list[Denial] = []
        self.connections: list[DatabaseConnection] = []

    def pool(self, is_judged: bool = True, is_direct: bool = True) -> ConnectionPool:
        clock = self.scheduler.now
        window = SlotWindow(1) if is_direct else None
        silence = DatabaseSilence(clock, is_judged)
        return ConnectionPool("p", 1, self.model, clock, window, PoolRules(silence))

    def request_connection(self, pool: ConnectionPool, demand: Demand = Demand.SINGLE) -> Waiter:
        waiter = Waiter(1, self._on_connection, self.denied.append, demand)
        pool.acquire(waiter, {})
        return waiter

    def _on_connection(self, connection: DatabaseConnection) -> None:
        self.connections.append(connection)
        connection.send_internal(StatementKind.READ, lambda reply: None)

    def test_silent_database_denies_queued_and_new_statements(self) -> None:
        for is_judged, is_direct in ((True, True), (False, True), (True, False)):
            with self.subTest(is_judged=is_judged, is_direct=is_direct):
                self.setUp()
                pool = self.pool(is_judged, is_direct)
                self.request_connection(pool)
                self.scheduler.advance(OPENING_SECONDS)
                self.model.databases["p"].silent = True
                waiting = self.request_connection(pool)
                for _ in range(10):
                    self.scheduler.advance(MIN_SILENCE_SECONDS / 5)
                    pool.recheck(waiting)
                self.request_connection(pool)
                self.request_connection(pool)
                self.request_connection(pool)
                expected = [Denial.UNREACHABLE] * 2 if is_judged and is_direct else []
                self.assertEqual(self.denied[:2], expected)
                self.assertEqual(pool.is_silent, bool(expected))

    def test_refusing_database_is_not_silent(self) -> None:
        pool = self.pool()
        self.request_connection(pool)
        self.scheduler.advance(OPENING_SECONDS)
        self.model.databases["p"].silent = True
        for _ in range(20):
            self.scheduler.advance(MIN_SILENCE_SECONDS * 0.8)
            pool.record_answer(StatementKind.READ, BUSY)
            self.assertFalse(pool.is_silent)

    def test_proxys_own_request_is_never_denied(self) -> None:
        pool = self.pool()
        self.request_connection(pool)
        self.scheduler.advance(OPENING_SECONDS)
        self.model.databases["p"].silent = True
        self.scheduler.advance(1.0)
        self.request_connection(pool, Demand.INTERNAL)
        self.assertEqual(self.denied, [])


class ReadersTest(unittest.TestCase):
    """The nearest replica stops answering under load while another one can serve."""

    def harness(self, judges_silence: bool) -> PoolerHarness:
        harness = PoolerHarness(configured=False, limit=LIMIT)
        locality = Locality("b", {"a": "north", "b": "north", "c": "south"})
        clock = harness.scheduler.now
        group = Group(GROUP, locality, harness.model, clock, 5.0, judges_silence=judges_silence)
        group.on_event = harness.events.append
        group.set_connection_limit(LIMIT)
        harness.group = harness.services.groups[GROUP] = group
        harness.configure()
        return harness

    def served_in_time(self, judges_silence: bool) -> list[int]:
        """Returns how many of `READERS` were served in time before, during and after silence."""
        harness = self.harness(judges_silence)
        sessions = [harness.session() for _ in range(READERS)]
        sessions[0].write(wait=0.1)
        harness.model.lag = {"r1": 0.0, "r2": 0.0}
        for name in ("r1", "r2"):
            harness.model.databases[name].applied = harness.model.databases["p"].applied
        served: list[int] = []
        for is_silent in (False, True, True, False, False):
            harness.model.databases["r1"].silent = is_silent
            answered = sum(len(each.client.replies) for each in sessions)
            asked = [(each, each.start(StatementKind.READ, argument="t")) for each in sessions]
            harness.scheduler.advance(SERVED_WITHIN_SECONDS)
            served.append(sum(len(each.client.replies) for each in sessions) - answered)
            harness.scheduler.advance(1.0)
            for each, statement_id in asked:
                self.assertIsNone(each.reply(statement_id).failure)
        self.events = harness.events
        return served

    def test_reads_move_to_other_replica_and_return_after_silence(self) -> None:
        served = self.served_in_time(judges_silence=True)
        self.assertEqual(served[0], READERS)
        for while_silent in served[1:3]:
            self.assertGreaterEqual(while_silent, READERS - LIMIT)
        self.assertEqual(served[3:], [READERS] * 2)
        self.assertLess(min(self.served_in_time(judges_silence=False)[1:3]), READERS - LIMIT)

    def test_begin_and_end_of_silence_are_logged(self) -> None:
        self.served_in_time(judges_silence=True)
        judged = [it for it in self.events if isinstance(it, DatabaseSilenceJudged)]
        self.assertEqual({it.database for it in judged}, {"r1"})
        self.assertTrue(judged[0].is_silent)
        self.assertFalse(judged[-1].is_silent)


if __name__ == "__main__":
    unittest.main()
