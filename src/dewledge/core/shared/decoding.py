"""Decodes JSON and CBOR that anybody may have written; all faults of the data are ProtocolError."""

from typing import TypeVar

import cbor2
import msgspec

from dewledge.errors import ProtocolError

Value = TypeVar("Value")

_DATA_FAULTS = (ValueError, TypeError, OverflowError, RecursionError, cbor2.CBORError)
"""What decoders raise for data that is malformed, out of range, nested too deeply or cyclic."""


def decode_json(data: bytes, kind: type[Value]) -> Value:
    """Returns the value of a type that JSON text holds. Raises ProtocolError."""
    try:
        return msgspec.json.decode(data, type=kind)
    except _DATA_FAULTS as error:
        raise ProtocolError(f"invalid JSON: {error}") from error


def decode_cbor(data: bytes, kind: type[Value], builtin_types: tuple[type, ...] = ()) -> Value:
    """Returns the value of a type that CBOR holds. Raises ProtocolError.

    builtin_types: types that CBOR represents itself, as in `msgspec.convert`.
    """
    try:
        return msgspec.convert(cbor2.loads(data), type=kind, builtin_types=builtin_types)
    except _DATA_FAULTS as error:
        raise ProtocolError(f"invalid CBOR: {error}") from error
