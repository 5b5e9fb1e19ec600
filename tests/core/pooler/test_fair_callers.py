"""Fair shares: a caller that overloads a full database must not delay the other callers.
Each load is also run without fair shares, where the others do wait.
"""

import unittest
from collections import Counter

from hypothesis import given, settings
from hypothesis import strategies as st

from dewledge.core.pooler.databases.group import Group
from dewledge.core.pooler.databases.locality import Locality
from dewledge.core.pooler.events import CallerHeldToShare, PoolingEvent
from dewledge.core.pooler.load.verdict import WaitUntil
from dewledge.core.pooler.load.wait_deadlines import WaitDeadlines
from dewledge.core.pooler.pool.connection_openings import MAX_OPENED_AHEAD
from dewledge.core.pooler.pool.connection_pool import ConnectionPool, PoolRules
from dewledge.core.pooler.pool.database_connection import DatabaseConnection
from dewledge.core.pooler.pool.fair_share_watch import OverFairShare
from dewledge.core.pooler.pool.slot_window import SlotWindow
from dewledge.core.pooler.pool.waiter import Demand, Denial, Waiter
from dewledge.core.pooler.statements.statements import Reply, StatementKind, TransactionState
from tests.core.pooler.harness import GROUP, ModelGroup, ModelScheduler

SLOTS = 3
CONNECTIONS = 6
WORK = 0.05
TARGET = 0.5
TIMEOUT = 3.0
SERVED = Reply(TransactionState.IDLE)


class SentStatement:
    """A statement of a caller with its arrival, its start (seconds) and its outcomes."""

    def __init__(self, caller: str, arrived: float, work: float) -> None:
        self.caller = caller
        self.arrived = arrived
        self.work = work
        self.started = 0.0
        self.outcomes: list[str] = []

    @property
    def wait(self) -> float:
        return self.started - self.arrived


class FixedWindow(SlotWindow):
    """A slot window of constant size."""

    def record_served(self, widest: int) -> None:
        """Keeps the size."""


class Database:
    """A connection pool with simulated callers; records the outcome of each statement."""

    def __init__(self, is_fair: bool, connections: int = CONNECTIONS, slots: int = SLOTS) -> None:
        self.scheduler = ModelScheduler()
        self.model = ModelGroup(self.scheduler)
        self.window = FixedWindow(slots)
        self.pool = ConnectionPool(
            "p",
            connections,
            self.model,
            self.scheduler.now,
            self.window,
            PoolRules(is_fair=is_fair),
        )
        self.over_share: list[OverFairShare] = []
        self.pool.on_over_fair_share(self.over_share.append)
        self.sent: list[SentStatement] = []
        self.max_borrowed: Counter[str] = Counter()
        self._borrowed: Counter[str] = Counter()

    def send(
        self,
        caller: str,
        work: float = WORK,
        priority: int = 1,
        target: float = TARGET,
        demand: Demand = Demand.SINGLE,
    ) -> SentStatement:
        now = self.scheduler.now()
        statement = SentStatement(caller, now, work)
        self.sent.append(statement)
        deadlines = WaitDeadlines(now, now, now + target, now + TIMEOUT)

        def on_connection(connection: DatabaseConnection) -> None:
            self._on_connection(statement, connection)

        def on_denied(denial: Denial) -> None:
            statement.outcomes.append(denial)

        waiter = Waiter(priority, on_connection, on_denied, demand, caller, deadlines)
        self.pool.acquire(waiter, {})
        self._reassess_later(statement, waiter)
        return statement

    def _reassess_later(self, statement: SentStatement, waiter: Waiter) -> None:
        if statement.outcomes:
            return
        verdict = self.pool.recheck(waiter)
        if isinstance(verdict, WaitUntil):
            delay = max(verdict.at - self.scheduler.now(), 0.0)
            self.scheduler.call_later(delay, lambda: self._reassess_later(statement, waiter))

    def _on_connection(self, statement: SentStatement, connection: DatabaseConnection) -> None:
        statement.outcomes.append("served")
        statement.started = self.scheduler.now()
        self._borrowed[statement.caller] += 1
        self.max_borrowed[statement.caller] = max(
            self.max_borrowed[statement.caller], self._borrowed[statement.caller]
        )

        def finish() -> None:
            self._borrowed[statement.caller] -= 1
            self.pool.record_answer(StatementKind.READ, SERVED, statement.work, connection)
            self.pool.release(connection)

        self.scheduler.call_later(statement.work, finish)

    def run_load(self, loads: dict[str, float], seconds: float, step: float = 0.01) -> None:
        """Sends statements at the given rates per caller (per second), evenly spaced."""
        pending = dict.fromkeys(loads, 0.0)
        for _ in range(int(seconds / step)):
            for caller, rate in loads.items():
                pending[caller] += rate * step
                while pending[caller] >= 1.0:
                    pending[caller] -= 1.0
                    self.send(caller)
            self.scheduler.advance(step)
        self.scheduler.advance(2 * TIMEOUT)

    def longest_wait(self, caller: str) -> float:
        return max(each.wait for each in self.sent if each.caller == caller)

    def outcomes(self, caller: str) -> Counter[str]:
        return Counter(
            outcome for each in self.sent if each.caller == caller for outcome in each.outcomes
        )


