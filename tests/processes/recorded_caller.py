"""A caller over HTTP that records each request in the history that the checkers judge."""

import itertools
import json
import time
from collections.abc import Callable, Sequence
from http.client import HTTPConnection, HTTPException
from typing import Any

import msgspec

from dewledge.core.proxy.calls import Access, Operation, Outcome, Statement
from dewledge.errors import ErrorCode
from dewledge.simulation.history import History, RequestRecord
from dewledge.simulation.workloads import amend, append, read_record
from dewledge.standin.deployment_resources import demonstration_token
from tests.process_cluster import ProcessCluster

TIME_LIMIT = 3.0
PATIENCE_PAST_DEADLINE = 1.5
AVOID_SECONDS = 10.0
CONNECT_ATTEMPTS = 6
PATHS = {
    Operation.EXECUTE: "/v1/statements",
    Operation.BEGIN: "/v1/transactions/begin",
    Operation.COMMIT: "/v1/transactions/commit",
    Operation.ROLLBACK: "/v1/transactions/rollback",
}

_numbers = itertools.count(1)


def new_marker() -> str:
    """Returns a marker that no other request of this test process has."""
    return f"m:{next(_numbers)}"


class Target(msgspec.Struct, frozen=True):
    """A proxy as callers reach it."""

    name: str
    address: str


class Call(msgspec.Struct, frozen=True):
    """What is asked; see RequestRecord for the fields."""

    operation: Operation = Operation.EXECUTE
    access: Access = Access.WRITE
    marker: str = ""
    statement: Statement | None = None
    record: str = ""
    version: int | None = None
    key: str | None = None
    transaction: str | None = None
    tag: str | None = None


