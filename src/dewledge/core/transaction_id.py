"""Transaction ids: unguessable, and naming the gateway and database so that any entry can route."""

from random import Random

import msgspec

SECRET_BITS = 128
SEPARATOR = "/"


class TransactionAddress(msgspec.Struct, frozen=True):
    """Where a transaction lives."""

    gateway: str
    database: str


def new_transaction_id(gateway: str, database: str, random: Random) -> str:
    """Makes an id; its last part is random."""
    secret = f"{random.getrandbits(SECRET_BITS):032x}"
    return SEPARATOR.join((gateway, database, secret))


def transaction_address(transaction: str) -> TransactionAddress | None:
    """Reads gateway and database out of an id, or None if it does not have the form of one."""
    parts = transaction.split(SEPARATOR)
    if len(parts) != 3 or not all(parts):
        return None
    return TransactionAddress(parts[0], parts[1])
