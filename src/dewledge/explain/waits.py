"""Sums of what the queues before databases counted, out of logs."""

from collections.abc import Iterable, Mapping, Sequence

import msgspec

from dewledge.explain.log_lines import LogRecord

EVENT = "waits_counted"
ALL_GROUPS = "all"


class GroupWaits(msgspec.Struct, frozen=True):
    """The sums of one group's queues, in the processes whose logs were read."""

    group: str
    served: int = 0
    within_quarter: int = 0
    within_double: int = 0
    refused: int = 0
    refused_with_room: int = 0

    def plus(self, other: "GroupWaits") -> "GroupWaits":
        """Returns the sums of both, under this one's name."""
        return GroupWaits(
            self.group,
            self.served + other.served,
            self.within_quarter + other.within_quarter,
            self.within_double + other.within_double,
            self.refused + other.refused,
            self.refused_with_room + other.refused_with_room,
        )


def sum_waits(logs: Mapping[str, Sequence[LogRecord]]) -> Sequence[GroupWaits]:
    """Returns the sums by group, by name, and those of all groups at the end."""
    sums: dict[str, GroupWaits] = {}
    for waits in _read(logs):
        sums[waits.group] = sums.get(waits.group, GroupWaits(waits.group)).plus(waits)
    total = GroupWaits(ALL_GROUPS)
    for waits in sums.values():
        total = total.plus(waits)
    return [*(sums[group] for group in sorted(sums)), total]


def waits_text(sums: Sequence[GroupWaits]) -> str:
    """Returns a line for each group."""
    return "\n".join(_line(waits) for waits in sums)


def waits_json(sums: Sequence[GroupWaits]) -> str:
    """Returns a list of one JSON object for each group."""
    return msgspec.json.encode(sums).decode()


def _read(logs: Mapping[str, Sequence[LogRecord]]) -> Iterable[GroupWaits]:
    for records in logs.values():
        for record in records:
            if record.event == EVENT:
                yield msgspec.convert(record.fields, GroupWaits, strict=False)


def _line(waits: GroupWaits) -> str:
    return (
        f"{waits.group}: {waits.served} waits were expected, "
        f"{_share(waits.within_quarter, waits.served)} within a quarter, "
        f"{_share(waits.within_double, waits.served)} within a factor of two; "
        f"{waits.refused} refused, {waits.refused_with_room} of them though a place stood free "
        f"within their time"
    )


def _share(part: int, whole: int) -> str:
    return f"{part / whole:.0%}" if whole else "none"
