"""Random simulation of several poolers on one group with injected faults, and its invariants."""

import random
from dataclasses import dataclass, field

from dewledge.core.pooler.databases.group_view import DatabaseRole
from dewledge.core.pooler.sessions.routes import Consistency
from dewledge.core.pooler.statements.completion_estimate import CompletionEstimator
from dewledge.core.pooler.statements.statements import Reply, StatementKind, TransactionState
from dewledge.core.shared.positions import LogPosition
from dewledge.errors import ErrorCode
from tests.core.pooler.harness import (
    ModelDatabase,
    ModelGroup,
    ModelScheduler,
    PoolerHarness,
    SessionProbe,
)
from tests.core.pooler.sharing.model_channels import SharingHarness

POOLERS = 3
SESSIONS = 9
STEP_SECONDS = 0.02
FAULTS = (
    "lose",
    "break",
    "busy",
    "lag",
    "deaf",
    "deaf",
    "heal",
    "promote",
    "crash",
    "fail",
    "doubt",
)
BOUND_SECONDS = 1.5
NO_EFFECT_CODES = frozenset(
    {
        ErrorCode.OVERLOADED,
        ErrorCode.TRANSACTION_LOST,
        ErrorCode.NOT_FRESH,
        ErrorCode.NOT_PRIMARY,
        ErrorCode.WRONG_DATABASE,
        ErrorCode.CONNECTION_LIMIT,
    }
)


class LaggingGroup(ModelGroup):
    """A group whose replicas apply commits with a lag."""

    def __init__(self, scheduler: ModelScheduler) -> None:
        super().__init__(scheduler)
        self.lag = dict.fromkeys(self.databases, 0.008)

    @property
    def primary(self) -> ModelDatabase:
        return next(d for d in self.databases.values() if d.role is DatabaseRole.PRIMARY)


@dataclass
class SentStatement:
    """A statement sent by a client, its answer, and the commits that it must show if it reads."""

    id: str
    kind: StatementKind
    at: float
    transaction: int
    transaction_at: float
    values: dict[str, str]
    reply: Reply | None = None
    answered_at: float = 0.0
    floor_commits: set[str] = field(default_factory=set)


class RandomClient:
    """A session that sends a random statement whenever it has no unanswered one."""

    def __init__(self, day: "RandomDay", probe: SessionProbe, consistency: Consistency) -> None:
        self.day = day
        self.probe = probe
        self.consistency = consistency
        self.asked: list[SentStatement] = []
        self.values: dict[str, str] = {}
        self.session_commits: set[str] = set()
        self.transaction = 0
        self.transaction_at = 0.0
        self.writes_open: list[str] = []
        self.next_at = 0.0

    def act(self, now: float) -> None:
        self._record_answer(now)
        waiting = self.asked and self.asked[-1].reply is None
        if waiting or now < self.next_at:
            return
        self.next_at = now + self.day.random.expovariate(8.0)
        self._send(self._choose_kind(), now)

    def _choose_kind(self) -> StatementKind:
        random_value = self.day.random.random()
        if self.transaction:
            if random_value < 0.15:
                return StatementKind.COMMIT
            if random_value < 0.2:
                return StatementKind.ROLLBACK
        elif random_value < 0.15:
            return StatementKind.BEGIN
        elif random_value < 0.2:
            return StatementKind.SET_VALUE
        return StatementKind.WRITE if self.day.random.random() < 0.35 else StatementKind.READ

    def _send(self, kind: StatementKind, now: float) -> None:
        if kind is StatementKind.BEGIN:
            self.transaction += 1
            self.day.transactions += 1
            self.transaction = self.day.transactions
            self.transaction_at = now
        name, value = "", "thing data"
        if kind is StatementKind.SET_VALUE:
            name, value = f"n{self.day.random.randrange(3)}", str(self.day.random.random())
            self.values[name] = value
        asked = SentStatement(
            "", kind, now, self.transaction, self.transaction_at or now, dict(self.values)
        )
        started = asked.transaction_at if self.transaction else now
        asked.floor_commits = self.day.commits_needed(self, started)
        self.asked.append(asked)
        asked.id = self.probe.start(kind, name, value)
        self.day.statements[asked.id] = (self, asked)
        self._record_answer(now)

    def _record_answer(self, now: float) -> None:
        asked = self.asked[-1] if self.asked else None
        if asked is None or asked.reply is not None:
            return
        for statement_id, reply in self.probe.client.replies:
            if statement_id == asked.id:
                asked.reply = reply
                asked.answered_at = now
                self._apply_reply(asked, reply)

    def _apply_reply(self, asked: SentStatement, reply: Reply) -> None:
        done = reply.failure is None
        if asked.kind is StatementKind.WRITE and done and not asked.transaction:
            self._committed([asked.id], asked.answered_at)
        elif asked.kind is StatementKind.WRITE and done:
            self.writes_open.append(asked.id)
        elif asked.kind is StatementKind.COMMIT and done:
            self._committed(self.writes_open, asked.answered_at)
        if reply.state is TransactionState.IDLE and self.transaction:
            self.transaction = 0
            self.transaction_at = 0.0
            self.writes_open = []

    def _committed(self, ids: list[str], now: float) -> None:
        self.session_commits.update(ids)
        self.day.acknowledged.update(dict.fromkeys(ids, now))


