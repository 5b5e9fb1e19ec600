"""The driver for the stand-in databases."""

import threading
import time

import msgspec

from dewledge.adapters.database_protocol import (
    BEGIN_PATH,
    COMMIT_PATH,
    EXECUTE_PATH,
    NO_BODY,
    OK_STATUS,
    OPEN_PATH,
    ROLLBACK_PATH,
    STATUS_PATH,
    ExecuteBody,
    decode_failure,
    decode_result,
    decode_status,
    encode_body,
    error_of,
    with_place,
)
from dewledge.adapters.http_exchange import (
    MIN_WAIT_SECONDS,
    AnswerMissing,
    ClosedBeforeSending,
    HttpAnswer,
    HttpExchange,
)
from dewledge.core.proxy.calls import Access, Statement
from dewledge.core.proxy.database_status import DatabaseStatus
from dewledge.core.proxy.ports import NO_LIMIT, DatabaseConnection, DatabaseDriver, ExecutionResult
from dewledge.errors import (
    ConnectionBroken,
    ConnectionClosed,
    ConnectRefused,
    DatabaseError,
    ProtocolError,
)

MAX_IDLE_STATUS_CONNECTIONS = 4
"""Idle connections for status requests that are kept for each database."""


class HttpDatabaseConnection(DatabaseConnection):
    """One session on a stand-in database."""

    def __init__(self, exchange: HttpExchange) -> None:
        self._exchange = exchange
        self._in_transaction = False

    def execute(self, statement: Statement, access: Access, timeout: float) -> ExecutionResult:
        """Runs one statement; see DatabaseConnection."""
        limit = NO_LIMIT if self._in_transaction else self.new_work_limit
        body = encode_body(ExecuteBody(statement, access))
        return self._call(EXECUTE_PATH, body, timeout, limit)

    def begin(self, timeout: float) -> ExecutionResult:
        """Begins a transaction; see DatabaseConnection."""
        result = self._call(BEGIN_PATH, NO_BODY, timeout, self.new_work_limit)
        self._in_transaction = True
        return result

    def commit(self, timeout: float) -> ExecutionResult:
        """Commits; see DatabaseConnection."""
        self._in_transaction = False
        return self._call(COMMIT_PATH, NO_BODY, timeout)

    def rollback(self, timeout: float) -> ExecutionResult:
        """Rolls back; see DatabaseConnection."""
        self._in_transaction = False
        return self._call(ROLLBACK_PATH, NO_BODY, timeout)

    def close(self) -> None:
        """Closes the connection."""
        self._exchange.close()

    def _call(
        self, path: str, body: bytes, timeout: float, send_before: float = NO_LIMIT
    ) -> ExecutionResult:
        try:
            answer = self._exchange.request("POST", path, body, timeout, send_before)
            if answer.status == OK_STATUS:
                return decode_result(answer.body)
        except ClosedBeforeSending as error:
            raise ConnectionClosed(str(error)) from error
        except (AnswerMissing, ProtocolError, msgspec.DecodeError) as error:
            self.close()
            raise ConnectionBroken(str(error)) from error
        raise self._failure(answer)

    def _failure(self, answer: HttpAnswer) -> DatabaseError:
        try:
            return error_of(decode_failure(answer.body))
        except msgspec.DecodeError:
            self.close()
            return ConnectionBroken(f"the database answered with status {answer.status}")


class HttpDatabaseDriver(DatabaseDriver):
    """Opens sessions on stand-in databases, as a client in the given zone and region."""

    def __init__(self, zone: str = "", region: str = "") -> None:
        self._open_target = with_place(OPEN_PATH, zone, region)
        self._status_target = with_place(STATUS_PATH, zone, region)
        self._idle: dict[str, list[HttpExchange]] = {}
        self._closed = False
        self._lock = threading.Lock()

    def connect(self, address: str, timeout: float) -> HttpDatabaseConnection:
        """Opens a session; see DatabaseDriver."""
        deadline = time.monotonic() + timeout
        try:
            exchange = HttpExchange(address, timeout)
        except (OSError, ValueError) as error:
            raise ConnectRefused(f"cannot connect to {address}: {error}") from error
        connection = HttpDatabaseConnection(exchange)
        try:
            time_left = _time_until(deadline)
            answer = exchange.request("POST", self._open_target, NO_BODY, time_left, deadline)
            if answer.status == OK_STATUS:
                return connection
            raise error_of(decode_failure(answer.body))
        except ConnectRefused:
            connection.close()
            raise
        except (
            ClosedBeforeSending,
            AnswerMissing,
            ProtocolError,
            DatabaseError,
            msgspec.DecodeError,
        ) as error:
            connection.close()
            raise ConnectRefused(f"no session at {address}: {error}") from error

    def read_status(self, address: str, timeout: float) -> DatabaseStatus:
        """Asks for the status over a connection kept for that; see DatabaseDriver."""
        try:
            return self._read_status(address, time.monotonic() + timeout)
        except (
            OSError,
            ValueError,
            ClosedBeforeSending,
            AnswerMissing,
            ProtocolError,
            msgspec.DecodeError,
        ) as error:
            raise ConnectRefused(f"no status from {address}: {error}") from error

    def _read_status(self, address: str, deadline: float) -> DatabaseStatus:
        while (kept := self._take_idle(address)) is not None:
            try:
                return self._ask_status(address, kept, deadline)
            except ClosedBeforeSending:
                continue  # the database closed it while it was idle; the next one may be open
            except AnswerMissing:
                # What silenced this connection has probably silenced the idle ones too.
                self._close_idle(address)
                raise
        opened = HttpExchange(address, _time_until(deadline))
        return self._ask_status(address, opened, deadline)

    def _ask_status(self, address: str, exchange: HttpExchange, deadline: float) -> DatabaseStatus:
        time_left = _time_until(deadline)
        answer = exchange.request("GET", self._status_target, NO_BODY, time_left)
        try:
            status = decode_status(answer.body)
        except msgspec.DecodeError:
            exchange.close()
            raise
        self._keep_idle(address, exchange)
        return status

    def close(self) -> None:
        """Closes the idle connections, and those in use for a status as soon as they are not."""
        with self._lock:
            self._closed = True
            idle = [exchange for kept in self._idle.values() for exchange in kept]
            self._idle.clear()
        for exchange in idle:
            exchange.close()

    def _take_idle(self, address: str) -> HttpExchange | None:
        with self._lock:
            kept = self._idle.get(address)
            return kept.pop() if kept else None

    def _close_idle(self, address: str) -> None:
        with self._lock:
            idle = self._idle.pop(address, [])
        for exchange in idle:
            exchange.close()

    def _keep_idle(self, address: str, exchange: HttpExchange) -> None:
        with self._lock:
            kept = self._idle.setdefault(address, [])
            is_full = len(kept) >= MAX_IDLE_STATUS_CONNECTIONS
            if not (self._closed or is_full or exchange.closed):
                kept.append(exchange)
                return
        exchange.close()


def _time_until(deadline: float) -> float:
    return max(deadline - time.monotonic(), MIN_WAIT_SECONDS)
