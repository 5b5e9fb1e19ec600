"""One virtual database: takes connections and jobs, serves them with its slots and in its time."""

from collections import deque
from collections.abc import Callable

import msgspec

from dewledge.adapters.job_runner import run_job
from dewledge.core.proxy.calls import Access, Operation
from dewledge.core.proxy.database_status import DatabaseRole, DatabaseStatus
from dewledge.core.proxy.jobs import Job, JobResult, JobUnknown
from dewledge.errors import ConnectionLimitReached, ConnectRefused, ErrorCode
from dewledge.simulation.clock import EventQueue
from dewledge.simulation.history import History, WorkRecord
from dewledge.simulation.model_connection import ModelConnection
from dewledge.simulation.workloads import markers_in
from dewledge.standin.group_model import GroupModel

FROZEN_RETRY = 0.02
"""Seconds after which a frozen or hidden database is looked at again."""

OpenReply = Callable[[int | ConnectRefused], None]
JobReply = Callable[[JobResult], None]


class ServerSettings(msgspec.Struct, frozen=True):
    """What one database can do; times in seconds."""

    slots: int
    open_time: float
    read_time: float
    write_time: float


class _WaitingJob(msgspec.Struct):
    session: int
    proxy: str
    job: Job
    reply: JobReply


class DatabaseServer:
    """Serves the sessions of one database of a model.

    A job in service is finished even if its proxy closes the connection meanwhile, as a real
    database may do; one that still waits for a slot is dropped.
    """

    def __init__(
        self,
        name: str,
        model: GroupModel,
        settings: ServerSettings,
        queue: EventQueue,
        history: History,
    ) -> None:
        self.name = name
        self.model = model
        self.settings = settings
        self.slowness = 1.0
        self._queue = queue
        self._history = history
        self._waiting: deque[_WaitingJob] = deque()
        self._in_service: dict[int, _WaitingJob] = {}
        self._close_after_service: set[int] = set()
        self._in_transaction: set[int] = set()
        self.frozen = False

    def open(self, proxy: str, reply: OpenReply) -> None:
        """Opens a session after the time that takes."""
        self._queue.call_after(self.settings.open_time, lambda: self._finish_open(proxy, reply))

    def close(self, session: int) -> None:
        """Closes a session; its job in service, if any, comes first."""
        if self.frozen:
            self._later(lambda: self.close(session))
            return
        self._waiting = deque(item for item in self._waiting if item.session != session)
        if session in self._in_service:
            self._close_after_service.add(session)
            return
        self._close_now(session)

    def run(self, session: int, proxy: str, job: Job, reply: JobReply) -> None:
        """Runs a job once a slot is free."""
        if self.frozen:
            self._later(lambda: self.run(session, proxy, job, reply))
            return
        self._waiting.append(_WaitingJob(session, proxy, job, reply))
        self._start_jobs()

    def status(self, reply: Callable[[DatabaseStatus | None], None]) -> None:
        """Answers a status request; a frozen database answers when it thaws."""
        if self.frozen:
            self._later(lambda: self.status(reply))
            return
        reply(self.model.status(self.name, self._queue.now))

    def break_connections(self) -> None:
        """Ends every session; what runs or waits is answered with a broken connection."""
        broken = [*self._in_service.values(), *self._waiting]
        self._in_service.clear()
        self._waiting.clear()
        self._close_after_service.clear()
        self._in_transaction.clear()
        self.model.reset_connections(self.name, self._queue.now)
        for item in broken:
            item.reply(_broken(item.job))

    def _later(self, action: Callable[[], None]) -> None:
        self._queue.call_after(FROZEN_RETRY, action)

    def _finish_open(self, proxy: str, reply: OpenReply) -> None:
        if self.frozen:
            self._later(lambda: self._finish_open(proxy, reply))
            return
        self._record(proxy, None, None)
        try:
            session = self.model.open_session(self.name, self._queue.now)
        except ConnectionLimitReached as error:
            self._history.refused_connections += 1
            reply(error)
        except ConnectRefused as error:
            reply(error)
        else:
            self._note_connections()
            reply(session)

    def _note_connections(self) -> None:
        count = self.model.open_sessions(self.name)
        self._history.peak_connections = max(self._history.peak_connections, count)
        peaks = self._history.peak_connections_by_database
        peaks[self.name] = max(peaks.get(self.name, 0), count)

    def _close_now(self, session: int) -> None:
        self._in_transaction.discard(session)
        self.model.close_session(session, self._queue.now)

    def _start_jobs(self) -> None:
        while self._waiting and len(self._in_service) < self.settings.slots:
            item = self._waiting.popleft()
            self._in_service[item.session] = item
            delay = self._service_time(item.job) * self.slowness
            self._queue.call_after(delay, lambda item=item: self._finish(item))  # type: ignore[misc]

    def _service_time(self, job: Job) -> float:
        if job.operation is Operation.EXECUTE and job.access is Access.READ:
            return self.settings.read_time
        return self.settings.write_time

    def _finish(self, item: _WaitingJob) -> None:
        if self._in_service.get(item.session) is not item:
            return
        if self.frozen:
            self._later(lambda: self._finish(item))
            return
        del self._in_service[item.session]
        self._record(item.proxy, item.session, item.job)
        connection = ModelConnection(self.model, item.session, lambda: self._queue.now)
        result = run_job(connection, item.job, lambda: self._queue.now)
        self._note_transaction(item.session, item.job)
        if item.session in self._close_after_service:
            self._close_after_service.discard(item.session)
            self._close_now(item.session)
        item.reply(result)
        self._start_jobs()

    def _note_transaction(self, session: int, job: Job) -> None:
        if job.operation is Operation.BEGIN:
            self._in_transaction.add(session)
        elif job.operation in (Operation.COMMIT, Operation.ROLLBACK):
            self._in_transaction.discard(session)

    def _record(self, proxy: str, session: int | None, job: Job | None) -> None:
        markers = markers_in((job.statement,)) if job is not None and job.statement else ()
        primary = self.name in self.model.primaries()
        record = WorkRecord(
            time=self._queue.now,
            group=self.model.name,
            database=self.name,
            proxy=proxy,
            operation=job.operation if job is not None else None,
            access=job.access if job is not None else None,
            role=DatabaseRole.PRIMARY if primary else DatabaseRole.REPLICA,
            marker=markers[0] if markers else "",
            in_transaction=session in self._in_transaction,
        )
        self._history.work.append(record)


def _broken(job: Job) -> JobUnknown:
    return JobUnknown(job.job_id, ErrorCode.CONNECTION_LOST, "the database closed the connection")
