"""Collects the attempts of a statement for its log line (`statement_answered`)."""

from dewledge.core.pooler.events import StatementAnswered
from dewledge.core.pooler.statements.statement_scope import StatementScope
from dewledge.core.pooler.statements.statements import Reply
from dewledge.core.pooler.statements.targets import Target
from dewledge.core.shared.units import MILLISECONDS_PER_SECOND


class RunRecord:
    """Records the attempts of a statement in order, and logs them with its reply."""

    def __init__(self, scope: StatementScope) -> None:
        self._services = scope.services
        self._session = scope.session
        self._route = scope.route
        self._statement = scope.statement
        self._arrived = scope.arrived
        self._attempts: list[str] = []

    @property
    def statement_id(self) -> str:
        """The id of the statement."""
        return self._statement.id

    def record_attempt(self, database: str, target: Target | None, result: str) -> None:
        """Adds the result of an attempt as database:proof:result@milliseconds since arrival."""
        if not database and target is not None:
            database = target.database.id
        proof = "" if target is None else target.proof
        self._attempts.append(f"{database}:{proof}:{result}@{self._elapsed_ms()}")

    def finish(self, reply: Reply, target: Target | None) -> None:
        """Logs the statement with its reply and all attempts."""
        floor = target.floor if target is not None else None
        expected = target.expected if target is not None else None
        self._services.record(
            StatementAnswered(
                statement=self._statement.id,
                session=self._session.name,
                caller=self._session.caller,
                route=self._route.name,
                group=self._route.group,
                consistency=self._route.consistency,
                kind=self._statement.kind,
                way=",".join(self._attempts),
                outcome="done" if reply.failure is None else reply.failure.code,
                floor="" if floor is None else f"{floor.term}.{floor.offset}",
                waited_ms=self._elapsed_ms(),
                target_ms=int(self._route.target_latency * MILLISECONDS_PER_SECOND),
                configuration=self._services.routes.version,
                expected_ms=-1
                if expected is None
                else int(expected.seconds * MILLISECONDS_PER_SECOND),
                word_age_ms=-1
                if expected is None
                else int(expected.age_seconds * MILLISECONDS_PER_SECOND),
            )
        )

    def _elapsed_ms(self) -> int:
        return int((self._services.scheduler.now() - self._arrived) * MILLISECONDS_PER_SECOND)
