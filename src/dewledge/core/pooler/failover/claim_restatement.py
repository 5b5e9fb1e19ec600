"""Writes a group's claim again after the store came back from an older copy.

The copy may lack the newest claim, and hold an older one. A claim is therefore repeated only by a
process that knows it and has asked: a majority of its voters knows no newer one, and acknowledges
none of a former era from then on. If no majority remembers (all processes restarted, say), a claim
that allows no primary is written after RESTATEMENT_TIMEOUT_SECONDS; like any other, it takes effect
once a majority of the voters of the copy's claim knows it and earlier leases have expired.
"""

from collections.abc import Sequence

import xxhash

from dewledge.core.pooler.failover.claim_writing import restated_claim, unwitnessed_claim
from dewledge.core.pooler.failover.messages import Claim, FailoverEffect
from dewledge.core.pooler.failover.primary_lease import LONG_AGO, Fencing, PrimaryLease
from dewledge.core.pooler.failover.situation import Situation

RESTATEMENT_SPREAD_SECONDS = 1.0
"""Seconds over which the claims of different groups are written again."""
HOLDER_HEAD_START_SECONDS = 1.0
"""Seconds that the other judges wait for the holder of the claim."""
RESTATEMENT_RANK_DELAY_SECONDS = 0.2
"""Seconds between the writes of two judges with consecutive ranks."""
RESTATEMENT_TIMEOUT_SECONDS = 5.0
"""Seconds after which a claim is written without a majority that remembers: longer than a reader
takes to notice that the store is back (MAX_RETRY_PAUSE_SECONDS), and two rounds of questions."""
WRITE_INTERVAL_SECONDS = 1.5
"""Seconds between writes of the claim: longer than the timeout of a call to the store."""


class ClaimRestatement:
    """Writes the first claim of an era of the store on one group."""

    def __init__(self, group: str, local_name: str, lease: PrimaryLease) -> None:
        self._local_name = local_name
        self._lease = lease
        self._spread_delay = RESTATEMENT_SPREAD_SECONDS * _fraction(group)
        self._written_at = LONG_AGO

    def step(self, situation: Situation) -> Sequence[FailoverEffect]:
        """Returns the claim to write now, if any."""
        now, lease = situation.now, self._lease
        if now < self._written_at + WRITE_INTERVAL_SECONDS or lease.eras.table < lease.eras.newest:
            return []
        claim = self._claim_to_restate(situation)
        term = situation.log.newest_term
        if claim is not None:
            self._written_at = now
            return [restated_claim(lease, situation.members, claim, term)]
        if not self._has_timed_out(situation):
            return []
        self._written_at = now
        remembered = [each for each in (lease.claim, lease.copied_claim) if each is not None]
        newest = max(remembered, key=lambda each: each.fencing_token, default=None)
        return [unwitnessed_claim(lease, situation.members, newest, term)]

    def _claim_to_restate(self, situation: Situation) -> Claim | None:
        """Returns the claim that this process may write again now, None for none."""
        lease, known = self._lease, self._lease.claim
        if known is not None and known.holder == self._local_name and lease.overlooked_claim:
            return lease.overlooked_claim
        if known is None or not lease.needs_restatement:
            return None
        is_unfenced = lease.fencing is Fencing.PROCESSES
        if is_unfenced and lease.confirmed_era < lease.eras.newest:
            return None
        is_due = situation.now >= lease.eras.known_since + self._delay(known, situation)
        return known if is_due else None

    def _delay(self, known: Claim, situation: Situation) -> float:
        if known.holder == self._local_name:
            return self._spread_delay
        return self._spread_delay + HOLDER_HEAD_START_SECONDS + self._rank_delay(situation)

    def _has_timed_out(self, situation: Situation) -> bool:
        """Returns whether this process writes a claim without a majority that remembers."""
        lease = self._lease
        if lease.fencing is Fencing.PLATFORM or not lease.needs_restatement:
            return False
        wait = RESTATEMENT_TIMEOUT_SECONDS + self._rank_delay(situation)
        return situation.now >= lease.eras.known_since + wait + self._spread_delay

    def _rank_delay(self, situation: Situation) -> float:
        names = list(situation.members)
        rank = names.index(self._local_name) if self._local_name in names else len(names)
        return RESTATEMENT_RANK_DELAY_SECONDS * rank


def _fraction(group: str) -> float:
    """Returns a number from 0 to 1 that depends on the group's name only."""
    return xxhash.xxh3_64_intdigest(group.encode()) / 2**64
