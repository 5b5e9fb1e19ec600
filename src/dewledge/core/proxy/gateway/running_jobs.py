"""Jobs that are running on connections of one database; each ends exactly once."""

import hashlib
from collections.abc import Callable

import msgspec

from dewledge.core.proxy.calls import Access, Operation, Statement
from dewledge.core.proxy.effects import RunJob
from dewledge.core.proxy.gateway.context import GatewayContext, Timer
from dewledge.core.proxy.jobs import IdempotencyRecord, Job, JobResult, JobUnknown
from dewledge.core.proxy.messages import StatementRequest
from dewledge.errors import ErrorCode

FINGERPRINT_BYTES = 16
"""Of the hash of a statement that goes with its idempotency key: 128 bits, no chance collision."""


def fingerprint_of(statement: Statement) -> str:
    """Returns a hash of SQL text and parameters, the same in every process."""
    encoded = msgspec.json.encode(statement)
    return hashlib.blake2b(encoded, digest_size=FINGERPRINT_BYTES).hexdigest()


def idempotency_of(message: StatementRequest) -> IdempotencyRecord | None:
    """Returns the record that makes a keyed write run once, or None for any other request."""
    if message.idempotency_key is None or message.statement is None:
        return None
    if message.operation is not Operation.EXECUTE or message.access is not Access.WRITE:
        return None
    fingerprint = fingerprint_of(message.statement)
    return IdempotencyRecord(message.caller, message.idempotency_key, fingerprint)


class RunningJob:
    """One job: when it started, and who is told its result."""

    __slots__ = ("job", "on_end", "started_at", "timer")

    def __init__(self, job: Job, started_at: float, on_end: Callable[[JobResult, float], None]):
        self.job = job
        self.started_at = started_at
        self.on_end = on_end
        self.timer: Timer | None = None


class RunningJobs:
    """The jobs of one database; `on_slow(now)` is called for one that takes long."""

    def __init__(self, context: GatewayContext, on_slow: Callable[[float], None]) -> None:
        self._context = context
        self._on_slow = on_slow
        self._running: dict[int, RunningJob] = {}

    def __len__(self) -> int:
        return len(self._running)

    def start(
        self,
        connection: int,
        message: StatementRequest,
        timeout: float,
        on_end: Callable[[JobResult, float], None],
        now: float,
    ) -> int:
        """Orders a job and returns its id; `on_end(result, now)` is called once, with its result.

        A job that the shell never reports ends as unknown, some time after its timeout.
        """
        job = Job(
            job_id=self._context.next_id(),
            connection_id=connection,
            operation=message.operation,
            access=message.access,
            timeout=timeout,
            statement=message.statement,
            idempotency=idempotency_of(message),
        )
        running = RunningJob(job, now, on_end)
        self._running[job.job_id] = running
        self._context.job_owners[job.job_id] = self
        slow_at = now + min(self._context.settings.slow_job, timeout)
        running.timer = self._context.call_at(slow_at, lambda at: self._note_slow(running, at))
        self._context.emit(RunJob(job))
        return job.job_id

    def abandon(self, job_id: int) -> None:
        """Stops waiting for a job; its result, should it still come, is dropped."""
        running = self._running.pop(job_id, None)
        self._context.job_owners.pop(job_id, None)
        if running is not None:
            self._context.cancel(running.timer)

    def handle_result(self, result: JobResult, now: float) -> None:
        """Ends the job; a late or doubled result finds none and is dropped."""
        running = self._running.pop(result.job_id, None)
        self._context.job_owners.pop(result.job_id, None)
        if running is None:
            return
        self._context.cancel(running.timer)
        running.on_end(result, now)

    def _note_slow(self, running: RunningJob, now: float) -> None:
        grace = self._context.settings.job_report_grace
        give_up_at = running.started_at + running.job.timeout + grace
        running.timer = self._context.call_at(give_up_at, lambda at: self._give_up(running, at))
        self._on_slow(now)

    def _give_up(self, running: RunningJob, now: float) -> None:
        message = "the job was not reported in time"
        result = JobUnknown(running.job.job_id, ErrorCode.CONNECTION_LOST, message)
        self.handle_result(result, now)
