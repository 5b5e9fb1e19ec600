"""Random days on which the store also comes back from an older copy of itself."""

import math

import msgspec

from dewledge.core.pooler.databases.group_view import DatabaseRecord
from dewledge.core.pooler.failover.primary_lease import Fencing
from dewledge.core.pooler.store_versions import combine, number_of
from tests.unfenced.day import FAULTS, UnfencedDay
from tests.unfenced.model_databases import UnfencedGroup
from tests.unfenced.model_process import ModelProcess
from tests.unfenced.model_store import StoreCopy

RESTORE_FAULTS = (*FAULTS, *("restore",) * 2, "restart_all", *("change_and_restore",) * 5)
COPY_SECONDS = 0.2
MAX_COPY_AGE_SECONDS = 20.0
MAX_AWAY_SECONDS = 5.0
MAX_REWRITE_SECONDS = 3.0
"""Seconds after the store's return until a database has written its entry again."""


class FencedGroup(UnfencedGroup):
    """Databases whose old primary a promotion takes out of service."""

    fencing = Fencing.PLATFORM

    def _take_lead(self, database: object) -> None:
        before = len(self.effects)
        super()._take_lead(database)  # type: ignore[arg-type]
        if len(self.effects) == before:
            return
        for other in self.databases.values():
            if other is not database and other.applied.term < self.newest_term:
                self.become_replica(other)


class RestoreDay(UnfencedDay):
    """A day whose faults include restores, at any moment of another fault or of its repair."""

    def __init__(self, seed: int, faults: tuple[str, ...] = RESTORE_FAULTS) -> None:
        self._copies: list[tuple[StoreCopy, dict[str, DatabaseRecord]]] = []
        self._restored_at = -1e9
        self._rewritten_at: dict[str, float] = {}
        """When databases write their entries again, by id."""
        self._started_at: dict[str, float] = {}
        super().__init__(seed, faults)
        self._keep_copy()

    def _start(self, name: str) -> None:
        self._started_at[name] = self.scheduler.time
        super()._start(name)

    def _keep_copy(self) -> None:
        now = self.scheduler.time
        self._copies.append((self.store.copy(), dict(self._records)))
        self._copies = [each for each in self._copies if each[0].at > now - MAX_COPY_AGE_SECONDS]
        self.scheduler.call_later(COPY_SECONDS, self._keep_copy)

    def _fault_restart_all(self) -> None:
        for name in list(self.processes):
            self._kill(name)

    def _fault_restore(self) -> None:
        """The store is away for a moment, then it comes back from a copy of some time before."""
        self.store.is_down = True
        self._later(0.0, MAX_AWAY_SECONDS, self._restore)

    def _fault_change_and_restore(self) -> None:
        """A change of the primary, of which the copy has at most the beginning.

        Beside it processes restart, are cut off or stand still.
        """
        before = self.scheduler.time
        getattr(self, self.random.choice(("_fault_drain", "_fault_crash", "_fault_dark")))()
        beside = ("kill", "kill", "kill_many", "restart_all", "store_cut", "minority", "freeze")
        for name in self.random.choices(beside, k=self.random.randrange(3)):
            self._later(0.0, 6.0, getattr(self, f"_fault_{name}"))

        def restore() -> None:
            self.store.is_down = True
            self._later(0.0, 2.0, lambda: self._restore(before + self.random.uniform(0.0, 2.0)))

        self._later(0.5, 8.0, restore)

    def _restore(self, latest: float = math.inf) -> None:
        """Comes back from one of the copies, not made after `latest` if there is such a one."""
        older = [each for each in self._copies if each[0].at <= latest]
        copy, records = self.random.choice(older or self._copies)
        self.store.restore(copy)
        self.store.is_down = False
        # Copies of the former era were made of what is gone now.
        self._copies = [each for each in self._copies if each[0].at <= copy.at]
        now = self._restored_at = self.scheduler.time
        self.played.append(f"{now:.2f} restored from {copy.at:.2f} as {self.store.version:x}")
        self._records = {name: self._copied(record) for name, record in records.items()}
        self._rewritten_at = {
            name: now + self.random.uniform(0.0, MAX_REWRITE_SECONDS)
            for name in self.databases.databases
        }

    def _copied(self, record: DatabaseRecord) -> DatabaseRecord:
        revision = combine(self.store.era, number_of(record.revision))
        return msgspec.structs.replace(record, revision=revision)

    def _register_databases(self) -> None:
        if not self.store.is_down:
            for name, at in list(self._rewritten_at.items()):
                if self.scheduler.time >= at:
                    del self._rewritten_at[name]
                    # Without a known record the database writes its entry.
                    self._records.pop(name, None)
        super()._register_databases()

    def _learns(self, process: ModelProcess) -> bool:
        """Processes that ran before a restore read the databases only after a while."""
        waits = self.scheduler.time < self._restored_at + MAX_REWRITE_SECONDS
        return not waits or self._started_at[process.name] >= self._restored_at
