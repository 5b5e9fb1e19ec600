"""Whatever one entry of the store holds, the others hold.

Guards against an entry of another writer that hides databases, claims or the configuration.
"""

import json
import threading
import unittest
from collections.abc import Iterator
from typing import Any
from unittest import mock

import cbor2
from hypothesis import given, settings
from hypothesis import strategies as st
from loguru import logger

from dewledge.core.pooler.coordination_store import StoreRow
from dewledge.core.pooler.failover.primary_lease import Fencing, PrimaryLeases
from dewledge.core.pooler.sessions.services import PoolServices
from dewledge.core.pooler.sharing import messages
from dewledge.core.pooler.statements.statements import Reply, TransactionState
from dewledge.errors import ProtocolError
from dewledge.platform.adapter import build_adapter
from dewledge.platform.operator_records import (
    hash_api_keys,
    parse_configuration,
    parse_database,
)
from dewledge.platform.status_row import parse_status
from dewledge.platform.store_client import PlatformStore
from dewledge.pooler_settings import PoolerSettings
from dewledge.shell.pooler.coordination_table import CoordinationTable
from dewledge.shell.pooler.directory import Directory
from dewledge.shell.pooler.group_factory import GroupFactory
from dewledge.shell.pooler.links import peer_messages
from dewledge.shell.pooler.notices import ProcessNotices
from dewledge.shell.pooler.tables.coordination_rows import (
    read_acknowledgement,
    read_claim,
    read_member,
)
from dewledge.shell.pooler.tables.table_watcher import TableWatcher
from tests.core.pooler.harness import ModelScheduler
from tests.platform.table_store import TableStore
from tests.platform.test_pooler_process import PoolerCase
from tests.platform.wire_databases import WireClient, wait_until

NESTED = b'{"service": "menus", "labels": ' + b"[" * 2000
JSON_FAULTS = (
    b"",
    b"null",
    b"[]",
    b"\xff\xfe",
    NESTED,
    b"[" * 300_000,
    b'{"service": "\\ud800"}',
    b'{"service": "menus", "address": "127.0.0.1:1", "slots": NaN}',
    b'{"service": "menus", "address": "127.0.0.1:1", "slots": ' + b"9" * 6000 + b"}",
    b'{"service": ["menus"], "address": {}}',
)
CYCLIC = bytes((0xD8, 0x1C, 0x81, 0xD8, 0x1D, 0x00))
"""A list that contains itself."""
CBOR_FAULTS = (b"", b"\xff", CYCLIC, b"\x81" * 5000, b"\x9b" + b"\xff" * 8, b"\xc0\x61x")
STATUS_FAULTS = (
    "",
    "primary",
    "primary \u00b2 1.1",
    "primary 1 1.\u00b9",
    "primary 1 1.1 \u00b3",
    "primary " + "9" * 5000 + " 1.1",
    "primary 1 1." + "9" * 5000,
)


class DecodersTest(unittest.TestCase):
    """Guards against a decoder that raises what its caller does not expect."""

    def check_json(self, value: bytes) -> None:
        self.assertIsInstance(hash_api_keys(value), bytes)
        for parse in (parse_configuration, lambda data: parse_database("d", data, 1)):
            try:
                parse(value)
            except ProtocolError:
                continue

    def check_cbor(self, data: bytes) -> None:
        row = StoreRow("claim/menus", data, 1)
        for read in (read_claim, read_member, read_acknowledgement):
            read(row)
        for decode in (peer_messages.decode, messages.decode):
            try:
                decode(data)
            except ProtocolError:
                continue

    def test_json_that_cannot_be_read(self) -> None:
        for value in JSON_FAULTS:
            with self.subTest(value[:60]):
                self.check_json(value)
                with self.assertRaises(ProtocolError):
                    parse_database("d", value, 1)
                with self.assertRaises(ProtocolError):
                    parse_configuration(value)

    def test_cbor_that_cannot_be_read(self) -> None:
        for data in CBOR_FAULTS:
            with self.subTest(data[:20]):
                self.check_cbor(data)
                self.assertIsNone(read_claim(StoreRow("claim/menus", data, 1)))

    def test_status_row_that_cannot_be_read(self) -> None:
        for text in STATUS_FAULTS:
            with self.subTest(text[:40]):
                status = parse_status(Reply(TransactionState.IDLE, (text,)))
                self.assertTrue(status is None or status.stopped_term == 0)

    @given(st.binary(max_size=200))
    def test_any_bytes(self, data: bytes) -> None:
        self.check_json(data)
        self.check_cbor(data)

    @given(st.recursive(st.none() | st.booleans() | st.integers() | st.text(), st.lists))
    def test_any_cbor(self, value: object) -> None:
        self.check_cbor(cbor2.dumps(value))

    @given(st.text(max_size=60))
    def test_any_status_row(self, text: str) -> None:
        parse_status(Reply(TransactionState.IDLE, (text,)))


