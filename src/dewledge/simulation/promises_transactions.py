"""Checks that transactions never mix and are whole."""

from collections import defaultdict

from dewledge.core.proxy.calls import Access, Operation, Outcome
from dewledge.simulation.history import CommitRecord, History, RequestRecord
from dewledge.simulation.promises_writes import commits_by_tag
from dewledge.simulation.violations import Promise, Violation


def check_transactions(history: History) -> list[Violation]:
    """An entry holds one caller's transaction, all of it, or one single statement."""
    tag_of = {
        request.marker: request.transaction_tag
        for request in history.requests
        if request.operation is Operation.EXECUTE and request.access is Access.WRITE
    }
    violations = [
        violation for commit in history.commits for violation in _check_entry(commit, tag_of)
    ]
    return violations + _check_whole(history)


def _check_entry(commit: CommitRecord, tag_of: dict[str, str | None]) -> list[Violation]:
    tags = {tag_of.get(marker) for marker in commit.markers}
    mixed = len(tags) > 1
    several_single = tags == {None} and len(set(commit.markers)) > 1
    if not mixed and not several_single:
        return []
    evidence = f"{commit.database} committed {', '.join(commit.markers)} in one entry"
    return [Violation(Promise.TRANSACTIONS_NEVER_MIX, commit.time, evidence)]


def _check_whole(history: History) -> list[Violation]:
    acknowledged: dict[str, set[str]] = defaultdict(set)
    commits: list[RequestRecord] = []
    for request in history.requests:
        if request.transaction_tag is None or request.outcome is not Outcome.DONE:
            continue
        if request.operation is Operation.EXECUTE and request.access is Access.WRITE:
            acknowledged[request.transaction_tag].add(request.marker)
        if request.operation is Operation.COMMIT:
            commits.append(request)
    by_tag = commits_by_tag(history)
    return [
        violation
        for request in commits
        for violation in _check_one_whole(request, acknowledged, by_tag)
    ]


def _check_one_whole(
    request: RequestRecord,
    acknowledged: dict[str, set[str]],
    by_tag: dict[str, list[CommitRecord]],
) -> list[Violation]:
    tag = request.transaction_tag or ""
    for commit in by_tag.get(tag, []):
        missing = acknowledged[tag] - set(commit.markers)
        if missing:
            evidence = f"transaction {tag} was committed without {', '.join(sorted(missing))}"
            at = request.answered_at or 0.0
            return [Violation(Promise.TRANSACTIONS_NEVER_MIX, at, evidence)]
    return []
