"""Makes the groups of a process, and shares their databases' connections among the processes.

Owns the process's map of groups as far as new ones are added. Relies on the configuration in force
(`services.routes`) and on the members that the store's table tells.
"""

import random

from dewledge.core.pooler.databases.group import Group
from dewledge.core.pooler.databases.group_view import DatabaseRecord
from dewledge.core.pooler.databases.locality import Locality
from dewledge.core.pooler.failover.primary_lease import PrimaryLeases
from dewledge.core.pooler.sessions.services import PoolServices
from dewledge.core.pooler.sharing.holders import Holding, connections_per_process, holding_of
from dewledge.core.pooler.statements.read_choice import CompletionEstimator
from dewledge.pooler_settings import PoolerSettings
from dewledge.shell.pooler.links.database_opener import DirectOpener, SharingOpener
from dewledge.shell.pooler.tables.member_table import ASSUMED_MEMBERS, MemberTable

DRAIN_MARGIN_SECONDS = 2.0
"""Taken off the bound within which a leaving database gets no new work."""
LEAST_DRAIN_SECONDS = 1.0
"""What is left of a bound that is hardly longer than the margin."""


class GroupFactory:
    """Makes each group once."""

    def __init__(
        self,
        settings: PoolerSettings,
        services: PoolServices,
        leases: PrimaryLeases,
        opener: SharingOpener,
        direct: DirectOpener,
    ) -> None:
        """`opener`: for statements of this process; `direct`: for those of all."""
        self._services = services
        self._leases = leases
        self._opener = opener
        self._direct = direct
        self._locality = Locality(settings.zone, settings.zones)
        drain_bound = settings.timings.drain_bound - DRAIN_MARGIN_SECONDS
        self._drain_bound = max(drain_bound, LEAST_DRAIN_SECONDS)

    def group(self, name: str) -> Group:
        """Returns the group of this name; it is made if it is not known yet."""
        group = self._services.groups.get(name)
        if group is None:
            group = self._services.groups[name] = self._make(name)
        return group

    def _make(self, name: str) -> Group:
        policy = self._services.load_policy
        now = self._services.scheduler.now
        group = Group(
            name,
            self._locality,
            self._opener,
            now,
            self._drain_bound,
            self._direct,
            self._leases.of(name),
            CompletionEstimator(now, random.random) if policy.told_load else None,
            policy.silent_databases,
            policy.fair_callers,
        )
        group.on_event = self._services.record
        return group


class ConnectionShares:
    """How many of each database's connections this process holds, or through whom it goes."""

    def __init__(
        self,
        settings: PoolerSettings,
        services: PoolServices,
        members: MemberTable,
        groups: GroupFactory,
    ) -> None:
        self._own_name = settings.name
        self._locality = Locality(settings.zone, settings.zones)
        self._services = services
        self._members = members
        self._groups = groups

    def share_anew(self) -> None:
        """Has each group find anew how this process reaches its databases."""
        for name in self._services.routes.groups:
            self._groups.group(name).set_holdings(self._find_holding)

    def _find_holding(self, record: DatabaseRecord) -> Holding:
        policy = self._services.routes.groups.get(record.group)
        if policy is None:
            return Holding(1)
        if not self._members.is_known:
            return Holding(max(connections_per_process(policy.max_connections, ASSUMED_MEMBERS), 1))

        def distance(zone: str) -> int:
            return self._locality.steps_between(zone, record.zone)

        members = self._members.members
        return holding_of(self._own_name, record.id, policy.max_connections, members, distance)
