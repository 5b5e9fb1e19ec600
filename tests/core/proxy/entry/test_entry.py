"""The entry: admission, sessions, answers exactly once, transactions, bounds."""

import unittest

from dewledge.core.proxy.calls import Access, Operation, Outcome
from dewledge.core.proxy.configuration.configuration import EMPTY_CONFIGURATION
from dewledge.core.proxy.database_status import DatabaseRole
from dewledge.core.proxy.entry.settings import EntrySettings
from dewledge.core.proxy.messages import CancelRequest, StatementDone, StatementRequest
from dewledge.errors import ErrorCode
from tests.core.proxy.entry.entry_harness import (
    CODEC,
    GROUP,
    OTHER_GROUP,
    TRANSACTION,
    EntryHarness,
    position,
)


class PlainPathTest(unittest.TestCase):
    def test_write_goes_to_the_primary_and_returns_a_token(self) -> None:
        harness = EntryHarness()
        request_id = harness.call(key="k")
        peer, message = harness.last_request()
        self.assertEqual((peer, message.database, message.idempotency_key), ("ga", "a", "k"))
        self.assertFalse(message.confirm)
        self.assertLess(message.remaining, 2.0)
        harness.answer_done(position(1, 11))
        answer = harness.answer(request_id)
        self.assertEqual(answer.outcome, Outcome.DONE)
        self.assertEqual(answer.served_by, "a")
        self.assertEqual(CODEC.open(answer.session, "app").floor(GROUP), position(1, 11))
        self.assertEqual(harness.entry.in_flight, 0)

    def test_read_without_token_goes_to_the_confirmed_primary(self) -> None:
        harness = EntryHarness()
        request_id = harness.read()
        peer, message = harness.last_request()
        self.assertEqual((peer, message.confirm), ("ga", True))
        harness.answer_done(position(1, 10))
        self.assertIsNotNone(harness.answer(request_id).session)

    def test_token_without_this_group_goes_to_the_confirmed_primary(self) -> None:
        harness = EntryHarness()
        session = CODEC.seal("app", {OTHER_GROUP: position(9, 9)})
        harness.call(access=Access.READ, session=session)
        peer, message = harness.last_request()
        self.assertEqual((peer, message.confirm), ("ga", True))

    def test_read_with_floor_goes_to_a_fresh_replica(self) -> None:
        harness = EntryHarness()
        request_id = harness.read(position(1, 10))
        peer, message = harness.last_request()
        self.assertIn(message.database, ("b", "c"))
        self.assertEqual(message.floor, position(1, 10))
        self.assertFalse(message.confirm)
        harness.answer_done(position(1, 10), DatabaseRole.REPLICA)
        answer = harness.answer(request_id)
        self.assertEqual(answer.outcome, Outcome.DONE)
        self.assertIsNone(answer.session, "the caller's token holds the floor already")

    def test_caller_gone_is_cancelled_and_not_answered(self) -> None:
        harness = EntryHarness()
        request_id = harness.call()
        _, message = harness.last_request()
        harness.run(harness.entry.handle_caller_gone(request_id, harness.now))
        self.assertEqual(
            harness.sent_of(CancelRequest), [("ga", CancelRequest(message.correlation))]
        )
        harness.answer_done(position(1, 11))
        self.assertIsNone(harness.answer(request_id))
        self.assertEqual(harness.entry.in_flight, 0)


