"""The possible outcomes of a failure: what the retry rule returns and StatementRun carries out."""

from enum import StrEnum

import msgspec

from dewledge.core.pooler.statements.statements import Failure


class ConnectionDisposition(StrEnum):
    """What to do with the connection of the statement.

    RETAINED: the statement keeps it, or has none. RELEASED: it returns to the pool at once.
    RELEASED_CLEAN: as RELEASED, after a rollback if the proxy opened a transaction for the attempt.
    ROLLED_BACK: it returns to the pool after a rollback. CLOSED: it is closed, since its state is
    unknown.
    """

    RETAINED = "kept"
    RELEASED = "released"
    RELEASED_CLEAN = "given_back"
    ROLLED_BACK = "rolled_back"
    CLOSED = "closed"


class KeepWaiting(msgspec.Struct, frozen=True):
    """Keep waiting: the statement may be running, and its reply is still accepted."""

    connection: ConnectionDisposition = ConnectionDisposition.RETAINED


class TryElsewhere(msgspec.Struct, frozen=True):
    """Continue the search: the statement did not run.

    seeks_longer: whether the time limit of the search is extended.
    """

    connection: ConnectionDisposition
    seeks_longer: bool = False


class RerunRead(msgspec.Struct, frozen=True):
    """Send the read again. is_counted: whether this counts towards its limit of reruns."""

    connection: ConnectionDisposition
    is_counted: bool


class Resend(msgspec.Struct, frozen=True):
    """Send the statement again on the same connection after `pause_seconds`."""

    pause_seconds: float
    connection: ConnectionDisposition = ConnectionDisposition.RETAINED


class InDoubt(msgspec.Struct, frozen=True):
    """End the transaction with an unknown outcome: the commit may have taken effect."""

    connection: ConnectionDisposition
    failure: Failure


class TransactionLost(msgspec.Struct, frozen=True):
    """Fail the transaction: none of its changes can commit any more."""

    connection: ConnectionDisposition
    failure: Failure


class Fail(msgspec.Struct, frozen=True):
    """Return the failure to the client."""

    connection: ConnectionDisposition
    failure: Failure


Outcome = KeepWaiting | TryElsewhere | RerunRead | Resend | InDoubt | TransactionLost | Fail
