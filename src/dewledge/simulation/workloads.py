"""What the callers of the two deployments ask for, and how it is written in SQL.

Every request carries a marker unique to it. A read returns it, and a write leaves it in the log,
so that a history shows whose answer and whose effect each one is.
"""

from enum import StrEnum

import msgspec

from dewledge.core.proxy.calls import Statement
from dewledge.simulation.deployments import DeploymentName

MARKER_PREFIX = "m:"
TAG_PREFIX = "t:"

SCHEMA = (
    Statement("CREATE TABLE records (id TEXT PRIMARY KEY, version INTEGER, marker TEXT)"),
    Statement("CREATE TABLE events (marker TEXT, kind TEXT)"),
)

_AMEND = (
    "INSERT INTO records (id, version, marker) VALUES (?, ?, ?) "
    "ON CONFLICT (id) DO UPDATE SET version = excluded.version, marker = excluded.marker "
    "WHERE excluded.version > records.version RETURNING marker"
)
_APPEND = "INSERT INTO events (marker, kind) VALUES (?, ?) RETURNING marker"
_READ_RECORD = "SELECT ?, (SELECT version FROM records WHERE id = ?)"
_LIST = "SELECT ?, COUNT(*) FROM records"


class Action(StrEnum):
    """The shapes a request can have.

    AMEND: write the session's own record, then read it back. READ_OWN: read it. LOOK_UP: read
    another session's record. LIST: read over all records. APPEND: a write that its caller sends
    once. SUBMIT: a write that may not be repeated, with an idempotency key, which its caller
    repeats until it knows the outcome. TRANSACTION: two writes between begin and commit.
    """

    AMEND = "amend"
    READ_OWN = "read_own"
    LOOK_UP = "look_up"
    LIST = "list"
    APPEND = "append"
    SUBMIT = "submit"
    TRANSACTION = "transaction"


class Workload(msgspec.Struct, frozen=True):
    """One kind of request of a deployment. share: its part of all arrivals."""

    name: str
    caller: str
    action: Action
    share: float


WORKLOADS: dict[str, tuple[Workload, ...]] = {
    DeploymentName.PERMITS: (
        Workload("portal status", "portal", Action.LOOK_UP, 0.45),
        Workload("amend filing", "applicants", Action.AMEND, 0.18),
        Workload("read filing", "applicants", Action.READ_OWN, 0.15),
        Workload("submit with fee", "applicants", Action.SUBMIT, 0.08),
        Workload("decision", "officers", Action.APPEND, 0.10),
        Workload("conditions", "officers", Action.TRANSACTION, 0.04),
    ),
    DeploymentName.MENUS: (
        Workload("allergy lookup", "dietitians", Action.LOOK_UP, 0.50),
        Workload("ordering list", "managers", Action.LIST, 0.15),
        Workload("substitution", "kitchens", Action.AMEND, 0.13),
        Workload("read diet", "kitchens", Action.READ_OWN, 0.06),
        Workload("diet order", "kitchens", Action.APPEND, 0.06),
        Workload("supplier order", "managers", Action.SUBMIT, 0.06),
        Workload("week plan", "managers", Action.TRANSACTION, 0.04),
    ),
}


def amend(record: str, version: int, marker: str) -> Statement:
    """Sets a record to a version; an older version that arrives late changes nothing."""
    return Statement(_AMEND, (record, version, marker))


def append(marker: str, kind: str) -> Statement:
    """Adds an event; nothing but the system keeps it from being added twice."""
    return Statement(_APPEND, (marker, kind))


def read_record(record: str, marker: str) -> Statement:
    """Reads the version of a record."""
    return Statement(_READ_RECORD, (marker, record))


def list_records(marker: str) -> Statement:
    """Counts the records."""
    return Statement(_LIST, (marker,))


def markers_in(statements: tuple[Statement, ...]) -> tuple[str, ...]:
    """Returns the markers that statements carry, in order."""
    return _parameters_with(statements, MARKER_PREFIX)


def tags_in(statements: tuple[Statement, ...]) -> tuple[str, ...]:
    """Returns the transaction tags that statements carry, in order."""
    return _parameters_with(statements, TAG_PREFIX)


def _parameters_with(statements: tuple[Statement, ...], prefix: str) -> tuple[str, ...]:
    return tuple(
        parameter
        for statement in statements
        for parameter in statement.parameters
        if isinstance(parameter, str) and parameter.startswith(prefix)
    )
