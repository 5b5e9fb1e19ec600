"""Decides which successful answers on a connection prove that the database is the primary.

Only a primary opens a plain (not read-only) transaction and executes writes, and a database that is
no longer primary refuses every statement in a plain transaction except a commit without writes.
"""

from dewledge.core.pooler.statements.statements import StatementKind


class PrimaryProof:
    """Tracks the transaction state of a connection from its successful statements."""

    def __init__(self) -> None:
        self._is_plain = False
        self._wrote = False

    def record_success(self, kind: StatementKind, writes: bool) -> bool:
        """Records a successful statement; returns whether its success proves the primary role."""
        if kind is StatementKind.BEGIN:
            self._is_plain, self._wrote = True, False
            return True
        if kind in (StatementKind.BEGIN_READ_ONLY, StatementKind.ROLLBACK):
            self._is_plain = False
            return False
        if kind is StatementKind.COMMIT:
            proves = self._is_plain and self._wrote
            self._is_plain = False
            return proves
        if kind is StatementKind.STATUS:
            return False
        self._wrote = self._wrote or writes
        return self._is_plain or writes
