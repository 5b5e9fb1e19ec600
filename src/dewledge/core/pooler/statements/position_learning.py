"""What an answer tells of the log: floors of the session, proven positions of the group.

It owns nothing: it writes the session's floor and the group's history of proofs.
"""

from dewledge.core.pooler.sessions.session_state import OpenTransaction
from dewledge.core.pooler.statements.statement_scope import StatementScope
from dewledge.core.shared.positions import LogPosition


class PositionLearner:
    """Takes the positions in the answers to one statement."""

    def __init__(self, scope: StatementScope, transaction: OpenTransaction | None) -> None:
        """`transaction`: the statement's, None outside of transactions."""
        self._group = scope.group
        self._session = scope.session
        self._transaction = transaction
        self._writes = scope.writes
        self._is_commit = scope.is_commit

    def take(self, position: LogPosition | None, sent_at: float, proved_lead: bool) -> None:
        """Takes the answer of a statement that was done; None where it names no position.

        sent_at: when the statement left (steady clock, seconds). proved_lead: whether the database
        held every commit then.
        """
        if position is None:
            return
        if self._transaction is None:
            self._take_single(position, sent_at, proved_lead)
        else:
            self._take_in_transaction(position, sent_at, self._transaction)

    def _take_single(self, position: LogPosition, sent_at: float, proved_lead: bool) -> None:
        if self._writes:
            self._session.raise_floor(position)
        if self._writes or proved_lead:
            self._group.record_proof(sent_at, position)
            self._forget_old_lineage(position)

    def _take_in_transaction(
        self, position: LogPosition, sent_at: float, transaction: OpenTransaction
    ) -> None:
        """A commit that wrote nothing proves no lead."""
        has_written = self._is_commit and transaction.wrote
        if has_written:
            self._session.raise_floor(position)
        if has_written or (not self._is_commit and transaction.leads):
            self._group.record_proof(sent_at, position)

    def _forget_old_lineage(self, position: LogPosition) -> None:
        """A proven primary of a later term holds all that is left of an earlier one."""
        floor = self._session.floor
        if floor is not None and floor.term < position.term:
            self._session.floor = position
