"""Decides when a connection holder attaches a load report to a reply: only if the load has changed.

A report is sent if a field other than `urgent_waiting` differs from the last report by more than
`COUNT_TOLERANCE` and by more than `TOLERANCE_RATIO`, or if the last report has reached its
half-life, at which the receiver gives it half of its initial weight. At constant load, a process
thus receives at most two reports a second on a database, at any rate of replies.
"""

from dewledge.core.pooler.load.load_table import REPORT_HALF_LIFE_SECONDS
from dewledge.core.pooler.load.report import LoadReport

COUNT_TOLERANCE = 1
"""Statements, connections or milliseconds; a difference up to this number is not reported."""
TOLERANCE_RATIO = 0.25
"""Relative difference of a count or a service time up to which it is not reported."""
MAX_REPORTED_COUNT = 255
"""Statements or connections; larger numbers are reported as this one, which fits into two bytes. A
queue of this length exceeds any deadline."""
MAX_REPORTED_SERVICE_MS = 65535
"""The longest service time that is reported; it fits into three bytes."""


class LoadReporter:
    """Remembers the last report on one database that was sent to one process."""

    def __init__(self) -> None:
        self._last_report: LoadReport | None = None
        self._last_report_at = 0.0

    def report_to_send(self, report: LoadReport, now: float) -> LoadReport | None:
        """Returns the report to attach to a reply at `now` (steady clock, seconds), None if none is
        due."""
        last_report = self._last_report
        is_old = now >= self._last_report_at + REPORT_HALF_LIFE_SECONDS
        if last_report is not None and not is_old and not _differs(last_report, report):
            return None
        self._last_report, self._last_report_at = report, now
        return report


def clamped_report(
    waiting: int,
    urgent_waiting: int,
    running: int,
    window: int,
    openings: int,
    service_ms: int,
) -> LoadReport:
    """Returns a report with each number limited to the range that can be sent."""
    return LoadReport(
        min(waiting, MAX_REPORTED_COUNT),
        min(urgent_waiting, MAX_REPORTED_COUNT),
        min(running, MAX_REPORTED_COUNT),
        min(window, MAX_REPORTED_COUNT),
        min(openings, MAX_REPORTED_COUNT),
        min(service_ms, MAX_REPORTED_SERVICE_MS),
    )


def _differs(last_report: LoadReport, report: LoadReport) -> bool:
    pairs = (
        (last_report.waiting, report.waiting),
        (last_report.running, report.running),
        (last_report.window, report.window),
        (last_report.openings, report.openings),
        (last_report.service_ms, report.service_ms),
    )
    return any(abs(new - old) > max(COUNT_TOLERANCE, TOLERANCE_RATIO * old) for old, new in pairs)
