"""Logs summaries of the waits in the queues of databases, at a fixed interval.

`core/pooler/load/wait_summaries` decides which queues get a line and what it contains.
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
    """Logs at most one line for each pool of this process every SUMMARY_INTERVAL_SECONDS."""

    def __init__(
        self,
        scheduler: Scheduler,
        groups: Mapping[str, Group],
        record: Callable[[msgspec.Struct], None],
    ) -> None:
        """`groups`: the groups by name; read at each report."""
        self._scheduler = scheduler
        self._groups = groups
        self._record = record
        self._summaries = WaitSummaries()

    def start(self) -> None:
        """Schedules the next report; each report schedules another."""
        self._scheduler.call_later(SUMMARY_INTERVAL_SECONDS, self._report_and_reschedule)

    def report(self) -> None:
        """Logs the waits counted since the last report."""
        for summary in self._summaries.collect(self._counts()):
            self._record(summary)

    def _report_and_reschedule(self) -> None:
        self.report()
        self.start()

    def _counts(self) -> Mapping[QueueName, WaitCounts]:
        return {
            QueueName(name, pool.database_id): pool.wait_counts
            for name, group in self._groups.items()
            for pool in group.all_pools()
        }
