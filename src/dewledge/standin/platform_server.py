"""The platform stand-in as a server: one address for the services, one for its faults."""

import threading
import time
from collections.abc import Callable
from typing import TypeVar

import msgspec

from dewledge.adapters.platform_protocol import (
    KEY_PARAMETER,
    MACHINES_PATH,
    NAME_PARAMETER,
    OBJECTS_PATH,
    TABLE_PATH,
    TRANSACT_PATH,
    decode_machine,
    decode_writes,
    encode_body,
)
from dewledge.errors import (
    StoreConditionFailed,
    StoreError,
    StoreOutcomeUnknown,
    StoreRateLimited,
)
from dewledge.standin.http_server import (
    BAD_REQUEST,
    CONFLICT,
    NOT_FOUND,
    OK,
    TOO_MANY_REQUESTS,
    UNAVAILABLE,
    ConnectionHandler,
    HttpReply,
    HttpRequest,
    HttpServer,
)
from dewledge.standin.platform_model import PlatformModel
from dewledge.standin.platform_settings import PlatformSettings

FAULTS_PATH = "/faults"
CALLS_PATH = "/calls"

Result = TypeVar("Result")


class PlatformFaults(msgspec.Struct, frozen=True):
    """Faults to switch; what is None stays as it is. Times in seconds.

    lose_answers: how many of the next writes lose their answers after taking effect.
    """

    down: bool | None = None
    slowness: float | None = None
    lose_answers: int | None = None
    list_lag: float | None = None


_decode_faults = msgspec.json.Decoder(PlatformFaults).decode


class PlatformServer:
    """Serves a platform; `start` and `stop` once each. Port 0 in the settings picks free ports."""

    def __init__(self, settings: PlatformSettings) -> None:
        """Binds both addresses. Raises OSError."""
        self._model = PlatformModel(settings, time.monotonic())
        self._lock = threading.Lock()
        self._services = HttpServer(settings.address, lambda: _ServiceConnection(self))
        self._admin = HttpServer(settings.admin_address, lambda: _AdminConnection(self))

    @property
    def address(self) -> str:
        """Returns the address of the services."""
        return self._services.address

    @property
    def admin_address(self) -> str:
        """Returns the admin address."""
        return self._admin.address

    def start(self) -> None:
        """Begins to serve."""
        self._services.start()
        self._admin.start()

    def stop(self) -> None:
        """Breaks all connections."""
        self._services.stop()
        self._admin.stop()

    def call(self, operation: Callable[[PlatformModel, float], Result]) -> Result:
        """Calls the model with the present time. Raises what it raises."""
        with self._lock:
            return operation(self._model, time.monotonic())


class _ServiceConnection(ConnectionHandler):
    def __init__(self, server: PlatformServer) -> None:
        self._server = server

    def handle(self, request: HttpRequest) -> HttpReply | None:
        # Half before and half after, so that a caller who gives up cannot know whether it ran.
        pause = self._server.call(lambda model, _: model.slowness) / 2
        time.sleep(pause)
        reply = self._reply(request)
        time.sleep(pause)
        return reply

    def _reply(self, request: HttpRequest) -> HttpReply | None:
        operation = _operation(request)
        if operation is None:
            return HttpReply(BAD_REQUEST)
        try:
            return self._server.call(operation)
        except StoreOutcomeUnknown:
            return None
        except StoreConditionFailed:
            return HttpReply(CONFLICT)
        except StoreRateLimited as error:
            return HttpReply(TOO_MANY_REQUESTS, retry_after=error.retry_after)
        except StoreError:
            return HttpReply(UNAVAILABLE)


Operation = Callable[[PlatformModel, float], HttpReply]


def _operation(request: HttpRequest) -> Operation | None:
    """Returns what a request asks of the model, or None if it asks nothing known."""
    operations: dict[tuple[str, str], Callable[[HttpRequest], Operation]] = {
        ("GET", TABLE_PATH): _read,
        ("POST", TRANSACT_PATH): _transact,
        ("GET", OBJECTS_PATH): _get,
        ("PUT", OBJECTS_PATH): _put,
        ("GET", MACHINES_PATH): lambda _: _machines,
        ("PUT", MACHINES_PATH): _register,
        ("DELETE", MACHINES_PATH): _withdraw,
    }
    found = operations.get((request.method, request.path))
    try:
        return None if found is None else found(request)
    except (KeyError, msgspec.DecodeError):
        return None


def _read(request: HttpRequest) -> Operation:
    key = request.query[KEY_PARAMETER]
    return lambda model, now: HttpReply(OK, encode_body(model.read(key, now)))


def _transact(request: HttpRequest) -> Operation:
    writes = decode_writes(request.body)
    return lambda model, now: HttpReply(OK, encode_body(model.transact(writes, now)))


def _get(request: HttpRequest) -> Operation:
    name = request.query[NAME_PARAMETER]

    def get(model: PlatformModel, now: float) -> HttpReply:
        data = model.get(name, now)
        return HttpReply(NOT_FOUND) if data is None else HttpReply(OK, data)

    return get


def _put(request: HttpRequest) -> Operation:
    name = request.query[NAME_PARAMETER]

    def put(model: PlatformModel, now: float) -> HttpReply:
        model.put(name, request.body, now)
        return HttpReply(OK)

    return put


def _machines(model: PlatformModel, now: float) -> HttpReply:
    return HttpReply(OK, encode_body(model.machines(now)))


def _register(request: HttpRequest) -> Operation:
    machine = decode_machine(request.body)

    def register(model: PlatformModel, now: float) -> HttpReply:
        model.register(machine, now)
        return HttpReply(OK)

    return register


def _withdraw(request: HttpRequest) -> Operation:
    name = request.query[NAME_PARAMETER]

    def withdraw(model: PlatformModel, now: float) -> HttpReply:
        model.withdraw(name, now)
        return HttpReply(OK)

    return withdraw


class _AdminConnection(ConnectionHandler):
    def __init__(self, server: PlatformServer) -> None:
        self._server = server

    def handle(self, request: HttpRequest) -> HttpReply:
        if request.method == "POST" and request.path == FAULTS_PATH:
            return self._switch(request.body)
        if request.method == "GET" and request.path == CALLS_PATH:
            return HttpReply(OK, self._server.call(lambda model, _: encode_body(model.calls)))
        return HttpReply(NOT_FOUND)

    def _switch(self, body: bytes) -> HttpReply:
        try:
            faults = _decode_faults(body)
        except msgspec.DecodeError as error:
            return HttpReply(BAD_REQUEST, str(error).encode())
        self._server.call(lambda model, _: _set_faults(model, faults))
        return HttpReply(OK)


def _set_faults(model: PlatformModel, faults: PlatformFaults) -> None:
    if faults.down is not None:
        model.set_down(faults.down)
    if faults.slowness is not None:
        model.set_slowness(faults.slowness)
    if faults.lose_answers is not None:
        model.lose_answers(faults.lose_answers)
    if faults.list_lag is not None:
        model.set_list_lag(faults.list_lag)
