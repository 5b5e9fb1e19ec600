"""The data of one database: real SQL on sqlite3 in memory.

Transactions are optimistic: a session's statements are tried out and undone, and at commit they
are run again and must give the same answers, else the transaction conflicts with another one and
is undone. So an open transaction holds no lock and is never seen by others. Statements reach
replicas as text, so they must be deterministic; `random()` is refused.
"""

import sqlite3
from collections.abc import Iterable, Sequence

import msgspec

from dewledge.core.proxy.calls import Access, Rows, Statement
from dewledge.errors import StatementFailed, TransactionConflict

_READ_ACTIONS = frozenset(
    {
        sqlite3.SQLITE_SELECT,
        sqlite3.SQLITE_READ,
        sqlite3.SQLITE_FUNCTION,
        sqlite3.SQLITE_RECURSIVE,
    }
)
_REFUSED_ACTIONS = frozenset(
    {
        sqlite3.SQLITE_TRANSACTION,
        sqlite3.SQLITE_SAVEPOINT,
        sqlite3.SQLITE_ATTACH,
        sqlite3.SQLITE_DETACH,
        sqlite3.SQLITE_PRAGMA,
    }
)
_REFUSED_FUNCTIONS = frozenset({"random", "randomblob", "load_extension"})

# The statement cache of sqlite3 skips the authorizer, so callers' text must never equal own text.
_TEXT_PREFIX = {Access.READ: "\n", Access.WRITE: "\t"}


class TransactionStep(msgspec.Struct, frozen=True):
    """A statement of an open transaction and the answer its caller was given."""

    statement: Statement
    access: Access
    rows: Rows


class SqliteState:
    """Runs statements on one in-memory sqlite database; used under the model's lock."""

    def __init__(self) -> None:
        self._caller_access: Access | None = None
        self._connection = sqlite3.connect(
            ":memory:", isolation_level=None, check_same_thread=False, cached_statements=256
        )
        self._connection.set_authorizer(self._authorize)

    def close(self) -> None:
        """Drops the data."""
        self._connection.close()

    def copy(self) -> bytes:
        """Returns a copy of the data."""
        return self._connection.serialize()

    def restore(self, data: bytes) -> None:
        """Replaces the data with a copy taken earlier."""
        self._connection.deserialize(data)

    def read(self, statement: Statement) -> Rows:
        """Runs a read on its own. Raises StatementFailed."""
        return self._run(statement, Access.READ)

    def write(self, statement: Statement) -> Rows:
        """Runs and commits one write. Raises StatementFailed, and then nothing has changed."""
        self._connection.execute("BEGIN")
        try:
            rows = self._run(statement, Access.WRITE)
        except StatementFailed:
            self._connection.execute("ROLLBACK")
            raise
        self._connection.execute("COMMIT")
        return rows

    def try_step(
        self, earlier: Sequence[TransactionStep], statement: Statement, access: Access
    ) -> Rows:
        """Runs a transaction's next statement after its earlier ones, and undoes all of it.

        Raises StatementFailed for the statement, TransactionConflict for the transaction.
        """
        self._connection.execute("BEGIN")
        try:
            self._repeat(earlier)
            return self._run(statement, access)
        finally:
            self._connection.execute("ROLLBACK")

    def commit(self, steps: Sequence[TransactionStep]) -> None:
        """Runs a whole transaction and commits it. Raises TransactionConflict."""
        self._connection.execute("BEGIN")
        try:
            self._repeat(steps)
        except TransactionConflict:
            self._connection.execute("ROLLBACK")
            raise
        self._connection.execute("COMMIT")

    def apply(self, statements: Iterable[Statement]) -> None:
        """Runs a replicated transaction, which succeeded on the primary in the same state."""
        self._connection.execute("BEGIN")
        for statement in statements:
            self._run(statement, Access.WRITE)
        self._connection.execute("COMMIT")

    def _repeat(self, steps: Sequence[TransactionStep]) -> None:
        for step in steps:
            try:
                rows = self._run(step.statement, step.access)
            except StatementFailed as error:
                raise TransactionConflict(f"conflict with another transaction: {error}") from error
            if rows != step.rows:
                raise TransactionConflict("conflict with another transaction")

    def _run(self, statement: Statement, access: Access) -> Rows:
        self._caller_access = access
        try:
            text = _TEXT_PREFIX[access] + statement.sql
            cursor = self._connection.execute(text, statement.parameters)
            found = cursor.fetchall()
        except (sqlite3.Error, sqlite3.Warning, OverflowError, ValueError) as error:
            raise StatementFailed(str(error)) from error
        finally:
            self._caller_access = None
        columns = tuple(column[0] for column in cursor.description or ())
        return Rows(columns, tuple(found), max(cursor.rowcount, 0))

    def _authorize(
        self,
        action: int,
        argument: str | None,
        name: str | None,
        _database: str | None,
        _by: object,
    ) -> int:
        if self._caller_access is None:
            return sqlite3.SQLITE_OK
        if self._caller_access is Access.READ and action not in _READ_ACTIONS:
            return sqlite3.SQLITE_DENY
        if action in _REFUSED_ACTIONS:
            return sqlite3.SQLITE_DENY
        if action == sqlite3.SQLITE_FUNCTION and (name or "").lower() in _REFUSED_FUNCTIONS:
            return sqlite3.SQLITE_DENY
        return sqlite3.SQLITE_OK
