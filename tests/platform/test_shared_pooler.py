"""The same contract where few processes hold connections and one alone reads the store."""

import time
import unittest
from unittest import mock

from dewledge.core.pooler.sharing import holders, readers
from dewledge.shell.pooler.pooler_process import PoolerProcess
from dewledge.shell.pooler.tables import followed_table
from tests.platform import test_pooler_process as direct
from tests.platform.wire_databases import wait_until

SMALL = (
    (holders, "MIN_DIRECT_CONNECTIONS", 99),
    (holders, "MIN_HOLDERS", 1),
    (holders, "CONNECTIONS_PER_HOLDER", 99),
    (readers, "MAX_PROCESSES_ALL_READING", 1),
    (readers, "READER_COUNT", 1),
)
"""So that four processes share as hundreds would."""

START_SECONDS = 20.0
"""For four processes in one interpreter to know each other, which is no promise of theirs: on a
machine with four times as much to run as processors 5 s were not enough once."""


class SharedCase(direct.PoolerCase):
    def setUp(self) -> None:
        for module, name, value in SMALL:
            patch = mock.patch.object(module, name, value)
            patch.start()
            self.addCleanup(patch.stop)
        super().setUp()
        self.processes += [self.start(f"node-{number}") for number in (3, 4)]
        for process in self.processes:
            known = wait_until(lambda p=process: self.knows_all(p), START_SECONDS)  # type: ignore[misc]
            self.assertTrue(
                known, f"{process.client_address} knows {process._peer_access.members.members}"
            )

    def knows_all(self, process: PoolerProcess) -> bool:
        return process.is_ready and len(process._peer_access.members.members) == 4

    def held(self) -> dict[str, list[int]]:
        """Returns the numbers of the processes that hold connections, by database."""
        found: dict[str, list[int]] = {}
        for number, process in enumerate(self.processes):
            group = process._services.groups["menus"]
            for name in self.group.databases:
                if group.holding(f"i-{name}").is_direct:
                    found.setdefault(name, []).append(number)
        return found


class SharedPoolerTest(SharedCase, direct.PoolerProcessTest):
    """All that holds of processes with connections of their own."""


class SharingTest(SharedCase):
    def test_each_database_has_one_holder_and_the_others_use_it(self) -> None:
        held = self.held()
        self.assertEqual({len(numbers) for numbers in held.values()}, {1})
        for number in range(4):
            client = self.client("orders", number)
            self.assertTrue(client.ask(f"WRITE fish v{number}")[0].startswith("DATAROW"))
        (holder,) = held["north"]
        for number, process in enumerate(self.processes):
            pool = process._services.groups["menus"].pools["i-north"]
            self.assertEqual(pool.limit > 40, number != holder)
        self.assertGreaterEqual(self.processes[holder]._channel_server.channel_count, 3)

    def test_one_reads_and_a_change_is_in_force_everywhere(self) -> None:
        self.assertTrue(wait_until(lambda: self.calls_within(2.0) <= 8, 15.0))
        self.put_configuration(("orders", "notes", "lists-2"))
        started = time.monotonic()
        for number in range(4):
            self.assertTrue(
                wait_until(lambda n=number: self.client("lists-2", n).greeting == "READY I -")  # type: ignore[misc]
            )
        self.assertLess(time.monotonic() - started, 2.0)

    def stop_at_once(self, process: PoolerProcess) -> None:
        """Ends a process without a word, as a kill would; its connections close with the loop."""
        process._loop.post(process._channel_server.close)
        process._loop.post(process._peer_access.links.close)
        process._loop.post(process._tables.stop)
        process._loop.stop()

    def calls_within(self, seconds: float) -> int:
        before = self.store.calls
        time.sleep(seconds)
        return self.store.calls - before

    def test_a_large_configuration_is_in_force_everywhere(self) -> None:
        with mock.patch.object(followed_table, "MAX_SENT_CHANGE_BYTES", 100):
            self.put_configuration(("orders", "notes", "lists-2"))
            started = time.monotonic()
            for number in range(4):
                self.assertTrue(
                    wait_until(lambda n=number: self.client("lists-2", n).greeting == "READY I -")  # type: ignore[misc]
                )
        self.assertLess(time.monotonic() - started, 2.0)

    def test_without_the_reader_the_others_read_the_store(self) -> None:
        reader = next(p for p in self.processes if p._tables._plan.is_reader)
        self.stop_at_once(reader)
        self.put_configuration(("orders", "notes", "lists-2"))
        for number, process in enumerate(self.processes):
            if process is not reader:
                self.assertTrue(
                    wait_until(lambda n=number: self.client("lists-2", n).greeting == "READY I -")  # type: ignore[misc]
                )

    def test_a_planned_stop_of_the_holder_costs_no_statement(self) -> None:
        (holder,) = self.held()["north"]
        number = next(n for n in range(4) if n != holder)
        client = self.client("orders", number)
        client.ask("BEGIN")
        client.ask("WRITE fish v1")
        self.processes[holder].leave()
        self.assertEqual(client.ask("COMMIT")[-1], "READY I -")
        for turn in range(40):
            answer = client.ask(f"WRITE fish v{turn}")
            self.assertTrue(answer[0].startswith("DATAROW"), (turn, answer))
            time.sleep(0.04)
        self.assertEqual(client.ask("READ fish")[0], "DATAROW v39")

    def test_a_holder_that_stops_at_once_costs_little(self) -> None:
        (holder,) = self.held()["north"]
        number = next(n for n in range(4) if n != holder)
        client = self.client("orders", number)
        client.ask("WRITE fish v1")
        self.stop_at_once(self.processes[holder])
        self.assertTrue(
            wait_until(lambda: client.ask("WRITE fish v2")[0].startswith("DATAROW"), 5.0)
        )
        self.assertEqual(client.ask("READ fish")[0], "DATAROW v2")


if __name__ == "__main__":
    unittest.main()