def entry(name: str, state: str = "ready") -> bytes:
    """Returns the entry of a replica that can be read."""
    fields = {
        "service": "menus",
        "address": "127.0.0.1:7000",
        "zone": "north",
        "version": "7.2",
        "slots": 3,
        "state": state,
        "coldRemainingMs": 0,
        "callSeq": 1,
        "dbRole": "replica",
        "born": 1,
    }
    return json.dumps({**fields, "name": name}).encode()


class DirectoryCase(unittest.TestCase):
    """A directory of one group, before the real formats of entries."""

    def setUp(self) -> None:
        self.reset()

    def reset(self) -> None:
        self.services = PoolServices(ModelScheduler(), lambda _event: None)
        self.leases = PrimaryLeases(Fencing.PLATFORM)
        settings = PoolerSettings(
            name="a",
            zone="north",
            client_address="127.0.0.1:1",
            ready_address="127.0.0.1:2",
            peer_address="127.0.0.1:3",
            metrics_address="127.0.0.1:5",
            store_address="127.0.0.1:4",
        )
        unused: Any = None
        groups = GroupFactory(settings, self.services, self.leases, unused, unused)
        updater: Any = mock.Mock()
        self.notices = ProcessNotices()
        platform = build_adapter(settings)
        self.directory = Directory(platform, self.services, groups, updater, self.notices)
        self.configure()

    def configure(self) -> None:
        services = [{"name": "menus", "maxConnections": 36}]
        value = json.dumps({"version": 1, "services": services}).encode()
        self.directory.apply_configuration_rows((StoreRow("config", value, 1),), 1)

    def databases(self) -> dict[str, bool]:
        """Returns whether each known database is draining."""
        group = self.services.groups.get("menus")
        records = {} if group is None else group.view.databases
        return {name: record.draining for name, record in records.items()}


