"""Frames on a link between processes: a 4-byte big-endian length, then one encoded message.

An empty frame is a heartbeat: the side that dialled sends one when an answer is overdue, the
other side returns it.
"""

import struct

from dewledge.errors import ProtocolError

_LENGTH = struct.Struct(">I")
HEARTBEAT_FRAME = _LENGTH.pack(0)
MAX_FRAME_BYTES = 16 * 1024 * 1024
"""Of one message; a full configuration takes 2.1 MB of memory at the target size."""


def frame_of(body: bytes) -> bytes:
    """Returns the frame of an encoded message."""
    return _LENGTH.pack(len(body)) + body


class FrameReader:
    """Cuts a link's bytes into frames."""

    __slots__ = ("_buffer",)

    def __init__(self) -> None:
        self._buffer = bytearray()

    def feed(self, data: bytes) -> list[bytes]:
        """Returns the bodies of the frames that are now whole; b"" for a heartbeat.

        Raises ProtocolError for a frame that is longer than any message may be.
        """
        self._buffer += data
        frames = []
        position = 0
        while len(self._buffer) - position >= _LENGTH.size:
            (length,) = _LENGTH.unpack_from(self._buffer, position)
            if length > MAX_FRAME_BYTES:
                raise ProtocolError(f"a frame of {length} bytes is over {MAX_FRAME_BYTES}")
            end = position + _LENGTH.size + length
            if end > len(self._buffer):
                break
            frames.append(bytes(self._buffer[position + _LENGTH.size : end]))
            position = end
        del self._buffer[:position]
        return frames
