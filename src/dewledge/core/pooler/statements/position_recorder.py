"""Updates the session's floor and the group's proven positions from the replies to a statement."""

from dewledge.core.pooler.sessions.session_state import OpenTransaction
from dewledge.core.pooler.statements.statement_scope import StatementScope
from dewledge.core.shared.positions import LogPosition


class PositionRecorder:
    """Records the log positions in the replies to one statement."""

    def __init__(self, scope: StatementScope, transaction: OpenTransaction | None) -> None:
        """`transaction`: the open transaction of the session, None outside of transactions."""
        self._group = scope.group
        self._session = scope.session
        self._transaction = transaction
        self._writes = scope.writes
        self._is_commit = scope.is_commit

    def record(self, position: LogPosition | None, sent_at: float, proved_primary: bool) -> None:
        """Records the position in the reply to a successful statement; None if the reply has none.

        sent_at: sending time (steady clock, seconds). proved_primary: whether the database proved
        that it was the primary, and so had every commit acknowledged before `sent_at`.
        """
        if position is None:
            return
        if self._transaction is None:
            self._record_single(position, sent_at, proved_primary)
        else:
            self._record_in_transaction(position, sent_at, self._transaction)

    def _record_single(self, position: LogPosition, sent_at: float, proved_primary: bool) -> None:
        if self._writes:
            self._session.raise_min_position(position)
        if self._writes or proved_primary:
            self._group.record_proof(sent_at, position)
            self._replace_floor_of_earlier_term(position)

    def _record_in_transaction(
        self, position: LogPosition, sent_at: float, transaction: OpenTransaction
    ) -> None:
        """Records a position in a transaction; a commit without writes proves no primary."""
        has_written = self._is_commit and transaction.wrote
        if has_written:
            self._session.raise_min_position(position)
        if has_written or (not self._is_commit and transaction.requires_primary):
            self._group.record_proof(sent_at, position)

    def _replace_floor_of_earlier_term(self, position: LogPosition) -> None:
        """Replaces a session floor of an earlier term.

        A primary of a later term holds everything that survived that term, so that positions beyond
        it no longer exist.
        """
        floor = self._session.floor
        if floor is not None and floor.term < position.term:
            self._session.floor = position
