"""The processes of the cost measurement: an entry, a gateway, and a bare echo.

The databases answer at once; they are in the gateway's zone, so that the gateway serves them all.
"""

import hashlib
import itertools
import sys
import threading
import time
import uuid
from collections.abc import Callable

import msgspec

from dewledge.cli.http_client import ProxyClient
from dewledge.core.proxy.calls import Access, Outcome, Rows, Statement
from dewledge.core.proxy.configuration.resource_documents import to_document
from dewledge.core.proxy.configuration.resources import (
    CallerSpec,
    DatabaseSpec,
    GroupSpec,
    Kind,
    Resource,
    RuleEffect,
    RuleSpec,
    Spec,
)
from dewledge.core.proxy.database_status import DatabaseRole, DatabaseStatus
from dewledge.core.proxy.ports import DatabaseConnection, DatabaseDriver, ExecutionResult
from dewledge.core.shared.positions import LogPosition, TermStart
from dewledge.errors import ConnectRefused, DewledgeError
from dewledge.settings import ProxySettings
from dewledge.shell.cost_callers import GROUP
from dewledge.shell.cost_echo import EchoServer
from dewledge.shell.proxy.proxy_server import ProxyServer
from dewledge.shell.shared.event_loop import EventLoop
from dewledge.shell.shared.log import configure_log
from dewledge.standin.platform_server import PlatformServer
from dewledge.standin.platform_settings import PlatformSettings

LOOPBACK = "127.0.0.1:0"
CALLER_TOKEN = "cost-caller"
OPERATOR_TOKEN = "cost-operator"
SESSION_KEY = "the cost cluster shares this key only with itself"
DATABASES = {"127.0.0.1:1": "cost-1", "127.0.0.1:2": "cost-2", "127.0.0.1:3": "cost-3"}
PRIMARY_ADDRESS = "127.0.0.1:1"
TERM = 1
SLOTS = 32
START_SECONDS = 20.0
POLL_SECONDS = 0.05
NOT_FROM_HERE = "only the gateway reaches the databases"
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


class UnreachableDatabases(DatabaseDriver):
    """The databases as the entry sees them.

    Were it to stand in for the gateway, it would do so with databases of its own process: a session
    begun there waits for positions that the gateway's databases never reach.
    """

    def connect(self, address: str, timeout: float) -> DatabaseConnection:
        """Refuses; see DatabaseDriver."""
        raise ConnectRefused(NOT_FROM_HERE)

    def read_status(self, address: str, timeout: float) -> DatabaseStatus:
        """Refuses; see DatabaseDriver."""
        raise ConnectRefused(NOT_FROM_HERE)


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


class NodeReady(msgspec.Struct, frozen=True):
    """What a node says of itself once it serves. thread: the kernel's id of its loop's thread."""

    thread: int
    callers: str
    gossip: str = ""
    platform: str = ""


def apply_resources(proxy: str) -> None:
    """Has the resources of the measurement accepted. Raises DewledgeError if it takes too long."""
    change = {
        "change_id": uuid.uuid4().hex,
        "put": [to_document(resource) for resource in _resources()],
    }
    client = ProxyClient([proxy], OPERATOR_TOKEN)
    _await(lambda: client.post("/v1/changes", change).outcome is Outcome.DONE)


def await_session(proxy: str) -> str:
    """Returns the session of a first write. Raises DewledgeError if it takes too long."""
    client = ProxyClient([proxy], CALLER_TOKEN)
    body = {"group": GROUP, "sql": "INSERT", "access": "write"}
    sessions: list[str] = []

    def is_written() -> bool:
        answer = client.post("/v1/statements", body, START_SECONDS)
        sessions.append(str(answer.body.get("session")))
        return answer.outcome is Outcome.DONE

    _await(is_written)
    return sessions[-1]


def _await(is_reached: Callable[[], bool]) -> None:
    give_up_at = time.monotonic() + START_SECONDS
    while not is_reached():
        if time.monotonic() > give_up_at:
            raise DewledgeError("the proxies did not get ready")
        time.sleep(POLL_SECONDS)


def _serve_echo() -> None:
    server = EchoServer(EventLoop())
    _report(NodeReady(threading.get_native_id(), server.address))
    server.loop.run()


def _serve_gateway() -> None:
    platform = PlatformServer(PlatformSettings())
    platform.start()
    _serve_proxy("gateway", platform.address, (), InstantDatabases())


def _serve_proxy(
    name: str, platform: str, seeds: tuple[str, ...], databases: DatabaseDriver
) -> None:
    settings = ProxySettings(
        name=name,
        zone=name,
        caller_address=LOOPBACK,
        peer_address=LOOPBACK,
        gossip_address=LOOPBACK,
        platform_address=platform,
        seeds=seeds,
        session_keys=(SESSION_KEY,),
        bootstrap_operator_token_sha256=_digest(OPERATOR_TOKEN),
    )
    configure_log("WARNING")
    server = ProxyServer(settings, databases)
    ready = NodeReady(
        threading.get_native_id(), server.caller_address, server.gossip_address, platform
    )
    _report(ready)
    server.run()


def _report(ready: NodeReady) -> None:
    sys.stdout.buffer.write(msgspec.json.encode(ready) + b"\n")
    sys.stdout.flush()


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


def _main(arguments: list[str]) -> None:
    match arguments:
        case ["echo"]:
            _serve_echo()
        case ["gateway"]:
            _serve_gateway()
        case ["entry", platform, gossip]:
            _serve_proxy("entry", platform, (gossip,), UnreachableDatabases())


if __name__ == "__main__":
    _main(sys.argv[1:])