class OtherEntriesHoldTest(DirectoryCase):
    """Guards against a loop over rows in which one failure drops all that come after it."""

    def check(self, value: bytes) -> None:
        for key in ("i-0", "i-9"):
            for is_whole in (True, False):
                with self.subTest(value[:40], key=key, is_whole=is_whole):
                    self.reset()
                    rows = [
                        StoreRow("i-1", entry("i-1"), 3),
                        StoreRow("i-2", entry("i-2", "draining"), 4),
                    ]
                    other = StoreRow(key, value, 5)
                    rows = [other, *rows] if key == "i-0" else [*rows, other]
                    if is_whole:
                        self.directory.apply_database_snapshot(tuple(rows), 5)
                    else:
                        self.directory.apply_database_rows(tuple(rows), 5)
                    known = self.databases()
                    self.assertEqual((known["i-1"], known["i-2"]), (False, True))

    def test_entry_that_cannot_be_read(self) -> None:
        for value in JSON_FAULTS:
            self.check(value)

    @settings(max_examples=30, deadline=None)
    @given(st.binary(max_size=100))
    def test_any_bytes(self, value: bytes) -> None:
        self.check(value)

    @settings(max_examples=60, deadline=None)
    @given(
        st.fixed_dictionaries(
            {},
            optional={
                name: st.none() | st.integers() | st.floats() | st.text() | st.lists(st.integers())
                for name in ("service", "address", "zone", "slots", "state", "dbRole", "born")
            },
        )
    )
    def test_fields_of_any_type(self, fields: dict[str, object]) -> None:
        self.check(json.dumps({**json.loads(entry("i")), **fields}).encode())

    def test_failure_in_the_use_of_one_entry(self) -> None:
        """Guards against any exception, also one that no decoder raises."""

        def fail(_group: str) -> None:
            if len(self.databases()) == 1:
                raise RuntimeError("a listener failed")

        self.notices.group_changed.add(fail)
        rows = tuple(StoreRow(f"i-{number}", entry("i"), number) for number in (1, 2, 3))
        self.directory.apply_database_rows(rows, 3)
        self.assertEqual(set(self.databases()), {"i-1", "i-2", "i-3"})

    def test_configuration_beside_a_row_that_cannot_be_read(self) -> None:
        value = json.dumps({"version": 7}).encode()
        rows = (StoreRow("config", NESTED, 8), StoreRow("config", value, 9))
        self.directory.apply_configuration_rows(rows, 9)
        self.assertEqual(self.services.routes.version, 7)


class OtherWriterTest(DirectoryCase):
    """Guards against an entry of another writer that names a database to use."""

    FAULTS: tuple[tuple[str, object], ...] = (
        ("state", "retired"),
        ("state", 1),
        ("state", None),
        ("service", "unheard-of"),
        ("service", "m" * 60_000),
        ("service", ["menus"]),
        ("address", "127.0.0.1"),
        ("address", "127.0.0.1:0"),
        ("address", "127.0.0.1:99999"),
        ("address", "nowhere:7000"),
        ("zone", 4),
        ("zone", "z" * 60_000),
        ("slots", 0),
        ("slots", -1),
        ("slots", 10**30),
        ("slots", "3"),
        ("slots", 2.5),
        ("dbRole", "leader"),
        ("version", 7),
        ("coldRemainingMs", -1),
        ("coldRemainingMs", "0"),
        ("callSeq", "1"),
        ("born", 1.5),
        ("born", None),
    )

    def faulty_entries(self) -> Iterator[tuple[str, bytes]]:
        fields = json.loads(entry("i-1"))
        for name, value in self.FAULTS:
            yield f"{name}={str(value)[:20]}", json.dumps({**fields, name: value}).encode()
        for name in fields.keys() - {"name", "born"}:
            rest = {key: value for key, value in fields.items() if key != name}
            yield f"no {name}", json.dumps(rest).encode()

    def test_it_names_no_database(self) -> None:
        for name, value in self.faulty_entries():
            with self.subTest(name):
                self.reset()
                self.directory.apply_database_rows((StoreRow("i-1", value, 3),), 3)
                self.assertEqual(self.databases(), {})
                self.assertEqual(set(self.services.groups), {"menus"})

    def test_it_does_not_bring_back_a_database_that_is_gone(self) -> None:
        for name, value in self.faulty_entries():
            with self.subTest(name):
                self.reset()
                self.directory.apply_database_rows((StoreRow("i-1", entry("i-1"), 3),), 3)
                self.directory.apply_database_rows((StoreRow("i-1", b"", 4, gone=True),), 4)
                self.directory.apply_database_rows((StoreRow("i-1", value, 5),), 5)
                self.assertEqual(self.databases(), {"i-1": True})

    def test_database_whose_entry_turns_bad_counts_as_gone(self) -> None:
        for is_whole in (True, False):
            for name, value in self.faulty_entries():
                with self.subTest(name, is_whole=is_whole):
                    self.reset()
                    self.directory.apply_database_rows((StoreRow("i-1", entry("i-1"), 3),), 3)
                    rows = (StoreRow("i-1", value, 4),)
                    if is_whole:
                        self.directory.apply_database_snapshot(rows, 4)
                    else:
                        self.directory.apply_database_rows(rows, 4)
                    self.assertEqual(self.databases(), {"i-1": True})
                    rows = (StoreRow("i-1", entry("i-1"), 5),)
                    self.directory.apply_database_rows(rows, 5)
                    self.assertEqual(self.databases(), {"i-1": False})

    def test_entry_that_comes_before_the_configuration_of_its_service(self) -> None:
        fields = {**json.loads(entry("i-7")), "service": "later"}
        self.directory.apply_database_rows((StoreRow("i-7", json.dumps(fields).encode(), 3),), 3)
        services = [{"name": name, "maxConnections": 9} for name in ("menus", "later")]
        value = json.dumps({"version": 2, "services": services}).encode()
        self.directory.apply_configuration_rows((StoreRow("config", value, 4),), 4)
        self.assertEqual(set(self.services.groups["later"].view.databases), {"i-7"})

    def test_two_hundred_refused_entries_are_logged_once_each(self) -> None:
        lines: list[str] = []
        sink = logger.add(lambda message: lines.append(str(message)), level="ERROR")
        self.addCleanup(logger.remove, sink)
        for version in (3, 4):
            rows = tuple(StoreRow(f"i-{n:03}", b"?", version) for n in range(200))
            self.directory.apply_database_rows(rows, version)
        self.assertEqual(len(lines), 200)


