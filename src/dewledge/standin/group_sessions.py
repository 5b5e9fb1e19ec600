"""Sessions of one database: open connections, each with at most one transaction."""

from dewledge.core.proxy.calls import Access, Rows, Statement
from dewledge.core.proxy.ports import ExecutionResult
from dewledge.errors import ErrorCode, StatementRefused, TransactionConflict
from dewledge.standin.database_node import DatabaseNode
from dewledge.standin.sqlite_state import TransactionStep

NO_ROWS = Rows()


class Session:
    """One connection to one database.

    lost: its transaction was ended by the database; all is refused until the caller rolls back.
    """

    def __init__(self, identity: int, node: DatabaseNode) -> None:
        self.identity = identity
        self.node = node
        self.steps: list[TransactionStep] | None = None
        self.lost = False

    def lose_transaction(self) -> None:
        """Ends an open transaction; its caller learns of it with its next statement."""
        if self.steps is not None:
            self.steps = None
            self.lost = True

    def begin(self) -> ExecutionResult:
        """Begins a transaction. Raises StatementRefused unless on a primary."""
        if self.steps is not None or self.lost:
            raise StatementRefused("a transaction is open", ErrorCode.TRANSACTION_BUSY)
        require_primary(self.node)
        self.steps = []
        return result_of(self.node)

    def run_step(self, statement: Statement, access: Access) -> ExecutionResult:
        """Runs a statement in the open transaction.

        Raises StatementRefused, StatementFailed or TransactionConflict.
        """
        steps = self._open_steps()
        try:
            rows = self.node.state.try_step(steps, statement, access)
        except TransactionConflict:
            self.lose_transaction()
            raise
        steps.append(TransactionStep(statement, access, rows))
        return result_of(self.node, rows)

    def take_steps(self) -> list[TransactionStep]:
        """Ends the transaction and returns what is to be committed. Raises StatementRefused."""
        try:
            return self._open_steps()
        finally:
            self.steps = None
            self.lost = False

    def rollback(self) -> ExecutionResult:
        """Ends the transaction, if there is one, without effect."""
        self.steps = None
        self.lost = False
        return result_of(self.node)

    def _open_steps(self) -> list[TransactionStep]:
        if self.lost:
            raise StatementRefused("the transaction was ended", ErrorCode.TRANSACTION_LOST)
        if self.steps is None:
            raise StatementRefused("no transaction is open", ErrorCode.UNKNOWN_TRANSACTION)
        return self.steps


def require_primary(node: DatabaseNode) -> None:
    """Raises StatementRefused if the database does not believe itself primary."""
    if not node.is_primary:
        raise StatementRefused(f"{node.name} is not primary")


def result_of(node: DatabaseNode, rows: Rows = NO_ROWS) -> ExecutionResult:
    """Returns a success with the database's present role and position."""
    return ExecutionResult(rows, node.role, node.applied)
