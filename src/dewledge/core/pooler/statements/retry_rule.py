"""The retry rule: a pure function that decides what happens after a failure.

The first matching row applies. A rerun fails with `statement_timeout` if too little time is left:

| progress | failure | statement | outcome | connection |
| --- | --- | --- | --- | --- |
| waiting | no connection in time | any | refused with a retry time | none |
| waiting, in setup | no lease on the primary | pinned | transaction lost | rolled back |
| waiting | no lease on the primary | other | tries elsewhere | released |
| in setup | no lease on the primary | other | tries elsewhere | released clean |
| in setup | holder suspected or silent | pinned | keeps waiting | retained |
| in setup | holder suspected or silent | other | tries elsewhere, with more time | closed |
| in setup | refused, lost or silent | pinned | transaction lost | closed |
| in setup | refused, connection reusable | other | tries elsewhere | released |
| in setup | refused otherwise, lost, silent | other | tries elsewhere | closed |
| sent | holder silent, retry budget left | read, not rerun yet | rerun, counted | closed |
| sent | holder suspected or silent | any other | keeps waiting | retained |
| sent | refused before running | read, write | tries elsewhere | released clean or closed |
| sent | refused otherwise | read, reruns left | rerun, counted | released clean |
| sent | refused otherwise | read, write | fails with the code | released clean |
| sent | overloaded, time left | in an open transaction | sent again here | retained |
| sent | refused, may have run | commit | in doubt | closed |
| sent | refused | in transaction, commit | transaction lost, with the code | rolled back |
| sent | lost, reply without lease, silent | commit | in doubt | closed |
| sent | lost, reply without lease, silent | in transaction | transaction lost | closed |
| sent | lost, reply without lease, silent | write | fails, outcome unknown | closed |
| sent | lost, reply without lease | read | rerun, not counted | closed |
| sent | silent | read, not rerun yet | rerun, counted | closed |
| sent | silent | read | fails, no answer | closed |

A statement is sent again only if it did not run, or only reads. That it did not run is certain
only if it was never sent, if the database refused it, or if its transaction can no longer commit. A
reply that arrives after the lease has lapsed is treated as lost, since another database may have
become primary.
"""

from enum import StrEnum

import msgspec

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
from dewledge.core.pooler.statements.statements import NOT_RUN_CODES, Failure, TransactionState
from dewledge.errors import ErrorCode

RETRY_PAUSE_SECONDS = 0.03
"""Pause before another attempt at the same database, and the minimum time left for a rerun: about a
round trip between regions."""
MAX_READ_RERUNS = 2
"""Retries of a read to which databases return failures, including earlier reruns after a timeout.
Limits the load caused by a read that always fails."""


class Progress(StrEnum):
    """How far the statement had progressed when the failure occurred.

    WAITING: nothing was sent. IN_SETUP: the proxy sent statements that prepare the connection.
    SENT: the client's statement was sent.
    """

    WAITING = "waiting"
    IN_SETUP = "in_setup"
    SENT = "sent"


class Trouble(StrEnum):
    """What failed.

    NO_CONNECTION: no connection was available in time. NO_LEASE: this process has no lease on the
    primary, or the lease lapsed before the reply. REFUSED: the database returned a failure. LOST:
    the connection closed. SILENT: no reply within the time limit of this step. HOLDER_SUSPECTED,
    HOLDER_SILENT: the process that holds the connection responds late or not at all.
    """

    NO_CONNECTION = "no_room"
    NO_LEASE = "no_lease"
    REFUSED = "refused"
    LOST = "lost"
    SILENT = "silent"
    HOLDER_SUSPECTED = "holder_doubted"
    HOLDER_SILENT = "holder_silent"


class RetryClass(StrEnum):
    """Kind of statement for the retry rule; READ and WRITE are outside of transactions."""

    READ = "read"
    WRITE = "write"
    IN_TRANSACTION = "in_transaction"
    COMMIT = "commit"


TRANSACTION_CLASSES = frozenset({RetryClass.IN_TRANSACTION, RetryClass.COMMIT})


class Incident(msgspec.Struct, frozen=True):
    """A failure that occurred while the statement was processed.

    failure: returned by the database, or the refusal of a statement that found no connection.
    state: transaction state of the connection after the reply. has_unanswered: whether replies on
    the connection are still pending. is_within_budget: whether the retry budget permits a rerun.
    """

    trouble: Trouble
    progress: Progress
    failure: Failure | None = None
    state: TransactionState = TransactionState.IDLE
    has_unanswered: bool = False
    is_within_budget: bool = False


class StatementFacts(msgspec.Struct, frozen=True):
    """State of the statement that the rule depends on. Times: steady clock, seconds.

    is_pinned: whether its transaction already has a connection. reruns: counted reruns so far.
    give_up_at: end of the search for a connection. deadline: end of the statement's timeout.
    """

    work: RetryClass
    is_pinned: bool
    reruns: int
    now: float
    give_up_at: float
    deadline: float


_CONNECTION_LOST = Failure(ErrorCode.TRANSACTION_LOST, "connection lost")
_PRIMARY_REPLACED = Failure(ErrorCode.TRANSACTION_LOST, "the primary is being replaced")
_ROLLED_BACK = Failure(ErrorCode.TRANSACTION_LOST, "no answer, rolled back")
_OUTCOME_UNKNOWN = Failure(ErrorCode.CONNECTION_LOST, "outcome unknown")
_NO_ANSWER = Failure(ErrorCode.STATEMENT_TIMEOUT, "no answer")


