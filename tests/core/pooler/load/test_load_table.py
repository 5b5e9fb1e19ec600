"""Load reports: their size, their weight by age, and bounded memory."""

import unittest

import cbor2
import msgspec
from hypothesis import given
from hypothesis import strategies as st

from dewledge.core.pooler.load.load_reporter import LoadReporter, clamped_report
from dewledge.core.pooler.load.load_table import (
    DEFAULT_SERVICE_SECONDS,
    MAX_DATABASES,
    MAX_HOLDERS,
    REPORT_HALF_LIFE_SECONDS,
    SERVICE_HALF_LIFE_SECONDS,
    LoadEstimate,
    LoadTable,
)
from dewledge.core.pooler.load.report import LoadReport
from dewledge.core.pooler.sharing.messages import channel_reply, decode, encode
from dewledge.core.pooler.statements.statements import Reply, TransactionState

MAX_BYTES = 16
NOW = 100.0


def report(waiting: int = 0, running: int = 0, window: int = 4, service_ms: int = 10) -> LoadReport:
    return LoadReport(waiting, 0, running, window, 0, service_ms)


class LoadReportTest(unittest.TestCase):
    @given(st.lists(st.integers(0, 10**9), min_size=6, max_size=6))
    def test_encoded_report_size_is_bounded(self, numbers: list[int]) -> None:
        clamped = clamped_report(*numbers)
        self.assertLessEqual(len(cbor2.dumps(msgspec.to_builtins(clamped))), MAX_BYTES)

    def test_reply_carries_report_unchanged_within_size_bound(self) -> None:
        largest = clamped_report(*[10**9] * 6)
        reply = Reply(TransactionState.IDLE, ("row",), "signature")
        without, with_load = (
            encode(channel_reply(7, reply, None, load)) for load in (None, largest)
        )
        self.assertLessEqual(len(with_load) - len(without), MAX_BYTES)
        message = decode(with_load)
        self.assertEqual(message.load, largest)  # type: ignore[union-attr]
        self.assertIsNone(decode(without).load)  # type: ignore[union-attr]


class LoadReporterTest(unittest.TestCase):
    def test_changed_load_is_reported(self) -> None:
        cases = (
            ("nothing changed", report(), False),
            ("one statement more", report(running=1), False),
            ("a queue", report(waiting=3), True),
            ("more run", report(running=4), True),
            ("a narrow window", report(window=1), True),
            ("a fifth slower", report(service_ms=12), False),
            ("twice as slow", report(service_ms=20), True),
        )
        for title, later, is_sent in cases:
            with self.subTest(title):
                reporter = LoadReporter()
                self.assertEqual(reporter.report_to_send(report(), NOW), report())
                sent = reporter.report_to_send(later, NOW + 0.01)
                self.assertEqual(sent, later if is_sent else None)

    def test_unchanged_load_is_repeated_after_half_life(self) -> None:
        reporter = LoadReporter()
        reports = [reporter.report_to_send(report(), NOW + tick / 100) for tick in range(1000)]
        count = sum(sent is not None for sent in reports)
        self.assertEqual(count, round(10 / REPORT_HALF_LIFE_SECONDS))

    def test_small_changes_accumulate(self) -> None:
        reporter = LoadReporter()
        reports = [reporter.report_to_send(report(waiting=tick), NOW) for tick in range(5)]
        self.assertEqual([sent is not None for sent in reports], [True, False, True, False, True])


