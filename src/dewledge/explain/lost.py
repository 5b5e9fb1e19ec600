"""What was refused, late, broken or denied, each with what stood first in the chain."""

from collections.abc import Mapping, Sequence
from enum import StrEnum

import msgspec

from dewledge.explain.log_lines import LogRecord
from dewledge.explain.lost_cause import Finding, LostCause
from dewledge.explain.lost_evidence import Evidence, wait_of
from dewledge.explain.lost_refusals import Refusals
from dewledge.explain.timeline import Timeline, time_of, timeline_of


class LossKind(StrEnum):
    """How a statement was lost to its client. DENIED: a session that did not begin."""

    REFUSED = "refused"
    LATE = "late"
    BROKEN = "broken"
    DENIED = "denied"


class LostStatement(msgspec.Struct, frozen=True):
    """One statement that was lost, or operation or session that was refused.

    at: seconds, by its process's time of day. count: how many the line stands for.
    """

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
    caller: str = ""
    count: int = 1


KIND_OF_REFUSAL: Mapping[str, LossKind] = {
    "operation_not_admitted": LossKind.REFUSED,
    "session_denied": LossKind.DENIED,
    "transaction_ended": LossKind.BROKEN,
}


def find_lost(logs: Mapping[str, Sequence[LogRecord]]) -> list[LostStatement]:
    """Returns the lost statements of some processes' logs, in the order of their times."""
    timelines = {name: timeline_of(name, records) for name, records in logs.items()}
    evidence = Evidence(timelines, logs)
    refusals = Refusals(timelines, logs)
    lost: list[LostStatement] = []
    for name, records in logs.items():
        for record in records:
            kind, finding = _kind_of(record), refusals.find(record)
            if kind is not None:
                finding = evidence.find(wait_of(record, timelines[name]))
            elif finding is not None:
                kind = KIND_OF_REFUSAL[record.event]
            if kind is not None and finding is not None:
                lost.append(_lost(record, kind, timelines[name], finding))
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


def _lost(record: LogRecord, kind: LossKind, timeline: Timeline, finding: Finding) -> LostStatement:
    count = record.get("count")
    return LostStatement(
        statement=record.get("statement"),
        process=record.process,
        zone=timeline.zone,
        route=record.get("route"),
        at=time_of(record),
        kind=kind,
        outcome=record.get("outcome") or record.event,
        waited_ms=int(record.get("waited_ms") or 0),
        cause=finding.cause,
        shown_by=finding.shown_by,
        caller=record.get("caller"),
        count=int(count) if count.isdigit() else 1,
    )
