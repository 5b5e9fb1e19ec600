"""Retries and outcomes: what is sent again, what never is, and what the caller is told."""

import unittest
from collections.abc import Callable

from dewledge.core.proxy.calls import Access, Operation, Outcome
from dewledge.core.proxy.database_status import DatabaseRole
from dewledge.core.proxy.entry.settings import EntrySettings
from dewledge.core.proxy.messages import StatementRequest
from dewledge.errors import ErrorCode
from tests.core.proxy.entry.entry_harness import EntryHarness, configuration, position

Fault = Callable[[EntryHarness], None]
NO_RETRIES = EntrySettings(retry_ratio=0.0, retry_reserve=0.0)


def lose(peer: str) -> Fault:
    return lambda harness: harness.lose(peer)


def refuse(code: ErrorCode, **fields: object) -> Fault:
    return lambda harness: harness.answer_not_run(code, **fields)


def answer_unknown(code: ErrorCode) -> Fault:
    return lambda harness: harness.answer_unknown(code)


def pass_time(seconds: float) -> Fault:
    return lambda harness: harness.advance(seconds)


class WriteFaultTest(unittest.TestCase):
    def test_write_after_it_was_sent(self) -> None:
        """Rows: name, fault, outcome and code (None: not answered yet), times sent."""
        unknown, not_run = Outcome.UNKNOWN, Outcome.NOT_RUN
        lost, late = ErrorCode.CONNECTION_LOST, ErrorCode.DEADLINE_EXCEEDED
        failed, full = ErrorCode.STATEMENT_FAILED, ErrorCode.OVERLOADED
        unconfirmed, unreachable = ErrorCode.NOT_CONFIRMED, ErrorCode.GATEWAY_UNREACHABLE
        cases = [
            ("link lost", [lose("ga")], (unknown, lost), 1),
            ("other link lost", [lose("gb")], None, 1),
            ("gateway says unknown", [answer_unknown(lost)], (unknown, lost), 1),
            ("not confirmed", [answer_unknown(unconfirmed)], (unknown, unconfirmed), 1),
            ("no answer by the deadline", [pass_time(3.0)], (unknown, late), 1),
            ("statement failed", [refuse(failed)], (not_run, failed), 1),
            ("overloaded", [refuse(full, retry_after=0.7)], (not_run, full), 1),
            ("deadline passed in the queue", [refuse(late)], (not_run, late), 1),
            ("redirected", [refuse(ErrorCode.WRONG_GATEWAY, gateway="gb")], None, 2),
            ("gateway leaving", [refuse(ErrorCode.LEAVING, gateway="gb")], None, 2),
            ("never left", [refuse(unreachable)], None, 2),
            (
                "redirected, then lost",
                [refuse(ErrorCode.WRONG_GATEWAY, gateway="gb"), lose("gb")],
                (unknown, lost),
                2,
            ),
        ]
        for key in (None, "key"):
            for name, faults, expected, sent in cases:
                with self.subTest(name, key=key):
                    harness = EntryHarness()
                    request_id = harness.call(key=key)
                    for fault in faults:
                        fault(harness)
                    answer = harness.answer(request_id)
                    told = answer and (answer.outcome, answer.code)
                    self.assertEqual(told, expected)
                    self.assertEqual(len(harness.sent_of(StatementRequest)), sent)

    def test_retry_after_is_passed_on(self) -> None:
        harness = EntryHarness()
        request_id = harness.call()
        harness.answer_not_run(ErrorCode.OVERLOADED, retry_after=0.7)
        self.assertEqual(harness.answer(request_id).retry_after, 0.7)

    def test_connection_limit_is_retried_later_within_the_budget(self) -> None:
        harness = EntryHarness()
        request_id = harness.call()
        harness.answer_not_run(ErrorCode.CONNECTION_LIMIT)
        self.assertEqual(len(harness.sent_of(StatementRequest)), 1)
        harness.advance(0.2)
        self.assertEqual(len(harness.sent_of(StatementRequest)), 2)
        self.assertIsNone(harness.answer(request_id))

    def test_spent_budget_answers_at_once(self) -> None:
        harness = EntryHarness(settings=NO_RETRIES)
        request_id = harness.call()
        harness.answer_not_run(ErrorCode.CONNECTION_LIMIT)
        answer = harness.answer(request_id)
        expected = (Outcome.NOT_RUN, ErrorCode.CONNECTION_LIMIT)
        self.assertEqual((answer.outcome, answer.code), expected)
        self.assertGreater(answer.retry_after, 0)
        self.assertEqual(harness.logs[-1].name, "retry_refused")

    def test_attempts_are_bounded(self) -> None:
        harness = EntryHarness()
        request_id = harness.call(deadline=60.0)
        for _ in range(50):
            if harness.answer(request_id) is not None:
                break
            harness.answer_not_run(ErrorCode.CONNECTION_LIMIT)
            harness.advance(1.0)
        self.assertEqual(len(harness.sent_of(StatementRequest)), EntrySettings().max_attempts)

    def test_redirect_loop_ends(self) -> None:
        """Two gateways that each name the other cost a few hops, then pauses that grow."""
        harness = EntryHarness()
        request_id = harness.call(deadline=2.0)
        end = harness.now + 3.0
        while harness.answer(request_id) is None and harness.now < end:
            before = len(harness.sent_of(StatementRequest))
            peer, _ = harness.last_request()
            other = "gb" if peer == "ga" else "ga"
            harness.answer_not_run(ErrorCode.WRONG_GATEWAY, gateway=other)
            while harness.answer(request_id) is None and (
                len(harness.sent_of(StatementRequest)) == before
            ):
                harness.advance(0.01)
        answer = harness.answer(request_id)
        self.assertEqual(answer.outcome, Outcome.NOT_RUN)
        self.assertLess(len(harness.sent_of(StatementRequest)), 100)

    def test_a_write_that_never_left_says_nothing_of_others_to_the_same_gateway(self) -> None:
        harness = EntryHarness()
        first, second = harness.call(), harness.call()
        (peer, request), (same_peer, _) = harness.sent_of(StatementRequest)
        self.assertEqual((peer, same_peer), ("ga", "ga"))
        harness.refuse_unsent(peer, request.correlation)
        self.assertIsNone(harness.answer(second), "its own answer is still awaited")
        self.assertIsNone(harness.answer(first))
        self.assertEqual(harness.last_request()[0], "gx", "the first goes to the next gateway")

    def test_dead_gateway_is_left_for_the_next_and_then_waited_for(self) -> None:
        harness = EntryHarness()
        request_id = harness.call()
        harness.answer_not_run(ErrorCode.GATEWAY_UNREACHABLE)
        self.assertEqual(harness.last_request()[0], "gx")
        harness.answer_not_run(ErrorCode.WRONG_GATEWAY, gateway="ga")
        self.assertEqual(harness.last_request()[0], "gx", "not back to the dead one at once")
        harness.placement.ranking["a"] = ("gx", "gb")
        harness.advance(0.1)
        self.assertEqual(harness.last_request()[0], "gx")
        harness.answer_done(position(1, 11))
        self.assertEqual(harness.answer(request_id).outcome, Outcome.DONE)

    def test_no_gateway_in_time_is_not_run(self) -> None:
        harness = EntryHarness()
        harness.placement.ranking["a"] = ()
        request_id = harness.call(deadline=1.0)
        harness.advance(0.99)
        answer = harness.answer(request_id)
        expected = (Outcome.NOT_RUN, ErrorCode.GATEWAY_UNREACHABLE)
        self.assertEqual((answer.outcome, answer.code), expected)


