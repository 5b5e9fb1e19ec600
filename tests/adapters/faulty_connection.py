"""A DatabaseConnection with faults at chosen calls of another one."""

from collections.abc import Callable
from enum import StrEnum

from dewledge.core.proxy.calls import Access, Statement
from dewledge.core.proxy.ports import DatabaseConnection, ExecutionResult
from dewledge.errors import (
    ConnectionBroken,
    ConnectionClosed,
    DatabaseError,
    StatementFailed,
    StatementRefused,
    TransactionConflict,
)

NO_WAIT = 0.0


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


class FaultyConnection(DatabaseConnection):
    """Counts its calls from 0; `faults` says what happens to which."""

    def __init__(self, inner: DatabaseConnection, faults: dict[int, CallFault]) -> None:
        self.calls = 0
        self._inner = inner
        self._faults = faults

    def execute(self, statement: Statement, access: Access, timeout: float) -> ExecutionResult:
        return self._call(lambda: self._inner.execute(statement, access, timeout))

    def begin(self, timeout: float) -> ExecutionResult:
        return self._call(lambda: self._inner.begin(timeout))

    def commit(self, timeout: float) -> ExecutionResult:
        return self._call(lambda: self._inner.commit(timeout))

    def rollback(self, timeout: float) -> ExecutionResult:
        return self._call(lambda: self._inner.rollback(timeout))

    def close(self) -> None:
        self._inner.close()

    def _call(self, operation: Callable[[], ExecutionResult]) -> ExecutionResult:
        fault = self._faults.get(self.calls)
        self.calls += 1
        if fault is CallFault.BROKEN_AFTER:
            operation()
        if fault in BREAKING:
            self.close()
        if fault is CallFault.CONFLICT:
            self._inner.rollback(NO_WAIT)
        if fault is not None:
            raise ERRORS[fault]("fault of the test")
        return operation()
