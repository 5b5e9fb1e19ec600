"""Queue of a full database: which statements are served or refused, and in which order."""

import heapq
import unittest

from hypothesis import given, settings
from hypothesis import strategies as st

from dewledge.core.pooler.load.verdict import WaitUntil
from dewledge.core.pooler.load.wait_deadlines import WaitDeadlines
from dewledge.core.pooler.pool.connection_pool import ConnectionPool
from dewledge.core.pooler.pool.database_connection import DatabaseConnection
from dewledge.core.pooler.pool.slot_window import SlotWindow
from dewledge.core.pooler.pool.waiter import Demand, Denial, Waiter
from dewledge.core.pooler.statements.statements import Reply, StatementKind, TransactionState
from tests.core.pooler.harness import ModelGroup, ModelScheduler

SLOTS = 3
WORK = 0.05
SERVED = Reply(TransactionState.IDLE)


class SentStatement:
    """A statement with its deadlines and outcomes; `waited`: seconds since its first attempt."""

    def __init__(self, priority: int, waited: float, target: float, timeout: float) -> None:
        self.priority = priority
        self.waited = waited
        self.target = target
        self.timeout = timeout
        self.outcomes: list[str] = []
        self.latest_start = 0.0
        self.arrived = 0.0
        self.waiter: Waiter | None = None


class QueueSimulation:
    """A pool with `SLOTS` open connections; checks the order and each refusal as time passes."""

    def __init__(self) -> None:
        self.scheduler = ModelScheduler()
        self.model = ModelGroup(self.scheduler)
        window = SlotWindow(SLOTS)
        self.pool = ConnectionPool("p", SLOTS, self.model, self.scheduler.now, window)
        self.sent: list[SentStatement] = []
        self.waiting: list[SentStatement] = []
        self.slot_ends: list[float] = []
        self.faults: list[str] = []
        for _ in range(SLOTS):
            self.send(SentStatement(0, 0.0, 9.0, 9.0))
        self.scheduler.advance(1.0)

    def send(self, statement: SentStatement) -> None:
        now = self.scheduler.now()
        statement.arrived = now - statement.waited
        statement.latest_start = now + statement.timeout - WORK
        deadlines = WaitDeadlines(
            statement.arrived, now, statement.arrived + statement.target, now + statement.timeout
        )

        def on_connection(connection: DatabaseConnection) -> None:
            self._on_connection(statement, connection)

        def on_denied(denial: Denial) -> None:
            self._on_denied(statement, denial)

        waiter = Waiter(
            statement.priority, on_connection, on_denied, Demand.SINGLE, deadlines=deadlines
        )
        statement.waiter = waiter
        self.sent.append(statement)
        self.waiting.append(statement)
        self.pool.acquire(waiter, {})
        self._reassess_later(statement)

    def _reassess_later(self, statement: SentStatement) -> None:
        if statement.outcomes or statement.waiter is None:
            return
        verdict = self.pool.recheck(statement.waiter)
        if isinstance(verdict, WaitUntil):
            delay = max(verdict.at - self.scheduler.now(), 0.0)
            self.scheduler.call_later(delay, lambda: self._reassess_later(statement))

    def _on_connection(self, statement: SentStatement, connection: DatabaseConnection) -> None:
        statement.outcomes.append("served")
        self.waiting.remove(statement)
        now = self.scheduler.now()
        if any(other.priority < statement.priority for other in self.waiting):
            self.faults.append("served before a more urgent statement")
        if now > statement.latest_start + WORK:
            self.faults.append("served after its deadline")
        end = now + WORK
        heapq.heappush(self.slot_ends, end)

        def finish() -> None:
            self.slot_ends.remove(end)
            heapq.heapify(self.slot_ends)
            self.pool.record_answer(StatementKind.READ, SERVED, WORK)
            self.pool.release(connection)

        self.scheduler.call_later(WORK, finish)

    def _on_denied(self, statement: SentStatement, denial: Denial) -> None:
        statement.outcomes.append(denial)
        self.waiting.remove(statement)
        if self._exact_start(statement) + WORK < statement.latest_start:
            self.faults.append("refused although it could have been served")

    def _exact_start(self, statement: SentStatement) -> float:
        """Returns when a slot would become free for it, if no more urgent statement arrives."""
        assert statement.waiter is not None
        now = self.scheduler.now()
        rank = statement.waiter.rank(now)
        waiters = [other.waiter for other in self.waiting if other.waiter is not None]
        ahead = sum(waiter.rank(now) < rank for waiter in waiters)
        slot_ends = sorted(self.slot_ends)
        slot_ends += [now] * (SLOTS - len(slot_ends))
        heapq.heapify(slot_ends)
        for _ in range(ahead):
            heapq.heappush(slot_ends, heapq.heappop(slot_ends) + WORK)
        return max(slot_ends[0], now)


STATEMENTS = st.lists(
    st.tuples(
        st.floats(0, 0.03),
        st.integers(0, 2),
        st.sampled_from([0.0, 0.0, 0.5, 2.0]),
        st.sampled_from([0.2, 0.6, 1.0]),
        st.sampled_from([0.3, 0.8, 3.0]),
    ),
    max_size=120,
)


