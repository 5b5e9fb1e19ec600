"""Values of rows on links: large ones compressed, since the links of small machines are narrow.

Owns the encoding: a byte that tells the kind, then the value.
"""

import zlib

from dewledge.errors import ProtocolError

LEAST_COMPRESSED_BYTES = 1024
"""Of a value; smaller ones go as they are."""
MAX_VALUE_BYTES = 8 * 1024 * 1024
"""Of a value that was compressed; a longer one is refused."""
_PLAIN = b"\x00"
_COMPRESSED = b"\x01"


def pack_value(value: bytes) -> bytes:
    """Returns a value as it goes over a link."""
    if len(value) < LEAST_COMPRESSED_BYTES:
        return _PLAIN + value
    return _COMPRESSED + zlib.compress(value)


def unpack_value(data: bytes) -> bytes:
    """Returns the value that was packed. Raises ProtocolError."""
    kind, body = data[:1], data[1:]
    if kind == _PLAIN:
        return body
    if kind != _COMPRESSED:
        raise ProtocolError("a packed value of an unknown kind")
    reader = zlib.decompressobj()
    try:
        value = reader.decompress(body, MAX_VALUE_BYTES)
    except zlib.error as error:
        raise ProtocolError(f"a packed value that cannot be read: {error}") from error
    if not reader.eof:
        raise ProtocolError("a packed value that is cut off or too long")
    return value
