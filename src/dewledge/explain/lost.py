"""Statements that were refused, late or broken, and what stood first in the chain that led there.

The evidence is of three kinds: spans of trouble in the process's own log, what the logs of the
others show of the same time, and the statement's attempts. What lies nearer to the start of the
chain is named: a process that stood still, then one that had just started, then the primary, then
the store, then a machine or database on the way, and load only where nothing of that was seen.
"""

from bisect import bisect_left
from collections.abc import Mapping, Sequence
from enum import StrEnum

import msgspec

from dewledge.explain.causes import Attempt, parse_way
from dewledge.explain.log_lines import LogRecord
from dewledge.explain.timeline import Span, Timeline, time_of, timeline_of

CLOCK_SLACK_SECONDS = 0.5
"""Machines' times of day may differ; spans of others count when they lie so near."""
REACHED_ELSEWHERE = "reached_by_"
"""A doubt that ended so: another process got a connection to the primary, this one did not."""
AFTERMATH_SECONDS = 2.0
"""What had to wait while a group was in trouble comes back within this and finds queues."""
PROMOTION_WITHIN_SECONDS = 10.0
"""A promotion so long after the first doubt belongs to it: the bound of a change of primary."""
MOST_PROCESSES = 0.75
"""If so large a share of the processes could not read the store, the store was away."""

PLANNED_REASONS = frozenset({"draining", "entry_gone"})
FOUND_WELL = "reachable"
"""A doubt that ended so was none: the primary answered this process at once."""
UNREACHABLE_RESULTS = frozenset({"denied_unreachable", "database_unreachable"})
"""A connection was tried, here or at the process that lends it, and there was none."""
UNANSWERED_RESULTS = UNREACHABLE_RESULTS | {"silent", "silent_setup"}
BROKEN_RESULTS = UNANSWERED_RESULTS | {"lost", "closed"}
SERVED_WITHIN_SECONDS = 3.0
"""A database that answers another process so soon after it was doubted was never lost."""
QUEUED_BEHIND_SECONDS = 1.0
"""What was left unanswered so long before kept connections from those that came next."""


class LossKind(StrEnum):
    """How a statement was lost to its client."""

    REFUSED = "refused"
    LATE = "late"
    BROKEN = "broken"


class LostCause(StrEnum):
    """What stood first in the chain."""

    STOOD_STILL = "process_stood_still"
    STARTING = "process_starting"
    PLANNED_CHANGE = "planned_change_of_primary"
    PRIMARY_LOST = "primary_lost"
    CUT = "cut"
    STORE_AWAY = "store_away"
    PROCESS_LOST = "other_process_lost"
    DATABASE_SILENT = "database_silent"
    ANSWER_LOST = "answer_lost"
    REPLICAS_BEHIND = "replicas_behind"
    LOAD = "load"
    UNKNOWN = "not_known"


class Finding(msgspec.Struct, frozen=True):
    """A cause, and the line or result that shows it."""

    cause: LostCause
    shown_by: str


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
    record: LogRecord, kind: LossKind, timeline: Timeline, evidence: "Evidence"
) -> LostStatement:
    finding = evidence.find(record, timeline)
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


