"""Creates the groups of a process and divides database connections among the processes.

New groups are added to `services.groups`. The division follows from the active configuration
(`services.routes`) and the member table.
"""

import random

from dewledge.core.pooler.databases.group import Group
from dewledge.core.pooler.databases.group_view import DatabaseRecord
from dewledge.core.pooler.databases.locality import Locality
from dewledge.core.pooler.failover.primary_lease import PrimaryLeases
from dewledge.core.pooler.sessions.services import PoolServices
from dewledge.core.pooler.sharing.holders import Holding, connections_per_process, holding_of
from dewledge.core.pooler.statements.completion_estimate import CompletionEstimator
from dewledge.pooler_settings import PoolerSettings
from dewledge.shell.pooler.links.database_opener import DirectOpener, SharingOpener
from dewledge.shell.pooler.tables.member_table import ASSUMED_MEMBERS, MemberTable

DRAIN_MARGIN_SECONDS = 2.0
"""Seconds before the end of `timings.drain_bound` at which a draining database gets no new work."""
MIN_DRAIN_SECONDS = 1.0
"""Seconds: lower bound of the drain time after the margin is subtracted."""


class GroupFactory:
    """Creates each group on first use."""

    def __init__(
        self,
        settings: PoolerSettings,
        services: PoolServices,
        leases: PrimaryLeases,
        opener: SharingOpener,
        direct: DirectOpener,
    ) -> None:
        """`opener`: opens connections, or channels through holders, for this process's clients.

        direct: opens connections to databases for statements of other processes.
        """
        self._services = services
        self._leases = leases
        self._opener = opener
        self._direct = direct
        self._locality = Locality(settings.zone, settings.zones)
        drain_bound = settings.timings.drain_bound - DRAIN_MARGIN_SECONDS
        self._drain_bound = max(drain_bound, MIN_DRAIN_SECONDS)

    def get_or_create(self, name: str) -> Group:
        """Returns the group of this name, created if it does not exist."""
        group = self._services.groups.get(name)
        if group is None:
            group = self._services.groups[name] = self._create(name)
        return group

    def _create(self, name: str) -> Group:
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


class HoldingsUpdater:
    """Determines whether this process holds connections to a database, or which processes do."""

    def __init__(
        self,
        settings: PoolerSettings,
        services: PoolServices,
        members: MemberTable,
        groups: GroupFactory,
    ) -> None:
        self._process_name = settings.name
        self._locality = Locality(settings.zone, settings.zones)
        self._services = services
        self._members = members
        self._groups = groups

    def update_holdings(self) -> None:
        """Makes each group recompute how this process reaches its databases."""
        for name in self._services.routes.groups:
            self._groups.get_or_create(name).set_holdings(self._find_holding)

    def _find_holding(self, record: DatabaseRecord) -> Holding:
        policy = self._services.routes.groups.get(record.group)
        if policy is None:
            return Holding(1)
        if not self._members.is_known:
            return Holding(max(connections_per_process(policy.max_connections, ASSUMED_MEMBERS), 1))

        def distance(zone: str) -> int:
            return self._locality.steps_between(zone, record.zone)

        members = self._members.members
        return holding_of(self._process_name, record.id, policy.max_connections, members, distance)
