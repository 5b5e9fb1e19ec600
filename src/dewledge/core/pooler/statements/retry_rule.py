"""The retry rule: what follows when something fails on a statement's way. Pure, no state.

Inputs: an `Incident` (what failed, how far the statement had come, the failure that was answered)
and the `StatementFacts` (what the statement is, its reruns so far, its moments on the steady clock
in seconds; all of this instant, none of another process).

Decision, the first row that fits:

| progress | what failed | statement | what follows | connection |
| --- | --- | --- | --- | --- |
| waiting | no room in its time | any | refused, with the time to come back | none |
| waiting, in setup | no lease of the primary | pinned | transaction lost | rolled back |
| waiting | no lease of the primary | other | tries elsewhere | released |
| in setup | no lease of the primary | other | tries elsewhere | given back |
| in setup | holder doubted or silent | pinned | waits on | kept |
| in setup | holder doubted or silent | other | tries elsewhere, a while longer | closed |
| in setup | refused, lost or silent | pinned | transaction lost | closed |
| in setup | refused, connection clean | other | tries elsewhere | released |
| in setup | refused otherwise, lost, silent | other | tries elsewhere | closed |
| sent | holder silent, budget has room | read, no rerun yet | rerun, counted | closed |
| sent | holder doubted or silent | any other | waits on | kept |
| sent | refused, surely not run | read, write | tries elsewhere | given back or closed |
| sent | refused otherwise | read, reruns left | rerun, counted | given back |
| sent | refused otherwise | read, write | fails with the code | given back |
| sent | overloaded, time left | in an open transaction | sent again here | kept |
| sent | refused, may have run | commit | in doubt | closed |
| sent | refused | in transaction, commit | transaction lost, with the code | rolled back |
| sent | lost, answer without lease, silent | commit | in doubt | closed |
| sent | lost, answer without lease, silent | in transaction | transaction lost | closed |
| sent | lost, answer without lease, silent | write | fails, outcome unknown | closed |
| sent | lost, answer without lease | read | rerun, not counted | closed |
| sent | silent | read, no rerun yet | rerun, counted | closed |
| sent | silent | read | fails, no answer | closed |

A rerun for which no time is left fails with `statement_timeout` instead.

Reason: a statement is sent again only while it surely did not run, or if it only reads. "Not run"
is said only of what never left, was refused by the database, or stood in a transaction that cannot
commit any more. A transaction lives on one connection, so it ends with it. An answer that comes
after the lease lapsed counts as lost, since another database may be primary by then.
"""

from enum import StrEnum

import msgspec

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
from dewledge.core.pooler.statements.statements import NOT_RUN_CODES, Failure, TransactionState
from dewledge.errors import ErrorCode

RETRY_PAUSE_SECONDS = 0.03
"""Seconds before the same database is asked again, and the least time in which a rerun can end:
about a round trip between regions."""
MAX_READ_RERUNS = 2
"""Retries of one read after failures that the database answered: bounds what a read that always
fails costs a group of three databases."""


class Progress(StrEnum):
    """How far a statement had come.

    WAITING: nothing of it was sent. IN_SETUP: the proxy's own statements that prepare the
    connection were sent. SENT: the client's statement itself was sent.
    """

    WAITING = "waiting"
    IN_SETUP = "in_setup"
    SENT = "sent"


class Trouble(StrEnum):
    """What failed.

    NO_ROOM: no connection in the statement's time. NO_LEASE: the process may not use the primary
    now, or the answer came after its lease lapsed. REFUSED: a failure was answered. LOST: the
    connection ended. SILENT: no answer in the time of this step. HOLDER_DOUBTED, HOLDER_SILENT:
    the process that carries the connection gives no sign of life.
    """

    NO_ROOM = "no_room"
    NO_LEASE = "no_lease"
    REFUSED = "refused"
    LOST = "lost"
    SILENT = "silent"
    HOLDER_DOUBTED = "holder_doubted"
    HOLDER_SILENT = "holder_silent"


class Work(StrEnum):
    """What a statement is. READ and WRITE are outside of transactions, COMMIT ends one."""

    READ = "read"
    WRITE = "write"
    IN_TRANSACTION = "in_transaction"
    COMMIT = "commit"


IN_TRANSACTIONS = frozenset({Work.IN_TRANSACTION, Work.COMMIT})


class Incident(msgspec.Struct, frozen=True):
    """One thing that failed.

    failure: the answer's, or the refusal of a statement that found no room. state: the database
    connection's after the answer. has_unanswered: whether the connection still owes answers.
    is_within_budget: whether the budget of second reads has room for this one.
    """

    trouble: Trouble
    progress: Progress
    failure: Failure | None = None
    state: TransactionState = TransactionState.IDLE
    has_unanswered: bool = False
    is_within_budget: bool = False


class StatementFacts(msgspec.Struct, frozen=True):
    """What the rule knows of the statement. Moments of the steady clock, in seconds.

    is_pinned: whether its transaction has its connection already. give_up_at: until when it may
    seek a connection. deadline: when its time is over.
    """

    work: Work
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


