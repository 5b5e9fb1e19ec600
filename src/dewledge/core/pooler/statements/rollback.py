"""Rolls back the transaction on a connection before it returns to the pool.

Relies on the database's answer. Without one the connection is closed, which rolls back too.
"""

from dewledge.core.pooler.pool.connection_pool import ConnectionPool
from dewledge.core.pooler.pool.database_connection import DatabaseConnection
from dewledge.core.pooler.scheduling import Scheduler
from dewledge.core.pooler.statements.statements import Reply, StatementKind, TransactionState

ROLLBACK_LIMIT_SECONDS = 2.0
"""Time limit of a rollback; if it is exceeded, the connection is closed."""


def roll_back_then_release(
    connection: DatabaseConnection, pool: ConnectionPool, scheduler: Scheduler
) -> None:
    """Rolls back, then releases the connection to `pool`; closes it first if the rollback fails."""

    def on_timeout() -> None:
        connection.close()
        pool.release(connection)

    timer = scheduler.call_later(ROLLBACK_LIMIT_SECONDS, on_timeout)

    def on_reply(reply: Reply | None) -> None:
        timer.cancel()
        if reply is None or reply.state is not TransactionState.IDLE:
            connection.close()
        pool.release(connection)

    connection.send_internal(StatementKind.ROLLBACK, on_reply)
