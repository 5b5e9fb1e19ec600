"""Sums of lost statements, as text or JSON."""

import json
from collections import Counter
from collections.abc import Callable, Sequence
from datetime import UTC, datetime
from enum import StrEnum

import msgspec

from dewledge.explain.lost import LossKind, LostStatement


class LostBy(StrEnum):
    """What the sums are of."""

    CAUSE = "cause"
    ROUTE = "route"
    ZONE = "zone"
    SECOND = "second"


class LostSum(msgspec.Struct, frozen=True):
    """The lost statements of one cause, route, zone or second."""

    key: str
    refused: int
    late: int
    broken: int

    @property
    def total(self) -> int:
        """All of them."""
        return self.refused + self.late + self.broken


def _second_of(item: LostStatement) -> str:
    return datetime.fromtimestamp(int(item.at), UTC).strftime("%H:%M:%S")


_KEYS: dict[LostBy, Callable[[LostStatement], str]] = {
    LostBy.CAUSE: lambda item: item.cause,
    LostBy.ROUTE: lambda item: item.route,
    LostBy.ZONE: lambda item: item.zone,
    LostBy.SECOND: _second_of,
}


def sum_lost(lost: Sequence[LostStatement], by: LostBy) -> list[LostSum]:
    """Returns the sums, the largest first; seconds in their order."""
    key_of = _KEYS[by]
    counts = Counter((key_of(item), item.kind) for item in lost)
    sums = [
        LostSum(
            key,
            counts[key, LossKind.REFUSED],
            counts[key, LossKind.LATE],
            counts[key, LossKind.BROKEN],
        )
        for key in {key_of(item) for item in lost}
    ]
    if by is LostBy.SECOND:
        return sorted(sums, key=lambda item: item.key)
    return sorted(sums, key=lambda item: (-item.total, item.key))


def lost_text(lost: Sequence[LostStatement], by: LostBy, examples: int) -> str:
    """Returns a table of the sums, then some statements with what shows their cause."""
    rows = [f"{by.value:<28} {'refused':>8} {'late':>8} {'broken':>8} {'all':>8}"]
    rows += [
        f"{item.key:<28} {item.refused:>8} {item.late:>8} {item.broken:>8} {item.total:>8}"
        for item in sum_lost(lost, by)
    ]
    rows.append(f"{len(lost)} statements were lost")
    seen: Counter[str] = Counter()
    for item in lost:
        seen[item.cause] += 1
        if seen[item.cause] <= examples:
            rows.append(
                f"  {item.statement} at {item.process}: {item.kind} as {item.outcome} after "
                f"{item.waited_ms} ms, {item.cause}: {item.shown_by}"
            )
    return "\n".join(rows)


def lost_json(lost: Sequence[LostStatement], by: LostBy) -> str:
    """Returns the sums and every lost statement as one JSON object."""
    return json.dumps(
        {
            "by": by.value,
            "sums": [msgspec.structs.asdict(item) for item in sum_lost(lost, by)],
            "statements": [msgspec.structs.asdict(item) for item in lost],
        }
    )
