"""Processes that were killed or lost power: what was under way there left no line."""

from collections.abc import Mapping, Sequence

import msgspec

from dewledge.explain.log_lines import LogRecord
from dewledge.explain.timeline import time_of

RATE_SECONDS = 2.0
"""From the statements answered in this time before the end, what was under way is reckoned."""
PLANNED_END = "pooler_stopped"


class EndedProcess(msgspec.Struct, frozen=True):
    """A process whose log goes on with another start.

    at: its last line, seconds by its own time of day. under_way: statements that it held then on
    the mean (their waits summed up, over the time), reckoned, not counted.
    """

    process: str
    at: float
    under_way: float


def find_ended(logs: Mapping[str, Sequence[LogRecord]]) -> list[EndedProcess]:
    """Returns the ends that another start in the same log shows, in the order of their times."""
    found = [end for name, records in logs.items() for end in _ends(name, records)]
    return sorted(found, key=lambda end: end.at)


def _ends(process: str, records: Sequence[LogRecord]) -> list[EndedProcess]:
    ends = []
    for number, record in enumerate(records):
        if record.event != "pooler_started" or number == 0:
            continue
        last = records[number - 1]
        if last.event != PLANNED_END:
            at = time_of(last)
            ends.append(EndedProcess(process, at, _under_way(records[:number], at)))
    return ends


def _under_way(before: Sequence[LogRecord], at: float) -> float:
    waited_ms = 0
    for record in reversed(before):
        if time_of(record) < at - RATE_SECONDS:
            break
        if record.event == "statement_answered":
            waited_ms += int(record.get("waited_ms") or 0)
    return waited_ms / 1000 / RATE_SECONDS