class RefusalTest(unittest.TestCase):
    """Rows: name, how the request is handed in, code."""

    def test_refused_at_once_and_never_sent(self) -> None:
        forged = CODEC.seal("app", {})[:-2] + "xx"
        cases = [
            ("no such group", {"group": "nowhere"}, ErrorCode.UNKNOWN_GROUP),
            ("group not allowed", {"group": OTHER_GROUP}, ErrorCode.FORBIDDEN),
            ("unknown caller", {"caller": "nobody"}, ErrorCode.FORBIDDEN),
            ("reader writes", {"caller": "reader"}, ErrorCode.FORBIDDEN),
            (
                "reader begins, called a read",
                {"caller": "reader", "operation": Operation.BEGIN, "access": Access.READ},
                ErrorCode.FORBIDDEN,
            ),
            ("forged token", {"session": forged}, ErrorCode.BAD_SESSION_TOKEN),
            ("garbage token", {"session": "\u00e9\x00."}, ErrorCode.BAD_SESSION_TOKEN),
            (
                "another caller's token",
                {"session": CODEC.seal("other", {GROUP: position(1, 1)})},
                ErrorCode.BAD_SESSION_TOKEN,
            ),
            ("no transaction id", {"transaction": "x"}, ErrorCode.UNKNOWN_TRANSACTION),
            ("deadline passed", {"deadline": -1.0}, ErrorCode.DEADLINE_EXCEEDED),
        ]
        for name, options, code in cases:
            with self.subTest(name):
                harness = EntryHarness()
                answer = harness.answer(harness.call(**options))
                self.assertEqual((answer.outcome, answer.code), (Outcome.NOT_RUN, code))
                self.assertEqual(harness.sent_of(StatementRequest), [])
                self.assertEqual(harness.entry.in_flight, 0)

    def test_what_is_refused_as_too_late_is_told_when_to_come_back(self) -> None:
        late = ErrorCode.DEADLINE_EXCEEDED
        cases = {
            "before it came": (-1.0, lambda harness: None),
            "at its gateway, which does not say when": (
                2.0,
                lambda harness: harness.answer_not_run(late),
            ),
        }
        for name, (deadline, go_on) in cases.items():
            with self.subTest(name):
                harness = EntryHarness()
                request_id = harness.call(access=Access.READ, deadline=deadline)
                go_on(harness)
                answer = harness.answer(request_id)
                self.assertEqual((answer.outcome, answer.code), (Outcome.NOT_RUN, late))
                self.assertIsNotNone(answer.retry_after)
                self.assertGreater(answer.retry_after, 0)

    def test_without_a_configuration_nothing_is_known_to_be_wrong(self) -> None:
        for serving in (True, False):
            with self.subTest(serving=serving):
                harness = EntryHarness(config=EMPTY_CONFIGURATION, known=False)
                harness.run(harness.entry.set_serving(serving, harness.now))
                answer = harness.answer(harness.call())
                expected = (Outcome.NOT_RUN, ErrorCode.NOT_READY)
                self.assertEqual((answer.outcome, answer.code), expected)
                self.assertGreater(answer.retry_after, 0)

    def test_isolated_refuses_new_work_and_finishes_the_rest(self) -> None:
        harness = EntryHarness()
        before = harness.call()
        harness.run(harness.entry.set_serving(False, harness.now))
        answer = harness.answer(harness.call())
        self.assertEqual((answer.outcome, answer.code), (Outcome.NOT_RUN, ErrorCode.ISOLATED))
        self.assertGreater(answer.retry_after, 0)
        harness.answer_done(position(1, 11))
        self.assertEqual(harness.answer(before).outcome, Outcome.DONE)
        harness.run(harness.entry.set_serving(True, harness.now))
        self.assertIsNone(harness.answer(harness.call()))

    def test_leaving_refuses_new_work_and_finishes_open_transactions(self) -> None:
        harness = EntryHarness()
        before = harness.call()
        harness.run(harness.entry.leave(harness.now))
        answer = harness.answer(harness.call())
        self.assertEqual((answer.outcome, answer.code), (Outcome.NOT_RUN, ErrorCode.LEAVING))
        harness.answer_done(position(1, 11))
        self.assertEqual(harness.answer(before).outcome, Outcome.DONE)
        commit = harness.call(operation=Operation.COMMIT, transaction=TRANSACTION)
        harness.answer_done(position(1, 12))
        self.assertEqual(harness.answer(commit).outcome, Outcome.DONE)
        self.assertEqual(harness.entry.in_flight, 0)

    def test_bounds_refuse_at_once_and_leave_room_for_another_caller(self) -> None:
        harness = EntryHarness(settings=EntrySettings(max_pending=40, max_pending_per_caller=40))
        answers = [harness.answer(harness.call(caller="app")) for _ in range(60)]
        refused = [answer for answer in answers if answer is not None]
        self.assertTrue(all(answer.code is ErrorCode.OVERLOADED for answer in refused))
        self.assertTrue(all(answer.retry_after > 0 for answer in refused))
        self.assertEqual(harness.entry.in_flight, 20)
        self.assertIsNone(harness.answer(harness.call(caller="other")), "another finds room")

    def test_bound_for_one_caller(self) -> None:
        harness = EntryHarness(settings=EntrySettings(max_pending_per_caller=3))
        answers = [harness.answer(harness.call()) for _ in range(4)]
        self.assertEqual([answer is None for answer in answers], [True, True, True, False])


class AnswerMatchingTest(unittest.TestCase):
    def test_late_doubled_and_swapped_answers_reach_nobody(self) -> None:
        harness = EntryHarness()
        first, second = harness.call(), harness.call()
        (_, sent_first), (_, sent_second) = harness.sent_of(StatementRequest)

        def done(correlation: int, database: str = "a") -> StatementDone:
            return StatementDone(correlation, database, DatabaseRole.PRIMARY, position(1, 11))

        cases = [
            ("unknown correlation", "ga", done(sent_second.correlation + 99)),
            ("from another peer", "gb", done(sent_first.correlation)),
            ("for another database", "ga", done(sent_first.correlation, "b")),
        ]
        for name, peer, message in cases:
            with self.subTest(name):
                harness.receive(peer, message)
                self.assertEqual(harness.answers, {})
        harness.receive("ga", done(sent_second.correlation))
        self.assertIsNone(harness.answer(first))
        self.assertEqual(harness.answer(second).outcome, Outcome.DONE)
        harness.receive("ga", done(sent_second.correlation))
        harness.receive("ga", done(sent_first.correlation))
        self.assertEqual(harness.answer(first).outcome, Outcome.DONE)
        self.assertEqual(harness.answer(second).outcome, Outcome.DONE)

    def test_late_answer_after_the_deadline_is_dropped(self) -> None:
        harness = EntryHarness()
        request_id = harness.call(deadline=1.0)
        harness.advance(1.1)
        answer = harness.answer(request_id)
        self.assertEqual(answer.outcome, Outcome.UNKNOWN)
        self.assertEqual(len(harness.sent_of(CancelRequest)), 1)
        harness.answer_done(position(1, 11))
        self.assertIs(harness.answer(request_id), answer)

    def test_next_wake_covers_the_deadline(self) -> None:
        harness = EntryHarness()
        harness.call(deadline=0.1)
        self.assertLessEqual(harness.entry.next_wake(), harness.now + 0.1)


