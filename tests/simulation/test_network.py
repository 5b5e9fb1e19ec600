import unittest
from random import Random

from dewledge.simulation.clock import EventQueue
from dewledge.simulation.network import LinkFaults, Network

MESSAGES = 200
DELAY = 0.010

# name, faults, least and most that arrive, in order
FAULTS = (
    ("none", LinkFaults(), MESSAGES, MESSAGES, True),
    ("lost", LinkFaults(loss=0.5), 50, 150, True),
    ("doubled", LinkFaults(duplicate=0.5), 250, 350, True),
    ("reordered", LinkFaults(reorder=0.3, extra_delay=1.0), MESSAGES, MESSAGES, False),
)


class Link:
    def __init__(self, seed: int = 1) -> None:
        self.queue = EventQueue()
        self.network = Network(self.queue, Random(seed), lambda source, destination: DELAY)
        self.arrived: list[tuple[float, int]] = []

    def send(self, number: int) -> None:
        self.network.send("a", "b", lambda: self.arrived.append((self.queue.now, number)))


class NetworkTest(unittest.TestCase):
    def test_faults(self) -> None:
        for name, faults, least, most, in_order in FAULTS:
            with self.subTest(name):
                link = Link()
                link.network.set_faults(faults)
                for number in range(MESSAGES):
                    link.send(number)
                    link.queue.run_until(link.queue.now + 0.001)
                link.queue.run_until(10.0)
                numbers = [number for _, number in link.arrived]
                self.assertTrue(least <= len(numbers) <= most, len(numbers))
                self.assertEqual(numbers == sorted(numbers), in_order)

    def test_a_cut_drops_what_is_on_its_way_until_it_heals(self) -> None:
        link = Link()
        link.send(1)
        link.network.cut("b", "a")
        link.send(2)
        link.queue.run_until(1.0)
        link.network.heal("a", "b")
        link.send(3)
        link.queue.run_until(2.0)
        self.assertEqual([number for _, number in link.arrived], [3])

    def test_one_seed_gives_one_history(self) -> None:
        histories = []
        for _ in range(2):
            link = Link(seed=7)
            link.network.set_faults(LinkFaults(0.1, 0.1, 0.1, 0.5))
            for number in range(MESSAGES):
                link.send(number)
            link.queue.run_until(5.0)
            histories.append(link.arrived)
        self.assertEqual(*histories)

    def test_cancelled_events_do_not_run(self) -> None:
        link = Link()
        event = link.queue.call_after(1.0, lambda: link.send(1))
        event.cancel()
        link.queue.run_until(5.0)
        self.assertEqual(link.arrived, [])
        self.assertEqual(link.queue.now, 5.0)


if __name__ == "__main__":
    unittest.main()
