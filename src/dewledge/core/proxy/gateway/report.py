"""What a gateway tells about the databases it serves, for status pages and metrics."""

from enum import StrEnum

import msgspec


class GatewayRole(StrEnum):
    """What the placement makes of this proxy for a database."""

    ACTIVE = "active"
    STANDBY = "standby"
    RELEASED = "released"


class DatabaseReport(msgspec.Struct, frozen=True):
    """Figures of one database at this gateway, for status pages and metrics.

    service_time: the running mean of the time a statement holds a slot, seconds.
    """

    database: str
    role: GatewayRole
    drained: bool
    waiting: int
    running: int
    transactions: int
    connections: int
    service_time: float
