"""What the client of a statement is answered, and what that makes of its transaction.

It owns nothing; it changes the session's transaction as the answer says.
"""

from dewledge.core.pooler.sessions.session_state import OpenTransaction
from dewledge.core.pooler.statements.retry_outcomes import Fail, InDoubt, TransactionLost
from dewledge.core.pooler.statements.statement_scope import StatementScope
from dewledge.core.pooler.statements.statements import Failure, Reply, TransactionState


class ClientReply:
    """The answers to one statement; one of them is given."""

    def __init__(self, scope: StatementScope, transaction: OpenTransaction | None) -> None:
        """`transaction`: the statement's, None outside of transactions."""
        self._session = scope.session
        self._transaction = transaction
        self._is_commit = scope.is_commit
        self._writes = scope.writes

    def done(self, reply: Reply, now: float) -> Reply:
        """Returns the answer of a statement that was done; a transaction is used or committed."""
        state = TransactionState.IDLE
        transaction = self._transaction
        if transaction is not None:
            transaction.last_used = now
            if self._is_commit:
                self._session.transaction = None
            else:
                transaction.wrote = transaction.wrote or self._writes
                state = TransactionState.OPEN
        return Reply(state, rows=reply.rows, signature=reply.signature)

    def after(self, outcome: InDoubt | TransactionLost | Fail) -> Reply:
        """Returns the answer of a statement that was not done."""
        if isinstance(outcome, InDoubt):
            self._session.transaction = None
            return Reply(TransactionState.IDLE, failure=outcome.failure)
        if isinstance(outcome, TransactionLost) and self._transaction is not None:
            self._transaction.connection = None
        return self._failed(outcome.failure)

    def _failed(self, failure: Failure) -> Reply:
        """A transaction can only be ended now."""
        state = TransactionState.IDLE
        if self._transaction is not None and self._is_commit:
            self._session.transaction = None
        elif self._transaction is not None:
            self._transaction.failed = True
            state = TransactionState.FAILED
        return Reply(state, failure=failure)
