"""The platform's table service and object store in virtual time, with their faults."""

from collections.abc import Callable

from dewledge.core.proxy.configuration.store import (
    GetObject,
    PutObject,
    ReadRow,
    StoreCall,
    StoreResult,
    StoreValue,
    Transact,
)
from dewledge.core.proxy.ports import Row
from dewledge.errors import ErrorCode
from dewledge.simulation.clock import EventQueue

ANSWER_TIME = 0.005
"""Seconds that a call takes when nothing is wrong."""

StoreReply = Callable[[StoreResult], None]


class PlatformStore:
    """Rows and objects. down: no call takes effect. slow: seconds added to each call.

    answers_to_lose: how many of the next transactions take effect without their answer.
    """

    def __init__(self, queue: EventQueue) -> None:
        self.down = False
        self.slow = 0.0
        self.answers_to_lose = 0
        self._queue = queue
        self._rows: dict[str, Row] = {}
        self._objects: dict[str, bytes] = {}
        self.calls = 0

    def write_directly(self, key: str, value: bytes) -> None:
        """Sets a row without a call; for the state that a run starts from."""
        self._rows[key] = Row(key, self._row(key).version + 1, value)

    def has_row(self, key: str) -> bool:
        """Tells whether a row has been written."""
        return key in self._rows

    def call(self, call: StoreCall, reply: StoreReply) -> None:
        """Carries out a call and reports its result; a slow one times out on its caller."""
        self.calls += 1
        took = ANSWER_TIME + self.slow
        if took <= call.timeout:
            self._queue.call_after(took, lambda: reply(self._carry_out(call)))
            return
        self._queue.call_after(took, lambda: self._carry_out_unheard(call))
        timed_out = _failed(call, ErrorCode.STORE_UNAVAILABLE, unknown=True)
        self._queue.call_after(call.timeout, lambda: reply(timed_out))

    def _carry_out_unheard(self, call: StoreCall) -> None:
        self._carry_out(call)

    def _carry_out(self, call: StoreCall) -> StoreResult:
        if self.down:
            return _failed(call, ErrorCode.STORE_UNAVAILABLE)
        operation = call.operation
        match operation:
            case ReadRow():
                return _succeeded(call, self._row(operation.key))
            case Transact():
                return self._transact(call, operation)
            case PutObject():
                self._objects[operation.name] = operation.data
                return _succeeded(call, None)
            case GetObject():
                return _succeeded(call, self._objects.get(operation.name))

    def _transact(self, call: StoreCall, operation: Transact) -> StoreResult:
        for write in operation.writes:
            if self._row(write.key).version != write.expected_version:
                return _failed(call, ErrorCode.REVISION_CONFLICT)
        rows = []
        for write in operation.writes:
            row = Row(write.key, write.expected_version + 1, write.value)
            self._rows[write.key] = row
            rows.append(row)
        if self.answers_to_lose > 0:
            self.answers_to_lose -= 1
            return _failed(call, ErrorCode.STORE_UNAVAILABLE, unknown=True)
        return _succeeded(call, tuple(rows))

    def _row(self, key: str) -> Row:
        return self._rows.get(key, Row(key, 0, b""))


def _succeeded(call: StoreCall, value: StoreValue) -> StoreResult:
    return StoreResult(call.caller, call.call_id, value)


def _failed(call: StoreCall, code: ErrorCode, unknown: bool = False) -> StoreResult:
    return StoreResult(call.caller, call.call_id, None, code, unknown)
