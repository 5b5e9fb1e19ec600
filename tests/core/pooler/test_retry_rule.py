"""Every row of the retry rule: what failed, how far, what it is, and what follows."""

import itertools
import unittest
from typing import NamedTuple

from dewledge.core.pooler.statements.retry_outcomes import (
    ConnectionFate,
    Fail,
    InDoubt,
    Outcome,
    RerunRead,
    SendAgain,
    TransactionLost,
    TryElsewhere,
    WaitOn,
)
from dewledge.core.pooler.statements.retry_rule import (
    MAX_READ_RERUNS,
    RETRY_PAUSE_SECONDS,
    Incident,
    Progress,
    StatementFacts,
    Trouble,
    Work,
    needs_budget,
    what_follows,
)
from dewledge.core.pooler.statements.statements import NOT_RUN_CODES, Failure, TransactionState
from dewledge.errors import ErrorCode

KEPT = ConnectionFate.KEPT
RELEASED = ConnectionFate.RELEASED
GIVEN_BACK = ConnectionFate.GIVEN_BACK
ROLLED_BACK = ConnectionFate.ROLLED_BACK
CLOSED = ConnectionFate.CLOSED

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

SINGLE = (Work.READ, Work.WRITE)
PINNED = (Work.IN_TRANSACTION, Work.COMMIT)
HOLDER = (Trouble.HOLDER_DOUBTED, Trouble.HOLDER_SILENT)


