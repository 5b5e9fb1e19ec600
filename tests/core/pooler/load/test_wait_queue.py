"""Order of the wait queue: levels, fair shares between flows, ranks within a flow."""

import unittest
from collections import Counter

from hypothesis import given, settings
from hypothesis import strategies as st

from dewledge.core.pooler.load.flow_queue import Rank
from dewledge.core.pooler.load.wait_queue import WaitQueue

NEVER = float("inf")


class QueuedItem:
    """An item of a caller whose rank changes at most once."""

    def __init__(self, caller: str, rank: Rank, later: Rank, change: float) -> None:
        self.caller = caller
        self.queued_rank: Rank | None = None
        self._ranks = (rank, later)
        self._change = change

    def rank(self, now: float) -> Rank:
        return self._ranks[now > self._change]

    def next_change(self, now: float) -> float:
        return NEVER if now > self._change else self._change


def flow_of(item: QueuedItem) -> str:
    return item.caller


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


def run_steps(
    queue: WaitQueue[QueuedItem], steps: list[tuple[str, str, int, int, int, float]]
) -> list[QueuedItem]:
    """Runs the steps; returns all items that were served or removed."""
    removed: list[QueuedItem] = []
    charges = []
    for number, (action, caller, urgency, priority, arrived, value) in enumerate(steps):
        now = float(number)
        queue.refresh(now)
        order = list(queue)
        if action == "add":
            rank = (urgency, priority, arrived, number)
            later = (urgency, 1 - priority, arrived, number)
            change = now + value if arrived % 2 else NEVER
            queue.add(QueuedItem(caller, rank, later, change), now)
        elif action == "settle" and charges:
            queue.settle(charges[-1], value)
        elif order:
            chosen = order[0] if action == "serve" else order[int(value) % len(order)]
            if action == "remove":
                queue.remove(chosen)
            else:
                charges.append(queue.serve(chosen))
            removed.append(chosen)
    return removed


class PropertyTest(unittest.TestCase):
    @settings(max_examples=200, deadline=None)
    @given(STEPS)
    def test_count_ahead_matches_iteration_order(
        self, steps: list[tuple[str, str, int, int, int, float]]
    ) -> None:
        queue: WaitQueue[QueuedItem] = WaitQueue(flow_of)
        removed = run_steps(queue, steps)
        order = list(queue)
        self.assertEqual([queue.count_ahead(each) for each in order], list(range(len(order))))
        self.assertEqual(len(queue), len(order))
        self.assertEqual({queue.count_ahead(each) for each in removed} - {None}, set())
        self.assertEqual(len({*map(id, removed), *map(id, order)}), len(removed) + len(order))
        self.assertEqual(queue.drain(), order)
        self.assertEqual((len(queue), queue.tracked_flow_count), (0, 0))

    @settings(max_examples=200, deadline=None)
    @given(STEPS)
    def test_would_be_first_matches_position_after_adding(
        self, steps: list[tuple[str, str, int, int, int, float]]
    ) -> None:
        queue: WaitQueue[QueuedItem] = WaitQueue(flow_of)
        run_steps(queue, steps)
        now = float(len(steps))
        queue.refresh(now)
        for caller in "ae":
            newcomer = QueuedItem(caller, (1, 0, 3, 999), (1, 0, 3, 999), NEVER)
            is_first = queue.would_be_first(newcomer, now)
            queue.add(newcomer, now)
            self.assertEqual(is_first, queue.count_ahead(newcomer) == 0)
            queue.remove(newcomer)

    @settings(max_examples=200, deadline=None)
    @given(STEPS)
    def test_order_by_level_then_by_rank_within_a_caller(
        self, steps: list[tuple[str, str, int, int, int, float]]
    ) -> None:
        queue: WaitQueue[QueuedItem] = WaitQueue(flow_of)
        run_steps(queue, steps)
        items = [(each.caller, each.queued_rank or ()) for each in queue]
        self.assertEqual([rank[:2] for _, rank in items], sorted(rank[:2] for _, rank in items))
        for caller in "abcd":
            ranks = [rank for name, rank in items if name == caller]
            self.assertEqual(ranks, sorted(ranks))

    @settings(max_examples=200, deadline=None)
    @given(STEPS)
    def test_single_flow_is_ordered_by_rank(
        self, steps: list[tuple[str, str, int, int, int, float]]
    ) -> None:
        """Applies if callers are not distinguished, and if fair shares are disabled."""
        queue: WaitQueue[QueuedItem] = WaitQueue()
        run_steps(queue, steps)
        ranks = [each.queued_rank for each in queue]
        self.assertEqual(ranks, sorted(rank for rank in ranks if rank is not None))

    @settings(max_examples=200, deadline=None)
    @given(st.lists(st.sampled_from("aaaabc"), max_size=60))
    def test_served_caller_has_received_least_so_far(self, callers: list[str]) -> None:
        """All items are queued at the start, most of them by one caller."""
        queue: WaitQueue[QueuedItem] = WaitQueue(flow_of)
        for number, caller in enumerate(callers):
            rank = (0, 0, number)
            queue.add(QueuedItem(caller, rank, rank, NEVER), 0.0)
        remaining, received = Counter(callers), Counter[str]()
        while len(queue):
            first = next(iter(queue))
            self.assertEqual(
                received[first.caller], min(received[name] for name in remaining if remaining[name])
            )
            queue.serve(first)
            received[first.caller] += 1
            remaining[first.caller] -= 1
        self.assertEqual(received, Counter(callers))


class ServiceOrderTest(unittest.TestCase):
    def test_service_order(self) -> None:
        for name, queued, expected in (
            ("urgency decides before shares", "h1 h1 m2 h1", "h1 h1 h1 m2"),
            ("a hot caller beside two", "h1 h1 h1 h1 m1 r1", "h1 m1 r1 h1 h1 h1"),
            ("a caller alone", "h1 h1 h2 h1", "h1 h1 h1 h2"),
            ("two levels with shares each", "h1 h1 m1 h2 h2 m2", "h1 m1 h1 h2 m2 h2"),
        ):
            with self.subTest(name):
                queue: WaitQueue[QueuedItem] = WaitQueue(flow_of)
                for number, each in enumerate(queued.split()):
                    rank = (int(each[1]), 0, number)
                    queue.add(QueuedItem(each[0], rank, rank, NEVER), 0.0)
                served = []
                while len(queue):
                    first = next(iter(queue))
                    served.append(f"{first.caller}{first.rank(0.0)[0]:.0f}")
                    queue.serve(first)
                self.assertEqual(" ".join(served), expected)

    def test_retry_keeps_its_rank_within_its_flow(self) -> None:
        queue: WaitQueue[QueuedItem] = WaitQueue(flow_of)
        for caller, arrived in (("h", 5), ("h", 6), ("m", 7), ("h", 1)):
            rank = (0, 0, arrived)
            queue.add(QueuedItem(caller, rank, rank, NEVER), 0.0)
        order = [(each.caller, each.rank(0.0)[2]) for each in queue]
        self.assertEqual(order, [("h", 1), ("m", 7), ("h", 5), ("h", 6)])


if __name__ == "__main__":
    unittest.main()
