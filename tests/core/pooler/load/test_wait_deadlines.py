"""Deadlines of waiting statements, retry times, tickets and counters of expected waits."""

import math
import unittest

from hypothesis import given
from hypothesis import strategies as st

from dewledge.core.pooler.load.retry_schedule import (
    MAX_RETRY_SECONDS,
    MIN_RETRY_SECONDS,
    RetrySchedule,
)
from dewledge.core.pooler.load.ticket import Ticket, effective_arrival
from dewledge.core.pooler.load.wait_counts import WaitRecord
from dewledge.core.pooler.load.wait_deadlines import (
    QueuePriority,
    WaitDeadlines,
    may_wait,
    next_check_at,
)
from dewledge.core.pooler.load.wait_estimate import ExpectedWait

DEADLINES = WaitDeadlines(arrived=10.0, came=10.0, in_time_until=11.0, latest_start=13.0)
SECONDS = st.floats(0, 20, allow_nan=False)


class WaitDeadlinesTest(unittest.TestCase):
    def test_statement_may_wait_while_expected_wait_fits(self) -> None:
        for now, expected, waits in (
            (10.0, None, True),
            (12.9, None, True),
            (13.0, None, False),
            (10.0, 2.9, True),
            (10.0, 3.1, False),
            (12.0, 0.9, True),
            (12.0, 1.1, False),
        ):
            with self.subTest(now=now, expected=expected):
                wait = None if expected is None else ExpectedWait(expected)
                self.assertEqual(may_wait(DEADLINES, now, wait), waits)

    def test_late_statement_has_low_priority_until_near_latest_start(self) -> None:
        for now, priority in ((10.9, 0), (11.1, 1), (12.4, 1), (12.5, 0), (12.9, 0)):
            self.assertEqual(DEADLINES.queue_priority(now), QueuePriority(priority), now)

    def test_retried_statement_keeps_its_priority_when_late(self) -> None:
        retried = WaitDeadlines(arrived=7.0, came=10.0, in_time_until=8.0, latest_start=12.0)
        for now in (10.0, 11.4, 11.6):
            self.assertEqual(retried.queue_priority(now), QueuePriority.IN_TIME, now)
            self.assertTrue(retried.is_late_in_arrival_order(now))

    def test_statement_without_deadlines_may_always_wait(self) -> None:
        unlimited = WaitDeadlines(1.0, 1.0)
        self.assertTrue(may_wait(unlimited, 1e9, ExpectedWait(1e9)))
        self.assertEqual(unlimited.queue_priority(1e9), QueuePriority.IN_TIME)
        self.assertEqual(unlimited.next_change(5.0), math.inf)
        self.assertEqual(next_check_at(unlimited, 5.0, None), math.inf)

    @given(SECONDS, SECONDS, SECONDS, SECONDS)
    def test_priority_changes_at_most_twice_and_only_at_next_change(
        self, came: float, in_time: float, latest: float, now: float
    ) -> None:
        deadlines = WaitDeadlines(came, came, in_time, latest)
        changes = 0
        while (change := deadlines.next_change(now)) < math.inf:
            between = (now + change) / 2
            self.assertEqual(deadlines.queue_priority(between), deadlines.queue_priority(now))
            now = math.nextafter(change, math.inf)
            changes += 1
        self.assertLessEqual(changes, 2)
        self.assertEqual(deadlines.queue_priority(max(now, latest)), QueuePriority.IN_TIME)

    @given(SECONDS, st.one_of(st.none(), SECONDS))
    def test_few_checks_and_none_after_latest_start(
        self, latest: float, expected: float | None
    ) -> None:
        deadlines = WaitDeadlines(0.0, 0.0, latest_start=latest)
        wait = None if expected is None else ExpectedWait(expected)
        now, checks = 0.0, 0
        while may_wait(deadlines, now, wait):
            next_check = next_check_at(deadlines, now, wait)
            self.assertGreater(next_check, now)
            self.assertLessEqual(next_check, latest)
            now = next_check
            checks += 1
        self.assertLess(checks, 20)


class RetryTest(unittest.TestCase):
    @given(st.lists(st.tuples(st.floats(0, 0.5), st.floats(0, 2)), max_size=50))
    def test_retry_times_are_spaced_until_the_range_is_full(
        self, refusals: list[tuple[float, float]]
    ) -> None:
        schedule, now, spacing = RetrySchedule(), 0.0, 0.02
        times: list[float] = []
        for pause, drained_in in refusals:
            now += pause
            delay = schedule.reserve(now, drained_in, spacing)
            self.assertGreaterEqual(delay, MIN_RETRY_SECONDS - 1e-6)
            self.assertLessEqual(delay, MAX_RETRY_SECONDS + 1e-6)
            times.append(now + delay)
        near = [b - a for a, b in zip(times, times[1:], strict=False) if b >= a]
        self.assertTrue(all(gap >= spacing - 1e-9 for gap in near))

    def test_simultaneous_refusals_get_successive_retry_times(self) -> None:
        schedule = RetrySchedule()
        delays = [schedule.reserve(5.0, 1.0, 0.02) for _ in range(50)]
        self.assertEqual(
            [round(each, 3) for each in delays], [round(1 + n * 0.02, 3) for n in range(50)]
        )

    def test_ticket_applies_to_timely_retry_of_same_priority(self) -> None:
        ticket = Ticket(arrived=10.0, return_at=12.0, priority=1)
        for now, priority, arrived in (
            (12.0, 1, 10.0),
            (11.5, 1, 10.0),
            (12.9, 1, 10.0),
            (13.1, 1, 13.1),
            (12.0, 0, 12.0),
        ):
            with self.subTest(now, priority=priority):
                self.assertEqual(effective_arrival(ticket, priority, now), arrived)
        expired = Ticket(arrived=0.0, return_at=12.5, priority=1)
        self.assertEqual(effective_arrival(expired, 1, 12.5), 12.5)
        self.assertEqual(effective_arrival(None, 1, 3.0), 3.0)


class WaitRecordTest(unittest.TestCase):
    def test_accuracy_of_expected_waits(self) -> None:
        record = WaitRecord()
        for expected, real in ((0.1, 0.11), (0.1, 0.15), (0.1, 0.3), (0.001, 0.002)):
            record.record_served(expected, real)
        counts = record.counts
        self.assertEqual((counts.served, counts.within_quarter, counts.within_double), (3, 1, 2))

    def test_free_slot_counts_for_refusal_before_its_deadline(self) -> None:
        record = WaitRecord()
        for latest in (1.0, 3.0, 3.0):
            record.record_refused(latest)
        record.record_free_slots(2.0, 1)
        self.assertEqual((record.counts.refused, record.counts.refused_with_room), (3, 1))
        record.record_free_slots(4.0, 5)
        self.assertEqual(record.counts.refused_with_room, 1)


if __name__ == "__main__":
    unittest.main()
