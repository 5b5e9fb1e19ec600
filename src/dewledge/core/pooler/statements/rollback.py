"""Rolls back the transaction on a connection before it returns to the pool."""

from dewledge.core.pooler.pool.connection_pool import ConnectionPool
from dewledge.core.pooler.pool.database_connection import DatabaseConnection
from dewledge.core.pooler.scheduling import Scheduler
from dewledge.core.pooler.statements.statements import Reply, StatementKind, TransactionState

ROLLBACK_LIMIT_SECONDS = 2.0
"""Longer than any rollback takes; a connection that has not replied by then is closed."""


def roll_back_then_release(
    connection: DatabaseConnection, pool: ConnectionPool, scheduler: Scheduler
) -> None:
    """Rolls back, then releases the connection to `pool`; closes it first if the rollback fails."""

    def give_up() -> None:
        connection.close()
        pool.release(connection)

    timer = scheduler.call_later(ROLLBACK_LIMIT_SECONDS, give_up)

    def rolled_back(reply: Reply | None) -> None:
        timer.cancel()
        if reply is None or reply.state is not TransactionState.IDLE:
            connection.close()
        pool.release(connection)

    connection.send_own(StatementKind.ROLLBACK, rolled_back)
