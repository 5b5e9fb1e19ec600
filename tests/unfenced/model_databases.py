"""Databases of which an old primary goes on leading: until told, or a second after it hears."""

from collections.abc import Callable

from dewledge.core.pooler.databases.group_view import DatabaseRole
from dewledge.core.pooler.failover.messages import DatabaseStatus
from dewledge.core.pooler.failover.primary_lease import Fencing
from dewledge.core.pooler.pool.database_connection import DatabaseConnection
from dewledge.core.pooler.statements.statements import (
    Reply,
    Statement,
    StatementKind,
    TransactionState,
)
from dewledge.core.shared.positions import LogPosition
from dewledge.errors import ErrorCode
from tests.core.pooler.harness import ModelDatabase, ModelGroup, ModelTransport
from tests.unfenced.model_network import ModelNetwork, ProcessLoop

PROMOTE_SECONDS = 0.3
LEARNS_AFTER_SECONDS = 1.0
LOOK_SECONDS = 0.1


class UnfencedGroup(ModelGroup):
    """Three databases, and the moments at which promotions took effect."""

    fencing = Fencing.PROCESSES
    synchronous_replicas = 0

    def __init__(self, network: ModelNetwork) -> None:
        super().__init__(network.scheduler)
        self.network = network
        self.lag = dict.fromkeys(self.databases, 0.02)
        self.effects: list[tuple[float, str, int]] = []
        """When a database took the lead, which, and its term."""
        self.brought_back: list[str] = []
        """Promotions that put commits in force again which an earlier one had rolled back."""
        self.shown_terms: set[int] = set()
        """Terms in which a database has answered a process."""
        self._term_starts: dict[int, int] = {}
        """Offset of the log at which each term began."""
        self.role_changed: Callable[[], None] = lambda: None
        self._reached_since: dict[str, float] = {}
        self._look()

    @property
    def newest_term(self) -> int:
        return max(database.applied.term for database in self.databases.values())

    @property
    def leader(self) -> ModelDatabase:
        """The database that took the lead last; the fullest one where none leads."""
        return max(
            self.databases.values(),
            key=lambda database: (database.role is DatabaseRole.PRIMARY, database.applied),
        )

    def order(self, database_id: str) -> bool:
        database = self.databases[database_id]
        if database.silent or database.refuse_connections:
            return False
        if not self._leads_now(database):
            self.scheduler.call_later(PROMOTE_SECONDS, lambda: self._take_lead(database))
        return True

    @property
    def transport_type(self) -> type["CutTransport"]:
        """The databases' end of a connection."""
        return CutTransport

    def _leads_now(self, database: ModelDatabase) -> bool:
        """The present primary gets a promotion accepted, and nothing changes."""
        is_newest = database.applied.term == self.newest_term
        return is_newest and database.role is DatabaseRole.PRIMARY

    def step_down(self, database: ModelDatabase, term: int) -> None:
        leads = database.role is DatabaseRole.PRIMARY
        if leads and database.applied.term < term:
            database.role = DatabaseRole.REPLICA
            self.role_changed()

    def _take_lead(self, database: ModelDatabase) -> None:
        if database.silent or database.refuse_connections:
            return
        if self._leads_now(database):
            return
        kept = database.applied
        term = self.newest_term + 1
        self._begin_term(term, database.id, kept)
        for known in [k for k, position in self.positions.items() if position > kept]:
            del self.positions[known]
        for other in self.databases.values():
            if other.role is DatabaseRole.REPLICA and other.applied > kept:
                other.applied = kept
        database.role = DatabaseRole.PRIMARY
        database.applied = LogPosition(term, kept.offset)
        self.effects.append((self.scheduler.time, database.id, term))
        self.role_changed()

    def _begin_term(self, term: int, name: str, kept: LogPosition) -> None:
        # A term that no process had an answer in was read by nobody, and is known to nobody.
        later_starts = [
            start
            for begun, start in self._term_starts.items()
            if begun > kept.term and begun in self.shown_terms
        ]
        if kept.offset > min(later_starts, default=kept.offset):
            self.brought_back.append(f"{name} took the lead in term {term} with {kept}")
        self._term_starts[term] = kept.offset

    def _look(self) -> None:
        """An old primary that reaches the new one for a while becomes a replica."""
        self.scheduler.call_later(LOOK_SECONDS, self._look)
        newest = self.newest_term
        now = self.scheduler.time
        for database in self.databases.values():
            is_old = database.role is DatabaseRole.PRIMARY and database.applied.term < newest
            reaches = is_old and self._serves(database) and self._serves(self.leader)
            if not reaches or not self.network.reaches(database.id, self.leader.id):
                self._reached_since.pop(database.id, None)
            elif now >= self._reached_since.setdefault(database.id, now) + LEARNS_AFTER_SECONDS:
                self.become_replica(database)

    def become_replica(self, database: ModelDatabase) -> None:
        database.role = DatabaseRole.REPLICA
        database.applied = self.leader.applied
        self.role_changed()

    def _serves(self, database: ModelDatabase) -> bool:
        return not database.silent and not database.refuse_connections

    def _apply(self, name: str, position: LogPosition) -> None:
        leader = self.leader.id
        if self.network.reaches(leader, name) and self._serves(self.databases[name]):
            super()._apply(name, position)

    def catch_up(self) -> None:
        """Replicas that hear the leader receive what they have missed."""
        leader = self.leader
        for database in self.databases.values():
            hears = self.network.reaches(leader.id, database.id) and self._serves(database)
            if database.role is DatabaseRole.REPLICA and hears and self._serves(leader):
                database.applied = max(database.applied, leader.applied)


