"""A back-end connection to a group model, at one virtual moment."""

from collections.abc import Callable

from dewledge.core.proxy.calls import Access, Statement
from dewledge.core.proxy.ports import DatabaseConnection, ExecutionResult
from dewledge.standin.group_model import GroupModel


class ModelConnection(DatabaseConnection):
    """One session of a `GroupModel`; every call happens at the clock's present time.

    Timeouts are the simulator's to keep, so they are not looked at here.
    """

    def __init__(self, model: GroupModel, session: int, clock: Callable[[], float]) -> None:
        self._model = model
        self._session = session
        self._clock = clock

    def execute(self, statement: Statement, access: Access, timeout: float) -> ExecutionResult:
        """Runs one statement."""
        return self._model.execute(self._session, statement, access, self._clock())

    def begin(self, timeout: float) -> ExecutionResult:
        """Begins a transaction."""
        return self._model.begin(self._session, self._clock())

    def commit(self, timeout: float) -> ExecutionResult:
        """Commits."""
        return self._model.commit(self._session, self._clock())

    def rollback(self, timeout: float) -> ExecutionResult:
        """Rolls back."""
        return self._model.rollback(self._session, self._clock())

    def close(self) -> None:
        """Closes the session."""
        self._model.close_session(self._session, self._clock())
