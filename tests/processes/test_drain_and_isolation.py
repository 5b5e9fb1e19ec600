"""Proxies that missed a change: thawed after a drain, or cut off from store and peers."""

import threading
import time
import uuid
from typing import Any

import msgspec

from dewledge.core.proxy.calls import Outcome
from dewledge.errors import ErrorCode
from dewledge.simulation.history import AcceptanceRecord, RequestRecord
from dewledge.simulation.promises_operations import RETIRED_BOUND
from dewledge.standin.platform_server import PlatformFaults
from tests.process_cluster import ProxyProcess, await_state
from tests.processes.group_observer import work_of
from tests.processes.observed_cluster import ClusterTestCase, Observation
from tests.processes.recorded_caller import RecordedCaller

HELD_CALLERS = 6
HELD_SECONDS = 20.0
REFUSALS = 20
SHORT_SECONDS = 0.5
DRAIN_RULE = "drain-under-test"


class DrainRow(msgspec.Struct, frozen=True):
    """Which database is drained while its gateway is frozen."""

    name: str
    primary: bool


DRAIN_ROWS = (DrainRow("replica", primary=False), DrainRow("primary", primary=True))


class DrainTest(ClusterTestCase):
    def test_gateway_frozen_over_the_drain(self) -> None:
        for row in DRAIN_ROWS:
            with self.subTest(row.name):
                self._run(row)

    def _run(self, row: DrainRow) -> None:
        database = self._database(row)
        observation = Observation(self.cluster, f"drain {row.name}")
        try:
            observation.load.await_progress()
            gateway = self.cluster.gateway_of(database)
            reader = observation.caller(f"reader {row.name}")
            held = HeldReads(observation, row.name, gateway)
            for caller in (reader, *held.callers):
                caller.amend()
            self.cluster.freeze_proxy(gateway)
            held.start()
            accepted = self._drain(database)
            await_state("the bound has passed", lambda: time.monotonic() > _due(accepted))
            self.cluster.thaw_proxies()
            await_state("the thawed proxy is ready", gateway.is_ready)
            self._await_served(reader, gateway)
            held.finish()
        finally:
            # From here on new work is right: a proxy may begin it before the change is answered.
            lifted_at = time.monotonic()
            self._change({"delete": [{"kind": "Rule", "name": DRAIN_RULE}]})
            activity = self.cluster.group_client.activity()
            history = observation.finish()
            self.cluster.repair()
        history.acceptances.append(accepted)
        work = work_of(self.cluster.group, activity)
        history.work = [it for it in work if it.time < lifted_at]
        self.check_promises(history)
        worked = {it.database for it in history.work if it.time < accepted.time}
        self.assertIn(database, worked, "it had no work before its drain either")

    def _await_served(self, reader: RecordedCaller, proxy: ProxyProcess) -> None:
        """Waits until reads are served through a proxy."""

        def is_served() -> bool:
            reader.go_to(proxy.name)
            return reader.read().outcome is Outcome.DONE

        await_state(f"reads are served through {proxy.name}", is_served)

    def _database(self, row: DrainRow) -> str:
        primary = self.cluster.current_primary()
        names = self.cluster.deployment.databases_of(self.cluster.group)
        return primary if row.primary else next(name for name in names if name != primary)

    def _drain(self, database: str) -> AcceptanceRecord:
        """Has the drain accepted while the gateway is frozen."""
        site = self.cluster.deployment.databases_of(self.cluster.group)[database].region
        selector = {"matchLabels": {"group": self.cluster.group, "site": site}}
        rule = {
            "apiVersion": "dewledge/v1",
            "kind": "Rule",
            "metadata": {"name": DRAIN_RULE},
            "spec": {"effect": "drain", "databases": selector},
        }
        revision = self._change({"put": [rule]})
        return AcceptanceRecord(time.monotonic(), revision, (database,))

    def _change(self, change: dict[str, Any]) -> int:
        """Has a change accepted; a repeat under the same id is the same change."""
        body = {"change_id": uuid.uuid4().hex, **change}
        client = self.cluster.answering_proxies()[0].client()
        answers = []

        def is_accepted() -> bool:
            answers.append(client.post("/v1/changes", body))
            return answers[-1].outcome is Outcome.DONE

        await_state("the change is accepted", is_accepted)
        return int(answers[-1].body["revision"])


class HeldReads:
    """Callers whose reads wait at a frozen proxy, patiently, until it thaws."""

    def __init__(self, observation: Observation, name: str, proxy: ProxyProcess) -> None:
        self.callers = [
            observation.caller(f"held {name} {index}", HELD_SECONDS)
            for index in range(HELD_CALLERS)
        ]
        self._threads = [
            threading.Thread(target=self._read, args=(caller, proxy.name), daemon=True)
            for caller in self.callers
        ]

    def start(self) -> None:
        """Sends the reads."""
        for thread in self._threads:
            thread.start()

    def finish(self) -> None:
        """Waits for every answer."""
        for thread in self._threads:
            thread.join(2 * HELD_SECONDS)

    def _read(self, caller: RecordedCaller, proxy: str) -> None:
        caller.go_to(proxy)
        caller.read()


def _due(accepted: AcceptanceRecord) -> float:
    return accepted.time + RETIRED_BOUND


class IsolationTest(ClusterTestCase):
    def test_cut_off_from_store_and_peers(self) -> None:
        observation = Observation(self.cluster, "isolated", sessions=0)
        try:
            lone, *others = self.cluster.proxies.values()
            caller = observation.caller("isolated", SHORT_SECONDS)
            caller.append()
            self.cluster.platform.set_faults(PlatformFaults(down=True))
            for proxy in others:
                self.cluster.freeze_proxy(proxy)
            await_state("new work is refused", lambda: _is_refused(self._send(caller, lone)))
            refused = [self._send(caller, lone) for _ in range(REFUSALS)]
            self.cluster.repair()
            await_state("it serves again", lambda: self._send(caller, lone).outcome is Outcome.DONE)
        finally:
            self.cluster.repair()
            history = observation.finish()
        self.check_promises(history)
        self.assertTrue(all(_is_refused(it) for it in refused), refused)
        committed = {marker for it in history.commits for marker in it.markers}
        self.assertEqual(committed & {it.marker for it in refused}, set())

    def _send(self, caller: RecordedCaller, proxy: ProxyProcess) -> RequestRecord:
        caller.go_to(proxy.name)
        return caller.append()


def _is_refused(request: RequestRecord) -> bool:
    return request.outcome is Outcome.NOT_RUN and request.code is ErrorCode.ISOLATED