def waits_around_burst(is_fair: bool) -> tuple[float, float]:
    """Returns the longest waits of a busy caller and of a caller that arrives after its burst."""
    database = Database(is_fair)
    database.send("hot")
    database.send("rare")
    database.scheduler.advance(1.0)
    for _ in range(30):
        database.send("hot", target=9.0)
    database.scheduler.advance(0.04)
    rare = database.send("rare", target=9.0)
    database.scheduler.advance(9.0)
    return database.longest_wait("hot"), rare.wait


class SlotsTest(unittest.TestCase):
    def test_single_request_overtakes_backlog_of_busy_caller(self) -> None:
        """A statement arrives behind 30 queued statements of another caller."""
        hot, rare = waits_around_burst(is_fair=True)
        self.assertLess(rare, 2 * WORK)
        self.assertGreater(hot, 6 * WORK)
        _, rare_by_arrival = waits_around_burst(is_fair=False)
        self.assertGreater(rare_by_arrival, 6 * WORK)

    def test_overloading_caller_does_not_delay_others(self) -> None:
        """The slots serve 60 statements/s; five callers send 4/s each, one sends 80/s."""
        loads = {f"caller {number}": 4.0 for number in range(5)} | {"hot": 80.0}
        database = Database(is_fair=True, connections=12)
        database.run_load(loads, 4.0)
        for caller in loads:
            if caller != "hot":
                self.assertEqual(set(database.outcomes(caller)), {"served"})
                self.assertLess(database.longest_wait(caller), 0.3)
        hot = database.outcomes("hot")
        self.assertGreater(hot["served"], 0.6 * 40 * 4)
        self.assertTrue(all(each.caller == "hot" for each in database.over_share))
        self.assertIn(len(database.over_share), range(2, 9))
        by_arrival = Database(is_fair=False, connections=12)
        by_arrival.run_load(loads, 4.0)
        refused = sum(by_arrival.outcomes(name)["no_room"] for name in loads if name != "hot")
        self.assertGreater(refused, 20)

    def test_shares_count_slot_time_instead_of_statements(self) -> None:
        """Two callers send equally many statements, but one caller's take three times as long."""
        database = Database(is_fair=True)
        for caller in ("long", "short"):
            database.send(caller)
        database.scheduler.advance(1.0)
        for _ in range(60):
            database.send("long", work=3 * WORK, target=99.0)
            database.send("short", target=99.0)
        database.scheduler.advance(2.0)
        short = database.outcomes("short")["served"]
        self.assertGreater(short, 1.8 * database.outcomes("long")["served"])

    def test_unused_shares_are_available_to_other_callers(self) -> None:
        """A single caller can use all slots."""
        for is_fair in (True, False):
            database = Database(is_fair)
            for _ in range(30):
                database.send("hot", target=9.0)
            database.scheduler.advance(0.3)
            self.assertEqual(database.pool.running, SLOTS)
            self.assertEqual(database.max_borrowed["hot"], SLOTS)

    def test_order_is_unchanged_without_caller_names(self) -> None:
        """With one caller, fair shares must not change the order by urgency and lateness."""
        orders = []
        for is_fair in (True, False):
            database = Database(is_fair)
            for number in range(40):
                database.send("", priority=number % 3, target=(0.05, 9.0)[number % 2])
                database.scheduler.advance(0.01 * (number % 2))
            database.scheduler.advance(9.0)
            orders.append([(each.started, each.outcomes) for each in database.sent])
        self.assertEqual(orders[0], orders[1])

    def test_late_statement_does_not_overtake_statements_in_time(self) -> None:
        """A late statement of a rare caller must not pass statements that can still be in time."""
        database = Database(is_fair=True)
        for caller in ("hot", "rare"):
            database.send(caller)
        database.scheduler.advance(1.0)
        for _ in range(9):
            database.send("hot", target=9.0)
        database.scheduler.advance(0.04)
        late = database.send("rare", target=-0.1)
        database.scheduler.advance(9.0)
        self.assertGreater(late.started, max(each.started for each in database.sent[2:11]))


