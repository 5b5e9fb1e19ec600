"""A typed client of a group stand-in's admin address, for tests, experiments and the demo."""

from typing import TypeVar

import msgspec

from dewledge.core.proxy.database_status import DatabaseStatus
from dewledge.standin.admin_connection import AdminConnection
from dewledge.standin.group_admin import (
    ACTIVITY_PATH,
    DATABASES_PATH,
    FAULTS_PATH,
    HISTORY_PATH,
    LOG_PATH,
    STATUSES_PATH,
    DatabaseAddress,
    Fault,
    FaultRequest,
)
from dewledge.standin.group_types import ActivityEntry, HistoryEntry, LagStage, LogEntry

Report = TypeVar("Report")


class GroupClient:
    """Switches faults of a group and reads its history."""

    def __init__(self, admin_address: str) -> None:
        self._connection = AdminConnection(admin_address)

    def close(self) -> None:
        """Closes the connection."""
        self._connection.close()

    def cut_off(self, database: str, from_callers: bool = False) -> None:
        """Cuts a database off from its group, and from callers if asked."""
        self._switch(Fault.CUT_OFF, FaultRequest(database, from_callers=from_callers))

    def heal(self, database: str) -> None:
        """Ends a cut-off."""
        self._switch(Fault.HEAL, FaultRequest(database))

    def freeze(self, database: str) -> None:
        """Stops a database where it stands."""
        self._switch(Fault.FREEZE, FaultRequest(database))

    def thaw(self, database: str) -> None:
        """Lets a frozen database go on."""
        self._switch(Fault.THAW, FaultRequest(database))

    def kill(self, database: str) -> None:
        """Ends a database; its connections break."""
        self._switch(Fault.KILL, FaultRequest(database))

    def restart(self, database: str) -> None:
        """Starts a killed database."""
        self._switch(Fault.RESTART, FaultRequest(database))

    def lag(self, database: str, seconds: float, stage: LagStage = LagStage.RECEIVE) -> None:
        """Makes a replica lag."""
        self._switch(Fault.LAG, FaultRequest(database, seconds=seconds, stage=stage))

    def reset(self, database: str) -> None:
        """Breaks all connections to a database."""
        self._switch(Fault.RESET, FaultRequest(database))

    def lose_answers(self, database: str, count: int = 1) -> None:
        """Breaks the connection after each of the next commits."""
        self._switch(Fault.LOSE_ANSWERS, FaultRequest(database, count=count))

    def history(self, since: int = 0) -> list[HistoryEntry]:
        """Returns the accepted commits from number `since` on."""
        return self._read(f"{HISTORY_PATH}?since={since}", list[HistoryEntry])

    def activity(self, since: int = 0) -> list[ActivityEntry]:
        """Returns the requests that reached the databases, from number `since` on."""
        return self._read(f"{ACTIVITY_PATH}?since={since}", list[ActivityEntry])

    def surviving_log(self) -> list[LogEntry]:
        """Returns the log on the branch of the newest term."""
        return self._read(LOG_PATH, list[LogEntry])

    def statuses(self) -> list[DatabaseStatus]:
        """Returns the status of each database that answers."""
        return self._read(STATUSES_PATH, list[DatabaseStatus])

    def addresses(self) -> dict[str, str]:
        """Returns each database's address, by name."""
        found = self._read(DATABASES_PATH, list[DatabaseAddress])
        return {item.name: item.address for item in found}

    def _switch(self, fault: Fault, request: FaultRequest) -> None:
        self._connection.call("POST", FAULTS_PATH + fault, msgspec.json.encode(request))

    def _read(self, target: str, report_type: type[Report]) -> Report:
        return msgspec.json.decode(self._connection.call("GET", target).body, type=report_type)
