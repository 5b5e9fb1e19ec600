"""Copies of a database's data at some lengths of its log, so that a rebuild need not start at 0."""

from collections import deque

import msgspec

CHECKPOINT_INTERVAL = 2000
"""Log entries between two checkpoints."""

KEPT_CHECKPOINTS = 3


class Checkpoint(msgspec.Struct, frozen=True):
    """The data after the first `length` entries of the log."""

    length: int
    data: bytes


class Checkpoints:
    """The latest checkpoints of one database."""

    def __init__(self) -> None:
        self._kept: deque[Checkpoint] = deque(maxlen=KEPT_CHECKPOINTS)

    def is_due(self, length: int) -> bool:
        """Tells whether a checkpoint should be taken at this length of the log."""
        newest = self._kept[-1].length if self._kept else 0
        return length >= newest + CHECKPOINT_INTERVAL

    def add(self, checkpoint: Checkpoint) -> None:
        """Keeps a checkpoint, dropping the oldest."""
        self._kept.append(checkpoint)

    def newest_up_to(self, length: int) -> Checkpoint | None:
        """Drops checkpoints of more entries than `length`; returns the newest one left."""
        while self._kept and self._kept[-1].length > length:
            self._kept.pop()
        return self._kept[-1] if self._kept else None
