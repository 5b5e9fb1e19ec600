"""Finds a connection for a statement: targets in order, queues, waiting for a new primary."""

import math
from collections.abc import Callable, Sequence

from dewledge.core.pooler.databases.group import SEEK_AGAIN_SECONDS, Group
from dewledge.core.pooler.load.return_moments import ReturnMoments
from dewledge.core.pooler.load.ticket import Ticket, arrival_of
from dewledge.core.pooler.load.verdict import Refuse, WaitUntil
from dewledge.core.pooler.load.wait_deadlines import FUTILE_SECONDS, WaitDeadlines
from dewledge.core.pooler.pool.database_connection import DatabaseConnection
from dewledge.core.pooler.pool.wait_event import wait_refused
from dewledge.core.pooler.pool.waiter import Demand, Denial, Waiter
from dewledge.core.pooler.sessions.routes import Consistency, Route
from dewledge.core.pooler.sessions.services import PoolServices
from dewledge.core.pooler.sessions.session_state import OpenTransaction, SessionState
from dewledge.core.pooler.statements.retry_rule import RETRY_PAUSE_SECONDS
from dewledge.core.pooler.statements.run_record import RunRecord
from dewledge.core.pooler.statements.run_timers import RunTimers
from dewledge.core.pooler.statements.statements import Failure
from dewledge.core.pooler.statements.targets import Proof, ReadNeed, Target
from dewledge.errors import ErrorCode

LEAST_PAUSE_SECONDS = 0.001
"""A timer is no more exact."""
WAY_SECONDS = 0.1
"""Of a statement's time, for its way to a database of another region, the answer's way back to the
client, and a busy process at each end: two round trips of 40 ms."""
LEAST_TURN_SECONDS = 0.1
"""A read waits so long before one database at least, though another may serve it: some times the
work of a statement, and two round trips between regions."""
TURN_COMPLETIONS = 2.0
"""Nor longer than so many times what the next best database was expected to take in all: by then
it would have been served there even if that was expected wrongly by as much."""
LONGEST_HOLD_SECONDS = 0.25
"""A read is kept for a lagging replica within this of its arrival: a lag is foreseen from the last
answers, and one of a replica that receives nothing grows with each moment it is waited for."""
FIXED_WAIT_SECONDS = 0.25
"""Where waits aren't judged by use: a quarter of the latency that the slowest routes aim at."""
COME_BACK_OVERLOADED_MS = 100
"""Told where no queue told when it will have room."""
COME_BACK_NO_PRIMARY_MS = 500
"""A primary is usually replaced within a second or two, most of which whoever is told has waited
for already."""
MILLISECONDS = 1000


