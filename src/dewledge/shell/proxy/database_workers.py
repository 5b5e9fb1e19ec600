"""Threads that talk to databases, each database with its own, so that a slow one holds up no other.

Results come back as calls on the loop's thread.
"""

from concurrent.futures import ThreadPoolExecutor
from functools import partial
from typing import Protocol

from loguru import logger

from dewledge.adapters.job_runner import run_job
from dewledge.core.proxy.calls import Operation
from dewledge.core.proxy.effects import CloseConnection, OpenConnection, ReadStatuses, RunJob
from dewledge.core.proxy.jobs import Job, JobNotRun, JobResult, JobUnknown, StatusReading
from dewledge.core.proxy.ports import DatabaseConnection, DatabaseDriver
from dewledge.errors import ConnectRefused, DewledgeError, ErrorCode
from dewledge.shell.shared.event_loop import EventLoop

JOB_THREADS = 64
"""At most so many calls to one database at once; the gateway's slots keep it far lower."""

STATUS_THREADS = 4
"""As many status rounds as may be under way at once, so that none waits for a thread."""

CONNECT_SECONDS = 2.0
UNUSED_SECONDS = 60.0

LATEST_START_SECONDS = 1.0
"""How long after the event that led to it new work is begun at the database.

A process that was frozen in between may hold an old configuration, and the core cannot know yet.
"""

NEW_WORK = (Operation.EXECUTE, Operation.BEGIN)
STOOD_STILL = "the process stood still before it was sent"


class DatabaseHandler(Protocol):
    """What the workers report, on the loop's thread."""

    def connection_opened(self, connection_id: int) -> None:
        """A connection is ready for jobs."""

    def connection_failed(self, connection_id: int, code: ErrorCode) -> None:
        """A connection could not be opened."""

    def job_result(self, result: JobResult) -> None:
        """A job ended."""

    def status_reading(self, round_id: int, reading: StatusReading) -> None:
        """A database answered a status request, or did not in time."""


class _Connection:
    """A connection and who uses it. `wrapped` is None until it is open."""

    __slots__ = ("close_wanted", "is_busy", "threads", "wrapped")

    def __init__(self, threads: "_DatabaseThreads") -> None:
        self.threads = threads
        self.wrapped: DatabaseConnection | None = None
        self.is_busy = True
        self.close_wanted = False


class _DatabaseThreads:
    """The executors of one database."""

    __slots__ = ("connections", "jobs", "last_used", "statuses")

    def __init__(self, database: str) -> None:
        self.jobs = ThreadPoolExecutor(JOB_THREADS, f"jobs-{database}")
        self.statuses = ThreadPoolExecutor(STATUS_THREADS, f"status-{database}")
        self.connections = 0
        self.last_used = 0.0

    def shut_down(self) -> None:
        self.jobs.shutdown(wait=False, cancel_futures=True)
        self.statuses.shutdown(wait=False, cancel_futures=True)


