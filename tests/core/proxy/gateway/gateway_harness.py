"""Drives a Gateway in place of its shell: every effect is kept, and carried out only when told."""

from random import Random

from dewledge.core.proxy.calls import Access, Operation, Rows, Statement
from dewledge.core.proxy.configuration.configuration import Configuration
from dewledge.core.proxy.configuration.resources import (
    CallerSpec,
    Confirmation,
    DatabaseSpec,
    GroupSpec,
    Kind,
    Resource,
)
from dewledge.core.proxy.database_status import DatabaseRole, DatabaseStatus
from dewledge.core.proxy.effects import (
    CloseConnection,
    Effect,
    LogEvent,
    OpenConnection,
    ReadStatuses,
    RunJob,
    SendToPeer,
)
from dewledge.core.proxy.gateway.gateway import Gateway
from dewledge.core.proxy.gateway.settings import GatewaySettings
from dewledge.core.proxy.jobs import Job, JobDone, JobNotRun, JobUnknown, StatusReading
from dewledge.core.proxy.messages import (
    GroupStatusAnswer,
    PeerMessage,
    StatementDone,
    StatementNotRun,
    StatementRequest,
    StatementUnknown,
)
from dewledge.core.shared.positions import LogPosition, TermStart
from dewledge.errors import ErrorCode

GROUP = "cases"
DATABASES = ("cases-1", "cases-2", "cases-3")
PRIMARY = "cases-1"
SELECT = Statement("select 1")
INSERT = Statement("insert into t values (?)", (1,))


class FixedPlacement:
    """Names one active gateway for every database, one standby, and others."""

    def __init__(self, active: str = "here", standby: str = "there", *others: str) -> None:
        self.order = (active, standby, *others)

    def ranked(self, database: str) -> tuple[str, ...]:
        return self.order

    def active(self, database: str) -> str | None:
        return self.order[0]

    def databases_of(self, proxy: str) -> tuple[str, ...]:
        return DATABASES if proxy == self.order[0] else ()

    def standby_databases_of(self, proxy: str) -> tuple[str, ...]:
        return DATABASES if proxy == self.order[1] else ()


class FixedPolicy:
    """Drains the databases named."""

    def __init__(self, *drained: str) -> None:
        self.drained = drained

    def is_drained(self, database: str) -> bool:
        return database in self.drained


def make_configuration(
    slots: int = 2,
    max_connections: int = 10,
    confirmation: Confirmation = Confirmation.MAJORITY_POSITION,
    weights: dict[str, int] | None = None,
) -> Configuration:
    """Builds one group of three databases, and callers with weights."""
    group = Resource(Kind.GROUP, GROUP, (), GroupSpec(confirmation=confirmation))
    databases = [
        Resource(
            Kind.DATABASE,
            name,
            (),
            DatabaseSpec(GROUP, f"{name}:1", "zone", slots=slots, max_connections=max_connections),
        )
        for name in DATABASES
    ]
    callers = [
        Resource(Kind.CALLER, name, (), CallerSpec((), weight))
        for name, weight in (weights or {}).items()
    ]
    return Configuration(1, [group, *databases, *callers])


def status(
    database: str,
    term: int = 1,
    offset: int = 10,
    primary: str = PRIMARY,
    log_term: int | None = None,
    term_starts: tuple[TermStart, ...] = (),
) -> DatabaseStatus:
    """Makes a status; the log ends in `log_term`, by default the same as `term`."""
    role = DatabaseRole.PRIMARY if database == primary else DatabaseRole.REPLICA
    position = LogPosition(term if log_term is None else log_term, offset)
    return DatabaseStatus(database, role, term, position, position, term_starts)


