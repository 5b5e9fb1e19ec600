"""The order of what waits: levels, lines by their shares, ranks within a line; where one stands."""

import unittest
from collections import Counter

from hypothesis import given, settings
from hypothesis import strategies as st

from dewledge.core.pooler.load.flow_queue import Rank
from dewledge.core.pooler.load.wait_queue import WaitQueue

FOREVER = float("inf")


class Waits:
    """One of a caller, with a rank that changes once at most."""

    def __init__(self, caller: str, rank: Rank, later: Rank, change: float) -> None:
        self.caller = caller
        self.queued_rank: Rank | None = None
        self._ranks = (rank, later)
        self._change = change

    def rank(self, now: float) -> Rank:
        return self._ranks[now > self._change]

    def next_change(self, now: float) -> float:
        return FOREVER if now > self._change else self._change


def flow_of(waits: Waits) -> str:
    return waits.caller


STEPS = st.lists(
    st.tuples(
        st.sampled_from(["add", "add", "add", "serve", "serve one", "remove", "settle"]),
        st.sampled_from("abcd"),
        st.integers(0, 2),
        st.integers(0, 1),
        st.integers(0, 5),
        st.floats(0, 10),
    ),
    max_size=80,
)


def played(
    queue: WaitQueue[Waits], steps: list[tuple[str, str, int, int, int, float]]
) -> list[Waits]:
    """Plays steps; returns all that were served or removed."""
    gone: list[Waits] = []
    charges = []
    for number, (action, caller, urgency, standing, arrived, number_like) in enumerate(steps):
        now = float(number)
        queue.refresh(now)
        order = list(queue)
        if action == "add":
            rank = (urgency, standing, arrived, number)
            later = (urgency, 1 - standing, arrived, number)
            change = now + number_like if arrived % 2 else FOREVER
            queue.add(Waits(caller, rank, later, change), now)
        elif action == "settle" and charges:
            queue.settle(charges[-1], number_like)
        elif order:
            chosen = order[0] if action == "serve" else order[int(number_like) % len(order)]
            if action == "remove":
                queue.remove(chosen)
            else:
                charges.append(queue.serve(chosen))
            gone.append(chosen)
    return gone


class PropertyTest(unittest.TestCase):
    @settings(max_examples=200, deadline=None)
    @given(STEPS)
    def test_where_one_stands_is_its_place_in_the_order(
        self, steps: list[tuple[str, str, int, int, int, float]]
    ) -> None:
        queue: WaitQueue[Waits] = WaitQueue(flow_of)
        gone = played(queue, steps)
        order = list(queue)
        self.assertEqual([queue.count_ahead(each) for each in order], list(range(len(order))))
        self.assertEqual(len(queue), len(order))
        self.assertEqual({queue.count_ahead(each) for each in gone} - {None}, set())
        self.assertEqual(len({*map(id, gone), *map(id, order)}), len(gone) + len(order))
        self.assertEqual(queue.drain(), order)
        self.assertEqual((len(queue), queue.tracked_flow_count), (0, 0))

    @settings(max_examples=200, deadline=None)
    @given(STEPS)
    def test_the_first_is_told_before_it_comes(
        self, steps: list[tuple[str, str, int, int, int, float]]
    ) -> None:
        queue: WaitQueue[Waits] = WaitQueue(flow_of)
        played(queue, steps)
        now = float(len(steps))
        queue.refresh(now)
        for caller in "ae":
            newcomer = Waits(caller, (1, 0, 3, 999), (1, 0, 3, 999), FOREVER)
            is_first = queue.would_be_first(newcomer, now)
            queue.add(newcomer, now)
            self.assertEqual(is_first, queue.count_ahead(newcomer) == 0)
            queue.remove(newcomer)

    @settings(max_examples=200, deadline=None)
    @given(STEPS)
    def test_levels_come_first_and_own_order_is_kept(
        self, steps: list[tuple[str, str, int, int, int, float]]
    ) -> None:
        queue: WaitQueue[Waits] = WaitQueue(flow_of)
        played(queue, steps)
        places = [(each.caller, each.queued_rank or ()) for each in queue]
        self.assertEqual([rank[:2] for _, rank in places], sorted(rank[:2] for _, rank in places))
        for caller in "abcd":
            own = [rank for name, rank in places if name == caller]
            self.assertEqual(own, sorted(own))

    @settings(max_examples=200, deadline=None)
    @given(STEPS)
    def test_one_line_is_served_by_rank_alone(
        self, steps: list[tuple[str, str, int, int, int, float]]
    ) -> None:
        """Callers that are not told apart, and all where shares are off."""
        queue: WaitQueue[Waits] = WaitQueue()
        played(queue, steps)
        ranks = [each.queued_rank for each in queue]
        self.assertEqual(ranks, sorted(rank for rank in ranks if rank is not None))

    @settings(max_examples=200, deadline=None)
    @given(st.lists(st.sampled_from("aaaabc"), max_size=60))
    def test_none_is_served_who_has_had_more_than_another_that_waits(
        self, callers: list[str]
    ) -> None:
        """One caller has most of the load: what each had had, all waiting from the beginning."""
        queue: WaitQueue[Waits] = WaitQueue(flow_of)
        for number, caller in enumerate(callers):
            rank = (0, 0, number)
            queue.add(Waits(caller, rank, rank, FOREVER), 0.0)
        left, had = Counter(callers), Counter[str]()
        while len(queue):
            first = next(iter(queue))
            self.assertEqual(had[first.caller], min(had[name] for name in left if left[name]))
            queue.serve(first)
            had[first.caller] += 1
            left[first.caller] -= 1
        self.assertEqual(had, Counter(callers))


class TableTest(unittest.TestCase):
    def test_patterns(self) -> None:
        for name, asked, expected in (
            ("urgency decides before shares", "h1 h1 m2 h1", "h1 h1 h1 m2"),
            ("a hot caller beside two", "h1 h1 h1 h1 m1 r1", "h1 m1 r1 h1 h1 h1"),
            ("a caller alone", "h1 h1 h2 h1", "h1 h1 h1 h2"),
            ("two levels with shares each", "h1 h1 m1 h2 h2 m2", "h1 m1 h1 h2 m2 h2"),
        ):
            with self.subTest(name):
                queue: WaitQueue[Waits] = WaitQueue(flow_of)
                for number, each in enumerate(asked.split()):
                    rank = (int(each[1]), 0, number)
                    queue.add(Waits(each[0], rank, rank, FOREVER), 0.0)
                served = []
                while len(queue):
                    first = next(iter(queue))
                    served.append(f"{first.caller}{first.rank(0.0)[0]:.0f}")
                    queue.serve(first)
                self.assertEqual(" ".join(served), expected)

    def test_who_comes_back_keeps_its_place_among_its_own(self) -> None:
        queue: WaitQueue[Waits] = WaitQueue(flow_of)
        for caller, arrived in (("h", 5), ("h", 6), ("m", 7), ("h", 1)):
            rank = (0, 0, arrived)
            queue.add(Waits(caller, rank, rank, FOREVER), 0.0)
        order = [(each.caller, each.rank(0.0)[2]) for each in queue]
        self.assertEqual(order, [("h", 1), ("m", 7), ("h", 5), ("h", 6)])


if __name__ == "__main__":
    unittest.main()
