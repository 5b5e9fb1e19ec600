"""Sends requests on role and replication to databases, over pooled connections, for a failover.

All methods run on the loop's thread.
"""

from collections.abc import Callable

from loguru import logger

from dewledge.core.pooler.databases.group import Group
from dewledge.core.pooler.failover.messages import (
    DatabaseStatus,
    FailoverEvent,
    ReplicationStopped,
    StartReplication,
    StatusRead,
    StepDown,
    SteppedDown,
    StopReplication,
)
from dewledge.core.pooler.pool.connection_pool import ConnectionPool
from dewledge.core.pooler.pool.database_connection import DatabaseConnection
from dewledge.core.pooler.pool.waiter import Denial, Waiter
from dewledge.core.pooler.statements.statements import Reply, StatementKind
from dewledge.shell.shared.event_loop import EventLoop

REQUEST_PRIORITY = -1
"""Queue priority of these requests: below the priorities of client statements, so served first."""
REQUEST_TIMEOUT_SECONDS = 1.0
"""Seconds that a database has to answer a request; then the connection is closed."""
DENIED_REPORT_DELAY_SECONDS = 0.05
"""Seconds until a request that got no connection is reported as unanswered: one tick of the driver,
so that the request is not repeated within the call that was denied."""

StatusCallback = Callable[[DatabaseStatus | None], None]


class DatabaseRequests:
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

        def on_status(status: DatabaseStatus | None) -> None:
            self._handle(group.view.name, StatusRead(database_id, status))

        self._request(group.pool(database_id), StatementKind.STATUS, "", on_status)

    def step_down(self, group: Group, effect: StepDown) -> None:
        """Requests that a database step down as primary."""

        def on_status(status: DatabaseStatus | None) -> None:
            logger.bind(
                group=group.view.name,
                database=effect.database,
                term=effect.term,
                is_primary=None if status is None else status.is_primary,
            ).info("step_down_answered")
            self._handle(group.view.name, SteppedDown(effect.database, status))

        kind = StatementKind.STEP_DOWN
        self._request(group.pool(effect.database), kind, str(effect.term), on_status)

    def stop_replication(self, group: Group, effect: StopReplication) -> None:
        """Requests that a replica receives nothing more.

        Sent over a direct connection: a holder of an earlier release does not know this statement.
        """

        def on_status(status: DatabaseStatus | None) -> None:
            logger.bind(
                group=group.view.name,
                database=effect.database,
                term=effect.term,
                received=_position_text(status),
            ).info("replication_stop_answered")
            event = ReplicationStopped(effect.database, effect.term, status)
            self._handle(group.view.name, event)

        kind = StatementKind.STOP_REPLICATION
        self._request(group.peer_pool(effect.database), kind, str(effect.term), on_status)

    def start_replication(self, group: Group, effect: StartReplication) -> None:
        """Requests that a replica receives again; see `stop_replication` for the connection."""

        def on_status(status: DatabaseStatus | None) -> None:
            logger.bind(
                group=group.view.name,
                database=effect.database,
                received=_position_text(status),
            ).info("replication_start_answered")

        kind = StatementKind.START_REPLICATION
        self._request(group.peer_pool(effect.database), kind, "", on_status)

    def _request(
        self, pool: ConnectionPool, kind: StatementKind, argument: str, on_status: StatusCallback
    ) -> None:
        """Sends a statement; calls back with None without a connection or a timely answer."""

        def on_connection(connection: DatabaseConnection) -> None:
            timer = self._loop.call_later(REQUEST_TIMEOUT_SECONDS, lambda: on_timeout(connection))

            def on_reply(reply: Reply | None) -> None:
                timer.cancel()
                pool.release(connection)
                on_status(None if reply is None else self._parse_status(reply))

            connection.send_internal(kind, on_reply, argument=argument)

        def on_timeout(connection: DatabaseConnection) -> None:
            connection.close()
            pool.release(connection)
            on_status(None)

        def on_denied(_denial: Denial) -> None:
            self._loop.call_later(DENIED_REPORT_DELAY_SECONDS, lambda: on_status(None))

        pool.acquire(Waiter(REQUEST_PRIORITY, on_connection, on_denied), {})


def _position_text(status: DatabaseStatus | None) -> str | None:
    if status is None:
        return None
    return f"{status.received.term}.{status.received.offset}"
