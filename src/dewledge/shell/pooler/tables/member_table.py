"""The processes registered in the store, and the registration of this process.

A failed write of this process's row is retried; `register_if_missing` writes the row again if the
store's table shows that it is missing or differs. Rows must be applied in the order of versions.
"""

import random
import time
from collections.abc import Callable, Mapping, Sequence
from concurrent.futures import Executor
from enum import Enum, auto

from loguru import logger

from dewledge.core.pooler.coordination_store import CoordinationStore, StoreRow, StoreWrite
from dewledge.core.pooler.sharing.members import Member
from dewledge.errors import StoreConditionFailed, StoreError, StoreOutcomeUnknown
from dewledge.shell.pooler.tables.coordination_rows import (
    MEMBER_PREFIX,
    TABLE,
    encode_value,
    read_member,
)
from dewledge.shell.pooler.tables.isolation import apply_each

RETRY_SECONDS = 0.5
"""Mean pause after a failed write; randomised."""
MAX_REGISTRATIONS_PER_SECOND = 400.0
"""Rate at which all processes together write their rows again after a restore of the store."""
ASSUMED_MEMBERS = 12
"""Processes assumed before the table is known, so that this process's part of a database's
connections leaves enough for processes that started earlier."""


class _WriteOutcome(Enum):
    """Outcome of one attempt to write this process's row.

    REFUSED: the row was not written. IN_DOUBT: the row may have been written, or the stored row has
    another version than expected; the row must be read before the next attempt.
    """

    DONE = auto()
    REFUSED = auto()
    IN_DOUBT = auto()


class MemberTable:
    """The registered processes by name, always including this one."""

    def __init__(self, local_name: str, local_member: Member, store: CoordinationStore) -> None:
        self._local_name = local_name
        self._local_member = local_member
        self._store = store
        self.members: dict[str, Member] = {local_name: local_member}
        self._key = MEMBER_PREFIX + local_name
        self._value = encode_value(local_member)
        self._local_row: StoreRow | None = None
        self._is_registering = False
        self._is_writing = False
        self._was_registered = False
        self.is_known = False
        """Whether the table was read; until then `count` is ASSUMED_MEMBERS."""

    @property
    def addresses(self) -> dict[str, str]:
        """The peer address of each process."""
        return {name: member.peer_address for name, member in self.members.items()}

    @property
    def is_registered(self) -> bool:
        """Whether the table holds this process's row with its current value."""
        return self._local_row is not None and self._local_row.value == self._value

    @property
    def count(self) -> int:
        """The number of processes that share the databases."""
        return len(self.members) if self.is_known else ASSUMED_MEMBERS

    def apply_snapshot(self, rows: Sequence[StoreRow]) -> bool:
        """Applies the whole table, removing processes without a row. Result as in `apply_rows`."""
        before = self._localities()
        self.members = {self._local_name: self._local_member}
        self._was_registered = self._was_registered or self.is_registered
        self._local_row = None
        # A row that was written may be missing again, after a restore of the store.
        self._is_registering = self._is_writing
        return self._apply_rows(rows, before)

    def apply_rows(self, rows: Sequence[StoreRow]) -> bool:
        """Applies changed rows; returns whether an address or zone changed, or the first was read.

        A process that restarts with the same address and zone does not count as a change.
        """
        return self._apply_rows(rows, self._localities())

    def _localities(self) -> Mapping[str, tuple[str, str]] | None:
        """Returns the address and zone of each process, None before the table is known."""
        if not self.is_known:
            return None
        return {name: (each.peer_address, each.zone) for name, each in self.members.items()}

    def _apply_rows(
        self, rows: Sequence[StoreRow], before: Mapping[str, tuple[str, str]] | None
    ) -> bool:
        self.is_known = True
        apply_each(rows, self._apply_row)
        return self._localities() != before

    def _apply_row(self, row: StoreRow) -> None:
        if not row.key.startswith(MEMBER_PREFIX):
            return
        if row.key == self._key:
            self._local_row = None if row.gone else row
            self._is_registering = False
        name = row.key.removeprefix(MEMBER_PREFIX)
        member = None if row.gone else read_member(row)
        if member is not None:
            self.members[name] = member
        elif name != self._local_name:
            self.members.pop(name, None)

    def register_if_missing(self, executor: Executor, is_stopped: Callable[[], bool]) -> None:
        """Starts a write of this process's row unless it is stored or being written."""
        if self._is_registering or self.is_registered:
            return
        self._is_registering = self._is_writing = True
        expected = 0 if self._local_row is None else self._local_row.version
        spread = len(self.members) / MAX_REGISTRATIONS_PER_SECOND if self._was_registered else 0.0
        executor.submit(self._register, expected, is_stopped, random.uniform(0.0, spread))

    def _register(self, expected: int, is_stopped: Callable[[], bool], delay: float) -> None:
        """Writes this process's row after a delay, with retries. Runs on the executor."""
        time.sleep(delay)
        while expected >= 0 and not is_stopped():
            outcome = self._try_to_register(expected)
            if outcome is _WriteOutcome.DONE:
                break
            time.sleep(RETRY_SECONDS * random.uniform(0.7, 1.3))
            if outcome is _WriteOutcome.IN_DOUBT:
                expected = self._read_back(expected)
        # A snapshot or a row that is applied later clears `_is_registering`.
        self._is_writing = False

    def _try_to_register(self, expected: int) -> "_WriteOutcome":
        try:
            self._store.write(StoreWrite(TABLE, self._key, self._value, expected))
        except (StoreConditionFailed, StoreOutcomeUnknown):
            return _WriteOutcome.IN_DOUBT
        except StoreError:
            return _WriteOutcome.REFUSED
        logger.bind(name=self._local_name).info("member_registered")
        return _WriteOutcome.DONE

    def _read_back(self, expected: int) -> int:
        """Returns the version to expect in the next write, -1 if the row is already correct."""
        try:
            row = self._store.read_row(TABLE, self._key)
        except StoreError:
            return expected
        if row is None:
            return 0
        return -1 if row.value == self._value else row.version
