"""A store with faults and a virtual clock, and state machines that call it."""

import heapq
import itertools
from collections.abc import Callable, Mapping
from enum import StrEnum
from random import Random
from typing import Any

import msgspec

from dewledge.core.proxy.configuration.codec import decode_change, decode_content
from dewledge.core.proxy.configuration.configuration import ChangeSet, Configuration
from dewledge.core.proxy.configuration.store import (
    HEAD_KEY,
    GetObject,
    HeadRow,
    PutObject,
    ReadRow,
    StoreCall,
    StoreOperation,
    StoreResult,
    StoreValue,
    Transact,
    change_key,
    revision_key,
)
from dewledge.core.proxy.ports import Row
from dewledge.errors import ErrorCode, StoreConditionFailed

LATENCY = 0.01
LATE_BY = 3.0


class Fault(StrEnum):
    """What happens to one store call."""

    DOWN = "down"  # refused, nothing done
    RATE_LIMITED = "rate limited"
    LOST_BEFORE = "lost before"  # no effect, and the caller cannot know
    LOST_AFTER = "lost after"  # takes effect, and the caller cannot know
    LATE = "late"  # reported as lost, takes effect seconds later
    SILENT = "silent"  # takes effect, nothing is ever reported
    SLOW = "slow"  # takes effect and is reported just before the timeout


class FakeStore:
    """Rows and objects; faults by (operation type, which call of that type, from 1)."""

    def __init__(self, faults: Mapping[tuple[type, int], Fault]) -> None:
        self.rows: dict[str, Row] = {}
        self.objects: dict[str, bytes] = {}
        self.calls = 0
        self.is_down = False
        self._faults = faults
        self._counts: dict[type, int] = {}

    def next_fault(self, operation: StoreOperation) -> Fault | None:
        self.calls += 1
        count = self._counts.get(type(operation), 0) + 1
        self._counts[type(operation)] = count
        return Fault.DOWN if self.is_down else self._faults.get((type(operation), count))

    def apply(self, operation: StoreOperation) -> StoreValue:
        match operation:
            case ReadRow(key):
                return self.rows.get(key, Row(key, 0, b""))
            case GetObject(name):
                return self.objects.get(name)
            case PutObject(name, data):
                self.objects[name] = data
                return None
            case Transact(writes):
                return self._transact(writes)

    def _transact(self, writes: Any) -> tuple[Row, ...]:
        for write in writes:
            found = self.rows.get(write.key)
            if (found.version if found else 0) != write.expected_version:
                raise StoreConditionFailed(write.key)
        for write in writes:
            self.rows[write.key] = Row(write.key, write.expected_version + 1, write.value)
        return tuple(self.rows[write.key] for write in writes)

    def head(self) -> int:
        row = self.rows.get(HEAD_KEY)
        return decode_content(row.value, HeadRow).revision if row else 0

    def change(self, change_id: str) -> ChangeSet | None:
        row = self.rows.get(change_key(change_id))
        return decode_change(row.value) if row else None

    def configuration(self) -> Configuration:
        configuration = Configuration(0, ())
        for revision in range(1, self.head() + 1):
            change = decode_change(self.rows[revision_key(revision)].value)
            configuration = configuration.with_change(change)
        return configuration


class Cluster:
    """Runs machines by name over one store, in virtual time."""

    def __init__(
        self, faults: Mapping[tuple[type, int], Fault] | None = None, seed: int = 0
    ) -> None:
        self.now = 0.0
        self.random = Random(seed)
        self.store = FakeStore(faults or {})
        self.machines: dict[str, Any] = {}
        self.seen: list[tuple[str, Any]] = []
        self._order = itertools.count()
        self._events: list[tuple[float, int, Callable[[], None]]] = []

    def at(self, time: float, action: Callable[[], None]) -> None:
        heapq.heappush(self._events, (time, next(self._order), action))

    def kill(self, name: str) -> None:
        del self.machines[name]

    def carry_out(self, name: str, effects: list[Any]) -> None:
        for effect in effects:
            if isinstance(effect, StoreCall):
                self._call(name, effect)
            else:
                self.seen.append((name, effect))

    def effects(self, effect_type: type) -> list[Any]:
        return [effect for _, effect in self.seen if isinstance(effect, effect_type)]

    def run(self, until: float) -> None:
        while True:
            event_time = self._events[0][0] if self._events else until
            wakes = [
                wake
                for machine in self.machines.values()
                if (wake := machine.next_wake()) is not None
            ]
            next_time = min([event_time, *wakes, until])
            if next_time >= until:
                self.now = until
                return
            self.now = max(self.now, next_time)
            if self._events and self._events[0][0] <= self.now:
                heapq.heappop(self._events)[2]()
                continue
            for name, machine in list(self.machines.items()):
                self.carry_out(name, machine.tick(self.now))

    def _call(self, name: str, call: StoreCall) -> None:
        fault = self.store.next_fault(call.operation)
        result = StoreResult(call.caller, call.call_id)
        unknown = msgspec.structs.replace(result, code=ErrorCode.STORE_UNAVAILABLE, unknown=True)
        latency = LATENCY * self.random.uniform(0.5, 1.5)
        match fault:
            case Fault.DOWN:
                down = msgspec.structs.replace(result, code=ErrorCode.STORE_UNAVAILABLE)
                self._report(name, down, latency)
            case Fault.RATE_LIMITED:
                limited = msgspec.structs.replace(
                    result, code=ErrorCode.STORE_RATE_LIMITED, retry_after=0.5
                )
                self._report(name, limited, latency)
            case Fault.LOST_BEFORE:
                self._report(name, unknown, call.timeout)
            case Fault.LOST_AFTER:
                self._apply(name, call, latency, unknown, call.timeout)
            case Fault.LATE:
                self._report(name, unknown, call.timeout)
                self._apply(name, call, LATE_BY, None, 0.0)
            case Fault.SILENT:
                self._apply(name, call, latency, None, 0.0)
            case Fault.SLOW:
                self._apply(name, call, call.timeout * 0.9, result, 0.0)
            case None:
                self._apply(name, call, latency, result, latency)

    def _apply(
        self, name: str, call: StoreCall, delay: float, result: StoreResult | None, back: float
    ) -> None:
        def take_effect() -> None:
            try:
                value = self.store.apply(call.operation)
                code = None
            except StoreConditionFailed:
                value, code = None, ErrorCode.REVISION_CONFLICT
            if result is None:
                return
            answer = result
            if not result.unknown:
                answer = msgspec.structs.replace(result, value=value, code=code)
            self._report(name, answer, back)

        self.at(self.now + delay, take_effect)

    def _report(self, name: str, result: StoreResult, delay: float) -> None:
        def deliver() -> None:
            machine = self.machines.get(name)
            if machine:
                self.carry_out(name, machine.handle_store_result(result, self.now))

        self.at(self.now + delay, deliver)
