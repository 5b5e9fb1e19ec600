"""A database group as a pure model: SQL, sessions, replication, elections, faults and a history.

It has no threads, sockets or clock: every call carries `now` in seconds, never going back. The
stand-in server and the simulator drive the same model. A primary commits without waiting for the
others, so one that is cut off goes on accepting writes that a newer term will drop.
"""

from collections import deque
from collections.abc import Callable
from random import Random

from dewledge.core.proxy.calls import Access, Statement
from dewledge.core.proxy.database_status import DatabaseRole, DatabaseStatus
from dewledge.core.proxy.ports import ExecutionResult
from dewledge.errors import ConnectionBroken, ConnectionLimitReached, ConnectRefused
from dewledge.standin.database_node import DatabaseNode
from dewledge.standin.election import Election
from dewledge.standin.group_messages import (
    Append,
    AppendRejected,
    GroupMessage,
    VoteReply,
    VoteRequest,
)
from dewledge.standin.group_schedule import Schedule
from dewledge.standin.group_sessions import Session, require_primary, result_of
from dewledge.standin.group_transport import GroupTransport
from dewledge.standin.group_types import (
    ActivityEntry,
    ActivityKind,
    DatabaseNotAnswering,
    GroupTiming,
    HistoryEntry,
    LagStage,
    LogEntry,
    ModelDatabase,
)
from dewledge.standin.replication import Replication

ACTIVITY_LIMIT = 200_000