class ReadFaultTest(unittest.TestCase):
    def test_read_moves_on(self) -> None:
        """Rows: name, fault, whether it goes to another database."""
        cases = [
            ("not fresh", refuse(ErrorCode.NOT_FRESH)),
            ("unreachable", refuse(ErrorCode.DATABASE_UNREACHABLE)),
            ("drained", refuse(ErrorCode.DATABASE_DRAINED)),
            ("connection limit", refuse(ErrorCode.CONNECTION_LIMIT)),
            ("connection lost", refuse(ErrorCode.CONNECTION_LOST)),
            ("unknown", answer_unknown(ErrorCode.CONNECTION_LOST)),
            ("no answer", pass_time(0.6)),
            ("stale rows", lambda h: h.answer_done(position(1, 4), DatabaseRole.REPLICA)),
        ]
        for name, fault in cases:
            with self.subTest(name):
                harness = EntryHarness()
                request_id = harness.read(position(1, 10))
                first = harness.last_request()[1].database
                fault(harness)
                harness.advance(0.05)
                self.assertIsNone(harness.answer(request_id))
                second = harness.last_request()[1].database
                self.assertNotEqual(second, first)
                harness.answer_done(position(1, 10), DatabaseRole.REPLICA)
                self.assertEqual(harness.answer(request_id).outcome, Outcome.DONE)

    def test_link_lost_moves_a_read_to_the_next_gateway(self) -> None:
        harness = EntryHarness()
        harness.read(position(1, 10))
        peer, first = harness.last_request()
        harness.lose(peer)
        other_peer, second = harness.last_request()
        self.assertNotEqual(other_peer, peer)
        self.assertNotEqual(second.correlation, first.correlation)

    def test_two_stale_answers_lead_to_the_primary(self) -> None:
        harness = EntryHarness()
        request_id = harness.read(position(1, 10))
        harness.answer_not_run(ErrorCode.NOT_FRESH)
        harness.answer_not_run(ErrorCode.NOT_FRESH)
        _, message = harness.last_request()
        self.assertEqual((message.database, message.confirm), ("a", True))
        harness.answer_done(position(1, 10))
        self.assertEqual(harness.answer(request_id).served_by, "a")

    def test_read_that_may_have_run_is_not_called_not_run(self) -> None:
        harness = EntryHarness(settings=NO_RETRIES)
        request_id = harness.read(position(1, 10))
        harness.lose(harness.last_request()[0])
        answer = harness.answer(request_id)
        expected = (Outcome.UNKNOWN, ErrorCode.GATEWAY_UNREACHABLE)
        self.assertEqual((answer.outcome, answer.code), expected)

    def test_without_budget_a_slow_read_is_left_alone(self) -> None:
        harness = EntryHarness(settings=NO_RETRIES)
        request_id = harness.read(position(1, 10))
        harness.advance(1.5)
        self.assertEqual(len(harness.sent_of(StatementRequest)), 1)
        harness.answer_done(position(1, 10), DatabaseRole.REPLICA)
        self.assertEqual(harness.answer(request_id).outcome, Outcome.DONE)

    def test_late_answer_of_a_given_up_attempt_is_dropped(self) -> None:
        harness = EntryHarness()
        request_id = harness.read(position(1, 10))
        first = harness.sent_of(StatementRequest)[0]
        harness.advance(0.6)
        self.assertEqual(len(harness.sent_of(StatementRequest)), 2)
        second = harness.sent.pop()
        harness.sent = [item for item in harness.sent if item.message is first[1]]
        harness.answer_done(position(1, 10), DatabaseRole.REPLICA)
        self.assertIsNone(harness.answer(request_id))
        harness.sent.append(second)
        harness.answer_done(position(1, 10), DatabaseRole.REPLICA)
        self.assertEqual(harness.answer(request_id).outcome, Outcome.DONE)