class ConnectionsTest(unittest.TestCase):
    def test_caller_gets_connection_while_busy_caller_has_all(self) -> None:
        """A caller without a connection must get one although the other has an endless backlog."""
        waits = []
        for is_fair in (True, False):
            database = Database(is_fair, connections=SLOTS)
            database.send("hot")
            database.scheduler.advance(1.0)
            for _ in range(40):
                database.send("hot", target=9.0)
            database.scheduler.advance(0.1)
            rare = database.send("rare", target=9.0)
            database.scheduler.advance(9.0)
            waits.append(rare.wait)
        self.assertLess(waits[0], 3 * WORK)
        self.assertGreater(waits[1], 8 * WORK)

    def test_connections_open_first_for_callers_below_their_share(self) -> None:
        """Statements of all callers arrive before the first connection can be opened."""
        firsts = []
        for is_fair in (True, False):
            database = Database(is_fair, connections=SLOTS, slots=CONNECTIONS)
            database.pool.change_limit(0)
            for _ in range(10):
                database.send("hot", target=9.0)
            for caller in "ab":
                database.send(caller, target=9.0)
            database.pool.change_limit(SLOTS)
            database.send("hot", target=9.0)
            database.scheduler.advance(0.04)
            firsts.append(sorted(each.caller for each in database.sent if each.outcomes))
        self.assertEqual(firsts, [["a", "b", "hot"], ["hot", "hot", "hot"]])

    def test_many_backlogs_cause_no_burst_of_openings(self) -> None:
        """Twelve callers with backlogs share three connections; reopening must not add load."""
        database = Database(is_fair=True, connections=SLOTS)
        loads = {f"caller {number}": 10.0 for number in range(12)}
        database.run_load(loads, 3.0)
        for caller in loads:
            self.assertGreater(database.outcomes(caller)["served"], 2)
        self.assertLessEqual(database.model.databases["p"].open_connections, SLOTS)
        self.assertLessEqual(database.pool.size, SLOTS)
        self.assertLessEqual(len(database.model.transports), len(database.sent))

    def test_connections_opened_ahead_are_limited(self) -> None:
        """All callers arrive at once at a full database that still accepts connections."""
        database = Database(is_fair=True, connections=40)
        for _ in range(SLOTS):
            database.send("hot", target=9.0)
        database.scheduler.advance(1.0)
        for _ in range(20):
            database.send("hot", target=9.0)
        for number in range(30):
            database.send(f"caller {number}", target=9.0)
        max_openings = 0
        while database.pool.waiting:
            database.scheduler.advance(0.002)
            max_openings = max(max_openings, database.pool.openings)
        self.assertEqual(max_openings, MAX_OPENED_AHEAD)
        self.assertEqual({len(each.outcomes) for each in database.sent}, {1})


def over_share_events(is_fair: bool) -> list[CallerHeldToShare]:
    """Returns the events logged for one connection with 40 statements of a busy caller."""
    scheduler = ModelScheduler()
    group = Group(
        GROUP,
        Locality("b", {"b": "north"}),
        ModelGroup(scheduler),
        scheduler.now,
        5.0,
        is_fair=is_fair,
    )
    events: list[PoolingEvent] = []
    group.on_event = events.append
    group.set_connection_limit(1)
    pool = group.pool("p")

    def serve(connection: DatabaseConnection) -> None:
        scheduler.call_later(0.1, lambda: pool.release(connection))

    def send(caller: str) -> None:
        pool.acquire(Waiter(1, serve, lambda denial: None, Demand.SINGLE, caller), {})

    for _ in range(40):
        send("hot")
    for _ in range(30):
        send("rare")
        scheduler.advance(0.1)
    return [event for event in events if isinstance(event, CallerHeldToShare)]


class LogTest(unittest.TestCase):
    def test_callers_over_fair_share_are_logged_once_per_second(self) -> None:
        """Tested through the group, which creates the pools. Nothing is logged without shares."""
        found = over_share_events(is_fair=True)
        self.assertEqual({event.caller for event in found}, {"hot"})
        self.assertIn(len(found), (2, 3))
        self.assertEqual(over_share_events(is_fair=False), [])


STATEMENTS = st.lists(
    st.tuples(
        st.floats(0, 0.03),
        st.sampled_from(["hot", "hot", "hot", "a", "b", ""]),
        st.integers(0, 1),
        st.sampled_from([Demand.SINGLE, Demand.TRANSACTION]),
        st.sampled_from([0.01, 0.05, 0.2]),
    ),
    max_size=80,
)


class PropertyTest(unittest.TestCase):
    @settings(max_examples=80, deadline=None)
    @given(STATEMENTS, st.booleans(), st.integers(1, 6))
    def test_every_statement_has_one_outcome_and_none_is_left(
        self,
        statements: list[tuple[float, str, int, Demand, float]],
        is_fair: bool,
        connections: int,
    ) -> None:
        database = Database(is_fair, connections)
        for pause, caller, priority, demand, work in statements:
            database.scheduler.advance(pause)
            database.send(caller, work, priority, demand=demand)
            self.assertLessEqual(database.pool.size, connections)
        database.scheduler.advance(30.0)
        self.assertEqual([len(each.outcomes) for each in database.sent], [1] * len(statements))
        self.assertEqual((database.pool.waiting, database.pool.in_use), (0, 0))

    @settings(max_examples=80, deadline=None)
    @given(STATEMENTS)
    def test_no_slot_is_idle_while_a_statement_waits(
        self, statements: list[tuple[float, str, int, Demand, float]]
    ) -> None:
        """With enough connections, all slots must be busy while a statement waits."""
        database = Database(True, connections=100)
        for pause, caller, priority, _, work in statements:
            database.scheduler.advance(pause)
            database.send(caller, work, priority)
            if database.pool.waiting and not database.pool.openings:
                self.assertEqual(database.pool.running, SLOTS)


if __name__ == "__main__":
    unittest.main()
