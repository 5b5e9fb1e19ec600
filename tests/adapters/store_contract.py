"""The contract of TableService, ObjectStore and MachineList, for any adapter of them."""

import unittest
from abc import abstractmethod

from dewledge.core.proxy.ports import (
    MachineList,
    MachineState,
    ObjectStore,
    Row,
    RowWrite,
    TableService,
)
from dewledge.errors import (
    StoreConditionFailed,
    StoreError,
    StoreOutcomeUnknown,
    StoreRateLimited,
)

TIMEOUT = 5.0
SHORT_TIMEOUT = 0.05


class StoreContract(unittest.TestCase):
    """Subclasses give the adapters and a way to switch the platform's faults."""

    table: TableService
    objects: ObjectStore
    machine_list: MachineList

    @abstractmethod
    def set_down(self, down: bool) -> None: ...

    @abstractmethod
    def lose_next_answer(self) -> None: ...

    @abstractmethod
    def set_slowness(self, seconds: float) -> None: ...

    @abstractmethod
    def report_machine(self, machine: MachineState) -> None: ...

    def write(self, key: str, version: int, value: bytes) -> tuple[Row, ...]:
        return self.table.transact((RowWrite(key, version, value),), TIMEOUT)

    def test_absent_row_has_version_zero(self) -> None:
        self.assertEqual(self.table.read("absent", TIMEOUT), Row("absent", 0, b""))

    def test_written_row_is_read_back_with_its_version(self) -> None:
        value = bytes(range(256))
        self.assertEqual(self.write("a/b c&d", 0, value), (Row("a/b c&d", 1, value),))
        self.assertEqual(self.write("a/b c&d", 1, b""), (Row("a/b c&d", 2, b""),))
        self.assertEqual(self.table.read("a/b c&d", TIMEOUT), Row("a/b c&d", 2, b""))

    def test_transaction_writes_all_rows_or_none(self) -> None:
        self.write("taken", 0, b"first")
        rows = (
            ("second condition fails", (RowWrite("new", 0, b"x"), RowWrite("taken", 0, b"x"))),
            ("first condition fails", (RowWrite("taken", 7, b"x"), RowWrite("new", 0, b"x"))),
        )
        for name, writes in rows:
            with self.subTest(name):
                with self.assertRaises(StoreConditionFailed):
                    self.table.transact(writes, TIMEOUT)
                self.assertEqual(self.table.read("new", TIMEOUT).version, 0)
                self.assertEqual(self.table.read("taken", TIMEOUT).value, b"first")

    def test_lost_answer_is_unknown_and_can_be_read_back(self) -> None:
        self.lose_next_answer()
        with self.assertRaises(StoreOutcomeUnknown):
            self.write("head", 0, b"x")
        self.assertEqual(self.table.read("head", TIMEOUT).value, b"x")
        with self.assertRaises(StoreConditionFailed):
            self.write("head", 0, b"x")

    def test_answer_that_comes_too_late_is_unknown(self) -> None:
        self.set_slowness(2.0)
        with self.assertRaises(StoreOutcomeUnknown):
            self.table.transact((RowWrite("late", 0, b"x"),), SHORT_TIMEOUT)
        with self.assertRaises(StoreError) as raised:
            self.table.read("late", SHORT_TIMEOUT)
        self.assertNotIsInstance(raised.exception, StoreOutcomeUnknown)

    def test_down_is_an_error_without_effect(self) -> None:
        calls = (
            ("read", lambda: self.table.read("row", TIMEOUT)),
            ("transact", lambda: self.write("row", 0, b"x")),
            ("get", lambda: self.objects.get("object", TIMEOUT)),
            ("put", lambda: self.objects.put("object", b"x", TIMEOUT)),
            ("machines", lambda: self.machine_list.machines(TIMEOUT)),
        )
        self.set_down(True)
        for name, call in calls:
            with self.subTest(name):
                with self.assertRaises(StoreError) as raised:
                    call()
                self.assertIs(type(raised.exception), StoreError)
        self.set_down(False)
        self.assertEqual(self.table.read("row", TIMEOUT).version, 0)
        self.assertIsNone(self.objects.get("object", TIMEOUT))

    def test_object_is_written_whole_and_may_be_written_again(self) -> None:
        self.assertIsNone(self.objects.get("snapshots/1", TIMEOUT))
        data = bytes(range(256)) * 400
        for _ in range(2):
            self.objects.put("snapshots/1", data, TIMEOUT)
        self.assertEqual(self.objects.get("snapshots/1", TIMEOUT), data)

    def test_calls_over_the_rate_are_refused_with_a_time_to_wait(self) -> None:
        with self.assertRaises(StoreRateLimited) as raised:
            for _ in range(1000):
                self.table.read("row", TIMEOUT)
        self.assertGreater(raised.exception.retry_after, 0.0)

    def test_machine_list_shows_what_machines_reported(self) -> None:
        machine = MachineState("p1", "127.0.0.1:7400", "accra-a", leaving=True)
        self.report_machine(machine)
        self.assertEqual(self.machine_list.machines(TIMEOUT), (machine,))
