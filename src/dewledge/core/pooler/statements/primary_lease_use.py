"""Checks whether a statement may use its database as primary, and records confirmed primaries.

The lease is checked before a statement is sent, and again when the database reports success. The
lease rules themselves are in core/pooler/failover/primary_lease.py.
"""

from dewledge.core.pooler.databases.group import NO_POSITION, Group
from dewledge.core.pooler.sessions.session_state import OpenTransaction
from dewledge.core.pooler.statements.statements import StatementKind
from dewledge.core.pooler.statements.targets import Proof, Target
from dewledge.core.shared.positions import LogPosition


class PrimaryLeaseUse:
    """Applies the primary lease to the attempts of a statement; call `begin_attempt` for each."""

    def __init__(
        self, group: Group, transaction: OpenTransaction | None, writes: bool, is_commit: bool
    ) -> None:
        """`transaction`: the open transaction of the session, None outside of transactions."""
        self._group = group
        self._transaction = transaction
        self._writes = writes
        self._is_commit = is_commit
        self._target: Target | None = None
        self._fencing_token = 0
        self._min_primary_position = NO_POSITION
        self.opens_primary_transaction = False
        """Whether the attempt opens a transaction that only the primary accepts."""

    @property
    def is_pinned(self) -> bool:
        """Whether the session's transaction already has a connection."""
        return self._transaction is not None and self._transaction.connection is not None

    @property
    def proves_primary(self) -> bool:
        """Whether a success proves that the database had every commit at the time of sending."""
        return self.opens_primary_transaction or self._reads_by_lease

    def begin_attempt(self, target: Target | None) -> None:
        """Starts an attempt; `target` is None for a statement of a pinned transaction."""
        self._target = target
        self.opens_primary_transaction = self.begin_kind is StatementKind.BEGIN

    @property
    def begin_kind(self) -> StatementKind | None:
        """The transaction that the attempt must open first, None for none.

        A read that requires the primary runs in a transaction that only the primary accepts.
        """
        target = self._target
        if self.is_pinned or target is None or target.proof is Proof.NONE or self._reads_by_lease:
            return None
        if target.proof in (Proof.PRIMARY_TRANSACTION, Proof.LEASE):
            return StatementKind.BEGIN
        return StatementKind.BEGIN_READ_ONLY if self._transaction is not None else None

    def lacks_lease(self, database_id: str) -> bool:
        """Returns whether the statement requires the primary but the lease forbids its use."""
        return self._needs_primary and not self._group.may_lead(database_id)

    @property
    def _needs_primary(self) -> bool:
        transaction, target = self._transaction, self._target
        if transaction is not None and transaction.connection is not None:
            return transaction.requires_primary
        return target is not None and target.proof is not Proof.FLOOR

    def lacks_log(self, position: LogPosition | None) -> bool:
        """Returns whether the database cannot be the primary by the position in its answer.

        A primary holds each commit that was acknowledged before the statement was sent. One that
        started again without its log answers with a lower position.
        """
        if position is None or not self._needs_primary:
            return False
        return position < self._min_primary_position

    def record_send(self) -> None:
        """Records the fencing token, and the lowest position of a primary, as of the sending."""
        self._fencing_token = self._group.primary_lease.fencing_token
        self._min_primary_position = self._group.min_primary_position

    def record_success(self, database_id: str) -> None:
        """Records the database as proven primary if only a primary could have run the statement."""
        transaction = self._transaction
        if transaction is None:
            is_confirmed = self._writes or self.opens_primary_transaction
        else:
            is_confirmed = transaction.requires_primary and not self._is_commit
        if is_confirmed:
            self._group.primary_lease.record_leadership_proof(database_id, self._fencing_token)

    @property
    def _reads_by_lease(self) -> bool:
        """Whether a read outside of transactions uses a primary already confirmed by the lease."""
        target = self._target
        return self._transaction is None and target is not None and target.proof is Proof.LEASE
