"""Whole pooler processes in threads, before stand-in databases and a stand-in store."""

import contextlib
import itertools
import random
import socket
import threading
import time
import unittest
import urllib.request

from dewledge.core.pooler.statements.completion_estimate import CompletionEstimator
from dewledge.platform.adapter import build_adapter
from dewledge.pooler_settings import LoadSettings, PoolerSettings, PoolerTimings
from dewledge.shell.pooler.pooler_process import PoolerProcess
from tests.platform.table_store import TableStore
from tests.platform.wire_databases import WireClient, WireGroup, wait_until

FIRST_PORT = 20_000
LAST_PORT = 32_000
"""Below the range from which the system takes ports of outgoing connections."""


_ports = itertools.cycle(range(FIRST_PORT, LAST_PORT))
for _ in range(random.randrange(LAST_PORT - FIRST_PORT)):
    next(_ports)


def free_address() -> str:
    """Returns an address that nobody listens at and that no outgoing connection will take.

    Ports are taken in turn from a random start: none is given out twice before it is bound.
    """
    while True:
        port = next(_ports)
        with contextlib.suppress(OSError), socket.create_server(("127.0.0.1", port)):
            return f"127.0.0.1:{port}"


class PoolerCase(unittest.TestCase):
    fences = True
    load = LoadSettings()
    tenants: list[dict[str, object]] | None = None
    synchronous_replicas = 0
    promote_seconds = 0.1

    def setUp(self) -> None:
        self.store = TableStore()
        self.addCleanup(self.store.close)
        self.group = WireGroup(
            "menus", self.store, self.promote_seconds, self.fences, self.synchronous_replicas
        )
        self.addCleanup(self.group.close)
        self.threads: dict[PoolerProcess, threading.Thread] = {}
        self.version = 0
        self.put_configuration()
        self.processes = [self.start(f"node-{number}") for number in (1, 2)]
        for process in self.processes:
            self.assertTrue(wait_until(lambda p=process: p.is_ready))  # type: ignore[misc]

    def put_configuration(self, databases: tuple[str, ...] = ("orders", "notes", "lists")) -> None:
        self.version += 3
        types = ("primary", "bounded_staleness", "read_own_writes")
        routes = [
            {
                "name": f"r-{name}",
                "host": name,
                "pathPrefix": "/",
                "type": kind,
                "timeoutMs": 2000,
                "targetLatencyMs": 1000,
                "priority": 1,
                "service": "menus",
                "maxStalenessMs": 1500,
            }
            for name, kind in zip(databases, types, strict=False)
        ]
        service = {"name": "menus", "maxConnections": 36, "syncReplicas": self.synchronous_replicas}
        services = [service]
        configuration: dict[str, object] = {
            "version": self.version,
            "routes": routes,
            "services": services,
            "limits": {"txIdleMs": 3000},
        }
        if self.tenants is not None:
            configuration["tenants"] = self.tenants
        self.store.put("op", "config", configuration)

    def start(self, name: str) -> PoolerProcess:
        return self.start_with(self.settings_of(name))

    def settings_of(self, name: str) -> PoolerSettings:
        return PoolerSettings(
            name=name,
            zone="middle",
            client_address=free_address(),
            ready_address=free_address(),
            peer_address=free_address(),
            metrics_address=free_address(),
            store_address=self.store.address,
            duty_address=self.store.address,
            promotions_fenced=self.fences,
            load=self.load,
            timings=PoolerTimings(stop_bound=1.0),
            zones={"north": "n", "middle": "n", "south": "s"},
        )

    def start_with(self, settings: PoolerSettings) -> PoolerProcess:
        process = PoolerProcess(settings, build_adapter(settings))
        thread = threading.Thread(target=process.run, daemon=True)
        thread.start()
        self.addCleanup(thread.join, 10.0)
        self.addCleanup(process.leave)
        self.threads[process] = thread
        return process

    def row_version_after_two_starts(self) -> tuple[int, int]:
        """Starts a process, ends it and starts it again; returns its row's version after each."""
        row = ("dewledge", "member/node-9")
        settings = self.settings_of("node-9")
        first = self.start_with(settings)
        self.assertTrue(wait_until(lambda: first.is_ready and row in self.store.rows))
        before = self.store.rows[row].version
        first.leave()
        self.threads[first].join(10.0)
        again = self.start_with(settings)
        self.assertTrue(wait_until(lambda: again.is_ready))
        time.sleep(0.5)
        return before, self.store.rows[row].version

    def client(self, database: str, number: int = 0, key: str = "test") -> WireClient:
        client = WireClient(self.processes[number].client_address, database, key=key)
        self.addCleanup(client.close)
        return client


