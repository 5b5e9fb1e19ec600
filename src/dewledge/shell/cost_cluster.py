"""Two proxies before a database that answers at once, for measuring what proxies cost."""

import hashlib
import itertools
import time
import uuid
from collections.abc import Callable

from dewledge.cli.http_client import HttpAnswer, ProxyClient
from dewledge.core.calls import Access, Outcome, Rows, Statement
from dewledge.core.database_status import DatabaseRole, DatabaseStatus
from dewledge.core.ports import DatabaseConnection, DatabaseDriver, ExecutionResult
from dewledge.core.positions import LogPosition, TermStart
from dewledge.core.resource_documents import to_document
from dewledge.core.resources import (
    CallerSpec,
    DatabaseSpec,
    GroupSpec,
    Kind,
    Resource,
    RuleEffect,
    RuleSpec,
    Spec,
)
from dewledge.errors import DewledgeError
from dewledge.settings import ProxySettings
from dewledge.shell.event_loop import EventLoop
from dewledge.shell.proxy_server import ProxyServer
from dewledge.standin.platform_server import PlatformServer
from dewledge.standin.platform_settings import PlatformSettings

GROUP = "cost"
CALLER_TOKEN = "cost-caller"
OPERATOR_TOKEN = "cost-operator"
SESSION_KEY = "the cost cluster shares this key only with itself"
DATABASES = {"127.0.0.1:1": "cost-1", "127.0.0.1:2": "cost-2", "127.0.0.1:3": "cost-3"}
PRIMARY_ADDRESS = "127.0.0.1:1"
TERM = 1
SLOTS = 32
START_SECONDS = 20.0
POLL_SECONDS = 0.05
ROWS = Rows(("number", "state"), ((7, "submitted"),), 0)


class InstantDatabases(DatabaseDriver):
    """Three databases in perfect step that answer without doing anything."""

    def __init__(self) -> None:
        self._commits = itertools.count(1)
        self.position = LogPosition(TERM, 0)

    def connect(self, address: str, timeout: float) -> "InstantConnection":
        """Opens a connection; see DatabaseDriver."""
        return InstantConnection(self, address)

    def read_status(self, address: str, timeout: float) -> DatabaseStatus:
        """Returns a status; see DatabaseDriver."""
        position = self.position
        starts = (TermStart(TERM, 0),)
        role = role_of(address)
        return DatabaseStatus(DATABASES[address], role, TERM, position, position, starts)

    def commit(self) -> LogPosition:
        """Moves the log on by one entry and returns its new end."""
        self.position = LogPosition(TERM, next(self._commits))
        return self.position


class InstantConnection(DatabaseConnection):
    """One connection; see DatabaseConnection."""

    def __init__(self, databases: InstantDatabases, address: str) -> None:
        self._databases = databases
        self._role = role_of(address)

    def execute(self, statement: Statement, access: Access, timeout: float) -> ExecutionResult:
        """Answers at once."""
        is_write = access is Access.WRITE
        position = self._databases.commit() if is_write else self._databases.position
        return ExecutionResult(ROWS, self._role, position)

    def begin(self, timeout: float) -> ExecutionResult:
        """Answers at once."""
        return ExecutionResult(Rows(), self._role, self._databases.position)

    def commit(self, timeout: float) -> ExecutionResult:
        """Answers at once."""
        return ExecutionResult(Rows(), self._role, self._databases.commit())

    def rollback(self, timeout: float) -> ExecutionResult:
        """Answers at once."""
        return self.begin(timeout)

    def close(self) -> None:
        """Does nothing."""


def role_of(address: str) -> DatabaseRole:
    """Returns the role of the database at an address."""
    return DatabaseRole.PRIMARY if address == PRIMARY_ADDRESS else DatabaseRole.REPLICA


class CostCluster:
    """An entry and a gateway: the databases are in the gateway's zone."""

    def __init__(self) -> None:
        self._platform = PlatformServer(PlatformSettings())
        databases = InstantDatabases()
        self._gateway = ProxyServer(self._settings("gateway", ()), databases)
        seeds = (self._gateway.gossip_address,)
        self._entry = ProxyServer(self._settings("entry", seeds), databases)
        self.entry_address = self._entry.caller_address

    @property
    def entry_loop(self) -> EventLoop:
        """The loop of the entry."""
        return self._entry.loop

    @property
    def gateway_loop(self) -> EventLoop:
        """The loop of the gateway."""
        return self._gateway.loop

    def start(self) -> None:
        """Starts both proxies and waits until statements are served."""
        self._platform.start()
        self._gateway.start()
        self._entry.start()
        change = {
            "change_id": uuid.uuid4().hex,
            "put": [to_document(resource) for resource in _resources()],
        }
        self._await(lambda: self._operator().post("/v1/changes", change).outcome is Outcome.DONE)
        self._await(lambda: self._write().outcome is Outcome.DONE)

    def stop(self) -> None:
        """Ends everything."""
        for proxy in (self._entry, self._gateway):
            proxy.stop()
            proxy.join(START_SECONDS)
        self._platform.stop()

    def write_once(self) -> str:
        """Makes one write and returns its session."""
        return str(self._write().body["session"])

    def _write(self) -> HttpAnswer:
        body = {"group": GROUP, "sql": "INSERT", "access": "write"}
        return ProxyClient([self.entry_address], CALLER_TOKEN).post("/v1/statements", body, 10.0)

    def _operator(self) -> ProxyClient:
        return ProxyClient([self.entry_address], OPERATOR_TOKEN)

    def _settings(self, name: str, seeds: tuple[str, ...]) -> ProxySettings:
        return ProxySettings(
            name=name,
            zone=name,
            caller_address="127.0.0.1:0",
            peer_address="127.0.0.1:0",
            gossip_address="127.0.0.1:0",
            platform_address=self._platform.address,
            seeds=seeds,
            session_keys=(SESSION_KEY,),
            bootstrap_operator_token_sha256=_digest(OPERATOR_TOKEN),
        )

    @staticmethod
    def _await(is_reached: Callable[[], bool]) -> None:
        give_up_at = time.monotonic() + START_SECONDS
        while not is_reached():
            if time.monotonic() > give_up_at:
                raise DewledgeError("the proxies did not get ready")
            time.sleep(POLL_SECONDS)


def _resources() -> list[Resource]:
    resources = [_resource(Kind.GROUP, GROUP, GroupSpec())]
    for address, name in DATABASES.items():
        spec = DatabaseSpec(GROUP, address, "gateway", slots=SLOTS, max_connections=2 * SLOTS)
        resources.append(_resource(Kind.DATABASE, name, spec))
    resources.append(_resource(Kind.CALLER, "caller", CallerSpec((_digest(CALLER_TOKEN),))))
    allow = RuleSpec(RuleEffect.ALLOW, access=(Access.READ, Access.WRITE))
    resources.append(_resource(Kind.RULE, "all", allow))
    return resources


def _resource(kind: Kind, name: str, spec: Spec) -> Resource:
    return Resource(kind, name, (), spec)


def _digest(token: str) -> str:
    return hashlib.sha256(token.encode()).hexdigest()
