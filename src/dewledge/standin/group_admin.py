"""The admin address of the database group stand-in: faults, history and statuses.

POST /faults/NAME with a FaultRequest; GET /history?since=N, /activity?since=N, /log, /statuses and
/databases.
"""

from collections.abc import Callable, Mapping
from enum import StrEnum
from functools import partial

import msgspec

from dewledge.core.proxy.database_status import DatabaseStatus
from dewledge.standin.database_server import DatabaseServer
from dewledge.standin.group_runtime import GroupRuntime
from dewledge.standin.group_types import LagStage
from dewledge.standin.http_server import (
    BAD_REQUEST,
    NOT_FOUND,
    OK,
    ConnectionHandler,
    HttpReply,
    HttpRequest,
)

FAULTS_PATH = "/faults/"
HISTORY_PATH = "/history"
ACTIVITY_PATH = "/activity"
LOG_PATH = "/log"
STATUSES_PATH = "/statuses"
DATABASES_PATH = "/databases"


class Fault(StrEnum):
    """What can be done to a database."""

    CUT_OFF = "cut_off"
    HEAL = "heal"
    FREEZE = "freeze"
    THAW = "thaw"
    KILL = "kill"
    RESTART = "restart"
    LAG = "lag"
    RESET = "reset"
    LOSE_ANSWERS = "lose_answers"


class FaultRequest(msgspec.Struct, frozen=True):
    """Which database, and how.

    from_callers: for CUT_OFF. seconds and stage: for LAG. count: for LOSE_ANSWERS.
    """

    database: str
    from_callers: bool = False
    seconds: float = 0.0
    stage: LagStage = LagStage.RECEIVE
    count: int = 1


class DatabaseAddress(msgspec.Struct, frozen=True):
    """Where a database listens."""

    name: str
    address: str


_decode_fault = msgspec.json.Decoder(FaultRequest).decode


class GroupAdmin(ConnectionHandler):
    """Serves one connection to the admin address."""

    def __init__(self, runtime: GroupRuntime, servers: Mapping[str, DatabaseServer]) -> None:
        self._runtime = runtime
        self._servers = servers

    def handle(self, request: HttpRequest) -> HttpReply:
        """Answers one request."""
        if request.method == "POST" and request.path.startswith(FAULTS_PATH):
            return self._switch(request.path.removeprefix(FAULTS_PATH), request.body)
        since = request.query.get("since", "0")
        if not since.isdecimal():
            return HttpReply(BAD_REQUEST)
        return self._report(request.path, int(since))

    def _report(self, path: str, since: int) -> HttpReply:
        model = self._runtime.model
        reports: dict[str, Callable[[float], object]] = {
            HISTORY_PATH: lambda now: model.history[since:],
            ACTIVITY_PATH: lambda now: list(model.activity)[since:],
            LOG_PATH: lambda now: model.surviving_log(),
            STATUSES_PATH: self._statuses,
            DATABASES_PATH: self._addresses,
        }
        report = reports.get(path)
        if report is None:
            return HttpReply(NOT_FOUND)
        return HttpReply(OK, msgspec.json.encode(self._runtime.call(report)))

    def _statuses(self, now: float) -> list[DatabaseStatus]:
        statuses = (self._runtime.model.status(name, now) for name in self._servers)
        return [status for status in statuses if status is not None]

    def _addresses(self, _now: float) -> list[DatabaseAddress]:
        return [DatabaseAddress(name, item.address) for name, item in self._servers.items()]

    def _switch(self, name: str, body: bytes) -> HttpReply:
        try:
            fault = Fault(name)
            request = _decode_fault(body)
        except (ValueError, msgspec.DecodeError) as error:
            return HttpReply(BAD_REQUEST, str(error).encode())
        if request.database not in self._servers:
            return HttpReply(NOT_FOUND)
        self._runtime.change(self._change(fault, request))
        if fault in (Fault.KILL, Fault.RESET):
            self._servers[request.database].close_connections()
        return HttpReply(OK)

    def _change(self, fault: Fault, request: FaultRequest) -> Callable[[float], None]:
        model = self._runtime.model
        database = request.database
        changes: dict[Fault, Callable[[float], None]] = {
            Fault.CUT_OFF: partial(model.cut_off, database, request.from_callers),
            Fault.HEAL: partial(model.heal, database),
            Fault.FREEZE: partial(model.freeze, database),
            Fault.THAW: partial(model.thaw, database),
            Fault.KILL: partial(model.kill, database),
            Fault.RESTART: partial(model.restart, database),
            Fault.LAG: lambda now: model.set_lag(database, request.seconds, now, request.stage),
            Fault.RESET: partial(model.reset_connections, database),
            Fault.LOSE_ANSWERS: partial(model.lose_answers, database, request.count),
        }
        return changes[fault]
