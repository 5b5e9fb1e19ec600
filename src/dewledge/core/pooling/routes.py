"""Routes: which group and which consistency the clients of a database name get."""

from collections.abc import Mapping
from enum import StrEnum

import msgspec


class Consistency(StrEnum):
    """How fresh a route's reads are."""

    PRIMARY = "primary"
    BOUNDED_STALENESS = "bounded_staleness"
    READ_OWN_WRITES = "read_own_writes"


class Route(msgspec.Struct, frozen=True):
    """One database name that clients connect to. Times in seconds; priority 0 is the highest."""

    name: str
    database: str
    group: str
    consistency: Consistency
    statement_timeout: float
    target_latency: float
    priority: int
    max_staleness: float = 0.0


class GroupPolicy(msgspec.Struct, frozen=True):
    """What the operator says of one database group."""

    name: str
    max_connections: int
    synchronous_replicas: int = 0


class RouteTable(msgspec.Struct, frozen=True):
    """One version of the operator's configuration. Immutable; a later one replaces it whole."""

    version: int
    routes: Mapping[str, Route]
    groups: Mapping[str, GroupPolicy]
    transaction_idle_timeout: float = 3.0

    def find(self, database: str) -> Route | None:
        """Returns the route of a database name, or None."""
        return self.routes.get(database)


EMPTY_ROUTE_TABLE = RouteTable(-1, {}, {})
