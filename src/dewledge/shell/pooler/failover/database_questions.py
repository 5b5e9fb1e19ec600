"""Asks a database for its status or tells it to step down, over a pooled connection.

Relies on the group's pool for a connection; owns nothing between two questions. Used while a new
primary is chosen. All methods belong to the loop's thread.
"""

from collections.abc import Callable

from loguru import logger

from dewledge.core.pooler.databases.group import Group
from dewledge.core.pooler.failover.messages import (
    DatabaseStatus,
    FailoverEvent,
    StatusRead,
    StepDown,
    SteppedDown,
)
from dewledge.core.pooler.pool.connection_pool import ConnectionPool
from dewledge.core.pooler.pool.database_connection import DatabaseConnection
from dewledge.core.pooler.pool.waiter import Denial, Waiter
from dewledge.core.pooler.statements.statements import Reply, StatementKind
from dewledge.shell.shared.event_loop import EventLoop

STATUS_PRIORITY = -1
"""Queue priority of these questions, least first: before all statements of clients."""
STATUS_LIMIT_SECONDS = 1.0
"""Seconds from connection to answer; then the connection is closed."""
DENIED_SECONDS = 0.05
"""Seconds until a question that got no connection is told as unanswered: one tick of the driver, so
that it is not asked again within the call that was denied."""

TakeStatus = Callable[[DatabaseStatus | None], None]


class DatabaseQuestions:
    """What comes of a question is passed on as an event of the group."""

    def __init__(
        self,
        loop: EventLoop,
        parse_status: Callable[[Reply], DatabaseStatus | None],
        handle: Callable[[str, FailoverEvent], None],
    ) -> None:
        """`handle`: called with a group's name and what a database answered, None if nothing."""
        self._loop = loop
        self._parse_status = parse_status
        self._handle = handle

    def read_status(self, group: Group, database_id: str) -> None:
        """Asks a database what it has received."""

        def told(status: DatabaseStatus | None) -> None:
            self._handle(group.view.name, StatusRead(database_id, status))

        self._ask(group.pool(database_id), StatementKind.STATUS, "", told)

    def step_down(self, group: Group, effect: StepDown) -> None:
        """Tells a database to lead no more."""

        def told(status: DatabaseStatus | None) -> None:
            logger.bind(
                group=group.view.name,
                database=effect.database,
                term=effect.term,
                is_primary=None if status is None else status.is_primary,
            ).info("step_down_answered")
            self._handle(group.view.name, SteppedDown(effect.database, status))

        kind = StatementKind.STEP_DOWN
        self._ask(group.pool(effect.database), kind, str(effect.term), told)

    def _ask(
        self, pool: ConnectionPool, kind: StatementKind, argument: str, told: TakeStatus
    ) -> None:
        """Sends a statement; without a connection or an answer in time None is told."""

        def given(connection: DatabaseConnection) -> None:
            timer = self._loop.call_later(STATUS_LIMIT_SECONDS, lambda: lost(connection))

            def answered(reply: Reply | None) -> None:
                timer.cancel()
                pool.release(connection)
                told(None if reply is None else self._parse_status(reply))

            connection.send_internal(kind, answered, argument=argument)

        def lost(connection: DatabaseConnection) -> None:
            connection.close()
            pool.release(connection)
            told(None)

        def denied(_denial: Denial) -> None:
            self._loop.call_later(DENIED_SECONDS, lambda: told(None))

        pool.acquire(Waiter(STATUS_PRIORITY, given, denied), {})