class RecordedCaller:
    """One session. It stays with a proxy until it roams, is told to leave, or is cut off."""

    def __init__(
        self,
        history: History,
        targets: Callable[[], Sequence[Target]],
        name: str,
        caller: str = "applicants",
        time_limit: float = TIME_LIMIT,
    ) -> None:
        self.name = name
        self.caller = caller
        self.record = f"record-{name}"
        self.token: str | None = None
        self.version = 0
        self.transaction: str | None = None
        self.retry_after_header = False
        self._history = history
        self._targets = targets
        self._time_limit = time_limit
        self._turn = sum(name.encode())
        self._connection: HTTPConnection | None = None
        self._proxy = ""
        self._avoided: dict[str, float] = {}

    def roam(self) -> None:
        """Closes the connection; the next request goes to the next proxy."""
        if self._connection is not None:
            self._connection.close()
            self._connection = None

    def go_to(self, proxy: str) -> None:
        """Turns to one proxy."""
        self.roam()
        self._connect({target.name: target for target in self._targets()}[proxy])

    def amend(self) -> RequestRecord:
        """Writes the session's own record."""
        self.version += 1
        marker = new_marker()
        statement = amend(self.record, self.version, marker)
        call = Call(marker=marker, statement=statement, record=self.record, version=self.version)
        return self.send(call)

    def read(self, record: str = "") -> RequestRecord:
        """Reads the session's own record, or another."""
        record = record or self.record
        marker = new_marker()
        statement = read_record(record, marker)
        return self.send(
            Call(access=Access.READ, marker=marker, statement=statement, record=record)
        )

    def append(self, marker: str = "", keyed: bool = False) -> RequestRecord:
        """Adds an event; a repeat of a keyed one names the same marker."""
        marker = marker or new_marker()
        key = f"key-{marker}" if keyed else None
        return self.send(Call(marker=marker, statement=append(marker, "event"), key=key))

    def run(self, statement: Statement) -> RequestRecord:
        """Sends any write."""
        return self.send(Call(statement=statement))

    def begin(self, tag: str) -> RequestRecord:
        """Begins a transaction, kept in `transaction`."""
        return self.send(Call(operation=Operation.BEGIN, marker=new_marker(), tag=tag))

    def append_in_transaction(self, tag: str) -> RequestRecord:
        """Adds an event in the transaction."""
        marker = new_marker()
        statement = append(marker, tag)
        transaction = self.transaction
        return self.send(Call(marker=marker, statement=statement, transaction=transaction, tag=tag))

    def finish(self, operation: Operation, tag: str) -> RequestRecord:
        """Commits or rolls back the transaction."""
        transaction = self.transaction
        return self.send(
            Call(operation=operation, marker=new_marker(), transaction=transaction, tag=tag)
        )

    def send(self, call: Call) -> RequestRecord:
        """Sends one request and records what comes of it."""
        sent_at = time.monotonic()
        if self._connection is None:
            self._find_proxy()
        record = RequestRecord(
            number=next(_numbers),
            session=self.name,
            caller=self.caller,
            group=ProcessCluster.group,
            workload="",
            access=call.access,
            operation=call.operation,
            marker=call.marker,
            proxy=self._proxy,
            sent_at=sent_at,
            deadline=sent_at + self._time_limit,
            record=call.record,
            version=call.version,
            idempotency_key=call.key,
            transaction_tag=call.tag,
        )
        self._history.requests.append(record)
        self._exchange(call, record)
        return record

    def _find_proxy(self) -> None:
        for _ in range(CONNECT_ATTEMPTS):
            targets = self._answering_targets()
            self._turn += 1
            try:
                self._connect(targets[self._turn % len(targets)])
            except ConnectionRefusedError:
                self.roam()
                continue
            return

    def _answering_targets(self) -> Sequence[Target]:
        """All but those that lately left a request unanswered."""
        targets = self._targets()
        now = time.monotonic()
        return [it for it in targets if self._avoided.get(it.name, 0.0) < now] or targets

    def _connect(self, target: Target) -> None:
        timeout = self._time_limit + PATIENCE_PAST_DEADLINE
        self._proxy = target.name
        self._connection = HTTPConnection(target.address, timeout=timeout)
        self._connection.connect()

    def _exchange(self, call: Call, record: RequestRecord) -> None:
        if self._connection is None:
            record.reset = True  # nothing listened anywhere, so nothing was sent
            return
        token = demonstration_token(ProcessCluster.deployment, self.caller)
        headers = {"Authorization": f"Bearer {token}"}
        content = json.dumps(self._body(call))
        try:
            self._connection.request("POST", PATHS[call.operation], content, headers)
            response = self._connection.getresponse()
            body = json.loads(response.read())
        except TimeoutError:
            self._avoided[self._proxy] = time.monotonic() + AVOID_SECONDS
            self.roam()
            return
        except (OSError, HTTPException):
            record.reset = True
            self.roam()
            return
        self.retry_after_header = response.getheader("Retry-After") is not None
        self._note(record, body)
        if response.getheader("Connection") == "close" or record.outcome is not Outcome.DONE:
            self.roam()

    def _body(self, call: Call) -> dict[str, Any]:
        body: dict[str, Any] = {
            "group": ProcessCluster.group,
            "deadline_ms": int(self._time_limit * 1000),
        }
        if call.statement is not None:
            body |= {"sql": call.statement.sql, "parameters": call.statement.parameters}
            body["access"] = call.access
        optional = {
            "idempotency_key": call.key,
            "transaction": call.transaction,
            "session": self.token,
        }
        return body | {name: value for name, value in optional.items() if value is not None}

    def _note(self, record: RequestRecord, body: dict[str, Any]) -> None:
        record.answered_at = time.monotonic()
        record.answers += 1
        record.outcome = Outcome(body["outcome"])
        record.code = ErrorCode(body["code"]) if "code" in body else None
        record.repeated = body.get("repeated", False)
        record.rows = tuple(tuple(row) for row in body.get("rows", ()))
        retry_after = body.get("retry_after_ms")
        record.retry_after = None if retry_after is None else retry_after / 1000
        self.token = body.get("session") or self.token
        if record.operation is Operation.BEGIN:
            self.transaction = body.get("transaction")
        is_read = record.outcome is Outcome.DONE and record.access is Access.READ
        if is_read and record.record and record.rows and len(record.rows[0]) > 1:
            seen = record.rows[0][1]
            record.seen_version = seen if isinstance(seen, int) else 0
