"""Weighted fair queueing against a plain model, over many seeds."""

import unittest
from collections import Counter
from random import Random

from dewledge.core.proxy.gateway.fair_queue import FairQueue, QueueEntry

WEIGHTS = {"small": 1.0, "middle": 2.0, "large": 5.0}


class ShareTest(unittest.TestCase):
    def test_backlogged_callers_share_by_weight(self) -> None:
        for seed in range(20):
            with self.subTest(seed=seed):
                random = Random(seed)
                queue: FairQueue[str] = FairQueue()
                backlog = [name for name in WEIGHTS for _ in range(400)]
                random.shuffle(backlog)
                for name in backlog:
                    queue.push(name, name, WEIGHTS[name])
                served = Counter(queue.pop() for _ in range(400))
                total = sum(WEIGHTS.values())
                for name, weight in WEIGHTS.items():
                    self.assertAlmostEqual(served[name], 400 * weight / total, delta=2)

    def test_greedy_caller_does_not_delay_another(self) -> None:
        queue: FairQueue[str] = FairQueue()
        for _ in range(1000):
            queue.push("greedy", "greedy", 1.0)
        queue.push("modest", "modest", 1.0)
        self.assertIn("modest", [queue.pop() for _ in range(2)])

    def test_returning_caller_has_no_saved_up_share(self) -> None:
        queue: FairQueue[str] = FairQueue()
        for _ in range(500):
            queue.push("busy", "busy", 1.0)
        for _ in range(300):
            queue.pop()
        for _ in range(200):
            queue.push("late", "late", 1.0)
        served = Counter(queue.pop() for _ in range(200))
        self.assertAlmostEqual(served["late"], 100, delta=2)

    def test_withdrawn_items_give_their_share_back(self) -> None:
        queue: FairQueue[str] = FairQueue()
        entries = [queue.push("cancels", "cancels", 1.0) for _ in range(100)]
        for entry in entries[:-1]:
            queue.withdraw(entry)
        for _ in range(50):
            queue.push("cancels", "cancels", 1.0)
            queue.push("steady", "steady", 1.0)
        served = Counter(queue.pop() for _ in range(50))
        self.assertAlmostEqual(served["cancels"], 25, delta=2)


class ModelTest(unittest.TestCase):
    def test_keeps_every_item_once_whatever_is_done(self) -> None:
        for seed in range(50):
            with self.subTest(seed=seed):
                self.run_model(Random(seed))

    def run_model(self, random: Random) -> None:
        queue: FairQueue[int] = FairQueue()
        waiting: dict[int, QueueEntry[int]] = {}
        for number in range(500):
            name = random.choice(list(WEIGHTS))
            action = random.random()
            if action < 0.5:
                waiting[number] = queue.push(number, name, WEIGHTS[name])
            elif action < 0.7:
                item = queue.pop()
                self.assertEqual(item is None, not waiting)
                waiting.pop(item if item is not None else -1, None)
            elif action < 0.9 and waiting:
                chosen = random.choice(list(waiting))
                entry = waiting.pop(chosen)
                self.assertTrue(queue.withdraw(entry))
                self.assertFalse(queue.withdraw(entry))
            else:
                item = queue.take_last_if_after(name, WEIGHTS[name])
                if item is not None:
                    waiting.pop(item)
            self.assertEqual(len(queue), len(waiting))
            self.assertLessEqual(queue.served_before(name, WEIGHTS[name]), len(waiting))
        left = {queue.pop() for _ in range(len(queue))}
        self.assertEqual(left, set(waiting))


class DisplacementTest(unittest.TestCase):
    def test_last_item_of_the_largest_backlog_goes_first(self) -> None:
        queue: FairQueue[str] = FairQueue()
        for number in range(10):
            queue.push(f"greedy {number}", "greedy", 1.0)
        queue.push("modest", "modest", 1.0)
        self.assertIsNone(queue.take_last_if_after("greedy", 1.0))
        self.assertEqual(queue.take_last_if_after("modest", 1.0), "greedy 9")


if __name__ == "__main__":
    unittest.main()
