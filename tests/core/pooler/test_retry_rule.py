"""Tests every row of the table of the retry rule."""

import itertools
import unittest
from typing import NamedTuple

from dewledge.core.pooler.statements.retry_outcomes import (
    ConnectionDisposition,
    Fail,
    InDoubt,
    KeepWaiting,
    Outcome,
    RerunRead,
    Resend,
    TransactionLost,
    TryElsewhere,
)
from dewledge.core.pooler.statements.retry_rule import (
    MAX_READ_RERUNS,
    RETRY_PAUSE_SECONDS,
    Incident,
    Progress,
    RetryClass,
    StatementFacts,
    Trouble,
    decide_outcome,
    needs_retry_budget,
)
from dewledge.core.pooler.statements.statements import NOT_RUN_CODES, Failure, TransactionState
from dewledge.errors import ErrorCode

RETAINED = ConnectionDisposition.RETAINED
RELEASED = ConnectionDisposition.RELEASED
RELEASED_CLEAN = ConnectionDisposition.RELEASED_CLEAN
ROLLED_BACK = ConnectionDisposition.ROLLED_BACK
CLOSED = ConnectionDisposition.CLOSED

NOW = 100.0
DEADLINE = 100.8

NO_ANSWER = Failure(ErrorCode.STATEMENT_TIMEOUT, "no answer")
UNKNOWN = Failure(ErrorCode.CONNECTION_LOST, "outcome unknown")
LOST = Failure(ErrorCode.TRANSACTION_LOST, "connection lost")
REPLACED = Failure(ErrorCode.TRANSACTION_LOST, "the primary is being replaced")
ROLLED = Failure(ErrorCode.TRANSACTION_LOST, "no answer, rolled back")
OVERLOADED = Failure(ErrorCode.OVERLOADED, "full", 70)
FAILED = Failure(ErrorCode.STATEMENT_FAILED, "no such column", 70)
WRONG = Failure(ErrorCode.WRONG_DATABASE, "another one")
NOT_PRIMARY = Failure(ErrorCode.NOT_PRIMARY, "replica")

SINGLE = (RetryClass.READ, RetryClass.WRITE)
PINNED = (RetryClass.IN_TRANSACTION, RetryClass.COMMIT)
HOLDER = (Trouble.HOLDER_SUSPECTED, Trouble.HOLDER_SILENT)


def facts(
    work: RetryClass = RetryClass.READ,
    is_pinned: bool = False,
    reruns: int = 0,
    give_up_at: float = 100.7,
    now: float = NOW,
) -> StatementFacts:
    return StatementFacts(work, is_pinned, reruns, now, give_up_at, DEADLINE)


def sent(
    trouble: Trouble,
    failure: Failure | None = None,
    state: TransactionState = TransactionState.IDLE,
    is_within_budget: bool = False,
) -> Incident:
    return Incident(trouble, Progress.SENT, failure, state, False, is_within_budget)


class Row(NamedTuple):
    incident: Incident
    statement: StatementFacts
    outcome: Outcome


class RowCase(unittest.TestCase):
    def check(self, *rows: Row) -> None:
        for row in rows:
            with self.subTest(incident=row.incident, statement=row.statement):
                self.assertEqual(decide_outcome(row.incident, row.statement), row.outcome)


class WaitingTest(RowCase):
    """Nothing of the statement was sent."""

    def test_statement_without_connection_is_refused_with_retry_time(self) -> None:
        incident = Incident(Trouble.NO_CONNECTION, Progress.WAITING, OVERLOADED)
        for work in RetryClass:
            self.check(Row(incident, facts(work), Fail(RETAINED, OVERLOADED)))

    def test_without_lease_statement_tries_elsewhere_and_pinned_transaction_is_lost(self) -> None:
        incident = Incident(Trouble.NO_LEASE, Progress.WAITING)
        for work in RetryClass:
            self.check(Row(incident, facts(work), TryElsewhere(RELEASED)))
        for work in PINNED:
            lost = TransactionLost(ROLLED_BACK, REPLACED)
            self.check(Row(incident, facts(work, is_pinned=True), lost))


