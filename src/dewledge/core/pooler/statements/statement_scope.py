"""The immutable context of a statement, shared by all objects that process it."""

import msgspec

from dewledge.core.pooler.databases.group import Group
from dewledge.core.pooler.sessions.routes import Route
from dewledge.core.pooler.sessions.services import PoolServices
from dewledge.core.pooler.sessions.session_state import SessionState
from dewledge.core.pooler.statements.retry_rule import RetryClass
from dewledge.core.pooler.statements.statements import Statement, StatementKind


class StatementScope(msgspec.Struct, frozen=True):
    """A statement with its session, route, group and services.

    writes: whether the statement writes. arrived: arrival at this process (steady clock, seconds).
    """

    services: PoolServices
    group: Group
    route: Route
    session: SessionState
    statement: Statement
    writes: bool
    arrived: float

    @property
    def is_commit(self) -> bool:
        """Whether the statement commits a transaction."""
        return self.statement.kind is StatementKind.COMMIT

    @property
    def retry_class(self) -> RetryClass:
        """Kind of statement for the retry rule; depends on the session's current transaction."""
        if self.session.transaction is not None:
            return RetryClass.COMMIT if self.is_commit else RetryClass.IN_TRANSACTION
        return RetryClass.WRITE if self.writes else RetryClass.READ
