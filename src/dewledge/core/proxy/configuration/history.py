"""The latest changes of configuration, kept encoded for peers that lag a little."""

from collections import deque
from collections.abc import Iterable

import msgspec

from dewledge.core.proxy.configuration.configuration import ChangeSet


class RecordedChange(msgspec.Struct, frozen=True):
    """A change and its encoded form, which is passed on unchanged."""

    change: ChangeSet
    data: bytes


class ChangeHistory:
    """Consecutive changes, the oldest dropped first."""

    def __init__(self, length: int) -> None:
        self._changes: deque[RecordedChange] = deque(maxlen=length)

    def extend(self, changes: Iterable[RecordedChange]) -> None:
        """Adds changes that follow on directly."""
        self._changes.extend(changes)

    def clear(self) -> None:
        """Drops all: what comes next does not follow on."""
        self._changes.clear()

    def since(self, revision: int, max_bytes: int) -> tuple[bytes, ...]:
        """Returns the encoded changes after `revision`, oldest first, within `max_bytes`.

        Empty if the first of them is no longer kept. At least one is returned if it is.
        """
        if not self._changes or self._changes[0].change.revision > revision + 1:
            return ()
        found: list[bytes] = []
        size = 0
        for item in self._changes:
            if item.change.revision <= revision:
                continue
            size += len(item.data)
            if found and size > max_bytes:
                break
            found.append(item.data)
        return tuple(found)
