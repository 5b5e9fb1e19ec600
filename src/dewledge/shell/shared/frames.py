"""Frames on a link between processes: a 4-byte big-endian length, then one encoded message.

An empty frame is a heartbeat: the connecting side sends one when an answer is overdue, and the
accepting side returns it.
"""

import struct

from dewledge.errors import ProtocolError

_LENGTH = struct.Struct(">I")
HEARTBEAT_FRAME = _LENGTH.pack(0)
MAX_FRAME_BYTES = 16 * 1024 * 1024
"""Maximum size of the encoded message in a frame."""


def frame_of(body: bytes) -> bytes:
    """Returns the frame of an encoded message."""
    return _LENGTH.pack(len(body)) + body


class FrameReader:
    """Splits the byte stream of a link into frames."""

    __slots__ = ("_buffer",)

    def __init__(self) -> None:
        self._buffer = bytearray()

    def feed(self, data: bytes) -> list[bytes]:
        """Adds received bytes and returns the bodies of complete frames, b"" for a heartbeat.

        Raises ProtocolError for a frame over MAX_FRAME_BYTES.
        """
        self._buffer += data
        frames = []
        position = 0
        while len(self._buffer) - position >= _LENGTH.size:
            (length,) = _LENGTH.unpack_from(self._buffer, position)
            if length > MAX_FRAME_BYTES:
                raise ProtocolError(
                    f"frame of {length} bytes exceeds the limit of {MAX_FRAME_BYTES}"
                )
            end = position + _LENGTH.size + length
            if end > len(self._buffer):
                break
            frames.append(bytes(self._buffer[position + _LENGTH.size : end]))
            position = end
        del self._buffer[:position]
        return frames
