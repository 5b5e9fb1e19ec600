"""Admission over some processes: the bound under cuts, freezes and restarts; who is refused."""

import unittest

from dewledge.core.pooler.load.verdict import RefusalCause
from dewledge.core.pooler.rate_limits.limits import RateLimit
from tests.core.pooler.rate_limits.model_processes import ModelNetwork
from tests.core.pooler.rate_limits.random_days import HOT, LARGE, LIMITS, SMALL, USUAL


class CalmTest(unittest.TestCase):
    def test_below_the_limit_all_are_admitted(self) -> None:
        network = ModelNetwork(59, LIMITS)
        network.run(4.0, {})
        network.run(10.0, USUAL)
        self.assertEqual(dict(network.refused), {})

    def test_beyond_the_limit_the_rest_is_refused_and_told_when_to_come_back(self) -> None:
        network = ModelNetwork(20, LIMITS)
        network.run(4.0, {})
        network.run(10.0, HOT)
        for caller in (LARGE, SMALL):
            self.assertLessEqual(network.worst_share(caller), 1.0)
            self.assertGreater(network.worst_share(caller), 0.5)
            self.assertTrue(
                all(each.cause is RefusalCause.OVER_LIMIT for each in network.refused[caller])
            )

    def test_a_caller_without_a_limit_is_admitted(self) -> None:
        network = ModelNetwork(3, LIMITS)
        network.run(0.5, {"free": 50.0})
        self.assertEqual(network.refused, {})

    def test_a_lower_limit_is_kept_one_window_later(self) -> None:
        network = ModelNetwork(10, dict(LIMITS))
        network.run(4.0, USUAL)
        network.limits[LARGE] = RateLimit(20, 20)
        for process in network.processes.values():
            process.set_limits()
        network.run(5.0, USUAL)
        network.admitted.clear()
        network.run(10.0, USUAL)
        self.assertLessEqual(network.worst_share(LARGE), 1.0)
        self.assertGreater(network.worst_share(LARGE), 0.6)


class PressingCallerTest(unittest.TestCase):
    """A caller that asks for much more than it usually does."""

    def test_at_five_times_its_usual_inside_its_limit_all_are_admitted(self) -> None:
        network = ModelNetwork(20, LIMITS)
        network.run(4.0, {LARGE: 40.0})
        network.run(4.0, {LARGE: 195.0, SMALL: USUAL[SMALL]})
        self.assertEqual(dict(network.refused), {})

    def test_the_burst_that_its_limit_allows_is_given_at_once(self) -> None:
        network = ModelNetwork(20, LIMITS)
        network.run(4.0, {LARGE: USUAL[LARGE]})
        network.run(0.5, {LARGE: 560.0})
        network.run(0.5, {LARGE: USUAL[LARGE]})
        self.assertEqual(dict(network.refused), {})
        self.assertLessEqual(network.worst_share(LARGE), 1.0)

    def test_told_when_to_come_back_and_coming_back_then_it_is_admitted_then(self) -> None:
        network = ModelNetwork(20, LIMITS)
        network.clients_return = True
        network.run(4.0, USUAL)
        network.run(4.0, HOT)
        network.run(3.0, {})
        self.assertGreater(len(network.returned), 400)
        refused = [refusal for refusal in network.returned if refusal is not None]
        self.assertLess(len(refused), 0.01 * len(network.returned))
        self.assertLessEqual(network.worst_share(LARGE), 1.0)

    def test_what_is_served_of_one_that_stands_above_its_limit_is_not_late(self) -> None:
        """Its statements have three seconds, so they could be held for longer."""
        network = ModelNetwork(9, {LARGE: RateLimit(40, 20)})
        network.target = 0.6
        network.run(4.0, {})
        network.run(5.0, {LARGE: 60.0}, timeout=3.0)
        network.held.clear()
        network.run(5.0, {LARGE: 60.0}, timeout=3.0)
        self.assertGreater(len(network.held[LARGE]), 0.95 * 40 * 5.0)
        self.assertLess(max(network.held[LARGE]), 0.4)
        self.assertLessEqual(network.worst_share(LARGE), 1.0)

    def test_also_while_answers_are_lost_each_operation_has_one_outcome(self) -> None:
        network = ModelNetwork(20, LIMITS)
        network.clients_return = True
        network.loss = 0.2
        network.run(4.0, HOT)
        network.run(4.0, {})
        outcomes = sum(len(each) for each in network.admitted.values())
        outcomes += sum(len(each) for each in network.refused.values())
        self.assertEqual(outcomes, network.asked)

    def test_beyond_the_limit_the_whole_limit_is_used(self) -> None:
        """Kept tokens of clients that do not come back are not lost."""
        network = ModelNetwork(20, LIMITS)
        network.run(4.0, HOT)
        network.admitted.clear()
        network.run(10.0, HOT)
        for caller, limit in LIMITS.items():
            self.assertGreater(len(network.admitted[caller]), 0.95 * limit.rate * 10.0)


