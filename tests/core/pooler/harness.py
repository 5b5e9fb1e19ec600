"""In-memory scheduler, database group and sessions for tests without sockets."""

import heapq
import itertools
from collections.abc import Callable
from dataclasses import dataclass, field

from dewledge.core.pooler.databases.group import Group
from dewledge.core.pooler.databases.group_view import DatabaseRecord, DatabaseRole
from dewledge.core.pooler.databases.locality import Locality
from dewledge.core.pooler.events import PoolingEvent, StatementAnswered
from dewledge.core.pooler.pool.database_connection import DatabaseConnection
from dewledge.core.pooler.pool.opener import Opener
from dewledge.core.pooler.sessions.client_session import ClientSession
from dewledge.core.pooler.sessions.routes import Consistency, GroupPolicy, Route, RouteTable
from dewledge.core.pooler.sessions.services import PoolServices
from dewledge.core.pooler.statements.statements import (
    Failure,
    Reply,
    Startup,
    Statement,
    StatementKind,
    TransactionState,
)
from dewledge.core.shared.positions import LogPosition
from dewledge.errors import ErrorCode

GROUP = "menus"
ROUND_TRIP = 0.002
WORK = 0.01
_WORKING = (
    StatementKind.READ,
    StatementKind.WRITE,
    StatementKind.EXECUTE,
    StatementKind.COMMIT,
)


class Timer:
    def __init__(self, callback: Callable[[], None]) -> None:
        self.callback: Callable[[], None] | None = callback

    def cancel(self) -> None:
        self.callback = None


class ModelScheduler:
    """A scheduler whose time advances only when a test calls `advance` or `freeze`."""

    def __init__(self) -> None:
        self.time = 100.0
        self._heap: list[tuple[float, int, Timer]] = []
        self._order = itertools.count()

    def now(self) -> float:
        return self.time

    def call_later(self, delay: float, callback: Callable[[], None]) -> Timer:
        timer = Timer(callback)
        heapq.heappush(self._heap, (self.time + delay, next(self._order), timer))
        return timer

    def advance(self, seconds: float) -> None:
        end = self.time + seconds
        while self._heap and self._heap[0][0] <= end:
            when, _, timer = heapq.heappop(self._heap)
            self.time = max(self.time, when)
            if timer.callback is not None:
                timer.callback()
        self.time = end

    def freeze(self, seconds: float) -> None:
        """Advances the time without running timers, like a paused process."""
        self.time += seconds


@dataclass
class Ran:
    """A statement that a database executed, with the state of the connection at that time."""

    database: str
    statement: Statement
    values: dict[str, str]
    prepared: str
    floor: LogPosition | None
    connection: int
    in_transaction: bool
    applied: LogPosition
    at: float
    caller: str = ""


@dataclass
class ModelDatabase:
    """A database with its role, log position and the faults that a test injects."""

    id: str
    role: DatabaseRole
    zone: str = "a"
    applied: LogPosition = LogPosition(1, 5)
    refuse_connections: bool = False
    silent: bool = False
    lose_answers: int = 0
    break_answers: int = 0
    fail_next: list[ErrorCode] = field(default_factory=list)
    work: float = WORK
    open_connections: int = 0
    max_connections: int = 100


