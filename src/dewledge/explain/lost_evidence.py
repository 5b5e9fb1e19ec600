"""What stood first in the chain that led to a statement's loss, out of the logs of many processes.

The evidence is of three kinds: spans of trouble in the process's own log, what the logs of the
others show of the same time, and the statement's attempts. What lies nearer to the start of the
chain is named: a process that stood still, then one that had just started, then the primary, then
the store, then a machine or database on the way, and load only where nothing of that was seen.
"""

from bisect import bisect_left
from collections.abc import Mapping, Sequence

import msgspec

from dewledge.explain.causes import Attempt, parse_way
from dewledge.explain.log_lines import LogRecord
from dewledge.explain.lost_cause import (
    COMING_BACK,
    COMING_BACK_SECONDS,
    Finding,
    LostCause,
    cause_told,
)
from dewledge.explain.timeline import Span, Timeline, time_of

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
HOLDER_SILENT = "holder_silent"
"""The process that lends the connection gave no sign of life, whatever the database did."""
BROKEN_RESULTS = UNANSWERED_RESULTS | {"lost", "closed", HOLDER_SILENT}
SERVED_WITHIN_SECONDS = 3.0
"""A database that answers another process so soon after it was doubted was never lost."""
QUEUED_BEHIND_SECONDS = 1.0
"""What was left unanswered so long before kept connections from those that came next."""
UNDER_FLOOR = "floor"
"""The proof of a read that a replica may serve."""
BEHIND_SHARE = 0.5
"""Replicas are behind when so many reads are sent back for each one that is served under a floor;
well ones send back one of a hundred."""


class Wait(msgspec.Struct, frozen=True):
    """How a lost statement waited: at which process, for which group, from when until when.

    begins, ends: seconds, by the process's time of day. outcome: what its client was told.
    """

    timeline: Timeline
    group: str
    begins: float
    ends: float
    attempts: Sequence[Attempt]
    outcome: str

    def since(self, begins: float) -> "Wait":
        """Returns the same wait, seen from an earlier time on."""
        return msgspec.structs.replace(self, begins=begins)

    def at(self, timeline: Timeline) -> "Wait":
        """Returns the same time and group at another process."""
        return msgspec.structs.replace(self, timeline=timeline)

    def touching(self, spans: Sequence[Span]) -> Sequence[Span]:
        """Returns the spans that overlap it."""
        return [span for span in spans if span.touches(self.begins, self.ends)]


def wait_of(record: LogRecord, timeline: Timeline) -> Wait:
    """Returns the wait of an answered statement."""
    ends = time_of(record)
    return Wait(
        timeline=timeline,
        group=record.get("group"),
        begins=ends - int(record.get("waited_ms") or 0) / 1000,
        ends=ends,
        attempts=parse_way(record.get("way")),
        outcome=record.get("outcome"),
    )


class Moment(msgspec.Struct, frozen=True, order=True):
    """When a database answered a process, or left it without an answer."""

    at: float
    process: str


