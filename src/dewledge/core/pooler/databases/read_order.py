"""Collects the data by which a group's databases are ordered for one read.

The data are the pools of this process, predicted replica lags, distances and, if enabled, reported
loads. The order is computed by `load/database_order` from expected completion times if load reports
are enabled, else by `statements/targets` from distances and this process's own statements.
"""

from collections.abc import Callable, Sequence

import msgspec

from dewledge.core.pooler.databases.group_pools import GroupPools
from dewledge.core.pooler.databases.group_view import DatabaseRecord, GroupView
from dewledge.core.pooler.databases.locality import Locality
from dewledge.core.pooler.databases.replica_lag import ReplicaLags
from dewledge.core.pooler.load.database_order import Completion
from dewledge.core.pooler.statements.completion_estimate import CompletionEstimator
from dewledge.core.pooler.statements.targets import (
    Proof,
    Target,
    targets_by_completion,
    targets_by_local_load,
)
from dewledge.core.shared.positions import LogPosition

UNREACHABLE_LOAD = 1000
"""Statements added to the load of a database that was unreachable recently: more than any real
load, so that it sorts last."""


class ReadOptions(msgspec.Struct, frozen=True):
    """The candidates and constraints of a read.

    floor: the minimum position that a replica must show, None if none is proven. primary: the
    usable primary, None for none. primary_proof: how the primary proves its role for this read.
    excluded: the id of a database that can't be reached, None for none.
    caller: the caller that sent the read.
    """

    view: GroupView
    floor: LogPosition | None
    primary: DatabaseRecord | None
    primary_proof: Proof
    excluded: str | None
    caller: str


class ReadOrder:
    """Orders the databases of a group for reads."""

    def __init__(
        self, locality: Locality, clock: Callable[[], float], lags: ReplicaLags, pools: GroupPools
    ) -> None:
        self._locality = locality
        self._clock = clock
        self._lags = lags
        self._pools = pools

    def targets(self, options: ReadOptions, choice: CompletionEstimator | None) -> Sequence[Target]:
        """Returns the databases that may serve a read, best first.

        choice: orders by expected completion; None to order by distance and this process's own
        statements at each database.
        """
        if choice is None:
            return targets_by_local_load(
                options.view,
                options.floor,
                options.primary,
                self._distance,
                self._load,
                self._lacks,
                options.excluded,
                options.primary_proof,
            )

        def cost(record: DatabaseRecord, position: LogPosition) -> Completion:
            return self._completion(choice, record, position, options)

        return targets_by_completion(
            options.view,
            options.floor,
            options.primary,
            cost,
            choice.order,
            options.excluded,
            options.primary_proof,
        )

    def _distance(self, record: DatabaseRecord) -> int:
        return self._locality.distance(record.zone)

    def _lacks(self, record: DatabaseRecord, floor: LogPosition) -> bool:
        return self._lags.lacks(record.id, floor, self._clock())

    def _completion(
        self,
        choice: CompletionEstimator,
        record: DatabaseRecord,
        floor: LogPosition,
        options: ReadOptions,
    ) -> Completion:
        primary = options.view.primary
        is_primary = primary is not None and primary.id == record.id
        lag_seconds = (
            0.0 if is_primary else self._lags.seconds_until_applied(record.id, floor, self._clock())
        )
        is_direct = self._pools.holding(record.id).is_direct
        pool, steps = self._pools.client_pools.get(record.id), self._distance(record)
        return choice.completion(
            record, pool, is_direct, options.caller, steps, lag_seconds, is_primary
        )

    def _load(self, record: DatabaseRecord) -> int:
        pool = self._pools.client_pools.get(record.id)
        if pool is None:
            return 0
        return pool.load + (UNREACHABLE_LOAD if pool.is_unreachable else 0)
