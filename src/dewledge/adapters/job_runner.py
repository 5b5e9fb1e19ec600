"""Runs one job on one connection, and says of its outcome only what is known.

A keyed write is one database transaction: the statement, and a row with the key and the rows it
returned. The row's primary key makes a repeat fail, which then gets the recorded rows. Nothing
takes effect before the commit, so a connection that breaks earlier means "not run".
"""

import time
from collections.abc import Callable

import msgspec

from dewledge.core.proxy.calls import Access, Operation, Rows, Statement
from dewledge.core.proxy.jobs import (
    IdempotencyRecord,
    Job,
    JobDone,
    JobNotRun,
    JobResult,
    JobUnknown,
)
from dewledge.core.proxy.ports import DatabaseConnection, ExecutionResult
from dewledge.errors import (
    ConnectionBroken,
    ConnectionClosed,
    DatabaseError,
    ErrorCode,
    StatementFailed,
    StatementRefused,
    TransactionConflict,
)

RECORD_TABLE = "dewledge_requests"
CREATE_RECORD_TABLE = Statement(
    f"CREATE TABLE IF NOT EXISTS {RECORD_TABLE} (caller TEXT NOT NULL, key TEXT NOT NULL, "
    "fingerprint TEXT NOT NULL, result TEXT NOT NULL, PRIMARY KEY (caller, key))"
)
INSERT_RECORD = f"INSERT INTO {RECORD_TABLE} (caller, key, fingerprint, result) VALUES (?, ?, ?, ?)"
SELECT_RECORD = f"SELECT fingerprint, result FROM {RECORD_TABLE} WHERE caller = ? AND key = ?"

MAX_KEYED_ATTEMPTS = 8
MIN_STEP_SECONDS = 0.001

_encode_rows = msgspec.json.Encoder().encode
_decode_rows = msgspec.json.Decoder(Rows).decode


def run_job(
    connection: DatabaseConnection, job: Job, clock: Callable[[], float] = time.monotonic
) -> JobResult:
    """Runs `job` to its end within its timeout, never raising a DatabaseError."""
    if job.idempotency is not None and job.operation is Operation.EXECUTE:
        return _KeyedWrite(connection, job, job.idempotency, clock).run()
    try:
        result = _run_operation(connection, job)
    except ConnectionBroken as error:
        if job.operation is Operation.BEGIN:
            return JobNotRun(job.job_id, error.code, error.message, False)
        return JobUnknown(job.job_id, error.code, error.message)
    except DatabaseError as error:
        return _not_run(job, error)
    return JobDone(job.job_id, result.role, result.position, result.rows)


def _run_operation(connection: DatabaseConnection, job: Job) -> ExecutionResult:
    if job.operation is Operation.BEGIN:
        return connection.begin(job.timeout)
    if job.operation is Operation.COMMIT:
        return connection.commit(job.timeout)
    if job.operation is Operation.ROLLBACK:
        return connection.rollback(job.timeout)
    return connection.execute(_statement_of(job), job.access, job.timeout)


def _statement_of(job: Job) -> Statement:
    if job.statement is None:
        raise StatementRefused("there is no statement", ErrorCode.MALFORMED_REQUEST)
    return job.statement


def _not_run(job: Job, error: DatabaseError) -> JobNotRun:
    usable = not isinstance(error, ConnectionBroken | ConnectionClosed)
    return JobNotRun(job.job_id, error.code, error.message, usable)


class _KeyedWrite:
    """A write with an idempotency key: at most once, and its repeat gets the recorded rows."""

    def __init__(
        self,
        connection: DatabaseConnection,
        job: Job,
        record: IdempotencyRecord,
        clock: Callable[[], float],
    ) -> None:
        self._connection = connection
        self._job = job
        self._record = record
        self._clock = clock
        self._deadline = clock() + job.timeout

    def run(self) -> JobResult:
        """Tries until it is done, found recorded, or surely not run."""
        for _ in range(MAX_KEYED_ATTEMPTS):
            result = self._attempt()
            if result is not None:
                return result
            if self._clock() >= self._deadline:
                break
        message = "other transactions came first each time"
        return JobNotRun(self._job.job_id, ErrorCode.DEADLINE_EXCEEDED, message, True)

    def _attempt(self) -> JobResult | None:
        """Runs it once; None if it was undone and may be run again."""
        try:
            self._connection.begin(self._time_left())
        except DatabaseError as error:
            return _not_run(self._job, error)
        try:
            rows = self._run_uncommitted()
        except TransactionConflict:
            return self._after_failure(None)
        except StatementFailed as error:
            return self._after_failure(error)
        except DatabaseError as error:
            return JobNotRun(self._job.job_id, error.code, error.message, False)
        return self._commit(rows)

    def _commit(self, rows: Rows) -> JobResult | None:
        try:
            result = self._connection.commit(self._time_left())
        except TransactionConflict:
            return None
        except ConnectionBroken as error:
            return JobUnknown(self._job.job_id, error.code, error.message)
        except DatabaseError as error:
            return _not_run(self._job, error)
        return JobDone(self._job.job_id, result.role, result.position, rows)

    def _run_uncommitted(self) -> Rows:
        statement = _statement_of(self._job)
        rows = self._connection.execute(statement, self._job.access, self._time_left()).rows
        values = (
            self._record.caller,
            self._record.key,
            self._record.fingerprint,
            _encode_rows(rows).decode(),
        )
        insert = Statement(INSERT_RECORD, values)
        self._connection.execute(insert, Access.WRITE, self._time_left())
        return rows

    def _after_failure(self, error: StatementFailed | None) -> JobResult | None:
        """Looks for the record of an earlier run; nothing of this attempt has taken effect."""
        try:
            self._connection.rollback(self._time_left())
            return self._recorded() or self._failed(error)
        except StatementFailed:
            return self._create_record_table()
        except ConnectionClosed as closed:
            # An earlier run may have been recorded, so "not run" could be untrue of the key.
            return JobUnknown(self._job.job_id, closed.code, closed.message)
        except DatabaseError as lookup_error:
            return _not_run(self._job, lookup_error)

    def _recorded(self) -> JobResult | None:
        select = Statement(SELECT_RECORD, (self._record.caller, self._record.key))
        found = self._connection.execute(select, Access.READ, self._time_left())
        if not found.rows.rows:
            return None
        fingerprint, result = found.rows.rows[0]
        if fingerprint != self._record.fingerprint:
            message = "the idempotency key was used for another statement"
            return JobNotRun(self._job.job_id, ErrorCode.IDEMPOTENCY_MISMATCH, message, True)
        rows = _decode_rows(str(result))
        return JobDone(self._job.job_id, found.role, found.position, rows, repeated=True)

    def _failed(self, error: StatementFailed | None) -> JobNotRun | None:
        return None if error is None else _not_run(self._job, error)

    def _create_record_table(self) -> JobNotRun | None:
        try:
            self._connection.execute(CREATE_RECORD_TABLE, Access.WRITE, self._time_left())
        except DatabaseError as error:
            return _not_run(self._job, error)
        return None

    def _time_left(self) -> float:
        return max(self._deadline - self._clock(), MIN_STEP_SECONDS)
