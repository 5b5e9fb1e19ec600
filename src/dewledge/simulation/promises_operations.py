"""Checks of what operators rely on: configuration, retired databases, planned stops."""

from collections import defaultdict

from dewledge.core.proxy.calls import Operation, Outcome
from dewledge.simulation.history import (
    AbsenceRecord,
    AcceptanceRecord,
    History,
    RevisionRecord,
    StopRecord,
    WorkRecord,
)
from dewledge.simulation.violations import Promise, Violation

IN_FORCE_BOUND = 6.0
"""Seconds from a change's acceptance until it must be in force on every proxy."""

RETIRED_BOUND = 6.0
"""Seconds from a drain's acceptance until the database may get no new work."""

RETIRED_TRANSACTION_BOUND = 30.0
"""Seconds from a drain's acceptance until open transactions must have ended."""


def check_configuration(history: History) -> list[Violation]:
    """An accepted change is in force on every proxy within the bound and never reverts.

    What an operator was told of a proposal is what the store holds in the end.
    """
    by_proxy: dict[str, list[RevisionRecord]] = defaultdict(list)
    for revision in history.revisions:
        by_proxy[revision.proxy].append(revision)
    violations = _check_proposals(history)
    for proxy, revisions in by_proxy.items():
        violations += _check_monotonic(proxy, revisions)
        for acceptance in history.acceptances:
            absences = [item for item in history.absences if item.proxy == proxy]
            violations += _check_in_force(acceptance, proxy, revisions, absences, history.ended_at)
    return violations


def _check_proposals(history: History) -> list[Violation]:
    violations = []
    for proposal in history.proposals:
        told = {Outcome.DONE: True, Outcome.NOT_RUN: False}.get(proposal.outcome)
        if told is not None and told != proposal.stands:
            stands = "stands" if proposal.stands else "does not stand"
            evidence = f"{proposal.change_id} was answered {proposal.outcome}, and {stands}"
            violations.append(Violation(Promise.CONFIGURATION_ANSWER, proposal.time, evidence))
    return violations


def _check_monotonic(proxy: str, revisions: list[RevisionRecord]) -> list[Violation]:
    violations = []
    for earlier, later in zip(revisions, revisions[1:], strict=False):
        restarted = later.incarnation != earlier.incarnation
        if later.revision < earlier.revision and not restarted:
            evidence = f"{proxy} went from revision {earlier.revision} to {later.revision}"
            violations.append(Violation(Promise.CONFIGURATION_NEVER_REVERTS, later.time, evidence))
    return violations


def _check_in_force(
    acceptance: AcceptanceRecord,
    proxy: str,
    revisions: list[RevisionRecord],
    absences: list[AbsenceRecord],
    ended_at: float,
) -> list[Violation]:
    due = _due(acceptance.time, absences)
    if due > ended_at:
        return []
    in_force = [item.revision for item in revisions if item.time <= due]
    if in_force and in_force[-1] >= acceptance.revision:
        return []
    latest = in_force[-1] if in_force else 0
    evidence = (
        f"revision {acceptance.revision}, accepted at {acceptance.time:.3f} s, is not in force "
        f"on {proxy}, which has {latest}"
    )
    return [Violation(Promise.CONFIGURATION_IN_FORCE, due, evidence)]


def _due(accepted_at: float, absences: list[AbsenceRecord]) -> float:
    """Returns when a change must be in force on a proxy: the bound counts from its return."""
    due = accepted_at + IN_FORCE_BOUND
    for absence in sorted(absences, key=lambda item: item.start):
        if absence.start <= due and absence.end >= accepted_at:
            due = max(due, absence.end + IN_FORCE_BOUND)
    return due


def check_retired_databases(history: History) -> list[Violation]:
    """A drained database gets no new connection, statement or transaction after the bound."""
    drained_at: dict[str, float] = {}
    for acceptance in history.acceptances:
        for database in acceptance.drained:
            drained_at.setdefault(database, acceptance.time)
    violations = []
    for work in history.work:
        if work.database not in drained_at:
            continue
        since = work.time - drained_at[work.database]
        bound = RETIRED_BOUND if _is_new_work(work) else RETIRED_TRANSACTION_BOUND
        if since > bound:
            what = work.operation or "a connection"
            evidence = f"{work.database} got {what} from {work.proxy} {since:.1f} s after its drain"
            violations.append(Violation(Promise.RETIRED_DATABASES, work.time, evidence))
    return violations


def _is_new_work(work: WorkRecord) -> bool:
    return work.operation in (None, Operation.BEGIN) or (
        work.operation is Operation.EXECUTE and not work.in_transaction
    )


def check_planned_stops(history: History) -> list[Violation]:
    """While a proxy stops as planned, no request through it is cut off or left in doubt."""
    return [violation for stop in history.stops for violation in _check_planned_stop(stop, history)]


def _check_planned_stop(stop: StopRecord, history: History) -> list[Violation]:
    violations = []
    for request in history.requests:
        ended = request.answered_at if request.answered_at is not None else history.ended_at
        in_flight = request.sent_at <= stop.ended_at and ended >= stop.announced_at
        if request.proxy != stop.proxy or not in_flight:
            continue
        if request.reset or request.outcome in (None, Outcome.UNKNOWN):
            end = "reset" if request.reset else f"{request.outcome} {request.code}"
            evidence = f"{request.marker} through {stop.proxy} ended in {end} during its stop"
            violations.append(Violation(Promise.PLANNED_STOP, ended, evidence))
    return violations
