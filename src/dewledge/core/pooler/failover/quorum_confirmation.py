"""Confirmation by a quorum: how a process keeps its leases on primaries while the store is away.

Adds a source of confirmations to the lease's rule (primary_lease.py); it does not say who may use a
primary now. Inputs: the newest claims known and the age of their last confirmation, answers of
voters. Decision: what to ask, what to answer, which leases are confirmed. Reason: if more than half
of a claim's voters know no newer one, none can take effect before LEASE_SECONDS have passed since
the question was sent. The writer of a claim has to reach more than half of the same voters first,
and a voter that knows the newer claim confirms the older one no more. Voters answer only processes
with a row in the store, since the holder of a claim waits for those.
"""

from collections.abc import Collection, Mapping, Sequence

import msgspec

from dewledge.core.pooler.failover.claim_acknowledgements import is_majority
from dewledge.core.pooler.failover.messages import Claim
from dewledge.core.pooler.failover.primary_lease import LONG_AGO, PrimaryLease

CONFIRMATION_REFRESH_AGE_SECONDS = 1.25
"""Age in seconds of the last confirmation from which voters are asked. Confirmations by followers
are up to 1.2 s old in peace."""
QUESTION_INTERVAL_SECONDS = 0.25
"""Seconds between two questions: two tries lie between CONFIRM_AFTER_SECONDS and LEASE_SECONDS."""
MAX_GROUPS_PER_QUESTION = 40
"""Groups in one question, so that it fits into a datagram (MAX_BYTES of peer_messages.py)."""


class ConfirmationQuestion(msgspec.Struct, frozen=True, array_like=True, tag="vouch"):
    """Asks for the newest claims known. tokens: those that the asker knows, by group."""

    asker: str
    number: int
    tokens: dict[str, int]


class ConfirmationAnswer(msgspec.Struct, frozen=True, array_like=True, tag="vouched"):
    """The tokens of the newest claims that the voter knows, of the groups asked for."""

    voter: str
    number: int
    tokens: dict[str, int]


class VoterPoll(msgspec.Struct, frozen=True):
    """A question and the processes to ask."""

    question: ConfirmationQuestion
    voters: tuple[str, ...]


class QuorumConfirmation:
    """The questions of one process, and its answers to others."""

    def __init__(self, local_name: str) -> None:
        self._local_name = local_name
        self._number = 0
        self._asked_at = LONG_AGO
        self._tokens: dict[str, int] = {}
        self._agreed: dict[str, set[str]] = {}

    def ask(self, leases: Mapping[str, PrimaryLease], now: float) -> VoterPoll | None:
        """Returns the next question, None if no lease needs one."""
        if now < self._asked_at + QUESTION_INTERVAL_SECONDS:
            return None
        due = [
            (lease.confirmed_at, name, lease.claim)
            for name, lease in leases.items()
            if lease.claim is not None
            and lease.claim.voters
            and now > lease.confirmed_at + CONFIRMATION_REFRESH_AGE_SECONDS
        ]
        if not due:
            return None
        due.sort(key=lambda entry: entry[:2])
        claims = {
            name: claim for _, name, claim in due[:MAX_GROUPS_PER_QUESTION] if claim is not None
        }
        return self._start_poll(claims, now)

    def _start_poll(self, claims: Mapping[str, Claim], now: float) -> VoterPoll:
        self._number += 1
        self._asked_at = now
        self._tokens = {name: claim.fencing_token for name, claim in claims.items()}
        self._agreed = {name: {self._local_name} for name in claims}
        voters = {voter for claim in claims.values() for voter in claim.voters}
        question = ConfirmationQuestion(self._local_name, self._number, self._tokens)
        return VoterPoll(question, tuple(sorted(voters - {self._local_name})))

    def answer(
        self,
        question: ConfirmationQuestion,
        leases: Mapping[str, PrimaryLease],
        registered: Collection[str],
    ) -> ConfirmationAnswer | None:
        """Returns the answer to another process; none to one without a row in the store."""
        if question.asker not in registered:
            return None
        known = {name: leases[name].fencing_token for name in question.tokens if name in leases}
        return ConfirmationAnswer(self._local_name, question.number, known)

    def take(self, answer: ConfirmationAnswer, leases: Mapping[str, PrimaryLease]) -> Sequence[str]:
        """Takes an answer; returns the groups whose leases it confirms."""
        if answer.number != self._number:
            return []
        confirmed = []
        for name, token in answer.tokens.items():
            lease = leases.get(name)
            if lease is None or token != self._tokens.get(name):
                continue
            agreed = self._agreed[name]
            agreed.add(answer.voter)
            if self._has_majority(lease, token, agreed):
                lease.confirm(self._asked_at)
                confirmed.append(name)
        return confirmed

    def _has_majority(self, lease: PrimaryLease, token: int, agreed: Collection[str]) -> bool:
        claim = lease.claim
        if claim is None or claim.fencing_token != token:
            return False
        return is_majority(agreed, claim.voters)
