"""A proxy's side of its back-end connections: what the daemon's driver and workers do."""

from collections.abc import Callable

import msgspec

from dewledge.core.proxy.effects import CloseConnection, OpenConnection, ReadStatuses, RunJob
from dewledge.core.proxy.jobs import Job, JobResult, JobUnknown, StatusReading
from dewledge.errors import ConnectRefused, ErrorCode
from dewledge.simulation.clock import EventQueue
from dewledge.simulation.database_server import DatabaseServer
from dewledge.simulation.network import Network

CONNECT_TIMEOUT = 2.0
"""Seconds after which an attempt to connect counts as failed."""


class ClientReports(msgspec.Struct, frozen=True):
    """Where results go; the proxy takes them when it runs, and not while it is frozen."""

    opened: Callable[[int], None]
    open_failed: Callable[[int, ErrorCode], None]
    job_result: Callable[[JobResult], None]
    status_reading: Callable[[int, StatusReading], None]


class _Connection:
    """One connection; `session` is None until the database has opened it."""

    def __init__(self, server: DatabaseServer) -> None:
        self.server = server
        self.session: int | None = None
        self.closed = False


class DatabaseClient:
    """Carries out the database effects of one incarnation of a proxy."""

    def __init__(
        self,
        proxy: str,
        servers: dict[str, DatabaseServer],
        network: Network,
        queue: EventQueue,
        reports: ClientReports,
    ) -> None:
        self._proxy = proxy
        self._servers = servers
        self._network = network
        self._queue = queue
        self._reports = reports
        self._connections: dict[int, _Connection] = {}
        self._running: dict[int, int] = {}
        self._rounds: set[tuple[int, str]] = set()

    def open(self, effect: OpenConnection) -> None:
        """Connects to a database."""
        connection = _Connection(self._servers[effect.database])
        connection_id = effect.connection_id
        self._connections[connection_id] = connection
        name = connection.server.name

        def reply(result: int | ConnectRefused) -> None:
            arrive = lambda: self._finish_open(connection_id, connection, result)  # noqa: E731
            self._network.send_stream(name, self._proxy, arrive)

        self._to(name, lambda: connection.server.open(self._proxy, reply))
        refused = ConnectRefused("no answer in time")
        self._queue.call_after(
            CONNECT_TIMEOUT, lambda: self._finish_open(connection_id, connection, refused)
        )

    def close(self, effect: CloseConnection) -> None:
        """Closes a connection; a session that opens after all is closed too."""
        connection = self._connections.pop(effect.connection_id, None)
        if connection is not None:
            self._close(connection)

    def close_all(self) -> None:
        """Closes everything, as the end of a process does."""
        for connection in self._connections.values():
            self._close(connection)
        self._connections.clear()

    def run(self, effect: RunJob) -> None:
        """Runs a job; without an answer in time the connection is given up."""
        job = effect.job
        connection = self._connections.get(job.connection_id)
        if connection is None or connection.session is None:
            self._reports.job_result(_lost(job, "the connection is not open"))
            return
        server, session = connection.server, connection.session
        self._running[job.job_id] = job.connection_id

        def reply(result: JobResult) -> None:
            arrive = lambda: self._finish_job(job, result)  # noqa: E731
            self._network.send_stream(server.name, self._proxy, arrive)

        self._to(server.name, lambda: server.run(session, self._proxy, job, reply))
        self._queue.call_after(job.timeout, lambda: self._give_up(job))

    def read_statuses(self, effect: ReadStatuses) -> None:
        """Asks each database for its status."""
        for name in effect.databases:
            self._read_status(effect.round_id, name, effect.timeout)

    def _read_status(self, round_id: int, name: str, timeout: float) -> None:
        self._rounds.add((round_id, name))
        server = self._servers[name]

        def finish(reading: StatusReading) -> None:
            if (round_id, name) in self._rounds:
                self._rounds.discard((round_id, name))
                self._reports.status_reading(round_id, reading)

        def ask() -> None:
            server.status(
                lambda status: self._network.send_stream(
                    name, self._proxy, lambda: finish(StatusReading(name, status))
                )
            )

        self._to(name, ask)
        self._queue.call_after(timeout, lambda: finish(StatusReading(name, None)))

    def _to(self, database: str, action: Callable[[], None]) -> None:
        self._network.send_stream(self._proxy, database, action)

    def _finish_open(
        self, connection_id: int, connection: _Connection, result: int | ConnectRefused
    ) -> None:
        if connection.session is not None:
            return
        if isinstance(result, int):
            connection.session = result
            if self._connections.get(connection_id) is connection:
                self._reports.opened(connection_id)
            else:
                self._close(connection)
            return
        if self._connections.get(connection_id) is connection:
            del self._connections[connection_id]
            self._reports.open_failed(connection_id, result.code)

    def _finish_job(self, job: Job, result: JobResult) -> None:
        if self._running.pop(job.job_id, None) is not None:
            self._reports.job_result(result)

    def _give_up(self, job: Job) -> None:
        if self._running.pop(job.job_id, None) is None:
            return
        connection = self._connections.get(job.connection_id)
        if connection is not None:
            self._close(connection)
        self._reports.job_result(_lost(job, "the database did not answer in time"))

    def _close(self, connection: _Connection) -> None:
        session = connection.session
        if session is None or connection.closed:
            return
        connection.closed = True
        server = connection.server
        self._to(server.name, lambda: server.close(session))


def _lost(job: Job, message: str) -> JobUnknown:
    return JobUnknown(job.job_id, ErrorCode.CONNECTION_LOST, message)
