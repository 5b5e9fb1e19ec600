"""ONE: after a restore of the store, a process promotes a second primary beside the first."""

import sys
import threading
import time
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "standins-2"))

from deployment import SERVICE, Database, Deployment, Pooler, is_success, run_case  # noqa: E402

HEARTBEAT_SECONDS = 1.2
DRAIN_SECONDS = 7.2
AWAY_SECONDS = 0.5
REWRITE_SECONDS = 1.2
"""Seconds after the store's return until the databases have written their entries again."""


class Writer:
    """A client that writes one value after another; a new session follows a broken one."""

    def __init__(self, deployment, name, pooler):
        self._deployment, self._name, self._pooler = deployment, name, pooler
        self.acknowledged = {}
        self._is_stopped = threading.Event()
        self._thread = threading.Thread(target=self._run, daemon=True)
        self._thread.start()

    def _run(self):
        client, number = None, 0
        while not self._is_stopped.is_set():
            number += 1
            data = f"{self._name}-{number}"
            try:
                client = client or self._deployment.session(self._name, self._pooler, "lepu270")
                _, lines = client.ask(f"WRITE case-{number} {data}")
                if is_success(lines):
                    self.acknowledged[data] = time.monotonic()
            except OSError:
                client = None
            time.sleep(0.02)

    def stop(self):
        self._is_stopped.set()
        self._thread.join(12.0)


def build(folder):
    return Deployment(folder, bounds={"fencingRequired": False}, promote_seconds=0.3)


def beat(deployment, is_stopped):
    """Each database writes its entry; a write raises the counter, though the entry stays."""
    while not is_stopped.wait(HEARTBEAT_SECONDS / 3):
        deployment.store.count_transaction()


def start_database(deployment):
    """A database is added: it has the log before it says that it is there."""
    service = deployment.service
    added = Database(service, "i-e4f00c2a", "tamale-hall-c")
    with service.changed:
        service.databases.append(added)
    service.catch_up()
    added.announce()
    return added


def announce_all(service):
    for database in service.databases:
        if database.is_alive:
            database.announce()


def play(deployment, has_trouble):
    store, service = deployment.store, deployment.service
    is_stopped = threading.Event()
    threading.Thread(target=beat, args=(deployment, is_stopped), daemon=True).start()
    writers = [Writer(deployment, f"c{at}", each) for at, each in enumerate(deployment.poolers)]
    deployment.await_true(lambda: all(each.acknowledged for each in writers), 10, "no writes")

    copy, copied_at = store.copy(), time.monotonic()
    time.sleep(1.0)

    # Planned work: the primary is replaced by a new database. It drains, serves on, and ends.
    old = service.databases[0]
    start_database(deployment)
    time.sleep(1.0)
    deployment.record(old.name, "drains")
    old.state = "draining"
    old.announce()
    drains_since = time.monotonic()
    deployment.await_true(lambda: service.promoted, 6, "the first primary was not replaced")
    time.sleep(max(drains_since + DRAIN_SECONDS - time.monotonic(), 0.0))
    old.stop("ends")
    store.remove("servers", old.name)

    # Planned work: a machine is added.
    machine = Pooler(deployment, "frontend-accra-hall-a-2", "accra-hall-a")
    deployment.poolers.append(machine)
    if has_trouble:
        # The drill: the store is away for a moment and comes back from an older copy.
        store.away = True
        machine.start()
        time.sleep(AWAY_SECONDS)
        store.restore(copy)
        store.away = False
        age = time.monotonic() - copied_at
        deployment.record("store", f"is back from a copy {age:.1f} s old")
        deployment.configure_again()
        service.later(REWRITE_SECONDS, lambda: announce_all(service))
        service.later(3 * HEARTBEAT_SECONDS, lambda: store.remove("servers", old.name))
    else:
        machine.start()
    deployment.await_true(lambda: machine.is_ready, 10, "the added machine is not ready")
    writers.append(Writer(deployment, "c3", machine))
    time.sleep(10.0)
    is_stopped.set()
    for writer in writers:
        writer.stop()
    return [*token_breaks(deployment), *lead_breaks(deployment, writers)]


def token_breaks(deployment):
    breaks, newest = [], 0
    for holder, token, name, _ in deployment.platform.calls:
        if token < newest:
            breaks.append(
                f"ONE: {holder} ordered {name} for {SERVICE} with token {token}, after {newest}"
            )
        newest = max(newest, token)
    return breaks


def lead_breaks(deployment, writers):
    """Commits of an old primary after another had taken the lead, that a client was told of."""
    told = {data for writer in writers for data in writer.acknowledged}
    late = []
    for moment, name, _, values in deployment.service.committed:
        leaders = [who for at, who, _ in deployment.service.promoted if at < moment]
        if leaders and leaders[-1] != name:
            late += [(name, leaders[-1], data) for data in values if data in told]
    if not late:
        return []
    old, new, data = late[0]
    return [
        f"ONE: {old} committed {len(late)} acknowledged writes after {new} had taken the lead,"
        f" the first {data}"
    ]


if __name__ == "__main__":
    run_case(HERE, build, play)
