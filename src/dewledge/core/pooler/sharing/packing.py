"""Encodes the values of table rows for links; large ones are compressed to save bandwidth.

An encoded value consists of one byte for the encoding, followed by the plain or compressed value.
"""

import zlib

from dewledge.errors import ProtocolError

MIN_COMPRESSED_BYTES = 1024
"""Size from which values are compressed."""
MAX_VALUE_BYTES = 8 * 1024 * 1024
"""Size limit of a decompressed value; a larger one is rejected."""
_PLAIN_MARK = b"\x00"
_COMPRESSED_MARK = b"\x01"


def pack_value(value: bytes) -> bytes:
    """Returns a value encoded for a link, compressed if it is large."""
    if len(value) < MIN_COMPRESSED_BYTES:
        return _PLAIN_MARK + value
    return _COMPRESSED_MARK + zlib.compress(value)


def unpack_value(data: bytes) -> bytes:
    """Returns the value encoded by `pack_value`. Raises ProtocolError."""
    kind, body = data[:1], data[1:]
    if kind == _PLAIN_MARK:
        return body
    if kind != _COMPRESSED_MARK:
        raise ProtocolError(f"packed value has unknown encoding byte {kind!r}")
    reader = zlib.decompressobj()
    try:
        value = reader.decompress(body, MAX_VALUE_BYTES)
    except zlib.error as error:
        raise ProtocolError(f"packed value cannot be decompressed: {error}") from error
    if not reader.eof:
        raise ProtocolError(f"packed value is truncated or longer than {MAX_VALUE_BYTES} bytes")
    return value