def what_follows(incident: Incident, statement: StatementFacts) -> Outcome:
    """Returns what follows; the table above."""
    if incident.trouble in (Trouble.HOLDER_DOUBTED, Trouble.HOLDER_SILENT):
        return _after_judging_holder(incident, statement)
    if incident.progress is not Progress.SENT:
        return _before_sending(incident, statement)
    if incident.failure is None:
        return _without_answer(incident, statement)
    if statement.work in IN_TRANSACTIONS:
        return _refused_in_transaction(incident, incident.failure, statement)
    return _refused_single(incident.failure, statement)


def needs_budget(incident: Incident, statement: StatementFacts) -> bool:
    """Tells whether a read would be sent a second time while its first may still be answered."""
    if incident.trouble is not Trouble.HOLDER_SILENT or incident.progress is not Progress.SENT:
        return False
    return statement.work is Work.READ and not statement.is_pinned and not statement.reruns


def _before_sending(incident: Incident, statement: StatementFacts) -> Outcome:
    """Nothing of the client's was sent, so another connection may serve it unless it is pinned."""
    if incident.trouble is Trouble.NO_ROOM and incident.failure is not None:
        return Fail(ConnectionFate.KEPT, incident.failure)
    if incident.trouble is Trouble.NO_LEASE:
        if statement.is_pinned:
            return TransactionLost(ConnectionFate.ROLLED_BACK, _PRIMARY_REPLACED)
        has_begun = incident.progress is Progress.IN_SETUP
        return TryElsewhere(ConnectionFate.GIVEN_BACK if has_begun else ConnectionFate.RELEASED)
    if statement.is_pinned:
        return TransactionLost(ConnectionFate.CLOSED, _CONNECTION_LOST)
    is_clean = _is_clean(incident)
    return TryElsewhere(ConnectionFate.RELEASED if is_clean else ConnectionFate.CLOSED)


def _is_clean(incident: Incident) -> bool:
    """Tells whether the connection can serve others though a step of the setup was refused."""
    failure = incident.failure
    if failure is None or failure.code is ErrorCode.WRONG_DATABASE:
        return False
    return incident.state is TransactionState.IDLE and not incident.has_unanswered


def _after_judging_holder(incident: Incident, statement: StatementFacts) -> Outcome:
    """The holder gives no sign of life; what was sent through it may run all the same."""
    if statement.is_pinned:
        return WaitOn()
    if incident.progress is Progress.IN_SETUP:
        return TryElsewhere(ConnectionFate.CLOSED, seeks_longer=True)
    if needs_budget(incident, statement) and incident.is_within_budget:
        return _rerun(ConnectionFate.CLOSED, statement, is_counted=True)
    return WaitOn()


def _without_answer(incident: Incident, statement: StatementFacts) -> Outcome:
    """The statement was sent, and no answer that counts has come."""
    closed = ConnectionFate.CLOSED
    is_silent = incident.trouble is Trouble.SILENT
    if statement.work is Work.COMMIT:
        return InDoubt(closed, _NO_ANSWER if is_silent else _OUTCOME_UNKNOWN)
    if statement.work is Work.IN_TRANSACTION:
        return TransactionLost(closed, _ROLLED_BACK if is_silent else _CONNECTION_LOST)
    if statement.work is Work.WRITE:
        return Fail(closed, _NO_ANSWER if is_silent else _OUTCOME_UNKNOWN)
    if is_silent and statement.reruns:
        return Fail(closed, _NO_ANSWER)
    return _rerun(closed, statement, is_counted=is_silent)


def _refused_single(failure: Failure, statement: StatementFacts) -> Outcome:
    """The database answered a statement outside of transactions with a failure."""
    is_wrong = failure.code is ErrorCode.WRONG_DATABASE
    fate = ConnectionFate.CLOSED if is_wrong else ConnectionFate.GIVEN_BACK
    if failure.code in NOT_RUN_CODES:
        return TryElsewhere(fate)
    if statement.work is Work.READ and statement.reruns < MAX_READ_RERUNS:
        return _rerun(fate, statement, is_counted=True)
    return Fail(fate, Failure(failure.code, failure.message))


def _refused_in_transaction(
    incident: Incident, failure: Failure, statement: StatementFacts
) -> Outcome:
    """The database answered a statement of a transaction with a failure."""
    is_busy = failure.code is ErrorCode.OVERLOADED and incident.state is TransactionState.OPEN
    if is_busy and statement.now + RETRY_PAUSE_SECONDS < statement.give_up_at:
        return SendAgain(RETRY_PAUSE_SECONDS)
    if statement.work is Work.COMMIT and failure.code not in NOT_RUN_CODES:
        return InDoubt(ConnectionFate.CLOSED, failure)
    lost = Failure(failure.code, failure.message)
    return TransactionLost(ConnectionFate.ROLLED_BACK, lost)


def _rerun(fate: ConnectionFate, statement: StatementFacts, is_counted: bool) -> Outcome:
    """Sends a read once more, within the time that is left."""
    if statement.now >= statement.deadline - RETRY_PAUSE_SECONDS:
        return Fail(fate, _NO_ANSWER)
    return RerunRead(fate, is_counted)
