"""The platform's store and its promotions, which check no token, as processes meet them."""

import contextlib
import math
import random
from collections.abc import Callable
from dataclasses import dataclass

from dewledge.core.pooler.coordination_store import StoreRow, StoreWrite, TableRows
from dewledge.core.pooler.store_versions import combine, era_of, number_of
from dewledge.errors import StoreConditionFailed, StoreError, StoreOutcomeUnknown
from tests.core.pooler.harness import ModelScheduler
from tests.unfenced.model_network import PLATFORM, STORE, ModelNetwork


@dataclass(frozen=True)
class StoreCopy:
    """What the store held at one moment."""

    at: float
    rows: dict[str, StoreRow]
    version: int
    marked_eras: frozenset[int]


class ModelStore:
    """One table of rows with versions. Answers may be lost, and writes may be done late.

    A restore brings an older copy back in a new era: versions include the era, numbers are given
    out again.
    """

    def __init__(self, scheduler: ModelScheduler, chance: random.Random) -> None:
        self.scheduler = scheduler
        self.random = chance
        self.is_down = False
        self.loses_answers = False
        self.is_late = False
        self.rows: dict[str, StoreRow] = {}
        self.version = 0
        self.changed: list[Callable[[], None]] = []
        self.marked_eras: frozenset[int] = frozenset()
        """Eras in which a process has written."""

    @property
    def era(self) -> int:
        return era_of(self.version)

    def copy(self) -> StoreCopy:
        return StoreCopy(self.scheduler.time, dict(self.rows), self.version, self.marked_eras)

    def restore(self, copy: StoreCopy) -> None:
        era = self.era + 1
        self.version = combine(era, number_of(copy.version))
        self.rows = {
            key: StoreRow(key, row.value, combine(era, number_of(row.version)))
            for key, row in copy.rows.items()
        }
        self.marked_eras = copy.marked_eras

    def put(self, write: StoreWrite, era: int) -> int:
        """Writes a row under the conditions of a writer that knows an era."""
        row = self.rows.get(write.key)
        if (0 if row is None else number_of(row.version)) != number_of(write.expected):
            raise StoreConditionFailed("the row has changed")
        if era + 1 in self.marked_eras:
            raise StoreConditionFailed("the store was restored")
        self.version += 1
        self.marked_eras |= set(range(1, era + 1))
        self.rows[write.key] = StoreRow(write.key, write.value, self.version)
        for callback in list(self.changed):
            callback()
        if era != self.era:
            raise StoreOutcomeUnknown("the store was restored before this write")
        return self.version


class StoreClient:
    """The store as one process reaches it."""

    def __init__(self, store: ModelStore, network: ModelNetwork, name: str) -> None:
        self._store = store
        self._network = network
        self._name = name
        self._newest_era = 0

    def change_address(self, address: str) -> None:
        pass

    def read_table(self, table: str, limit: float = 1.0) -> TableRows:
        self._reach()
        store = self._store
        self._newest_era = store.era
        return TableRows(tuple(store.rows.values()), store.version, store.scheduler.time)

    def read_row(self, table: str, key: str) -> StoreRow | None:
        return next((row for row in self.read_table(table).rows if row.key == key), None)

    def write(self, write: StoreWrite) -> int:
        self._reach()
        store = self._store
        era = era_of(write.expected) if write.expected else self._newest_era
        if era < self._newest_era:
            raise StoreConditionFailed("the store was restored")
        if store.is_late and store.random.random() < 0.4:
            delay = store.random.uniform(0.5, 6.0)
            store.scheduler.call_later(delay, lambda: self._put_late(write, era))
            raise StoreOutcomeUnknown("no answer")
        version = store.put(write, era)
        if store.loses_answers and store.random.random() < 0.4:
            raise StoreOutcomeUnknown("no answer")
        return version

    def _put_late(self, write: StoreWrite, era: int) -> None:
        with contextlib.suppress(StoreConditionFailed, StoreOutcomeUnknown):
            self._store.put(write, era)

    def _reach(self) -> None:
        if self._store.is_down or not self._network.reaches(self._name, STORE):
            raise StoreError("cannot reach the store")


class ModelPromotions:
    """The calls that promote; a token is looked at only where it `fences`, but turns are noted."""

    def __init__(self, network: ModelNetwork, promote: Callable[[str], bool], fences: bool) -> None:
        self.network = network
        self.is_down = False
        self.fences = fences
        self.tokens: list[int] = []
        self.holders: list[str] = []
        """Of each call that was carried out, as `tokens`."""
        self._promote = promote

    def client(self, name: str) -> "PromotionClient":
        return PromotionClient(self, name)

    def order(self, database_id: str, token: int, holder: str) -> bool:
        if self.fences and token < max(self.tokens, default=0):
            return False
        self.tokens.append(token)
        self.holders.append(holder)
        return self._promote(database_id)


class PromotionClient:
    """The promoting calls as one process reaches them."""

    def __init__(self, promotions: ModelPromotions, name: str) -> None:
        self._promotions = promotions
        self._name = name

    def change_address(self, address: str) -> None:
        raise AssertionError(f"the model has no address {address}")

    def promote(
        self,
        group: str,
        database_id: str,
        holder: str,
        fencing_token: int,
        not_after: float = math.inf,
    ) -> bool:
        promotions = self._promotions
        if promotions.is_down or not promotions.network.reaches(self._name, PLATFORM):
            raise StoreOutcomeUnknown("no answer")
        return promotions.order(database_id, fencing_token, holder)
