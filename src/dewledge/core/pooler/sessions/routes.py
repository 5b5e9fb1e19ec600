"""Routes: the database group and the consistency for each database name that clients connect to.

Immutable values that the platform adapter builds from the operator's configuration.
"""

from collections.abc import Mapping
from enum import StrEnum

import msgspec

from dewledge.core.pooler.rate_limits.limits import RateLimit

NO_CALLER = ""
"""Name of the caller if no credential is required."""
NO_VERSION = -1
"""Version of the route table before the first configuration."""


class Consistency(StrEnum):
    """Freshness guarantee of a route's reads."""

    PRIMARY = "primary"
    BOUNDED_STALENESS = "bounded_staleness"
    READ_OWN_WRITES = "read_own_writes"


class Route(msgspec.Struct, frozen=True):
    """Settings for a database name. Times in seconds; priority 0 is the highest."""

    name: str
    database: str
    group: str
    consistency: Consistency
    statement_timeout: float
    target_latency: float
    priority: int
    max_staleness: float = 0.0
    is_public: bool = False
    """Whether clients need no credential."""


class GroupPolicy(msgspec.Struct, frozen=True):
    """Operator's settings of a database group."""

    name: str
    max_connections: int
    synchronous_replicas: int = 0


class RouteTable(msgspec.Struct, frozen=True):
    """A version of the operator's configuration; replaced as a whole by the next version."""

    version: int
    routes: Mapping[str, Route]
    groups: Mapping[str, GroupPolicy]
    transaction_idle_timeout: float = 3.0
    callers: Mapping[str, str] | None = None
    """Caller names by digest of the credential; None if no credentials are required."""
    rate_limits: Mapping[str, RateLimit] = {}
    """Rate limits by caller name; a caller without an entry has no limit."""

    def find_route(self, database: str) -> Route | None:
        """Returns the route of a database name, or None."""
        return self.routes.get(database)

    def synchronous_replicas(self, group: str) -> int | None:
        """Returns the number of a group's synchronous replicas, None before a configuration.

        A group that the configuration does not name has none.
        """
        if self.version == NO_VERSION:
            return None
        policy = self.groups.get(group)
        return 0 if policy is None else policy.synchronous_replicas

    def authenticate(self, route: Route, digest: str) -> str | None:
        """Returns the name of the caller with this credential, None for an unknown credential.

        Returns NO_CALLER if the route needs no credential; the proxy then connects to
        databases as its own user.
        """
        if self.callers is None or route.is_public:
            return NO_CALLER
        return self.callers.get(digest)


EMPTY_ROUTE_TABLE = RouteTable(NO_VERSION, {}, {})
"""Route table used before the first configuration, whose version is at least 0."""
