"""The open transactions of one database: their connections and slots, and when they must end."""

from collections.abc import Callable, Sequence

import msgspec

from dewledge.core.proxy.gateway.connection_pool import ConnectionPool
from dewledge.core.proxy.gateway.context import GatewayContext, Timer
from dewledge.core.proxy.gateway.transactions import Transaction, TransactionTable
from dewledge.core.shared.service_rate import ServiceRate
from dewledge.errors import ErrorCode


class _Bound(msgspec.Struct, frozen=True):
    """When the open transactions end at the latest, and the code that tells why."""

    when: float
    code: ErrorCode


class OpenTransactions:
    """Each holds a connection and a slot, from its BEGIN to its end.

    rate: learns how long transactions last. on_slot_free: called with the time once one has ended.
    """

    def __init__(
        self,
        context: GatewayContext,
        database: str,
        table: TransactionTable,
        pool: ConnectionPool,
        rate: ServiceRate,
        on_slot_free: Callable[[float], None],
    ) -> None:
        self.on_slot_free = on_slot_free
        self._context = context
        self._database = database
        self._table = table
        self._pool = pool
        self._rate = rate
        self._open: dict[str, Transaction] = {}
        self._beginning = 0
        self._bound: _Bound | None = None

    @property
    def held(self) -> int:
        """Transactions open or beginning."""
        return len(self._open) + self._beginning

    @property
    def all(self) -> Sequence[Transaction]:
        """The open ones; they may be ended while this is gone through."""
        return list(self._open.values())

    def reserve(self) -> int:
        """Returns an idle connection for a BEGIN."""
        self._beginning += 1
        return self._pool.lend()

    def not_begun(self, connection: int, clean: bool, now: float) -> None:
        """Takes back the connection of a BEGIN that failed; one that isn't clean is closed."""
        self._beginning -= 1
        if clean:
            self._pool.give_back(connection, now)
        else:
            self._pool.discard(connection, now)

    def begun(
        self, caller: str, connection: int, wrote: bool, term: int, now: float
    ) -> Transaction:
        """Takes in a transaction that the database has begun, in `term` as it is known."""
        self._beginning -= 1
        transaction = self._table.begin(caller, self._database, connection, wrote, term, now)
        self._open[transaction.transaction_id] = transaction
        limit = self._context.settings.transaction_limit
        transaction.age_timer = self._end_at(transaction, now + limit, ErrorCode.TRANSACTION_LOST)
        self.arm_idle_timer(transaction, now)
        if self._bound is not None:
            self._apply_bound(transaction, self._bound)
        return transaction

    def arm_idle_timer(self, transaction: Transaction, now: float) -> None:
        """Bounds how long the transaction may rest from now on."""
        self._context.cancel(transaction.idle_timer)
        limit = self._context.settings.transaction_idle_limit
        lost = ErrorCode.TRANSACTION_LOST
        transaction.idle_timer = self._end_at(transaction, now + limit, lost)

    def bound_all(self, limit: float, code: ErrorCode, now: float) -> None:
        """Gives every open transaction `limit` more seconds; later operations are told `code`."""
        self._bound = _Bound(now + limit, code)
        for transaction in self._open.values():
            self._apply_bound(transaction, self._bound)

    def lift_bounds(self) -> None:
        """Takes back `bound_all`."""
        self._bound = None
        for transaction in self._open.values():
            self._context.cancel(transaction.bound_timer)
            transaction.bound_timer = None

    def end(
        self, transaction: Transaction, code: ErrorCode, now: float, clean: bool = False
    ) -> None:
        """Ends a transaction. Unless its connection is known clean, closing it rolls back."""
        if self._open.pop(transaction.transaction_id, None) is None:
            return
        for timer in (transaction.idle_timer, transaction.age_timer, transaction.bound_timer):
            self._context.cancel(timer)
        self._table.end(transaction, code)
        self._rate.note(now - transaction.began_at)
        if clean:
            self._pool.give_back(transaction.connection, now)
        else:
            self._pool.discard(transaction.connection, now)
        self.on_slot_free(now)

    def _apply_bound(self, transaction: Transaction, bound: _Bound) -> None:
        if transaction.bound_timer is None:
            transaction.bound_timer = self._end_at(transaction, bound.when, bound.code)

    def _end_at(self, transaction: Transaction, when: float, code: ErrorCode) -> Timer:
        return self._context.call_at(when, lambda at: self._overstayed(transaction, code, at))

    def _overstayed(self, transaction: Transaction, code: ErrorCode, now: float) -> None:
        """Ends an idle transaction at once, a busy one when its operation has ended."""
        if transaction.busy:
            transaction.ending = transaction.ending or code
            return
        self._context.log("transaction_ended", database=self._database, code=code.value)
        self.end(transaction, code, now)