class RandomDay:
    """Simulates poolers, clients and faults from a seed; `violations` lists broken invariants.

    is_shared: all poolers but the first use the connections of the first. uses_load_reports:
    databases are chosen by reported load.
    """

    def __init__(self, seed: int, is_shared: bool = False, uses_load_reports: bool = False) -> None:
        self.random = random.Random(seed)
        self.faults = (*FAULTS, "link") if is_shared else FAULTS
        self.scheduler = ModelScheduler()
        self.group = LaggingGroup(self.scheduler)
        holder = PoolerHarness(4, True, self.scheduler, self.group)
        self.poolers = [holder, *(self._pooler(holder, is_shared) for _ in range(1, POOLERS))]
        if uses_load_reports:
            for number, pooler in enumerate(self.poolers):
                draw = random.Random(f"{seed} {number}").random
                pooler.group.read_choice = CompletionEstimator(self.scheduler.now, draw)
        self.acknowledged: dict[str, float] = {}
        self.statements: dict[str, tuple[RandomClient, SentStatement]] = {}
        self.transactions = 0
        kinds = list(Consistency)
        self.clients = [
            self._client(n, kinds[(n // POOLERS) % len(kinds)]) for n in range(SESSIONS)
        ]

    def _pooler(self, holder: PoolerHarness, is_shared: bool) -> PoolerHarness:
        if is_shared:
            return SharingHarness(holder)
        return PoolerHarness(4, True, self.scheduler, self.group)

    def _client(self, number: int, consistency: Consistency) -> RandomClient:
        session = self.poolers[number % POOLERS].session(consistency)
        return RandomClient(self, session, consistency)

    def play(self, seconds: float) -> "RandomDay":
        end = self.scheduler.time + seconds
        next_fault = self.scheduler.time + self.random.uniform(0.5, 2.0)
        while self.scheduler.time < end:
            self.scheduler.advance(STEP_SECONDS)
            for client in self.clients:
                client.act(self.scheduler.time)
            if self.scheduler.time >= next_fault:
                self._fault()
                next_fault = self.scheduler.time + self.random.uniform(0.3, 1.5)
        for database in self.group.databases.values():
            database.silent = False
        self.scheduler.advance(3.0)
        return self

    def commits_needed(self, client: RandomClient, started: float) -> set[str]:
        """Returns the commits that a read started at `started` must show."""
        since = {
            Consistency.PRIMARY: started,
            Consistency.BOUNDED_STALENESS: started - BOUND_SECONDS,
            Consistency.READ_OWN_WRITES: started - BOUND_SECONDS,
        }[client.consistency]
        required = {statement_id for statement_id, at in self.acknowledged.items() if at < since}
        if client.consistency is not Consistency.BOUNDED_STALENESS:
            commits = client.session_commits
            required |= {
                statement_id
                for statement_id in commits
                if self.acknowledged[statement_id] < started
            }
        return required

    def violations(self) -> list[str]:
        return [
            *self._executed_twice(),
            *self._committed_after_refusal(),
            *self._stale_reads(),
            *self._mixed_values(),
            *self._mixed_transactions(),
            *self._unanswered_statements(),
        ]

    def _fault(self) -> None:
        fault = self.random.choice(self.faults)
        database = self.random.choice(list(self.group.databases.values()))
        if fault == "lose":
            database.lose_answers += self.random.randrange(1, 4)
        elif fault == "break":
            database.break_answers += self.random.randrange(1, 4)
        elif fault in ("busy", "fail"):
            code = ErrorCode.OVERLOADED if fault == "busy" else ErrorCode.STATEMENT_FAILED
            database.fail_next += [code] * self.random.randrange(1, 8)
        elif fault == "lag":
            self.group.lag[database.id] = self.random.uniform(0.008, 1.0)
        elif fault == "deaf":
            self.group.lag[database.id] = None
        elif fault == "heal":
            self._heal()
        elif fault == "crash":
            self._silence(database)
        elif fault == "link":
            self._lose_link()
        elif fault == "doubt":
            self.random.choice(self.poolers).group.set_suspected(database.id, None)
        else:
            self._promote()

    def _lose_link(self) -> None:
        pooler = self.random.choice(self.poolers)
        if isinstance(pooler, SharingHarness):
            pooler.channels.lose_all()

    def _heal(self) -> None:
        position = self.group.primary.applied
        for name, database in self.group.databases.items():
            self.group.lag[name] = 0.008
            database.silent = False
            database.applied = position
        for pooler in self.poolers:
            pooler.group.set_suspected(None, None)

    def _silence(self, database: ModelDatabase) -> None:
        database.silent = True
        self.scheduler.call_later(self.random.uniform(0.2, 2.0), lambda: _wake(database))

    def _promote(self) -> None:
        """Promotes a random replica; the poolers get the new records with random delays."""
        replicas = [d.id for d in self.group.databases.values() if d is not self.group.primary]
        chosen = self.random.choice(replicas)
        if self.random.random() < 0.5:
            self.group.lag[self.group.primary.id] = None
        self.group.promote(chosen)
        position = self.group.databases[chosen].applied
        for database in self.group.databases.values():
            if database.id != chosen and self.group.lag[database.id] is not None:
                database.applied = LogPosition(position.term, position.offset)
        for pooler in self.poolers:
            for name in self.group.databases:
                delay = self.random.uniform(0.0, 2.5)
                self.scheduler.call_later(delay, lambda p=pooler, n=name: p.announce(n))  # type: ignore[misc]

    def _executed_twice(self) -> list[str]:
        commits = self.group.commits
        return [
            f"{statement_id} took effect twice"
            for statement_id in set(commits)
            if commits.count(statement_id) > 1
        ]

    def _committed_after_refusal(self) -> list[str]:
        found = []
        committed = set(self.group.commits)
        for client in self.clients:
            refused = {
                asked.transaction
                for asked in client.asked
                if asked.transaction and _promises_no_effect(asked.reply)
            }
            for asked in client.asked:
                alone = not asked.transaction and _promises_no_effect(asked.reply)
                if asked.id in committed and (alone or asked.transaction in refused):
                    found.append(f"{asked.id} took effect although the client got a refusal")
        return found

    def _stale_reads(self) -> list[str]:
        found = []
        for ran in self.group.ran:
            client, asked = self.statements[ran.statement.id]
            if ran.statement.kind is not StatementKind.READ:
                continue
            missing = [
                statement_id
                for statement_id in asked.floor_commits
                if statement_id in self.group.positions
                and self.group.positions[statement_id] > ran.applied
            ]
            if missing:
                found.append(f"{client.consistency} read {asked.id} misses {missing[0]}")
        return found

    def _mixed_values(self) -> list[str]:
        return [
            f"{ran.statement.id} ran with foreign values"
            for ran in self.group.ran
            if ran.values != self.statements[ran.statement.id][1].values
        ]

    def _mixed_transactions(self) -> list[str]:
        found = []
        connections: dict[int, int] = {}
        for ran in self.group.ran:
            asked = self.statements[ran.statement.id][1]
            if not asked.transaction:
                continue
            first = connections.setdefault(asked.transaction, ran.connection)
            if first != ran.connection or not ran.in_transaction:
                found.append(f"{asked.id} ran outside its transaction")
        return found

    def _unanswered_statements(self) -> list[str]:
        found = []
        for client in self.clients:
            client.act(self.scheduler.time)
            for asked in client.asked[:-1]:
                if asked.reply is None:
                    found.append(f"{asked.id} was never answered")
        return found


def _wake(database: ModelDatabase) -> None:
    database.silent = False


def _promises_no_effect(reply: Reply | None) -> bool:
    return reply is not None and reply.failure is not None and reply.failure.code in NO_EFFECT_CODES