def decide_outcome(incident: Incident, statement: StatementFacts) -> Outcome:
    """Returns the outcome for a failure, according to the table above."""
    if incident.trouble in (Trouble.HOLDER_SUSPECTED, Trouble.HOLDER_SILENT):
        return _holder_unresponsive(incident, statement)
    if incident.progress is not Progress.SENT:
        return _before_sending(incident, statement)
    if incident.failure is None:
        return _no_reply(incident, statement)
    if statement.work in TRANSACTION_CLASSES:
        return _transaction_statement_failed(incident, incident.failure, statement)
    return _single_statement_failed(incident.failure, statement)


def needs_retry_budget(incident: Incident, statement: StatementFacts) -> bool:
    """Returns whether a rerun needs retry budget because the read may still be running."""
    if incident.trouble is not Trouble.HOLDER_SILENT or incident.progress is not Progress.SENT:
        return False
    return statement.work is RetryClass.READ and not statement.is_pinned and not statement.reruns


def _before_sending(incident: Incident, statement: StatementFacts) -> Outcome:
    """Handles failures before sending: unless pinned, the statement can use another connection."""
    if incident.trouble is Trouble.NO_CONNECTION and incident.failure is not None:
        return Fail(ConnectionDisposition.RETAINED, incident.failure)
    if incident.trouble is Trouble.NO_LEASE:
        if statement.is_pinned:
            return TransactionLost(ConnectionDisposition.ROLLED_BACK, _PRIMARY_REPLACED)
        has_opened = incident.progress is Progress.IN_SETUP
        return TryElsewhere(
            ConnectionDisposition.RELEASED_CLEAN if has_opened else ConnectionDisposition.RELEASED
        )
    if statement.is_pinned:
        return TransactionLost(ConnectionDisposition.CLOSED, _CONNECTION_LOST)
    is_reusable = _is_reusable(incident)
    return TryElsewhere(
        ConnectionDisposition.RELEASED if is_reusable else ConnectionDisposition.CLOSED
    )


def _is_reusable(incident: Incident) -> bool:
    """Returns whether the connection can be reused although a setup statement was refused."""
    failure = incident.failure
    if failure is None or failure.code is ErrorCode.WRONG_DATABASE:
        return False
    return incident.state is TransactionState.IDLE and not incident.has_unanswered


def _holder_unresponsive(incident: Incident, statement: StatementFacts) -> Outcome:
    """Handles an unresponsive holder; statements that were sent through it may still run."""
    if statement.is_pinned:
        return KeepWaiting()
    if incident.progress is Progress.IN_SETUP:
        return TryElsewhere(ConnectionDisposition.CLOSED, seeks_longer=True)
    if needs_retry_budget(incident, statement) and incident.is_within_budget:
        return _rerun(ConnectionDisposition.CLOSED, statement, is_counted=True)
    return KeepWaiting()


def _no_reply(incident: Incident, statement: StatementFacts) -> Outcome:
    """Handles a statement that was sent, but got no reply while the lease was valid."""
    closed = ConnectionDisposition.CLOSED
    is_silent = incident.trouble is Trouble.SILENT
    if statement.work is RetryClass.COMMIT:
        return InDoubt(closed, _NO_ANSWER if is_silent else _OUTCOME_UNKNOWN)
    if statement.work is RetryClass.IN_TRANSACTION:
        return TransactionLost(closed, _ROLLED_BACK if is_silent else _CONNECTION_LOST)
    if statement.work is RetryClass.WRITE:
        return Fail(closed, _NO_ANSWER if is_silent else _OUTCOME_UNKNOWN)
    if is_silent and statement.reruns:
        return Fail(closed, _NO_ANSWER)
    return _rerun(closed, statement, is_counted=is_silent)


def _single_statement_failed(failure: Failure, statement: StatementFacts) -> Outcome:
    """Handles a failure returned to a statement outside of transactions."""
    is_wrong_database = failure.code is ErrorCode.WRONG_DATABASE
    disposition = (
        ConnectionDisposition.CLOSED if is_wrong_database else ConnectionDisposition.RELEASED_CLEAN
    )
    if failure.code in NOT_RUN_CODES:
        return TryElsewhere(disposition)
    if statement.work is RetryClass.READ and statement.reruns < MAX_READ_RERUNS:
        return _rerun(disposition, statement, is_counted=True)
    return Fail(disposition, Failure(failure.code, failure.message))


def _transaction_statement_failed(
    incident: Incident, failure: Failure, statement: StatementFacts
) -> Outcome:
    """Handles a failure returned to a statement in a transaction."""
    is_busy = failure.code is ErrorCode.OVERLOADED and incident.state is TransactionState.OPEN
    if is_busy and statement.now + RETRY_PAUSE_SECONDS < statement.give_up_at:
        return Resend(RETRY_PAUSE_SECONDS)
    if statement.work is RetryClass.COMMIT and failure.code not in NOT_RUN_CODES:
        return InDoubt(ConnectionDisposition.CLOSED, failure)
    lost = Failure(failure.code, failure.message)
    return TransactionLost(ConnectionDisposition.ROLLED_BACK, lost)


def _rerun(
    disposition: ConnectionDisposition, statement: StatementFacts, is_counted: bool
) -> Outcome:
    """Returns a rerun of the read, or a timeout if too little time is left."""
    if statement.now >= statement.deadline - RETRY_PAUSE_SECONDS:
        return Fail(disposition, _NO_ANSWER)
    return RerunRead(disposition, is_counted)
