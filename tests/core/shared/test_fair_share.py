"""Guards the order of service between callers, and against unbounded state."""

import unittest
from collections import Counter

from hypothesis import given, settings
from hypothesis import strategies as st

from dewledge.core.shared.fair_share import FairShares

CALLERS = ("hot", "modest", "rare")
STEPS = st.lists(
    st.tuples(
        st.sampled_from(["join", "leave", "serve", "settle"]),
        st.sampled_from(CALLERS),
        st.floats(0.01, 4.0),
    ),
    max_size=200,
)


class Backlog:
    """Fair shares with a count of waiting requests; serves the lowest tag."""

    def __init__(self) -> None:
        self.shares = FairShares()
        self.waiting: Counter[str] = Counter()

    def join(self, caller: str, count: int = 1, weight: float = 1.0) -> None:
        for _ in range(count):
            self.shares.join(caller, weight)
        self.waiting[caller] += count

    def serve_next(self, cost: float = 1.0) -> str:
        backlogged = [name for name, count in self.waiting.items() if count]
        caller = min(backlogged, key=lambda name: (self.shares.start_tag(name), name))
        self.shares.serve(caller, cost)
        self.waiting[caller] -= 1
        return caller


class OrderTest(unittest.TestCase):
    """The order of service when a caller sends many times its usual load."""

    def test_service_order(self) -> None:
        for name, joins, weights, expected in (
            ("single caller", "aaa", {}, "aaa"),
            ("busy caller and two others", "aaaaabc", {}, "abcaaaa"),
            ("two busy callers", "aaabbb", {}, "ababab"),
            ("different weights", "aaabbbbbb", {"b": 2.0}, "abbabbabb"),
        ):
            with self.subTest(name):
                backlog = Backlog()
                for caller in joins:
                    backlog.join(caller, weight=weights.get(caller, 1.0))
                served = "".join(backlog.serve_next() for _ in joins)
                self.assertEqual(served, expected)

    def test_late_caller_gets_no_credit_and_waits_for_one_request(self) -> None:
        backlog = Backlog()
        backlog.join("hot", 100)
        for _ in range(50):
            backlog.serve_next()
        backlog.join("rare", 4)
        served = [backlog.serve_next() for _ in range(8)]
        self.assertIn("rare", served[:2])
        self.assertEqual(served.count("rare"), 4)

    def test_shares_follow_the_actual_cost(self) -> None:
        """Requests of "long" cost four times as much, so it gets a quarter as many."""
        backlog = Backlog()
        backlog.join("long", 100)
        backlog.join("short", 100)
        served: Counter[str] = Counter()
        for _ in range(50):
            caller = backlog.serve_next()
            served[caller] += 1
            backlog.shares.adjust_cost(caller, 3.0 if caller == "long" else 0.0)
        self.assertIn(served["long"], (9, 10, 11))

    def test_blocked_caller_does_not_accumulate_credit(self) -> None:
        """A caller that had no connection for a while does not get all missed service
        afterwards."""
        backlog = Backlog()
        backlog.join("without", 10)
        backlog.join("hot", 100)
        for _ in range(50):
            backlog.shares.serve("hot", 1.0)
            backlog.waiting["hot"] -= 1
        served = [backlog.serve_next() for _ in range(10)]
        self.assertEqual(served[0], "without")
        self.assertLessEqual(served.count("without"), 6)


class StateTest(unittest.TestCase):
    @settings(max_examples=200, deadline=None)
    @given(STEPS)
    def test_idle_callers_are_forgotten(self, steps: list[tuple[str, str, float]]) -> None:
        backlog = Backlog()
        for action, caller, cost in steps:
            if action == "join":
                backlog.join(caller)
            elif action == "leave" and backlog.waiting[caller]:
                backlog.shares.leave(caller)
                backlog.waiting[caller] -= 1
            elif action == "serve" and backlog.waiting.total():
                backlog.serve_next(cost)
            elif action == "settle":
                backlog.shares.adjust_cost(caller, cost - 2.0)
            self._check(backlog)

    def _check(self, backlog: Backlog) -> None:
        waiting = {name for name, count in backlog.waiting.items() if count}
        if not waiting:
            self.assertEqual(len(backlog.shares), 0)
            return
        newcomer = backlog.shares.start_tag("nobody")
        owing = {name for name in CALLERS if backlog.shares.start_tag(name) > newcomer}
        self.assertLessEqual(len(backlog.shares), len(waiting | owing))

    def test_callers_that_leave_unserved_are_forgotten(self) -> None:
        shares = FairShares()
        shares.join("hot")
        shares.join("hot")
        shares.join("other")
        shares.serve("other", 5.0)
        for number in range(1000):
            shares.join(f"caller {number}")
            shares.leave(f"caller {number}")
            shares.join("other")
            shares.leave("other")
        self.assertEqual(len(shares), 2)

    def test_request_that_leaves_is_not_charged(self) -> None:
        backlog = Backlog()
        backlog.join("leaves", 50)
        backlog.join("steady", 50)
        for _ in range(49):
            backlog.shares.leave("leaves")
            backlog.waiting["leaves"] -= 1
        backlog.join("leaves", 49)
        served = Counter(backlog.serve_next() for _ in range(50))
        self.assertEqual(served, {"leaves": 25, "steady": 25})


if __name__ == "__main__":
    unittest.main()