class SetupTest(RowCase):
    """The connection setup was sent."""

    def test_without_lease_opened_transaction_is_rolled_back(self) -> None:
        incident = Incident(Trouble.NO_LEASE, Progress.IN_SETUP)
        for work in RetryClass:
            self.check(Row(incident, facts(work), TryElsewhere(RELEASED_CLEAN)))
        for work in PINNED:
            lost = TransactionLost(ROLLED_BACK, REPLACED)
            self.check(Row(incident, facts(work, is_pinned=True), lost))

    def test_lost_or_silent_connection_is_closed(self) -> None:
        for trouble in (Trouble.LOST, Trouble.SILENT):
            incident = Incident(trouble, Progress.IN_SETUP)
            for work in RetryClass:
                self.check(Row(incident, facts(work), TryElsewhere(CLOSED)))
            for work in PINNED:
                lost = TransactionLost(CLOSED, LOST)
                self.check(Row(incident, facts(work, is_pinned=True), lost))

    def test_refused_setup_step_releases_reusable_connection(self) -> None:
        for failure, work in itertools.product((OVERLOADED, FAILED, NOT_PRIMARY), RetryClass):
            incident = Incident(Trouble.REFUSED, Progress.IN_SETUP, failure)
            self.check(
                Row(incident, facts(work), TryElsewhere(RELEASED)),
                Row(incident, facts(work, is_pinned=True), TransactionLost(CLOSED, LOST)),
            )

    def test_refused_setup_step_closes_unusable_connection(self) -> None:
        refused = Trouble.REFUSED, Progress.IN_SETUP
        unclean = (
            Incident(*refused, WRONG),
            Incident(*refused, OVERLOADED, TransactionState.OPEN),
            Incident(*refused, OVERLOADED, TransactionState.FAILED),
            Incident(*refused, OVERLOADED, has_unanswered=True),
        )
        for incident, work in itertools.product(unclean, RetryClass):
            self.check(
                Row(incident, facts(work), TryElsewhere(CLOSED)),
                Row(incident, facts(work, is_pinned=True), TransactionLost(CLOSED, LOST)),
            )

    def test_unresponsive_holder_extends_search(self) -> None:
        for trouble, work in itertools.product(HOLDER, RetryClass):
            incident = Incident(trouble, Progress.IN_SETUP, is_within_budget=True)
            self.check(
                Row(incident, facts(work), TryElsewhere(CLOSED, seeks_longer=True)),
                Row(incident, facts(work, is_pinned=True), KeepWaiting()),
            )


class HolderTest(RowCase):
    """The statement was sent, and the holder of the connection does not respond."""

    def test_only_first_read_is_rerun_within_budget(self) -> None:
        silent = sent(Trouble.HOLDER_SILENT, is_within_budget=True)
        self.check(
            Row(silent, facts(), RerunRead(CLOSED, is_counted=True)),
            Row(silent, facts(reruns=1), KeepWaiting()),
            Row(sent(Trouble.HOLDER_SILENT), facts(), KeepWaiting()),
            Row(sent(Trouble.HOLDER_SUSPECTED, is_within_budget=True), facts(), KeepWaiting()),
        )

    def test_other_statements_keep_waiting(self) -> None:
        for trouble in HOLDER:
            incident = sent(trouble, is_within_budget=True)
            self.check(Row(incident, facts(RetryClass.WRITE), KeepWaiting()))
            for work, is_pinned in itertools.product(PINNED, (False, True)):
                self.check(Row(incident, facts(work, is_pinned), KeepWaiting()))

    def test_read_fails_without_time_for_rerun(self) -> None:
        silent = sent(Trouble.HOLDER_SILENT, is_within_budget=True)
        late = facts(now=DEADLINE - RETRY_PAUSE_SECONDS)
        self.check(Row(silent, late, Fail(CLOSED, NO_ANSWER)))

    def test_only_reruns_of_running_reads_need_budget(self) -> None:
        for trouble, progress, work in itertools.product(Trouble, Progress, RetryClass):
            for is_pinned, reruns in itertools.product((False, True), (0, 1, 2)):
                is_second_read = trouble is Trouble.HOLDER_SILENT and progress is Progress.SENT
                expected = (
                    is_second_read and work is RetryClass.READ and not is_pinned and not reruns
                )
                incident = Incident(trouble, progress)
                self.assertEqual(
                    needs_retry_budget(incident, facts(work, is_pinned, reruns)), expected
                )


class NoReplyTest(RowCase):
    """The statement was sent, and there is no usable reply."""

    def test_reply_without_lease_is_treated_as_lost(self) -> None:
        for trouble in (Trouble.LOST, Trouble.NO_LEASE):
            incident = sent(trouble)
            self.check(
                Row(incident, facts(RetryClass.COMMIT, True), InDoubt(CLOSED, UNKNOWN)),
                Row(
                    incident, facts(RetryClass.IN_TRANSACTION, True), TransactionLost(CLOSED, LOST)
                ),
                Row(incident, facts(RetryClass.WRITE), Fail(CLOSED, UNKNOWN)),
            )

    def test_read_is_rerun_after_lost_connection_while_time_is_left(self) -> None:
        late = DEADLINE - RETRY_PAUSE_SECONDS
        for trouble, reruns in itertools.product((Trouble.LOST, Trouble.NO_LEASE), (0, 1, 2, 9)):
            incident = sent(trouble)
            rerun = RerunRead(CLOSED, is_counted=False)
            self.check(
                Row(incident, facts(reruns=reruns), rerun),
                Row(incident, facts(reruns=reruns, now=late - 0.001), rerun),
                Row(incident, facts(reruns=reruns, now=late), Fail(CLOSED, NO_ANSWER)),
            )

    def test_timeout_without_reply(self) -> None:
        incident = sent(Trouble.SILENT)
        late = DEADLINE - RETRY_PAUSE_SECONDS
        self.check(
            Row(incident, facts(RetryClass.COMMIT, True), InDoubt(CLOSED, NO_ANSWER)),
            Row(incident, facts(RetryClass.IN_TRANSACTION, True), TransactionLost(CLOSED, ROLLED)),
            Row(incident, facts(RetryClass.WRITE), Fail(CLOSED, NO_ANSWER)),
            Row(incident, facts(), RerunRead(CLOSED, is_counted=True)),
            Row(incident, facts(now=late), Fail(CLOSED, NO_ANSWER)),
            Row(incident, facts(reruns=1), Fail(CLOSED, NO_ANSWER)),
        )