class PoolerProcessTest(PoolerCase):
    def test_a_session_reads_its_own_writes(self) -> None:
        client = self.client("lists")
        self.assertEqual(client.greeting, "READY I -")
        for number in range(5):
            self.assertTrue(client.ask(f"WRITE fish v{number}")[1].startswith("COMPLETE signed."))
            self.assertEqual(client.ask("READ fish")[0], f"DATAROW v{number}")

    def test_a_transaction_with_prepared_statements_and_values(self) -> None:
        client = self.client("orders")
        client.ask("SET tenant north")
        client.ask("PARSE s1 WRITE shape")
        self.assertEqual(client.ask("BEGIN"), ["COMPLETE -", "READY T -"])
        self.assertEqual(client.ask("EXECUTE s1 soup hot")[-1], "READY T -")
        self.assertEqual(client.ask("COMMIT")[-1], "READY I -")
        self.assertEqual(client.ask("READ soup")[0], "DATAROW hot")

    def test_an_unknown_database_and_bytes_without_meaning(self) -> None:
        self.assertTrue(self.client("nowhere").greeting.startswith("ERROR NODB"))
        client = self.client("lists")
        client.send("GET / HTTP/1.1")
        self.assertTrue(client.line().startswith("ERROR MALFORMED"))
        self.assertEqual(self.client("lists").ask("READ x")[-1], "READY I -")

    def test_a_new_configuration_is_in_force_on_every_process(self) -> None:
        self.put_configuration(("orders", "notes", "lists-2"))
        for number in (0, 1):
            self.assertTrue(
                wait_until(lambda n=number: self.client("lists-2", n).greeting == "READY I -")  # type: ignore[misc]
            )
            self.assertTrue(self.client("lists", number).greeting.startswith("ERROR NODB"))

    def test_a_process_that_starts_again_where_it_was_leaves_its_row_as_it_is(self) -> None:
        before, after = self.row_version_after_two_starts()
        self.assertEqual(after, before)

    def test_a_crashed_primary_is_replaced_once(self) -> None:
        client = self.client("orders")
        client.ask("WRITE fish v1")
        self.group.databases["north"].crash()

        def is_written() -> bool:
            return client.ask("WRITE fish v2")[0].startswith("DATAROW")

        self.assertTrue(wait_until(is_written, 8.0))
        self.assertEqual(client.ask("READ fish")[0], "DATAROW v2")
        self.assertEqual(len({fence for _, _, _, fence in self.store.promotions}), 1)
        self.assertNotIn("i-north", {name for _, name, _, _ in self.store.promotions})

    def test_a_leaving_primary_is_replaced(self) -> None:
        client = self.client("orders")
        self.group.databases["north"].state = "draining"
        self.group.databases["north"].announce()
        self.assertTrue(wait_until(lambda: not self.group.databases["north"].leads, 8.0))
        self.assertTrue(client.ask("WRITE fish v2")[0].startswith("DATAROW"))

    def test_a_lost_answer_of_a_write_is_told_as_unknown(self) -> None:
        client = self.client("lists")
        client.ask("WRITE fish v1")
        self.group.databases["north"].lose_answers = 1
        self.assertTrue(client.ask("WRITE fish v2")[0].startswith("ERROR TIMEOUT"))
        self.assertEqual(client.ask("READ fish")[0], "DATAROW v2")

    def test_a_lagging_replica_never_shows_less_than_the_session_wrote(self) -> None:
        for database in self.group.databases.values():
            database.lag_seconds = 0.4
        client = self.client("lists")
        for number in range(6):
            client.ask(f"WRITE fish v{number}")
            self.assertEqual(client.ask("READ fish")[0], f"DATAROW v{number}")

    def test_a_full_database_is_told_at_once_and_nothing_is_kept(self) -> None:
        client = self.client("orders")
        written = client.ask("WRITE fish v1")
        self.assertTrue(written[0].startswith("DATAROW"), written)
        self.group.databases["north"].slots = 0
        started = time.monotonic()
        refused = client.ask("WRITE fish v2")
        self.assertTrue(refused[0].startswith("ERROR BUSY"), refused)
        self.assertIn("come back in", refused[0])
        self.assertLess(time.monotonic() - started, 0.6)
        self.group.databases["north"].slots = 3
        self.assertEqual(self.store.promotions, [])
        self.assertEqual(client.ask("READ fish")[0], "DATAROW v1")

    def test_a_late_answer_reaches_nobody_else(self) -> None:
        late, other = self.client("orders"), self.client("orders")
        late.ask("WRITE fish v1")
        other.ask("WRITE soup hot")
        self.group.databases["north"].late_answers = [2.6]
        self.assertTrue(late.ask("WRITE fish v2")[0].startswith("ERROR TIMEOUT"))
        for _ in range(30):
            self.assertEqual(other.ask("READ soup")[0], "DATAROW hot")
            self.assertEqual(late.ask("READ fish")[0], "DATAROW v2")
            time.sleep(0.03)

    def test_few_slots_are_shared_by_many_sessions(self) -> None:
        for database in self.group.databases.values():
            database.slots, database.work_seconds = 2, 0.01
        clients = [self.client("lists", number % 2) for number in range(8)]
        done: list[int] = []

        def use(client: WireClient, number: int) -> None:
            for turn in range(5):
                if client.ask(f"WRITE thing{number} v{turn}")[0].startswith("DATAROW"):
                    done.append(number)

        threads = [
            threading.Thread(target=use, args=(client, number))
            for number, client in enumerate(clients)
        ]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join(20.0)
        self.assertEqual(len(done), 40)

    def test_a_planned_stop_answers_what_was_asked_and_closes_sessions_at_rest(self) -> None:
        client, busy = self.client("lists"), self.client("orders")
        busy.ask("BEGIN")
        busy.ask("WRITE fish v1")
        process = self.processes[0]
        process.leave()
        self.assertEqual(client.line(), "")
        self.assertEqual(busy.ask("COMMIT")[-1], "READY I -")
        self.assertFalse(process.is_ready)

    def test_readiness(self) -> None:
        url = f"http://{self.processes[0].ready_address}/dewledge/ready"
        with urllib.request.urlopen(url, timeout=5) as answer:
            self.assertEqual(answer.status, 200)


def choices(processes: list[PoolerProcess]) -> list[CompletionEstimator | None]:
    """Returns by what each process chooses databases for reads."""
    return [process._services.groups["menus"].read_choice for process in processes]


class ChoiceSwitchedOffTest(PoolerCase):
    load = LoadSettings(told_load=False)

    def test_databases_are_chosen_by_own_counts(self) -> None:
        client = self.client("lists")
        client.ask("WRITE fish v1")
        self.assertEqual(client.ask("READ fish")[0], "DATAROW v1")
        self.assertEqual(choices(self.processes), [None, None])


class ChoiceTest(PoolerCase):
    def test_databases_are_chosen_by_expected_completion(self) -> None:
        self.assertNotIn(None, choices(self.processes))


if __name__ == "__main__":
    unittest.main()