def facts(
    work: Work = Work.READ,
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
                self.assertEqual(what_follows(row.incident, row.statement), row.outcome)


class WaitingTest(RowCase):
    """Nothing of the statement was sent."""

    def test_without_room_every_statement_is_refused_with_its_time_to_come_back(self) -> None:
        incident = Incident(Trouble.NO_ROOM, Progress.WAITING, OVERLOADED)
        for work in Work:
            self.check(Row(incident, facts(work), Fail(KEPT, OVERLOADED)))

    def test_without_a_lease_it_tries_elsewhere_and_a_pinned_transaction_is_lost(self) -> None:
        incident = Incident(Trouble.NO_LEASE, Progress.WAITING)
        for work in Work:
            self.check(Row(incident, facts(work), TryElsewhere(RELEASED)))
        for work in PINNED:
            lost = TransactionLost(ROLLED_BACK, REPLACED)
            self.check(Row(incident, facts(work, is_pinned=True), lost))


class SetupTest(RowCase):
    """What prepares the connection was sent."""

    def test_without_a_lease_what_was_begun_is_rolled_back(self) -> None:
        incident = Incident(Trouble.NO_LEASE, Progress.IN_SETUP)
        for work in Work:
            self.check(Row(incident, facts(work), TryElsewhere(GIVEN_BACK)))
        for work in PINNED:
            lost = TransactionLost(ROLLED_BACK, REPLACED)
            self.check(Row(incident, facts(work, is_pinned=True), lost))

    def test_a_connection_lost_or_silent_is_closed(self) -> None:
        for trouble in (Trouble.LOST, Trouble.SILENT):
            incident = Incident(trouble, Progress.IN_SETUP)
            for work in Work:
                self.check(Row(incident, facts(work), TryElsewhere(CLOSED)))
            for work in PINNED:
                lost = TransactionLost(CLOSED, LOST)
                self.check(Row(incident, facts(work, is_pinned=True), lost))

    def test_a_refused_step_leaves_a_clean_connection_to_others(self) -> None:
        for failure, work in itertools.product((OVERLOADED, FAILED, NOT_PRIMARY), Work):
            incident = Incident(Trouble.REFUSED, Progress.IN_SETUP, failure)
            self.check(
                Row(incident, facts(work), TryElsewhere(RELEASED)),
                Row(incident, facts(work, is_pinned=True), TransactionLost(CLOSED, LOST)),
            )

    def test_a_refused_step_closes_any_other_connection(self) -> None:
        refused = Trouble.REFUSED, Progress.IN_SETUP
        unclean = (
            Incident(*refused, WRONG),
            Incident(*refused, OVERLOADED, TransactionState.OPEN),
            Incident(*refused, OVERLOADED, TransactionState.FAILED),
            Incident(*refused, OVERLOADED, has_unanswered=True),
        )
        for incident, work in itertools.product(unclean, Work):
            self.check(
                Row(incident, facts(work), TryElsewhere(CLOSED)),
                Row(incident, facts(work, is_pinned=True), TransactionLost(CLOSED, LOST)),
            )

    def test_a_holder_in_doubt_is_left_with_more_time_for_the_next(self) -> None:
        for trouble, work in itertools.product(HOLDER, Work):
            incident = Incident(trouble, Progress.IN_SETUP, is_within_budget=True)
            self.check(
                Row(incident, facts(work), TryElsewhere(CLOSED, seeks_longer=True)),
                Row(incident, facts(work, is_pinned=True), WaitOn()),
            )


class HolderTest(RowCase):
    """The statement was sent, and the process that carries it gives no sign of life."""

    def test_only_a_read_without_rerun_is_asked_again_within_the_budget(self) -> None:
        silent = sent(Trouble.HOLDER_SILENT, is_within_budget=True)
        self.check(
            Row(silent, facts(), RerunRead(CLOSED, is_counted=True)),
            Row(silent, facts(reruns=1), WaitOn()),
            Row(sent(Trouble.HOLDER_SILENT), facts(), WaitOn()),
            Row(sent(Trouble.HOLDER_DOUBTED, is_within_budget=True), facts(), WaitOn()),
        )

    def test_all_else_may_run_and_is_waited_for(self) -> None:
        for trouble in HOLDER:
            incident = sent(trouble, is_within_budget=True)
            self.check(Row(incident, facts(Work.WRITE), WaitOn()))
            for work, is_pinned in itertools.product(PINNED, (False, True)):
                self.check(Row(incident, facts(work, is_pinned), WaitOn()))

    def test_without_time_for_a_rerun_it_fails(self) -> None:
        silent = sent(Trouble.HOLDER_SILENT, is_within_budget=True)
        late = facts(now=DEADLINE - RETRY_PAUSE_SECONDS)
        self.check(Row(silent, late, Fail(CLOSED, NO_ANSWER)))

    def test_the_budget_is_asked_for_nothing_else(self) -> None:
        for trouble, progress, work in itertools.product(Trouble, Progress, Work):
            for is_pinned, reruns in itertools.product((False, True), (0, 1, 2)):
                is_second_read = trouble is Trouble.HOLDER_SILENT and progress is Progress.SENT
                expected = is_second_read and work is Work.READ and not is_pinned and not reruns
                incident = Incident(trouble, progress)
                self.assertEqual(needs_budget(incident, facts(work, is_pinned, reruns)), expected)


class NoAnswerTest(RowCase):
    """The statement was sent, and no answer that counts has come."""

    def test_lost_and_an_answer_without_a_lease_are_the_same(self) -> None:
        for trouble in (Trouble.LOST, Trouble.NO_LEASE):
            incident = sent(trouble)
            self.check(
                Row(incident, facts(Work.COMMIT, True), InDoubt(CLOSED, UNKNOWN)),
                Row(incident, facts(Work.IN_TRANSACTION, True), TransactionLost(CLOSED, LOST)),
                Row(incident, facts(Work.WRITE), Fail(CLOSED, UNKNOWN)),
            )

    def test_a_read_whose_connection_is_lost_is_rerun_while_time_is_left(self) -> None:
        late = DEADLINE - RETRY_PAUSE_SECONDS
        for trouble, reruns in itertools.product((Trouble.LOST, Trouble.NO_LEASE), (0, 1, 2, 9)):
            incident = sent(trouble)
            rerun = RerunRead(CLOSED, is_counted=False)
            self.check(
                Row(incident, facts(reruns=reruns), rerun),
                Row(incident, facts(reruns=reruns, now=late - 0.001), rerun),
                Row(incident, facts(reruns=reruns, now=late), Fail(CLOSED, NO_ANSWER)),
            )

    def test_silence(self) -> None:
        incident = sent(Trouble.SILENT)
        late = DEADLINE - RETRY_PAUSE_SECONDS
        self.check(
            Row(incident, facts(Work.COMMIT, True), InDoubt(CLOSED, NO_ANSWER)),
            Row(incident, facts(Work.IN_TRANSACTION, True), TransactionLost(CLOSED, ROLLED)),
            Row(incident, facts(Work.WRITE), Fail(CLOSED, NO_ANSWER)),
            Row(incident, facts(), RerunRead(CLOSED, is_counted=True)),
            Row(incident, facts(now=late), Fail(CLOSED, NO_ANSWER)),
            Row(incident, facts(reruns=1), Fail(CLOSED, NO_ANSWER)),
        )


class RefusedSingleTest(RowCase):
    """A statement outside of transactions was answered with a failure."""

    def test_what_surely_did_not_run_goes_elsewhere(self) -> None:
        for code, work in itertools.product(NOT_RUN_CODES, SINGLE):
            fate = CLOSED if code is ErrorCode.WRONG_DATABASE else GIVEN_BACK
            incident = sent(Trouble.REFUSED, Failure(code))
            for reruns in (0, MAX_READ_RERUNS):
                self.check(Row(incident, facts(work, reruns=reruns), TryElsewhere(fate)))

    def test_any_other_failure_of_a_read_is_tried_again_twice(self) -> None:
        late = facts(now=DEADLINE - RETRY_PAUSE_SECONDS)
        told = Failure(FAILED.code, FAILED.message)
        incident = sent(Trouble.REFUSED, FAILED)
        self.check(
            Row(incident, facts(reruns=0), RerunRead(GIVEN_BACK, is_counted=True)),
            Row(incident, facts(reruns=1), RerunRead(GIVEN_BACK, is_counted=True)),
            Row(incident, facts(reruns=2), Fail(GIVEN_BACK, told)),
            Row(incident, late, Fail(GIVEN_BACK, NO_ANSWER)),
        )

    def test_any_other_failure_of_a_write_is_told(self) -> None:
        told = Failure(FAILED.code, FAILED.message)
        incident = sent(Trouble.REFUSED, FAILED)
        self.check(Row(incident, facts(Work.WRITE), Fail(GIVEN_BACK, told)))


class RefusedInTransactionTest(RowCase):
    """A statement of a transaction was answered with a failure."""

    def test_overloaded_in_an_open_transaction_is_sent_again_while_time_is_left(self) -> None:
        incident = sent(Trouble.REFUSED, OVERLOADED, TransactionState.OPEN)
        told = Failure(OVERLOADED.code, OVERLOADED.message)
        for work in PINNED:
            over = facts(work, True, give_up_at=NOW + RETRY_PAUSE_SECONDS)
            self.check(
                Row(incident, facts(work, True), SendAgain(RETRY_PAUSE_SECONDS)),
                Row(incident, over, TransactionLost(ROLLED_BACK, told)),
            )

    def test_overloaded_in_a_transaction_that_has_ended_loses_it(self) -> None:
        told = Failure(OVERLOADED.code, OVERLOADED.message)
        for state in (TransactionState.IDLE, TransactionState.FAILED):
            incident = sent(Trouble.REFUSED, OVERLOADED, state)
            for work in PINNED:
                lost = TransactionLost(ROLLED_BACK, told)
                self.check(Row(incident, facts(work, True), lost))

    def test_a_commit_that_surely_did_not_run_loses_the_transaction(self) -> None:
        for code in NOT_RUN_CODES:
            incident = sent(Trouble.REFUSED, Failure(code, "why"))
            lost = TransactionLost(ROLLED_BACK, Failure(code, "why"))
            self.check(Row(incident, facts(Work.COMMIT, True), lost))

    def test_a_commit_that_may_have_run_is_in_doubt_with_the_failure_as_it_came(self) -> None:
        for code in set(ErrorCode) - NOT_RUN_CODES:
            failure = Failure(code, "why", 70)
            incident = sent(Trouble.REFUSED, failure)
            self.check(Row(incident, facts(Work.COMMIT, True), InDoubt(CLOSED, failure)))

    def test_any_other_statement_loses_the_transaction_with_its_code(self) -> None:
        for code, state in itertools.product(ErrorCode, TransactionState):
            is_busy = code is ErrorCode.OVERLOADED and state is TransactionState.OPEN
            if is_busy:
                continue
            incident = sent(Trouble.REFUSED, Failure(code, "why", 70), state)
            lost = TransactionLost(ROLLED_BACK, Failure(code, "why"))
            self.check(Row(incident, facts(Work.IN_TRANSACTION, True), lost))


if __name__ == "__main__":
    unittest.main()
