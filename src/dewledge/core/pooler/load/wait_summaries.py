"""The log line on the waits before each database: what was counted since the last one.

Inputs: the counts of all queues of this process now. It remembers what was told of each, forgets
queues that are gone, and leaves out those that counted nothing.
"""

from collections.abc import Mapping, Sequence

import msgspec

from dewledge.core.pooler.load.wait_counts import WaitCounts

SUMMARY_SECONDS = 5.0
"""Seconds between two lines of one database: as often as a collector of metrics usually asks."""


class QueueName(msgspec.Struct, frozen=True):
    """The queue of this process before one database."""

    group: str
    database: str


class WaitsCounted(msgspec.Struct, frozen=True):
    """What the queue before a database counted since its last line; the counts of `WaitCounts`.

    Logged as it is. served: waits that were expected and then known.
    """

    group: str
    database: str
    served: int
    within_quarter: int
    within_double: int
    refused: int
    refused_with_room: int


class WaitSummaries:
    """Remembers what was told of each queue; those that are gone are forgotten."""

    def __init__(self) -> None:
        self._told: dict[QueueName, WaitCounts] = {}

    def collect(self, counts: Mapping[QueueName, WaitCounts]) -> Sequence[WaitsCounted]:
        """Returns what has been counted since the last call, of queues that counted anything."""
        found = [self._since_told(name, now) for name, now in counts.items()]
        self._told = {name: msgspec.structs.replace(now) for name, now in counts.items()}
        return [summary for summary in found if summary.served or summary.refused]

    def _since_told(self, name: QueueName, now: WaitCounts) -> WaitsCounted:
        told = self._told.get(name, WaitCounts())
        if told.served > now.served or told.refused > now.refused:
            # Another queue before the same database: it began anew.
            told = WaitCounts()
        return WaitsCounted(
            group=name.group,
            database=name.database,
            served=now.served - told.served,
            within_quarter=now.within_quarter - told.within_quarter,
            within_double=now.within_double - told.within_double,
            refused=now.refused - told.refused,
            refused_with_room=max(now.refused_with_room - told.refused_with_room, 0),
        )