class DatabaseSearch:
    """The search of one statement; it may go on after an attempt that surely did not run."""

    def __init__(
        self,
        services: PoolServices,
        group: Group,
        route: Route,
        session: SessionState,
        writes: bool,
        record: RunRecord,
        timers: RunTimers,
        found: Callable[[DatabaseConnection], None],
        gave_up: Callable[[int], None],
        arrived: float,
    ) -> None:
        """`arrived`: when the statement came.

        gave_up: gets the milliseconds after which the client may come back.
        """
        self._services = services
        self._group = group
        self._route = route
        self._session = session
        self._writes = writes
        self._record = record
        self._timers = timers
        self._found = found
        self._gave_up = gave_up
        self._arrived = arrived
        self._targets: list[Target] = []
        self._planned_at = arrived
        self._waiter: Waiter | None = None
        self._waits_for_primary = False
        self._is_seeking_proof = False
        self._has_waited_for_proof = False
        self._is_searching = False
        self._room_at: dict[str, float] = {}
        """When a database that refused the statement said it would have room."""
        self._tried_at: dict[str, float] = {}
        """When each database was first asked."""
        self._futile: set[str] = set()
        """The databases that it is no use to ask again."""
        self.is_useful = services.load_policy.useful_waits
        self.first_arrived = arrival_of(session.ticket, route.priority, arrived)
        """When the operation first came, refusals included."""
        latest = arrived + max(route.statement_timeout - WAY_SECONDS, 0.0)
        self._latest = latest
        self.give_up_at = latest if self.is_useful else arrived + FIXED_WAIT_SECONDS
        self.turn_ends_at = self.give_up_at
        """Until then it waits for a slot of its target."""
        self.in_time_until = self.first_arrived + route.target_latency - WAY_SECONDS
        self.target: Target | None = None

    def start(self) -> None:
        """Begins the search, or begins it anew."""
        self._is_searching = True
        self._timers.limit(self.give_up_at, self._give_up)
        self._plan()

    def go_on(self) -> None:
        """Tries the next target, or gives up if the time is over."""
        if self._services.scheduler.now() >= self.give_up_at:
            self._is_searching = True
            self._give_up()
            return
        self._is_searching = True
        self._timers.limit(self.give_up_at, self._give_up)
        if self._targets or not self._is_last_futile:
            self._try_next()
        else:
            self._plan()

    @property
    def _is_last_futile(self) -> bool:
        return self.target is not None and self.target.database.id in self._futile

    def end(self) -> None:
        """Withdraws from queues."""
        self._is_searching = False
        if self._is_seeking_proof:
            self._is_seeking_proof = False
            self._group.end_seeking()
        if self._waiter is not None:
            self._waiter.withdrawn = True
            self._waiter = None

    def note_refused(self, failure: Failure) -> None:
        """The target has no room for the statement; it may have said when it will."""
        if not self.is_useful or self.target is None:
            return
        if failure.code is not ErrorCode.OVERLOADED:
            return
        database_id = self.target.database.id
        pool = self._group.pool(database_id)
        now = self._services.scheduler.now()
        tried_at = self._tried_at.get(database_id, now)
        if failure.come_back_ms:
            self._room_at[database_id] = now + failure.come_back_ms / MILLISECONDS
            if now - tried_at >= FUTILE_SECONDS:
                self._futile.add(database_id)
        elif now - max(tried_at, pool.served_at) >= FUTILE_SECONDS:
            self._room_at[database_id] = now + pool.promise_return()
            self._futile.add(database_id)

    def note_served(self) -> None:
        """The statement ran: the place that it kept is no longer needed."""
        self._session.ticket = None

    def _plan(self) -> None:
        self._planned_at = self._services.scheduler.now()
        found = self._find_targets(self._session.transaction)
        self._targets = [target for target in found if self._may_try(target)]
        if found and not self._targets:
            if all(target.database.id in self._futile for target in found):
                self._give_up()
                return
            asked = [it.database.id for it in found if it.database.id not in self._futile]
            self._wait_for_room(min(self._room_at[database_id] for database_id in asked))
            return
        if self._lacks_floor(found) and not self._is_seeking_proof:
            if not self._has_waited_for_proof and not self._group.may_seek_proof():
                self._has_waited_for_proof = True
                self._group.wait_for_proof(self._resume)
                self._timers.pause(SEEK_AGAIN_SECONDS, self._resume)
                return
            self._is_seeking_proof = True
            self._group.begin_seeking()
        self._try_next()

    def _may_try(self, target: Target) -> bool:
        """Tells whether the target has not said that it has no room yet."""
        if target.database.id in self._futile:
            return False
        return self._room_at.get(target.database.id, 0.0) <= self._services.scheduler.now()

    def _lacks_floor(self, found: Sequence[Target]) -> bool:
        """Tells whether a replica could serve the read if only a floor were known."""
        is_replica_read = self._route.consistency is not Consistency.PRIMARY and not self._writes
        transaction = self._session.transaction
        if not is_replica_read or (transaction is not None and not transaction.read_only):
            return False
        return bool(found) and all(target.proof is not Proof.FLOOR for target in found)

    def _find_targets(self, transaction: OpenTransaction | None) -> Sequence[Target]:
        need = ReadNeed(self._arrived, self._session.floor, self._session.caller)
        if transaction is None:
            return self._group.targets(self._route, self._writes, need)
        if transaction.read_only:
            return self._group.targets(self._route, False, need)
        primary = self._group.usable_primary
        return [] if primary is None else [Target(primary, Proof.LEAD)]

    def _try_next(self) -> None:
        if not self._is_searching:
            return
        while self._targets and not self._may_try(self._targets[0]):
            self._targets.pop(0)
        if not self._targets:
            self._wait_and_plan()
            return
        self.target = self._targets.pop(0)
        held_back = self._seconds_until_ready(self.target)
        if held_back > 0.0:
            self._timers.pause(held_back, self._wait_is_over(self.target))
        else:
            self._take(self.target)

    def _seconds_until_ready(self, target: Target) -> float:
        """Returns for how long a read is kept here, until a replica probably has its position.

        Sent before, it would be refused there and cost a detour. Not beyond the time to give up.
        """
        if target.expected is None:
            return 0.0
        now = self._services.scheduler.now()
        ready_at = self._planned_at + target.expected.position
        latest = min(self.give_up_at, self._arrived + LONGEST_HOLD_SECONDS)
        return ready_at - now if ready_at < latest else 0.0

    def _wait_is_over(self, target: Target) -> Callable[[], None]:
        def take() -> None:
            if self._is_searching and self._waiter is None and self.target is target:
                self._take(target)

        return take

    def _take(self, target: Target) -> None:
        self._group.note_tried(target.database.id)
        self._tried_at.setdefault(target.database.id, self._services.scheduler.now())
        self.turn_ends_at = self._end_of_turn()
        is_single = self._session.transaction is None
        demand = Demand.SINGLE if is_single else Demand.TRANSACTION
        waiter = Waiter(
            self._route.priority,
            self._given,
            self._denied,
            demand,
            self._session.caller,
            self._patience(),
        )
        self._waiter = waiter
        self._group.pool(target.database.id).acquire(waiter, self._session.values)
        self._judge_later(waiter)

    def _end_of_turn(self) -> float:
        """Returns until when the statement waits before its target, if another may serve it."""
        alternative = self._targets[0].expected if self._targets else None
        if alternative is None:
            return self.give_up_at
        turn = max(alternative.seconds * TURN_COMPLETIONS, LEAST_TURN_SECONDS)
        return min(self.give_up_at, self._services.scheduler.now() + turn)

    def _patience(self) -> WaitDeadlines:
        now = self._services.scheduler.now()
        if not self.is_useful:
            return WaitDeadlines(now, now)
        return WaitDeadlines(self.first_arrived, now, self.in_time_until, self.turn_ends_at)

    def _judge_later(self, waiter: Waiter) -> None:
        """Has the queue judge a statement that waits there anew, when it is time."""
        if self._waiter is not waiter or not self.is_useful or self.target is None:
            return
        verdict = self._group.pool(self.target.database.id).judge(waiter)
        if isinstance(verdict, WaitUntil):
            self._timers.limit(verdict.at, lambda: self._judge_later(waiter))

    def _wait_for_room(self, moment: float) -> None:
        """All targets told when they will have room: the statement is back then, or refused."""
        now = self._services.scheduler.now()
        if moment > self.give_up_at:
            self._give_up()
        else:
            self._timers.pause(max(moment - now, LEAST_PAUSE_SECONDS), self._resume)

    def _wait_and_plan(self) -> None:
        if self._group.usable_primary is not None:
            self._timers.pause(RETRY_PAUSE_SECONDS, self._resume)
            return
        if not self._waits_for_primary:
            self._waits_for_primary = True
            self.give_up_at = max(self.give_up_at, self._latest)
            self._timers.limit(self.give_up_at, self._give_up)
        self._group.wait_for_primary(self._resume)

    def _resume(self) -> None:
        if self._is_searching and self._waiter is None:
            self._plan()

    def _given(self, connection: DatabaseConnection) -> None:
        self._waiter = None
        self._is_searching = False
        self._found(connection)

    def _denied(self, denial: Denial) -> None:
        waiter, self._waiter = self._waiter, None
        self._timers.limit(self.give_up_at, self._give_up)
        self._record.note("", self.target, f"denied_{denial}")
        if waiter is not None and waiter.refusal is not None and self.target is not None:
            self._note_no_room(waiter, waiter.refusal, self.target.database.id)
        if denial is Denial.UNREACHABLE and self.target is not None:
            self._services.suspect(self._route.group, self.target.database.id)
        self._try_next()

    def _note_no_room(self, waiter: Waiter, refusal: Refuse, database_id: str) -> None:
        now = self._services.scheduler.now()
        self._room_at[database_id] = now + refusal.come_back_seconds
        group, statement = self._route.group, self._record.statement_id
        self._services.record(wait_refused(group, database_id, statement, waiter, now))

    def _give_up(self) -> None:
        if not self._is_searching:
            return
        self.end()
        self._record.note("", self.target, "given_up")
        seconds = self._come_back_in()
        now = self._services.scheduler.now()
        self._session.ticket = Ticket(self.first_arrived, now + seconds, self._route.priority)
        self._gave_up(math.ceil(seconds * MILLISECONDS))

    def _come_back_in(self) -> float:
        """Returns the seconds until there will be room, as far as anybody knows."""
        has_no_primary = self._waits_for_primary and self._group.usable_primary is None
        least_ms = COME_BACK_NO_PRIMARY_MS if has_no_primary else COME_BACK_OVERLOADED_MS
        if not self.is_useful:
            return least_ms / MILLISECONDS
        now = self._services.scheduler.now()
        known = [moment - now for moment in self._room_at.values() if moment > now]
        if known:
            return min(known)
        if self.target is not None and not has_no_primary:
            return self._group.pool(self.target.database.id).promise_return()
        returns = self._services.returns.setdefault(self._route.group, ReturnMoments())
        return returns.promise(now, least_ms / MILLISECONDS)
