"""Which databases and groups a gateway looks after, as configuration and placement say."""

from collections.abc import Mapping
from typing import Protocol

from dewledge.core.proxy.configuration.configuration import EMPTY_CONFIGURATION, Configuration
from dewledge.core.proxy.configuration.resources import DatabaseSpec, GroupSpec
from dewledge.core.proxy.gateway.context import GatewayContext
from dewledge.core.proxy.gateway.database import GatewayDatabase
from dewledge.core.proxy.gateway.group_monitor import GroupMonitor
from dewledge.core.proxy.gateway.report import DatabaseReport, GatewayRole
from dewledge.core.proxy.gateway.request import RequestRegistry
from dewledge.core.proxy.gateway.transactions import TransactionTable


class DrainPolicy(Protocol):
    """What a gateway asks of the access policy."""

    def is_drained(self, database: str) -> bool:
        """Tells whether a database gets no new work."""


class Placement(Protocol):
    """What a gateway asks of the placement."""

    def ranked(self, database: str) -> tuple[str, ...]:
        """Returns proxies, the active gateway first."""

    def active(self, database: str) -> str | None:
        """Returns the active gateway, or None."""

    def databases_of(self, proxy: str) -> tuple[str, ...]:
        """Returns the databases whose active gateway is `proxy`."""

    def standby_databases_of(self, proxy: str) -> tuple[str, ...]:
        """Returns the databases whose next gateway is `proxy`."""


class GatewayRoster:
    """The databases and group monitors of one gateway."""

    def __init__(
        self, context: GatewayContext, registry: RequestRegistry, table: TransactionTable
    ) -> None:
        self._context = context
        self._registry = registry
        self._table = table
        self._configuration: Configuration = EMPTY_CONFIGURATION
        self._placement: Placement | None = None
        self._databases: dict[str, GatewayDatabase] = {}
        self._monitors: dict[str, GroupMonitor] = {}
        self._policy: DrainPolicy | None = None
        self._active: dict[str, frozenset[str]] = {}

    @property
    def is_ready(self) -> bool:
        """Whether a configuration has come."""
        return self._placement is not None

    @property
    def databases(self) -> Mapping[str, GatewayDatabase]:
        """The databases that are served, or still finished, here."""
        return self._databases

    @property
    def monitors(self) -> Mapping[str, GroupMonitor]:
        """The groups that are watched."""
        return self._monitors

    def reports(self) -> tuple[DatabaseReport, ...]:
        """Returns the figures of each database, by name."""
        return tuple(self._databases[name].report() for name in sorted(self._databases))

    def configure(
        self, configuration: Configuration, policy: DrainPolicy, placement: Placement, now: float
    ) -> None:
        """Takes over a configuration and placement; what was accepted before is finished."""
        self._configuration = configuration
        self._placement = placement
        me = self._context.me
        self._policy = policy
        roles = dict.fromkeys(self._databases, GatewayRole.RELEASED)
        roles.update(dict.fromkeys(placement.standby_databases_of(me), GatewayRole.STANDBY))
        roles.update(dict.fromkeys(placement.databases_of(me), GatewayRole.ACTIVE))
        self._note_active(roles)
        for group in sorted(self._active.keys() | self._monitors.keys()):
            self._configure_monitor(self.monitor(group, now), group, now)
        for name, role in roles.items():
            self._configure_database(name, role, policy.is_drained(name), now)
        for name in [name for name, item in self._databases.items() if item.is_disposable]:
            del self._databases[name]

    def database(self, name: str, group: str, now: float) -> GatewayDatabase | None:
        """Returns a database that this gateway serves in `group`.

        None while what it did in another group, before it was moved, is not finished.
        """
        database = self._databases.get(name)
        if database is not None and database.group != group and database.is_disposable:
            drained = self._policy is not None and self._policy.is_drained(name)
            self._configure_database(name, GatewayRole.ACTIVE, drained, now)
            database = self._databases[name]
        return database if database is not None and database.group == group else None

    def spec(self, database: str) -> DatabaseSpec | None:
        """Returns a database's spec, or None."""
        return self._configuration.database(database)

    def has_group(self, group: str) -> bool:
        """Tells whether a group with databases is configured."""
        return bool(self._configuration.databases_of(group))

    def active_gateway(self, database: str) -> str | None:
        """Returns the active gateway of a database, or None."""
        return self._placement.active(database) if self._placement else None

    def is_next_gateway(self, database: str) -> bool:
        """Tells whether this is the gateway that serves if the active one cannot."""
        ranked = self._placement.ranked(database) if self._placement else ()
        return self._context.me in ranked[1:2]

    def other_gateway(self, database: str) -> str | None:
        """Returns the best ranked gateway that is not this one, or None."""
        ranked = self._placement.ranked(database) if self._placement else ()
        return next((name for name in ranked if name != self._context.me), None)

    def monitor(self, group: str, now: float) -> GroupMonitor:
        """Returns the monitor of a configured group."""
        monitor = self._monitors.get(group)
        if monitor is None:
            monitor = GroupMonitor(self._context, group)
            self._monitors[group] = monitor
            self._configure_monitor(monitor, group, now)
        return monitor

    def _note_active(self, roles: Mapping[str, GatewayRole]) -> None:
        names: dict[str, list[str]] = {}
        for name, role in roles.items():
            spec = self._configuration.database(name)
            if role is GatewayRole.ACTIVE and spec is not None:
                names.setdefault(spec.group, []).append(name)
        self._active = {group: frozenset(items) for group, items in names.items()}

    def _configure_monitor(self, monitor: GroupMonitor, group: str, now: float) -> None:
        addresses: dict[str, str] = {}
        for name in self._configuration.databases_of(group):
            spec = self._configuration.database(name)
            if spec is not None:
                addresses[name] = spec.address
        policy = (self._configuration.group(group) or GroupSpec()).confirmation
        monitor.configure(addresses, policy, self._active.get(group, frozenset()), now)

    def _configure_database(self, name: str, role: GatewayRole, drained: bool, now: float) -> None:
        spec = self._configuration.database(name)
        database = self._databases.get(name)
        if database is not None and spec is not None and database.group != spec.group:
            if database.is_disposable:
                database = None
            else:
                spec = None  # Its old connections and transactions end first, in the old group.
        if database is not None and spec is None:
            database.configure(None, GatewayRole.RELEASED, True, now)
        elif spec is not None:
            if database is None:
                database = self._new_database(name, spec, now)
            database.configure(spec, role, drained, now)

    def _new_database(self, name: str, spec: DatabaseSpec, now: float) -> GatewayDatabase:
        monitor = self.monitor(spec.group, now)
        database = GatewayDatabase(
            self._context, name, spec.group, self._registry, monitor, self._table, self._weight_of
        )
        self._databases[name] = database
        return database

    def _weight_of(self, caller: str) -> float:
        spec = self._configuration.caller(caller)
        return float(max(spec.weight, 1)) if spec else 1.0
