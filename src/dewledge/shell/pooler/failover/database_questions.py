"""Sends status and step-down requests to databases, over pooled connections, during a failover.

All methods run on the loop's thread.
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
"""Queue priority of these requests: below the priorities of client statements, so served first."""
STATUS_LIMIT_SECONDS = 1.0
"""Seconds that a database has to answer a request; then the connection is closed."""
DENIED_SECONDS = 0.05
"""Seconds until a request that got no connection is reported as unanswered: one tick of the driver,
so that the request is not repeated within the call that was denied."""

TakeStatus = Callable[[DatabaseStatus | None], None]


class DatabaseQuestions:
    """Sends requests to databases and passes each answer on as a failover event of the group."""

    def __init__(
        self,
        loop: EventLoop,
        parse_status: Callable[[Reply], DatabaseStatus | None],
        handle: Callable[[str, FailoverEvent], None],
    ) -> None:
        """`handle`: called with a group's name and an event that holds the database's answer."""
        self._loop = loop
        self._parse_status = parse_status
        self._handle = handle

    def read_status(self, group: Group, database_id: str) -> None:
        """Requests a database's status: its role, term and last received log position."""

        def told(status: DatabaseStatus | None) -> None:
            self._handle(group.view.name, StatusRead(database_id, status))

        self._ask(group.pool(database_id), StatementKind.STATUS, "", told)

    def step_down(self, group: Group, effect: StepDown) -> None:
        """Requests that a database step down as primary."""

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
        """Sends a statement; calls back with None without a connection or a timely answer."""

        def given(connection: DatabaseConnection) -> None:
            timer = self._loop.call_later(STATUS_LIMIT_SECONDS, lambda: lost(connection))

            def answered(reply: Reply | None) -> None:
                timer.cancel()
                pool.release(connection)
                told(None if reply is None else self._parse_status(reply))

            connection.send_own(kind, answered, argument=argument)

        def lost(connection: DatabaseConnection) -> None:
            connection.close()
            pool.release(connection)
            told(None)

        def denied(_denial: Denial) -> None:
            self._loop.call_later(DENIED_SECONDS, lambda: told(None))

        pool.acquire(Waiter(STATUS_PRIORITY, given, denied), {})
