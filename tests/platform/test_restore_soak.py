"""Real processes beside a store that comes back from older copies, again and again.

Faults overlap: planned changes, crashes, processes that are killed, stopped, frozen and added.
DEWLEDGE_SOAK_SECONDS sets how long a run lasts, DEWLEDGE_SOAK_SEEDS which seeds ("100-149").
"""

import os
import random
import signal
import threading
import time
import unittest
from collections.abc import Callable

from tests.platform.soak_case import SECONDS, SoakCase, SoakClient
from tests.platform.table_store import StoreCopy
from tests.platform.wire_databases import WireDatabase, wait_until

FIRST_SEED, LAST_SEED = (
    int(number) for number in os.environ.get("DEWLEDGE_SOAK_SEEDS", "1-1").split("-")
)
CLIENTS = 4
MAX_POOLERS = 5
COPY_SECONDS = 0.25
MAX_COPY_AGE_SECONDS = 20.0
MAX_AWAY_SECONDS = 2.0
MAX_REWRITE_SECONDS = 3.0
ENTRY_LIFE_SECONDS = 3.6
"""Three heartbeats of a database: then the entry of one that is not there goes."""
RECOVERY_SECONDS = 12.0
FAULTS = ("drain", "drain", "crash", "kill", "stop", "freeze", "add", "restart_all")


