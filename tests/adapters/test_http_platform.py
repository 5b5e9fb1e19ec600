"""The platform's adapters against the stand-in."""

import unittest

from dewledge.adapters.http_platform import (
    HttpMachineList,
    HttpObjectStore,
    HttpTableService,
    PlatformClient,
)
from dewledge.core.proxy.ports import MachineState, RowWrite
from dewledge.errors import StoreError, StoreOutcomeUnknown
from dewledge.standin.platform_client import PlatformFaultClient
from dewledge.standin.platform_model import PlatformCall
from dewledge.standin.platform_server import PlatformFaults, PlatformServer
from dewledge.standin.platform_settings import PlatformSettings
from tests.adapters import store_contract
from tests.adapters.store_contract import TIMEOUT


class HttpPlatformTest(store_contract.StoreContract):
    def setUp(self) -> None:
        self.server = PlatformServer(PlatformSettings(list_lag=0.0, table_rate=1.0))
        self.server.start()
        self.addCleanup(self.server.stop)
        self.client = PlatformClient(self.server.address)
        self.addCleanup(self.client.close)
        self.faults = PlatformFaultClient(self.server.admin_address)
        self.addCleanup(self.faults.close)
        self.table = HttpTableService(self.client)
        self.objects = HttpObjectStore(self.client)
        self.http_machine_list = HttpMachineList(self.client)
        self.machine_list = self.http_machine_list

    def set_down(self, down: bool) -> None:
        self.faults.set_faults(PlatformFaults(down=down))

    def lose_next_answer(self) -> None:
        self.faults.set_faults(PlatformFaults(lose_answers=1))

    def set_slowness(self, seconds: float) -> None:
        self.faults.set_faults(PlatformFaults(slowness=seconds))

    def report_machine(self, machine: MachineState) -> None:
        self.http_machine_list.register(machine, TIMEOUT)

    def test_stopped_platform_is_an_error_without_effect(self) -> None:
        self.server.stop()
        with self.assertRaises(StoreError) as raised:
            self.table.transact((RowWrite("row", 0, b"x"),), TIMEOUT)
        self.assertNotIsInstance(raised.exception, StoreOutcomeUnknown)

    def test_calls_are_counted(self) -> None:
        self.table.read("row", TIMEOUT)
        self.objects.get("object", TIMEOUT)
        counted = self.faults.calls()
        self.assertEqual(counted, {PlatformCall.READ: 1, PlatformCall.GET: 1})

    def test_withdrawn_machine_leaves_the_list(self) -> None:
        self.report_machine(MachineState("p1", "127.0.0.1:7400", "accra-a"))
        self.http_machine_list.withdraw("p1", TIMEOUT)
        self.assertEqual(self.machine_list.machines(TIMEOUT), ())


if __name__ == "__main__":
    unittest.main()
