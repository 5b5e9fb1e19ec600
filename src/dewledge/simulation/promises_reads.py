"""Checks of answers: own writes read back, only its own answer, and an answer at all."""

from collections import defaultdict

from dewledge.core.proxy.calls import Access, Operation, Outcome
from dewledge.simulation.history import AbsenceRecord, History, RequestRecord
from dewledge.simulation.violations import Promise, Violation

ANSWER_GRACE = 1.0
"""Seconds past its deadline within which a caller must have been answered."""


def check_sessions(history: History) -> list[Violation]:
    """A session never reads below its own acknowledged write, or below its earlier read.

    An earlier read of a write that no caller was told of, and that was lost with its primary,
    does not count: nothing holds it any more.
    """
    lost = _lost_versions(history)
    by_session: dict[str, list[RequestRecord]] = defaultdict(list)
    for request in history.requests:
        by_session[request.session].append(request)
    violations = []
    for requests in by_session.values():
        violations += _check_session(sorted(requests, key=lambda item: item.sent_at), lost)
    return violations


def _lost_versions(history: History) -> set[tuple[str, int]]:
    surviving = {
        marker for commit in history.commits if commit.survives for marker in commit.markers
    }
    return {
        (request.record, request.version)
        for request in history.requests
        if request.version is not None and request.marker not in surviving
    }


def _check_session(requests: list[RequestRecord], lost: set[tuple[str, int]]) -> list[Violation]:
    violations = []
    floors: dict[str, int] = {}
    for request in requests:
        if request.outcome is not Outcome.DONE or not request.record:
            continue
        floor = floors.get(request.record, 0)
        if request.access is Access.READ:
            seen = request.seen_version or 0
            if seen < floor:
                violations.append(
                    Violation(
                        Promise.OWN_WRITES_READ_BACK,
                        request.answered_at or 0.0,
                        f"session {request.session} read version {seen} of {request.record} "
                        f"after version {floor}",
                    )
                )
            if (request.record, seen) not in lost:
                floors[request.record] = max(floor, seen)
        elif request.version is not None and request.transaction_tag is None:
            floors[request.record] = max(floor, request.version)
    return violations


def check_own_answers(history: History) -> list[Violation]:
    """Every answer carries the marker of its own request, and comes once."""
    violations = []
    for request in history.requests:
        at = request.answered_at or 0.0
        if request.answers > 1:
            evidence = f"{request.marker} was answered {request.answers} times"
            violations.append(Violation(Promise.OWN_ANSWER, at, evidence))
        if request.outcome is not Outcome.DONE or request.operation is not Operation.EXECUTE:
            continue
        if len(request.rows) != 1 or not request.rows[0] or request.rows[0][0] != request.marker:
            evidence = f"{request.marker} was answered with {request.rows!r}"
            violations.append(Violation(Promise.OWN_ANSWER, at, evidence))
    return violations


def check_answered(history: History) -> list[Violation]:
    """A caller is answered by its deadline, unless its proxy was gone or its connection broke."""
    violations = []
    for request in history.requests:
        limit = request.deadline + ANSWER_GRACE
        in_time = request.answered_at is not None and request.answered_at <= limit
        if in_time or request.reset or limit > history.ended_at:
            continue
        if _was_absent(request, limit, history.absences):
            continue
        evidence = f"{request.marker} through {request.proxy} was not answered by {limit:.3f} s"
        violations.append(Violation(Promise.ANSWERED, limit, evidence))
    return violations


def _was_absent(request: RequestRecord, limit: float, absences: list[AbsenceRecord]) -> bool:
    return any(
        absence.proxy == request.proxy and absence.start <= limit and absence.end >= request.sent_at
        for absence in absences
    )
