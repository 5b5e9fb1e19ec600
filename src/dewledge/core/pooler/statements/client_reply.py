"""Builds the reply to the client and updates the session's transaction accordingly."""

from dewledge.core.pooler.sessions.session_state import OpenTransaction
from dewledge.core.pooler.statements.retry_outcomes import Fail, InDoubt, TransactionLost
from dewledge.core.pooler.statements.statement_scope import StatementScope
from dewledge.core.pooler.statements.statements import Failure, Reply, TransactionState


class ClientReply:
    """Builds the reply to one statement."""

    def __init__(self, scope: StatementScope, transaction: OpenTransaction | None) -> None:
        """`transaction`: the open transaction of the session, None outside of transactions."""
        self._session = scope.session
        self._transaction = transaction
        self._is_commit = scope.is_commit
        self._writes = scope.writes

    def success(self, reply: Reply, now: float) -> Reply:
        """Returns the reply to a successful statement; a commit also ends the transaction."""
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

    def for_outcome(self, outcome: InDoubt | TransactionLost | Fail) -> Reply:
        """Returns the reply to a failed statement and updates its transaction."""
        if isinstance(outcome, InDoubt):
            self._session.transaction = None
            return Reply(TransactionState.IDLE, failure=outcome.failure)
        if isinstance(outcome, TransactionLost) and self._transaction is not None:
            self._transaction.connection = None
        return self._failure(outcome.failure)

    def _failure(self, failure: Failure) -> Reply:
        """Returns the failure; the transaction is marked as failed, or ended by a failed commit."""
        state = TransactionState.IDLE
        if self._transaction is not None and self._is_commit:
            self._session.transaction = None
        elif self._transaction is not None:
            self._transaction.failed = True
            state = TransactionState.FAILED
        return Reply(state, failure=failure)