class ProcessOpener:
    """Opens connections for one process through the network."""

    def __init__(self, group: UnfencedGroup, name: str, loop: ProcessLoop) -> None:
        self._group = group
        self._name = name
        self._loop = loop
        self.transports: list[CutTransport] = []

    def open(
        self,
        database_id: str,
        caller: str,
        opened: Callable[[DatabaseConnection], None],
        failed: Callable[[ErrorCode], None],
        closed: Callable[[DatabaseConnection], None],
    ) -> None:
        group = self._group
        database = group.databases[database_id]

        def finish() -> None:
            reached = group.network.reaches(self._name, database_id)
            if database.refuse_connections or database.silent or not reached:
                failed(ErrorCode.DATABASE_UNREACHABLE)
                return
            database.open_connections += 1
            transport = group.transport_type(group, database, closed, self._name, self._loop)
            group.transports.append(transport)
            self.transports.append(transport)
            opened(transport.connection)

        reached = group.network.reaches(self._name, database_id)
        is_silent = database.silent or not reached
        self._loop.call_later(0.6 if is_silent else 2 * group.network.delay(), finish)

    def test(self, database_id: str, done: Callable[[bool], None]) -> None:
        database = self._group.databases[database_id]
        reached = self._group.network.reaches(self._name, database_id)
        answers = reached and not database.silent
        serves = answers and not database.refuse_connections
        delay = 2 * self._group.network.delay() if answers else 0.3
        self._loop.call_later(delay, lambda: done(serves))


class CutTransport(ModelTransport):
    """A connection that a cut silences in both directions."""

    def __init__(
        self,
        group: UnfencedGroup,
        database: ModelDatabase,
        closed: Callable[[DatabaseConnection], None],
        process: str,
        loop: ProcessLoop,
    ) -> None:
        super().__init__(group, database, closed)
        self._unfenced = group
        self._process = process
        self._loop = loop
        self._sent_at = 0.0
        self._answered_at = 0.0

    def send(self, statement: Statement, floor: LogPosition | None) -> None:
        works = statement.kind in (
            StatementKind.READ,
            StatementKind.WRITE,
            StatementKind.EXECUTE,
            StatementKind.COMMIT,
        )
        work = self.database.work if works else 0.0
        network = self._unfenced.network

        def arrived() -> None:
            self.group.scheduler.call_later(work, lambda: self._run(statement, floor))

        self._sent_at = network.carry(self._process, self.database.id, arrived, self._sent_at)

    def _run(self, statement: Statement, floor: LogPosition | None) -> None:
        if self.closed or self.database.silent or self.database.refuse_connections:
            return
        before = len(self.group.commits)
        reply = self._reply(statement, floor)
        self._answer(statement, reply, self.group.commits[before:])

    def _answer(self, statement: Statement, reply: Reply, written: list[str]) -> None:
        """Sends a reply; `written`: the writes that the statement committed."""

        def deliver() -> None:
            if reply.position is not None and not self.closed:
                self._unfenced.shown_terms.add(reply.position.term)
            self._deliver(reply)

        self._answered_at = self._unfenced.network.carry(
            self.database.id,
            self._process,
            lambda: self._loop.run(deliver),
            self._answered_at,
        )

    def _reply(self, statement: Statement, floor: LogPosition | None) -> Reply:
        if statement.kind is StatementKind.STEP_DOWN:
            self._unfenced.step_down(self.database, int(statement.argument))
        if statement.kind in (StatementKind.STEP_DOWN, StatementKind.STATUS):
            leads = self.database.role is DatabaseRole.PRIMARY
            applied = self.database.applied
            row = f"{int(leads)} {applied.term} {applied.offset}"
            return Reply(TransactionState.IDLE, (row,), position=applied)
        return super()._reply(statement, floor)


def parse_status(reply: Reply) -> DatabaseStatus | None:
    if reply.failure is not None or not reply.rows:
        return None
    leads, term, offset = (int(field) for field in reply.rows[0].split(" "))
    return DatabaseStatus(bool(leads), term, LogPosition(term, offset))
