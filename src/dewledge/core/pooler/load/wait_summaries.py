"""Summaries of the waits for each database, logged periodically.

Each summary holds the difference to the last one. Queues that counted nothing are left out, and
removed queues are forgotten.
"""

from collections.abc import Mapping, Sequence

import msgspec

from dewledge.core.pooler.load.wait_counts import WaitCounts

SUMMARY_INTERVAL_SECONDS = 5.0
"""Interval between two summaries of a database, as often as metrics are usually collected."""


class QueueName(msgspec.Struct, frozen=True):
    """Identifies the queue of this process for one database."""

    group: str
    database: str


class WaitsCounted(msgspec.Struct, frozen=True):
    """What the queue for a database counted since its last summary; see `WaitCounts`. Logged as it
    is."""

    group: str
    database: str
    served: int
    within_quarter: int
    within_double: int
    refused: int
    refused_with_room: int


class WaitSummaries:
    """Remembers the counters of each queue at its last summary."""

    def __init__(self) -> None:
        self._last_counts: dict[QueueName, WaitCounts] = {}

    def collect(self, counts: Mapping[QueueName, WaitCounts]) -> Sequence[WaitsCounted]:
        """Returns what was counted since the last call, for queues that counted anything."""
        summaries = [self._since_last(name, now) for name, now in counts.items()]
        self._last_counts = {name: msgspec.structs.replace(now) for name, now in counts.items()}
        return [summary for summary in summaries if summary.served or summary.refused]

    def _since_last(self, name: QueueName, current: WaitCounts) -> WaitsCounted:
        last = self._last_counts.get(name, WaitCounts())
        if last.served > current.served or last.refused > current.refused:
            # The queue was replaced, and its counters restarted at zero.
            last = WaitCounts()
        return WaitsCounted(
            group=name.group,
            database=name.database,
            served=current.served - last.served,
            within_quarter=current.within_quarter - last.within_quarter,
            within_double=current.within_double - last.within_double,
            refused=current.refused - last.refused,
            refused_with_room=max(current.refused_with_room - last.refused_with_room, 0),
        )
