"""Runs the core's store machines against a platform stand-in, through the adapters and the shell.

The calls are real; which machine's call is made next is drawn from the seed, one at a time.
"""

import queue
import time
from collections import Counter
from collections.abc import Callable, Sequence
from random import Random
from typing import Any, cast
from unittest import TestCase

import msgspec

from dewledge.adapters.http_platform import (
    HttpMachineList,
    HttpObjectStore,
    HttpTableService,
    PlatformClient,
)
from dewledge.core.proxy.configuration.codec import decode_change, decode_content
from dewledge.core.proxy.configuration.configuration import ChangeSet
from dewledge.core.proxy.configuration.store import (
    HEAD_KEY,
    HeadRow,
    StoreCall,
    StoreOperation,
    StoreResult,
    change_key,
    revision_key,
)
from dewledge.core.proxy.ports import Row
from dewledge.errors import StoreRateLimited
from dewledge.shell.proxy.store_calls import StoreCalls
from dewledge.shell.shared.event_loop import EventLoop
from dewledge.standin.platform_client import PlatformFaultClient
from dewledge.standin.platform_server import PlatformFaults, PlatformServer
from dewledge.standin.platform_settings import PlatformSettings

READ_SECONDS = 5.0
PATIENCE_SECONDS = 30.0


class Switch(msgspec.Struct, frozen=True):
    """Faults switched before the `number`-th call (from 1) of one type is made."""

    operation: type[StoreOperation]
    number: int
    faults: PlatformFaults


class _PostBox:
    """Stands for the event loop: keeps what the shell's threads post."""

    def __init__(self) -> None:
        self.posted: queue.Queue[Callable[[], None]] = queue.Queue()

    def post(self, callback: Callable[[], None]) -> None:
        """Takes a callback from another thread."""
        self.posted.put(callback)


class PlatformPump:
    """A platform, machines by name that call it, and what they said."""

    def __init__(
        self, test: TestCase, settings: PlatformSettings, switches: Sequence[Switch], seed: int
    ) -> None:
        self.seen: list[Any] = []
        self.longest_call = 0.0
        """Seconds from a call to its answer or its end, the longest so far."""
        self._random = Random(seed)
        self._switches = switches
        self._made: Counter[type[StoreOperation]] = Counter()
        self._machines: dict[str, Any] = {}
        self._pending: list[tuple[str, StoreCall]] = []
        server = PlatformServer(settings)
        server.start()
        test.addCleanup(server.stop)
        client = PlatformClient(server.address)
        test.addCleanup(client.close)
        self.faults = PlatformFaultClient(server.admin_address)
        test.addCleanup(self.faults.close)
        self.table = HttpTableService(client)
        self._box = _PostBox()
        self._calls = StoreCalls(
            cast(EventLoop, self._box),
            self.table,
            HttpObjectStore(client),
            HttpMachineList(client),
            threads=1,
        )
        test.addCleanup(self._calls.shut_down)

    def add(self, name: str, machine: Any) -> None:
        """Adds a machine, or puts another in its place."""
        self._machines[name] = machine

    def take(self, name: str, effects: Sequence[Any]) -> None:
        """Takes a machine's effects: calls wait to be made, all else is kept in `seen`."""
        for effect in effects:
            if isinstance(effect, StoreCall):
                self._pending.append((name, effect))
            else:
                self.seen.append(effect)

    def of_type(self, kind: type) -> list[Any]:
        """Returns the effects of one type."""
        return [effect for effect in self.seen if isinstance(effect, kind)]

    def run_until(self, is_reached: Callable[[], bool]) -> None:
        """Makes calls and lets time pass until a state is reached."""
        give_up_at = time.monotonic() + PATIENCE_SECONDS
        while not is_reached():
            if time.monotonic() > give_up_at:
                raise AssertionError("the state is not reached")
            if self._pending:
                position = self._random.randrange(len(self._pending))
                self._make(*self._pending.pop(position))
            else:
                self._tick()

    def _make(self, name: str, call: StoreCall) -> None:
        self._switch_faults(type(call.operation))

        def report(result: StoreResult) -> None:
            machine = self._machines[name]
            self.take(name, machine.handle_store_result(result, time.monotonic()))

        began = time.monotonic()
        self._calls.call(call, report)
        answer = self._box.posted.get()
        self.longest_call = max(self.longest_call, time.monotonic() - began)
        answer()

    def _switch_faults(self, operation: type[StoreOperation]) -> None:
        self._made[operation] += 1
        for switch in self._switches:
            if switch.operation is operation and switch.number == self._made[operation]:
                self.faults.set_faults(switch.faults)

    def _tick(self) -> None:
        wakes = [machine.next_wake() for machine in self._machines.values()]
        due = min((wake for wake in wakes if wake is not None), default=time.monotonic())
        time.sleep(max(0.001, due - time.monotonic()))
        for name, machine in self._machines.items():
            self.take(name, machine.tick(time.monotonic()))

    @property
    def switched_all(self) -> bool:
        """Whether every fault was switched, so that the run met them all."""
        return all(self._made[item.operation] >= item.number for item in self._switches)

    # The verdict, from the table's own rows.

    def heal(self) -> None:
        """Ends all faults."""
        self.faults.set_faults(PlatformFaults(down=False, slowness=0.0, lose_answers=0))

    def head(self) -> int:
        """Returns the revision of the head row."""
        row = self._read(HEAD_KEY)
        return decode_content(row.value, HeadRow).revision if row.version else 0

    def revisions(self) -> list[ChangeSet | None]:
        """Returns the change of each revision up to the head, and of the one after it."""
        numbers = range(1, self.head() + 2)
        return [self._change_at(revision_key(number)) for number in numbers]

    def change(self, change_id: str) -> ChangeSet | None:
        """Returns what the change's own row holds."""
        return self._change_at(change_key(change_id))

    def _change_at(self, key: str) -> ChangeSet | None:
        row = self._read(key)
        return decode_change(row.value) if row.version else None

    def _read(self, key: str) -> Row:
        while True:
            try:
                return self.table.read(key, READ_SECONDS)
            except StoreRateLimited as error:
                time.sleep(error.retry_after)
