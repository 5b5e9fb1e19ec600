"""Checks of what callers were told about writes against what the databases committed."""

from collections import defaultdict

from dewledge.core.proxy.calls import Access, Operation, Outcome
from dewledge.simulation.history import CommitRecord, ElectionRecord, History, RequestRecord
from dewledge.simulation.violations import Promise, Violation


def commits_by_marker(history: History) -> dict[str, list[CommitRecord]]:
    """Returns the committed entries in which each marker stands, once per occurrence."""
    found: dict[str, list[CommitRecord]] = defaultdict(list)
    for commit in history.commits:
        for marker in commit.markers:
            found[marker].append(commit)
    return found


def commits_by_tag(history: History) -> dict[str, list[CommitRecord]]:
    """Returns the committed entries in which each transaction tag stands, once per entry."""
    found: dict[str, list[CommitRecord]] = defaultdict(list)
    for commit in history.commits:
        for tag in set(commit.tags):
            found[tag].append(commit)
    return found


def is_single_write(request: RequestRecord) -> bool:
    """Tells whether the request is a write on its own, outside any transaction."""
    return (
        request.operation is Operation.EXECUTE
        and request.access is Access.WRITE
        and request.transaction_tag is None
    )


def check_acknowledged_writes(history: History) -> list[Violation]:
    """An acknowledged write stands in the surviving log, and no replaced primary took it."""
    by_marker = commits_by_marker(history)
    by_tag = commits_by_tag(history)
    tags_with_writes = _tags_with_writes(history)
    violations = []
    for request in history.requests:
        if request.outcome is not Outcome.DONE:
            continue
        if is_single_write(request):
            commits = by_marker.get(request.marker, [])
        elif request.operation is Operation.COMMIT and request.transaction_tag in tags_with_writes:
            commits = by_tag.get(request.transaction_tag or "", [])
        else:
            continue
        violations += _judge_acknowledged(request, commits, history.elections)
    return violations


def _tags_with_writes(history: History) -> set[str | None]:
    return {
        request.transaction_tag
        for request in history.requests
        if request.transaction_tag is not None
        and request.operation is Operation.EXECUTE
        and request.access is Access.WRITE
        and request.outcome is Outcome.DONE
    }


def _judge_acknowledged(
    request: RequestRecord, commits: list[CommitRecord], elections: list[ElectionRecord]
) -> list[Violation]:
    at = request.answered_at or 0.0
    surviving = [commit for commit in commits if commit.survives]
    if surviving:
        return []
    violations = [
        Violation(
            Promise.ACKNOWLEDGED_WRITES_STAND,
            at,
            f"{request.marker} was acknowledged; its commits {_places(commits)} do not survive",
        )
    ]
    for commit in commits:
        if _was_replaced(commit, elections):
            violations.append(
                Violation(
                    Promise.NO_REPLACED_PRIMARY,
                    at,
                    f"{request.marker} was acknowledged from {_places([commit])}, "
                    "after a later term had begun",
                )
            )
    return violations


def _was_replaced(commit: CommitRecord, elections: list[ElectionRecord]) -> bool:
    return any(
        election.group == commit.group
        and election.term > commit.position.term
        and election.time <= commit.time
        for election in elections
    )


def _places(commits: list[CommitRecord]) -> str:
    if not commits:
        return "(none)"
    return ", ".join(
        f"{commit.database}@{commit.position.term}.{commit.position.offset}" for commit in commits
    )


def check_at_most_once(history: History) -> list[Violation]:
    """A keyed request stands at most once in the surviving log.

    An unkeyed one, which its caller sent once, was committed at most once on any branch.
    """
    keyed = {request.marker for request in history.requests if request.idempotency_key}
    violations = []
    for marker, commits in commits_by_marker(history).items():
        counted = [commit for commit in commits if commit.survives or marker not in keyed]
        if len(counted) > 1:
            violations.append(
                Violation(
                    Promise.AT_MOST_ONCE,
                    counted[-1].time,
                    f"{marker} took effect {len(counted)} times: {_places(counted)}",
                )
            )
    return violations


def check_not_run(history: History) -> list[Violation]:
    """What a caller was told was not run, or rolled back, was committed on no branch.

    Of a repeated request, a commit must not be older than the first attempt that might have run.
    """
    violations = _single_writes_not_run(history)
    by_tag = commits_by_tag(history)
    by_marker = commits_by_marker(history)
    for request in history.requests:
        if request.transaction_tag is None:
            continue
        commits: list[CommitRecord] = []
        if _denies_transaction(request):
            commits = by_tag.get(request.transaction_tag, [])
        elif request.operation is Operation.EXECUTE and request.outcome is Outcome.NOT_RUN:
            commits = by_marker.get(request.marker, [])
        if commits:
            violations.append(_not_run_violation(request, commits))
    return violations


def _denies_transaction(request: RequestRecord) -> bool:
    refused = request.operation is Operation.COMMIT and request.outcome is Outcome.NOT_RUN
    rolled_back = request.operation is Operation.ROLLBACK and request.outcome is Outcome.DONE
    return refused or rolled_back


def _single_writes_not_run(history: History) -> list[Violation]:
    attempts: dict[str, list[RequestRecord]] = defaultdict(list)
    for request in history.requests:
        if is_single_write(request):
            attempts[request.marker].append(request)
    by_marker = commits_by_marker(history)
    violations = []
    for marker, requests in attempts.items():
        possible = [item.sent_at for item in requests if item.outcome is not Outcome.NOT_RUN]
        first_possible = min(possible, default=float("inf"))
        false_ones = [
            commit for commit in by_marker.get(marker, []) if commit.time < first_possible
        ]
        if false_ones:
            violations.append(_not_run_violation(requests[0], false_ones))
    return violations


def _not_run_violation(request: RequestRecord, commits: list[CommitRecord]) -> Violation:
    return Violation(
        Promise.NOT_RUN_IS_TRUE,
        request.answered_at or 0.0,
        f"{request.operation} of {request.marker} ({request.code}) was said not to have run, "
        f"but was committed at {_places(commits)}",
    )
