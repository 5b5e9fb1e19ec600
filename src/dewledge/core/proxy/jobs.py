"""Work for one back-end connection, as the gateway core orders it and the shell reports it.

A job is run by one worker thread on one connection from start to end, so that a whole
idempotent write crosses threads only once.
"""

import msgspec

from dewledge.core.proxy.calls import Access, Operation, Rows, Statement
from dewledge.core.proxy.database_status import DatabaseRole, DatabaseStatus
from dewledge.core.shared.positions import LogPosition
from dewledge.errors import ErrorCode


class IdempotencyRecord(msgspec.Struct, frozen=True):
    """The row inserted in the same database transaction as a keyed write.

    fingerprint: hash of statement and parameters; another one under the same key is refused.
    """

    caller: str
    key: str
    fingerprint: str


class Job(msgspec.Struct, frozen=True):
    """One operation on one open connection.

    timeout: seconds the worker may wait for the database before it gives the connection up.
    """

    job_id: int
    connection_id: int
    operation: Operation
    access: Access
    timeout: float
    statement: Statement | None = None
    idempotency: IdempotencyRecord | None = None


class JobDone(msgspec.Struct, frozen=True):
    """The database answered success.

    position: commit position of a write, or the applied position a read saw.
    repeated: the rows are those recorded by an earlier run with the same key.
    """

    job_id: int
    role: DatabaseRole
    position: LogPosition
    rows: Rows | None = None
    repeated: bool = False


class JobNotRun(msgspec.Struct, frozen=True):
    """The database definitely refused, failed or rolled back; usable tells if the connection is.

    A connection of unknown state is closed, never reused.
    """

    job_id: int
    code: ErrorCode
    message: str
    connection_usable: bool


class JobUnknown(msgspec.Struct, frozen=True):
    """The connection broke or timed out with the answer pending; it is never reused."""

    job_id: int
    code: ErrorCode
    message: str


JobResult = JobDone | JobNotRun | JobUnknown


class StatusReading(msgspec.Struct, frozen=True):
    """The answer of one database in a status round; status is None if it did not answer."""

    database: str
    status: DatabaseStatus | None