class DatabaseWorkers:
    """Carries out the gateway's effects. All methods belong to the loop's thread."""

    def __init__(self, loop: EventLoop, driver: DatabaseDriver, handler: DatabaseHandler) -> None:
        self._loop = loop
        self._driver = driver
        self._handler = handler
        self._threads: dict[str, _DatabaseThreads] = {}
        self._connections: dict[int, _Connection] = {}
        self._last_prune = loop.now()
        self._is_shut_down = False

    @property
    def connection_count(self) -> int:
        """The back-end connections that are open or being opened."""
        return len(self._connections)

    def open(self, effect: OpenConnection) -> None:
        """Opens a connection; once shut down, nothing is opened and nothing reported."""
        if self._is_shut_down:
            return
        threads = self._threads_of(effect.database)
        threads.connections += 1
        self._connections[effect.connection_id] = _Connection(threads)
        threads.jobs.submit(self._open, effect.connection_id, effect.address, self._loop.event_time)

    def run(self, effect: RunJob) -> None:
        """Runs a job on its connection."""
        job = effect.job
        connection = self._connections.get(job.connection_id)
        if connection is None or connection.wrapped is None:
            result = JobUnknown(job.job_id, ErrorCode.INTERNAL, "no such connection")
            self._loop.post(partial(self._handler.job_result, result))
            return
        connection.is_busy = True
        connection.threads.jobs.submit(self._run, connection.wrapped, job, self._loop.event_time)

    def close(self, effect: CloseConnection) -> None:
        """Closes a connection, after the job that runs on it."""
        connection = self._connections.get(effect.connection_id)
        if connection is None:
            return
        connection.close_wanted = True
        if not connection.is_busy:
            self._close(effect.connection_id, connection)

    def read_statuses(self, effect: ReadStatuses) -> None:
        """Asks each database of a round for its status; once shut down, none."""
        if self._is_shut_down:
            return
        for database, address in zip(effect.databases, effect.addresses, strict=True):
            threads = self._threads_of(database)
            threads.statuses.submit(self._read_status, effect, database, address)
        self._prune()

    def shut_down(self) -> None:
        """Closes all connections and lets the threads end; effects that still come start none."""
        self._is_shut_down = True
        for connection_id in list(self._connections):
            self.close(CloseConnection(connection_id))
        for threads in self._threads.values():
            threads.jobs.shutdown(wait=False)
            threads.statuses.shutdown(wait=False, cancel_futures=True)
        self._threads.clear()

    def _threads_of(self, database: str) -> _DatabaseThreads:
        threads = self._threads.get(database)
        if threads is None:
            threads = _DatabaseThreads(database)
            self._threads[database] = threads
        threads.last_used = self._loop.now()
        return threads

    def _prune(self) -> None:
        now = self._loop.now()
        if now - self._last_prune < UNUSED_SECONDS:
            return
        self._last_prune = now
        for database, threads in list(self._threads.items()):
            if not threads.connections and now - threads.last_used > UNUSED_SECONDS:
                del self._threads[database]
                threads.shut_down()

    # On the executors' threads.

    def _open(self, connection_id: int, address: str, ordered_at: float) -> None:
        opened: DatabaseConnection | ErrorCode
        try:
            if self._loop.now() - ordered_at > LATEST_START_SECONDS:
                raise ConnectRefused(STOOD_STILL)
            opened = self._driver.connect(address, CONNECT_SECONDS)
        except DewledgeError as error:
            opened = error.code
        except Exception:
            logger.exception("connect_fault")
            opened = ErrorCode.INTERNAL
        self._loop.post(partial(self._opened, connection_id, opened))

    def _run(self, wrapped: DatabaseConnection, job: Job, ordered_at: float) -> None:
        result: JobResult
        try:
            latest_start = ordered_at + LATEST_START_SECONDS
            wrapped.send_new_work_before(latest_start)
            if job.operation in NEW_WORK and self._loop.now() > latest_start:
                result = JobNotRun(job.job_id, ErrorCode.DEADLINE_EXCEEDED, STOOD_STILL, True)
            else:
                result = run_job(wrapped, job)
        except Exception as error:
            logger.exception("job_fault")
            result = JobUnknown(job.job_id, ErrorCode.INTERNAL, str(error))
        self._loop.post(partial(self._finished, job.connection_id, result))

    def _read_status(self, effect: ReadStatuses, database: str, address: str) -> None:
        try:
            status = self._driver.read_status(address, effect.timeout)
        except DewledgeError:
            status = None
        except Exception:
            logger.exception("status_fault")
            status = None
        reading = StatusReading(database, status)
        self._loop.post(partial(self._handler.status_reading, effect.round_id, reading))

    # Back on the loop's thread.

    def _opened(self, connection_id: int, opened: DatabaseConnection | ErrorCode) -> None:
        connection = self._connections[connection_id]
        connection.is_busy = False
        if isinstance(opened, ErrorCode):
            self._forget(connection_id, connection)
            self._handler.connection_failed(connection_id, opened)
            return
        connection.wrapped = opened
        if connection.close_wanted:
            self._close(connection_id, connection)
        else:
            self._handler.connection_opened(connection_id)

    def _finished(self, connection_id: int, result: JobResult) -> None:
        connection = self._connections.get(connection_id)
        if connection is not None:
            connection.is_busy = False
            if connection.close_wanted:
                self._close(connection_id, connection)
        self._handler.job_result(result)

    def _close(self, connection_id: int, connection: _Connection) -> None:
        self._forget(connection_id, connection)
        if connection.wrapped is None:
            return
        try:
            connection.threads.jobs.submit(connection.wrapped.close)
        except RuntimeError:  # the threads are ending already
            connection.wrapped.close()

    def _forget(self, connection_id: int, connection: _Connection) -> None:
        self._connections.pop(connection_id, None)
        connection.threads.connections -= 1
