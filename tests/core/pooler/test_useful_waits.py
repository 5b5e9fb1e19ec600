"""The queue before a full database under load: each one's outcome, who comes first, who is refused.

Statements of equal work come faster than six slots serve them, some urgent, some late when they
come; each is judged when it comes and when the queue says so, as its owner does.
"""

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


class Asked:
    """One statement and what became of it."""

    def __init__(self, priority: int, waited: float, target: float, timeout: float) -> None:
        self.priority = priority
        self.waited = waited
        self.target = target
        self.timeout = timeout
        self.outcomes: list[str] = []
        self.latest_start = 0.0
        self.arrived = 0.0
        self.waiter: Waiter | None = None


class Day:
    """A pool with `SLOTS` warm connections, and what is asked of it."""

    def __init__(self) -> None:
        self.scheduler = ModelScheduler()
        self.model = ModelGroup(self.scheduler)
        window = SlotWindow(SLOTS)
        self.pool = ConnectionPool("p", SLOTS, self.model, self.scheduler.now, window)
        self.asked: list[Asked] = []
        self.waiting: list[Asked] = []
        self.ends: list[float] = []
        self.faults: list[str] = []
        for _ in range(SLOTS):
            self.ask(Asked(0, 0.0, 9.0, 9.0))
        self.scheduler.advance(1.0)

    def ask(self, asked: Asked) -> None:
        now = self.scheduler.now()
        asked.arrived = now - asked.waited
        asked.latest_start = now + asked.timeout - WORK
        deadlines = WaitDeadlines(
            asked.arrived, now, asked.arrived + asked.target, now + asked.timeout
        )

        def given(connection: DatabaseConnection) -> None:
            self._given(asked, connection)

        def denied(denial: Denial) -> None:
            self._denied(asked, denial)

        waiter = Waiter(asked.priority, given, denied, Demand.SINGLE, deadlines=deadlines)
        asked.waiter = waiter
        self.asked.append(asked)
        self.waiting.append(asked)
        self.pool.acquire(waiter, {})
        self._judge_later(asked)

    def _judge_later(self, asked: Asked) -> None:
        if asked.outcomes or asked.waiter is None:
            return
        verdict = self.pool.judge(asked.waiter)
        if isinstance(verdict, WaitUntil):
            delay = max(verdict.at - self.scheduler.now(), 0.0)
            self.scheduler.call_later(delay, lambda: self._judge_later(asked))

    def _given(self, asked: Asked, connection: DatabaseConnection) -> None:
        asked.outcomes.append("served")
        self.waiting.remove(asked)
        now = self.scheduler.now()
        if any(other.priority < asked.priority for other in self.waiting):
            self.faults.append("a less urgent one came first")
        if now > asked.latest_start + WORK:
            self.faults.append("served after its time")
        end = now + WORK
        heapq.heappush(self.ends, end)

        def finish() -> None:
            self.ends.remove(end)
            heapq.heapify(self.ends)
            self.pool.note_answer(StatementKind.READ, SERVED, WORK)
            self.pool.release(connection)

        self.scheduler.call_later(WORK, finish)

    def _denied(self, asked: Asked, denial: Denial) -> None:
        asked.outcomes.append(denial)
        self.waiting.remove(asked)
        if self._exact_start(asked) + WORK < asked.latest_start:
            self.faults.append("refused although it would have been served")

    def _exact_start(self, asked: Asked) -> float:
        """When a slot would have come free for it, if nobody more urgent came meanwhile."""
        assert asked.waiter is not None
        now = self.scheduler.now()
        rank = asked.waiter.rank(now)
        waiters = [other.waiter for other in self.waiting if other.waiter is not None]
        ahead = sum(waiter.rank(now) < rank for waiter in waiters)
        ends = sorted(self.ends)
        ends += [now] * (SLOTS - len(ends))
        heapq.heapify(ends)
        for _ in range(ahead):
            heapq.heappush(ends, heapq.heappop(ends) + WORK)
        return max(ends[0], now)


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
    def test_each_has_one_outcome_the_urgent_first_and_none_is_refused_without_need(
        self, statements: list[tuple[float, int, float, float, float]]
    ) -> None:
        day = Day()
        for pause, priority, waited, target, timeout in statements:
            day.scheduler.advance(pause)
            day.ask(Asked(priority, waited, target, timeout))
        day.scheduler.advance(10.0)
        self.assertEqual([len(asked.outcomes) for asked in day.asked], [1] * len(day.asked))
        self.assertEqual(day.faults, [])
        self.assertEqual(day.pool.waiting, 0)

    @settings(max_examples=100, deadline=None)
    @given(st.lists(st.floats(0, 3), min_size=1, max_size=40))
    def test_who_comes_back_is_served_in_the_order_of_first_arrival(
        self, waited: list[float]
    ) -> None:
        day = Day()
        for _ in range(SLOTS):
            day.ask(Asked(0, 0.0, 9.0, 9.0))
        returned = [Asked(1, each, 9.0, 9.0) for each in waited]
        order: list[float] = []
        for asked in returned:
            day.ask(asked)
            assert asked.waiter is not None
            inner = asked.waiter.given

            def given(
                connection: DatabaseConnection,
                asked: Asked = asked,
                inner: object = inner,
            ) -> None:
                order.append(asked.arrived)
                inner(connection)  # type: ignore[operator]

            asked.waiter.given = given
        day.scheduler.advance(10.0)
        self.assertEqual(order, sorted(order))
        self.assertEqual(len(order), len(returned))

    def test_the_late_are_passed_and_served_before_their_time_is_over(self) -> None:
        """Nine tenths of what the slots serve, all in time: whoever is late waits, then goes."""
        day = Day()
        step = WORK / SLOTS / 0.9
        late = [Asked(1, 2.0, 1.0, 2.0) for _ in range(5)]
        for number in range(400):
            if number == 50:
                for asked in late:
                    day.ask(asked)
            day.ask(Asked(1, 0.0, 1.0, 2.0))
            day.scheduler.advance(step)
        day.scheduler.advance(5.0)
        self.assertEqual([asked.outcomes for asked in late], [["served"]] * 5)
        self.assertEqual(day.faults, [])

    def test_a_burst_is_refused_at_once_as_far_as_it_cannot_be_served(self) -> None:
        """Of 200 with 0.8 s, 48 fit before 0.75 s; the others are told so when they come."""
        day = Day()
        burst = [Asked(1, 0.0, 0.6, 0.8) for _ in range(200)]
        for asked in burst:
            day.ask(asked)
        refused = [asked for asked in burst if asked.outcomes == [Denial.NO_ROOM]]
        self.assertIn(len(refused), range(150, 160))
        moments = {
            asked.waiter.refusal.come_back_seconds
            for asked in refused
            if asked.waiter is not None and asked.waiter.refusal is not None
        }
        self.assertGreater(len(moments), 130)
        day.scheduler.advance(5.0)
        served = [asked for asked in burst if asked.outcomes == ["served"]]
        refused = [asked for asked in burst if asked.outcomes == [Denial.NO_ROOM]]
        self.assertEqual(len(served) + len(refused), 200)
        self.assertIn(len(served), range(42, 50))
        counts = day.pool.wait_counts
        self.assertGreaterEqual(counts.within_double, 0.9 * counts.served)

    def test_what_the_pool_tells_of_its_load(self) -> None:
        day = Day()
        for priority in (2, 1, 1, 2, 1, 1):
            day.ask(Asked(priority, 0.0, 9.0, 9.0))
        pool = day.pool
        self.assertEqual((pool.waiting, pool.urgent_waiting, pool.running), (3, 2, 3))
        self.assertEqual((pool.window_size, pool.openings, pool.has_idle("")), (3, 0, False))
        self.assertAlmostEqual(pool.service_rate.service_time, WORK)

    def test_where_nothing_is_measured_one_may_wait(self) -> None:
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

    def test_a_database_slower_than_all_patience_is_still_tried(self) -> None:
        """Else nothing would show when it is quick again."""
        day = Day()
        for _ in range(100):
            day.pool.note_answer(StatementKind.READ, SERVED, 5.0)
        asked = Asked(1, 0.0, 0.5, 0.8)
        day.ask(asked)
        self.assertEqual(asked.outcomes, ["served"])


if __name__ == "__main__":
    unittest.main()
