"""Calls to the platform, on a small pool of their own: a slow store holds up no statement."""

from collections.abc import Callable
from concurrent.futures import ThreadPoolExecutor
from functools import partial

from loguru import logger

from dewledge.core.proxy.configuration.store import (
    GetObject,
    PutObject,
    ReadRow,
    StoreCall,
    StoreOperation,
    StoreResult,
    StoreValue,
    Transact,
)
from dewledge.core.proxy.ports import MachineList, MachineState, ObjectStore, TableService
from dewledge.errors import ErrorCode, StoreError, StoreOutcomeUnknown, StoreRateLimited
from dewledge.shell.shared.event_loop import EventLoop

MACHINE_LIST_SECONDS = 2.0

StoreResultHandler = Callable[[StoreResult], None]
MachineListHandler = Callable[[tuple[MachineState, ...] | None], None]


class StoreCalls:
    """Carries out store effects. Results come back as calls on the loop's thread."""

    def __init__(
        self,
        loop: EventLoop,
        table: TableService,
        objects: ObjectStore,
        machines: MachineList,
        threads: int,
    ) -> None:
        self._loop = loop
        self._table = table
        self._objects = objects
        self._machines = machines
        self._executor = ThreadPoolExecutor(threads, "platform")

    def call(self, effect: StoreCall, handler: StoreResultHandler) -> None:
        """Makes one call and hands its result to `handler`."""
        self._executor.submit(self._call, effect, handler)

    def read_machines(self, handler: MachineListHandler) -> None:
        """Reads the machine list and hands it to `handler`; None if it could not be had."""
        self._executor.submit(self._read_machines, handler)

    def shut_down(self) -> None:
        """Lets the threads end after the calls they are in."""
        self._executor.shutdown(wait=False, cancel_futures=True)

    def _call(self, effect: StoreCall, handler: StoreResultHandler) -> None:
        self._loop.post(partial(handler, self._result(effect)))

    def _result(self, effect: StoreCall) -> StoreResult:
        try:
            value = self._carry_out(effect.operation, effect.timeout)
        except StoreError as error:
            return _failure(effect, error)
        except Exception:
            logger.exception("store_fault")
            unknown = isinstance(effect.operation, Transact | PutObject)
            return StoreResult(
                effect.caller, effect.call_id, code=ErrorCode.INTERNAL, unknown=unknown
            )
        return StoreResult(effect.caller, effect.call_id, value)

    def _carry_out(self, operation: StoreOperation, timeout: float) -> StoreValue:
        match operation:
            case ReadRow(key):
                return self._table.read(key, timeout)
            case Transact(writes):
                return self._table.transact(writes, timeout)
            case GetObject(name):
                return self._objects.get(name, timeout)
            case PutObject(name, data):
                self._objects.put(name, data, timeout)
                return None

    def _read_machines(self, handler: MachineListHandler) -> None:
        machines: tuple[MachineState, ...] | None
        try:
            machines = self._machines.machines(MACHINE_LIST_SECONDS)
        except StoreError:
            machines = None
        except Exception:
            logger.exception("machine_list_fault")
            machines = None
        self._loop.post(partial(handler, machines))


def _failure(effect: StoreCall, error: StoreError) -> StoreResult:
    retry_after = error.retry_after if isinstance(error, StoreRateLimited) else None
    return StoreResult(
        effect.caller,
        effect.call_id,
        code=error.code,
        unknown=isinstance(error, StoreOutcomeUnknown),
        retry_after=retry_after,
    )
