"""Decides when a connection holder attaches a load report to a reply: only if the load has changed.

A report is sent if a number differs by more than `MIN_COUNT_CHANGE` and `MIN_CHANGE_RATIO`, or if
the last report is as old as its half-life, after which the receiver gives it half the weight. At
constant load a peer receives at most two reports a second, at any rate of replies.
"""

from dewledge.core.pooler.load.load_table import REPORT_HALF_LIFE_SECONDS
from dewledge.core.pooler.load.report import LoadReport

COUNT_CHANGE = 1
"""Statements or connections; a difference up to this number is not reported."""
SHARE_CHANGE = 0.25
"""Relative difference of a count or a service time up to which it is not reported."""
MOST_COUNT = 255
"""Statements or connections; larger numbers are reported as this one, which fits into two bytes. A
queue of this length exceeds any deadline."""
MOST_SERVICE_MS = 65535
"""The longest service time that is reported; it fits into three bytes."""


class LoadReporter:
    """Remembers the last report on one database that was sent to one process."""

    def __init__(self) -> None:
        self._told: LoadReport | None = None
        self._told_at = 0.0

    def due_report(self, report: LoadReport, now: float) -> LoadReport | None:
        """Returns the report to attach to a reply now, None for none. `now`: steady clock in
        seconds."""
        told = self._told
        is_old = now >= self._told_at + REPORT_HALF_LIFE_SECONDS
        if told is not None and not is_old and not _differs(told, report):
            return None
        self._told, self._told_at = report, now
        return report


def bounded_report(
    waiting: int,
    urgent_waiting: int,
    running: int,
    window: int,
    openings: int,
    service_ms: int,
) -> LoadReport:
    """Returns a report with each number limited to the range that can be sent."""
    return LoadReport(
        min(waiting, MOST_COUNT),
        min(urgent_waiting, MOST_COUNT),
        min(running, MOST_COUNT),
        min(window, MOST_COUNT),
        min(openings, MOST_COUNT),
        min(service_ms, MOST_SERVICE_MS),
    )


def _differs(told: LoadReport, report: LoadReport) -> bool:
    pairs = (
        (told.waiting, report.waiting),
        (told.running, report.running),
        (told.window, report.window),
        (told.openings, report.openings),
        (told.service_ms, report.service_ms),
    )
    return any(abs(new - old) > max(COUNT_CHANGE, SHARE_CHANGE * old) for old, new in pairs)
