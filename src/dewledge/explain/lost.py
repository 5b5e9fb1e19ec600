"""Statements that were refused, late or broken, each with what stood first in the chain."""

from collections.abc import Mapping, Sequence
from enum import StrEnum

import msgspec

from dewledge.explain.log_lines import LogRecord
from dewledge.explain.lost_evidence import Evidence, LostCause, wait_of
from dewledge.explain.timeline import Timeline, time_of, timeline_of


class LossKind(StrEnum):
    """How a statement was lost to its client."""

    REFUSED = "refused"
    LATE = "late"
    BROKEN = "broken"


class LostStatement(msgspec.Struct, frozen=True):
    """One statement that was lost. at: seconds, by its process's time of day."""

    statement: str
    process: str
    zone: str
    route: str
    at: float
    kind: LossKind
    outcome: str
    waited_ms: int
    cause: LostCause
    shown_by: str


def find_lost(logs: Mapping[str, Sequence[LogRecord]]) -> list[LostStatement]:
    """Returns the lost statements of some processes' logs, in the order of their times."""
    timelines = {name: timeline_of(name, records) for name, records in logs.items()}
    evidence = Evidence(timelines, logs)
    lost = [
        _lost(record, kind, timelines[name], evidence)
        for name, records in logs.items()
        for record in records
        if (kind := _kind_of(record)) is not None
    ]
    return sorted(lost, key=lambda item: item.at)


def _kind_of(record: LogRecord) -> LossKind | None:
    if record.event != "statement_answered":
        return None
    outcome = record.get("outcome")
    if outcome == "overloaded":
        return LossKind.REFUSED
    if outcome != "done":
        return LossKind.BROKEN
    target = int(record.get("target_ms") or 0)
    is_late = target > 0 and int(record.get("waited_ms") or 0) > target
    return LossKind.LATE if is_late else None


def _lost(
    record: LogRecord, kind: LossKind, timeline: Timeline, evidence: Evidence
) -> LostStatement:
    finding = evidence.find(wait_of(record, timeline))
    return LostStatement(
        statement=record.get("statement"),
        process=record.process,
        zone=timeline.zone,
        route=record.get("route"),
        at=time_of(record),
        kind=kind,
        outcome=record.get("outcome"),
        waited_ms=int(record.get("waited_ms") or 0),
        cause=finding.cause,
        shown_by=finding.shown_by,
    )
