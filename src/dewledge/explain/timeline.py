"""What one process went through, out of its log: spans of trouble by the process's own clock."""

from collections.abc import Iterable, Sequence
from datetime import datetime

import msgspec

from dewledge.explain.log_lines import LogRecord

FOREVER = float("inf")


class Span(msgspec.Struct, frozen=True):
    """A time in which something held, in seconds of the process's own time of day.

    of: the group, table or peer concerned. database: the primary that was doubted.
    ended_by: the reason of the event that ended it.
    """

    begins: float
    ends: float
    of: str = ""
    reason: str = ""
    database: str = ""
    ended_by: str = ""

    def touches(self, begins: float, ends: float) -> bool:
        """Tells whether it overlaps a time."""
        return self.begins <= ends and begins <= self.ends


class Timeline(msgspec.Struct, frozen=True):
    """The spans of one process.

    starting: from its start until it took its first configuration. stalls: it stood still.
    store: it could not read a table. rights: it might use no primary of the group.
    changes: the primary of the group was doubted or being replaced; reason: what began it.
    promotions: this process had a database promoted, at one moment. links: one to a peer was lost.
    """

    process: str
    zone: str = ""
    starting: Sequence[Span] = ()
    stalls: Sequence[Span] = ()
    store: Sequence[Span] = ()
    rights: Sequence[Span] = ()
    changes: Sequence[Span] = ()
    promotions: Sequence[Span] = ()
    links: Sequence[Span] = ()


def time_of(record: LogRecord) -> float:
    """Returns a line's time in seconds, 0.0 if it has none that can be read."""
    try:
        return datetime.fromisoformat(record.get("time")).timestamp()
    except ValueError:
        return 0.0


def timeline_of(process: str, records: Sequence[LogRecord]) -> Timeline:
    """Returns what the lines of one process tell."""
    zones = [record.get("zone") for record in records if record.event == "pooler_started"]
    return Timeline(
        process=process,
        zone=zones[-1] if zones else "",
        starting=_spans(records, {"pooler_started"}, {"configuration_taken"}, ""),
        stalls=_stalls(records),
        store=_spans(records, {"store_lost"}, {"store_regained"}, "table"),
        rights=_spans(records, {"lead_right_lapsed"}, {"lead_right_regained"}, "group"),
        changes=_changes(records),
        promotions=[
            Span(time_of(record), time_of(record), record.get("group"))
            for record in records
            if record.event == "promotion_answered" and record.get("accepted") == "True"
        ],
        links=[
            Span(time_of(record), time_of(record), record.get("peer"), record.get("reason"))
            for record in records
            if record.event == "link_lost"
        ],
    )


def _stalls(records: Iterable[LogRecord]) -> list[Span]:
    spans = []
    for record in records:
        length = record.get("stood_still_ms")
        if record.event == "process_stood_still" and length.isdigit():
            ends = time_of(record)
            spans.append(Span(ends - int(length) / 1000, ends))
    return spans


def _spans(
    records: Iterable[LogRecord], opening: set[str], closing: set[str], field: str
) -> list[Span]:
    """Returns from each opening event to the next closing one with the same field.

    A start of the process ends everything that was open before it.
    """
    spans: list[Span] = []
    opened: dict[str, Span] = {}
    for record in records:
        of = record.get(field) if field else ""
        if record.event == "pooler_started":
            spans += [_ended(span, time_of(record)) for span in opened.values()]
            opened.clear()
        if record.event in opening:
            opened.setdefault(of, Span(time_of(record), FOREVER, of))
        elif record.event in closing and of in opened:
            spans.append(_ended(opened.pop(of), time_of(record)))
    return [*spans, *opened.values()]


def _changes(records: Iterable[LogRecord]) -> list[Span]:
    """Returns from a group's first phase that is not steady until it is steady again."""
    spans: list[Span] = []
    opened: dict[str, Span] = {}
    for record in records:
        if record.event == "pooler_started":
            spans += [_ended(span, time_of(record)) for span in opened.values()]
            opened.clear()
        if record.event != "phase_changed":
            continue
        group, phase = record.get("group"), record.get("phase")
        if phase != "steady":
            reason, database = record.get("reason"), record.get("database")
            began = Span(time_of(record), FOREVER, group, reason, database)
            opened.setdefault(group, began)
        elif group in opened:
            spans.append(_ended(opened.pop(group), time_of(record), record.get("reason")))
    return [*spans, *opened.values()]


def _ended(span: Span, ends: float, ended_by: str = "") -> Span:
    return msgspec.structs.replace(span, ends=ends, ended_by=ended_by)
