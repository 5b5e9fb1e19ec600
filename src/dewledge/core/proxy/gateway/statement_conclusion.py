"""From a job's result to the answer: which of the three outcomes is true, and when it is known."""

from dewledge.core.proxy.calls import Access
from dewledge.core.proxy.database_status import DatabaseRole, DatabaseStatus
from dewledge.core.proxy.gateway.confirmation import Claim, Verdict
from dewledge.core.proxy.gateway.group_monitor import GroupMonitor
from dewledge.core.proxy.gateway.request import GatewayRequest, RequestRegistry
from dewledge.core.proxy.jobs import JobDone, JobNotRun, JobUnknown
from dewledge.core.shared.positions import satisfies
from dewledge.errors import ErrorCode

DOUBTFUL_CODES = frozenset(
    (
        ErrorCode.NOT_PRIMARY,
        ErrorCode.CONNECTION_LOST,
        ErrorCode.DATABASE_UNREACHABLE,
        ErrorCode.DEADLINE_EXCEEDED,
    )
)
"""Failures that may come from a change in the group, so that a status round is due."""


class StatementConclusion:
    """Gives the answers for one database."""

    def __init__(self, database: str, registry: RequestRegistry, monitor: GroupMonitor) -> None:
        self._database = database
        self._registry = registry
        self._monitor = monitor

    def conclude_not_run(self, request: GatewayRequest, result: JobNotRun, now: float) -> None:
        """The database refused, failed or undid the operation."""
        if result.code in DOUBTFUL_CODES:
            self._monitor.look_again(now)
        self._registry.not_run(
            request,
            result.code,
            result.message,
            status=self._monitor.statuses.status(self._database),
        )

    def conclude_unknown(self, request: GatewayRequest, result: JobUnknown, now: float) -> None:
        """The connection broke: a read had no effect, a write may have taken effect."""
        self._monitor.look_again(now)
        if request.message.access is Access.READ:
            self._registry.not_run(request, ErrorCode.CONNECTION_LOST, result.message)
        else:
            self._registry.unknown(request, result.code, result.message)

    def conclude_read(
        self, request: GatewayRequest, result: JobDone, term_before: int, now: float
    ) -> None:
        """Rows are told only if they are fresh enough and, where asked, from the primary."""
        refusal = self.read_refusal(request, result)
        if refusal is not None:
            self._registry.not_run(request, refusal, status=self._status_after(result))
        elif not request.message.confirm:
            self._registry.done(request, self._database, result)
        else:
            self.confirm_read(request, result, term_before, now)

    def read_refusal(self, request: GatewayRequest, result: JobDone) -> ErrorCode | None:
        """Tells why a read's rows must be thrown away, or None."""
        floor = request.message.floor
        term_starts = self._monitor.statuses.term_starts
        if floor is not None and not satisfies(result.position, floor, term_starts):
            return ErrorCode.NOT_FRESH
        if request.message.confirm and result.role is not DatabaseRole.PRIMARY:
            return ErrorCode.NOT_PRIMARY
        return None

    def confirm_read(
        self, request: GatewayRequest, result: JobDone, term_before: int, now: float
    ) -> None:
        """Answers a primary read after a round that began after the request's arrival."""

        def answer(verdict: Verdict, _: float) -> None:
            if verdict is Verdict.CONFIRMED:
                self._registry.done(request, self._database, result)
            else:
                self.refuse_read(request, verdict)

        claim = Claim(self._database, result.position, term_before, write=False)
        self._monitor.confirm(claim, request.round_at_arrival, request.deadline, answer, now)

    def refuse_read(self, request: GatewayRequest, verdict: Verdict) -> None:
        """Answers a read whose primary was not confirmed."""
        superseded = verdict is Verdict.SUPERSEDED
        code = ErrorCode.NOT_PRIMARY if superseded else ErrorCode.DEADLINE_EXCEEDED
        status = self._monitor.statuses.status(self._database)
        self._registry.not_run(request, code, "the primary was not confirmed", status=status)

    def conclude_write(
        self, request: GatewayRequest, result: JobDone, term_before: int, now: float
    ) -> None:
        """Answers a write or commit after a round that begins from now on."""

        def answer(verdict: Verdict, _: float) -> None:
            if verdict is Verdict.CONFIRMED:
                self._registry.done(request, self._database, result)
            elif verdict is Verdict.SUPERSEDED:
                message = "a later term was seen before the write was confirmed"
                self._registry.unknown(request, ErrorCode.NOT_CONFIRMED, message)
            else:
                message = "the write was not confirmed before the deadline"
                self._registry.unknown(request, ErrorCode.NOT_CONFIRMED, message)

        claim = Claim(self._database, result.position, term_before, write=True)
        self._monitor.confirm(claim, self._monitor.newest_round, request.deadline, answer, now)

    def _status_after(self, result: JobDone) -> DatabaseStatus | None:
        """Returns the latest status, brought forward to what the read itself saw."""
        status = self._monitor.statuses.status(self._database)
        if status is None or result.position <= status.applied:
            return status
        return DatabaseStatus(
            status.database,
            result.role,
            status.term,
            max(status.received, result.position),
            result.position,
            status.term_starts,
        )
