"""What may follow when something fails on a statement's way: the outcomes of the retry rule.

Immutable values; retry_rule.py decides which, StatementRun does what they say.
"""

from enum import StrEnum

import msgspec

from dewledge.core.pooler.statements.statements import Failure


class ConnectionFate(StrEnum):
    """What becomes of the connection.

    KEPT: the statement goes on holding it, or holds none. RELEASED: it serves others at once.
    GIVEN_BACK: the same, after a rollback where the proxy has opened a transaction of its own.
    ROLLED_BACK: it serves others after a rollback. CLOSED: its state is not known.
    """

    KEPT = "kept"
    RELEASED = "released"
    GIVEN_BACK = "given_back"
    ROLLED_BACK = "rolled_back"
    CLOSED = "closed"


class WaitOn(msgspec.Struct, frozen=True):
    """Nothing follows: the statement may run, and its answer is still awaited."""

    connection: ConnectionFate = ConnectionFate.KEPT


class TryElsewhere(msgspec.Struct, frozen=True):
    """The statement surely did not run: the search goes on.

    seeks_longer: whether it gets more time for that.
    """

    connection: ConnectionFate
    seeks_longer: bool = False


class RerunRead(msgspec.Struct, frozen=True):
    """The read is sent once more. is_counted: whether that uses up one of its reruns."""

    connection: ConnectionFate
    is_counted: bool


class SendAgain(msgspec.Struct, frozen=True):
    """The statement is sent again on its own connection after `pause_seconds`."""

    pause_seconds: float
    connection: ConnectionFate = ConnectionFate.KEPT


class InDoubt(msgspec.Struct, frozen=True):
    """The commit may have taken effect: the transaction ends and its outcome is unknown."""

    connection: ConnectionFate
    failure: Failure


class TransactionLost(msgspec.Struct, frozen=True):
    """Nothing of the transaction is kept: its commit was not sent, or did not run."""

    connection: ConnectionFate
    failure: Failure


class Fail(msgspec.Struct, frozen=True):
    """The client gets the failure."""

    connection: ConnectionFate
    failure: Failure


Outcome = WaitOn | TryElsewhere | RerunRead | SendAgain | InDoubt | TransactionLost | Fail
