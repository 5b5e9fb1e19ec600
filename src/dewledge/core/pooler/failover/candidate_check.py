"""Describes what the choice of a candidate rests on, and converts it to a log record."""

import msgspec

from dewledge.core.pooler.failover.commit_proof import ProofCheck
from dewledge.core.pooler.failover.messages import CandidatesChecked, DatabaseStatus
from dewledge.core.shared.positions import LogPosition


class CandidateCheck(msgspec.Struct, frozen=True):
    """What a choice rests on; the fields are those of CandidatesChecked.

    proof: None if the group has no synchronous replicas, or before a candidate is selected.
    """

    statuses: dict[str, DatabaseStatus]
    newest_term: int
    following: tuple[str, ...]
    proof: ProofCheck | None = None


def candidates_checked(
    group: str, synchronous_replicas: int, check: CandidateCheck, after_ms: int
) -> CandidatesChecked:
    """Returns the log record of a check."""
    proof = check.proof or ProofCheck((), None, {}, ())
    statuses = [f"{name}:{_format_status(each)}" for name, each in sorted(check.statuses.items())]
    stopped = [f"{name}:{_format(position)}" for name, position in proof.stopped.items()]
    return CandidatesChecked(
        group=group,
        synchronous_replicas=synchronous_replicas,
        statuses=",".join(statuses),
        newest_term=check.newest_term,
        following=",".join(check.following),
        proven=",".join(proof.proven),
        final="" if proof.final is None else _format(proof.final),
        stopped=",".join(stopped),
        unknown=",".join(proof.unknown),
        after_ms=after_ms,
    )


def _format_status(status: DatabaseStatus) -> str:
    role = "primary" if status.is_primary else "replica"
    return f"{role}:{status.term}:{_format(status.received)}"


def _format(position: LogPosition) -> str:
    return f"{position.term}.{position.offset}"
