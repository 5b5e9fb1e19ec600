"""How many connections a gateway should hold to one database, by its role there."""

from dewledge.core.proxy.configuration.resources import DatabaseSpec
from dewledge.core.proxy.gateway.report import GatewayRole


class ConnectionTarget:
    """Limits of the database, the role of this proxy, and until when it stands in for another.

    slots: statements that the database runs at once. Times are seconds on the core's clock.
    """

    def __init__(self) -> None:
        self.address = ""
        self.slots = 0
        self.role = GatewayRole.RELEASED
        self.drained = False
        self._connection_bound = 0
        self._stands_in_until = float("-inf")

    def configure(self, spec: DatabaseSpec) -> None:
        """Takes the limits of the configuration in force."""
        self.slots = spec.slots
        self._connection_bound = spec.max_connections
        self.address = spec.address

    def stand_in(self, until: float) -> None:
        """Has all connections held until then, in place of the active gateway."""
        self._stands_in_until = until

    def count(self, is_idle: bool, standby_connections: int, now: float) -> int:
        """Returns the connections to hold; one that isn't idle keeps what its work needs."""
        if self.drained:
            return 0
        all_slots = min(self.slots, self._connection_bound)
        stands_in = self.role is GatewayRole.STANDBY and now < self._stands_in_until
        if self.role is GatewayRole.ACTIVE or stands_in or not is_idle:
            return all_slots
        if self.role is GatewayRole.STANDBY:
            return min(standby_connections, all_slots)
        return 0
