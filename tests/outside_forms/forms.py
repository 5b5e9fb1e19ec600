"""Collects everything that shows outside, as sorted lines of text by fixture."""

import enum
import functools
import importlib
import inspect
import json
import pkgutil
import sys
from collections.abc import Callable, Iterable, Iterator, Mapping
from pathlib import Path
from typing import Any
from unittest.mock import MagicMock

import cbor2
import msgspec
from loguru import logger

from tests.outside_forms import roots
from tests.outside_forms.examples import BY_POSITION, examples, positions
from tests.outside_forms.log_calls import log_calls

FOLDER = Path(__file__).parent
SOURCES = Path(roots.PACKAGE.__file__).parent
UNHELD_SCHEMA_WORDS = frozenset({"title", "description", "$defs"})
"""Texts for people, and names of classes."""


@functools.cache
def collect() -> dict[str, list[str]]:
    """Returns the sorted lines of each fixture."""
    fixtures: dict[str, Callable[[], Iterable[str]]] = {
        "messages": _messages,
        "rows": _rows,
        "positions": _positions,
        "bodies": _bodies,
        "wire_lines": _wire_lines,
        "log_lines": _log_lines,
        "log_calls": lambda: log_calls(SOURCES, roots.LOG_CALLS),
        "settings": _settings,
        "metrics": _metrics,
        "errors": _errors,
        "commands": lambda: _commands(roots.COMMAND_LINE, "dewledge"),
        "explain": _explain,
    }
    return {name: sorted(set(lines())) for name, lines in fixtures.items()}


def fixture(name: str) -> Path:
    return FOLDER / f"{name}.txt"


def _messages() -> Iterator[str]:
    for form, hint, encode, _ in roots.MESSAGES:
        yield from _cbor_lines(form, hint, encode)
    yield f"authenticated datagram: {roots.AUTHENTICATED.hex()}"
    yield f"frame: {roots.frame_of(b'body').hex()}"
    yield f"heartbeat: {roots.HEARTBEAT_FRAME.hex()}"
    yield f"packed value: {roots.pack_value(b'value').hex()}"
    yield f"large packed value begins: {roots.pack_value(b'value' * 1000)[:1].hex()}"


def _rows() -> Iterator[str]:
    for form, hint, encode in roots.ROWS:
        yield from _cbor_lines(form, hint, encode)
    for name, key in roots.STORE_KEYS.items():
        yield f"key {name}: {key}"
    yield f"session token: {roots.TOKEN}"


def _positions() -> Iterator[str]:
    forms = [(form, hint) for form, hint, *_ in (*roots.MESSAGES, *roots.ROWS, *roots.JSON_BODIES)]
    for form, hint in forms:
        for place, names in positions(hint, form):
            held = [_former_name(place, name) for name in names]
            yield f"{place}: {' '.join(held)}"


def _former_name(place: str, name: str) -> str:
    former = roots.FORMER_FIELDS
    return former.get(f"{place} {name}") or former.get(name, name)


def _cbor_lines(form: str, hint: Any, encode: Callable[[Any], bytes]) -> Iterator[str]:
    for label, value in examples(hint):
        data = encode(value)
        shown = json.dumps(cbor2.loads(data), default=repr)
        yield f"{form} {label or 'filled'}: {shown} {data.hex()}"


def _bodies() -> Iterator[str]:
    for form, hint in roots.JSON_BODIES:
        for label, value in examples(hint):
            yield f"{form} {label or 'filled'}: {msgspec.json.encode(value).decode()}"
    for path, methods in roots.HTTP_ADDRESSES.items():
        yield f"address {path} {','.join(methods)}"
    for name, model in roots.REQUEST_BODIES.items():
        yield from _schema_lines(f"request_body {name}", model.model_json_schema())


def _wire_lines() -> Iterator[str]:
    for form, hint, encode in roots.LINES:
        for label, value in examples(hint, BY_POSITION):
            yield f"{form} {label or 'filled'}: {json.dumps(encode(value).decode('latin-1'))}"
    yield f"client_line ready: {json.dumps(roots.CLIENT_READY.decode())}"
    yield f"database_line startup: {json.dumps(roots.DATABASE_STARTUP.decode())}"


def _events() -> list[type[msgspec.Struct]]:
    """Returns the types of events, in whatever modules they are."""
    for module in pkgutil.walk_packages(roots.PACKAGE.__path__, f"{roots.PACKAGE.__name__}."):
        importlib.import_module(module.name)
    found, waiting = list(roots.OTHER_EVENTS), [roots.EVENT_ROOT]
    while waiting:
        children = waiting.pop().__subclasses__()
        found += children
        waiting += children
    return found


def _log_lines() -> Iterator[str]:
    """Yields each event as EventLog writes it, without the time."""
    written: list[str] = []

    def write(message: Any) -> None:
        written.append(roots.format_line(message.record).partition(" ")[2])

    logger.remove()
    handler = logger.add(write, level="INFO", format="{message}")
    try:
        log = roots.EventLog(roots.PoolerMetrics())
        for kind in _events():
            for _, event in examples(kind):
                log.record(event)
        answered = examples(roots.StatementAnswered)[0][1]
        log.record(msgspec.structs.replace(answered, caller="", way="a way, quoted"))
    finally:
        logger.remove(handler)
        logger.add(sys.stderr)
    return iter(written)


