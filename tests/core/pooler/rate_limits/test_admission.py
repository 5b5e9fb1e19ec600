"""Guards the limits under partitions, freezes and restarts, and against needless refusals."""

import unittest

from dewledge.core.pooler.load.verdict import RefusalCause
from dewledge.core.pooler.rate_limits.limits import RateLimit
from tests.core.pooler.rate_limits.model_processes import ModelNetwork
from tests.core.pooler.rate_limits.random_faults import (
    HIGH_RATES,
    LARGE_CALLER,
    LIMITS,
    NORMAL_RATES,
    SMALL_CALLER,
)


class NormalOperationTest(unittest.TestCase):
    def test_all_operations_below_the_limit_are_admitted(self) -> None:
        network = ModelNetwork(59, LIMITS)
        network.run(4.0, {})
        network.run(10.0, NORMAL_RATES)
        self.assertEqual(dict(network.refused), {})

    def test_operations_over_the_limit_are_refused(self) -> None:
        network = ModelNetwork(20, LIMITS)
        network.run(4.0, {})
        network.run(10.0, HIGH_RATES)
        for caller in (LARGE_CALLER, SMALL_CALLER):
            self.assertLessEqual(network.max_bound_ratio(caller), 1.0)
            self.assertGreater(network.max_bound_ratio(caller), 0.5)
            self.assertTrue(
                all(each.cause is RefusalCause.OVER_LIMIT for each in network.refused[caller])
            )

    def test_caller_without_a_limit_is_admitted(self) -> None:
        network = ModelNetwork(3, LIMITS)
        network.run(0.5, {"free": 50.0})
        self.assertEqual(network.refused, {})

    def test_lowered_limit_holds_after_one_window(self) -> None:
        network = ModelNetwork(10, dict(LIMITS))
        network.run(4.0, NORMAL_RATES)
        network.limits[LARGE_CALLER] = RateLimit(20, 20)
        for process in network.processes.values():
            process.set_limits()
        network.run(5.0, NORMAL_RATES)
        network.admitted.clear()
        network.run(10.0, NORMAL_RATES)
        self.assertLessEqual(network.max_bound_ratio(LARGE_CALLER), 1.0)
        self.assertGreater(network.max_bound_ratio(LARGE_CALLER), 0.6)


class HighDemandTest(unittest.TestCase):
    """A caller requests much more than usual."""

    def test_five_times_normal_demand_within_the_limit_is_admitted(self) -> None:
        network = ModelNetwork(20, LIMITS)
        network.run(4.0, {LARGE_CALLER: 40.0})
        network.run(4.0, {LARGE_CALLER: 195.0, SMALL_CALLER: NORMAL_RATES[SMALL_CALLER]})
        self.assertEqual(dict(network.refused), {})

    def test_allowed_burst_is_admitted_at_once(self) -> None:
        network = ModelNetwork(20, LIMITS)
        network.run(4.0, {LARGE_CALLER: NORMAL_RATES[LARGE_CALLER]})
        network.run(0.5, {LARGE_CALLER: 560.0})
        network.run(0.5, {LARGE_CALLER: NORMAL_RATES[LARGE_CALLER]})
        self.assertEqual(dict(network.refused), {})
        self.assertLessEqual(network.max_bound_ratio(LARGE_CALLER), 1.0)

    def test_retry_at_promised_time_is_admitted(self) -> None:
        network = ModelNetwork(20, LIMITS)
        network.clients_retry = True
        network.run(4.0, NORMAL_RATES)
        network.run(4.0, HIGH_RATES)
        network.run(3.0, {})
        self.assertGreater(len(network.retry_outcomes), 400)
        refused = [refusal for refusal in network.retry_outcomes if refusal is not None]
        self.assertLess(len(refused), 0.01 * len(network.retry_outcomes))
        self.assertLessEqual(network.max_bound_ratio(LARGE_CALLER), 1.0)

    def test_sustained_overload_does_not_delay_admitted_operations(self) -> None:
        """The statement timeout of three seconds would allow a longer hold."""
        network = ModelNetwork(9, {LARGE_CALLER: RateLimit(40, 20)})
        network.target_latency = 0.6
        network.run(4.0, {})
        network.run(5.0, {LARGE_CALLER: 60.0}, timeout=3.0)
        network.hold_seconds.clear()
        network.run(5.0, {LARGE_CALLER: 60.0}, timeout=3.0)
        self.assertGreater(len(network.hold_seconds[LARGE_CALLER]), 0.95 * 40 * 5.0)
        self.assertLess(max(network.hold_seconds[LARGE_CALLER]), 0.4)
        self.assertLessEqual(network.max_bound_ratio(LARGE_CALLER), 1.0)

    def test_each_operation_has_one_outcome_when_answers_are_lost(self) -> None:
        network = ModelNetwork(20, LIMITS)
        network.clients_retry = True
        network.loss = 0.2
        network.run(4.0, HIGH_RATES)
        network.run(4.0, {})
        outcomes = sum(len(each) for each in network.admitted.values())
        outcomes += sum(len(each) for each in network.refused.values())
        self.assertEqual(outcomes, network.requested)

    def test_overload_uses_the_whole_limit(self) -> None:
        """Tokens reserved for clients that do not retry are used by others."""
        network = ModelNetwork(20, LIMITS)
        network.run(4.0, HIGH_RATES)
        network.admitted.clear()
        network.run(10.0, HIGH_RATES)
        for caller, limit in LIMITS.items():
            self.assertGreater(len(network.admitted[caller]), 0.95 * limit.rate * 10.0)