class RefusedSingleTest(RowCase):
    """The database returned a failure to a statement outside of transactions."""

    def test_statement_that_did_not_run_tries_elsewhere(self) -> None:
        for code, work in itertools.product(NOT_RUN_CODES, SINGLE):
            disposition = CLOSED if code is ErrorCode.WRONG_DATABASE else RELEASED_CLEAN
            incident = sent(Trouble.REFUSED, Failure(code))
            for reruns in (0, MAX_READ_RERUNS):
                self.check(Row(incident, facts(work, reruns=reruns), TryElsewhere(disposition)))

    def test_other_failure_of_read_is_retried_twice(self) -> None:
        late = facts(now=DEADLINE - RETRY_PAUSE_SECONDS)
        reported = Failure(FAILED.code, FAILED.message)
        incident = sent(Trouble.REFUSED, FAILED)
        self.check(
            Row(incident, facts(reruns=0), RerunRead(RELEASED_CLEAN, is_counted=True)),
            Row(incident, facts(reruns=1), RerunRead(RELEASED_CLEAN, is_counted=True)),
            Row(incident, facts(reruns=2), Fail(RELEASED_CLEAN, reported)),
            Row(incident, late, Fail(RELEASED_CLEAN, NO_ANSWER)),
        )

    def test_other_failure_of_write_is_reported(self) -> None:
        reported = Failure(FAILED.code, FAILED.message)
        incident = sent(Trouble.REFUSED, FAILED)
        self.check(Row(incident, facts(RetryClass.WRITE), Fail(RELEASED_CLEAN, reported)))


class RefusedInTransactionTest(RowCase):
    """The database returned a failure to a statement in a transaction."""

    def test_overloaded_statement_in_open_transaction_is_resent_while_time_is_left(self) -> None:
        incident = sent(Trouble.REFUSED, OVERLOADED, TransactionState.OPEN)
        reported = Failure(OVERLOADED.code, OVERLOADED.message)
        for work in PINNED:
            over = facts(work, True, give_up_at=NOW + RETRY_PAUSE_SECONDS)
            self.check(
                Row(incident, facts(work, True), Resend(RETRY_PAUSE_SECONDS)),
                Row(incident, over, TransactionLost(ROLLED_BACK, reported)),
            )

    def test_overloaded_statement_in_ended_transaction_loses_it(self) -> None:
        reported = Failure(OVERLOADED.code, OVERLOADED.message)
        for state in (TransactionState.IDLE, TransactionState.FAILED):
            incident = sent(Trouble.REFUSED, OVERLOADED, state)
            for work in PINNED:
                lost = TransactionLost(ROLLED_BACK, reported)
                self.check(Row(incident, facts(work, True), lost))

    def test_commit_that_did_not_run_loses_transaction(self) -> None:
        for code in NOT_RUN_CODES:
            incident = sent(Trouble.REFUSED, Failure(code, "why"))
            lost = TransactionLost(ROLLED_BACK, Failure(code, "why"))
            self.check(Row(incident, facts(RetryClass.COMMIT, True), lost))

    def test_commit_that_may_have_run_is_in_doubt_with_original_failure(self) -> None:
        for code in set(ErrorCode) - NOT_RUN_CODES:
            failure = Failure(code, "why", 70)
            incident = sent(Trouble.REFUSED, failure)
            self.check(Row(incident, facts(RetryClass.COMMIT, True), InDoubt(CLOSED, failure)))

    def test_other_failure_loses_transaction_with_its_code(self) -> None:
        for code, state in itertools.product(ErrorCode, TransactionState):
            is_busy = code is ErrorCode.OVERLOADED and state is TransactionState.OPEN
            if is_busy:
                continue
            incident = sent(Trouble.REFUSED, Failure(code, "why", 70), state)
            lost = TransactionLost(ROLLED_BACK, Failure(code, "why"))
            self.check(Row(incident, facts(RetryClass.IN_TRANSACTION, True), lost))


if __name__ == "__main__":
    unittest.main()
