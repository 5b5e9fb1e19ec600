"""Rows that the proxies keep in the store: members, claims on groups, acknowledged claims.

Values are CBOR. Processes of other releases read the same rows, so the table's name, the key
prefixes and the fields of the values are a stored format.
"""

from typing import TypeVar

import cbor2
import msgspec
from loguru import logger

from dewledge.core.pooler.coordination_store import StoreRow
from dewledge.core.pooler.failover.messages import Claim
from dewledge.core.pooler.sharing.members import Member
from dewledge.core.pooler.store_versions import combine, number_of
from dewledge.core.shared.decoding import decode_cbor
from dewledge.errors import ProtocolError

TABLE = "dewledge"
MEMBER_PREFIX = "member/"
CLAIM_PREFIX = "claim/"
ACKNOWLEDGEMENT_PREFIX = "known/"
SETTLED_PREFIX = "settled/"
"""A row with this prefix and an era's number tells that all claims are written again in it."""

Value = TypeVar("Value")


class ClaimValue(msgspec.Struct, frozen=True):
    """The stored value of a claim to replace a group's primary. Fields as in Claim.

    era: era of the store in which the claim was written.
    """

    holder: str
    replaced: str
    leader: str | None = None
    voters: tuple[str, ...] = ()
    quorums: tuple[tuple[str, ...], ...] = ()
    ordered: str = ""
    term: int = 0
    era: int = 0
    restates: int | None = None


class AcknowledgementValue(msgspec.Struct, frozen=True):
    """The stored value of a process's acknowledgement of a claim on a group.

    token: the fencing token of the acknowledged claim. holder: the holder of that claim.
    """

    process: str
    group: str
    token: int
    holder: str = ""


def encode_value(value: msgspec.Struct) -> bytes:
    """Returns the CBOR encoding of a row's value."""
    return cbor2.dumps(msgspec.to_builtins(value))


def read_member(row: StoreRow) -> Member | None:
    """Returns the member that a row describes, None if the value cannot be decoded."""
    return _decode(row, Member)


def read_claim(row: StoreRow) -> Claim | None:
    """Returns the claim of a row, None if it cannot be decoded.

    The fencing token is the row's number in the era in which the claim was written. In a row of an
    older copy of the store, that era is lower than the era of the row's version.
    """
    value = _decode(row, ClaimValue)
    if value is None:
        return None
    return Claim(
        value.holder,
        value.replaced,
        combine(value.era, number_of(row.version)),
        value.leader,
        value.voters,
        value.quorums,
        value.ordered,
        value.term,
        value.restates,
    )


def read_settled_era(row: StoreRow) -> int:
    """Returns the era that a row tells to be settled, 0 if it tells none."""
    number = row.key.removeprefix(SETTLED_PREFIX)
    is_told = row.key.startswith(SETTLED_PREFIX) and not row.gone
    return int(number) if is_told and number.isascii() and number.isdigit() else 0


def read_acknowledgement(row: StoreRow) -> AcknowledgementValue | None:
    """Returns the acknowledgement that a row describes, None if it cannot be decoded."""
    return _decode(row, AcknowledgementValue)


def _decode(row: StoreRow, kind: type[Value]) -> Value | None:
    try:
        return decode_cbor(row.value, kind)
    except ProtocolError as error:
        logger.bind(key=row.key, error=error.message).error("coordination_row_refused")
        return None