class FaultTest(unittest.TestCase):
    def test_another_candidate_replaces_a_lost_grantor(self) -> None:
        network = ModelNetwork(9, LIMITS)
        network.run(4.0, NORMAL_RATES)
        lost = network.processes["process0"].gate.grantor_of(LARGE_CALLER)
        self.assertTrue(lost)
        network.partition[lost] = 1
        network.run(4.0, {})
        others = [name for name in network.names if name != lost]
        found = {network.processes[name].gate.grantor_of(LARGE_CALLER) for name in others}
        self.assertEqual(len(found), 1)
        self.assertNotIn(lost, found)
        network.refused.clear()
        network.names = others
        network.run(5.0, NORMAL_RATES)
        self.assertEqual(dict(network.refused), {})
        network.partition[lost] = 0
        network.run(3.0, {})
        self.assertEqual(network.processes[others[0]].gate.grantor_of(LARGE_CALLER), lost)

    def test_operations_wait_while_the_grantor_is_replaced(self) -> None:
        """The statement timeout is two seconds; votes for the lost grantor expire after one."""
        network = ModelNetwork(9, LIMITS)
        network.run(4.0, NORMAL_RATES, timeout=2.0)
        network.partition[network.processes["process0"].gate.grantor_of(LARGE_CALLER)] = 1
        network.names = [name for name in network.names if not network.partition[name]]
        network.refused.clear()
        network.run(4.0, NORMAL_RATES, timeout=2.0)
        refused = [refusal for each in network.refused.values() for refusal in each]
        self.assertTrue(all(each.cause is RefusalCause.OVER_LIMIT for each in refused))
        self.assertLess(len(refused), 0.02 * len(network.admitted[LARGE_CALLER]))

    def test_operations_are_decided_soon_without_a_grantor(self) -> None:
        network = ModelNetwork(12, LIMITS)
        network.run(4.0, NORMAL_RATES)
        for number, name in enumerate(network.names):
            network.partition[name] = number
        network.run(3.0, HIGH_RATES, timeout=2.0)
        network.refused.clear()
        outcomes = len(network.admitted[LARGE_CALLER])
        network.run(1.0, {LARGE_CALLER: 200.0}, timeout=2.0)
        outcomes = (
            len(network.admitted[LARGE_CALLER]) + len(network.refused[LARGE_CALLER]) - outcomes
        )
        self.assertGreater(outcomes, 150)

    def test_operations_wait_for_the_first_grantor_after_a_restart(self) -> None:
        network = ModelNetwork(30, LIMITS)
        network.run(4.0, NORMAL_RATES)
        for name in list(network.names):
            network.restart(name)
        network.refused.clear()
        network.run(1.0, NORMAL_RATES)
        self.assertLess(len(network.refused[LARGE_CALLER]), 20)

    def test_restarted_processes_find_a_grantor(self) -> None:
        network = ModelNetwork(30, LIMITS)
        network.run(4.0, NORMAL_RATES)
        for name in list(network.names):
            network.restart(name)
        network.run(0.6, {})
        network.refused.clear()
        network.run(5.0, NORMAL_RATES)
        self.assertEqual(dict(network.refused), {})

    def test_both_sides_of_a_partition_admit_operations(self) -> None:
        network = ModelNetwork(58, {LARGE_CALLER: LIMITS[LARGE_CALLER]})
        network.run(4.0, {LARGE_CALLER: 110.0})
        for name in network.names[:28]:
            network.partition[name] = 1
        network.run(2.0, {LARGE_CALLER: 110.0})
        network.refused.clear()
        network.admitted.clear()
        network.run(4.0, {LARGE_CALLER: 110.0})
        refused = len(network.refused[LARGE_CALLER])
        self.assertLess(refused, 0.2 * len(network.admitted[LARGE_CALLER]))

    def test_isolated_process_admits_only_its_part(self) -> None:
        network = ModelNetwork(12, LIMITS)
        network.run(4.0, NORMAL_RATES)
        for number, name in enumerate(network.names):
            network.partition[name] = number
        network.run(2.0, {})
        network.admitted.clear()
        network.run(5.0, HIGH_RATES)
        for caller, limit in LIMITS.items():
            max_admitted = int(network.policy.headroom(limit) * 0.3 + limit.rate * 5.0)
            self.assertLessEqual(len(network.admitted[caller]), max_admitted + 1)


