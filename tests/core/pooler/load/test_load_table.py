"""What holders tell: what it costs in bytes, how it ages, and that its state is bounded."""

import unittest

import cbor2
import msgspec
from hypothesis import given
from hypothesis import strategies as st

from dewledge.core.pooler.load.load_reporter import LoadReporter, bounded_report
from dewledge.core.pooler.load.load_table import (
    DEFAULT_SERVICE_SECONDS,
    MAX_DATABASES,
    MAX_HOLDERS,
    REPORT_HALF_LIFE_SECONDS,
    SERVICE_HALF_LIFE_SECONDS,
    KnownLoad,
    LoadTable,
)
from dewledge.core.pooler.load.report import LoadReport
from dewledge.core.pooler.sharing.messages import channel_reply, decode, encode
from dewledge.core.pooler.statements.statements import Reply, TransactionState

MOST_BYTES = 16
NOW = 100.0


def report(waiting: int = 0, running: int = 0, window: int = 4, service_ms: int = 10) -> LoadReport:
    return LoadReport(waiting, 0, running, window, 0, service_ms)


class ReportTest(unittest.TestCase):
    @given(st.lists(st.integers(0, 10**9), min_size=6, max_size=6))
    def test_a_report_takes_few_bytes_whatever_it_tells(self, numbers: list[int]) -> None:
        told = bounded_report(*numbers)
        self.assertLessEqual(len(cbor2.dumps(msgspec.to_builtins(told))), MOST_BYTES)

    def test_it_adds_no_more_to_an_answer_and_arrives_whole(self) -> None:
        largest = bounded_report(*[10**9] * 6)
        reply = Reply(TransactionState.IDLE, ("row",), "signature")
        without, with_load = (
            encode(channel_reply(7, reply, None, load)) for load in (None, largest)
        )
        self.assertLessEqual(len(with_load) - len(without), MOST_BYTES)
        message = decode(with_load)
        self.assertEqual(message.load, largest)  # type: ignore[union-attr]
        self.assertIsNone(decode(without).load)  # type: ignore[union-attr]


class TellerTest(unittest.TestCase):
    def test_what_has_changed_is_told(self) -> None:
        cases = (
            ("nothing changed", report(), False),
            ("one statement more", report(running=1), False),
            ("a queue", report(waiting=3), True),
            ("more run", report(running=4), True),
            ("a narrow window", report(window=1), True),
            ("a fifth slower", report(service_ms=12), False),
            ("twice as slow", report(service_ms=20), True),
        )
        for title, later, is_told in cases:
            with self.subTest(title):
                teller = LoadReporter()
                self.assertEqual(teller.due_report(report(), NOW), report())
                word = teller.due_report(later, NOW + 0.01)
                self.assertEqual(word, later if is_told else None)

    def test_the_same_is_told_again_once_it_counts_half(self) -> None:
        teller = LoadReporter()
        told = [teller.due_report(report(), NOW + tick / 100) for tick in range(1000)]
        words = sum(word is not None for word in told)
        self.assertEqual(words, round(10 / REPORT_HALF_LIFE_SECONDS))

    def test_small_changes_add_up(self) -> None:
        teller = LoadReporter()
        told = [teller.due_report(report(waiting=tick), NOW) for tick in range(5)]
        self.assertEqual([word is not None for word in told], [True, False, True, False, True])


