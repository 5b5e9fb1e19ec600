"""Notes which configuration revision each proxy says it has, and when."""

import json
import threading
import time
from http.client import HTTPConnection, HTTPException

from dewledge.simulation.history import History, RevisionRecord
from tests.process_cluster import OPERATOR_TOKEN, ProxyProcess

LOOK_SECONDS = 0.02
ANSWER_SECONDS = 1.0
JOIN_SECONDS = 10.0


class RevisionWatch:
    """One thread for each proxy, so that a frozen one does not hold up the others."""

    def __init__(self, proxies: list[ProxyProcess], history: History) -> None:
        self._history = history
        self._stop = threading.Event()
        self.latest: dict[str, int] = {}
        self._threads = [
            threading.Thread(target=self._run, args=(proxy,), daemon=True) for proxy in proxies
        ]
        for thread in self._threads:
            thread.start()

    def have(self, proxies: list[ProxyProcess], revision: int) -> bool:
        """Tells whether these proxies have a revision or a later one."""
        return all(self.latest.get(it.name, 0) >= revision for it in proxies)

    def finish(self) -> None:
        """Stops watching."""
        self._stop.set()
        for thread in self._threads:
            thread.join(JOIN_SECONDS)

    def _run(self, proxy: ProxyProcess) -> None:
        while not self._stop.wait(LOOK_SECONDS):
            try:
                revision = _revision_of(proxy)
            except (OSError, HTTPException):
                continue
            if revision != self.latest.get(proxy.name):
                record = RevisionRecord(time.monotonic(), proxy.name, 0, revision)
                self._history.revisions.append(record)
                self.latest[proxy.name] = revision


def _revision_of(proxy: ProxyProcess) -> int:
    connection = HTTPConnection(proxy.caller_address, timeout=ANSWER_SECONDS)
    try:
        connection.request(
            "GET", "/v1/status", headers={"Authorization": f"Bearer {OPERATOR_TOKEN}"}
        )
        return int(json.loads(connection.getresponse().read())["revision"])
    finally:
        connection.close()
