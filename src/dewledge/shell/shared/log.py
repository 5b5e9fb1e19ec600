"""Logging through loguru, with one line of key=value pairs per event."""

import json
import sys
from collections.abc import Mapping
from typing import TYPE_CHECKING, TextIO

from loguru import logger

if TYPE_CHECKING:
    from loguru import Message, Record

_PLAIN = frozenset("abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789._:/@+-")


def format_value(value: object) -> str:
    """Returns the text of a value, as a JSON string unless it is a plain word or number."""
    text = "" if value is None else str(value)
    if text and _PLAIN.issuperset(text):
        return text
    return json.dumps(text)


def format_line(record: "Record") -> str:
    """Returns the key=value line of a log record, without a newline."""
    fields: dict[str, object] = {
        "time": record["time"].strftime("%Y-%m-%dT%H:%M:%S.%f%z"),
        "level": record["level"].name.lower(),
        "event": record["message"],
        **_without_none(record["extra"]),
    }
    exception = record["exception"]
    if exception is not None:
        fields["error"] = repr(exception.value)
        fields["at"] = _error_location(exception.traceback)
    return " ".join(f"{name}={format_value(value)}" for name, value in fields.items())


def configure_log(level: str, stream: TextIO | None = None) -> None:
    """Writes events of at least `level` to `stream`, by default standard error."""
    target = stream or sys.stderr

    def write(message: "Message") -> None:
        target.write(format_line(message.record) + "\n")
        target.flush()

    logger.remove()
    logger.add(write, level=level, format="{message}", catch=True)


def _without_none(extra: Mapping[str, object]) -> dict[str, object]:
    return {name: value for name, value in extra.items() if value is not None}


def _error_location(traceback: object) -> str:
    """Returns "file:line" of the innermost frame."""
    location = ""
    while traceback is not None:
        frame = getattr(traceback, "tb_frame", None)
        if frame is not None:
            location = f"{frame.f_code.co_filename.rpartition('/')[2]}:{traceback.tb_lineno}"  # type: ignore[attr-defined]
        traceback = getattr(traceback, "tb_next", None)
    return location