class LoadTableTest(unittest.TestCase):
    def wait(self, table: LoadTable, now: float, sent: int = 0, in_flight: int = 0) -> float:
        estimate = table.estimate("d", now)
        assert estimate is not None
        return estimate.expected_wait(sent, in_flight).seconds

    def test_expected_wait_by_report(self) -> None:
        cases = (
            ("idle", report(), 0, 0.0),
            ("a free slot", report(running=3), 0, 0.0),
            ("no free slot after statements sent since", report(running=3), 1, 0.0025),
            ("full", report(running=4), 0, 0.0025),
            ("a queue", report(waiting=8, running=4), 0, 0.0225),
            ("a queue for two connections", report(waiting=8, running=2), 0, 0.045),
            ("a queue where nothing runs", report(waiting=8), 0, 0.08),
            ("no connection can be opened", report(window=0), 0, 1.0),
            ("a slow database", report(waiting=8, running=4, service_ms=40), 0, 0.09),
        )
        for title, reported, sent, expected in cases:
            with self.subTest(title):
                table = LoadTable()
                table.update("d", "h", reported, NOW)
                self.assertAlmostEqual(self.wait(table, NOW, sent, sent), expected)

    def test_old_report_loses_weight_to_local_count(self) -> None:
        table = LoadTable()
        table.update("d", "h", report(waiting=40, running=4), NOW)
        waits = [self.wait(table, NOW + age, in_flight=5) for age in (0.0, 0.5, 2.0, 60.0)]
        self.assertEqual(waits, sorted(waits, reverse=True))
        local_wait = 2 * 0.01 / 4
        self.assertAlmostEqual(waits[-1], local_wait)
        self.assertLess(waits[2] - local_wait, (waits[0] - local_wait) / 15)
        self.assertGreater(waits[1] - local_wait, (waits[0] - local_wait) / 3)
        estimate = table.estimate("d", NOW + 2.0)
        self.assertAlmostEqual(estimate.age_seconds, 2.0)  # type: ignore[union-attr]

    def test_sent_statements_count_until_next_report(self) -> None:
        table = LoadTable()
        table.record_sent("d")
        self.assertEqual(table.sent_since("d"), 0)
        table.update("d", "h", report(), NOW)
        table.record_sent("d")
        table.record_sent("d")
        self.assertEqual(table.sent_since("d"), 2)
        table.update("d", "h", report(), NOW)
        self.assertEqual(table.sent_since("d"), 0)

    def test_report_of_lost_holder_loses_weight(self) -> None:
        table = LoadTable()
        table.update("d", "lost", report(waiting=40, running=4), NOW)
        table.update("d", "h", report(), NOW)
        self.assertAlmostEqual(self.wait(table, NOW), (22 + 1 - 2) * 0.01 / 2)
        table.update("d", "h", report(), NOW + 3.0)
        self.assertAlmostEqual(self.wait(table, NOW + 3.0), 0.0)

    def test_slow_service_time_decays_to_the_usual_one(self) -> None:
        table = LoadTable()
        table.update("d", "h", report(service_ms=40), NOW)
        for other in ("e", "f"):
            table.update(other, "h", report(), NOW)
        times = [table.estimate("d", NOW + age).service_seconds for age in (0.0, 4.0, 60.0)]  # type: ignore[union-attr]
        self.assertAlmostEqual(times[0], 0.04)
        self.assertAlmostEqual(times[1], 0.025)
        self.assertAlmostEqual(times[2], 0.01, places=4)
        self.assertEqual(SERVICE_HALF_LIFE_SECONDS, 4.0)
        self.assertEqual(LoadTable().usual_service_seconds(), DEFAULT_SERVICE_SECONDS)

    def test_report_has_no_weight_after_a_long_stall(self) -> None:
        table = LoadTable()
        table.update("d", "h", report(waiting=40, running=4), NOW)
        estimate = table.estimate("d", NOW + 30.0)
        self.assertLess(estimate.weight, 1e-9)  # type: ignore[union-attr]

    @given(st.lists(st.tuples(st.integers(0, 1400), st.integers(0, 40), st.integers(0, 300))))
    def test_number_of_databases_is_bounded(self, reports: list[tuple[int, int, int]]) -> None:
        table = LoadTable()
        for number, (database, holder, waiting) in enumerate(reports):
            table.update(f"d{database}", f"h{holder}", report(waiting=waiting), NOW + number)
            table.record_sent(f"d{database}")
        self.assertLessEqual(len(table), MAX_DATABASES)

    def test_oldest_databases_are_dropped(self) -> None:
        table = LoadTable()
        for number in range(1400):
            for holder in range(2 * MAX_HOLDERS):
                table.update(f"d{number}", f"h{holder}", report(), NOW + number)
        self.assertEqual(len(table), MAX_DATABASES)
        self.assertIsNone(table.estimate("d0", NOW))
        self.assertIsNotNone(table.estimate("d1399", NOW))

    @given(st.integers(0, 300), st.integers(0, 50), st.integers(0, 50), st.floats(0.0, 100.0))
    def test_expected_wait_grows_with_queue_length(
        self, queued: int, window: int, sent: int, age: float
    ) -> None:
        weight = 0.5 ** (age / REPORT_HALF_LIFE_SECONDS)
        shorter, longer = (
            LoadEstimate(float(queued + more), 4.0, float(window), 0.01, weight, age).expected_wait(
                sent, sent
            )
            for more in (0, 1)
        )
        self.assertGreaterEqual(longer.seconds, shorter.seconds)
        self.assertGreaterEqual(shorter.seconds, 0.0)


if __name__ == "__main__":
    unittest.main()
