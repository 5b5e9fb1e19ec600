"""The processes that registered themselves in the store, and the own registration."""

import time
from collections.abc import Callable, Sequence

from loguru import logger

from dewledge.core.coordination_store import CoordinationStore, StoreRow, StoreWrite
from dewledge.core.sharing.members import Member
from dewledge.errors import StoreConditionFailed, StoreError
from dewledge.shell.pooling.coordination_rows import (
    MEMBER_PREFIX,
    TABLE,
    encode_value,
    read_member,
)

RETRY_SECONDS = 0.5
ASSUMED_MEMBERS = 12
"""Before the table is known: a share that does not crowd out who came earlier."""


class MemberTable:
    """The processes by name, as the store's rows tell."""

    def __init__(self, own_name: str, own: Member, store: CoordinationStore) -> None:
        self._own_name = own_name
        self._own = own
        self._store = store
        self.members: dict[str, Member] = {own_name: own}
        self.is_known = False
        """Whether the table was read; before, ASSUMED_MEMBERS share the databases."""

    @property
    def addresses(self) -> dict[str, str]:
        """The peer address of each process."""
        return {name: member.peer_address for name, member in self.members.items()}

    @property
    def count(self) -> int:
        """How many processes share the databases."""
        return len(self.members) if self.is_known else ASSUMED_MEMBERS

    def take_rows(self, rows: Sequence[StoreRow]) -> bool:
        """Takes rows of the store; returns whether the members changed or became known."""
        before = dict(self.members) if self.is_known else None
        self.is_known = True
        self._take(rows)
        return self.members != before

    def _take(self, rows: Sequence[StoreRow]) -> None:
        for row in rows:
            if not row.key.startswith(MEMBER_PREFIX):
                continue
            name = row.key.removeprefix(MEMBER_PREFIX)
            member = None if row.gone else read_member(row)
            if member is not None:
                self.members[name] = member
            elif name != self._own_name:
                self.members.pop(name, None)

    def register(self, is_stopped: Callable[[], bool]) -> None:
        """Writes the own row unless it is there already. Runs on the executor."""
        key = MEMBER_PREFIX + self._own_name
        value = encode_value(self._own)
        while not is_stopped():
            try:
                known = [row for row in self._store.read_table(TABLE).rows if row.key == key]
                if known and known[0].value == value:
                    return
                expected = known[0].version if known else 0
                self._store.write(StoreWrite(TABLE, key, value, expected))
                logger.bind(name=self._own_name).info("member_registered")
                return
            except StoreConditionFailed:
                continue
            except StoreError:
                time.sleep(RETRY_SECONDS)