class QueueTest(unittest.TestCase):
    @settings(max_examples=150, deadline=None)
    @given(STATEMENTS)
    def test_one_outcome_each_urgent_first_and_no_needless_refusal(
        self, statements: list[tuple[float, int, float, float, float]]
    ) -> None:
        simulation = QueueSimulation()
        for pause, priority, waited, target, timeout in statements:
            simulation.scheduler.advance(pause)
            simulation.send(SentStatement(priority, waited, target, timeout))
        simulation.scheduler.advance(10.0)
        self.assertEqual(
            [len(statement.outcomes) for statement in simulation.sent], [1] * len(simulation.sent)
        )
        self.assertEqual(simulation.faults, [])
        self.assertEqual(simulation.pool.waiting, 0)

    @settings(max_examples=100, deadline=None)
    @given(st.lists(st.floats(0, 3), min_size=1, max_size=40))
    def test_retries_are_served_in_order_of_first_arrival(self, waited: list[float]) -> None:
        simulation = QueueSimulation()
        for _ in range(SLOTS):
            simulation.send(SentStatement(0, 0.0, 9.0, 9.0))
        retries = [SentStatement(1, each, 9.0, 9.0) for each in waited]
        order: list[float] = []
        for statement in retries:
            simulation.send(statement)
            assert statement.waiter is not None
            inner = statement.waiter.on_assigned

            def on_connection(
                connection: DatabaseConnection,
                statement: SentStatement = statement,
                inner: object = inner,
            ) -> None:
                order.append(statement.arrived)
                inner(connection)  # type: ignore[operator]

            statement.waiter.on_assigned = on_connection
        simulation.scheduler.advance(10.0)
        self.assertEqual(order, sorted(order))
        self.assertEqual(len(order), len(retries))

    def test_late_statements_are_overtaken_but_served_before_timeout(self) -> None:
        """At 90% load late statements wait, but must not wait until their timeout."""
        simulation = QueueSimulation()
        step = WORK / SLOTS / 0.9
        late = [SentStatement(1, 2.0, 1.0, 2.0) for _ in range(5)]
        for number in range(400):
            if number == 50:
                for statement in late:
                    simulation.send(statement)
            simulation.send(SentStatement(1, 0.0, 1.0, 2.0))
            simulation.scheduler.advance(step)
        simulation.scheduler.advance(5.0)
        self.assertEqual([statement.outcomes for statement in late], [["served"]] * 5)
        self.assertEqual(simulation.faults, [])

    def test_burst_beyond_capacity_is_refused_immediately(self) -> None:
        """The slots can start 48 of 200 statements with a timeout of 0.8 s before 0.75 s."""
        simulation = QueueSimulation()
        burst = [SentStatement(1, 0.0, 0.6, 0.8) for _ in range(200)]
        for statement in burst:
            simulation.send(statement)
        refused = [statement for statement in burst if statement.outcomes == [Denial.NO_SLOT]]
        self.assertIn(len(refused), range(150, 160))
        delays = {
            statement.waiter.refusal.come_back_seconds
            for statement in refused
            if statement.waiter is not None and statement.waiter.refusal is not None
        }
        self.assertGreater(len(delays), 130)
        simulation.scheduler.advance(5.0)
        served = [statement for statement in burst if statement.outcomes == ["served"]]
        refused = [statement for statement in burst if statement.outcomes == [Denial.NO_SLOT]]
        self.assertEqual(len(served) + len(refused), 200)
        self.assertIn(len(served), range(42, 50))
        counts = simulation.pool.wait_counts
        self.assertGreaterEqual(counts.within_double, 0.9 * counts.served)

    def test_pool_reports_its_load(self) -> None:
        simulation = QueueSimulation()
        for priority in (2, 1, 1, 2, 1, 1):
            simulation.send(SentStatement(priority, 0.0, 9.0, 9.0))
        pool = simulation.pool
        self.assertEqual((pool.waiting, pool.urgent_waiting, pool.running), (3, 2, 3))
        self.assertEqual((pool.window_size, pool.openings, pool.has_idle("")), (3, 0, False))
        self.assertAlmostEqual(pool.service_rate.service_time, WORK)

    def test_statement_may_wait_before_service_time_is_known(self) -> None:
        scheduler = ModelScheduler()
        pool = ConnectionPool("p", 1, ModelGroup(scheduler), scheduler.now, SlotWindow(1))
        denied: list[Denial] = []
        for _ in range(50):
            now = scheduler.now()
            deadlines = WaitDeadlines(now, now, now + 0.1, now + 0.2)
            pool.acquire(
                Waiter(1, lambda _: None, denied.append, Demand.SINGLE, deadlines=deadlines), {}
            )
        self.assertEqual(denied, [])

    def test_database_slower_than_the_timeout_is_still_tried(self) -> None:
        """Otherwise nothing would detect that the database has become fast again."""
        simulation = QueueSimulation()
        for _ in range(100):
            simulation.pool.record_answer(StatementKind.READ, SERVED, 5.0)
        statement = SentStatement(1, 0.0, 0.5, 0.8)
        simulation.send(statement)
        self.assertEqual(statement.outcomes, ["served"])


if __name__ == "__main__":
    unittest.main()
