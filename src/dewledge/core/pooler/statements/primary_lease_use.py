"""Whether one statement may use its database as primary, and what its success shows of that one.

Inputs: the target chosen, the client's transaction, the group's lease at this moment. Decision:
whether the statement needs the lead and the database may not be used so; which transaction has to
be opened so that the database proves its lead. Reason: the rule of the lease is in
core/pooler/failover/primary_lease.py, which says who may use a primary; here is when one statement
asks: before it is sent, and when its answer comes.
"""

from dewledge.core.pooler.databases.group import Group
from dewledge.core.pooler.sessions.session_state import OpenTransaction
from dewledge.core.pooler.statements.statements import StatementKind
from dewledge.core.pooler.statements.targets import Proof, Target


class PrimaryLeaseUse:
    """The use of a primary by one statement, in one attempt after the other; `plan` begins each."""

    def __init__(
        self, group: Group, transaction: OpenTransaction | None, writes: bool, is_commit: bool
    ) -> None:
        """`transaction`: the client's, None for a statement outside of transactions."""
        self._group = group
        self._transaction = transaction
        self._writes = writes
        self._is_commit = is_commit
        self._target: Target | None = None
        self._fencing_token = 0
        self.has_begun = False
        """Whether the attempt opens a transaction that only a primary opens."""

    @property
    def is_pinned(self) -> bool:
        """Whether the client's transaction has its connection already."""
        return self._transaction is not None and self._transaction.connection is not None

    @property
    def proves(self) -> bool:
        """Whether a success shows that the database held every commit when it was sent."""
        return self.has_begun or self._reads_by_lease

    def plan(self, target: Target | None) -> None:
        """An attempt begins; `target` is None for a statement of a pinned transaction."""
        self._target = target
        self.has_begun = self.begin_kind is StatementKind.BEGIN

    @property
    def begin_kind(self) -> StatementKind | None:
        """A read that must come from the primary runs in a transaction that only it opens."""
        target = self._target
        if self.is_pinned or target is None or target.proof is Proof.NONE or self._reads_by_lease:
            return None
        if target.proof in (Proof.LEAD, Proof.RIGHT):
            return StatementKind.BEGIN
        return StatementKind.BEGIN_READ_ONLY if self._transaction is not None else None

    def is_lacking(self, database_id: str) -> bool:
        """Tells whether the database would have to lead, and may not be used as primary now."""
        transaction, target = self._transaction, self._target
        if transaction is not None and transaction.connection is not None:
            needs_lead = transaction.leads
        else:
            needs_lead = target is not None and target.proof is not Proof.FLOOR
        return needs_lead and not self._group.may_lead(database_id)

    def note_sending(self) -> None:
        """The statement leaves now."""
        self._fencing_token = self._group.right.fencing_token

    def note_success(self, database_id: str) -> None:
        """The statement succeeded: the database leads if it would have refused it otherwise."""
        transaction = self._transaction
        if transaction is None:
            has_shown_lead = self._writes or self.has_begun
        else:
            has_shown_lead = transaction.leads and not self._is_commit
        if has_shown_lead:
            self._group.right.prove(database_id, self._fencing_token)

    @property
    def _reads_by_lease(self) -> bool:
        """Whether this is a single read whose database need not prove its lead once more."""
        target = self._target
        return self._transaction is None and target is not None and target.proof is Proof.RIGHT