class ModelGroup:
    """The databases of a group and the statements that they executed."""

    def __init__(self, scheduler: ModelScheduler) -> None:
        self.scheduler = scheduler
        self.databases = {
            "p": ModelDatabase("p", DatabaseRole.PRIMARY, "a"),
            "r1": ModelDatabase("r1", DatabaseRole.REPLICA, "b"),
            "r2": ModelDatabase("r2", DatabaseRole.REPLICA, "c"),
        }
        self.ran: list[Ran] = []
        self.commits: list[str] = []
        self.transports: list[ModelTransport] = []
        self.proxy_requests: list[StatementKind] = []
        self.positions: dict[str, LogPosition] = {}
        self.lag: dict[str, float | None] = {}
        """Replication lag in seconds by replica, None while replication is stopped. A replica that
        is absent changes its position only when a test sets it."""

    def replicate(self, source: str, position: LogPosition) -> None:
        """Schedules the application of a commit on the replicas."""
        for name, lag in self.lag.items():
            if name != source and lag is not None:
                self.scheduler.call_later(lag, lambda n=name: self._apply(n, position))  # type: ignore[misc]

    def _apply(self, name: str, position: LogPosition) -> None:
        database = self.databases[name]
        newest = max(each.applied.term for each in self.databases.values())
        follows = database.role is DatabaseRole.REPLICA and position.term == newest
        if follows and self.lag.get(name) is not None and database.applied < position:
            database.applied = position

    def promote(self, name: str) -> None:
        term = max(database.applied.term for database in self.databases.values()) + 1
        applied = self.databases[name].applied
        lost = [write for write, position in self.positions.items() if position > applied]
        for write in lost:
            del self.positions[write]
        for database in self.databases.values():
            is_new = database.id == name
            database.role = DatabaseRole.PRIMARY if is_new else DatabaseRole.REPLICA
            if is_new:
                database.applied = LogPosition(term, database.applied.offset)

    def open(
        self,
        database_id: str,
        caller: str,
        opened: Callable[[DatabaseConnection], None],
        failed: Callable[[ErrorCode], None],
        closed: Callable[[DatabaseConnection], None],
    ) -> None:
        database = self.databases[database_id]

        def finish() -> None:
            if database.refuse_connections or database.silent:
                failed(ErrorCode.DATABASE_UNREACHABLE)
            elif database.open_connections >= database.max_connections:
                failed(ErrorCode.CONNECTION_LIMIT)
            else:
                database.open_connections += 1
                transport = ModelTransport(self, database, closed, caller)
                self.transports.append(transport)
                opened(transport.connection)

        self.scheduler.call_later(ROUND_TRIP, finish)

    def record(self, name: str, revision: int, draining: bool = False) -> DatabaseRecord:
        database = self.databases[name]
        return DatabaseRecord(
            name, GROUP, "127.0.0.1:1", database.zone, database.role, draining, 3, revision
        )


