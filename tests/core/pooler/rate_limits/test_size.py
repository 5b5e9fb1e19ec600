"""What a process sends and takes for limits at size, and how soon it has a token there."""

import unittest

from dewledge.core.pooler.rate_limits.limits import RateLimit
from tests.core.pooler.rate_limits.counted_bytes import CountingNetwork, Traffic

CALLERS = [f"caller{number}" for number in range(72)]
LIMITS = {caller: RateLimit(200, 200) for caller in CALLERS}
IDLE_DATAGRAMS = 18
"""Two votes in 0.3 s and their answers, and a probe now and then."""
GRANTOR_BYTES = 45_000
"""A second at a grantor of one slot: up to some ninety voters, their answers, its own votes."""


def idle_second(processes: int) -> list[Traffic]:
    network = CountingNetwork(processes, LIMITS)
    network.run(2.0, {})
    return network.count(1.0, {})


class SizeTest(unittest.TestCase):
    def test_what_an_idle_process_pays_does_not_grow_with_the_processes(self) -> None:
        for processes in (30, 59, 300, 850):
            with self.subTest(processes=processes):
                traffic = idle_second(processes)
                middle = traffic[len(traffic) // 2]
                self.assertLessEqual(middle.datagrams, IDLE_DATAGRAMS)
                self.assertLess(middle.size, 1_500)
                self.assertLess(traffic[-1].size, 2 * GRANTOR_BYTES)

    def test_when_all_start_at_once_a_grantor_is_asked_by_its_voters_alone(self) -> None:
        network = CountingNetwork(300, LIMITS)
        busiest = network.count(1.0, {})[-1]
        self.assertLess(busiest.size, 3 * GRANTOR_BYTES)
        for name in list(network.names):
            network.restart(name)
        self.assertLess(network.count(1.0, {})[-1].size, 3 * GRANTOR_BYTES)


class FirstTokenTest(unittest.TestCase):
    def test_a_caller_that_asks_somewhere_new_has_its_token_after_a_round_trip(self) -> None:
        network = CountingNetwork(130, LIMITS)
        network.run(4.0, {})
        for caller in CALLERS:
            for name in network.names[::9]:
                network.processes[name].operate(caller)
        network.run(0.06, {})
        self.assertEqual(dict(network.refused), {})
        admitted = sum(len(times) for times in network.admitted.values())
        self.assertEqual(admitted, len(CALLERS) * len(network.names[::9]))

    def test_and_where_the_first_candidate_is_gone_the_next_one_gives_it(self) -> None:
        caller = CALLERS[0]
        network = CountingNetwork(130, LIMITS)
        network.run(4.0, {})
        names = {process.gate.grantor_of(caller) for process in network.processes.values()} - {""}
        self.assertEqual(len(names), 1)
        gone = names.pop()
        network.side[gone] = 1
        network.run(3.0, {})
        others = [name for name in network.names if name != gone][::3]
        for _ in range(2):
            network.admitted.clear()
            for name in others:
                network.processes[name].operate(caller)
            network.run(1.5, {})
        self.assertEqual(dict(network.refused), {})
        self.assertEqual(len(network.admitted[caller]), len(others))

    def test_after_most_were_killed_few_are_refused_for_want_of_a_grantor(self) -> None:
        """Each process asks for most callers the first time then, and its candidate may be gone."""
        network = CountingNetwork(130, LIMITS)
        network.run(4.0, {})
        for name in network.names[::2]:
            network.side[name] = 1
        network.names = network.names[1::2]
        # In one slot four of five candidates are gone; who votes there leaves each after 0.7 s.
        network.run(3.5, {})
        network.run(3.0, dict.fromkeys(CALLERS, 3.0))
        refused = sum(len(refusals) for refusals in network.refused.values())
        admitted = sum(len(times) for times in network.admitted.values())
        self.assertGreater(admitted, 600)
        self.assertLess(refused, 0.01 * admitted)

    def test_while_nobody_grants_many_that_wait_ask_no_more_than_a_few(self) -> None:
        network = CountingNetwork(130, LIMITS)
        network.run(4.0, {})
        alone = network.names[0]
        network.side[alone] = 1
        network.run(3.0, {})
        network.datagrams.clear()
        for _ in range(20):
            for caller in CALLERS:
                network.processes[alone].operate(caller)
            network.run(0.05, {})
        # 1,440 operations in a second, in six slots without a vote: one question in 0.09 s each.
        self.assertLess(network.datagrams[alone], 500)


if __name__ == "__main__":
    unittest.main()
