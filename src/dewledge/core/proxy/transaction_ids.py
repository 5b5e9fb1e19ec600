"""Transaction ids: "<gateway proxy>:<hex>", so that any entry finds the gateway that holds one."""

import re

_TRANSACTION_ID = re.compile(r"([A-Za-z0-9][A-Za-z0-9._-]{0,127}):([0-9a-f]{8,64})", re.ASCII)


def make_transaction_id(gateway: str, secret: str) -> str:
    """Returns the id of a transaction held by `gateway`; `secret` is 8 to 64 hex digits."""
    return f"{gateway}:{secret}"


def gateway_of_transaction(transaction: str) -> str | None:
    """Returns the proxy that holds the transaction, or None if this is no transaction id."""
    match = _TRANSACTION_ID.fullmatch(transaction)
    return match.group(1) if match else None