class CoordinationRowsTest(unittest.TestCase):
    """Guards against claims that are not applied because a member's row failed."""

    def test_failure_of_one_step_does_not_end_the_others(self) -> None:
        parts: Any = {name: mock.Mock() for name in ("members", "failover", "claims")}
        parts["members"].apply_rows.return_value = True
        parts["members"].members = {"a": None}
        changed = mock.Mock(side_effect=RuntimeError("a listener failed"))
        table = CoordinationTable(parts["members"], changed, mock.Mock(), *list(parts.values())[1:])
        rows = (StoreRow("claim/menus", b"", 1),)
        table.apply_rows(rows, 1)
        parts["failover"].apply_rows.assert_called_once_with(rows)
        parts["claims"].apply_rows.assert_called_once_with(rows)


class WatcherTest(unittest.TestCase):
    """Guards against a reader of a table that ends for good at a value."""

    def test_failure_while_a_value_is_read_does_not_end_the_watcher(self) -> None:
        stand_in = TableStore()
        self.addCleanup(stand_in.close)
        failures = iter([True, False])

        def sanitize(value: bytes) -> bytes:
            if next(failures, False):
                raise RecursionError("too deep")
            return value

        stand_in.put("op", "config", b"1")
        seen: list[bytes] = []
        watcher = TableWatcher(
            PlatformStore(stand_in.address, {"op": sanitize}),
            "op",
            lambda: -1,
            lambda delta, _at: seen.extend(row.value for row in delta.rows),
            lambda call: call(),
        )
        watcher.set_reader(True)
        thread = threading.Thread(target=watcher.run, daemon=True)
        thread.start()
        self.addCleanup(watcher.stop)
        self.assertTrue(wait_until(lambda: b"1" in seen, 5.0))


class UnreadableEntryProcessTest(PoolerCase):
    """Guards against a process that starts beside such an entry and never knows a database."""

    def test_process_that_starts_serves(self) -> None:
        self.store.put("servers", "i-0", NESTED)
        started = self.start("node-9")
        self.assertTrue(wait_until(lambda: started.is_ready))
        client = WireClient(started.client_address, "orders", key="test")
        self.addCleanup(client.close)
        self.assertTrue(client.ask("WRITE fish v1")[1].startswith("COMPLETE signed."))


if __name__ == "__main__":
    unittest.main()