class RestoreSoakCase(SoakCase):
    def play(self, seed: int) -> None:
        self.random = random.Random(seed)
        self.copies: list[tuple[float, StoreCopy]] = []
        self.threads: list[threading.Thread] = []
        self.played: list[str] = []
        self.is_over = threading.Event()
        self.role_lock = threading.Lock()
        self.started_at = time.monotonic()
        clients = [SoakClient(number, self.addresses, "primary") for number in range(CLIENTS)]
        for client in clients:
            client.start()
        self.in_background(self._keep_copies)
        time.sleep(1.0)
        while time.monotonic() < self.started_at + SECONDS:
            self._fault()
            time.sleep(self.random.uniform(0.1, 1.2))
        self._end_faults()
        self._check(clients, seed)

    def in_background(self, act: Callable[[], None]) -> None:
        thread = threading.Thread(target=act, daemon=True)
        self.threads.append(thread)
        thread.start()

    def note(self, text: str) -> None:
        self.played.append(f"{time.monotonic() - self.started_at:.2f} {text}")

    def _keep_copies(self) -> None:
        while not self.is_over.wait(COPY_SECONDS):
            self.store.put("other", "heartbeat", b"")
            now = time.monotonic()
            self.copies.append((now, self.store.copy()))
            self.copies = [each for each in self.copies if each[0] > now - MAX_COPY_AGE_SECONDS]

    # Faults.

    def _fault(self) -> None:
        fault = self.random.choice(FAULTS)
        self.note(fault)
        if self.random.random() < 0.3:
            self.in_background(self._restore)
        act = getattr(self, f"_fault_{fault}")
        self.in_background(act)

    def _restore(self) -> None:
        """The store is away for a moment, then it is back from a copy; its owners write again."""
        chance = random.Random(self.random.random())
        self.store.refuse_status = 503
        time.sleep(chance.uniform(0.0, MAX_AWAY_SECONDS))
        at, copy = chance.choice(self.copies)
        self.store.restore(copy)
        self.store.refuse_status = 0
        self.copies = [each for each in self.copies if each[0] <= at]
        self.note(f"restored a copy {time.monotonic() - at:.1f} s old, era {self.store.era}")
        self.put_configuration()
        for database in self.group.databases.values():
            delay = chance.uniform(0.0, MAX_REWRITE_SECONDS)
            timer = threading.Timer(delay, self._announce, (database,))
            timer.daemon = True
            timer.start()

    def _announce(self, database: WireDatabase) -> None:
        if database.alive:
            database.announce()
            return
        time.sleep(max(ENTRY_LIFE_SECONDS - MAX_REWRITE_SECONDS, 0.0))
        if not database.alive:
            self.store.remove("servers", database.name)

    def _primary(self) -> WireDatabase | None:
        leading = [d for d in self.group.databases.values() if d.alive and d.leads]
        return max(leading, key=lambda database: database.applied, default=None)

    def _fault_drain(self) -> None:
        with self.role_lock:
            primary = self._primary()
            if primary is None:
                return
            primary.state = "draining"
            primary.announce()
            wait_until(lambda: not primary.leads, 5.0)
            primary.state = "ready"
            primary.announce()

    def _fault_crash(self) -> None:
        """A primary ends; it comes back with its log, as a replica if another was promoted."""
        with self.role_lock:
            primary = self._primary()
            if primary is None:
                return
            term = primary.applied[0]
            primary.crash()
            wait_until(lambda: self._newest_term() > term, 8.0)
            primary.alive = True
            primary.leads = self._newest_term() <= term
            if not primary.leads:
                primary.applied = max(d.applied for d in self.group.databases.values())
            leads = primary.leads
            primary.come_back()
            primary.leads = leads
            primary.announce()

    def _newest_term(self) -> int:
        return max(database.applied[0] for database in self.group.databases.values())

    def _end_process(self, number: int, signal_number: int) -> None:
        process = self.processes[number]
        process.send_signal(signal.SIGCONT)
        process.send_signal(signal_number)
        process.wait(10.0)
        self._start(number)

    def _fault_kill(self) -> None:
        self._end_process(self.random.randrange(len(self.processes)), signal.SIGKILL)

    def _fault_stop(self) -> None:
        self._end_process(self.random.randrange(len(self.processes)), signal.SIGTERM)

    def _fault_restart_all(self) -> None:
        if self.random.random() < 0.5:
            return
        for number in range(len(self.processes)):
            self.in_background(lambda number=number: self._end_process(number, signal.SIGKILL))  # type: ignore[misc]

    def _fault_freeze(self) -> None:
        process = self.random.choice(self.processes)
        process.send_signal(signal.SIGSTOP)
        time.sleep(self.random.uniform(0.2, 2.5))
        process.send_signal(signal.SIGCONT)

    def _fault_add(self) -> None:
        if len(self.processes) < MAX_POOLERS:
            self._start(len(self.processes))

    def _end_faults(self) -> None:
        for thread in self.threads[1:]:
            thread.join(20.0)
        self.store.refuse_status = 0
        for process in self.processes:
            process.send_signal(signal.SIGCONT)
        for database in self.group.databases.values():
            if database.alive:
                database.announce()
        self.note("faults end")

    # What must hold.

    def _check(self, clients: list[SoakClient], seed: int) -> None:
        about = f"seed {seed}: {self.played}"
        before = [client.done for client in clients]
        served = wait_until(
            lambda: all(c.done > done for c, done in zip(clients, before, strict=True)),
            RECOVERY_SECONDS,
        )
        for client in clients:
            client.stopped = True
        self.is_over.set()
        for client in clients:
            client.join(10.0)
        self.assertTrue(served, f"not served again, {about}\n{self._logs()}")
        self.assertEqual([fault for c in clients for fault in c.faults], [], about)
        done = set().union(*(client.done_writes for client in clients))
        self.assertEqual(sorted(done & set(self.group.committed_late)), [], about)
        tokens = [token for _, _, _, token in self.store.promotions]
        self.assertEqual(tokens, sorted(tokens), about)
        holders: dict[int, set[str]] = {}
        for _, _, holder, token in self.store.promotions:
            holders.setdefault(token, set()).add(holder)
        self.assertTrue(all(len(names) == 1 for names in holders.values()), about)


class UnfencedRestoreSoakTest(RestoreSoakCase):
    """Guards against two primaries, and a group that is not served again, after restores."""

    fences = False

    def test_one_primary_and_work_goes_on(self) -> None:
        for seed in range(FIRST_SEED, LAST_SEED + 1):
            with self.subTest(seed=seed):
                if seed > FIRST_SEED:
                    self.doCleanups()
                    self.setUp()
                self.play(seed)


class FencedRestoreSoakTest(UnfencedRestoreSoakTest):
    """Guards against promotions that are refused after restores."""

    fences = True


if __name__ == "__main__":
    unittest.main()
