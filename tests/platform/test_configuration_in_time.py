"""A confirmed configuration is in force on every process within its bound, after each fault."""

import threading
import time

import msgspec

from dewledge.pooler_settings import PoolerSettings
from dewledge.shell.pooler.links.byte_stream import ByteStream
from dewledge.shell.pooler.pooler_process import PoolerProcess
from tests.platform.test_shared_pooler import SharedCase
from tests.platform.wire_databases import wait_until
from tests.processes.relay import Relay

CHANGE_AFTER_SECONDS = 1.0
"""From the fault to the acknowledgement of the change."""
BOUND_SECONDS = 5.0
"""Within which an acknowledged configuration must be in force."""
GIVE_UP_SECONDS = 20.0
WRITES_LOST = 50
"""Versions that the store gave out after the copy from which it comes back."""
KEPT_CONNECTIONS = 8
"""Connections to the store that a process has after all its threads have called at once."""


class ConfigurationInTimeTest(SharedCase):
    """Four processes, of which one reads the store, and a relay between them and the store."""

    relay: Relay | None = None

    def settings_of(self, name: str) -> PoolerSettings:
        if self.relay is None:
            self.relay = Relay(self.store.address)
            self.addCleanup(self.relay.close)
        settings = super().settings_of(name)
        return msgspec.structs.replace(settings, store_address=self.relay.address)

    # Guards against a configuration that is late because each silent connection costs a timeout.
    def test_after_all_open_connections_fell_silent(self) -> None:
        for process in self.processes:
            self.use_all_store_connections(process)
        assert self.relay is not None
        self.relay.silence_open_links()
        for process in self.processes:
            silence_peer_links(process)
        time.sleep(CHANGE_AFTER_SECONDS)
        delays = self.seconds_until_in_force()
        self.assertLess(max(delays), BOUND_SECONDS, delays)

    # Guards against a configuration that is ignored as old after versions were given out again.
    def test_after_the_store_came_back_from_an_older_copy(self) -> None:
        copy = self.store.copy()
        for number in range(WRITES_LOST):
            self.store.put("status", f"key-{number}", b"x")
        time.sleep(CHANGE_AFTER_SECONDS)
        self.store.restore(copy)
        time.sleep(CHANGE_AFTER_SECONDS)
        delays = self.seconds_until_in_force()
        self.assertLess(max(delays), BOUND_SECONDS, delays)

    # Guards against a new route that is refused as unknown by a process cut off from all news.
    def test_an_added_route_is_not_refused_as_unknown_without_a_confirmation(self) -> None:
        assert self.relay is not None
        self.relay.hold_answers()
        for process in self.processes:
            process._loop.post(process._peer_access.links.close)
        self.assertTrue(
            wait_until(lambda: all(is_unconfirmed(process) for process in self.processes))
        )
        self.put_configuration(("orders", "notes", "lists-2"))
        threading.Timer(1.0, self.relay.mend).start()
        for number in range(len(self.processes)):
            greetings = self.greetings_until_ready("lists-2", number)
            self.assertEqual(greetings.pop(), "READY I -")
            for refused in greetings:
                self.assertTrue(refused.startswith("ERROR BUSY"), refused)

    def greetings_until_ready(self, database: str, number: int) -> list[str]:
        """Starts sessions until one is accepted; gives up after the bound."""
        greetings: list[str] = []

        def is_accepted() -> bool:
            greetings.append(self.client(database, number).greeting)
            return greetings[-1] == "READY I -"

        wait_until(is_accepted, BOUND_SECONDS)
        return greetings

    def use_all_store_connections(self, process: PoolerProcess) -> None:
        """Has as many calls to the store at once as the process has threads for them."""
        start = threading.Barrier(KEPT_CONNECTIONS)

        def call() -> None:
            start.wait()
            process._tables._calls.store.watch_table("op", self.store.version, 0.2)

        threads = [threading.Thread(target=call) for _ in range(KEPT_CONNECTIONS)]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join()

    def seconds_until_in_force(self) -> list[float]:
        """Changes the configuration; returns how long it takes on each process."""
        self.put_configuration(("orders", "notes", "lists-2"))
        acknowledged_at = time.monotonic()
        delays: dict[PoolerProcess, float] = {}

        def is_everywhere() -> bool:
            for process in self.processes:
                if process not in delays and process._services.routes.version == self.version:
                    delays[process] = time.monotonic() - acknowledged_at
            return len(delays) == len(self.processes)

        wait_until(is_everywhere, GIVE_UP_SECONDS)
        return [round(delays.get(p, GIVE_UP_SECONDS), 2) for p in self.processes]


def is_unconfirmed(process: PoolerProcess) -> bool:
    """Returns whether nothing has confirmed a process's configuration recently."""
    return not process._services.configuration_age.is_recent


def silence_peer_links(process: PoolerProcess) -> None:
    """Passes nothing more on the links that a process has dialled, without ending them."""
    for link in process._peer_access.links._links.values():
        if link._stream is not None:
            silence(link._stream._stream)


def silence(stream: ByteStream) -> None:
    """Drops all that a connection sends or receives from now on."""
    stream.send = lambda data: None  # type: ignore[method-assign]
    stream._received = lambda data: None


if __name__ == "__main__":
    import unittest

    unittest.main()
