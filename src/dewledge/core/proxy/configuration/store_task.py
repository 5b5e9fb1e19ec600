"""Runs a sequence of store calls, written as a generator, over an unreliable store.

The generator yields one StoreOperation at a time and is sent its value. The task repeats a call
that failed, with full jitter, until its deadline. Repeating a Transact is safe because every
write in it is conditional: if an earlier attempt took effect, the next one fails its condition.
"""

from collections.abc import Generator, Iterator
from random import Random
from typing import Generic, TypeVar

import msgspec

from dewledge.core.proxy.configuration.store import (
    PutObject,
    StoreCall,
    StoreCaller,
    StoreOperation,
    StoreResult,
    StoreValue,
    Transact,
)
from dewledge.errors import DewledgeError, ErrorCode, StoreConditionFailed

Value = TypeVar("Value")
StoreSteps = Generator[StoreOperation, StoreValue, Value]
"""A sequence of store calls that ends with a value."""

REPORT_GRACE = 1.0
"""Seconds after a call's timeout until its result is no longer waited for."""


class StoreGaveUp(DewledgeError):
    """Thrown into the steps when a call did not succeed by the deadline.

    may_stand: a Transact of these steps may have taken effect, or may still.
    """

    def __init__(self, code: ErrorCode, may_stand: bool) -> None:
        super().__init__("the platform's store did not answer in time", code)
        self.may_stand = may_stand


class RetrySettings(msgspec.Struct, frozen=True):
    """Times in seconds. A retry waits a random time up to base * 2**attempt, at most cap."""

    call_timeout: float = 2.0
    backoff_base: float = 0.1
    backoff_cap: float = 2.0


class StoreTask(Generic[Value]):
    """One run of store steps, until `deadline`. At most one call is open at any time."""

    def __init__(
        self,
        steps: StoreSteps[Value],
        deadline: float,
        caller: StoreCaller,
        call_ids: Iterator[int],
        settings: RetrySettings,
        random: Random,
    ) -> None:
        self.value: Value | None = None
        self.is_finished = False
        self._steps = steps
        self._deadline = deadline
        self._caller = caller
        self._call_ids = call_ids
        self._settings = settings
        self._random = random
        self._operation: StoreOperation | None = None
        self._call_id: int | None = None
        self._wake = 0.0
        self._attempt = 0
        self._may_stand = False

    def start(self, now: float) -> list[StoreCall]:
        """Makes the first call."""
        return self._advance(None, now)

    def next_wake(self) -> float | None:
        """Returns when `tick` has something to do, or None once finished."""
        return None if self.is_finished else self._wake

    def owns(self, call_id: int) -> bool:
        """Tells whether `call_id` is the call that is open."""
        return call_id == self._call_id

    def handle_result(self, result: StoreResult, now: float) -> list[StoreCall]:
        """Takes the result of the open call; a result of any other call is ignored."""
        if not self.owns(result.call_id):
            return []
        self._call_id = None
        if result.code is None:
            return self._advance(result.value, now)
        if result.code is ErrorCode.REVISION_CONFLICT:
            return self._throw(StoreConditionFailed("another version is there"), now)
        return self._retry(result.code, result.unknown, result.retry_after or 0.0, now)

    def tick(self, now: float) -> list[StoreCall]:
        """Repeats a call when its time has come, or stops waiting for one."""
        if self.is_finished or now < self._wake:
            return []
        if self._call_id is None:
            return self._call(now)
        self._call_id = None
        return self._retry(ErrorCode.STORE_UNAVAILABLE, True, 0.0, now)

    def _advance(self, value: StoreValue, now: float) -> list[StoreCall]:
        try:
            operation = self._steps.send(value)
        except StopIteration as stop:
            return self._finish(stop.value)
        return self._begin(operation, now)

    def _throw(self, error: DewledgeError, now: float) -> list[StoreCall]:
        try:
            operation = self._steps.throw(error)
        except StopIteration as stop:
            return self._finish(stop.value)
        return self._begin(operation, now)

    def _finish(self, value: Value) -> list[StoreCall]:
        self.value = value
        self.is_finished = True
        return []

    def _begin(self, operation: StoreOperation, now: float) -> list[StoreCall]:
        self._operation = operation
        self._attempt = 0
        return self._call(now)

    def _call(self, now: float) -> list[StoreCall]:
        remaining = self._deadline - now
        if remaining <= 0:
            return self._give_up(ErrorCode.STORE_UNAVAILABLE, now)
        assert self._operation is not None
        timeout = min(self._settings.call_timeout, remaining)
        self._call_id = next(self._call_ids)
        self._wake = now + timeout + REPORT_GRACE
        return [StoreCall(self._caller, self._call_id, self._operation, timeout)]

    def _retry(
        self, code: ErrorCode, unknown: bool, retry_after: float, now: float
    ) -> list[StoreCall]:
        if unknown and isinstance(self._operation, Transact):
            self._may_stand = True
        if isinstance(self._operation, PutObject):
            return self._give_up(code, now)  # only snapshots are put, and a later poll puts one
        limit = min(self._settings.backoff_cap, self._settings.backoff_base * 2**self._attempt)
        self._attempt += 1
        self._wake = now + retry_after + self._random.uniform(0, limit)
        if self._wake >= self._deadline:
            return self._give_up(code, now)
        return []

    def _give_up(self, code: ErrorCode, now: float) -> list[StoreCall]:
        return self._throw(StoreGaveUp(code, self._may_stand), now)