class GroupModel:
    """A group of databases; the first one named starts as primary of term 1."""

    def __init__(
        self,
        name: str,
        databases: tuple[ModelDatabase, ...],
        timing: GroupTiming,
        random: Random,
        now: float = 0.0,
    ) -> None:
        self.name = name
        self.databases = databases
        self.history: list[HistoryEntry] = []
        self.activity: deque[ActivityEntry] = deque(maxlen=ACTIVITY_LIMIT)
        self._timing = timing
        self._nodes = {item.name: DatabaseNode(item, timing, random) for item in databases}
        self._sessions: dict[int, Session] = {}
        self._last_session = 0
        self._schedule = Schedule()
        names = tuple(self._nodes)
        self._transport = GroupTransport(self._nodes, self._schedule, timing, self._handle)
        send = self._transport.send
        self._election = Election(names, send, self._end_transactions)
        self._replication = Replication(self._schedule, self._election, send)
        self._start(now)

    # Time.

    def advance(self, now: float) -> None:
        """Lets everything happen that is due by `now`."""
        self._schedule.run_until(now)

    def next_event(self) -> float | None:
        """Returns when something happens next, in seconds."""
        return self._schedule.next_time()

    # Callers.

    def status(self, database: str, now: float) -> DatabaseStatus | None:
        """Returns what a database says of itself, or None if it cannot answer."""
        self.advance(now)
        node = self._nodes[database]
        if node.faults.down or node.faults.hidden:
            return None
        return node.status()

    def require_answering(self, database: str) -> None:
        """Raises DatabaseNotAnswering if requests wait, ConnectionBroken if it is down."""
        faults = self._nodes[database].faults
        if faults.down:
            raise ConnectionBroken(f"{database} is down")
        if faults.hidden:
            raise DatabaseNotAnswering(f"{database} does not answer")

    def open_session(self, database: str, now: float) -> int:
        """Opens a connection.

        Raises ConnectRefused or ConnectionLimitReached.
        """
        self.advance(now)
        node = self._nodes[database]
        if node.faults.down or node.faults.hidden:
            raise ConnectRefused(f"{database} does not answer")
        limit = node.description.max_connections
        if self.open_sessions(database) >= limit:
            raise ConnectionLimitReached(f"{database} has all its {limit} connections open")
        self._last_session += 1
        session = Session(self._last_session, node)
        self._sessions[session.identity] = session
        self._record(session, ActivityKind.OPEN, now)
        return session.identity

    def close_session(self, session: int, now: float) -> None:
        """Closes a connection; an open transaction is rolled back. A closed one is no error."""
        self.advance(now)
        closed = self._sessions.pop(session, None)
        if closed is not None:
            self._record(closed, ActivityKind.CLOSE, now)

    def open_sessions(self, database: str) -> int:
        """Returns how many connections a database has."""
        return sum(1 for item in self._sessions.values() if item.node.name == database)

    def execute(
        self, session: int, statement: Statement, access: Access, now: float
    ) -> ExecutionResult:
        """Runs a statement, in the session's open transaction or else on its own.

        Raises StatementRefused, StatementFailed, ConnectionBroken or DatabaseNotAnswering.
        """
        kind = ActivityKind.READ if access is Access.READ else ActivityKind.WRITE
        found = self._session(session, kind, now)
        if found.steps is not None or found.lost:
            return found.run_step(statement, access)
        node = found.node
        if access is Access.READ:
            return result_of(node, node.state.read(statement))
        require_primary(node)
        rows = node.state.write(statement)
        self._append(found, (statement,), now)
        return result_of(node, rows)

    def begin(self, session: int, now: float) -> ExecutionResult:
        """Begins a transaction, on a primary only. Raises as `execute` does."""
        return self._session(session, ActivityKind.BEGIN, now).begin()

    def commit(self, session: int, now: float) -> ExecutionResult:
        """Commits. Raises as `execute` does; TransactionConflict if another one came first."""
        found = self._session(session, ActivityKind.COMMIT, now)
        steps = found.take_steps()
        found.node.state.commit(steps)
        writes = tuple(item.statement for item in steps if item.access is Access.WRITE)
        if writes:
            self._append(found, writes, now)
        return result_of(found.node)

    def rollback(self, session: int, now: float) -> ExecutionResult:
        """Rolls back. Raises ConnectionBroken or DatabaseNotAnswering."""
        return self._session(session, ActivityKind.ROLLBACK, now).rollback()

    # Faults.

    def cut_off(self, database: str, from_callers: bool, now: float) -> None:
        """Cuts a database off from the rest of its group, and from its callers if asked."""
        self.advance(now)
        faults = self._nodes[database].faults
        faults.cut_off = True
        faults.cut_off_from_callers = from_callers

    def heal(self, database: str, now: float) -> None:
        """Ends a cut-off."""
        self.advance(now)
        faults = self._nodes[database].faults
        faults.cut_off = False
        faults.cut_off_from_callers = False

    def freeze(self, database: str, now: float) -> None:
        """Stops a database where it stands; what reaches it waits."""
        self.advance(now)
        self._nodes[database].faults.frozen = True

    def thaw(self, database: str, now: float) -> None:
        """Lets a frozen database go on; it only now gets what was sent to it."""
        self.advance(now)
        node = self._nodes[database]
        node.faults.frozen = False
        self._transport.deliver_waiting(node, now)

    def kill(self, database: str, now: float) -> None:
        """Ends a database's process: its connections break, its log stays."""
        self.advance(now)
        self.reset_connections(database, now)
        node = self._nodes[database]
        node.faults.down = True
        node.faults.frozen = False
        node.waiting_messages = []
        node.role = DatabaseRole.REPLICA

    def restart(self, database: str, now: float) -> None:
        """Starts a killed database, as a replica with the log it had."""
        self.advance(now)
        node = self._nodes[database]
        if not node.faults.down:
            return
        node.faults.down = False
        node.rebuild(len(node.log.entries))
        node.delay_election(now)

    def set_lag(
        self, database: str, seconds: float, now: float, stage: LagStage = LagStage.RECEIVE
    ) -> None:
        """Makes a replica receive (and so apply), or only apply, the log `seconds` late."""
        self.advance(now)
        faults = self._nodes[database].faults
        faults.receive_lag = seconds if stage is LagStage.RECEIVE else 0.0
        faults.apply_lag = seconds if stage is LagStage.APPLY else 0.0

    def reset_connections(self, database: str, now: float) -> None:
        """Breaks all connections to a database; open transactions are rolled back."""
        self.advance(now)
        for session in [item for item in self._sessions.values() if item.node.name == database]:
            self.close_session(session.identity, now)

    def lose_answers(self, database: str, count: int, now: float) -> None:
        """Breaks the connection after each of the next `count` commits has taken effect."""
        self.advance(now)
        self._nodes[database].faults.answers_to_lose = count

    # What happened.

    def surviving_log(self) -> tuple[LogEntry, ...]:
        """Returns the log on the branch of the newest term."""
        newest = max(self._nodes.values(), key=lambda node: node.log.position)
        return tuple(newest.log.entries)

    def primaries(self) -> tuple[str, ...]:
        """Returns the databases that believe themselves primary, newest term first."""
        found = [node for node in self._nodes.values() if node.is_primary]
        return tuple(node.name for node in sorted(found, key=lambda node: -node.term))

    # Inside.

    def _start(self, now: float) -> None:
        for index, node in enumerate(self._nodes.values()):
            node.heard_from_primary(now)
            stagger = self._timing.heartbeat * index / len(self._nodes)
            self._schedule.add(now + stagger, self._tick_of(node))
        first = next(iter(self._nodes.values()))
        first.role = DatabaseRole.PRIMARY
        first.voted_for = first.name
        first.sent_lengths = {name: 0 for name in self._nodes if name != first.name}

    def _tick_of(self, node: DatabaseNode) -> Callable[[float], None]:
        def tick(now: float) -> None:
            self._schedule.add(now + self._timing.heartbeat, tick)
            if node.faults.halted:
                return
            if node.is_primary:
                self._replication.send_log(node, now)
            elif now >= node.election_deadline:
                self._election.seek(node, now)

        return tick

    def _session(self, session: int, kind: ActivityKind, now: float) -> Session:
        self.advance(now)
        found = self._sessions.get(session)
        if found is None:
            raise ConnectionBroken(f"session {session} is closed")
        if found.node.faults.hidden:
            raise DatabaseNotAnswering(f"{found.node.name} does not answer")
        self._record(found, kind, now)
        return found

    def _append(self, session: Session, statements: tuple[Statement, ...], now: float) -> None:
        node = session.node
        entry = node.log.append(statements, session.identity)
        node.count_applied()
        position = entry.position
        self.history.append(HistoryEntry(now, node.name, position, statements, session.identity))
        self._replication.send_log(node, now)
        if node.faults.answers_to_lose > 0:
            node.faults.answers_to_lose -= 1
            self.close_session(session.identity, now)
            raise ConnectionBroken("the connection broke after the commit")

    def _end_transactions(self, node: DatabaseNode) -> None:
        for session in self._sessions.values():
            if session.node is node:
                session.lose_transaction()

    def _record(self, session: Session, kind: ActivityKind, now: float) -> None:
        self.activity.append(ActivityEntry(now, session.node.name, kind, session.identity))

    def _handle(self, node: DatabaseNode, message: GroupMessage, now: float) -> None:
        if isinstance(message, Append):
            self._replication.handle_append(node, message, now)
        elif isinstance(message, AppendRejected):
            self._replication.handle_rejected(node, message, now)
        elif isinstance(message, VoteRequest):
            self._election.handle_request(node, message, now)
        elif isinstance(message, VoteReply) and self._election.handle_reply(node, message, now):
            self._replication.send_log(node, now)
