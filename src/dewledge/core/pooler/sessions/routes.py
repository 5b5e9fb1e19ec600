"""Routes: which group and which consistency the clients of a database name get.

Immutable values, made from the operator's configuration by the platform adapter; they own nothing.
"""

from collections.abc import Mapping
from enum import StrEnum

import msgspec

from dewledge.core.pooler.rate_limits.limits import RateLimit

NO_CALLER = ""
"""The name of the caller where nobody has to show a credential."""


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
    is_public: bool = False
    """Whether clients need no credential on it."""


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
    callers: Mapping[str, str] | None = None
    """The name of the caller of each credential's digest; None where clients need none."""
    rate_limits: Mapping[str, RateLimit] = {}
    """By caller's name; one that is missing has none."""

    def find_route(self, database: str) -> Route | None:
        """Returns the route of a database name, or None."""
        return self.routes.get(database)

    def authenticate(self, route: Route, digest: str) -> str | None:
        """Returns the name of the caller with a credential, None if its credential is not known.

        Empty where none is needed: databases are told the proxy's own name there.
        """
        if self.callers is None or route.is_public:
            return NO_CALLER
        return self.callers.get(digest)


EMPTY_ROUTE_TABLE = RouteTable(-1, {}, {})
"""Version -1: before the first configuration, whose version is 0 or more."""
