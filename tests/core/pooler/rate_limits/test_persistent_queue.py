"""A queue of tokens that stands is kept short; one that drains is held for all who stand in it."""

import unittest

from hypothesis import given, settings
from hypothesis import strategies as st

from dewledge.core.pooler.rate_limits.persistent_queue_detector import ACCEPTABLE_WAIT_SECONDS
from dewledge.core.pooler.rate_limits.queue_key import QueueKey
from dewledge.core.pooler.rate_limits.retry_times import RETRY_HORIZON_SECONDS, RETRY_RATIO
from dewledge.core.pooler.rate_limits.token_queue import RESERVATION_HORIZON_SECONDS, Deferred
from tests.core.pooler.rate_limits.simulated_clients import Crowd, by_chance, steady

RATE = 20.0
SETTLED = 5.0
"""By then the queue has been found to stand, and who was promised a token before that has it."""


class StandingTest(unittest.TestCase):
    """A caller that asks for more than its limit, steadily."""

    def test_what_is_served_is_served_in_time(self) -> None:
        for pressure in (1.15, 1.5, 4.7):
            for heeds in (False, True):
                with self.subTest(pressure=pressure, heeds=heeds):
                    crowd = Crowd(RATE, 15.0, heeds)
                    crowd.play(steady(pressure * RATE, 0.0, 20.0))
                    served = [each for each in crowd.operations if each.given_at is not None]
                    held = [
                        each.held
                        for each in served
                        if each.tried_at >= SETTLED and not each.is_back_as_told
                    ]
                    self.assertGreater(len(held), 0.45 * RATE * 15.0)
                    # Those that come back have up to every second token.
                    self.assertLessEqual(max(held), 2 * ACCEPTABLE_WAIT_SECONDS + 1 / RATE + 0.01)

    def test_what_bears_to_wait_is_held_as_long_as_it_is_in_time(self) -> None:
        for bears in (0.3, 0.8, 1.6):
            for heeds in (False, True):
                with self.subTest(bears=bears, heeds=heeds):
                    crowd = Crowd(RATE, 15.0, heeds, bears)
                    crowd.play(steady(3 * RATE, 0.0, 20.0))
                    held = [
                        each.held
                        for each in crowd.operations
                        if each.given_at is not None and each.tried_at >= SETTLED
                    ]
                    self.assertLessEqual(max(held), bears + 1 / RATE + 0.01)

    def test_a_wave_of_demand_leaves_more_that_is_served_where_it_bears_to_wait(self) -> None:
        served: dict[float, int] = {}
        for bears in (0.3, 1.6):
            crowd = Crowd(RATE, 15.0, heeds=False, bears=bears)
            waves = [steady(3 * RATE, begin, begin + 4.0) for begin in (0.0, 8.0, 16.0)]
            crowd.play([at for wave in waves for at in wave])
            served[bears] = sum(each.given_at is not None for each in crowd.operations)
        least_gain = 2 * RATE * (1.6 - 0.3) * (1.0 - RETRY_RATIO)
        self.assertGreater(served[1.6], served[0.3] + 0.8 * least_gain)

    def test_also_of_a_caller_of_few_operations_that_come_by_chance(self) -> None:
        for rate in (2.8, 5.0):
            with self.subTest(rate=rate):
                held: list[float] = []
                for seed in range(5):
                    crowd = Crowd(rate, 15.0, heeds=False)
                    crowd.play(by_chance(1.5 * rate, 60.0, seed))
                    late = [each for each in crowd.operations if each.arrived >= 2 * SETTLED]
                    held.extend(each.held for each in late if each.given_at is not None)
                self.assertLess(sum(each > 0.6 for each in held), 0.05 * len(held))

    @settings(deadline=None)
    @given(
        st.floats(2, 80),
        st.floats(1, 100),
        st.floats(1.2, 5),
        st.booleans(),
    )
    def test_all_tokens_are_used(
        self, rate: float, size: float, pressure: float, heeds: bool
    ) -> None:
        crowd = Crowd(rate, size, heeds)
        crowd.play(steady(pressure * rate, 0.0, 9.0))
        given = crowd.given_between(SETTLED, 9.0)
        self.assertGreaterEqual(given, 0.95 * rate * (9.0 - SETTLED) - 2)
        self.assertLessEqual(given, rate * (9.0 - SETTLED) + size + 1)

    @settings(deadline=None)
    @given(st.floats(2, 80), st.floats(1, 100), st.floats(1.2, 5))
    def test_who_comes_back_as_told_is_not_refused_again(
        self, rate: float, size: float, pressure: float
    ) -> None:
        crowd = Crowd(rate, size, heeds=True)
        crowd.play(steady(pressure * rate, 0.0, 9.0))
        returned = [each for each in crowd.operations if each.returned]
        self.assertGreater(len(returned), 0)
        self.assertEqual([each for each in returned if each.refused_again], [])
        self.assertEqual([each for each in returned if each.given_at is None], [])
        # One that had no moment of its own at first was told one after those that came meanwhile.
        once = [each.given_at for each in returned if each.tries == 2]
        moments = [at for at in once if at is not None]
        self.assertEqual(moments, sorted(moments), "not in the order of their arrival")

    def test_what_comes_back_leaves_half_of_the_tokens_to_others(self) -> None:
        crowd = Crowd(RATE, 15.0, heeds=True)
        crowd.play(steady(3 * RATE, 0.0, 20.0))
        fresh = [each for each in crowd.operations if each.arrived > SETTLED and each.given_at]
        first_tries = [each for each in fresh if each.tries == 1]
        self.assertGreater(len(first_tries), 0.45 * RATE * 15.0)

    def test_an_operation_that_would_be_late_is_not_held(self) -> None:
        crowd = Crowd(RATE, 15.0, heeds=False, bears=0.06)
        crowd.play(steady(2 * RATE, 0.0, 20.0))
        first_tries = [
            each.held
            for each in crowd.operations
            if each.arrived >= SETTLED and each.given_at and each.tries == 1
        ]
        self.assertLessEqual(max(first_tries), 0.06 + 1e-4)

    def test_moments_told_are_bounded_in_number_and_time(self) -> None:
        crowd = Crowd(RATE, 15.0, heeds=False)
        crowd.play(steady(10 * RATE, 0.0, 20.0))
        self.assertLessEqual(len(crowd.queue.retries), RETRY_HORIZON_SECONDS * RATE)
        found = crowd.queue.ask(QueueKey("process", 0), 20.0, 20.0, 1.0)
        assert isinstance(found, Deferred)
        self.assertLessEqual(found.seconds, RETRY_HORIZON_SECONDS)

    def test_who_comes_before_its_moment_is_told_the_same_again(self) -> None:
        crowd = Crowd(RATE, 15.0, heeds=False)
        crowd.play(steady(3 * RATE, 0.0, 2.0))
        queue = crowd.queue
        told: list[tuple[int, float]] = []
        for number in range(1000, 1020):
            found = queue.ask(QueueKey("process", number), 2.5, 2.5, 1.0)
            if isinstance(found, Deferred) and found.is_own:
                told.append((number, found.seconds))
        self.assertGreater(len(told), 0)
        for number, seconds in told:
            again = queue.ask(QueueKey("process", number), 2.5, 2.5, 1.0)
            self.assertEqual(again, Deferred(seconds, False, True, True))

    def test_a_token_of_one_that_came_back_and_left_is_for_the_next(self) -> None:
        crowd = Crowd(RATE, 1.0, heeds=False)
        crowd.play(steady(3 * RATE, 0.0, 4.0))
        crowd.queue.retries.record_retry(QueueKey("process", 5000), 8.0)
        crowd.play(steady(3 * RATE, 8.0, 11.0))
        self.assertGreaterEqual(crowd.given_between(8.0, 11.0), 0.95 * RATE * 3.0 - 2)

    def test_once_the_demand_falls_waiting_is_possible_again(self) -> None:
        crowd = Crowd(RATE, 15.0, heeds=False)
        burst = [20.0 + number / 1000 for number in range(30)]
        crowd.play([*steady(3 * RATE, 0.0, 10.0), *steady(RATE / 2, 10.0, 20.0), *burst])
        served = [each for each in crowd.operations if each.arrived >= 20.0 and each.given_at]
        self.assertEqual(len(served), len(burst))


class DrainingTest(unittest.TestCase):
    """Operations that come together after an outage, beside what usually comes."""

    @settings(deadline=None)
    @given(
        st.floats(5, 200),
        st.floats(0.2, 1.0),
        st.floats(0.01, 0.5),
        st.floats(0.4, 0.65),
    )
    def test_all_that_a_pause_piled_up_is_held_and_served(
        self, rate: float, pause: float, spread: float, usual: float
    ) -> None:
        """Usual demand is `usual` of the rate; what came in the pause comes within `spread`."""
        piled_up = int(pause * usual * rate)
        together = [spread * number / max(piled_up, 1) for number in range(piled_up)]
        crowd = Crowd(rate, 1.0, heeds=False)
        crowd.play(sorted([*together, *steady(usual * rate, 0.0, 6.0)]))
        refused = [each for each in crowd.operations if each.tries > 1]
        self.assertEqual(refused, [])
        self.assertLessEqual(
            max(each.held for each in crowd.operations), RESERVATION_HORIZON_SECONDS
        )


if __name__ == "__main__":
    unittest.main()
