"""Guards against a long persistent queue, and against refusals in a queue that drains."""

import unittest

from hypothesis import given, settings
from hypothesis import strategies as st

from dewledge.core.pooler.rate_limits.persistent_queue_detector import ACCEPTABLE_WAIT_SECONDS
from dewledge.core.pooler.rate_limits.queue_key import QueueKey
from dewledge.core.pooler.rate_limits.retry_times import RETRY_HORIZON_SECONDS, RETRY_RATIO
from dewledge.core.pooler.rate_limits.token_queue import RESERVATION_HORIZON_SECONDS, Deferred
from tests.core.pooler.rate_limits.simulated_clients import (
    SimulatedClients,
    random_arrivals,
    steady_arrivals,
)

RATE = 20.0
SETTLED = 5.0
"""Seconds after which the queue is persistent and all earlier reservations were redeemed."""


class PersistentQueueTest(unittest.TestCase):
    """A caller steadily exceeds its limit."""

    def test_admitted_operations_wait_briefly(self) -> None:
        for pressure in (1.15, 1.5, 4.7):
            for obeys in (False, True):
                with self.subTest(pressure=pressure, obeys=obeys):
                    clients = SimulatedClients(RATE, 15.0, obeys)
                    clients.run(steady_arrivals(pressure * RATE, 0.0, 20.0))
                    served = [each for each in clients.operations if each.granted_at is not None]
                    hold_times = [
                        each.hold_seconds
                        for each in served
                        if each.attempted_at >= SETTLED and not each.is_on_time_retry
                    ]
                    self.assertGreater(len(hold_times), 0.45 * RATE * 15.0)
                    # Retries get up to every second token.
                    self.assertLessEqual(
                        max(hold_times), 2 * ACCEPTABLE_WAIT_SECONDS + 1 / RATE + 0.01
                    )

    def test_hold_time_is_limited_by_the_accepted_wait(self) -> None:
        for max_wait in (0.3, 0.8, 1.6):
            for obeys in (False, True):
                with self.subTest(max_wait=max_wait, obeys=obeys):
                    clients = SimulatedClients(RATE, 15.0, obeys, max_wait)
                    clients.run(steady_arrivals(3 * RATE, 0.0, 20.0))
                    hold_times = [
                        each.hold_seconds
                        for each in clients.operations
                        if each.granted_at is not None and each.attempted_at >= SETTLED
                    ]
                    self.assertLessEqual(max(hold_times), max_wait + 1 / RATE + 0.01)

    def test_longer_accepted_wait_serves_more_of_a_wave(self) -> None:
        served: dict[float, int] = {}
        for max_wait in (0.3, 1.6):
            clients = SimulatedClients(RATE, 15.0, obeys=False, max_wait=max_wait)
            waves = [steady_arrivals(3 * RATE, begin, begin + 4.0) for begin in (0.0, 8.0, 16.0)]
            clients.run([at for wave in waves for at in wave])
            served[max_wait] = sum(each.granted_at is not None for each in clients.operations)
        min_gain = 2 * RATE * (1.6 - 0.3) * (1.0 - RETRY_RATIO)
        self.assertGreater(served[1.6], served[0.3] + 0.8 * min_gain)

    def test_low_rate_caller_with_random_arrivals_waits_briefly(self) -> None:
        for rate in (2.8, 5.0):
            with self.subTest(rate=rate):
                hold_times: list[float] = []
                for seed in range(5):
                    clients = SimulatedClients(rate, 15.0, obeys=False)
                    clients.run(random_arrivals(1.5 * rate, 60.0, seed))
                    late = [each for each in clients.operations if each.arrived >= 2 * SETTLED]
                    hold_times.extend(
                        each.hold_seconds for each in late if each.granted_at is not None
                    )
                self.assertLess(sum(each > 0.6 for each in hold_times), 0.05 * len(hold_times))

    @settings(deadline=None)
    @given(
        st.floats(2, 80),
        st.floats(1, 100),
        st.floats(1.2, 5),
        st.booleans(),
    )
    def test_all_tokens_are_used(
        self, rate: float, size: float, pressure: float, obeys: bool
    ) -> None:
        clients = SimulatedClients(rate, size, obeys)
        clients.run(steady_arrivals(pressure * rate, 0.0, 9.0))
        granted = clients.granted_between(SETTLED, 9.0)
        self.assertGreaterEqual(granted, 0.95 * rate * (9.0 - SETTLED) - 2)
        self.assertLessEqual(granted, rate * (9.0 - SETTLED) + size + 1)

    @settings(deadline=None)
    @given(st.floats(2, 80), st.floats(1, 100), st.floats(1.2, 5))
    def test_retry_at_promised_time_is_not_refused(
        self, rate: float, size: float, pressure: float
    ) -> None:
        clients = SimulatedClients(rate, size, obeys=True)
        clients.run(steady_arrivals(pressure * rate, 0.0, 9.0))
        retried = [each for each in clients.operations if each.on_time_retries]
        self.assertGreater(len(retried), 0)
        self.assertEqual([each for each in retried if each.refused_on_time], [])
        self.assertEqual([each for each in retried if each.granted_at is None], [])
        # An operation without a reserved time at first gets a later one at its next attempt.
        once = [each.granted_at for each in retried if each.attempts == 2]
        moments = [at for at in once if at is not None]
        self.assertEqual(moments, sorted(moments), "not in the order of arrival")

    def test_retries_leave_half_of_the_tokens_to_first_attempts(self) -> None:
        clients = SimulatedClients(RATE, 15.0, obeys=True)
        clients.run(steady_arrivals(3 * RATE, 0.0, 20.0))
        fresh = [each for each in clients.operations if each.arrived > SETTLED and each.granted_at]
        first_tries = [each for each in fresh if each.attempts == 1]
        self.assertGreater(len(first_tries), 0.45 * RATE * 15.0)

    def test_operation_that_would_miss_its_target_is_not_held(self) -> None:
        clients = SimulatedClients(RATE, 15.0, obeys=False, max_wait=0.06)
        clients.run(steady_arrivals(2 * RATE, 0.0, 20.0))
        first_tries = [
            each.hold_seconds
            for each in clients.operations
            if each.arrived >= SETTLED and each.granted_at and each.attempts == 1
        ]
        self.assertLessEqual(max(first_tries), 0.06 + 1e-4)

    def test_number_of_retry_times_is_bounded(self) -> None:
        clients = SimulatedClients(RATE, 15.0, obeys=False)
        clients.run(steady_arrivals(10 * RATE, 0.0, 20.0))
        self.assertLessEqual(len(clients.queue.retries), RETRY_HORIZON_SECONDS * RATE)
        answer = clients.queue.ask(QueueKey("process", 0), 20.0, 20.0, 1.0)
        assert isinstance(answer, Deferred)
        self.assertLessEqual(answer.seconds, RETRY_HORIZON_SECONDS)

    def test_early_retry_gets_the_same_time(self) -> None:
        clients = SimulatedClients(RATE, 15.0, obeys=False)
        clients.run(steady_arrivals(3 * RATE, 0.0, 2.0))
        queue = clients.queue
        reserved: list[tuple[int, float]] = []
        for number in range(1000, 1020):
            answer = queue.ask(QueueKey("process", number), 2.5, 2.5, 1.0)
            if isinstance(answer, Deferred) and answer.is_own:
                reserved.append((number, answer.seconds))
        self.assertGreater(len(reserved), 0)
        for number, seconds in reserved:
            again = queue.ask(QueueKey("process", number), 2.5, 2.5, 1.0)
            self.assertEqual(again, Deferred(seconds, False, True, True))

    def test_abandoned_retry_frees_its_token(self) -> None:
        clients = SimulatedClients(RATE, 1.0, obeys=False)
        clients.run(steady_arrivals(3 * RATE, 0.0, 4.0))
        clients.queue.retries.record_retry(QueueKey("process", 5000), 8.0)
        clients.run(steady_arrivals(3 * RATE, 8.0, 11.0))
        self.assertGreaterEqual(clients.granted_between(8.0, 11.0), 0.95 * RATE * 3.0 - 2)

    def test_waiting_is_allowed_again_after_demand_falls(self) -> None:
        clients = SimulatedClients(RATE, 15.0, obeys=False)
        burst = [20.0 + number / 1000 for number in range(30)]
        clients.run(
            [*steady_arrivals(3 * RATE, 0.0, 10.0), *steady_arrivals(RATE / 2, 10.0, 20.0), *burst]
        )
        served = [each for each in clients.operations if each.arrived >= 20.0 and each.granted_at]
        self.assertEqual(len(served), len(burst))


class DrainingQueueTest(unittest.TestCase):
    """Delayed operations arrive together after an outage, in addition to normal demand."""

    @settings(deadline=None)
    @given(
        st.floats(5, 200),
        st.floats(0.2, 1.0),
        st.floats(0.01, 0.5),
        st.floats(0.4, 0.65),
    )
    def test_operations_delayed_by_a_pause_are_all_served(
        self, rate: float, pause: float, spread_seconds: float, demand_ratio: float
    ) -> None:
        """Normal demand is `demand_ratio` of the rate; delayed operations arrive within
        `spread_seconds`."""
        delayed = int(pause * demand_ratio * rate)
        together = [spread_seconds * number / max(delayed, 1) for number in range(delayed)]
        clients = SimulatedClients(rate, 1.0, obeys=False)
        clients.run(sorted([*together, *steady_arrivals(demand_ratio * rate, 0.0, 6.0)]))
        refused = [each for each in clients.operations if each.attempts > 1]
        self.assertEqual(refused, [])
        self.assertLessEqual(
            max(each.hold_seconds for each in clients.operations), RESERVATION_HORIZON_SECONDS
        )


if __name__ == "__main__":
    unittest.main()
