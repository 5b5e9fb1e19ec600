"""RECOVER: an entry that can't be read hides the others from each process that starts."""

import sys
import threading
import time
from pathlib import Path

HERE = Path(__file__).resolve().parent
sys.path.insert(0, str(HERE.parent / "standins-2"))

from deployment import Deployment, is_success, run_case  # noqa: E402

RECOVER_SECONDS = 12.0
MEASURED_SECONDS = 10.0
UNREADABLE = b'{"service": "planning-core", "labels": ' + b"[" * 2000


class Caller:
    """A client that writes and reads; each request is a try of its own."""

    def __init__(self, deployment, name, pooler):
        self._deployment, self._name, self._pooler = deployment, name, pooler
        self.tries = []
        """Of each request: when it was sent, and whether it was served."""
        self._is_stopped = threading.Event()
        self._thread = threading.Thread(target=self._run, daemon=True)
        self._thread.start()

    def _run(self):
        client, number = None, 0
        while not self._is_stopped.is_set():
            number += 1
            sent_at, lines = time.monotonic(), []
            try:
                client = client or self._open()
                text = f"WRITE case-1 v{number}" if number % 3 == 0 else "READ case-1"
                _, lines = client.ask(text)
            except OSError:
                client = None
            self.tries.append((sent_at, is_success(lines)))
            time.sleep(0.1)

    def _open(self):
        client = self._deployment.session(self._name, self._pooler, "huvo11a", is_needed=False)
        if not client.greeting.startswith("READY"):
            raise ConnectionError(client.greeting)
        return client

    def stop(self):
        self._is_stopped.set()
        self._thread.join(12.0)

    def share_served(self, since, until):
        served = [is_served for sent_at, is_served in self.tries if since <= sent_at < until]
        return sum(served) / max(len(served), 1)


def build(folder):
    return Deployment(folder)


def play(deployment, has_trouble):
    poolers = deployment.poolers
    callers = [Caller(deployment, f"c{at}", pooler) for at, pooler in enumerate(poolers)]
    time.sleep(3.0)
    if has_trouble:
        deployment.store.put("servers", "i-0c41b8e2", UNREADABLE)
        deployment.record("another writer", f"writes servers/i-0c41b8e2: {UNREADABLE[:60]}...")
    time.sleep(5.0)

    # The final fault: a configuration is acknowledged, and all processes are killed.
    began_at = time.monotonic()
    deployment.configure(0)
    for pooler in poolers:
        pooler.kill()
    time.sleep(0.5)
    for pooler in poolers:
        pooler.start()
    back_at = time.monotonic()
    time.sleep(RECOVER_SECONDS + MEASURED_SECONDS)
    ended_at = time.monotonic()
    for caller in callers:
        caller.stop()

    before = sum(each.share_served(began_at - 5.0, began_at) for each in callers) / len(callers)
    since = back_at + RECOVER_SECONDS
    after = sum(each.share_served(since, ended_at) for each in callers) / len(callers)
    deployment.record("check", f"served before {before:.3f}, after the recovery {after:.3f}")
    if before >= 0.25 and after < 0.25:
        return [f"RECOVER: {before:.2f} was served before the final fault, {after:.2f} after"]
    return []


if __name__ == "__main__":
    run_case(HERE, build, play)
