"""ONE: after a restore of the store, a holder sends a token lower than one the platform has seen."""

import sys
import threading
import time
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "standins-2"))

from deployment import SERVICE, Database, Deployment, Pooler, is_success, run_case  # noqa: E402

HEARTBEAT_SECONDS = 1.2
COPY_AGE_SECONDS = 8.0


class Writer:
    """A client that writes one value after another; a new session follows a broken one."""

    def __init__(self, deployment, name, pooler):
        self._deployment, self._name, self._pooler = deployment, name, pooler
        self.served = 0
        self._is_stopped = threading.Event()
        self._thread = threading.Thread(target=self._run, daemon=True)
        self._thread.start()

    def _run(self):
        client, number = None, 0
        while not self._is_stopped.is_set():
            number += 1
            try:
                client = client or self._deployment.session(self._name, self._pooler, "lepu270")
                _, lines = client.ask(f"WRITE case-{number} {self._name}-{number}")
                self.served += is_success(lines)
            except OSError:
                client = None
            time.sleep(0.1)

    def stop(self):
        self._is_stopped.set()
        self._thread.join(12.0)


def build(folder):
    return Deployment(folder, bounds={"fencingRequired": False}, promote_seconds=0.3)


def beat(deployment, is_stopped):
    """Each database writes its entry; a write raises the counter, though the entry stays."""
    while not is_stopped.wait(HEARTBEAT_SECONDS / 3):
        deployment.store.count_transaction()


def leave(deployment, database):
    """Planned work: a primary is replaced by another database, which starts first."""
    service = deployment.service
    new = Database(service, f"i-{len(service.databases)}f00c2a1", database.zone)
    with service.changed:
        new.term = max(each.term for each in service.databases)
        service.databases.append(new)
    new.announce()
    service.catch_up()
    time.sleep(1.0)
    deployment.record(database.name, "drains")
    database.state = "draining"
    database.announce()


def leads(deployment):
    return [each for each in deployment.service.databases if each.is_primary and each.is_alive]


def play(deployment, has_trouble):
    store, service = deployment.store, deployment.service
    is_stopped = threading.Event()
    threading.Thread(target=beat, args=(deployment, is_stopped), daemon=True).start()
    writers = [Writer(deployment, f"c{at}", each) for at, each in enumerate(deployment.poolers)]
    deployment.await_true(lambda: all(each.served > 5 for each in writers), 10, "no writes")

    # Planned work: the primary is replaced.
    copy, copied_at = store.copy(), time.monotonic()
    time.sleep(COPY_AGE_SECONDS - 2.5)
    leave(deployment, leads(deployment)[0])
    deployment.await_true(lambda: service.promoted, 15, "the first primary was not replaced")
    while time.monotonic() < copied_at + COPY_AGE_SECONDS:
        time.sleep(0.02)

    if has_trouble:
        # The drill: the store is away for a moment and comes back from an older copy.
        store.away = True
        time.sleep(0.5)
        store.restore(copy)
        store.away = False
        deployment.record("store", f"is back from a copy {COPY_AGE_SECONDS} s old")
        deployment.configure_again()
        for database in service.databases:
            if database.is_alive:
                database.announce()

    # Planned work: a machine is added, and the new primary is replaced in its turn.
    added = Pooler(deployment, "frontend-accra-hall-a-2", "accra-hall-a")
    deployment.poolers.append(added)
    added.start()
    deployment.await_true(lambda: added.is_ready, 10, "the added machine is not ready")
    for second in leads(deployment)[:1]:
        leave(deployment, second)
    time.sleep(15.0)
    is_stopped.set()
    for writer in writers:
        writer.stop()

    breaks, newest = [], 0
    for holder, token, name, _ in deployment.platform.calls:
        if token < newest:
            breaks.append(
                f"ONE: {holder} ordered {name} for {SERVICE} with token {token}, after {newest}"
            )
        newest = max(newest, token)
    holders = {}
    for holder, token, name, _ in deployment.platform.calls:
        other = holders.setdefault(token, holder)
        if other != holder:
            breaks.append(f"ONE: {holder} ordered {name} with token {token}, as {other} did")
    return breaks


if __name__ == "__main__":
    run_case(HERE, build, play)