class FaultTest(unittest.TestCase):
    def test_another_takes_over_from_a_grantor_that_is_gone(self) -> None:
        network = ModelNetwork(9, LIMITS)
        network.run(4.0, USUAL)
        gone = network.processes["process0"].gate.grantor_of(LARGE)
        self.assertTrue(gone)
        network.side[gone] = 1
        network.run(4.0, {})
        others = [name for name in network.names if name != gone]
        found = {network.processes[name].gate.grantor_of(LARGE) for name in others}
        self.assertEqual(len(found), 1)
        self.assertNotIn(gone, found)
        network.refused.clear()
        network.names = others
        network.run(5.0, USUAL)
        self.assertEqual(dict(network.refused), {})
        network.side[gone] = 0
        network.run(3.0, {})
        self.assertEqual(network.processes[others[0]].gate.grantor_of(LARGE), gone)

    def test_while_another_takes_over_operations_wait_for_it(self) -> None:
        """Their statements have two seconds; the votes for the lost grantor lapse in one."""
        network = ModelNetwork(9, LIMITS)
        network.run(4.0, USUAL, timeout=2.0)
        network.side[network.processes["process0"].gate.grantor_of(LARGE)] = 1
        network.names = [name for name in network.names if not network.side[name]]
        network.refused.clear()
        network.run(4.0, USUAL, timeout=2.0)
        refused = [refusal for each in network.refused.values() for refusal in each]
        self.assertTrue(all(each.cause is RefusalCause.OVER_LIMIT for each in refused))
        self.assertLess(len(refused), 0.02 * len(network.admitted[LARGE]))

    def test_without_any_candidate_operations_do_not_wait_for_long(self) -> None:
        network = ModelNetwork(12, LIMITS)
        network.run(4.0, USUAL)
        for number, name in enumerate(network.names):
            network.side[name] = number
        network.run(3.0, HOT, timeout=2.0)
        network.refused.clear()
        outcomes = len(network.admitted[LARGE])
        network.run(1.0, {LARGE: 200.0}, timeout=2.0)
        outcomes = len(network.admitted[LARGE]) + len(network.refused[LARGE]) - outcomes
        self.assertGreater(outcomes, 150)

    def test_who_has_just_started_waits_for_the_first_grantor(self) -> None:
        network = ModelNetwork(30, LIMITS)
        network.run(4.0, USUAL)
        for name in list(network.names):
            network.restart(name)
        network.refused.clear()
        network.run(1.0, USUAL)
        self.assertLess(len(network.refused[LARGE]), 20)

    def test_all_that_start_anew_find_a_grantor(self) -> None:
        network = ModelNetwork(30, LIMITS)
        network.run(4.0, USUAL)
        for name in list(network.names):
            network.restart(name)
        network.run(0.6, {})
        network.refused.clear()
        network.run(5.0, USUAL)
        self.assertEqual(dict(network.refused), {})

    def test_in_a_split_both_sides_go_on_below_the_limit(self) -> None:
        network = ModelNetwork(58, {LARGE: LIMITS[LARGE]})
        network.run(4.0, {LARGE: 110.0})
        for name in network.names[:28]:
            network.side[name] = 1
        network.run(2.0, {LARGE: 110.0})
        network.refused.clear()
        network.admitted.clear()
        network.run(4.0, {LARGE: 110.0})
        refused = len(network.refused[LARGE])
        self.assertLess(refused, 0.2 * len(network.admitted[LARGE]))

    def test_cut_from_all_others_a_process_admits_its_share_alone(self) -> None:
        network = ModelNetwork(12, LIMITS)
        network.run(4.0, USUAL)
        for number, name in enumerate(network.names):
            network.side[name] = number
        network.run(2.0, {})
        network.admitted.clear()
        network.run(5.0, HOT)
        for caller, limit in LIMITS.items():
            most = int(network.policy.headroom(limit) * 0.3 + limit.rate * 5.0)
            self.assertLessEqual(len(network.admitted[caller]), most + 1)


