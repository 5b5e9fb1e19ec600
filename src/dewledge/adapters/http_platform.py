"""Table service, object store and machine list of the platform, over HTTP with urllib3.

Retries are left to the core, which knows what may be asked again; here every call is made once.
"""

import msgspec
import urllib3
from urllib3.exceptions import ConnectTimeoutError, HTTPError, NewConnectionError

from dewledge.adapters.platform_protocol import (
    CONDITION_FAILED_STATUS,
    KEY_PARAMETER,
    MACHINES_PATH,
    NAME_PARAMETER,
    NOT_FOUND_STATUS,
    OBJECTS_PATH,
    OK_STATUS,
    RATE_LIMITED_STATUS,
    TABLE_PATH,
    TRANSACT_PATH,
    UNAVAILABLE_STATUS,
    decode_machines,
    decode_row,
    decode_rows,
    encode_body,
    with_parameter,
)
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

MAX_IDLE_CONNECTIONS = 4
DEFAULT_RETRY_AFTER_SECONDS = 1.0
RETRY_AFTER_HEADER = "Retry-After"


class PlatformClient:
    """Makes calls to the platform at "ip:port"; shared by the three adapters, thread-safe."""

    def __init__(self, address: str) -> None:
        self._base = f"http://{address}"
        self._pool = urllib3.PoolManager(maxsize=MAX_IDLE_CONNECTIONS, retries=False)

    def call(
        self, method: str, target: str, timeout: float, body: bytes | None = None
    ) -> urllib3.BaseHTTPResponse:
        """Makes one call within `timeout` seconds.

        Raises StoreOutcomeUnknown if it was sent and no usable answer came, StoreError if it
        surely had no effect, StoreRateLimited, and StoreConditionFailed.
        """
        limit = urllib3.Timeout(total=timeout)
        try:
            answer = self._pool.request(method, self._base + target, body=body, timeout=limit)
        except (NewConnectionError, ConnectTimeoutError) as error:
            raise StoreError(f"the platform cannot be reached: {error}") from error
        except (HTTPError, OSError) as error:
            raise StoreOutcomeUnknown(f"no answer from the platform: {error}") from error
        _raise_refusal(answer)
        if answer.status not in (OK_STATUS, NOT_FOUND_STATUS):
            raise StoreOutcomeUnknown(f"the platform answered {answer.status}")
        return answer

    def read(self, target: str, timeout: float) -> urllib3.BaseHTTPResponse:
        """Makes a call without effect. Raises StoreError and StoreRateLimited."""
        try:
            return self.call("GET", target, timeout)
        except StoreOutcomeUnknown as error:
            raise StoreError(error.message) from error

    def close(self) -> None:
        """Closes idle connections."""
        self._pool.clear()


class HttpTableService(TableService):
    """The platform's table service."""

    def __init__(self, client: PlatformClient) -> None:
        self._client = client

    def read(self, key: str, timeout: float) -> Row:
        """Reads one row; see TableService."""
        answer = self._client.read(with_parameter(TABLE_PATH, KEY_PARAMETER, key), timeout)
        try:
            return decode_row(answer.data)
        except msgspec.DecodeError as error:
            raise StoreError(f"not a row: {error}") from error

    def transact(self, writes: tuple[RowWrite, ...], timeout: float) -> tuple[Row, ...]:
        """Writes all rows or none; see TableService."""
        answer = self._client.call("POST", TRANSACT_PATH, timeout, encode_body(writes))
        try:
            return decode_rows(answer.data)
        except msgspec.DecodeError as error:
            raise StoreOutcomeUnknown(f"not rows: {error}") from error


class HttpObjectStore(ObjectStore):
    """The platform's object store."""

    def __init__(self, client: PlatformClient) -> None:
        self._client = client

    def get(self, name: str, timeout: float) -> bytes | None:
        """Returns an object or None; see ObjectStore."""
        answer = self._client.read(with_parameter(OBJECTS_PATH, NAME_PARAMETER, name), timeout)
        if answer.status == NOT_FOUND_STATUS:
            return None
        return answer.data

    def put(self, name: str, data: bytes, timeout: float) -> None:
        """Writes an object; see ObjectStore."""
        target = with_parameter(OBJECTS_PATH, NAME_PARAMETER, name)
        self._client.call("PUT", target, timeout, data)


class HttpMachineList(MachineList):
    """The platform's machine list, in which a machine also reports itself."""

    def __init__(self, client: PlatformClient) -> None:
        self._client = client

    def machines(self, timeout: float) -> tuple[MachineState, ...]:
        """Returns the list; see MachineList."""
        answer = self._client.read(MACHINES_PATH, timeout)
        try:
            return decode_machines(answer.data)
        except msgspec.DecodeError as error:
            raise StoreError(f"not a machine list: {error}") from error

    def register(self, machine: MachineState, timeout: float) -> None:
        """Reports a machine as live or leaving; harmless to repeat. Raises StoreError."""
        target = with_parameter(MACHINES_PATH, NAME_PARAMETER, machine.name)
        self._client.call("PUT", target, timeout, encode_body(machine))

    def withdraw(self, name: str, timeout: float) -> None:
        """Reports a machine as gone; harmless to repeat. Raises StoreError."""
        target = with_parameter(MACHINES_PATH, NAME_PARAMETER, name)
        self._client.call("DELETE", target, timeout)


def _raise_refusal(answer: urllib3.BaseHTTPResponse) -> None:
    if answer.status == RATE_LIMITED_STATUS:
        raise StoreRateLimited("the platform refused the call for its rate", _retry_after(answer))
    if answer.status == CONDITION_FAILED_STATUS:
        raise StoreConditionFailed("a row has another version than expected")
    if answer.status == UNAVAILABLE_STATUS:
        raise StoreError("the platform's service is unavailable")


def _retry_after(answer: urllib3.BaseHTTPResponse) -> float:
    try:
        return float(answer.headers[RETRY_AFTER_HEADER])
    except (KeyError, ValueError):
        return DEFAULT_RETRY_AFTER_SECONDS
