"""The product's own rows in the store: members, and claims on groups. Values in cbor2.

Owns the names of the table and of its keys, which processes of other releases read too.
"""

from typing import TypeVar

import cbor2
import msgspec

from dewledge.core.pooler.coordination_store import StoreRow
from dewledge.core.pooler.failover.messages import Claim
from dewledge.core.pooler.sharing.members import Member

TABLE = "dewledge"
MEMBER_PREFIX = "member/"
CLAIM_PREFIX = "claim/"
KNOWN_PREFIX = "known/"

Value = TypeVar("Value")


class ClaimValue(msgspec.Struct, frozen=True):
    """Who replaces a group's primary, and which. Fields as in Claim."""

    holder: str
    replaced: str
    leader: str | None = None
    voters: tuple[str, ...] = ()
    quorums: tuple[tuple[str, ...], ...] = ()
    ordered: str = ""


class KnownValue(msgspec.Struct, frozen=True):
    """The newest claim that a process knows, told where it cannot be asked."""

    process: str
    group: str
    token: int


def encode_value(value: msgspec.Struct) -> bytes:
    """Returns the value of a row."""
    return cbor2.dumps(msgspec.to_builtins(value))


def read_member(row: StoreRow) -> Member | None:
    """Returns a member's row, None if it cannot be read."""
    return _decode(row, Member)


def read_claim(row: StoreRow) -> Claim | None:
    """Returns a claim with the version of its row as its token, None if it cannot be read."""
    value = _decode(row, ClaimValue)
    if value is None:
        return None
    return Claim(
        value.holder,
        value.replaced,
        row.version,
        value.leader,
        value.voters,
        value.quorums,
        value.ordered,
    )


def read_known(row: StoreRow) -> KnownValue | None:
    """Returns what a process knows of a claim, None if it cannot be read."""
    return _decode(row, KnownValue)


def _decode(row: StoreRow, kind: type[Value]) -> Value | None:
    try:
        return msgspec.convert(cbor2.loads(row.value), type=kind)
    except (cbor2.CBORDecodeError, msgspec.ValidationError, ValueError, TypeError):
        return None
