"""Callers before one full database: one sends ten times its usual, the others are served as before.

Each pattern is played with shares and without; the load that each answers is in its name.
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
from dewledge.core.pooler.pool.connection_openings import MOST_OPENED_AHEAD
from dewledge.core.pooler.pool.connection_pool import ConnectionPool, PoolRules
from dewledge.core.pooler.pool.database_connection import DatabaseConnection
from dewledge.core.pooler.pool.held_to_share import HeldToShare
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


class Asked:
    """One statement: when it came and was served, in seconds, and what became of it."""

    def __init__(self, caller: str, at: float, work: float) -> None:
        self.caller = caller
        self.at = at
        self.work = work
        self.started = 0.0
        self.outcomes: list[str] = []

    @property
    def wait(self) -> float:
        return self.started - self.at


class FixedWindow(SlotWindow):
    """As many as the database runs, known from the beginning."""

    def note_served(self, widest: int) -> None:
        """It stays."""


class Database:
    """A pool, and callers that ask."""

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
        self.held: list[HeldToShare] = []
        self.pool.on_held_to_share(self.held.append)
        self.asked: list[Asked] = []
        self.most_lent: Counter[str] = Counter()
        self._lent: Counter[str] = Counter()

    def ask(
        self,
        caller: str,
        work: float = WORK,
        priority: int = 1,
        target: float = TARGET,
        demand: Demand = Demand.SINGLE,
    ) -> Asked:
        now = self.scheduler.now()
        asked = Asked(caller, now, work)
        self.asked.append(asked)
        deadlines = WaitDeadlines(now, now, now + target, now + TIMEOUT)

        def given(connection: DatabaseConnection) -> None:
            self._given(asked, connection)

        def denied(denial: Denial) -> None:
            asked.outcomes.append(denial)

        waiter = Waiter(priority, given, denied, demand, caller, deadlines)
        self.pool.acquire(waiter, {})
        self._judge_later(asked, waiter)
        return asked

    def _judge_later(self, asked: Asked, waiter: Waiter) -> None:
        if asked.outcomes:
            return
        verdict = self.pool.judge(waiter)
        if isinstance(verdict, WaitUntil):
            delay = max(verdict.at - self.scheduler.now(), 0.0)
            self.scheduler.call_later(delay, lambda: self._judge_later(asked, waiter))

    def _given(self, asked: Asked, connection: DatabaseConnection) -> None:
        asked.outcomes.append("served")
        asked.started = self.scheduler.now()
        self._lent[asked.caller] += 1
        self.most_lent[asked.caller] = max(self.most_lent[asked.caller], self._lent[asked.caller])

        def finish() -> None:
            self._lent[asked.caller] -= 1
            self.pool.note_answer(StatementKind.READ, SERVED, asked.work, connection)
            self.pool.release(connection)

        self.scheduler.call_later(asked.work, finish)

    def play(self, loads: dict[str, float], seconds: float, step: float = 0.01) -> None:
        """Each caller asks so many times a second, evenly."""
        due = dict.fromkeys(loads, 0.0)
        for _ in range(int(seconds / step)):
            for caller, rate in loads.items():
                due[caller] += rate * step
                while due[caller] >= 1.0:
                    due[caller] -= 1.0
                    self.ask(caller)
            self.scheduler.advance(step)
        self.scheduler.advance(2 * TIMEOUT)

    def longest(self, caller: str) -> float:
        return max(each.wait for each in self.asked if each.caller == caller)

    def outcomes(self, caller: str) -> Counter[str]:
        return Counter(
            outcome for each in self.asked if each.caller == caller for outcome in each.outcomes
        )


def burst_beside_others(is_fair: bool) -> tuple[float, float]:
    """Returns the longest waits of the hot caller and of one that comes after its burst."""
    database = Database(is_fair)
    database.ask("hot")
    database.ask("rare")
    database.scheduler.advance(1.0)
    for _ in range(30):
        database.ask("hot", target=9.0)
    database.scheduler.advance(0.04)
    rare = database.ask("rare", target=9.0)
    database.scheduler.advance(9.0)
    return database.longest("hot"), rare.wait


class SlotsTest(unittest.TestCase):
    def test_one_request_beside_the_backlog_of_a_hot_caller(self) -> None:
        """30 statements of one caller stand there when one of another comes."""
        hot, rare = burst_beside_others(is_fair=True)
        self.assertLess(rare, 2 * WORK)
        self.assertGreater(hot, 6 * WORK)
        _, rare_by_arrival = burst_beside_others(is_fair=False)
        self.assertGreater(rare_by_arrival, 6 * WORK)

    def test_a_caller_at_ten_times_its_usual(self) -> None:
        """The slots serve 60 a second; five callers send 4 a second each, one sends 80."""
        loads = {f"caller {number}": 4.0 for number in range(5)} | {"hot": 80.0}
        database = Database(is_fair=True, connections=12)
        database.play(loads, 4.0)
        for caller in loads:
            if caller != "hot":
                self.assertEqual(set(database.outcomes(caller)), {"served"})
                self.assertLess(database.longest(caller), 0.3)
        hot = database.outcomes("hot")
        self.assertGreater(hot["served"], 0.6 * 40 * 4)
        self.assertTrue(all(held.caller == "hot" for held in database.held))
        self.assertIn(len(database.held), range(2, 9))
        by_arrival = Database(is_fair=False, connections=12)
        by_arrival.play(loads, 4.0)
        refused = sum(by_arrival.outcomes(name)["no_room"] for name in loads if name != "hot")
        self.assertGreater(refused, 20)

    def test_long_statements_cost_their_slot_time(self) -> None:
        """Two callers with as many statements, one with work three times as long."""
        database = Database(is_fair=True)
        for caller in ("long", "short"):
            database.ask(caller)
        database.scheduler.advance(1.0)
        for _ in range(60):
            database.ask("long", work=3 * WORK, target=99.0)
            database.ask("short", target=99.0)
        database.scheduler.advance(2.0)
        short = database.outcomes("short")["served"]
        self.assertGreater(short, 1.8 * database.outcomes("long")["served"])

    def test_unused_shares_go_to_who_can_use_them(self) -> None:
        """One caller alone has all slots, whatever it sends."""
        for is_fair in (True, False):
            database = Database(is_fair)
            for _ in range(30):
                database.ask("hot", target=9.0)
            database.scheduler.advance(0.3)
            self.assertEqual(database.pool.running, SLOTS)
            self.assertEqual(database.most_lent["hot"], SLOTS)

    def test_no_caller_is_told_apart_where_none_is_named(self) -> None:
        """The order of one caller alone is that without shares, urgency and lateness included."""
        orders = []
        for is_fair in (True, False):
            database = Database(is_fair)
            for number in range(40):
                database.ask("", priority=number % 3, target=(0.05, 9.0)[number % 2])
                database.scheduler.advance(0.01 * (number % 2))
            database.scheduler.advance(9.0)
            orders.append([(each.started, each.outcomes) for each in database.asked])
        self.assertEqual(orders[0], orders[1])

    def test_what_is_in_time_stays_before_what_is_late(self) -> None:
        """A rare caller's late statement doesn't pass what another may have in time."""
        database = Database(is_fair=True)
        for caller in ("hot", "rare"):
            database.ask(caller)
        database.scheduler.advance(1.0)
        for _ in range(9):
            database.ask("hot", target=9.0)
        database.scheduler.advance(0.04)
        late = database.ask("rare", target=-0.1)
        database.scheduler.advance(9.0)
        self.assertGreater(late.started, max(each.started for each in database.asked[2:11]))


class ConnectionsTest(unittest.TestCase):
    def test_a_hot_caller_that_holds_all_connections(self) -> None:
        """Its backlog never ends; another has none there, and gets one of them at once."""
        waits = []
        for is_fair in (True, False):
            database = Database(is_fair, connections=SLOTS)
            database.ask("hot")
            database.scheduler.advance(1.0)
            for _ in range(40):
                database.ask("hot", target=9.0)
            database.scheduler.advance(0.1)
            rare = database.ask("rare", target=9.0)
            database.scheduler.advance(9.0)
            waits.append(rare.wait)
        self.assertLess(waits[0], 3 * WORK)
        self.assertGreater(waits[1], 8 * WORK)

    def test_openings_of_callers_below_their_share_come_first(self) -> None:
        """All came while the database was not reached; then connections are opened anew."""
        firsts = []
        for is_fair in (True, False):
            database = Database(is_fair, connections=SLOTS, slots=CONNECTIONS)
            database.pool.change_limit(0)
            for _ in range(10):
                database.ask("hot", target=9.0)
            for caller in "ab":
                database.ask(caller, target=9.0)
            database.pool.change_limit(SLOTS)
            database.ask("hot", target=9.0)
            database.scheduler.advance(0.04)
            firsts.append(sorted(each.caller for each in database.asked if each.outcomes))
        self.assertEqual(firsts, [["a", "b", "hot"], ["hot", "hot", "hot"]])

    def test_no_storm_of_openings(self) -> None:
        """Twelve callers with backlogs before three connections: one is opened at a time."""
        database = Database(is_fair=True, connections=SLOTS)
        loads = {f"caller {number}": 10.0 for number in range(12)}
        database.play(loads, 3.0)
        for caller in loads:
            self.assertGreater(database.outcomes(caller)["served"], 2)
        self.assertLessEqual(database.model.databases["p"].open_connections, SLOTS)
        self.assertLessEqual(database.pool.size, SLOTS)
        self.assertLessEqual(len(database.model.transports), len(database.asked))

    def test_no_more_than_two_are_opened_ahead(self) -> None:
        """All callers come at once to a full database, with room for connections."""
        database = Database(is_fair=True, connections=40)
        for _ in range(SLOTS):
            database.ask("hot", target=9.0)
        database.scheduler.advance(1.0)
        for _ in range(20):
            database.ask("hot", target=9.0)
        for number in range(30):
            database.ask(f"caller {number}", target=9.0)
        most = 0
        while database.pool.waiting:
            database.scheduler.advance(0.002)
            most = max(most, database.pool.openings)
        self.assertEqual(most, MOST_OPENED_AHEAD)
        self.assertEqual({len(each.outcomes) for each in database.asked}, {1})


def held_events(is_fair: bool) -> list[CallerHeldToShare]:
    """Returns what a group logs, whose pool has one connection, 40 of one caller and a rare one."""
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
    group.record = events.append
    group.set_connection_limit(1)
    pool = group.pool("p")

    def serve(connection: DatabaseConnection) -> None:
        scheduler.call_later(0.1, lambda: pool.release(connection))

    def ask(caller: str) -> None:
        pool.acquire(Waiter(1, serve, lambda denial: None, Demand.SINGLE, caller), {})

    for _ in range(40):
        ask("hot")
    for _ in range(30):
        ask("rare")
        scheduler.advance(0.1)
    return [event for event in events if isinstance(event, CallerHeldToShare)]


class LogTest(unittest.TestCase):
    def test_who_is_held_to_its_share_is_logged_once_a_second(self) -> None:
        """Through the group, as the process makes its pools; not where shares are off."""
        found = held_events(is_fair=True)
        self.assertEqual({event.caller for event in found}, {"hot"})
        self.assertIn(len(found), (2, 3))
        self.assertEqual(held_events(is_fair=False), [])


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
    def test_each_has_one_outcome_and_nothing_is_left(
        self,
        statements: list[tuple[float, str, int, Demand, float]],
        is_fair: bool,
        connections: int,
    ) -> None:
        database = Database(is_fair, connections)
        for pause, caller, priority, demand, work in statements:
            database.scheduler.advance(pause)
            database.ask(caller, work, priority, demand=demand)
            self.assertLessEqual(database.pool.size, connections)
        database.scheduler.advance(30.0)
        self.assertEqual([len(each.outcomes) for each in database.asked], [1] * len(statements))
        self.assertEqual((database.pool.waiting, database.pool.in_use), (0, 0))

    @settings(max_examples=80, deadline=None)
    @given(STATEMENTS)
    def test_no_slot_stands_free_while_one_waits_with_a_connection(
        self, statements: list[tuple[float, str, int, Demand, float]]
    ) -> None:
        """Work conserving: with a connection for everyone, all slots run while anyone waits."""
        database = Database(True, connections=100)
        for pause, caller, priority, _, work in statements:
            database.scheduler.advance(pause)
            database.ask(caller, work, priority)
            if database.pool.waiting and not database.pool.openings:
                self.assertEqual(database.pool.running, SLOTS)


if __name__ == "__main__":
    unittest.main()