def _settings() -> Iterator[str]:
    for name, kind in roots.SETTINGS.items():
        yield from _schema_lines(name, msgspec.json.schema(kind))
    for name, model in roots.CHECKED_SETTINGS.items():
        yield from _schema_lines(name, model.model_json_schema())


def _schema_lines(place: str, schema: Mapping[str, Any]) -> Iterator[str]:
    definitions = schema.get("$defs", {})
    yield from _object_lines(place, _resolved(schema, definitions), definitions)


def _object_lines(
    place: str, schema: Mapping[str, Any], definitions: Mapping[str, Any]
) -> Iterator[str]:
    for name, found in schema["properties"].items():
        field = _resolved(found, definitions)
        path = f"{place}.{name}"
        required = "required " if name in schema.get("required", ()) else ""
        if "properties" in field:
            yield f"{path}: {required}section"
            yield from _object_lines(path, field, definitions)
        else:
            yield f"{path}: {required}{json.dumps(field, sort_keys=True)}"


def _resolved(schema: Any, definitions: Mapping[str, Any]) -> Any:
    """Returns a schema with what it refers to in place, and without texts for people."""
    if isinstance(schema, list):
        return [_resolved(part, definitions) for part in schema]
    if not isinstance(schema, Mapping):
        return schema
    merged = dict(schema)
    reference = merged.pop("$ref", None)
    if reference is not None:
        merged = {**definitions[reference.rpartition("/")[2]], **merged}
    return {
        key: value if key in ("properties", "default") else _resolved(value, definitions)
        for key, value in merged.items()
        if key not in UNHELD_SCHEMA_WORDS
    }


def _metrics() -> Iterator[str]:
    pooler = roots.PoolerMetrics()
    parameters = inspect.signature(roots.add_process_gauges).parameters
    filled = [pooler if index == 0 else MagicMock() for index in range(len(parameters))]
    roots.add_process_gauges(*filled)
    log = roots.EventLog(pooler)
    logger.remove()
    for _, event in examples(roots.StatementAnswered):
        log.record(msgspec.structs.replace(event, way="d:p:r@1", outcome="done"))
    log.record(examples(roots.GrantorChanged)[0][1])
    logger.add(sys.stderr)
    yield from _metric_lines("pooler", pooler.render())
    proxy = roots.ProxyMetrics()
    server = MagicMock()
    server._driver.metrics = proxy
    roots.ADD_PROXY_GAUGES(server)
    proxy.observe_answer(MagicMock(), MagicMock(), MagicMock(), 0.5)
    proxy.count_event("event")
    yield from _metric_lines("proxy", proxy.render())


def _metric_lines(form: str, data: bytes) -> Iterator[str]:
    """Yields types as they stand, and samples without the values of their labels but bounds."""
    for line in data.decode().splitlines():
        if line.startswith("# TYPE"):
            yield f"{form} {line[2:]}"
        elif not line.startswith("#"):
            yield f"{form} sample {_sample(line)}"


def _sample(line: str) -> str:
    name, _, rest = line.rpartition(" ")[0].partition("{")
    pairs = [pair.partition("=") for pair in rest.rstrip("}").split(",") if pair]
    labels = [f"{label}={value}" if label == "le" else label for label, _, value in pairs if label]
    return f"{name}{{{','.join(labels)}}}"


def _errors() -> Iterator[str]:
    for code in roots.ErrorCode:
        word = roots.wire_words.CODE_WORDS.get(code, "-")
        yield f"{code.value} http={roots.status_of_refusal(code)} word={word}"
    for word, code in roots.wire_words.CODES.items():
        yield f"word {word} is read as {code.value}"


def _commands(command: Any, place: str) -> Iterator[str]:
    for parameter in command.params:
        yield f"{place} {_parameter(parameter)}"
    names = command.list_commands(None) if hasattr(command, "list_commands") else ()
    for name in names:
        yield f"{place} {name}"
        yield from _commands(command.get_command(None, name), f"{place} {name}")


def _parameter(parameter: Any) -> str:
    is_option = parameter.param_type_name == "option"
    shown = {
        "type": _type_name(parameter.type_descriptor.annotation),
        "default": _default(parameter.default),
        "required": parameter.required,
        "many": parameter.multiple if is_option else parameter.nargs,
        "range": [parameter.min, parameter.max],
        "envvar": parameter.envvar,
        "metavar": parameter.metavar,
        "hidden": parameter.hidden,
    }
    names = [*parameter.opts, *parameter.secondary_opts] if is_option else [parameter.name]
    return f"{parameter.param_type_name} {'/'.join(names)} {json.dumps(shown)}"


def _type_name(kind: Any) -> Any:
    if isinstance(kind, type) and issubclass(kind, enum.Enum):
        return sorted(str(member.value) for member in kind)
    return kind.__name__ if type(kind) is type else str(kind)


def _default(value: Any) -> Any:
    if callable(value):
        return "computed"
    return value.value if isinstance(value, enum.Enum) else repr(value)


def _explain() -> Iterator[str]:
    for case in roots.CASES:
        yield f"cause: {case.cause}"
    for cause in roots.LostCause:
        yield f"lost cause: {cause.value}"
    for key in roots.LostBy:
        yield f"lost by: {key.value}"
    for refusal in roots.RefusalCause:
        yield f"refusal cause: {refusal.value}"