class Evidence:
    """What the logs of all processes show, by time."""

    def __init__(
        self, timelines: Mapping[str, Timeline], logs: Mapping[str, Sequence[LogRecord]]
    ) -> None:
        self._timelines = timelines
        self._answers = _answers(logs, frozenset({"done"}))
        self._unanswered = _answers(logs, UNANSWERED_RESULTS)
        self._unreachable = _answers(logs, UNREACHABLE_RESULTS)

    def find(self, record: LogRecord, timeline: Timeline) -> Finding:
        """Returns what stood first in the chain that led to a statement's loss."""
        ends = time_of(record)
        begins = ends - int(record.get("waited_ms") or 0) / 1000
        attempts = parse_way(record.get("way"))
        found = (
            _stalled(timeline, begins, ends)
            or self._changed(record.get("group"), timeline, begins, ends)
            or self._without_right(record.get("group"), timeline, begins, ends)
            or self._on_the_way(attempts, timeline, begins, ends)
            or self._behind_others(attempts, timeline, begins, ends)
            or _from_results(attempts)
        )
        if found is not None and found.cause is LostCause.LOAD and _had_no_primary(attempts):
            found = self._cut("no primary could be used, and it answered others", begins, ends)
        if found is not None and found.cause is LostCause.LOAD:
            found = self._aftermath(record.get("group"), begins, ends) or found
        if found is not None and found.cause is LostCause.LOAD:
            found = self._unreachable_for_some(attempts, begins, ends) or found
        return found or Finding(LostCause.UNKNOWN, f"outcome {record.get('outcome')}")

    def _changed(
        self, group: str, timeline: Timeline, begins: float, ends: float
    ) -> Finding | None:
        """The group's primary was in doubt or being replaced while the statement waited."""
        doubts = [span for span in timeline.changes if span.ended_by != FOUND_WELL]
        own = _last_touching(doubts, group, begins, ends)
        return None if own is None else self._cause_of_change(own, timeline, begins, ends)

    def _cause_of_change(
        self, own: Span, timeline: Timeline, begins: float, ends: float
    ) -> Finding:
        reasons = {own.reason} | {span.reason for span in self._others_changes(own)}
        shown = f"phase_changed reason={own.reason}"
        if reasons & PLANNED_REASONS:
            return Finding(LostCause.PLANNED_CHANGE, shown)
        answered = self._answered_after(own.database, own.begins)
        reached_elsewhere = own.ended_by.startswith(REACHED_ELSEWHERE)
        if timeline.process in answered and not reached_elsewhere:
            return Finding(LostCause.LOAD, f"{shown}, but {own.database} answered here too")
        if answered:
            return self._cut(f"{shown}, but {own.database} answered {answered[0]}", begins, ends)
        if self._was_promoted(own):
            return Finding(LostCause.PRIMARY_LOST, shown)
        return Finding(LostCause.DATABASE_SILENT, shown)

    def _cut(self, shown: str, begins: float, ends: float) -> Finding:
        """Others got answers: the way there was cut, or a process on it stood still."""
        for name, timeline in self._timelines.items():
            if _stalled(timeline, begins, ends):
                return Finding(LostCause.PROCESS_LOST, f"{shown}; {name} stood still")
        return Finding(LostCause.CUT, shown)

    def _aftermath(self, group: str, begins: float, ends: float) -> Finding | None:
        """Queues were full, and the group had been in trouble at any process just before."""
        since = begins - AFTERMATH_SECONDS
        for timeline in self._timelines.values():
            found = self._changed(group, timeline, since, ends) or self._without_right(
                group, timeline, since, ends
            )
            if found is not None and found.cause is not LostCause.LOAD:
                shown = f"{found.shown_by} at {timeline.process}, queues after it"
                return Finding(found.cause, shown)
        return None

    def _others_changes(self, own: Span) -> list[Span]:
        begins, ends = own.begins - CLOCK_SLACK_SECONDS, own.begins + CLOCK_SLACK_SECONDS
        return [
            span
            for timeline in self._timelines.values()
            for span in timeline.changes
            if span.of == own.of and span.touches(begins, ends)
        ]

    def _was_promoted(self, own: Span) -> bool:
        latest = own.begins + PROMOTION_WITHIN_SECONDS
        return any(
            span.of == own.of and span.touches(own.begins - CLOCK_SLACK_SECONDS, latest)
            for timeline in self._timelines.values()
            for span in timeline.promotions
        )

    def _answered_after(self, database: str, begins: float) -> Sequence[str]:
        """Returns the processes that a database answered soon after a time."""
        first = begins + CLOCK_SLACK_SECONDS
        found = _within(self._answers.get(database, []), first, begins + SERVED_WITHIN_SECONDS)
        return [moment.process for moment in found]

    def _without_right(
        self, group: str, timeline: Timeline, begins: float, ends: float
    ) -> Finding | None:
        """The process had no word on claims, so it might use no primary of the group."""
        own = _last_touching(timeline.rights, group, begins, ends)
        if own is None:
            return None
        if any(span.touches(begins, ends) for span in timeline.starting):
            return Finding(LostCause.STARTING, "pooler_started")
        without = [it for it in self._timelines.values() if _is_without_store(it, begins, ends)]
        if len(without) >= MOST_PROCESSES * len(self._timelines):
            return Finding(LostCause.STORE_AWAY, "lead_right_lapsed, and store_lost at most")
        return Finding(LostCause.CUT, "lead_right_lapsed, and others read the store")

    def _on_the_way(
        self, attempts: Sequence[Attempt], timeline: Timeline, begins: float, ends: float
    ) -> Finding | None:
        """A connection broke, or nobody answered on it."""
        broken = [attempt for attempt in attempts if attempt.result in BROKEN_RESULTS]
        if not broken:
            return None
        first = broken[0]
        shown = f"{first.database}:{first.result}@{first.after_ms}"
        lost_links = [span for span in timeline.links if span.touches(begins, ends)]
        if lost_links:
            return Finding(LostCause.PROCESS_LOST, f"{shown}, link_lost peer={lost_links[0].of}")
        if first.result not in UNANSWERED_RESULTS:
            return Finding(LostCause.ANSWER_LOST, shown)
        return self._unanswered_at(first.database, timeline.process, begins, ends, shown)

    def _behind_others(
        self, attempts: Sequence[Attempt], timeline: Timeline, begins: float, ends: float
    ) -> Finding | None:
        """It waited for a connection while a database left others of this process unanswered."""
        for attempt in attempts:
            moments = self._unanswered.get(attempt.database, [])
            before = _within(moments, begins - QUEUED_BEHIND_SECONDS, ends)
            if any(moment.process == timeline.process for moment in before):
                shown = f"{attempt.database}:{attempt.result}, others unanswered there"
                return self._unanswered_at(attempt.database, timeline.process, begins, ends, shown)
        return None

    def _unreachable_for_some(
        self, attempts: Sequence[Attempt], begins: float, ends: float
    ) -> Finding | None:
        """Queues were full at a database that others could not reach just before."""
        for attempt in attempts:
            moments = self._unreachable.get(attempt.database, [])
            before = _within(moments, begins - AFTERMATH_SECONDS, ends)
            if before:
                shown = f"{attempt.database} was unreachable from {before[0].process}"
                return self._cut(f"{shown}, queues after it", begins, ends)
        return None

    def _unanswered_at(
        self, database: str, process: str, begins: float, ends: float, shown: str
    ) -> Finding | None:
        """Nobody answered the statement at a database; None if it was just slow."""
        answered = self._answered_after(database, begins - CLOCK_SLACK_SECONDS)
        if not answered:
            return Finding(LostCause.DATABASE_SILENT, shown)
        found = self._cut(f"{shown}, but it answered {answered[0]}", begins, ends)
        is_slow = found.cause is LostCause.CUT and process in answered
        return None if is_slow else found


