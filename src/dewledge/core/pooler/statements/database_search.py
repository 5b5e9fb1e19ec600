"""Finds a database connection for one statement.

The search tries the candidate databases in order, waits in one pool queue at a time and, if the
group has no primary, waits for the next one. StatementDeadlines limits the waits,
ExhaustedDatabases records which databases must not be tried again, and retry_rule.py decides
whether the search continues after a failed attempt.
"""

import math
from collections.abc import Callable, Sequence

import msgspec

from dewledge.core.pooler.databases.proof_request import PROOF_REQUEST_TIMEOUT_SECONDS
from dewledge.core.pooler.load.ticket import Ticket
from dewledge.core.pooler.load.verdict import Refuse, WaitUntil
from dewledge.core.pooler.pool.database_connection import DatabaseConnection
from dewledge.core.pooler.pool.wait_event import wait_refused
from dewledge.core.pooler.pool.waiter import Demand, Denial, Waiter
from dewledge.core.pooler.sessions.routes import Consistency
from dewledge.core.pooler.sessions.session_state import OpenTransaction
from dewledge.core.pooler.statements.retry_rule import RETRY_PAUSE_SECONDS
from dewledge.core.pooler.statements.run_record import RunRecord
from dewledge.core.pooler.statements.run_timers import RunTimers
from dewledge.core.pooler.statements.statement_deadlines import StatementDeadlines
from dewledge.core.pooler.statements.statement_scope import StatementScope
from dewledge.core.pooler.statements.statements import Failure
from dewledge.core.pooler.statements.targets import Proof, ReadRequirements, Target
from dewledge.core.pooler.statements.wait_strategy import WaitStrategy
from dewledge.core.shared.units import MILLISECONDS_PER_SECOND
from dewledge.errors import ErrorCode

MIN_PAUSE_SECONDS = 0.001
"""Minimum pause before the search tries a database again; timers are no more precise than this."""


class SearchCallbacks(msgspec.Struct, frozen=True):
    """Callbacks for the end of a search.

    found: receives the connection. gave_up: receives the retry delay for the client, milliseconds.
    """

    found: Callable[[DatabaseConnection], None]
    gave_up: Callable[[int], None]


