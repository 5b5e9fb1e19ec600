"""The pools before the databases of one group, and how this process reaches each database.

Owns the pools of this process's clients, the pools lent to other processes, and the holdings: by
which connections or through which processes a database is reached. The rule that finds a holding is
set by the process; a holding is kept until the rule is set anew.
"""

from collections.abc import Callable, Sequence

from dewledge.core.pooler.databases.group_view import DatabaseRecord
from dewledge.core.pooler.pool.connection_pool import ConnectionPool
from dewledge.core.pooler.pool.opener import Opener
from dewledge.core.pooler.pool.pool_factory import PoolFactory, pool_limit
from dewledge.core.pooler.sharing.holders import FALLBACK_CONNECTIONS, Holding


class GroupPools:
    """One group's. A pool is made when it is first asked for."""

    def __init__(
        self,
        make: PoolFactory,
        find_record: Callable[[str], DatabaseRecord | None],
        opener: Opener,
        direct_opener: Opener,
    ) -> None:
        """`find_record`: the record of a database now, by its id.

        direct_opener: opens connections that other processes' statements may use.
        """
        self.own: dict[str, ConnectionPool] = {}
        """By database, for the statements of this process's clients."""
        self._lent: dict[str, ConnectionPool] = {}
        """By database that this process does not hold, for statements that peers send all the
        same."""
        self._make = make
        self._find_record = find_record
        self._opener = opener
        self._direct_opener = direct_opener
        self._find_holding: Callable[[DatabaseRecord], Holding] | None = None
        self._holdings: dict[str, Holding] = {}

    def set_holdings(self, find: Callable[[DatabaseRecord], Holding]) -> None:
        """Sets by what rule this process reaches each database."""
        self._find_holding = find
        before, self._holdings = self._holdings, {}
        for database_id, pool in self.own.items():
            holding = self.holding(database_id)
            known = before.get(database_id)
            pool.change_limit(pool_limit(holding))
            if known is not None and known.is_direct != holding.is_direct:
                pool.renew(self._make.window(database_id, holding))

    def holding(self, database_id: str) -> Holding:
        """Returns how this process reaches a database."""
        known = self._holdings.get(database_id)
        record = self._find_record(database_id)
        if known is None:
            known = Holding(1)
            if record is not None and self._find_holding is not None:
                known = self._find_holding(record)
                self._holdings[database_id] = known
        return known

    def pool(self, database_id: str) -> ConnectionPool:
        """Returns the pool before a database, for the statements of this process's clients."""
        pool = self.own.get(database_id)
        if pool is None:
            holding = self.holding(database_id)
            pool = self._make(database_id, pool_limit(holding), self._opener, holding)
            self.own[database_id] = pool
        return pool

    def lending_pool(self, database_id: str) -> ConnectionPool:
        """Returns the pool for other processes' statements: always of connections held here."""
        if self.holding(database_id).is_direct:
            return self.pool(database_id)
        pool = self._lent.get(database_id)
        if pool is None:
            limit = FALLBACK_CONNECTIONS
            pool = self._make(database_id, limit, self._direct_opener, Holding(limit))
            self._lent[database_id] = pool
        return pool

    def all(self) -> Sequence[ConnectionPool]:
        """Returns the pools of all databases."""
        return [*self.own.values(), *self._lent.values()]

    def follow_view(self, may_serve: Callable[[str], bool]) -> None:
        """Ends the pools of databases that have left, and idle connections of those that leave.

        may_serve: tells whether a database may be given new work.
        """
        for pools in (self.own, self._lent):
            for database_id, pool in list(pools.items()):
                if self._find_record(database_id) is None:
                    pool.retire()
                    if not pool.in_use:
                        del pools[database_id]
                elif not may_serve(database_id):
                    pool.close_idle()