class Moment(msgspec.Struct, frozen=True, order=True):
    """When a database answered a process, or left it without an answer."""

    at: float
    process: str


def _answers(
    logs: Mapping[str, Sequence[LogRecord]], results: frozenset[str]
) -> dict[str, list[Moment]]:
    """Returns for each database when attempts there had one of `results`, in order of time."""
    found: dict[str, list[Moment]] = {}
    for name, records in logs.items():
        for record in records:
            if record.event != "statement_answered":
                continue
            for attempt in parse_way(record.get("way")):
                if attempt.result in results:
                    found.setdefault(attempt.database, []).append(Moment(time_of(record), name))
    return {database: sorted(moments) for database, moments in found.items()}


def _within(moments: Sequence[Moment], begins: float, ends: float) -> Sequence[Moment]:
    first = bisect_left(moments, Moment(begins, ""))
    last = bisect_left(moments, Moment(ends, ""))
    return moments[first:last]


def _stalled(timeline: Timeline, begins: float, ends: float) -> Finding | None:
    for span in timeline.stalls:
        if span.touches(begins, ends):
            length = int((span.ends - span.begins) * 1000)
            return Finding(LostCause.STOOD_STILL, f"process_stood_still {length} ms")
    return None


def _last_touching(spans: Sequence[Span], group: str, begins: float, ends: float) -> Span | None:
    touching = [span for span in spans if span.of == group and span.touches(begins, ends)]
    return touching[-1] if touching else None


def _is_without_store(timeline: Timeline, begins: float, ends: float) -> bool:
    spans = [*timeline.store, *timeline.rights]
    return any(span.touches(begins, ends) for span in spans)


def _had_no_primary(attempts: Sequence[Attempt]) -> bool:
    """Tells whether the statement was given up without a database to wait for."""
    return bool(attempts) and all(not attempt.database for attempt in attempts)


def _from_results(attempts: Sequence[Attempt]) -> Finding | None:
    """Nothing went wrong around the statement: its own attempts tell."""
    results = [attempt.result for attempt in attempts]
    if not results:
        return None
    if "not_fresh" in results and results.count("not_fresh") * 2 >= len(results):
        return Finding(LostCause.REPLICAS_BEHIND, f"not_fresh {results.count('not_fresh')} times")
    if "not_primary" in results:
        return Finding(LostCause.PRIMARY_LOST, "not_primary")
    return Finding(LostCause.LOAD, results[-1])
