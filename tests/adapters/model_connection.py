"""A DatabaseConnection straight on the group model, with faults at chosen calls."""

from collections.abc import Callable
from enum import StrEnum

from dewledge.core.calls import Access, Statement
from dewledge.core.ports import DatabaseConnection, ExecutionResult
from dewledge.errors import (
    ConnectionBroken,
    ConnectionClosed,
    DatabaseError,
    StatementFailed,
    StatementRefused,
    TransactionConflict,
)
from dewledge.standin.group_model import GroupModel

NOW = 0.0


class CallFault(StrEnum):
    """What happens to one call."""

    REFUSED = "refused"
    FAILED = "failed"
    CONFLICT = "conflict"
    CLOSED_BEFORE_SENDING = "closed before sending"
    BROKEN_BEFORE = "broken before it took effect"
    BROKEN_AFTER = "broken after it took effect"


ERRORS: dict[CallFault, type[DatabaseError]] = {
    CallFault.REFUSED: StatementRefused,
    CallFault.FAILED: StatementFailed,
    CallFault.CONFLICT: TransactionConflict,
    CallFault.CLOSED_BEFORE_SENDING: ConnectionClosed,
    CallFault.BROKEN_BEFORE: ConnectionBroken,
    CallFault.BROKEN_AFTER: ConnectionBroken,
}
BREAKING = (CallFault.CLOSED_BEFORE_SENDING, CallFault.BROKEN_BEFORE, CallFault.BROKEN_AFTER)


class ModelConnection(DatabaseConnection):
    """Counts its calls from 0; `faults` says what happens to which."""

    def __init__(
        self, model: GroupModel, database: str, faults: dict[int, CallFault] | None = None
    ) -> None:
        self.calls = 0
        self._faults = faults or {}
        self._model = model
        self._session = model.open_session(database, NOW)

    def execute(self, statement: Statement, access: Access, timeout: float) -> ExecutionResult:
        return self._call(lambda: self._model.execute(self._session, statement, access, NOW))

    def begin(self, timeout: float) -> ExecutionResult:
        return self._call(lambda: self._model.begin(self._session, NOW))

    def commit(self, timeout: float) -> ExecutionResult:
        return self._call(lambda: self._model.commit(self._session, NOW))

    def rollback(self, timeout: float) -> ExecutionResult:
        return self._call(lambda: self._model.rollback(self._session, NOW))

    def close(self) -> None:
        self._model.close_session(self._session, NOW)

    def _call(self, operation: Callable[[], ExecutionResult]) -> ExecutionResult:
        fault = self._faults.get(self.calls)
        self.calls += 1
        if fault is CallFault.BROKEN_AFTER:
            operation()
        if fault in BREAKING:
            self.close()
        if fault is CallFault.CONFLICT:
            self._model.rollback(self._session, NOW)
        if fault is not None:
            raise ERRORS[fault]("fault of the test")
        return operation()
