"""Derives proven log positions from the answers on a channel, and reports the newest to the peer.

Proven positions go into the group's history, which all sessions of this process share.
"""

from collections.abc import Callable

from dewledge.core.pooler.databases.group import Group
from dewledge.core.pooler.pool.database_connection import DatabaseConnection
from dewledge.core.pooler.sharing.messages import ProvenAge
from dewledge.core.pooler.sharing.primary_proof import PrimaryProof
from dewledge.core.pooler.statements.statements import Reply, Statement
from dewledge.errors import ErrorCode


class ChannelProofs:
    """Processes the answers on one channel."""

    __slots__ = ("_group", "_now", "_primary_proof")

    def __init__(self, group: Group, now: Callable[[], float]) -> None:
        self._group = group
        self._now = now
        self._primary_proof = PrimaryProof()

    def update(
        self,
        connection: DatabaseConnection,
        reply: Reply,
        statement: Statement | None,
        writes: bool,
        sent_at: float,
    ) -> None:
        """Updates the proven position, the view of the primary and the connection from an answer.

        statement: the answered statement, None if no statement was in progress. writes: whether
        it writes. sent_at: when the statement was sent (steady clock, seconds).
        """
        code = None if reply.failure is None else reply.failure.code
        if code is None and statement is not None and reply.position is not None:
            proves = self._primary_proof.record_success(statement.kind, writes)
            if proves and self._group.may_lead(connection.database_id):
                self._group.record_proof(sent_at, reply.position)
        if code is ErrorCode.NOT_PRIMARY:
            self._group.refute_primary(connection.database_id)
        elif code is ErrorCode.UNKNOWN_STATEMENT:
            connection.prepared.clear()

    def newest(self) -> ProvenAge | None:
        """Returns the newest proven position and its age, None if nothing is proven."""
        newest = self._group.history.newest
        if newest is None:
            return None
        return ProvenAge(newest.position, self._now() - newest.sent_at)
