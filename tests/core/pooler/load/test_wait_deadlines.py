"""Until when a statement may wait and where it stands: tables of moments. Moments of return."""

import math
import unittest

from hypothesis import given
from hypothesis import strategies as st

from dewledge.core.pooler.load.return_moments import (
    MAX_RETRY_SECONDS,
    MIN_RETRY_SECONDS,
    ReturnMoments,
)
from dewledge.core.pooler.load.ticket import Ticket, arrival_of
from dewledge.core.pooler.load.wait_counts import WaitRecord
from dewledge.core.pooler.load.wait_deadlines import (
    QueuePriority,
    WaitDeadlines,
    may_wait,
    next_check_at,
)
from dewledge.core.pooler.load.wait_estimate import ExpectedWait

HURRIED = WaitDeadlines(arrived=10.0, came=10.0, in_time_until=11.0, latest_start=13.0)
SECONDS = st.floats(0, 20, allow_nan=False)


class PatienceTest(unittest.TestCase):
    def test_it_waits_while_the_expected_wait_ends_in_its_time(self) -> None:
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
                self.assertEqual(may_wait(HURRIED, now, wait), waits)

    def test_the_late_stands_last_until_near_its_latest_start(self) -> None:
        for now, standing in ((10.9, 0), (11.1, 1), (12.4, 1), (12.5, 0), (12.9, 0)):
            self.assertEqual(HURRIED.queue_priority(now), QueuePriority(standing), now)

    def test_one_that_has_come_back_is_not_passed_over_again(self) -> None:
        returned = WaitDeadlines(arrived=7.0, came=10.0, in_time_until=8.0, latest_start=12.0)
        for now in (10.0, 11.4, 11.6):
            self.assertEqual(returned.queue_priority(now), QueuePriority.IN_TIME, now)
            self.assertTrue(returned.is_late_in_arrival_order(now))

    def test_without_a_target_or_a_time_nothing_is_late(self) -> None:
        endless = WaitDeadlines(1.0, 1.0)
        self.assertTrue(may_wait(endless, 1e9, ExpectedWait(1e9)))
        self.assertEqual(endless.queue_priority(1e9), QueuePriority.IN_TIME)
        self.assertEqual(endless.next_change(5.0), math.inf)
        self.assertEqual(next_check_at(endless, 5.0, None), math.inf)

    @given(SECONDS, SECONDS, SECONDS, SECONDS)
    def test_its_standing_changes_when_it_says_so_and_at_most_twice(
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
    def test_it_is_judged_a_few_times_and_never_after_its_time(
        self, latest: float, expected: float | None
    ) -> None:
        deadlines = WaitDeadlines(0.0, 0.0, latest_start=latest)
        wait = None if expected is None else ExpectedWait(expected)
        now, judgements = 0.0, 0
        while may_wait(deadlines, now, wait):
            again = next_check_at(deadlines, now, wait)
            self.assertGreater(again, now)
            self.assertLessEqual(again, latest)
            now = again
            judgements += 1
        self.assertLess(judgements, 20)


class ReturnTest(unittest.TestCase):
    @given(st.lists(st.tuples(st.floats(0, 0.5), st.floats(0, 2)), max_size=50))
    def test_the_moments_told_are_apart_until_the_horizon_is_full(
        self, refusals: list[tuple[float, float]]
    ) -> None:
        returns, now, spacing = ReturnMoments(), 0.0, 0.02
        moments: list[float] = []
        for pause, room_in in refusals:
            now += pause
            told = returns.promise(now, room_in, spacing)
            self.assertGreaterEqual(told, MIN_RETRY_SECONDS - 1e-6)
            self.assertLessEqual(told, MAX_RETRY_SECONDS + 1e-6)
            moments.append(now + told)
        near = [b - a for a, b in zip(moments, moments[1:], strict=False) if b >= a]
        self.assertTrue(all(gap >= spacing - 1e-9 for gap in near))

    def test_who_is_refused_in_one_moment_returns_one_after_the_other(self) -> None:
        returns = ReturnMoments()
        told = [returns.promise(5.0, 1.0, 0.02) for _ in range(50)]
        self.assertEqual(
            [round(each, 3) for each in told], [round(1 + n * 0.02, 3) for n in range(50)]
        )

    def test_a_ticket_holds_for_who_comes_back_as_told(self) -> None:
        ticket = Ticket(arrived=10.0, return_at=12.0, priority=1)
        for now, priority, arrived in (
            (12.0, 1, 10.0),
            (11.5, 1, 10.0),
            (12.9, 1, 10.0),
            (13.1, 1, 13.1),
            (12.0, 0, 12.0),
        ):
            with self.subTest(now, priority=priority):
                self.assertEqual(arrival_of(ticket, priority, now), arrived)
        old = Ticket(arrived=0.0, return_at=12.5, priority=1)
        self.assertEqual(arrival_of(old, 1, 12.5), 12.5)
        self.assertEqual(arrival_of(None, 1, 3.0), 3.0)


class CountsTest(unittest.TestCase):
    def test_how_good_the_expected_waits_were(self) -> None:
        record = WaitRecord()
        for expected, real in ((0.1, 0.11), (0.1, 0.15), (0.1, 0.3), (0.001, 0.002)):
            record.record_served(expected, real)
        counts = record.counts
        self.assertEqual((counts.served, counts.within_quarter, counts.within_double), (3, 1, 2))

    def test_a_place_that_stands_free_counts_for_one_refused_whose_time_is_not_over(self) -> None:
        record = WaitRecord()
        for latest in (1.0, 3.0, 3.0):
            record.record_refused(latest)
        record.record_free_slots(2.0, 1)
        self.assertEqual((record.counts.refused, record.counts.refused_with_room), (3, 1))
        record.record_free_slots(4.0, 5)
        self.assertEqual(record.counts.refused_with_room, 1)


if __name__ == "__main__":
    unittest.main()
