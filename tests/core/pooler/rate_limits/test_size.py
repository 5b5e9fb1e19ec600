"""Guards against traffic that grows with the deployment, and against slow first tokens."""

import unittest

from dewledge.core.pooler.rate_limits.limits import RateLimit
from tests.core.pooler.rate_limits.counted_bytes import Traffic, TrafficCountingNetwork

CALLERS = [f"caller{number}" for number in range(72)]
LIMITS = {caller: RateLimit(200, 200) for caller in CALLERS}
IDLE_DATAGRAMS = 18
"""Two votes every 0.3 s, their answers, and occasional probes."""
GRANTOR_BYTES = 45_000
"""Traffic in a second of a grantor with one slot and about 90 voters."""


def idle_traffic(processes: int) -> list[Traffic]:
    network = TrafficCountingNetwork(processes, LIMITS)
    network.run(2.0, {})
    return network.count_traffic(1.0, {})


class TrafficTest(unittest.TestCase):
    def test_idle_traffic_does_not_grow_with_the_deployment(self) -> None:
        for processes in (30, 59, 300, 850):
            with self.subTest(processes=processes):
                traffic = idle_traffic(processes)
                middle = traffic[len(traffic) // 2]
                self.assertLessEqual(middle.datagrams, IDLE_DATAGRAMS)
                self.assertLess(middle.size, 1_500)
                self.assertLess(traffic[-1].size, 2 * GRANTOR_BYTES)

    def test_simultaneous_start_does_not_overload_a_grantor(self) -> None:
        network = TrafficCountingNetwork(300, LIMITS)
        busiest = network.count_traffic(1.0, {})[-1]
        self.assertLess(busiest.size, 3 * GRANTOR_BYTES)
        for name in list(network.names):
            network.restart(name)
        self.assertLess(network.count_traffic(1.0, {})[-1].size, 3 * GRANTOR_BYTES)


class FirstTokenTest(unittest.TestCase):
    def test_first_token_takes_one_round_trip(self) -> None:
        network = TrafficCountingNetwork(130, LIMITS)
        network.run(4.0, {})
        for caller in CALLERS:
            for name in network.names[::9]:
                network.processes[name].operate(caller)
        network.run(0.06, {})
        self.assertEqual(dict(network.refused), {})
        admitted = sum(len(times) for times in network.admitted.values())
        self.assertEqual(admitted, len(CALLERS) * len(network.names[::9]))

    def test_next_candidate_grants_when_the_first_is_lost(self) -> None:
        caller = CALLERS[0]
        network = TrafficCountingNetwork(130, LIMITS)
        network.run(4.0, {})
        names = {process.gate.grantor_of(caller) for process in network.processes.values()} - {""}
        self.assertEqual(len(names), 1)
        lost = names.pop()
        network.partition[lost] = 1
        network.run(3.0, {})
        others = [name for name in network.names if name != lost][::3]
        for _ in range(2):
            network.admitted.clear()
            for name in others:
                network.processes[name].operate(caller)
            network.run(1.5, {})
        self.assertEqual(dict(network.refused), {})
        self.assertEqual(len(network.admitted[caller]), len(others))

    def test_few_operations_are_refused_after_half_the_processes_fail(self) -> None:
        """Most processes ask for most callers for the first time, and the candidate may be lost."""
        network = TrafficCountingNetwork(130, LIMITS)
        network.run(4.0, {})
        for name in network.names[::2]:
            network.partition[name] = 1
        network.names = network.names[1::2]
        # In one slot four of five candidates are lost; its voters leave each after 0.7 s.
        network.run(3.5, {})
        network.run(3.0, dict.fromkeys(CALLERS, 3.0))
        refused = sum(len(refusals) for refusals in network.refused.values())
        admitted = sum(len(times) for times in network.admitted.values())
        self.assertGreater(admitted, 600)
        self.assertLess(refused, 0.01 * admitted)

    def test_waiting_operations_share_questions_without_a_grantor(self) -> None:
        network = TrafficCountingNetwork(130, LIMITS)
        network.run(4.0, {})
        alone = network.names[0]
        network.partition[alone] = 1
        network.run(3.0, {})
        network.datagrams.clear()
        for _ in range(20):
            for caller in CALLERS:
                network.processes[alone].operate(caller)
            network.run(0.05, {})
        # 1,440 operations a second in six slots without a vote: a question every 0.09 s in each.
        self.assertLess(network.datagrams[alone], 500)


if __name__ == "__main__":
    unittest.main()
