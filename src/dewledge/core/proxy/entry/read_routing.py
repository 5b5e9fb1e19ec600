"""Which databases a read may use: the rules, the drained ones, and the choice of a replica."""

from dewledge.core.proxy.entry.group import EntryGroup
from dewledge.core.proxy.entry.pending_requests import PendingRequest
from dewledge.core.proxy.entry.primary_doubt import PrimaryClaim
from dewledge.core.proxy.entry.server_selection import (
    LAG_DEVIATIONS,
    ReadChoice,
    ReadQuery,
    choose_replica,
    readable_replicas,
)
from dewledge.core.proxy.entry.state import EntryState

DEFAULT_READ_WAIT = 0.01
"""Seconds; for a group that has just left the configuration."""


class ReadRouting:
    """Applies the configuration to the pure selection of a replica."""

    def __init__(self, state: EntryState) -> None:
        self._state = state

    def choose_replica(
        self, pending: PendingRequest, group: EntryGroup, now: float
    ) -> ReadChoice | None:
        """Returns a replica for a read with a floor, or None if the primary is the better choice.

        Notes on the request how old its floor is known to be.
        """
        state = self._state
        floor = pending.floor
        if floor is None or pending.stale_answers >= state.settings.max_stale_answers:
            return None
        request = pending.request
        allowed = state.policy.read_databases(request.caller, request.group)
        replicas = readable_replicas(allowed, group.description.primary, pending.excluded)
        candidates = [name for name in replicas if not state.policy.is_drained(name)]
        if not candidates:
            return None
        age = group.head.age_of(floor, now)
        pending.floor_age = state.settings.unseen_floor_age if age is None else age
        spec = state.configuration.group(request.group)
        read_wait = DEFAULT_READ_WAIT if spec is None else spec.read_wait
        query = ReadQuery(
            floor=floor,
            floor_age=pending.floor_age,
            candidates=candidates,
            read_wait=read_wait - pending.held,
            zone=state.zone,
            now=now,
        )
        return choose_replica(group.description, query, group.outstanding, state.random.random)

    def may_use(self, pending: PendingRequest, database: str) -> bool:
        """Tells whether the rules let this read go to a database."""
        request = pending.request
        return database in self._state.policy.read_databases(request.caller, request.group)

    def may_start_on_replica(
        self, pending: PendingRequest, group: EntryGroup, claim: PrimaryClaim
    ) -> bool:
        """Tells whether a read without a floor had better ask for one than use the primary."""
        limit = self._state.settings.first_read_lag_limit
        if limit <= 0 or not pending.is_read or pending.floor or pending.asked_read_index:
            return False
        return any(
            item.lag is not None and item.lag + LAG_DEVIATIONS * item.lag_deviation < limit
            for item in group.description.databases.values()
            if item.available and item.name != claim.database
        )