class BeginFaultTest(unittest.TestCase):
    def test_begin_is_repeated_after_a_lost_link(self) -> None:
        harness = EntryHarness()
        request_id = harness.call(operation=Operation.BEGIN)
        harness.lose("ga")
        peer, message = harness.last_request()
        self.assertEqual((peer, message.operation), ("gx", Operation.BEGIN))
        harness.answer_done(position(1, 10), transaction="gx:00000000aa")
        self.assertEqual(harness.answer(request_id).transaction, "gx:00000000aa")


class DrainTest(unittest.TestCase):
    def test_drained_replica_gets_no_reads(self) -> None:
        for seed in range(10):
            harness = EntryHarness(seed=seed, config=configuration(drained=("b",)))
            harness.read(position(1, 10))
            self.assertEqual(harness.last_request()[1].database, "c")

    def test_drained_primary_gets_nothing_and_its_successor_all(self) -> None:
        harness = EntryHarness(config=configuration(drained=("a",)))
        request_id = harness.call()
        self.assertEqual(harness.sent_of(StatementRequest), [])
        harness.advance(0.1)
        harness.show("a")
        self.assertEqual(harness.sent_of(StatementRequest), [])
        harness.show("b", term=2)
        self.assertEqual(harness.last_request()[1].database, "b")
        harness.answer_done(position(2, 11))
        self.assertEqual(harness.answer(request_id).outcome, Outcome.DONE)

    def test_drained_primary_that_stays_in_office_ends_the_waiting(self) -> None:
        harness = EntryHarness(config=configuration(drained=("a",)))
        waited = harness.call(deadline=60.0)
        for _ in range(11):
            harness.advance(0.1)
            harness.show("a")
        at_once = harness.call(deadline=60.0)
        for request_id in (waited, at_once):
            answer = harness.answer(request_id)
            expected = (Outcome.NOT_RUN, ErrorCode.DATABASE_DRAINED)
            self.assertEqual((answer.outcome, answer.code), expected)
            self.assertGreater(answer.retry_after, 0)
        harness.show("b", term=2)
        harness.call()
        self.assertEqual(harness.last_request()[1].database, "b")

    def test_drained_primary_without_successor_is_not_run(self) -> None:
        harness = EntryHarness(config=configuration(drained=("a",)))
        request_id = harness.call(access=Access.WRITE, deadline=1.0)
        harness.advance(0.96)
        answer = harness.answer(request_id)
        expected = (Outcome.NOT_RUN, ErrorCode.DATABASE_DRAINED)
        self.assertEqual((answer.outcome, answer.code), expected)