class DatabaseSearch:
    """Searches for a connection for one statement; can continue after a failed attempt."""

    def __init__(
        self,
        scope: StatementScope,
        strategy: WaitStrategy,
        deadlines: StatementDeadlines,
        record: RunRecord,
        timers: RunTimers,
        callbacks: SearchCallbacks,
    ) -> None:
        self._scope = scope
        self._services = scope.services
        self._group = scope.group
        self._route = scope.route
        self._session = scope.session
        self._writes = scope.writes
        self._strategy = strategy
        self._deadlines = deadlines
        self._record = record
        self._timers = timers
        self._callbacks = callbacks
        self._exhausted = strategy.exhausted_databases(scope)
        self._targets: list[Target] = []
        self._targets_found_at = deadlines.arrived
        self._waiter: Waiter | None = None
        self._waits_for_primary = False
        self._is_fetching_proof = False
        self._has_waited_for_proof = False
        self._is_searching = False
        self.target: Target | None = None
        """The database tried now or most recently."""

    def start(self) -> None:
        """Starts the search with a new list of candidate databases."""
        self._is_searching = True
        self._timers.set_limit(self._deadlines.give_up_at, self._give_up)
        self._find_and_try()

    def continue_search(self) -> None:
        """Continues with the next candidate, or gives up if the time limit has passed."""
        if self._services.scheduler.now() >= self._deadlines.give_up_at:
            self._is_searching = True
            self._give_up()
            return
        self._is_searching = True
        self._timers.set_limit(self._deadlines.give_up_at, self._give_up)
        if self._targets or not self._is_last_exhausted:
            self._try_next()
        else:
            self._find_and_try()

    @property
    def _is_last_exhausted(self) -> bool:
        return self.target is not None and self._exhausted.is_exhausted(self.target.database.id)

    def stop(self) -> None:
        """Ends the search and leaves the pool queue."""
        self._is_searching = False
        if self._is_fetching_proof:
            self._is_fetching_proof = False
            self._group.end_proof_request()
        if self._waiter is not None:
            self._waiter.withdrawn = True
            self._waiter = None

    def record_refusal(self, failure: Failure) -> None:
        """Records the refusal if the current target is overloaded; ignores other failures."""
        if self.target is None or failure.code is not ErrorCode.OVERLOADED:
            return
        now = self._services.scheduler.now()
        self._exhausted.record_overload(self.target.database.id, failure, now)

    def clear_ticket(self) -> None:
        """Clears the ticket of an earlier refusal, because the statement has now succeeded."""
        self._session.ticket = None

    def _find_and_try(self) -> None:
        self._targets_found_at = self._services.scheduler.now()
        targets = self._find_targets(self._session.transaction)
        self._targets = [target for target in targets if self._may_try(target)]
        if targets and not self._targets:
            self._wait_for_capacity(targets)
        elif not self._wait_for_proof(targets):
            self._try_next()

    def _may_try(self, target: Target) -> bool:
        """Returns whether the target may be tried now, given its earlier refusals."""
        return self._exhausted.may_try(target.database.id, self._services.scheduler.now())

    def _wait_for_proof(self, targets: Sequence[Target]) -> bool:
        """Makes a read without a known floor wait while another read fetches one from the primary.

        Returns False if the read need not wait; it then fetches the floor itself if one is missing.
        """
        if not self._lacks_floor(targets) or self._is_fetching_proof:
            return False
        if not self._has_waited_for_proof and not self._group.may_request_proof():
            self._has_waited_for_proof = True
            self._group.wait_for_proof(self._resume)
            self._timers.resume_after(PROOF_REQUEST_TIMEOUT_SECONDS, self._resume)
            return True
        self._is_fetching_proof = True
        self._group.begin_proof_request()
        return False

    def _lacks_floor(self, targets: Sequence[Target]) -> bool:
        """Returns whether only a missing floor prevents replicas from serving the read."""
        is_replica_read = self._route.consistency is not Consistency.PRIMARY and not self._writes
        transaction = self._session.transaction
        if not is_replica_read or (transaction is not None and not transaction.read_only):
            return False
        return bool(targets) and all(target.proof is not Proof.FLOOR for target in targets)

    def _find_targets(self, transaction: OpenTransaction | None) -> Sequence[Target]:
        need = ReadRequirements(self._deadlines.arrived, self._session.floor, self._session.caller)
        if transaction is None:
            return self._group.targets(self._route, self._writes, need)
        if transaction.read_only:
            return self._group.targets(self._route, False, need)
        primary = self._group.usable_primary
        return [] if primary is None else [Target(primary, Proof.PRIMARY_TRANSACTION)]

    def _try_next(self) -> None:
        if not self._is_searching:
            return
        while self._targets and not self._may_try(self._targets[0]):
            self._targets.pop(0)
        if not self._targets:
            self._wait_and_retry()
            return
        self.target = self._targets.pop(0)
        delay = self._seconds_until_ready(self.target)
        if delay > 0.0:
            self._timers.resume_after(delay, self._acquire_later(self.target))
        else:
            self._acquire(self.target)

    def _seconds_until_ready(self, target: Target) -> float:
        """Returns the delay until the replica is expected to have applied the required position.

        A read that is sent earlier would be refused there. Returns 0, for no delay, if the
        wait would last too long.
        """
        if target.expected is None:
            return 0.0
        now = self._services.scheduler.now()
        ready_at = self._targets_found_at + target.expected.position
        return ready_at - now if ready_at < self._deadlines.replica_wait_until else 0.0

    def _acquire_later(self, target: Target) -> Callable[[], None]:
        def acquire() -> None:
            if self._is_searching and self._waiter is None and self.target is target:
                self._acquire(target)

        return acquire

    def _acquire(self, target: Target) -> None:
        self._group.record_sent(target.database.id)
        now = self._services.scheduler.now()
        self._exhausted.record_tried(target.database.id, now)
        self._deadlines.begin_target_wait(now, self._targets[0].expected if self._targets else None)
        is_single = self._session.transaction is None
        demand = Demand.SINGLE if is_single else Demand.TRANSACTION
        waiter = Waiter(
            self._route.priority,
            self._on_connection,
            self._on_denied,
            demand,
            self._session.caller,
            self._deadlines.queue_deadlines(now),
        )
        self._waiter = waiter
        self._group.pool(target.database.id).acquire(waiter, self._session.values)
        self._reassess_later(waiter)

    def _reassess_later(self, waiter: Waiter) -> None:
        """Lets the pool re-evaluate the wait each time its verdict expires."""
        if self._waiter is not waiter or self.target is None:
            return
        verdict = self._strategy.reassess(self._group.pool(self.target.database.id), waiter)
        if isinstance(verdict, WaitUntil):
            self._timers.set_limit(verdict.at, lambda: self._reassess_later(waiter))

    def _wait_for_capacity(self, targets: Sequence[Target]) -> None:
        """Pauses until the first target is expected to have capacity.

        Gives up if that is too late, or if all targets are exhausted.
        """
        capacity_at = self._exhausted.next_capacity_at(target.database.id for target in targets)
        if capacity_at is None or capacity_at > self._deadlines.give_up_at:
            self._give_up()
            return
        now = self._services.scheduler.now()
        self._timers.resume_after(max(capacity_at - now, MIN_PAUSE_SECONDS), self._resume)

    def _wait_and_retry(self) -> None:
        if self._group.usable_primary is not None:
            self._timers.resume_after(RETRY_PAUSE_SECONDS, self._resume)
            return
        if not self._waits_for_primary:
            self._waits_for_primary = True
            self._deadlines.extend_for_primary()
            self._timers.set_limit(self._deadlines.give_up_at, self._give_up)
        self._group.wait_for_primary(self._resume)

    def _resume(self) -> None:
        if self._is_searching and self._waiter is None:
            self._find_and_try()

    def _on_connection(self, connection: DatabaseConnection) -> None:
        self._waiter = None
        self._is_searching = False
        self._callbacks.found(connection)

    def _on_denied(self, denial: Denial) -> None:
        waiter, self._waiter = self._waiter, None
        self._timers.set_limit(self._deadlines.give_up_at, self._give_up)
        self._record.record_attempt("", self.target, f"denied_{denial}")
        if waiter is not None and waiter.refusal is not None and self.target is not None:
            self._record_refused_wait(waiter, waiter.refusal, self.target.database.id)
        if denial is Denial.UNREACHABLE and self.target is not None:
            self._services.on_unanswered_statement(self._route.group, self.target.database.id)
        self._try_next()

    def _record_refused_wait(self, waiter: Waiter, refusal: Refuse, database_id: str) -> None:
        now = self._services.scheduler.now()
        self._exhausted.record_capacity_at(database_id, now + refusal.come_back_seconds)
        group, statement = self._route.group, self._record.statement_id
        self._services.record(wait_refused(group, database_id, statement, waiter, now))

    def _give_up(self) -> None:
        if not self._is_searching:
            return
        self.stop()
        self._record.record_attempt("", self.target, "given_up")
        seconds = self._strategy.retry_after_seconds(
            self._scope, self.target, self._exhausted, self._lacks_primary
        )
        now = self._services.scheduler.now()
        first_arrived = self._deadlines.first_arrived
        self._session.ticket = Ticket(first_arrived, now + seconds, self._route.priority)
        self._callbacks.gave_up(math.ceil(seconds * MILLISECONDS_PER_SECOND))

    @property
    def _lacks_primary(self) -> bool:
        return self._waits_for_primary and self._group.usable_primary is None