class BookTest(unittest.TestCase):
    def wait(self, book: LoadTable, now: float, sent: int = 0, in_flight: int = 0) -> float:
        known = book.known("d", now)
        assert known is not None
        return known.expected_wait(sent, in_flight).seconds

    def test_the_wait_before_a_database(self) -> None:
        cases = (
            ("idle", report(), 0, 0.0),
            ("a slot is left", report(running=3), 0, 0.0),
            ("own statements sent since take it", report(running=3), 1, 0.0025),
            ("full", report(running=4), 0, 0.0025),
            ("a queue", report(waiting=8, running=4), 0, 0.0225),
            ("a queue for two connections", report(waiting=8, running=2), 0, 0.045),
            ("a queue where nothing runs", report(waiting=8), 0, 0.08),
            ("no connection can be opened", report(window=0), 0, 1.0),
            ("a slow one", report(waiting=8, running=4, service_ms=40), 0, 0.09),
        )
        for title, told, sent, expected in cases:
            with self.subTest(title):
                book = LoadTable()
                book.take("d", "h", told, NOW)
                self.assertAlmostEqual(self.wait(book, NOW, sent, sent), expected)

    def test_old_word_counts_less_until_own_counts_take_over(self) -> None:
        book = LoadTable()
        book.take("d", "h", report(waiting=40, running=4), NOW)
        waits = [self.wait(book, NOW + age, in_flight=5) for age in (0.0, 0.5, 2.0, 60.0)]
        self.assertEqual(waits, sorted(waits, reverse=True))
        own = 2 * 0.01 / 4
        self.assertAlmostEqual(waits[-1], own)
        self.assertLess(waits[2] - own, (waits[0] - own) / 15)
        self.assertGreater(waits[1] - own, (waits[0] - own) / 3)
        known = book.known("d", NOW + 2.0)
        self.assertAlmostEqual(known.age_seconds, 2.0)  # type: ignore[union-attr]

    def test_what_was_sent_counts_until_the_next_word(self) -> None:
        book = LoadTable()
        book.note_sent("d")
        self.assertEqual(book.sent_since("d"), 0)
        book.take("d", "h", report(), NOW)
        book.note_sent("d")
        book.note_sent("d")
        self.assertEqual(book.sent_since("d"), 2)
        book.take("d", "h", report(), NOW)
        self.assertEqual(book.sent_since("d"), 0)

    def test_a_lost_holder_soon_says_nothing_beside_another(self) -> None:
        book = LoadTable()
        book.take("d", "lost", report(waiting=40, running=4), NOW)
        book.take("d", "h", report(), NOW)
        self.assertAlmostEqual(self.wait(book, NOW), (22 + 1 - 2) * 0.01 / 2)
        book.take("d", "h", report(), NOW + 3.0)
        self.assertAlmostEqual(self.wait(book, NOW + 3.0), 0.0)

    def test_a_database_that_was_slow_is_taken_for_a_usual_one_in_time(self) -> None:
        book = LoadTable()
        book.take("d", "h", report(service_ms=40), NOW)
        for other in ("e", "f"):
            book.take(other, "h", report(), NOW)
        times = [book.known("d", NOW + age).service_seconds for age in (0.0, 4.0, 60.0)]  # type: ignore[union-attr]
        self.assertAlmostEqual(times[0], 0.04)
        self.assertAlmostEqual(times[1], 0.025)
        self.assertAlmostEqual(times[2], 0.01, places=4)
        self.assertEqual(SERVICE_HALF_LIFE_SECONDS, 4.0)
        self.assertEqual(LoadTable().usual_service(), DEFAULT_SERVICE_SECONDS)

    def test_a_process_that_wakes_takes_its_word_for_old(self) -> None:
        book = LoadTable()
        book.take("d", "h", report(waiting=40, running=4), NOW)
        known = book.known("d", NOW + 30.0)
        self.assertLess(known.weight, 1e-9)  # type: ignore[union-attr]

    @given(st.lists(st.tuples(st.integers(0, 1400), st.integers(0, 40), st.integers(0, 300))))
    def test_state_is_bounded(self, words: list[tuple[int, int, int]]) -> None:
        book = LoadTable()
        for number, (database, holder, waiting) in enumerate(words):
            book.take(f"d{database}", f"h{holder}", report(waiting=waiting), NOW + number)
            book.note_sent(f"d{database}")
        self.assertLessEqual(len(book), MAX_DATABASES)

    def test_many_databases_and_holders_leave_the_newest(self) -> None:
        book = LoadTable()
        for number in range(1400):
            for holder in range(2 * MAX_HOLDERS):
                book.take(f"d{number}", f"h{holder}", report(), NOW + number)
        self.assertEqual(len(book), MAX_DATABASES)
        self.assertIsNone(book.known("d0", NOW))
        self.assertIsNotNone(book.known("d1399", NOW))

    @given(st.integers(0, 300), st.integers(0, 50), st.integers(0, 50), st.floats(0.0, 100.0))
    def test_a_longer_queue_is_never_a_shorter_wait(
        self, queued: int, window: int, sent: int, age: float
    ) -> None:
        weight = 0.5 ** (age / REPORT_HALF_LIFE_SECONDS)
        shorter, longer = (
            KnownLoad(float(queued + more), 4.0, float(window), 0.01, weight, age).expected_wait(
                sent, sent
            )
            for more in (0, 1)
        )
        self.assertGreaterEqual(longer.seconds, shorter.seconds)
        self.assertGreaterEqual(shorter.seconds, 0.0)


if __name__ == "__main__":
    unittest.main()