class GatewayHarness:
    """A gateway named "here", with its effects sorted by kind."""

    def __init__(self, settings: GatewaySettings | None = None, seed: int = 1) -> None:
        self.settings = settings or GatewaySettings(jitter=0.0)
        self.gateway = Gateway("here", self.settings, Random(seed))
        self.now = 100.0
        self.opening: list[OpenConnection] = []
        self.connection_databases: dict[int, str] = {}
        self.jobs: list[Job] = []
        self.rounds: list[ReadStatuses] = []
        self.closed: list[int] = []
        self.answers: dict[tuple[str, int], list[PeerMessage]] = {}
        self.logs: list[LogEvent] = []
        self.every_job: list[Job] = []
        self._correlation = 0

    def configure(
        self,
        configuration: Configuration | None = None,
        policy: FixedPolicy | None = None,
        placement: FixedPlacement | None = None,
        ready: bool = True,
    ) -> None:
        """Sets configuration and placement; by default also opens and reads all that is asked."""
        self.take(
            self.gateway.set_configuration(
                configuration or make_configuration(),
                policy or FixedPolicy(),
                placement or FixedPlacement(),
                self.now,
            )
        )
        if ready:
            self.tick()
            self.open_all()
            self.answer_rounds()

    def take(self, effects: list[Effect]) -> None:
        """Sorts effects by kind."""
        for effect in effects:
            if isinstance(effect, OpenConnection):
                self.opening.append(effect)
                self.connection_databases[effect.connection_id] = effect.database
            elif isinstance(effect, RunJob):
                self.jobs.append(effect.job)
                self.every_job.append(effect.job)
            elif isinstance(effect, ReadStatuses):
                self.rounds.append(effect)
            elif isinstance(effect, CloseConnection):
                self.closed.append(effect.connection_id)
            elif isinstance(effect, SendToPeer):
                self._keep_answer(effect)
            elif isinstance(effect, LogEvent):
                self.logs.append(effect)

    def tick(self, seconds: float = 0.0) -> None:
        """Lets time pass in one step, as for a process that was frozen meanwhile."""
        self.now += seconds
        self.take(self.gateway.tick(self.now))

    def run_until(self, when: float) -> None:
        """Lets time pass from timer to timer."""
        wake = self.gateway.next_wake()
        while wake is not None and wake <= when:
            self.now = max(self.now, wake)
            self.tick()
            wake = self.gateway.next_wake()
        self.now = when

    def open_all(self) -> None:
        """Lets every connection that is opening open."""
        while self.opening:
            opening = self.opening.pop(0)
            self.take(self.gateway.handle_connection_opened(opening.connection_id, self.now))

    def fail_opening(self, code: ErrorCode) -> None:
        """Lets every connection that is opening fail."""
        opening, self.opening = self.opening, []
        for item in opening:
            self.take(self.gateway.handle_connection_failed(item.connection_id, code, self.now))

    def send(
        self,
        access: Access = Access.READ,
        operation: Operation = Operation.EXECUTE,
        peer: str = "entry",
        caller: str = "anna",
        database: str = PRIMARY,
        remaining: float = 5.0,
        group: str = GROUP,
        correlation: int | None = None,
        **fields: object,
    ) -> tuple[str, int]:
        """Sends a request; returns the key under which `answer` finds its answer."""
        if correlation is None:
            self._correlation += 1
            correlation = self._correlation
        statement = None
        if operation is Operation.EXECUTE:
            statement = SELECT if access is Access.READ else INSERT
        fields.setdefault("statement", statement)
        request = StatementRequest(
            correlation, caller, group, database, operation, access, remaining, **fields
        )
        self.take(self.gateway.handle_request(peer, request, self.now))
        return (peer, correlation)

    def write(self, **fields: object) -> tuple[str, int]:
        """Sends a write."""
        return self.send(Access.WRITE, **fields)

    def begin(self, **fields: object) -> str:
        """Begins a transaction and returns its id."""
        key = self.send(Access.WRITE, Operation.BEGIN, **fields)
        self.finish(self.jobs[-1])
        done = self.answer(key)
        assert isinstance(done, StatementDone), done
        assert done.transaction is not None
        return done.transaction

    def finish(
        self,
        job: Job | None = None,
        position: LogPosition = LogPosition(1, 10),
        role: DatabaseRole = DatabaseRole.PRIMARY,
        repeated: bool = False,
    ) -> Job:
        """Reports a job, by default the oldest one running, as done."""
        job = job or self.jobs[0]
        result = JobDone(job.job_id, role, position, Rows(("a",), ((job.job_id,),)), repeated)
        return self.report(job, result)

    def break_job(self, job: Job | None = None) -> Job:
        """Reports a job as broken off with its answer pending."""
        job = job or self.jobs[0]
        return self.report(job, JobUnknown(job.job_id, ErrorCode.CONNECTION_LOST, "broken"))

    def refuse(self, code: ErrorCode, usable: bool = True, job: Job | None = None) -> Job:
        """Reports a job as refused by the database."""
        job = job or self.jobs[0]
        return self.report(job, JobNotRun(job.job_id, code, "refused", usable))

    def report(self, job: Job, result: JobDone | JobNotRun | JobUnknown) -> Job:
        """Reports a job's result."""
        if job in self.jobs:
            self.jobs.remove(job)
        self.take(self.gateway.handle_job_result(result, self.now))
        return job

    def read(self, status_round: ReadStatuses, database: str, **fields: object) -> None:
        """Reports one reading of a round."""
        self.read_status(status_round, database, status(database, **fields))

    def read_status(
        self, status_round: ReadStatuses, database: str, found: DatabaseStatus | None
    ) -> None:
        """Reports one reading of a round as given."""
        reading = StatusReading(database, found)
        self.take(self.gateway.handle_status_reading(status_round.round_id, reading, self.now))

    def answer_rounds(self, **fields: object) -> int:
        """Answers every round that is open now, all alike; returns how many there were."""
        rounds, self.rounds = self.rounds, []
        for status_round in rounds:
            for database in status_round.databases:
                self.read(status_round, database, **fields)
        return len(rounds)

    def confirm_all(self, **fields: object) -> None:
        """Lets enough rounds pass, answered alike, for every result that can be confirmed."""
        for _ in range(4):
            self.run_until(self.now + 0.03)
            self.answer_rounds(**fields)

    def answer(self, key: tuple[str, int]) -> PeerMessage | None:
        """Returns the one answer to a request, or None; more than one is an error."""
        answers = self.answers.get(key, [])
        assert len(answers) <= 1, answers
        return answers[0] if answers else None

    def outcome(self, key: tuple[str, int]) -> str:
        """Names the answer: done, waiting, or the outcome with its code."""
        answer = self.answer(key)
        if answer is None:
            return "waiting"
        if isinstance(answer, StatementNotRun):
            return f"not run: {answer.code}"
        if isinstance(answer, StatementUnknown):
            return f"unknown: {answer.code}"
        return "done"

    def _keep_answer(self, effect: SendToPeer) -> None:
        message = effect.message
        assert isinstance(
            message, StatementDone | StatementNotRun | StatementUnknown | GroupStatusAnswer
        )
        self.answers.setdefault((effect.peer, message.correlation), []).append(message)
