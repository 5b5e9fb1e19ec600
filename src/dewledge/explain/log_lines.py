"""Reads log lines of key=value pairs back into records."""

import json
import re
from collections.abc import Iterable, Sequence

import msgspec

_PAIR = re.compile(r'([A-Za-z_]\w*)=("(?:[^"\\]|\\.)*"|\S*)')


_COLLECTED = re.compile(r"^\s*(?:\S+\s+)*?(\S+)\s+time=")
"""A line of a collected log: the process's name stands before the first field."""


class LogRecord(msgspec.Struct, frozen=True):
    """One line. `number` is its place in the log of its process: the order that can be trusted."""

    process: str
    number: int
    fields: dict[str, str]

    @property
    def event(self) -> str:
        """The name of the event."""
        return self.fields.get("event", "")

    def get(self, name: str) -> str:
        """Returns a field, empty if it is not there."""
        return self.fields.get(name, "")


def parse_lines(process: str, lines: Iterable[str]) -> Sequence[LogRecord]:
    """Returns the records of one process in order; lines that are none are passed over."""
    records = []
    for number, line in enumerate(lines, start=1):
        fields = {name: _unquote(value) for name, value in _PAIR.findall(line)}
        if fields.get("event"):
            records.append(LogRecord(process, number, fields))
    return records


def split_processes(name: str, lines: Iterable[str]) -> dict[str, list[str]]:
    """Returns the lines of each process of a collected log; of one process's log under `name`."""
    found: dict[str, list[str]] = {}
    for line in lines:
        if not line.strip():
            continue
        prefix = _COLLECTED.match(line)
        process = prefix.group(1) if prefix is not None else name
        found.setdefault(process, []).append(line)
    return found


def _unquote(value: str) -> str:
    if not value.startswith('"'):
        return value
    try:
        return str(json.loads(value))
    except ValueError:
        return value