class BoundTest(unittest.TestCase):
    """The bound holds while grantors change under overload."""

    def check(self, network: ModelNetwork) -> None:
        for caller in network.limits:
            self.assertLessEqual(network.max_bound_ratio(caller), 1.0)

    def test_repeated_restarts_of_all_processes(self) -> None:
        network = ModelNetwork(9, LIMITS)
        network.run(8.0, {})
        for pause in (0.7, 1.5, 0.3, 1.2, 0.9, 2.0):
            network.run(pause, HIGH_RATES)
            for name in list(network.names):
                network.restart(name)
        network.run(6.0, HIGH_RATES)
        self.check(network)

    def test_votes_move_between_grantors_with_full_buckets(self) -> None:
        """Each grantor is idle for long enough to fill its buckets."""
        network = ModelNetwork(9, LIMITS)
        network.run(8.0, {})
        for pause in (2.0, 2.0, 2.0, 1.4, 1.4):
            lost = network.processes[network.names[0]].gate.grantor_of(LARGE_CALLER)
            network.partition = dict.fromkeys(network.names, 0)
            network.partition[lost] = 1
            network.run(pause - 0.2, {})
            network.run(0.2, {LARGE_CALLER: 3000.0, SMALL_CALLER: 100.0})
        self.check(network)

    def test_grantors_freeze_and_resume(self) -> None:
        network = ModelNetwork(9, LIMITS)
        network.run(8.0, {})
        for frozen in (0.9, 1.5, 3.0, 0.5):
            grantors = {
                network.processes[network.names[0]].gate.grantor_of(caller) for caller in LIMITS
            }
            for name in grantors - {""}:
                until = network.scheduler.now() + frozen
                network.processes[name].scheduler.frozen_until = until
            network.run(frozen + 0.6, HIGH_RATES)
        self.check(network)

    def test_repeated_network_partitions(self) -> None:
        for smaller in (1, 4, 8):
            with self.subTest(smaller):
                network = ModelNetwork(17, LIMITS)
                network.run(8.0, {})
                for pause in (1.0, 1.3, 2.0, 1.0, 0.6, 1.6):
                    is_split = not any(network.partition.values())
                    for name in network.names[:smaller]:
                        network.partition[name] = int(is_split)
                    network.run(pause, HIGH_RATES)
                self.check(network)

    def test_number_of_slots_changes(self) -> None:
        """A 33rd process makes two slots of one; the processes learn of it one by one."""
        network = ModelNetwork(33, LIMITS)
        for members in (network.names[:32], network.names, network.names[:32]):
            network.run(6.0, {})
            network.run(0.8, HIGH_RATES)
            for process in network.processes.values():
                process.gate.set_members(members)
                process.grantor.set_members(members)
                network.run(0.01, HIGH_RATES)
            network.run(1.0, HIGH_RATES)
        self.check(network)


class RepartitionTest(unittest.TestCase):
    def test_operations_below_the_limit_survive_a_repartition(self) -> None:
        """A new bucket starts empty, so an operation of a low-rate caller may be refused once, but
        with a token reserved for its retry."""
        for seed in range(8):
            with self.subTest(seed=seed):
                network = self.run_added_process(seed)
                self.assertEqual(network.refused[LARGE_CALLER], [])
                for refusal in network.refused[SMALL_CALLER]:
                    self.assertIsNotNone(refusal.kept)
                    self.assertLess(refusal.come_back_ms, 2000)
                self.assertEqual([each for each in network.retry_outcomes if each is not None], [])

    def run_added_process(self, seed: int) -> ModelNetwork:
        network = ModelNetwork(33, LIMITS, seed)
        for process in network.processes.values():
            process.gate.set_members(network.names[:32])
            process.grantor.set_members(network.names[:32])
        network.run(4.0, {})
        network.run(2.0, NORMAL_RATES, timeout=1.0)
        network.refused.clear()
        network.clients_retry = True
        for process in network.processes.values():
            process.gate.set_members(network.names)
            process.grantor.set_members(network.names)
        network.run(3.0, NORMAL_RATES, timeout=1.0)
        network.run(3.0, {})
        return network


if __name__ == "__main__":
    unittest.main()
