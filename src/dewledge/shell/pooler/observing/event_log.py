"""Writes typed events as log lines and counts them in the metrics.

The name of an event in the log is derived from its class name. LogWriter limits the number of
lines.
"""

import sys
from typing import TYPE_CHECKING, TextIO

import msgspec
from loguru import logger

from dewledge.core.pooler.events import StatementAnswered
from dewledge.shell.pooler.observing.log_writer import LogWriter
from dewledge.shell.pooler.observing.pooler_metrics import PoolerMetrics
from dewledge.shell.shared.log import format_line

if TYPE_CHECKING:
    from loguru import Message

PLAIN_EVENTS = frozenset({"statement_answered", "wait_refused", "waits_counted"})
"""Names of frequent events, whose lines LogWriter limits more strictly than others."""


class EventLog:
    """Writes one log line for each event, with the event's fields under their own names."""

    def __init__(self, metrics: PoolerMetrics) -> None:
        self._metrics = metrics

    def record(self, event: msgspec.Struct) -> None:
        """Logs an event and counts it; empty text fields are omitted from the line."""
        name = event_name(type(event))
        if isinstance(event, StatementAnswered):
            self._metrics.observe_statement(event)
        else:
            self._metrics.count_event(name)
        fields = {
            name: value for name, value in msgspec.structs.asdict(event).items() if value != ""
        }
        logger.bind(**fields).info(name)


def event_name(kind: type[msgspec.Struct]) -> str:
    """Returns the name of an event type in the log, such as "statement_answered"."""
    letters: list[str] = []
    for letter in kind.__name__:
        if letter.isupper() and letters:
            letters.append("_")
        letters.append(letter.lower())
    return "".join(letters)


def send_log_to(level: str, stream: TextIO | None = None) -> LogWriter:
    """Sends log lines of `level` and higher to a stream, by default standard output.

    Returns the LogWriter that buffers the lines; its thread is already running.
    """
    writer = LogWriter(stream or sys.stdout)

    def write(message: "Message") -> None:
        record = message.record
        is_plain = record["message"] in PLAIN_EVENTS
        writer.write(format_line(record), is_plain)

    logger.remove()
    logger.add(write, level=level, format="{message}", catch=True)
    writer.start()
    return writer