class TransactionTest(unittest.TestCase):
    def test_begin_goes_to_the_primary_and_later_operations_to_its_gateway(self) -> None:
        harness = EntryHarness()
        begin = harness.call(operation=Operation.BEGIN)
        self.assertEqual(harness.last_request()[0], "ga")
        harness.answer_done(position(1, 10), transaction="gx:00000000aa")
        answer = harness.answer(begin)
        self.assertEqual(answer.transaction, "gx:00000000aa")
        self.assertIsNone(answer.session)
        other = EntryHarness(seed=5, known=False)
        other.call(transaction="gx:00000000aa")
        peer, message = other.last_request()
        self.assertEqual((peer, message.transaction), ("gx", "00000000aa".join(["gx:", ""])))

    def test_floor_rises_at_commit_only(self) -> None:
        harness = EntryHarness()
        statement = harness.call(transaction=TRANSACTION)
        harness.answer_done(position(1, 50))
        self.assertIsNone(harness.answer(statement).session)
        commit = harness.call(operation=Operation.COMMIT, transaction=TRANSACTION)
        harness.answer_done(position(1, 51))
        floors = CODEC.open(harness.answer(commit).session, "app")
        self.assertEqual(floors.floor(GROUP), position(1, 51))

    def test_gateway_lost(self) -> None:
        """Rows: name, operation, access, whether it left, outcome."""
        execute, commit = Operation.EXECUTE, Operation.COMMIT
        rollback = Operation.ROLLBACK
        not_run, unknown = Outcome.NOT_RUN, Outcome.UNKNOWN
        cases = [
            ("statement never left", execute, Access.WRITE, False, not_run),
            ("commit never left", commit, Access.WRITE, False, not_run),
            ("rollback never left", rollback, Access.WRITE, False, not_run),
            ("statement may have run", execute, Access.WRITE, True, unknown),
            ("commit may have run", commit, Access.WRITE, True, unknown),
            ("rollback may have run", rollback, Access.WRITE, True, not_run),
        ]
        for name, operation, access, left, outcome in cases:
            with self.subTest(name):
                harness = EntryHarness()
                request_id = harness.call(access, operation=operation, transaction=TRANSACTION)
                if left:
                    harness.lose("ga")
                else:
                    harness.answer_not_run(ErrorCode.GATEWAY_UNREACHABLE)
                answer = harness.answer(request_id)
                expected = (outcome, ErrorCode.TRANSACTION_LOST)
                self.assertEqual((answer.outcome, answer.code), expected)
                self.assertEqual(len(harness.sent_of(StatementRequest)), 1, "never resent")

    def test_statement_is_never_resent_nor_redirected(self) -> None:
        for code in ErrorCode:
            with self.subTest(code):
                harness = EntryHarness()
                request_id = harness.call(transaction=TRANSACTION)
                harness.answer_not_run(code, gateway="gb")
                self.assertEqual(harness.answer(request_id).outcome, Outcome.NOT_RUN)
                self.assertEqual(len(harness.sent_of(StatementRequest)), 1)

    def test_begin_that_succeeds_after_it_was_given_up_is_rolled_back(self) -> None:
        for how in ("deadline", "caller gone"):
            with self.subTest(how):
                harness = EntryHarness()
                request_id = harness.call(operation=Operation.BEGIN, deadline=1.0)
                if how == "deadline":
                    harness.advance(1.1)
                    self.assertEqual(harness.answer(request_id).outcome, Outcome.NOT_RUN)
                else:
                    harness.run(harness.entry.handle_caller_gone(request_id, harness.now))
                harness.answer_done(position(1, 10), transaction=TRANSACTION)
                peer, message = harness.last_request()
                expected = ("ga", Operation.ROLLBACK, TRANSACTION)
                self.assertEqual((peer, message.operation, message.transaction), expected)

    def test_begin_on_a_primary_below_the_floor_is_rolled_back(self) -> None:
        harness = EntryHarness()
        session = CODEC.seal("app", {GROUP: position(2, 40)})
        request_id = harness.call(operation=Operation.BEGIN, session=session)
        harness.answer_done(position(1, 10), transaction=TRANSACTION)
        self.assertIsNone(harness.answer(request_id))
        self.assertEqual(harness.last_request()[1].operation, Operation.ROLLBACK)
        harness.show("b", term=2, offset=40)
        self.assertEqual(harness.last_request()[0], "gb")
        self.assertEqual(harness.last_request()[1].operation, Operation.BEGIN)