class Evidence:
    """What the logs of all processes show, by time."""

    def __init__(
        self, timelines: Mapping[str, Timeline], logs: Mapping[str, Sequence[LogRecord]]
    ) -> None:
        self._timelines = timelines
        self._answers = _by_database(logs, frozenset({"done"}))
        self._unanswered = _by_database(logs, UNANSWERED_RESULTS)
        self._unreachable = _by_database(logs, UNREACHABLE_RESULTS)
        self._sent_back = _by_group(logs, "not_fresh")
        self._served_under_floor = _by_group(logs, "done")

    def find(self, wait: Wait) -> Finding:
        """Returns what stood first in the chain that led to a statement's loss."""
        found = (
            _stalled(wait)
            or self._changed(wait)
            or self._without_right(wait)
            or self._on_the_way(wait)
            or self._behind_others(wait)
            or _from_results(wait)
        )
        if found is not None and found.cause is LostCause.LOAD:
            return self._before_the_load(wait) or _told(wait) or _just_started(wait) or found
        return found or _told(wait) or Finding(LostCause.UNKNOWN, f"outcome {wait.outcome}")

    def _before_the_load(self, wait: Wait) -> Finding | None:
        """Queues were full: returns what filled them, if that shows."""
        if _had_no_primary(wait):
            return self._cut("no primary could be used, and it answered others", wait)
        return self._aftermath(wait) or self._unreachable_for_some(wait) or self._behind(wait)

    # The primary, and the right to use it.

    def _changed(self, wait: Wait) -> Finding | None:
        """The group's primary was in doubt or being replaced while the statement waited."""
        doubts = [span for span in wait.timeline.changes if span.ended_by != FOUND_WELL]
        touching = [span for span in wait.touching(doubts) if span.of == wait.group]
        return self._cause_of_change(touching[-1], wait) if touching else None

    def _cause_of_change(self, change: Span, wait: Wait) -> Finding:
        shown = f"phase_changed reason={change.reason}"
        if self._reasons_near(change) & PLANNED_REASONS:
            return Finding(LostCause.PLANNED_CHANGE, shown)
        answered = self._answered_after(change.database, change.begins)
        reached_elsewhere = change.ended_by.startswith(REACHED_ELSEWHERE)
        if wait.timeline.process in answered and not reached_elsewhere:
            return Finding(LostCause.LOAD, f"{shown}, but {change.database} answered here too")
        if answered:
            return self._cut(f"{shown}, but {change.database} answered {answered[0]}", wait)
        if self._was_promoted(change):
            return Finding(LostCause.PRIMARY_LOST, shown)
        return Finding(LostCause.DATABASE_SILENT, shown)

    def _reasons_near(self, change: Span) -> frozenset[str]:
        """Returns why any process began to doubt or replace the primary at that time."""
        begins, ends = change.begins - CLOCK_SLACK_SECONDS, change.begins + CLOCK_SLACK_SECONDS
        return frozenset(
            span.reason
            for timeline in self._timelines.values()
            for span in timeline.changes
            if span.of == change.of and span.touches(begins, ends)
        )

    def _was_promoted(self, change: Span) -> bool:
        latest = change.begins + PROMOTION_WITHIN_SECONDS
        return any(
            span.of == change.of and span.touches(change.begins - CLOCK_SLACK_SECONDS, latest)
            for timeline in self._timelines.values()
            for span in timeline.promotions
        )

    def _without_right(self, wait: Wait) -> Finding | None:
        """The process had no word on claims, so it might use no primary of the group."""
        if not any(span.of == wait.group for span in wait.touching(wait.timeline.rights)):
            return None
        if wait.touching(wait.timeline.starting):
            return Finding(LostCause.STARTING, "pooler_started")
        without = [it for it in self._timelines.values() if _is_without_store(wait.at(it))]
        if len(without) >= MOST_PROCESSES * len(self._timelines):
            return Finding(LostCause.STORE_AWAY, "lead_right_lapsed, and store_lost at most")
        return Finding(LostCause.CUT, "lead_right_lapsed, and others read the store")

    # The way to a database.

    def _on_the_way(self, wait: Wait) -> Finding | None:
        """A connection broke, or nobody answered on it."""
        broken = [attempt for attempt in wait.attempts if attempt.result in BROKEN_RESULTS]
        if not broken:
            return None
        first = broken[0]
        shown = f"{first.database}:{first.result}@{first.after_ms}"
        lost_links = wait.touching(wait.timeline.links)
        if lost_links:
            return Finding(LostCause.PROCESS_LOST, f"{shown}, link_lost peer={lost_links[0].of}")
        if first.result == HOLDER_SILENT:
            return Finding(LostCause.HOLDER_SILENT, shown)
        if first.result not in UNANSWERED_RESULTS:
            return Finding(LostCause.ANSWER_LOST, shown)
        return self._unanswered_at(first.database, wait, shown)

    def _behind_others(self, wait: Wait) -> Finding | None:
        """It waited for a connection while a database left others of this process unanswered."""
        for attempt in wait.attempts:
            moments = self._unanswered.get(attempt.database, [])
            before = _within(moments, wait.begins - QUEUED_BEHIND_SECONDS, wait.ends)
            if any(moment.process == wait.timeline.process for moment in before):
                shown = f"{attempt.database}:{attempt.result}, others unanswered there"
                return self._unanswered_at(attempt.database, wait, shown)
        return None

    def _unanswered_at(self, database: str, wait: Wait, shown: str) -> Finding | None:
        """Nobody answered the statement at a database; None if it was just slow."""
        answered = self._answered_after(database, wait.begins - CLOCK_SLACK_SECONDS)
        if not answered:
            return Finding(LostCause.DATABASE_SILENT, shown)
        found = self._cut(f"{shown}, but it answered {answered[0]}", wait)
        is_slow = found.cause is LostCause.CUT and wait.timeline.process in answered
        return None if is_slow else found

    def _cut(self, shown: str, wait: Wait) -> Finding:
        """Others got answers: the way there was cut, or a process on it stood still."""
        for name, timeline in self._timelines.items():
            if wait.touching(timeline.stalls):
                return Finding(LostCause.PROCESS_LOST, f"{shown}; {name} stood still")
        return Finding(LostCause.CUT, shown)

    def _answered_after(self, database: str, begins: float) -> Sequence[str]:
        """Returns the processes that a database answered soon after a time."""
        first = begins + CLOCK_SLACK_SECONDS
        found = _within(self._answers.get(database, []), first, begins + SERVED_WITHIN_SECONDS)
        return [moment.process for moment in found]

    # What filled the queues.

    def _aftermath(self, wait: Wait) -> Finding | None:
        """The group had been in trouble at any process just before."""
        longer = wait.since(wait.begins - AFTERMATH_SECONDS)
        for timeline in self._timelines.values():
            there = longer.at(timeline)
            found = self._changed(there) or self._without_right(there)
            if found is not None and found.cause is not LostCause.LOAD:
                shown = f"{found.shown_by} at {timeline.process}, queues after it"
                return Finding(found.cause, shown)
        return None

    def _unreachable_for_some(self, wait: Wait) -> Finding | None:
        """Others could not reach the database just before."""
        for attempt in wait.attempts:
            moments = self._unreachable.get(attempt.database, [])
            before = _within(moments, wait.begins - AFTERMATH_SECONDS, wait.ends)
            if before:
                shown = f"{attempt.database} was unreachable from {before[0].process}"
                return self._cut(f"{shown}, queues after it", wait)
        return None

    def _behind(self, wait: Wait) -> Finding | None:
        """The replicas could serve few reads of the group, so its primary had to."""
        begins = wait.begins - AFTERMATH_SECONDS
        sent_back = len(_within(self._sent_back.get(wait.group, []), begins, wait.ends))
        served = len(_within(self._served_under_floor.get(wait.group, []), begins, wait.ends))
        if not sent_back or sent_back < BEHIND_SHARE * served:
            return None
        shown = f"{sent_back} reads sent back by replicas, {served} served under a floor"
        return Finding(LostCause.REPLICAS_BEHIND, f"{shown}, queues at the primary")


