"""Builds small histories for the tests of the checkers."""

from typing import Any

from dewledge.core.proxy.calls import Access, Operation, Outcome
from dewledge.core.shared.positions import LogPosition
from dewledge.simulation.history import CommitRecord, RequestRecord


def request(marker: str, **changes: Any) -> RequestRecord:
    """Returns an acknowledged single write, with changes."""
    fields: dict[str, Any] = {
        "number": 1,
        "session": "session",
        "caller": "caller",
        "group": "group",
        "workload": "amend",
        "access": Access.WRITE,
        "operation": Operation.EXECUTE,
        "marker": marker,
        "proxy": "proxy",
        "sent_at": 1.0,
        "deadline": 3.0,
        "answered_at": 1.1,
        "outcome": Outcome.DONE,
        "rows": ((marker,),),
        "answers": 1,
    }
    return RequestRecord(**(fields | changes))


def read(marker: str, seen: int, **changes: Any) -> RequestRecord:
    """Returns an answered read of record "r"."""
    fields = {"access": Access.READ, "record": "r", "seen_version": seen, **changes}
    return request(marker, **fields)


def commit(*markers: str, **changes: Any) -> CommitRecord:
    """Returns a surviving commit, with changes."""
    fields: dict[str, Any] = {
        "group": "group",
        "database": "database",
        "time": 1.05,
        "position": LogPosition(1, 1),
        "markers": markers,
    }
    return CommitRecord(**(fields | changes))
