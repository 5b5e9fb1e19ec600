"""When a holder reports the load before a database along with an answer: if it has changed.

Inputs: the load now, what this peer was told last and when (steady clock, seconds).
Decision: the report goes along if a number differs by more than `COUNT_CHANGE` and `SHARE_CHANGE`,
or if the last one is as old as its half-life, when it counts half. So a peer that gets answers at
any rate gets at most two reports a second while nothing changes. Reason: bytes on the links; an
entry pays at most 14 bytes an answer.
"""

from dewledge.core.pooler.load.load_table import REPORT_HALF_LIFE_SECONDS
from dewledge.core.pooler.load.report import LoadReport

COUNT_CHANGE = 1
"""Statements or connections; counts that differ by no more say the same: one came or went."""
SHARE_CHANGE = 0.25
"""Ratio; nor do larger counts that differ by no more than this, nor service times."""
MOST_COUNT = 255
"""Statements or connections; what is more is told as this: two bytes of the message. A queue of so
many is far beyond any deadline."""
MOST_SERVICE_MS = 65535
"""Milliseconds; the longest time told, three bytes of the message."""


class LoadReporter:
    """What one process was told of one database."""

    def __init__(self) -> None:
        self._told: LoadReport | None = None
        self._told_at = 0.0

    def due_report(self, report: LoadReport, now: float) -> LoadReport | None:
        """Returns the report to go along with an answer now, None for none. `now`: steady clock."""
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
    """Returns the report with each number within the bytes that it may take."""
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
