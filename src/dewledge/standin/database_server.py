"""One database of the stand-in group: its listener, its slots and the time things take."""

import threading
import time
from collections.abc import Callable
from functools import partial

import msgspec

from dewledge.adapters.database_protocol import (
    BAD_REQUEST_STATUS,
    BEGIN_PATH,
    COMMIT_PATH,
    EXECUTE_PATH,
    FAILURE_STATUS,
    OK_STATUS,
    OPEN_PATH,
    ROLLBACK_PATH,
    STATUS_PATH,
    decode_execute,
    encode_body,
    failure_of,
)
from dewledge.core.proxy.calls import Access
from dewledge.core.proxy.database_status import DatabaseStatus
from dewledge.core.proxy.ports import ExecutionResult
from dewledge.errors import ConnectionBroken, DatabaseError
from dewledge.standin.group_runtime import GroupRuntime, GroupStopped
from dewledge.standin.group_settings import DatabaseSettings, GroupSettings
from dewledge.standin.http_server import ConnectionHandler, HttpReply, HttpRequest, HttpServer
from dewledge.standin.link_delays import LinkDelays, Locality


class DatabaseServer:
    """Serves one database at its own address."""

    def __init__(
        self, runtime: GroupRuntime, group: GroupSettings, database: DatabaseSettings
    ) -> None:
        self.name = database.name
        self.runtime = runtime
        self.group = group
        self.links: LinkDelays = group.links.to_delays()
        self.place = Locality(database.zone, database.region)
        self.slots = threading.BoundedSemaphore(database.slots)
        self._http = HttpServer(database.address, lambda: _DatabaseSession(self))

    @property
    def address(self) -> str:
        """Returns the address in use, "ip:port"."""
        return self._http.address

    def start(self) -> None:
        """Begins to accept connections."""
        self._http.start()

    def stop(self) -> None:
        """Closes the listener and all connections."""
        self._http.stop()

    def close_connections(self) -> None:
        """Breaks every open connection."""
        self._http.close_connections()


class _DatabaseSession(ConnectionHandler):
    """One connection; it becomes a session once it is opened."""

    def __init__(self, server: DatabaseServer) -> None:
        self._server = server
        self._session: int | None = None
        self._link_delay = 0.0

    def handle(self, request: HttpRequest) -> HttpReply | None:
        """Answers one request, after the delays of the link there and back."""
        if request.path in (OPEN_PATH, STATUS_PATH):
            client = Locality(request.query.get("zone", ""), request.query.get("region", ""))
            self._link_delay = self._server.links.one_way(client, self._server.place)
        _pause(self._link_delay)
        try:
            reply = self._answer(request)
        except (ConnectionBroken, GroupStopped):
            return None
        except DatabaseError as error:
            reply = HttpReply(FAILURE_STATUS, encode_body(failure_of(error)))
        except msgspec.DecodeError:
            reply = HttpReply(BAD_REQUEST_STATUS)
        _pause(self._link_delay)
        return reply

    def ended(self) -> None:
        """Closes the session; an open transaction is rolled back."""
        if self._session is not None:
            session = self._session
            self._server.runtime.change(partial(self._server.runtime.model.close_session, session))

    def _answer(self, request: HttpRequest) -> HttpReply | None:
        if request.path == STATUS_PATH:
            return self._status()
        if request.path == OPEN_PATH and self._session is None:
            return self._open()
        if self._session is None:
            return HttpReply(BAD_REQUEST_STATUS)
        run = self._operation(self._session, request)
        if run is None:
            return HttpReply(BAD_REQUEST_STATUS)
        return HttpReply(OK_STATUS, encode_body(run()))

    def _operation(
        self, session: int, request: HttpRequest
    ) -> Callable[[], ExecutionResult] | None:
        model = self._server.runtime.model
        group = self._server.group
        if request.path == EXECUTE_PATH:
            body = decode_execute(request.body)
            read = body.access is Access.READ
            service_time = group.read_time if read else group.write_time
            execute = partial(model.execute, session, body.statement, body.access)
            return lambda: self._in_slot(execute, service_time)
        if request.path == BEGIN_PATH:
            return lambda: self._in_slot(partial(model.begin, session))
        if request.path == COMMIT_PATH:
            return lambda: self._in_slot(partial(model.commit, session))
        if request.path == ROLLBACK_PATH:
            return lambda: self._in_slot(partial(model.rollback, session))
        return None

    def _in_slot(
        self, operation: Callable[[float], ExecutionResult], service_time: float = 0.0
    ) -> ExecutionResult:
        with self._server.slots:
            _pause(service_time)
            return self._server.runtime.call(operation)

    def _open(self) -> HttpReply | None:
        _pause(self._server.group.open_time)
        self._session = self._server.runtime.call(self._open_session)
        return HttpReply(OK_STATUS)

    def _open_session(self, now: float) -> int:
        self._server.runtime.model.require_answering(self._server.name)
        return self._server.runtime.model.open_session(self._server.name, now)

    def _status(self) -> HttpReply:
        status = self._server.runtime.call(self._read_status)
        return HttpReply(OK_STATUS, encode_body(status))

    def _read_status(self, now: float) -> DatabaseStatus | None:
        self._server.runtime.model.require_answering(self._server.name)
        return self._server.runtime.model.status(self._server.name, now)


def _pause(seconds: float) -> None:
    if seconds > 0:
        time.sleep(seconds)
