"""The processes that registered themselves in the store, and the own registration."""

import time
from collections.abc import Callable, Sequence

from loguru import logger

from dewledge.core.coordination_store import CoordinationStore, StoreRow, StoreWrite
from dewledge.errors import StoreConditionFailed, StoreError
from dewledge.shell.pooling.coordination_rows import (
    MEMBER_PREFIX,
    TABLE,
    MemberValue,
    encode_value,
    read_member,
)

RETRY_SECONDS = 0.5
ASSUMED_MEMBERS = 12
"""Before the table is known: a share that does not crowd out who came earlier."""


class MemberTable:
    """Peer addresses by process name, as the store's rows tell."""

    def __init__(self, own_name: str, peer_address: str, store: CoordinationStore) -> None:
        self._own_name = own_name
        self._peer_address = peer_address
        self._store = store
        self.addresses: dict[str, str] = {own_name: peer_address}
        self._is_known = False

    @property
    def count(self) -> int:
        """How many processes share the databases, an assumption before the table is known."""
        return len(self.addresses) if self._is_known else ASSUMED_MEMBERS

    def take_rows(self, rows: Sequence[StoreRow]) -> bool:
        """Takes rows of the store; returns whether the members changed or became known."""
        before = dict(self.addresses) if self._is_known else None
        self._is_known = True
        self._take(rows)
        return self.addresses != before

    def _take(self, rows: Sequence[StoreRow]) -> None:
        for row in rows:
            if not row.key.startswith(MEMBER_PREFIX):
                continue
            name = row.key.removeprefix(MEMBER_PREFIX)
            member = None if row.gone else read_member(row)
            if member is not None:
                self.addresses[name] = member.peer_address
            elif name != self._own_name:
                self.addresses.pop(name, None)

    def register(self, is_stopped: Callable[[], bool]) -> None:
        """Writes the own row unless it is there already. Runs on the executor."""
        key = MEMBER_PREFIX + self._own_name
        value = encode_value(MemberValue(self._peer_address))
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
