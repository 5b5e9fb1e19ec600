"""What an entry does about each code with which a gateway refuses a request."""

from enum import Enum, auto

from dewledge.errors import ErrorCode


class Reaction(Enum):
    """What follows a "not run" answer."""

    ANSWER = auto()
    """Pass it on to the caller."""
    READ_ELSEWHERE = auto()
    """The replica is behind: another replica, then the primary."""
    FIND_PRIMARY = auto()
    """The database does not serve: another replica, or wait for a primary."""
    FOLLOW = auto()
    """Another proxy is the gateway."""
    OTHER_GATEWAY = auto()
    """The gateway cannot be used: the next one, or wait until there is one."""
    BACK_OFF = auto()
    """Nothing is wrong but load: a read elsewhere, a write later, within the retry budget."""


_REACTIONS = {
    ErrorCode.NOT_FRESH: Reaction.READ_ELSEWHERE,
    ErrorCode.NO_FRESH_REPLICA: Reaction.READ_ELSEWHERE,
    ErrorCode.NOT_PRIMARY: Reaction.FIND_PRIMARY,
    ErrorCode.NO_PRIMARY: Reaction.FIND_PRIMARY,
    ErrorCode.NOT_CONFIRMED: Reaction.FIND_PRIMARY,
    ErrorCode.DATABASE_UNREACHABLE: Reaction.FIND_PRIMARY,
    ErrorCode.DATABASE_DRAINED: Reaction.FIND_PRIMARY,
    ErrorCode.CONNECTION_LOST: Reaction.BACK_OFF,
    ErrorCode.CONNECTION_LIMIT: Reaction.BACK_OFF,
    ErrorCode.WRONG_GATEWAY: Reaction.FOLLOW,
    ErrorCode.LEAVING: Reaction.FOLLOW,
    ErrorCode.GATEWAY_UNREACHABLE: Reaction.OTHER_GATEWAY,
    ErrorCode.ISOLATED: Reaction.OTHER_GATEWAY,
    ErrorCode.NOT_READY: Reaction.OTHER_GATEWAY,
}

_TRANSACTION_LOST = frozenset(
    {
        ErrorCode.GATEWAY_UNREACHABLE,
        ErrorCode.WRONG_GATEWAY,
        ErrorCode.LEAVING,
        ErrorCode.ISOLATED,
        ErrorCode.NOT_READY,
    }
)


def reaction_to(code: ErrorCode) -> Reaction:
    """Returns what to do about a request outside transactions that was refused with `code`."""
    return _REACTIONS.get(code, Reaction.ANSWER)


def transaction_code(code: ErrorCode) -> ErrorCode:
    """Returns the code that tells a caller in a transaction what `code` means for it.

    A transaction lives on one connection of one gateway: without that gateway it is lost.
    """
    return ErrorCode.TRANSACTION_LOST if code in _TRANSACTION_LOST else code