class ModelTransport:
    """The database's end of a connection."""

    def __init__(
        self,
        group: ModelGroup,
        database: ModelDatabase,
        closed: Callable[[DatabaseConnection], None],
        caller: str = "",
    ) -> None:
        self.caller = caller
        self.group = group
        self.database = database
        self.connection = DatabaseConnection(database.id, self)
        self.number = len(group.transports)
        self.closed = False
        self._on_closed = closed
        self.values: dict[str, str] = {}
        self.prepared: dict[str, str] = {}
        self.state = TransactionState.IDLE
        self.plain = False
        self.written: list[str] = []

    def send(self, statement: Statement, floor: LogPosition | None) -> None:
        if self.database.silent:
            return
        delay = self.database.work if statement.kind in _WORKING else 0.0
        self.group.scheduler.call_later(ROUND_TRIP / 2 + delay, lambda: self._run(statement, floor))

    def close(self) -> None:
        self._end()
        self._on_closed(self.connection)

    def break_off(self) -> None:
        """Closes the connection from the database's side."""
        if not self.closed:
            self._end()
            self.connection.on_closed()
            self._on_closed(self.connection)

    def _end(self) -> None:
        if not self.closed:
            self.closed = True
            self.database.open_connections -= 1

    def _run(self, statement: Statement, floor: LogPosition | None) -> None:
        if self.closed or self.database.silent:
            return
        reply = self._reply(statement, floor)
        if statement.kind in _WORKING and self.database.break_answers:
            self.database.break_answers -= 1
            self.break_off()
        elif statement.kind in _WORKING and self.database.lose_answers:
            self.database.lose_answers -= 1
        else:
            self.group.scheduler.call_later(ROUND_TRIP / 2, lambda: self._deliver(reply))

    def _deliver(self, reply: Reply) -> None:
        if not self.closed:
            self.connection.on_reply(reply)

    def _reply(self, statement: Statement, floor: LogPosition | None) -> Reply:
        kind = statement.kind
        if statement.id == "-":
            self.group.proxy_requests.append(kind)
        if kind is StatementKind.DISCARD:
            self.values.clear()
            self.prepared.clear()
        elif kind is StatementKind.SET_VALUE:
            self.values[statement.name] = statement.argument
        elif kind is StatementKind.PREPARE:
            self.prepared[statement.name] = f"{statement.writes} {statement.argument}"
        elif kind is StatementKind.ROLLBACK:
            self.state, self.written = TransactionState.IDLE, []
        elif kind in (StatementKind.BEGIN, StatementKind.BEGIN_READ_ONLY):
            return self._begin(kind, floor)
        else:
            return self._work(statement, floor)
        return self._done()

    def _begin(self, kind: StatementKind, floor: LogPosition | None) -> Reply:
        if floor is not None and self.database.applied < floor:
            return self._failed(ErrorCode.NOT_FRESH)
        if kind is StatementKind.BEGIN and self.database.role is not DatabaseRole.PRIMARY:
            return self._failed(ErrorCode.NOT_PRIMARY)
        self.state = TransactionState.OPEN
        self.plain = kind is StatementKind.BEGIN
        return self._done()

    def _work(self, statement: Statement, floor: LogPosition | None) -> Reply:
        in_transaction = self.state is not TransactionState.IDLE
        leads = self.database.role is DatabaseRole.PRIMARY
        if self.database.fail_next:
            return self._failed(self.database.fail_next.pop(0))
        if floor is not None and self.database.applied < floor:
            return self._failed(ErrorCode.NOT_FRESH)
        shape = self.prepared.get(statement.name, "")
        if statement.kind is StatementKind.EXECUTE and not shape:
            return self._failed(ErrorCode.UNKNOWN_STATEMENT)
        writes = statement.kind is StatementKind.WRITE or shape.startswith("True")
        is_commit = statement.kind is StatementKind.COMMIT
        empty_commit = is_commit and not self.written
        if not leads and (writes or (in_transaction and self.plain and not empty_commit)):
            return self._failed(ErrorCode.NOT_PRIMARY)
        self.group.ran.append(
            Ran(
                self.database.id,
                statement,
                dict(self.values),
                shape,
                floor,
                self.number,
                in_transaction,
                self.database.applied,
                self.group.scheduler.time,
                self.caller,
            )
        )
        if writes and in_transaction:
            self.written.append(statement.id)
        elif writes:
            self._commit([statement.id])
        elif is_commit:
            self._commit(self.written)
            self.state, self.written = TransactionState.IDLE, []
        return self._done(("row",), f"signed-{statement.id}")

    def _commit(self, written: list[str]) -> None:
        if written:
            applied = self.database.applied
            self.database.applied = LogPosition(applied.term, applied.offset + 1)
            self.group.commits += written
            for write in written:
                self.group.positions[write] = self.database.applied
            self.group.replicate(self.database.id, self.database.applied)

    def _done(self, rows: tuple[str, ...] = (), signature: str = "-") -> Reply:
        return Reply(self.state, rows, signature, position=self.database.applied)

    def _failed(self, code: ErrorCode) -> Reply:
        if self.state is TransactionState.OPEN and code is not ErrorCode.OVERLOADED:
            self.state = TransactionState.FAILED
        return Reply(self.state, failure=Failure(code, ""), position=self.database.applied)


class ModelClient:
    """Records what a session sends to its client."""

    def __init__(self) -> None:
        self.ready = 0
        self.replies: list[tuple[str, Reply]] = []
        self.refused: Failure | None = None
        self.closed = False

    def send_ready(self) -> None:
        self.ready += 1

    def send_reply(self, statement_id: str, reply: Reply) -> None:
        self.replies.append((statement_id, reply))

    def send_refusal(self, failure: Failure) -> None:
        self.refused = failure

    def close(self) -> None:
        self.closed = True


