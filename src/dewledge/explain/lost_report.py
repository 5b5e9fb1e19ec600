"""Sums of lost statements, as text or JSON."""

import json
from collections import Counter
from collections.abc import Callable, Sequence
from datetime import UTC, datetime
from enum import StrEnum

import msgspec

from dewledge.explain.ended_processes import EndedProcess
from dewledge.explain.lost import LossKind, LostStatement
from dewledge.explain.lost_cause import LostCause

NOT_ADMITTED = "operation_not_admitted"
NOT_IN_LINE = "-"
"""An operation that is not admitted names no route, a session that is denied no caller."""


class LostBy(StrEnum):
    """What the sums are of."""

    CAUSE = "cause"
    ROUTE = "route"
    ZONE = "zone"
    SECOND = "second"
    CALLER = "caller"


class LostSum(msgspec.Struct, frozen=True):
    """What was lost of one cause, route, zone, second or caller."""

    key: str
    refused: int
    late: int
    broken: int
    denied: int

    @property
    def total(self) -> int:
        """All of them."""
        return self.refused + self.late + self.broken + self.denied


def _second_of(item: LostStatement) -> str:
    return datetime.fromtimestamp(int(item.at), UTC).strftime("%H:%M:%S")


_KEYS: dict[LostBy, Callable[[LostStatement], str]] = {
    LostBy.CAUSE: lambda item: item.cause,
    LostBy.ROUTE: lambda item: item.route or NOT_IN_LINE,
    LostBy.ZONE: lambda item: item.zone,
    LostBy.SECOND: _second_of,
    LostBy.CALLER: lambda item: item.caller or NOT_IN_LINE,
}


def sum_lost(lost: Sequence[LostStatement], by: LostBy) -> list[LostSum]:
    """Returns the sums, the largest first; seconds in their order."""
    key_of = _KEYS[by]
    counts: Counter[tuple[str, LossKind]] = Counter()
    for item in lost:
        counts[key_of(item), item.kind] += item.count
    sums = [
        LostSum(
            key,
            counts[key, LossKind.REFUSED],
            counts[key, LossKind.LATE],
            counts[key, LossKind.BROKEN],
            counts[key, LossKind.DENIED],
        )
        for key in {key_of(item) for item in lost}
    ]
    if by is LostBy.SECOND:
        return sorted(sums, key=lambda item: item.key)
    return sorted(sums, key=lambda item: (-item.total, item.key))


def lost_text(
    lost: Sequence[LostStatement],
    by: LostBy,
    examples: int,
    ended: Sequence[EndedProcess] = (),
) -> str:
    """Returns a table of the sums, what it comes to, then some with what shows their cause."""
    titles = ("refused", "late", "broken", "denied", "all")
    rows = [f"{by.value:<28}" + "".join(f" {title:>8}" for title in titles)]
    for item in sum_lost(lost, by):
        numbers = (item.refused, item.late, item.broken, item.denied, item.total)
        rows.append(f"{item.key:<28}" + "".join(f" {number:>8}" for number in numbers))
    rows += [*_whole(lost), *_ended_rows(ended)]
    seen: Counter[str] = Counter()
    for each in lost:
        seen[each.cause] += 1
        if seen[each.cause] <= examples:
            rows.append(
                f"  {each.statement or 'session'} at {each.process}: {each.kind} as "
                f"{each.outcome} after {each.waited_ms} ms, {each.cause}: {each.shown_by}"
            )
    return "\n".join(rows)


def _whole(lost: Sequence[LostStatement]) -> list[str]:
    counts: Counter[str] = Counter()
    for item in lost:
        if item.kind is LossKind.DENIED:
            counts["denied"] += item.count
        else:
            counts["admission" if item.outcome == NOT_ADMITTED else "lost"] += item.count
    rows = [f"{counts['lost']} statements were lost"]
    if counts["admission"]:
        rows.append(f"{counts['admission']} operations were not admitted")
    if counts["denied"]:
        rows.append(f"{counts['denied']} sessions were denied")
    return rows


def _ended_rows(ended: Sequence[EndedProcess]) -> list[str]:
    if not ended:
        return []
    under_way = round(sum(end.under_way for end in ended))
    return [
        f"{len(ended)} processes ended without a word ({LostCause.PROCESS_ENDED}): what was under "
        f"way there left no line, by what they had answered just before about {under_way} "
        "statements"
    ]


def lost_json(lost: Sequence[LostStatement], by: LostBy, ended: Sequence[EndedProcess] = ()) -> str:
    """Returns the sums, all that was lost and the processes that ended as one JSON object."""
    return json.dumps(
        {
            "by": by.value,
            "sums": [msgspec.structs.asdict(item) for item in sum_lost(lost, by)],
            "statements": [msgspec.structs.asdict(item) for item in lost],
            "ended": [msgspec.structs.asdict(end) for end in ended],
        }
    )
