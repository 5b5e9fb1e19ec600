"""Open transactions of a gateway, and how ended ones ended.

A transaction owns one connection from begin to end, and belongs to the caller that began it, not
to the entry through which it came.
"""

from collections import OrderedDict
from random import Random

import msgspec

from dewledge.core.proxy.gateway.context import Timer
from dewledge.core.proxy.gateway.request import GatewayRequest
from dewledge.core.proxy.transaction_ids import make_transaction_id
from dewledge.errors import ErrorCode

SECRET_BITS = 128
"""Of the random part of a transaction id, which nobody can guess."""


class RunningOperation(msgspec.Struct, frozen=True):
    """An operation of a transaction that its database has not answered yet.

    term_before: a term in which the database was seen before the operation started, 0 if never.
    """

    request: GatewayRequest
    job_id: int
    term_before: int


class Transaction:
    """One open transaction.

    term: the least term in which its database can have been when it began.
    began_at: on the core's clock.
    running: the operation that runs on its connection, or None.
    wrote: its commit has to be confirmed.
    ending: why it must end as soon as its running operation has ended, or None.
    """

    __slots__ = (
        "age_timer",
        "began_at",
        "bound_timer",
        "caller",
        "commit_sent",
        "connection",
        "database",
        "ending",
        "idle_timer",
        "running",
        "term",
        "transaction_id",
        "wrote",
    )

    def __init__(
        self,
        transaction_id: str,
        caller: str,
        database: str,
        connection: int,
        wrote: bool,
        term: int,
        began_at: float,
    ) -> None:
        self.transaction_id = transaction_id
        self.caller = caller
        self.database = database
        self.connection = connection
        self.wrote = wrote
        self.term = term
        self.began_at = began_at
        self.running: RunningOperation | None = None
        self.commit_sent = False
        self.ending: ErrorCode | None = None
        self.idle_timer: Timer | None = None
        self.age_timer: Timer | None = None
        self.bound_timer: Timer | None = None

    @property
    def busy(self) -> bool:
        """Whether an operation is running on its connection."""
        return self.running is not None


class EndedTransaction(msgspec.Struct, frozen=True):
    """What is left of a transaction: whose it was, why it ended, and if a commit had been sent."""

    caller: str
    code: ErrorCode
    commit_sent: bool


class TransactionTable:
    """Transactions by id: all that are open, and a bounded number of ended ones."""

    def __init__(self, gateway: str, random: Random, remembered: int) -> None:
        self._gateway = gateway
        self._random = random
        self._remembered = remembered
        self._open: dict[str, Transaction] = {}
        self._ended: OrderedDict[str, EndedTransaction] = OrderedDict()

    def __len__(self) -> int:
        return len(self._open)

    def begin(
        self, caller: str, database: str, connection: int, wrote: bool, term: int, now: float
    ) -> Transaction:
        """Opens a transaction under a new id that nobody can guess."""
        secret = f"{self._random.getrandbits(SECRET_BITS):032x}"
        transaction_id = make_transaction_id(self._gateway, secret)
        transaction = Transaction(transaction_id, caller, database, connection, wrote, term, now)
        self._open[transaction_id] = transaction
        return transaction

    def find(self, transaction_id: str, caller: str) -> Transaction | None:
        """Returns the open transaction if it is this caller's, else None."""
        transaction = self._open.get(transaction_id)
        if transaction is None or transaction.caller != caller:
            return None
        return transaction

    def find_ended(self, transaction_id: str, caller: str) -> EndedTransaction | None:
        """Tells how this caller's transaction ended; None if it never was or is forgotten."""
        ended = self._ended.get(transaction_id)
        if ended is None or ended.caller != caller:
            return None
        return ended

    def end(self, transaction: Transaction, code: ErrorCode) -> None:
        """Closes a transaction; `code` is what later operations on it are told."""
        if self._open.pop(transaction.transaction_id, None) is None:
            return
        ended = EndedTransaction(transaction.caller, code, transaction.commit_sent)
        self._ended[transaction.transaction_id] = ended
        if len(self._ended) > self._remembered:
            self._ended.popitem(last=False)
