"""Renews leases by a quorum of voters while the store is unreachable.

If a majority of a claim's voters knows no newer claim, no newer one can take effect within
LEASE_SECONDS after the question was sent: its holder first needs acknowledgements from a majority
of the same voters, and a voter that knows the newer claim no longer confirms the older one. Voters
answer only processes with a row in the store, because the claim holder waits for exactly those.
"""

from collections.abc import Collection, Mapping, Sequence

import msgspec

from dewledge.core.pooler.failover.claim_acknowledgements import is_majority
from dewledge.core.pooler.failover.messages import Claim
from dewledge.core.pooler.failover.primary_lease import LONG_AGO, PrimaryLease
from dewledge.core.pooler.failover.store_eras import StoreEras
from dewledge.core.pooler.store_versions import era_of

CONFIRMATION_REFRESH_AGE_SECONDS = 1.25
"""Seconds since the last confirmation after which voters are asked; longer than the time between
two confirmations by a reachable store. In normal operation confirmations that followers receive are
up to 1.2 s old; with a lower value they would ask voters in other regions all the time."""
QUESTION_INTERVAL_SECONDS = 0.25
"""Seconds between questions: short enough for two of them before the lease expires."""
MAX_GROUPS_PER_QUESTION = 40
"""Groups in one question, so that it fits in a datagram (MAX_BYTES of peer_messages.py)."""


class ConfirmationQuestion(msgspec.Struct, frozen=True, array_like=True, tag="vouch"):
    """Asks a voter for its newest claims. tokens: newest fencing tokens of the asker, by group.

    era: newest era of the store that the asker knows; the voter acknowledges no claim of a former
    one from then on.
    """

    asker: str
    number: int
    tokens: dict[str, int]
    era: int = 0


class ConfirmationAnswer(msgspec.Struct, frozen=True, array_like=True, tag="vouched"):
    """Answer of a voter. tokens: its newest fencing tokens, by group, for the groups asked for.

    Leaves out the groups for which the voter may have missed a claim. era: newest era of the store
    that the voter knows.
    """

    voter: str
    number: int
    tokens: dict[str, int]
    era: int = 0


class VoterPoll(msgspec.Struct, frozen=True):
    """A question and the voters to send it to."""

    question: ConfirmationQuestion
    voters: tuple[str, ...]


class QuorumConfirmation:
    """Asks voters to confirm the newest known claims, and answers other processes' questions."""

    def __init__(self, local_name: str, eras: StoreEras | None = None) -> None:
        self._local_name = local_name
        self._eras = eras or StoreEras()
        self._number = 0
        self._asked_at = LONG_AGO
        self._era = 0
        self._tokens: dict[str, int] = {}
        self._agreed: dict[str, set[str]] = {}

    def next_poll(
        self, leases: Mapping[str, PrimaryLease], now: float, processes: Collection[str] = ()
    ) -> VoterPoll | None:
        """Returns the next question to voters, None if no lease needs one now.

        processes: all registered ones. Those are asked about groups without a known claim after a
        restore of the store.
        """
        if now < self._asked_at + QUESTION_INTERVAL_SECONDS:
            return None
        unknown = [
            name
            for name, lease in leases.items()
            if lease.claim is None and lease.needs_restatement
        ]
        if unknown:
            return self._ask_for_claims(unknown, processes, now)
        expiring = [
            (lease.confirmed_at, name, lease.claim)
            for name, lease in leases.items()
            if lease.claim is not None
            and lease.claim.voters
            and now > lease.confirmed_at + CONFIRMATION_REFRESH_AGE_SECONDS
        ]
        if not expiring:
            return None
        expiring.sort(key=lambda entry: entry[:2])
        claims = {
            name: claim
            for _, name, claim in expiring[:MAX_GROUPS_PER_QUESTION]
            if claim is not None
        }
        return self._start_poll(claims, now)

    def _ask_for_claims(
        self, groups: Sequence[str], processes: Collection[str], now: float
    ) -> VoterPoll:
        """Asks all processes for claims on groups of which this one knows none."""
        poll = self._start_poll({}, now)
        tokens = dict.fromkeys(groups[:MAX_GROUPS_PER_QUESTION], 0)
        question = msgspec.structs.replace(poll.question, tokens=tokens)
        return VoterPoll(question, tuple(sorted(set(processes) - {self._local_name})))

    def _start_poll(self, claims: Mapping[str, Claim], now: float) -> VoterPoll:
        self._number += 1
        self._asked_at = now
        self._era = self._eras.newest
        self._tokens = {name: claim.fencing_token for name, claim in claims.items()}
        self._agreed = {name: self._local_agreement(token) for name, token in self._tokens.items()}
        voters = {voter for claim in claims.values() for voter in claim.voters}
        question = ConfirmationQuestion(self._local_name, self._number, self._tokens, self._era)
        return VoterPoll(question, tuple(sorted(voters - {self._local_name})))

    def _local_agreement(self, token: int) -> set[str]:
        return {self._local_name} if self._eras.is_witness_of(token) else set()

    def answer_question(
        self,
        question: ConfirmationQuestion,
        leases: Mapping[str, PrimaryLease],
        registered: Collection[str],
    ) -> ConfirmationAnswer | None:
        """Returns the answer to another process, None if that process has no row in the store."""
        if question.asker not in registered:
            return None
        known = {name: leases[name].fencing_token for name in question.tokens if name in leases}
        tokens = {name: token for name, token in known.items() if self._may_vouch(token)}
        return ConfirmationAnswer(self._local_name, question.number, tokens, self._eras.newest)

    def _may_vouch(self, token: int) -> bool:
        """Returns whether this process would know a newer claim, and who is registered under it."""
        return self._eras.is_witness_of(token) and era_of(token) <= self._eras.table

    def on_answer(
        self, answer: ConfirmationAnswer, leases: Mapping[str, PrimaryLease]
    ) -> Sequence[str]:
        """Applies an answer; returns the groups whose leases it renews."""
        if answer.number != self._number:
            return []
        if answer.era < self._era:
            # The voter may still acknowledge a claim of the former era.
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
                lease.confirmed_era = self._era
                confirmed.append(name)
        return confirmed

    def _has_majority(self, lease: PrimaryLease, token: int, agreed: Collection[str]) -> bool:
        claim = lease.claim
        if claim is None or claim.fencing_token != token:
            return False
        return is_majority(agreed, claim.voters)
