"""Parses the JSON rows that operators and databases write into the store.

A row that cannot be decoded raises ProtocolError; unknown fields are ignored.
"""

import math
from collections.abc import Iterator
from typing import Any

import msgspec

from dewledge.core.pooler.databases.group_view import DatabaseRecord, DatabaseRole
from dewledge.core.pooler.rate_limits.limits import RateLimit
from dewledge.core.pooler.sessions.routes import Consistency, GroupPolicy, Route, RouteTable
from dewledge.core.shared.addresses import check_remote_address
from dewledge.core.shared.caller_credentials import credential_digest, index_credentials
from dewledge.core.shared.decoding import decode_json
from dewledge.core.shared.units import MILLISECONDS_PER_SECOND
from dewledge.errors import ProtocolError

DRAINING_STATE = "draining"
STATES = ("ready", DRAINING_STATE)
MAX_TEXT_LENGTH = 200
"""Characters of a text in a database's entry."""
MAX_SLOTS = 1_000_000
"""Statements that a database can run at once by its entry."""
ROLES = {"primary": DatabaseRole.PRIMARY, "replica": DatabaseRole.REPLICA}


class _RouteRow(msgspec.Struct, rename="camel"):
    name: str
    host: str
    service: str
    type: str = "primary"
    timeout_ms: float = 1000
    target_latency_ms: float = 1000
    priority: int = 1
    max_staleness_ms: float = 0
    public: bool = False


class _ServiceRow(msgspec.Struct, rename="camel"):
    name: str
    max_connections: int = 1
    sync_replicas: int = 0


class _LimitsRow(msgspec.Struct, rename="camel"):
    tx_idle_ms: float = 3000


class _TenantRow(msgspec.Struct, rename="camel"):
    name: str
    key_digests: list[str] = []
    rate_per_s: float = 0
    burst: float = 0


class _ConfigurationRow(msgspec.Struct, rename="camel"):
    version: int
    routes: list[_RouteRow] = []
    services: list[_ServiceRow] = []
    limits: _LimitsRow = msgspec.field(default_factory=_LimitsRow)
    tenants: list[_TenantRow] | None = None


class _DatabaseRow(msgspec.Struct, rename="camel"):
    service: str
    address: str
    zone: str
    version: str
    slots: int
    state: str
    cold_remaining_ms: float
    call_seq: int
    db_role: str
    born: int = 0


def hash_api_keys(value: bytes) -> bytes:
    """Returns the operator's configuration with tenants' API keys replaced by their digests.

    This keeps plaintext keys out of this process's memory, its messages to other processes and its
    logs. Returns empty bytes if the value cannot be decoded; `parse_configuration` rejects these.
    """
    try:
        row = decode_json(value, dict[str, Any])
        for tenant in row.get("tenants", ()):
            tenant["keyDigests"] = [credential_digest(key) for key in tenant.pop("apiKeys", ())]
    except (ProtocolError, AttributeError, KeyError, TypeError, ValueError):
        return b""
    return msgspec.json.encode(row)


def parse_configuration(value: bytes) -> RouteTable:
    """Parses the operator's configuration as returned by `hash_api_keys`. Raises ProtocolError."""
    row = decode_json(value, _ConfigurationRow)
    tenants = row.tenants or []
    return RouteTable(
        row.version,
        {route.host: _build_route(route) for route in row.routes},
        {
            service.name: GroupPolicy(service.name, service.max_connections, service.sync_replicas)
            for service in row.services
        },
        row.limits.tx_idle_ms / MILLISECONDS_PER_SECOND,
        None
        if row.tenants is None
        else index_credentials((t.name, t.key_digests) for t in tenants),
        {t.name: RateLimit(t.rate_per_s, t.burst) for t in tenants if t.rate_per_s > 0},
    )


def parse_database(database_id: str, value: bytes, revision: int) -> DatabaseRecord:
    """Parses the row that a database wrote about itself.

    Raises ProtocolError unless each field is there, of its type and one of the values that it can
    have: the row may be of another writer, and then names no database to use.
    """
    row = decode_json(value, _DatabaseRow)
    faults = list(_faults_of_database(row))
    if faults:
        raise ProtocolError("; ".join(faults))
    return DatabaseRecord(
        database_id,
        row.service,
        row.address,
        row.zone,
        ROLES[row.db_role],
        row.state == DRAINING_STATE,
        row.slots,
        revision,
    )


def _faults_of_database(row: _DatabaseRow) -> Iterator[str]:
    """Returns why the fields of a row have values that no database writes."""
    for name, text in (("service", row.service), ("zone", row.zone)):
        if not 1 <= len(text) <= MAX_TEXT_LENGTH:
            yield f"{name}: must have 1 to {MAX_TEXT_LENGTH} characters"
    try:
        check_remote_address(row.address[:MAX_TEXT_LENGTH])
    except ValueError as error:
        yield f"address: {error}"
    if row.state not in STATES:
        yield f"state: {row.state[:MAX_TEXT_LENGTH]!r} is unknown"
    if row.db_role not in ROLES:
        yield f"dbRole: {row.db_role[:MAX_TEXT_LENGTH]!r} is unknown"
    if not 1 <= row.slots <= MAX_SLOTS:
        yield f"slots: must be 1 to {MAX_SLOTS}"
    if not 0 <= row.cold_remaining_ms < math.inf:
        yield "coldRemainingMs: must be a finite number of at least 0"


def _build_route(row: _RouteRow) -> Route:
    try:
        consistency = Consistency(row.type)
    except ValueError:
        consistency = Consistency.PRIMARY
    return Route(
        row.name,
        row.host,
        row.service,
        consistency,
        row.timeout_ms / MILLISECONDS_PER_SECOND,
        row.target_latency_ms / MILLISECONDS_PER_SECOND,
        row.priority,
        row.max_staleness_ms / MILLISECONDS_PER_SECOND,
        row.public,
    )
