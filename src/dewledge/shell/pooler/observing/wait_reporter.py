"""Logs what the queues before databases counted, one line for each that counted something.

Owns the timer; relies on `core/pooler/load/wait_summaries` for what a line says.
"""

from collections.abc import Callable, Mapping

import msgspec

from dewledge.core.pooler.databases.group import Group
from dewledge.core.pooler.load.wait_counts import WaitCounts
from dewledge.core.pooler.load.wait_summaries import (
    SUMMARY_INTERVAL_SECONDS,
    QueueName,
    WaitSummaries,
)
from dewledge.core.pooler.scheduling import Scheduler


class WaitReporter:
    """At most a line for each pool of this process in SUMMARY_INTERVAL_SECONDS."""

    def __init__(
        self,
        scheduler: Scheduler,
        groups: Mapping[str, Group],
        record: Callable[[msgspec.Struct], None],
    ) -> None:
        """`groups`: by name; read whenever a line is due."""
        self._scheduler = scheduler
        self._groups = groups
        self._record = record
        self._summaries = WaitSummaries()

    def start(self) -> None:
        """Logs from now on."""
        self._scheduler.call_later(SUMMARY_INTERVAL_SECONDS, self._tell_and_go_on)

    def tell(self) -> None:
        """Logs what was counted since the last time."""
        for summary in self._summaries.collect(self._counts()):
            self._record(summary)

    def _tell_and_go_on(self) -> None:
        self.tell()
        self.start()

    def _counts(self) -> Mapping[QueueName, WaitCounts]:
        return {
            QueueName(name, pool.database_id): pool.wait_counts
            for name, group in self._groups.items()
            for pool in group.all_pools()
        }