def route(consistency: Consistency, **changes: object) -> Route:
    values: dict[str, object] = {
        "name": f"route-{consistency}",
        "database": str(consistency),
        "group": GROUP,
        "consistency": consistency,
        "statement_timeout": 0.8,
        "target_latency": 1.0,
        "priority": 1,
        "max_staleness": 1.5,
        **changes,
    }
    return Route(**values)  # type: ignore[arg-type]


class PoolerHarness:
    """The services of a process with one group of three databases."""

    def __init__(
        self,
        limit: int = 4,
        configured: bool = True,
        scheduler: ModelScheduler | None = None,
        model: ModelGroup | None = None,
        opener: Opener | None = None,
    ) -> None:
        self.scheduler = scheduler or ModelScheduler()
        self.model = model or ModelGroup(self.scheduler)
        self.events: list[PoolingEvent] = []
        self.suspected: list[str] = []
        self.services = PoolServices(self.scheduler, self.events.append)
        self.services.on_unanswered_statement = lambda group, database: self.suspected.append(
            database
        )
        locality = Locality("b", {"a": "north", "b": "north", "c": "south"})
        self.group = Group(GROUP, locality, opener or self.model, self.scheduler.now, 5.0)
        self.group.set_connection_limit(limit)
        self.services.groups[GROUP] = self.group
        self._revision = 0
        if configured:
            self.configure()

    def configure(self) -> None:
        routes = [route(consistency) for consistency in Consistency]
        self.services.routes = RouteTable(
            1, {each.database: each for each in routes}, {GROUP: GroupPolicy(GROUP, 36)}
        )
        for name in self.model.databases:
            self.announce(name)
        self.services.notify_if_configured()

    def announce(self, name: str, draining: bool = False) -> None:
        self._revision += 1
        record = self.model.record(name, self._revision, draining)
        self.group.change_view(self.group.view.with_record(record, self.scheduler.time))

    def session(
        self,
        consistency: Consistency = Consistency.READ_OWN_WRITES,
        wait: float = 0.0,
        token: str = "test",
    ) -> "SessionProbe":
        return SessionProbe(self, str(consistency), wait, token)


class SessionProbe:
    """A session with a recording client; assigns ids to the statements that it starts."""

    def __init__(
        self, harness: PoolerHarness, database: str, wait: float = 0.0, token: str = "test"
    ) -> None:
        self.harness = harness
        self.client = ModelClient()
        self.session = ClientSession("s1", harness.services, self.client)
        self.session.handle(Startup(database, token))
        harness.scheduler.advance(wait)
        self._ids = itertools.count(1)

    def start(
        self, kind: StatementKind, name: str = "", argument: str = "", writes: bool = False
    ) -> str:
        statement_id = f"{id(self)}-{next(self._ids)}"
        text = f"{kind} {argument}"
        self.session.handle(Statement(statement_id, kind, text, name, argument, writes))
        return statement_id

    def ask(
        self,
        kind: StatementKind,
        name: str = "",
        argument: str = "",
        writes: bool = False,
        wait: float = 0.3,
    ) -> Reply:
        statement_id = self.start(kind, name, argument, writes)
        self.harness.scheduler.advance(wait)
        return self.reply(statement_id)

    def reply(self, statement_id: str) -> Reply:
        replies = [reply for reply_id, reply in self.client.replies if reply_id == statement_id]
        assert len(replies) == 1, f"{len(replies)} answers"
        return replies[0]

    def read(self, wait: float = 0.3) -> Reply:
        return self.ask(StatementKind.READ, argument="thing", wait=wait)

    def write(self, wait: float = 0.3) -> Reply:
        return self.ask(StatementKind.WRITE, argument="thing data", wait=wait)

    def answered(self) -> list[StatementAnswered]:
        return [event for event in self.harness.events if isinstance(event, StatementAnswered)]
