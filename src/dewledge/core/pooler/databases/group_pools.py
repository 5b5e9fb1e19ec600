"""The connection pools of a group, and how this process reaches each database.

There is a pool per database for this process's clients, and a second one for other processes if the
clients' pool goes through holders. A `Holding` says whether a database is reached by direct
connections or through holders. The process sets the function that returns the holding of a
database; results are cached until the function is replaced.
"""

from collections.abc import Callable, Sequence

from dewledge.core.pooler.databases.group_view import DatabaseRecord
from dewledge.core.pooler.pool.connection_pool import ConnectionPool
from dewledge.core.pooler.pool.opener import Opener
from dewledge.core.pooler.pool.pool_factory import PoolFactory, pool_limit
from dewledge.core.pooler.sharing.holders import FALLBACK_CONNECTIONS, Holding


class GroupPools:
    """Creates the pools of a group on first use, and updates them when the holdings change."""

    def __init__(
        self,
        make_pool: PoolFactory,
        find_record: Callable[[str], DatabaseRecord | None],
        opener: Opener,
        direct_opener: Opener,
    ) -> None:
        """Starts without pools.

        find_record: returns the current record of a database id, None if it is unknown. opener:
        opens connections or channels for this process's clients. direct_opener: opens connections
        to databases for statements of other processes.
        """
        self.client_pools: dict[str, ConnectionPool] = {}
        """By database id, for statements of this process's clients."""
        self._peer_pools: dict[str, ConnectionPool] = {}
        """By database id, for statements that peers send although this process is not a holder."""
        self._make_pool = make_pool
        self._find_record = find_record
        self._opener = opener
        self._direct_opener = direct_opener
        self._find_holding: Callable[[DatabaseRecord], Holding] | None = None
        self._holdings: dict[str, Holding] = {}

    def set_holdings(self, find: Callable[[DatabaseRecord], Holding]) -> None:
        """Sets the function that decides how this process reaches each database.

        Existing pools get the new limit; a pool whose route changes closes its idle connections.
        """
        self._find_holding = find
        previous, self._holdings = self._holdings, {}
        for database_id, pool in self.client_pools.items():
            holding = self.holding(database_id)
            previous_holding = previous.get(database_id)
            pool.change_limit(pool_limit(holding))
            if previous_holding is not None and previous_holding.is_direct != holding.is_direct:
                pool.switch_route(self._make_pool.create_window(database_id, holding))

    def holding(self, database_id: str) -> Holding:
        """Returns how this process reaches a database."""
        holding = self._holdings.get(database_id)
        record = self._find_record(database_id)
        if holding is None:
            holding = Holding(1)
            if record is not None and self._find_holding is not None:
                holding = self._find_holding(record)
                self._holdings[database_id] = holding
        return holding

    def pool(self, database_id: str) -> ConnectionPool:
        """Returns the pool of a database for statements of this process's clients."""
        pool = self.client_pools.get(database_id)
        if pool is None:
            holding = self.holding(database_id)
            pool = self._make_pool(database_id, pool_limit(holding), self._opener, holding)
            self.client_pools[database_id] = pool
        return pool

    def peer_pool(self, database_id: str) -> ConnectionPool:
        """Returns the pool for statements of other processes; its connections are always direct."""
        if self.holding(database_id).is_direct:
            return self.pool(database_id)
        pool = self._peer_pools.get(database_id)
        if pool is None:
            limit = FALLBACK_CONNECTIONS
            pool = self._make_pool(database_id, limit, self._direct_opener, Holding(limit))
            self._peer_pools[database_id] = pool
        return pool

    def all_pools(self) -> Sequence[ConnectionPool]:
        """Returns the pools of all databases."""
        return [*self.client_pools.values(), *self._peer_pools.values()]

    def on_view_changed(self, may_serve: Callable[[str], bool]) -> None:
        """Retires the pools of removed databases, and closes idle connections to draining ones.

        may_serve: tells whether a database may get new work.
        """
        for pools in (self.client_pools, self._peer_pools):
            for database_id, pool in list(pools.items()):
                if self._find_record(database_id) is None:
                    pool.retire()
                    if not pool.in_use:
                        del pools[database_id]
                elif not may_serve(database_id):
                    pool.close_idle()
