"""What an answer tells of the log: floors of the session, proven positions of the group."""

from dewledge.core.pooler.databases.group import Group
from dewledge.core.pooler.sessions.session_state import OpenTransaction, SessionState
from dewledge.core.shared.positions import LogPosition


class PositionLearner:
    """Takes the positions of a session's answers. `sent_at` is when the statement left."""

    def __init__(self, group: Group, session: SessionState) -> None:
        self._group = group
        self._session = session

    def take_single(
        self, position: LogPosition, sent_at: float, writes: bool, proved_lead: bool
    ) -> None:
        """Takes the answer to a statement outside of transactions."""
        if writes:
            self._session.raise_floor(position)
        if writes or proved_lead:
            self._group.record_proof(sent_at, position)
            self._forget_old_lineage(position)

    def take_in_transaction(
        self, position: LogPosition, sent_at: float, transaction: OpenTransaction, is_commit: bool
    ) -> None:
        """Takes an answer inside a transaction. A commit that wrote nothing proves no lead."""
        if is_commit and transaction.wrote:
            self._session.raise_floor(position)
        if (is_commit and transaction.wrote) or (not is_commit and transaction.leads):
            self._group.record_proof(sent_at, position)

    def _forget_old_lineage(self, position: LogPosition) -> None:
        """A proven primary of a later term holds all that is left of an earlier one."""
        floor = self._session.floor
        if floor is not None and floor.term < position.term:
            self._session.floor = position