def _by_database(
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


def _by_group(logs: Mapping[str, Sequence[LogRecord]], result: str) -> dict[str, list[Moment]]:
    """Returns for each group when attempts under a floor had a result, in order of time."""
    found: dict[str, list[Moment]] = {}
    for name, records in logs.items():
        for record in records:
            if record.event != "statement_answered":
                continue
            for attempt in parse_way(record.get("way")):
                if attempt.proof == UNDER_FLOOR and attempt.result == result:
                    moment = Moment(time_of(record), name)
                    found.setdefault(record.get("group"), []).append(moment)
    return {group: sorted(moments) for group, moments in found.items()}


def _within(moments: Sequence[Moment], begins: float, ends: float) -> Sequence[Moment]:
    first = bisect_left(moments, Moment(begins, ""))
    last = bisect_left(moments, Moment(ends, ""))
    return moments[first:last]


def _stalled(wait: Wait) -> Finding | None:
    """The process itself stood still."""
    for span in wait.touching(wait.timeline.stalls):
        length = int((span.ends - span.begins) * 1000)
        return Finding(LostCause.STOOD_STILL, f"process_stood_still {length} ms")
    return None


def _told(wait: Wait) -> Finding | None:
    """The last attempt's result is the cause, as the process that refused it knew."""
    result = wait.attempts[-1].result if wait.attempts else wait.outcome
    cause = cause_told(result)
    return None if cause is None else Finding(cause, result)


def _just_started(wait: Wait) -> Finding | None:
    """The process had started a moment before: its connections were still to be opened."""
    longer = wait.since(wait.begins - COMING_BACK_SECONDS)
    return COMING_BACK if longer.touching(wait.timeline.starting) else None


def _is_without_store(wait: Wait) -> bool:
    return bool(wait.touching([*wait.timeline.store, *wait.timeline.rights]))


def _had_no_primary(wait: Wait) -> bool:
    """Tells whether the statement was given up without a database to wait for."""
    return bool(wait.attempts) and all(not attempt.database for attempt in wait.attempts)


def _from_results(wait: Wait) -> Finding | None:
    """Nothing went wrong around the statement: its own attempts tell."""
    results = [attempt.result for attempt in wait.attempts]
    if not results:
        return None
    if "not_fresh" in results and results.count("not_fresh") * 2 >= len(results):
        return Finding(LostCause.REPLICAS_BEHIND, f"not_fresh {results.count('not_fresh')} times")
    if "not_primary" in results:
        return Finding(LostCause.PRIMARY_LOST, "not_primary")
    return Finding(LostCause.LOAD, results[-1])
