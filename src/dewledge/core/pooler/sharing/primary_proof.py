"""Which answers on one connection prove that the database leads.

Inputs: the statements that succeeded on the connection, in order. Decision: whether the answer
came from a primary. Reason: only a primary opens a plain transaction, and a database that has lost
the lead refuses each statement in one, but for a commit that wrote nothing.
"""

from dewledge.core.pooler.statements.statements import StatementKind


class PrimaryProof:
    """Follows the successful statements of one connection."""

    def __init__(self) -> None:
        self._is_plain = False
        self._wrote = False

    def proves(self, kind: StatementKind, writes: bool) -> bool:
        """Takes a statement that succeeded; tells whether its answer came from a primary."""
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