class BoundTest(unittest.TestCase):
    """The bound on what a caller may have run, when grantors change while it presses."""

    def check(self, network: ModelNetwork) -> None:
        for caller in network.limits:
            self.assertLessEqual(network.worst_share(caller), 1.0)

    def test_all_are_started_anew_again_and_again(self) -> None:
        network = ModelNetwork(9, LIMITS)
        network.run(8.0, {})
        for pause in (0.7, 1.5, 0.3, 1.2, 0.9, 2.0):
            network.run(pause, HOT)
            for name in list(network.names):
                network.restart(name)
        network.run(6.0, HOT)
        self.check(network)

    def test_all_votes_go_from_one_to_the_next_with_full_buckets(self) -> None:
        """Each has been idle for long enough that its buckets would be full."""
        network = ModelNetwork(9, LIMITS)
        network.run(8.0, {})
        for pause in (2.0, 2.0, 2.0, 1.4, 1.4):
            gone = network.processes[network.names[0]].gate.grantor_of(LARGE)
            network.side = dict.fromkeys(network.names, 0)
            network.side[gone] = 1
            network.run(pause - 0.2, {})
            network.run(0.2, {LARGE: 3000.0, SMALL: 100.0})
        self.check(network)

    def test_grantors_freeze_and_wake(self) -> None:
        network = ModelNetwork(9, LIMITS)
        network.run(8.0, {})
        for asleep in (0.9, 1.5, 3.0, 0.5):
            grantors = {
                network.processes[network.names[0]].gate.grantor_of(caller) for caller in LIMITS
            }
            for name in grantors - {""}:
                until = network.scheduler.now() + asleep
                network.processes[name].scheduler.asleep_until = until
            network.run(asleep + 0.6, HOT)
        self.check(network)

    def test_a_split_comes_and_goes(self) -> None:
        for smaller in (1, 4, 8):
            with self.subTest(smaller):
                network = ModelNetwork(17, LIMITS)
                network.run(8.0, {})
                for pause in (1.0, 1.3, 2.0, 1.0, 0.6, 1.6):
                    is_split = not any(network.side.values())
                    for name in network.names[:smaller]:
                        network.side[name] = int(is_split)
                    network.run(pause, HOT)
                self.check(network)

    def test_callers_are_divided_anew(self) -> None:
        """With one process more there are two slots; some hear of it later than others."""
        network = ModelNetwork(33, LIMITS)
        for known in (network.names[:32], network.names, network.names[:32]):
            network.run(6.0, {})
            network.run(0.8, HOT)
            for process in network.processes.values():
                process.gate.set_members(known)
                process.grantor.set_members(known)
                network.run(0.01, HOT)
            network.run(1.0, HOT)
        self.check(network)


class DividedAnewTest(unittest.TestCase):
    def test_below_the_limit_nobody_is_lost(self) -> None:
        """Statements have a second and more; a process that was added makes two slots of one.

        A new bucket begins empty. A caller of few operations a second may then ask for two at once
        with the next token a third of a second away: what it is refused is kept for it.
        """
        for seed in range(8):
            with self.subTest(seed=seed):
                network = self.play(seed)
                self.assertEqual(network.refused[LARGE], [])
                for refusal in network.refused[SMALL]:
                    self.assertIsNotNone(refusal.kept)
                    self.assertLess(refusal.come_back_ms, 2000)
                self.assertEqual([each for each in network.returned if each is not None], [])

    def play(self, seed: int) -> ModelNetwork:
        network = ModelNetwork(33, LIMITS, seed)
        for process in network.processes.values():
            process.gate.set_members(network.names[:32])
            process.grantor.set_members(network.names[:32])
        network.run(4.0, {})
        network.run(2.0, USUAL, timeout=1.0)
        network.refused.clear()
        network.clients_return = True
        for process in network.processes.values():
            process.gate.set_members(network.names)
            process.grantor.set_members(network.names)
        network.run(3.0, USUAL, timeout=1.0)
        network.run(3.0, {})
        return network


if __name__ == "__main__":
    unittest.main()
